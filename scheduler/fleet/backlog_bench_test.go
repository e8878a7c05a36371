package fleet_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"cranberrydrum.dev/scheduler/fleet"
	"cranberrydrum.dev/scheduler/workload"
)

const (
	backlogSteps       = 10
	backlogOccurrences = 10_000
	backlogExecutors   = 48
	// backlogWarmUp is longer than the waits that change what a round does with a task set.
	backlogWarmUp = 5 * time.Second
)

// submitBacklog submits jobs of the given number of due steps in all. Each job has one shape.
func (f *benchFleet) submitBacklog(due int, shape func(n int) workload.Step) {
	for n := 0; due > 0; n++ {
		steps := make([]workload.Step, backlogSteps)
		for i := range steps {
			steps[i] = shape(n)
		}
		j := f.job(1+n%2, steps...)
		j.Spec.Repeats = min(backlogOccurrences, due/backlogSteps)
		j.Spec.FirstDue, j.Spec.Interval = f.now-time.Minute, time.Millisecond
		f.submit(j)
		due -= j.Spec.Repeats * backlogSteps
	}
}

// backlogShapes are steps that are due, most of which can't start.
var backlogShapes = []struct {
	name  string
	shape func(n int) workload.Step
}{
	{"no-label", func(int) workload.Step {
		return workload.Step{Count: 1, Demand: workload.Resources{CPU: 1000, MemoryMB: 256}, Requires: "none"}
	}},
	{"no-room", func(int) workload.Step {
		return workload.Step{Count: 1, Demand: workload.Resources{CPU: 1000, MemoryMB: 256, GPU: benchCapacity.GPU + 1}}
	}},
	{"wide-gang", func(int) workload.Step {
		return workload.Step{Count: 2, Gang: true, SameRack: true, Demand: workload.Resources{CPU: 1000, MemoryMB: 256}, Requires: "none"}
	}},
	{"many-tasks", func(int) workload.Step {
		return workload.Step{Count: 1000, Demand: workload.Resources{CPU: 1000, MemoryMB: 256}, Requires: "none"}
	}},
	{"startable", func(int) workload.Step {
		return workload.Step{Count: 1, Demand: workload.Resources{CPU: 1000, MemoryMB: 256}}
	}},
	{"spread", func(int) workload.Step {
		return workload.Step{Count: 1, Demand: workload.Resources{CPU: 1000, MemoryMB: 256}, Requires: "none", PerExecutor: 1}
	}},
}

// BenchmarkWaitingJobs reports the same beside jobs of one step each, of which no two are equal, and
// the time in which a new leader is ready to decide.
func BenchmarkWaitingJobs(b *testing.B) {
	fleet.StopAudits()
	defer fleet.StartAudits()
	for _, jobs := range []int{0, 1_000, 30_000} {
		b.Run(fmt.Sprintf("jobs=%d", jobs), func(b *testing.B) {
			f := newBenchFleetOf(b, backlogExecutors, backlogExecutors, 0)
			for n := range jobs {
				f.submit(f.job(n%3, workload.Step{Count: 1, Demand: workload.Resources{CPU: 1000}, Requires: fmt.Sprint("none-", n)}))
			}
			f.run(backlogWarmUp)
			f.measureRounds(b)
		})
	}
	b.Run("new-leader/due=400000", func(b *testing.B) {
		f := newBenchFleetOf(b, backlogExecutors, backlogExecutors, 0)
		f.submitBacklog(400_000, backlogShapes[0].shape)
		for b.Loop() {
			fleet.New(f.settings(), f.state, benchTerm+1, f.now, logr.Discard()).Step(f.now, f.now)
		}
	})
}

// measureRounds reports the time of a step with a round.
func (f *benchFleet) measureRounds(b *testing.B) {
	f.measuring = true
	for b.Loop() {
		f.advance(120 * time.Millisecond)
		f.deliver(f.step())
	}
	b.ReportMetric(float64(f.spent.Nanoseconds())/float64(b.N), "ns/op")
	b.ReportMetric(float64(f.longest.Nanoseconds()), "longest-ns")
}

// BenchmarkBacklog reports the time of a step with a round beside due steps that can't start. It
// is to stay flat, and has to stay below the time between two heartbeats.
func BenchmarkBacklog(b *testing.B) {
	fleet.StopAudits()
	defer fleet.StartAudits()
	for _, s := range backlogShapes {
		for _, due := range []int{0, 1_000, 10_000, 100_000, 400_000} {
			b.Run(fmt.Sprintf("%s/due=%d", s.name, due), func(b *testing.B) {
				f := newBenchFleetOf(b, backlogExecutors, backlogExecutors, 0)
				f.submitBacklog(due, s.shape)
				f.run(backlogWarmUp)
				f.measureRounds(b)
			})
		}
	}
}
