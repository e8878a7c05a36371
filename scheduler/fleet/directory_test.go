package fleet_test

import (
	"math"

	"github.com/go-logr/logr"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cranberrydrum.dev/scheduler/fleet"
	"cranberrydrum.dev/scheduler/workload"
)

var _ = Describe("an odd entry of the directory", func() {
	// Guards against an entry that an earlier version stored: each new leader dials what
	// cannot be dialled, sums that overflow, or drops the true executor at an address.
	DescribeTable("is not used by a new leader and is removed",
		func(odd workload.Executor) {
			h := newHarness()
			h.report(1, nil)
			h.apply(&workload.Command{Register: &odd})
			snapshot, err := h.state.Snapshot()
			Expect(err).NotTo(HaveOccurred())
			h.state = workload.New()
			Expect(h.state.Restore(snapshot)).To(Succeed())
			h.controller = fleet.New(modelSettings, h.state, 3, h.now, logr.Discard())
			Expect(h.controller.ExecutorCount()).To(Equal(1))
			h.step()
			Expect(h.calls).NotTo(BeEmpty())
			for _, call := range h.calls {
				Expect(call.Executor.ID).To(Equal("i-1"))
			}
			Expect(h.state.Executor(odd.Key.ID)).To(BeNil())
			Expect(h.state.Executor("i-1")).NotTo(BeNil())
		},
		Entry("a port out of range", workload.Executor{Key: workload.ExecutorKey{ID: "i-9", Incarnation: 1}, Service: "s", Address: "10.0.0.9:99999"}),
		Entry("no host", workload.Executor{Key: workload.ExecutorKey{ID: "i-9", Incarnation: 1}, Service: "s", Address: ":80"}),
		Entry("a capacity whose sum overflows", workload.Executor{Key: workload.ExecutorKey{ID: "i-9", Incarnation: 1}, Service: "s", Address: "10.0.0.9:80",
			Capacity: workload.Resources{CPU: math.MaxInt64}}),
		Entry("an incarnation out of range at the address of another executor", workload.Executor{
			Key: workload.ExecutorKey{ID: "i-9", Incarnation: math.MaxInt64}, Service: "s", Address: "10.0.0.1:80"}),
		Entry("an odd identifier", workload.Executor{Key: workload.ExecutorKey{ID: "i\n9", Incarnation: 1}, Service: "s", Address: "10.0.0.9:80"}),
	)

	// Guards against an executor that stays unknown to all later leaders because an odd
	// entry has its identifier and an incarnation that no later one exceeds.
	It("gives way to the executor of that identifier", func() {
		h := newHarness()
		h.apply(&workload.Command{Register: &workload.Executor{Key: workload.ExecutorKey{ID: "i-1", Incarnation: math.MaxInt64}, Service: "s", Address: "10.0.0.1:99999"}})
		h.changeLeader(3)
		h.report(1, nil)
		Expect(h.state.Executor("i-1").Key.Incarnation).To(Equal(int64(1)))
		h.changeLeader(4)
		Expect(h.controller.ExecutorCount()).To(Equal(1))
	})
})
