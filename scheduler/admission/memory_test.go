package admission_test

import (
	"errors"
	"fmt"
	"runtime"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cranberrydrum.dev/scheduler/admission"
	"cranberrydrum.dev/scheduler/structs"
	"cranberrydrum.dev/scheduler/workload"
)

// yearly is a job that is due every hour for a year.
func yearly() *workload.Spec {
	return &workload.Spec{Repeats: 8760, FirstDue: time.Hour, Interval: time.Hour, Steps: []workload.Step{{Count: 4, Estimate: time.Second}}}
}

// Guards against accepted jobs that take all hosts over their memory, again after each
// restart, so that none of them is known any more.
var _ = Describe("jobs whose state takes the memory of the hosts", func() {
	var s *host

	submit := func(n int, spec *workload.Spec) *structs.Refusal {
		GinkgoHelper()
		_, command, err := s.policy.Decide(s.state, &admission.Request{
			Operation: admission.OpSubmit, Host: "h.example", Path: fmt.Sprintf("/a/%016x", n), Key: "key-a", Spec: spec,
		}, s.now)
		var refused *structs.Refusal
		if errors.As(err, &refused) {
			return refused
		}
		Expect(err).NotTo(HaveOccurred())
		Expect(s.apply(command)).To(Equal(workload.ResultApplied))
		return nil
	}

	BeforeEach(func() {
		s = newHost(queue("q", "/a/"))
		s.policy.MaxStateBytes = 3 * yearly().StateBytes()
	})

	It("are refused as not run, until the first of them has expired", func() {
		for n := range 3 {
			Expect(submit(n, yearly())).To(BeNil())
		}
		for range 2 {
			refused := submit(3, yearly())
			Expect(refused.Code).To(Equal(structs.CodeQueueFull))
			Expect(refused.Outcome).To(Equal(structs.OutcomeNotRun))
			Expect(refused.RetryAfter).To(Equal(s.policy.Retention))
			s.restart()
		}
		id := fmt.Sprintf("%016x", 0)
		s.apply(&workload.Command{At: s.now, Cancel: id})
		s.now += s.policy.Retention / 2
		Expect(submit(3, yearly()).RetryAfter).To(Equal(s.policy.Retention / 2))
		s.apply(&workload.Command{Purge: []string{id}})
		Expect(submit(3, yearly())).To(BeNil())
	})

	It("are refused for good if one alone exceeds it", func() {
		spec := yearly()
		spec.Steps[0].Count = 11
		Expect(spec.Validate()).To(Succeed())
		s.policy.MaxStateBytes = spec.StateBytes() - 1
		refused := submit(1, spec)
		Expect(refused.Code).To(Equal(structs.CodeNeverRunnable))
		Expect(refused.RetryAfter).To(BeZero())
	})

	// Guards against an estimate that admits more than fits.
	DescribeTable("are counted with what they take",
		func(jobs int, spec workload.Spec) {
			s.policy.MaxStateBytes = 1 << 40
			allocated := func() uint64 {
				var stats runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&stats)
				return stats.HeapAlloc
			}
			before, stored := allocated(), s.state.StateBytes()
			for n := range jobs {
				Expect(submit(n, &spec)).To(BeNil())
			}
			taken := float64(allocated()-before) / float64(jobs)
			Expect(float64(s.state.StateBytes()-stored) / float64(jobs)).To(BeNumerically("~", taken, 0.05*taken+2048))
			runtime.KeepAlive(s.state)
		},
		Entry("many occurrences", 20, *yearly()),
		Entry("one task", 1000, workload.Spec{Steps: []workload.Step{{Count: 1}}}),
		Entry("many tasks and a long payload", 200, workload.Spec{Payload: strings.Repeat("p", 4000), Steps: []workload.Step{{Count: 100}, {Count: 30, DependsOn: []int{0}}}}),
	)
})
