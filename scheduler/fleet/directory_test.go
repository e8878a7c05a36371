package fleet_test

import (
	"math"
	"time"

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

	// Guards against a new leader that ends the runs of an executor which still runs, because a
	// report of another sender with its address was stored before the change of the leader.
	DescribeTable("at the address of an executor with runs ends no run by itself", func(incarnation int64) {
		h := newHarnessWithExecutors()
		on := h.startOne("a")
		h.listRun(on, "a", 1)
		key := workload.ExecutorKey{ID: on, Incarnation: 1}
		h.apply(&workload.Command{Register: &workload.Executor{
			Key: workload.ExecutorKey{ID: "i-9", Incarnation: incarnation}, Service: "s", Address: h.state.Executor(on).Address}})
		for term := uint64(3); term < 23; term++ {
			// The order of the entries is random.
			h.changeLeader(term)
			Expect(h.state.Job("a").Occurrences[0].Steps[0].Tasks[0].LastRun).To(Equal(1))
			Expect(h.state.RunsOn(key)).NotTo(BeEmpty())
		}
		h.answerSince(h.now, key, h.listAs(1, "a"))
		h.answerSince(h.now, workload.ExecutorKey{ID: "i-9", Incarnation: incarnation}, otherAnswers)
		h.advance(2*time.Second, 4)
		Expect(h.executorsOf("a")).To(ConsistOf(on))
		Expect(h.state.Executor(on).Key).To(Equal(key))
	},
		Entry("of a later incarnation", int64(5)),
		Entry("of an earlier incarnation", int64(0)),
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
