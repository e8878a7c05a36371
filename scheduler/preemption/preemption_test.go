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

// TestMain sets the default seed of the property tests; the command line overrides
// it.
func TestMain(m *testing.M) {
	testflags.SetDefaults(map[string]string{"rapid.seed": "20261204"})
	os.Exit(m.Run())
}

func TestPreemption(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "preemption")
}

// Guards against checkpoints that cannot end within the grace period, or that take
// longer than the work that they save.
var _ = DescribeTable("Assess",
	func(j preemption.Job, checkpoint bool, lost float64) {
		j.Accelerators = 4
		assessment := preemption.Assess(10*time.Hour, 2*time.Second, j)
		Expect(assessment.Checkpoint).To(Equal(checkpoint))
		Expect(assessment.Cost.LostAcceleratorHours).To(BeNumerically("~", lost, 1e-9))
	},
	Entry("reserved and not running", preemption.Job{}, false, 0.0),
	Entry("cannot checkpoint", preemption.Job{Running: true, Started: 8 * time.Hour}, false, 8.0),
	Entry("loses only the work since the last checkpoint", preemption.Job{Running: true, Started: time.Hour, Checkpointed: 9 * time.Hour}, false, 4.0),
	Entry("checkpoint within the grace period", preemption.Job{Running: true, Started: time.Hour, CheckpointTime: 1800 * time.Millisecond}, true, 0.002),
	Entry("checkpoint longer than the grace period", preemption.Job{Running: true, Started: 9 * time.Hour, CheckpointTime: 3 * time.Second}, false, 4.0),
	Entry("checkpoint longer than the work that it saves", preemption.Job{
		Running: true, Started: 10*time.Hour - time.Second, CheckpointTime: 2 * time.Second,
	}, false, 4.0/3600),
)

// TestChooseIsCheapest guards against choosing a set of units although another set
// costs less, and against freeing more or fewer units than requested.
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
			t.Fatalf("units %b with cost %+v have the wrong size or cost", units, cost)
		}
		for set := range uint64(1) << n {
			if bits.OnesCount64(set) == k && preemption.CostOf(set, victims).Compare(cost) < 0 {
				t.Fatalf("units %b cost less than the chosen %b", set, units)
			}
		}
	})
}
