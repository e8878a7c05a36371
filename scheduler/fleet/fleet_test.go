package fleet_test

import (
	"fmt"
	"os"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"cranberrydrum.dev/coord/testflags"
)

// TestMain fixes the seed and the number of checks unless they were given.
// A longer run: go test ./scheduler/fleet -rapid.checks=2000 -rapid.seed=N.
func TestMain(m *testing.M) {
	testflags.SetDefaults(map[string]string{"rapid.seed": "20261204", "rapid.checks": "40", "rapid.nofailfile": "true"})
	os.Exit(m.Run())
}

func TestFleet(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "fleet")
}

// TestModel plays random jobs and faults. It guards against two runs of a task
// at once, a start after an acknowledged end, more on an executor than it has
// room for, a step before those it depends on, starts after a cancel, after a
// farewell or beyond the attempts of a task, and jobs that never end.
func TestModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		share := func(most float64, label string) float64 {
			return most * float64(rapid.IntRange(0, 4).Draw(t, label)) / 4
		}
		f := faults{
			loseAnswer: share(0.2, "loseAnswer"), late: share(0.15, "late"), fail: share(0.1, "fail"),
			crash: share(0.05, "crash"), cut: share(0.1, "cut"), newLeader: share(0.3, "newLeader"),
			drain: share(0.05, "drain"),
		}
		w := newWorld(rapid.Uint64().Draw(t, "seed"), 4, f)
		w.run(3 * time.Second)
		var ids []string
		for n := range 14 {
			ids = append(ids, w.submit(n+1))
			w.run(time.Duration(w.rng.IntN(2000)) * time.Millisecond)
			if w.chance(0.15) {
				w.cancel(ids[w.rng.IntN(len(ids))])
			}
		}
		w.run(10 * time.Second)
		w.faults = faults{}
		for _, e := range w.executors {
			e.cut = false
		}
		w.run(tailTime)
		if w.broken != "" {
			t.Fatal(w.broken)
		}
		for _, id := range ids {
			if j := w.state.Job(id); !w.explained(j) {
				t.Fatal(fmt.Sprintf("job %s is %s at the end: %+v", id, j.Phase, j.Occurrences))
			}
		}
	})
}

// TestGuarantees plays random load without faults. It guards against urgent jobs
// inside the guarantee of their customer that do not begin in time, and gangs
// that are not started whole.
func TestGuarantees(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.Uint64().Draw(t, "seed"), 8, faults{})
		w.calm = true
		w.run(3 * time.Second)
		for n := range 40 {
			id := w.submit(n + 1)
			if j := w.state.Job(id); j.Priority == 0 {
				w.promise(j)
			}
			w.run(time.Duration(w.rng.IntN(600)) * time.Millisecond)
		}
		w.run(10 * time.Second)
		if w.broken != "" {
			t.Fatal(w.broken)
		}
	})
}
