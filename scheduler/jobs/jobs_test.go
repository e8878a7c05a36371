package jobs_test

import (
	"fmt"
	"maps"
	"os"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"cranberrydrum.dev/coord/testflags"
	"cranberrydrum.dev/scheduler/structs"
)

// TestMain sets the seed and the number of checks unless they are given on the
// command line.
func TestMain(m *testing.M) {
	testflags.SetDefaults(map[string]string{"rapid.seed": "7", "rapid.checks": "20"})
	os.Exit(m.Run())
}

func TestJobs(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "jobs")
}

// TestFaults runs jobs under leader changes, message faults and worker faults. It
// guards against double use of accelerators, two simultaneous runs of one job,
// gangs that run only in part, and jobs that are lost or never end.
func TestFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		faulty := rapid.IntRange(0, 2).Draw(rt, "bad workers")
		s := newSim(seed, 8, faulty, rt.Fatalf)
		s.advance(3 * time.Second)
		steps := rapid.IntRange(10, 60).Draw(rt, "steps")
		for i := range steps {
			faultStep(rt, s, i)
			s.advance(time.Duration(rapid.IntRange(20, 2500).Draw(rt, "ms")) * time.Millisecond)
		}
		s.endFaults()
		s.advance(10 * time.Minute)
		s.checkEnd()
	})
}

// faultStep executes one random client action or fault.
func faultStep(rt *rapid.T, s *sim, i int) {
	w := s.workers[rapid.IntRange(0, len(s.workers)-1).Draw(rt, "worker")]
	switch rapid.SampledFrom([]string{"submit", "submit", "submit", "cancel", "crash", "freeze", "cut", "slow", "leader", "pause", "leave", "config", "heal"}).Draw(rt, "action") {
	case "submit":
		s.submit(structs.JobSpec{
			Name: fmt.Sprint(i), Customer: rapid.SampledFrom([]string{"a", "b"}).Draw(rt, "customer"),
			Accelerators:    rapid.SampledFrom([]int{1, 1, 2, 4, 6, 12}).Draw(rt, "accelerators"),
			Priority:        structs.Priority(rapid.IntRange(0, 2).Draw(rt, "priority")),
			DeclaredRuntime: 4 * time.Second, CheckpointTime: time.Duration(rapid.IntRange(0, 2).Draw(rt, "checkpoint")) * time.Second,
		}, rapid.IntRange(0, 5).Draw(rt, "bad") == 0)
	case "cancel":
		if ids := slices.Sorted(maps.Keys(s.accepted)); len(ids) > 0 {
			s.cancel(rapid.SampledFrom(ids).Draw(rt, "job"))
		}
	case "crash":
		if w.alive {
			w.crash()
			s.after(s.upTo(15*time.Second), w.restart)
		}
	case "freeze":
		w.frozen = w.alive
		s.after(s.upTo(15*time.Second), w.thaw)
	case "cut":
		w.partitioned = true
		s.after(s.upTo(15*time.Second), func() { w.partitioned = false })
	case "slow":
		w.slow = s.upTo(5 * time.Second)
		s.after(s.upTo(15*time.Second), func() { w.slow, w.partitioned = 0, w.partitioned || s.chance(0.5) })
		s.after(25*time.Second, func() { w.partitioned = false })
	case "pause":
		s.pausedUntil = s.now + s.upTo(3*time.Second)
	case "leave":
		s.leave(w)
	case "config":
		s.configure(rapid.IntRange(12, 32).Draw(rt, "quota"))
	case "leader":
		s.depose()
	case "heal":
		s.advance(5 * time.Second)
	}
}

// endFaults ends the message faults, submits further jobs and crashes one worker.
func (s *sim) endFaults() {
	s.advance(30 * time.Second)
	s.faults = false
	s.configure(32)
	s.faultsEndedAt = s.now
	for i := range 4 {
		s.submit(structs.JobSpec{Name: fmt.Sprint("final", i), Customer: "b", Accelerators: 6}, false)
	}
	s.advance(10 * time.Second)
	w := s.workers[s.rng.IntN(len(s.workers))]
	if w.alive {
		w.crash()
		s.after(20*time.Second, w.restart)
	}
}
