package fleet_test

import (
	"math"
	"strings"
	"time"

	"github.com/go-logr/logr/funcr"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cranberrydrum.dev/scheduler/fleet"
	"cranberrydrum.dev/scheduler/workload"
)

var _ = Describe("a job with extreme numbers", func() {
	var h *harness
	var lines []string
	placed := func(id, field string) bool {
		for _, line := range lines {
			if strings.Contains(line, `"tasks placed" "job"="`+id+`"`) && strings.Contains(line, field) {
				return true
			}
		}
		return false
	}

	BeforeEach(func() {
		h, lines = newHarness(), nil
		log := funcr.New(func(_, args string) { lines = append(lines, args) }, funcr.Options{})
		h.controller = fleet.New(modelSettings, h.state, 2, h.now, log)
		h.advance(3*time.Second, 4)
	})

	// Guards against a customer whose jobs all count as guaranteed, at the cost of the
	// others, since the sum of what they need overflows.
	It("leaves the guarantee of its customer as it is", func() {
		h.submit("inside", 0, workload.Step{Count: 1, Demand: workload.Resources{GPU: 8}})
		h.submit("odd", 0, workload.Step{Count: 1, Demand: workload.Resources{GPU: math.MaxInt64}})
		h.submit("outside", 0, workload.Step{Count: 1, Demand: workload.Resources{GPU: 8}})
		h.advance(3*time.Second, 4)
		Expect(placed("inside", `"guaranteed"=true`)).To(BeTrue())
		Expect(placed("outside", `"guaranteed"=false`)).To(BeTrue())
	})

	// Guards against a job that has no value from the start, since the sum of its
	// estimates overflows.
	It("is placed in its turn", func() {
		const long = math.MaxInt64 / 2
		h.apply(&workload.Command{At: h.now, Submit: &workload.Job{
			ID: "long", QueueName: "q", Service: "s", Customer: "a", Priority: 1, MaxAttempts: 3, Stretch: 1.5, Target: time.Second,
			Spec: workload.Spec{Steps: []workload.Step{
				{Count: 1, Estimate: long, Demand: workload.Resources{GPU: 8}}, {Count: 1, Estimate: long, DependsOn: []int{0}}, {Count: 1, Estimate: long, DependsOn: []int{1}},
			}},
		}})
		h.submit("next", 1, workload.Step{Count: 4, Demand: workload.Resources{GPU: 8}})
		h.advance(3*time.Second, 4)
		Expect(placed("long", "")).To(BeTrue())
	})
})
