package fleet_test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"cranberrydrum.dev/coord/testflags"
)

// TestMain fixes the seed and the number of checks unless they are given. A
// longer run: go test ./scheduler/fleet -rapid.checks=2000 -rapid.seed=N.
func TestMain(m *testing.M) {
	testflags.SetDefaults(map[string]string{"rapid.seed": "20261204", "rapid.checks": "40", "rapid.nofailfile": "true"})
	os.Exit(m.Run())
}

func TestFleet(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "fleet")
}

// TestModel runs random jobs with random faults: lost responses, late orders, calls that
// an executor refuses although an earlier one is still on its way,
// orders that the leader did not send, paused and replaced leaders that start
// from a snapshot, executors that crash, drain, leave or are partitioned, late reports and
// reports of other senders. It guards against two
// concurrent runs of a task, a start after an acknowledged end, exceeding the
// capacity of an executor, starting a step before its dependencies are done,
// starts after a cancel, after a departure notice, in an evacuated failure domain or beyond the maximum
// attempts of a task, and jobs that never end.
func TestModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { checkModel(t, false, false) })
}

// checkModel runs the jobs and faults of TestModel. If littleWork is set, a round tries few task
// sets. If repeated is set, there are jobs of many occurrences, too.
func checkModel(t *rapid.T, littleWork, repeated bool) {
	share := func(most float64, label string) float64 {
		return most * float64(rapid.IntRange(0, 4).Draw(t, label)) / 4
	}
	f := faults{
		loseResponse: share(0.2, "loseResponse"), delayCall: share(0.15, "delayCall"), fail: share(0.1, "fail"),
		crash: share(0.05, "crash"), partition: share(0.1, "partition"), newLeader: share(0.3, "newLeader"),
		drain: share(0.05, "drain"), pause: share(0.05, "pause"), leave: share(0.05, "leave"), notSend: share(0.1, "notSend"),
		refuse: share(0.5, "refuse"), foreign: share(0.4, "foreign"), restart: share(1, "restart"),
		evacuate: share(0.3, "evacuate"),
	}
	seed := rapid.Uint64().Draw(t, "seed")
	cl := newCluster(seed, 4, f)
	if littleWork {
		cl.limitWork()
	}
	if repeated {
		cl.listedEnds = platformListedEnds
	}
	repeatedRNG := rand.New(rand.NewPCG(seed, 2))
	cl.run(3 * time.Second)
	var ids []string
	for n := range 14 {
		ids = append(ids, cl.submit(n+1))
		if repeated && n%3 == 0 {
			ids = append(ids, cl.submitRepeated(repeatedRNG, firstRepeated+n))
		}
		cl.run(time.Duration(cl.rng.IntN(2000)) * time.Millisecond)
		if cl.chance(0.15) {
			cl.cancel(ids[cl.rng.IntN(len(ids))])
		}
	}
	cl.run(10 * time.Second)
	cl.faults = faults{}
	for _, e := range cl.executors {
		e.partitioned = false
	}
	cl.pausedUntil = 0
	cl.hasAwaitedLabel = true
	cl.finishEvacuations()
	cl.run(settleTime)
	if cl.violation != "" {
		t.Fatal(cl.violation)
	}
	for _, id := range ids {
		if j := cl.state.Job(id); !cl.endedCorrectly(j) {
			t.Fatal(fmt.Sprintf("job %s is %s at the end: %+v", id, j.Phase, j.Occurrences))
		}
	}
}

// TestGuarantees runs random load without faults. It guards against urgent jobs
// inside the guarantee of their customer that do not start in time, and gangs
// that are started only in part.
func TestGuarantees(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cl := newCluster(rapid.Uint64().Draw(t, "seed"), 8, faults{})
		cl.faultFree = true
		cl.run(3 * time.Second)
		for n := range 40 {
			id := cl.submit(n + 1)
			if j := cl.state.Job(id); j.Priority == 0 {
				cl.expectStart(j)
			}
			cl.run(time.Duration(cl.rng.IntN(600)) * time.Millisecond)
		}
		cl.run(10 * time.Second)
		if cl.violation != "" {
			t.Fatal(cl.violation)
		}
	})
}

// TestReclaim submits urgent jobs inside the guarantee of their customer while the
// executors are full of less urgent work. It guards against a reclaim that begins
// too late or frees too little.
func TestReclaim(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cl := newCluster(rapid.Uint64().Draw(t, "seed"), 4, faults{})
		cl.faultFree = true
		cl.run(3 * time.Second)
		for n := range 4 {
			cl.submitFiller(n + 1)
		}
		cl.run(2 * time.Second)
		for n := range 3 {
			gpus := int64(1) << rapid.IntRange(0, 3).Draw(t, "accelerators")
			j := cl.submitGuaranteed(100+n, gpus, rapid.Bool().Draw(t, "gang"))
			cl.expectStart(j)
			cl.run(time.Duration(4+rapid.IntRange(0, 3).Draw(t, "pause")) * time.Second)
			cl.cancel(j.ID)
			cl.run(time.Second)
		}
		if cl.violation != "" {
			t.Fatal(cl.violation)
		}
	})
}
