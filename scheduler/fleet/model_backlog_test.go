package fleet_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"pgregory.net/rapid"

	"cranberrydrum.dev/scheduler/fleet"
	"cranberrydrum.dev/scheduler/workload"
)

// awaitedLabel is a label that the executors carry only at the end of a simulation.
const awaitedLabel = "awaited"

// TestModelBacklog is TestModel with jobs of many occurrences, some of which no executor can run
// until the end, and with rounds that may do little work. It guards against jobs that a bound on
// the work of a round, or a step that is set aside, keeps from running, and against starts before
// an occurrence is due.
func TestModelBacklog(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { checkModel(t, rapid.Bool().Draw(t, "littleWork"), true) })
}

// platformListedEnds is how many ended runs an executor lists on the platform. So many occurrences
// end at once that a list of modelListedEnds shows mostly the fault of truncated lists, which
// KNOWN-RED.txt has for TestModel.
const platformListedEnds = 500

// firstRepeated is the number of the first job of many occurrences.
const firstRepeated = 1000

// limitWork lets a round do as little work as it may be bound to.
func (cl *cluster) limitWork() {
	cl.settings.RoundTime = time.Nanosecond
	cl.leader.controller = fleet.New(cl.settings, cl.state, cl.leader.term, cl.now, logr.Discard())
}

// labelsOf returns the labels of an executor.
func (cl *cluster) labelsOf(e *modelExecutor) []string {
	labels := []string{"a", cl.rackOf(e)}
	if cl.hasAwaitedLabel {
		labels = append(labels, awaitedLabel)
	}
	return labels
}

// submitRepeated submits a job of many occurrences. It has a source of random numbers of its own,
// so that the other jobs of a seed stay the same.
func (cl *cluster) submitRepeated(rng *rand.Rand, n int) string {
	id := fmt.Sprintf("%016x", n)
	j := &workload.Job{
		ID: id, Host: modelPlace.Host, Prefix: modelPlace.Prefix, QueueName: "q", Service: cl.queues.current, Customer: "a",
		Priority: 1 + rng.IntN(2), MaxAttempts: 100, Stretch: 2, Target: time.Second,
	}
	label := ""
	if rng.IntN(2) == 0 {
		label = awaitedLabel
	}
	for i := range 1 + rng.IntN(3) {
		s := workload.Step{
			Count: 1 + rng.IntN(2), Estimate: time.Duration(100+rng.IntN(300)) * time.Millisecond, Requires: label,
			Demand: workload.Resources{CPU: 500, MemoryMB: 100}, Gang: rng.IntN(4) == 0, PerExecutor: rng.IntN(3),
		}
		if i > 0 && rng.IntN(2) == 0 {
			s.DependsOn = []int{rng.IntN(i)}
		}
		j.Spec.Steps = append(j.Spec.Steps, s)
	}
	j.Spec.Repeats, j.Spec.Interval = 2+rng.IntN(60), time.Duration(1+rng.IntN(200))*time.Millisecond
	j.Spec.FirstDue = cl.now + time.Duration(rng.IntN(4000)-2000)*time.Millisecond
	cl.apply(&workload.Command{At: cl.now, Submit: j}, cl.leader.term)
	return id
}

// checkDue checks that an occurrence does not start before it is due.
func (cl *cluster) checkDue(key workload.TaskKey) {
	if due := cl.state.Job(key.Job).Spec.DueAt(key.Occurrence); cl.now < due {
		cl.fail("ORDER: %v starts %v before it is due", key, due-cl.now)
	}
}
