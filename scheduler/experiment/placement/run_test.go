package placement

import (
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cranberrydrum.dev/scheduler/structs"
)

func TestExperiment(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "placement experiment")
}

var _ = Describe("the placement experiment", func() {
	// Guards against results that differ between runs of one seed, and against a
	// workload that cannot show violations: no customer requests a free
	// guarantee, or every policy keeps the guarantees.
	It("is deterministic, and keeps the guarantees with the scheduler but not with first come, first served", func() {
		o := Options{Size: SizeRemada, Length: 24 * time.Hour, Seed: 1}
		table := Run(o)
		Expect(Run(o).CSV()).To(Equal(table.CSV()))
		scheduler := table.Rows[0]
		Expect(scheduler.Violations).To(BeZero())
		Expect(scheduler.DoubleUse).To(BeZero())
		Expect(scheduler.Unfinished).To(BeZero())
		Expect(scheduler.Probes).To(BeNumerically(">", 0))
		Expect(scheduler.UrgentMax).To(BeNumerically("<=", 2500*time.Millisecond))
		Expect(table.Rows[1].Violations).To(BeNumerically(">", 0))
		Expect(scheduler.Refused).To(BeNumerically(">", 0))
	})
})

// TestTables prints the tables of the deployment sizes in PLACEMENT_SIZES. These
// variables are optional: PLACEMENT_POLICIES, PLACEMENT_LENGTH (a duration),
// PLACEMENT_SEED, PLACEMENT_SIGMA (error of declared run times) and
// PLACEMENT_COMPLETION (share of the completion metric in the policy, 0 to 1).
func TestTables(t *testing.T) {
	if os.Getenv("PLACEMENT_SIZES") == "" {
		t.Skip("PLACEMENT_SIZES is not set")
	}
	o := Options{Seed: 1}
	for _, name := range strings.Fields(os.Getenv("PLACEMENT_POLICIES")) {
		o.Policies = append(o.Policies, Policy(name))
	}
	o.Length, _ = time.ParseDuration(os.Getenv("PLACEMENT_LENGTH"))
	if seed, err := strconv.ParseUint(os.Getenv("PLACEMENT_SEED"), 10, 64); err == nil {
		o.Seed = seed
	}
	o.ErrorSigma, _ = strconv.ParseFloat(os.Getenv("PLACEMENT_SIGMA"), 64)
	if completion, err := strconv.ParseFloat(os.Getenv("PLACEMENT_COMPLETION"), 64); err == nil {
		o.Setting = structs.Policy{Completion: completion, Crest: 1 - completion}
	}
	for _, size := range strings.Fields(os.Getenv("PLACEMENT_SIZES")) {
		o.Size = Size(size)
		begin := time.Now()
		table := Run(o)
		t.Logf("%s seed %d in %v\n%s", size, o.Seed, time.Since(begin), table)
	}
}
