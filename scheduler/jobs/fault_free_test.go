package jobs_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"cranberrydrum.dev/scheduler/structs"
)

const (
	faultFreeSeeds    = 30
	faultyWorkerSeeds = 3
)

func newFaultFreeSim(seed uint64, faulty int, fail func(string, ...any)) *sim {
	s := newSim(seed, 8, faulty, fail)
	s.faults = false
	s.shutdown = killTime
	// The first messages were sent with faults and take up to 10 s.
	s.advance(12 * time.Second)
	return s
}

// waitUntil advances the simulation until a condition holds and returns the time
// it took.
func (s *sim) waitUntil(done func() bool) time.Duration {
	start := s.now
	for !done() {
		if s.now-start > 10*time.Minute {
			s.fail("the condition does not hold within 10 minutes")
		}
		s.advance(10 * time.Millisecond)
	}
	return s.now - start
}

// runningTasks counts the tasks of a run that exist on the simulated workers.
func (s *sim) runningTasks(id string, run uint64) int {
	n := 0
	for _, w := range s.workers {
		if w.tasks[runKey{id, run}] != nil {
			n++
		}
	}
	return n
}

// TestReactionTimes checks, without message faults, that an urgent gang starts
// within 4.8 s and that a gang that lost a member stops within maxStopDelay and
// restarts within 4.8 s. It logs the slowest cases.
func TestReactionTimes(t *testing.T) {
	var slowestStart, slowestStop, slowestRestart time.Duration
	for seed := range uint64(faultFreeSeeds) {
		s := newFaultFreeSim(seed, 0, t.Fatalf)
		s.longTasks = true
		s.submit(structs.JobSpec{Name: "gang", Customer: "b", Accelerators: 24, Priority: structs.PriorityUrgent}, false)
		id := s.follower.Jobs("")[0].ID
		slowestStart = max(slowestStart, s.waitUntil(func() bool { return s.runningTasks(id, 1) == 6 }))
		s.workers[2].crash()
		slowestStop = max(slowestStop, s.waitUntil(func() bool { return s.runningTasks(id, 1) == 0 }))
		slowestRestart = max(slowestRestart, s.waitUntil(func() bool { return s.runningTasks(id, 2) == 6 }))
	}
	t.Logf("slowest of %d: start of a gang of 6 workers %v, stop after the loss of a worker %v, restart after the stop %v",
		faultFreeSeeds, slowestStart, slowestStop, slowestRestart)
	g := NewWithT(t)
	g.Expect(slowestStart).To(BeNumerically("<", 4800*time.Millisecond))
	g.Expect(slowestStop).To(BeNumerically("<", maxStopDelay))
	g.Expect(slowestRestart).To(BeNumerically("<", 4800*time.Millisecond))
}

// TestPreemption guards the checkpoint deadline: an urgent job must start even if
// the checkpoint of the preempted job never completes.
func TestPreemption(t *testing.T) {
	var slowest [2]time.Duration
	for seed := range uint64(faultFreeSeeds) {
		s := newFaultFreeSim(seed, 0, t.Fatalf)
		s.longTasks, s.checkpointsHang = true, seed%2 == 1
		s.submit(structs.JobSpec{Name: "bulk", Customer: "b", Accelerators: 32, CheckpointTime: time.Second}, false)
		s.waitUntil(func() bool { return s.runningTasks(s.follower.Jobs("")[0].ID, 1) == 8 })
		s.submit(structs.JobSpec{Name: "urgent", Customer: "b", Accelerators: 4, Priority: structs.PriorityUrgent}, false)
		took := s.waitUntil(func() bool { return s.runningTasks(s.follower.Jobs("")[1].ID, 1) == 1 })
		slowest[seed%2] = max(slowest[seed%2], took)
	}
	t.Logf("slowest start by preemption with a grace of 3 s: %v, with a hanging checkpoint %v", slowest[0], slowest[1])
	NewWithT(t).Expect(slowest[1]).To(BeNumerically("<", 10*time.Second))
}

// TestFaultyWorker checks that a worker on which every task fails is quarantined
// before it fails many runs, also across leader changes, and that no good job
// ends as failed because of it.
func TestFaultyWorker(t *testing.T) {
	g := NewWithT(t)
	worst := 0
	for seed := range uint64(faultyWorkerSeeds) {
		s := newFaultFreeSim(seed, 1, t.Fatalf)
		for i := range 150 {
			s.submit(structs.JobSpec{Name: fmt.Sprint(i), Customer: "b", Accelerators: 1, DeclaredRuntime: 4 * time.Second}, false)
			if i%50 == 49 {
				s.depose()
				s.advance(20 * time.Second)
			}
		}
		s.advance(10 * time.Minute)
		failed := 0
		for _, j := range s.follower.Jobs("") {
			g.Expect(j.Status).To(Equal(structs.JobSucceeded), j.Reason)
			failed += j.Attempts
		}
		worst = max(worst, failed)
	}
	t.Logf("worst of %d: %d failed runs among 150 jobs", faultyWorkerSeeds, worst)
	g.Expect(worst).To(BeNumerically("<=", 5+4+6), "quarantine threshold less one, accelerators of the worker, probes")
}
