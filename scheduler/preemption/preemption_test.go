package preemption_test

import (
	"math/bits"
	"os"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"cranberrydrum.dev/coord/testflags"
	"cranberrydrum.dev/scheduler/preemption"
)

// TestMain fixes the seed of the stateful tests unless one is given.
func TestMain(m *testing.M) {
	testflags.SetDefaults(map[string]string{"rapid.seed": "20261204"})
	os.Exit(m.Run())
}

func TestPreemption(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "preemption")
}

// Guards against checkpoints that cannot end within the grace or cost more
// than the work they save.
var _ = DescribeTable("Assess",
	func(j preemption.Job, checkpoint bool, lost float64) {
		j.Accelerators = 4
		assessment := preemption.Assess(10*time.Hour, 2*time.Second, j)
		Expect(assessment.Checkpoint).To(Equal(checkpoint))
		Expect(assessment.Cost.LostAcceleratorHours).To(BeNumerically("~", lost, 1e-9))
	},
	Entry("reserved only", preemption.Job{}, false, 0.0),
	Entry("no checkpoint", preemption.Job{Running: true, Started: 8 * time.Hour}, false, 8.0),
	Entry("since the last checkpoint", preemption.Job{Running: true, Started: time.Hour, Checkpointed: 9 * time.Hour}, false, 4.0),
	Entry("within the grace", preemption.Job{Running: true, Started: time.Hour, CheckpointTime: 1800 * time.Millisecond}, true, 0.002),
	Entry("longer than the grace", preemption.Job{Running: true, Started: 9 * time.Hour, CheckpointTime: 3 * time.Second}, false, 4.0),
	Entry("not worth it", preemption.Job{
		Running: true, Started: 10*time.Hour - time.Second, CheckpointTime: 2 * time.Second,
	}, false, 4.0/3600),
)

// TestChooseIsCheapest guards against choosing a set of units for which another
// set loses less, or against freeing more units than asked for.
func TestChooseIsCheapest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 8).Draw(t, "n")
		k := rapid.IntRange(0, n).Draw(t, "k")
		var victims []preemption.Victim
		for range rapid.IntRange(0, 10).Draw(t, "jobs") {
			victims = append(victims, preemption.Victim{
				Units: rapid.Uint64Range(1, 1<<n-1).Draw(t, "units"),
				Cost: preemption.Cost{
					LastResort: rapid.IntRange(0, 1).Draw(t, "spared"), Jobs: 1, LostAcceleratorHours: float64(rapid.IntRange(0, 9).Draw(t, "lost")),
				},
			})
		}
		units, cost, ok := preemption.Choose(n, k, victims)
		if !ok || bits.OnesCount64(units) != k || cost != preemption.CostOf(units, victims) {
			t.Fatalf("chose %b with cost %+v", units, cost)
		}
		for set := range uint64(1) << n {
			if bits.OnesCount64(set) == k && preemption.CostOf(set, victims).Compare(cost) < 0 {
				t.Fatalf("%b costs less than %b", set, units)
			}
		}
	})
}
