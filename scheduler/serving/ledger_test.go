package serving_test

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"cranberrydrum.dev/scheduler/serving"
	"cranberrydrum.dev/scheduler/structs"
)

func newLedger() *serving.SlotLedger {
	l := serving.NewSlotLedger(-time.Hour, serving.LedgerConfig{Self: "host-a", Hosts: hosts, Incarnation: 1})
	l.Step(0, serving.ExecutorSlots{Executor: "e", Slots: 8})
	return l
}

// Guards against a lease that returns to the lender at the peak of the load, and
// against one that is extended although more important work is queued at the
// lender.
var _ = ginkgo.DescribeTable("a lease is extended unless more important work is queued at the lender",
	func(here, peer structs.Class, extended bool) {
		l := newLedger()
		lent := effectsOf[serving.LendSlots](l.Step(0, serving.SlotsRequested{From: "host-b", Executor: "e", Count: 1, Waiting: peer, Sequence: 1}))
		gomega.Expect(lent).To(gomega.HaveLen(1))
		l.Step(time.Second, serving.SlotUseReported{Use: []serving.SlotUse{{Executor: "e", Waiting: here}}})
		again := l.Step(time.Second, serving.SlotsRequested{From: "host-b", Executor: "e", Lease: lent[0].Lease, Waiting: peer, Sequence: 2})
		gomega.Expect(len(effectsOf[serving.LendSlots](again)) == 1).To(gomega.Equal(extended))
	},
	ginkgo.Entry("nothing is queued at the lender", structs.Class(""), structs.ClassBulk, true),
	ginkgo.Entry("equal importance", structs.ClassNormal, structs.ClassNormal, true),
	ginkgo.Entry("more important work at the peer", structs.ClassNormal, structs.ClassUrgent, true),
	ginkgo.Entry("more important work at the lender", structs.ClassUrgent, structs.ClassNormal, false),
)

// Guards against extending a lease that the lender did not extend. The lender
// would use the slots again while the borrower still uses them.
var _ = ginkgo.DescribeTable("only a response that names the lease extends it",
	func(lease string, until time.Duration) {
		l := newLedger()
		request := effectsOf[serving.RequestSlots](l.Step(0, serving.SlotUseReported{Use: []serving.SlotUse{{Executor: "e", Wanted: 1, Waiting: structs.ClassUrgent}}}))[0]
		l.Step(0, serving.SlotsLent{From: "host-b", Executor: "e", Lease: "first", Count: 1, Duration: serving.DefaultLendFor, Sequence: request.Sequence})
		now := 3 * time.Second
		use := serving.SlotUse{Executor: "e", Leases: map[string]int{"first": 1}, Waiting: structs.ClassUrgent}
		request = effectsOf[serving.RequestSlots](l.Step(now, serving.SlotUseReported{Use: []serving.SlotUse{use}}))[0]
		gomega.Expect(request.Lease).To(gomega.Equal("first"))
		l.Step(now, serving.SlotsLent{From: "host-b", Executor: "e", Lease: lease, Count: 1, Duration: serving.DefaultLendFor, Sequence: request.Sequence})
		// The next SlotsChanged is the end of the lease.
		gomega.Expect(effectsOf[serving.SlotsChanged](l.Step(until-1, serving.LedgerTick{}))).To(gomega.BeEmpty())
		gomega.Expect(effectsOf[serving.SlotsChanged](l.Step(until, serving.LedgerTick{}))).To(gomega.HaveLen(1))
	},
	ginkgo.Entry("the same lease", "first", 8*time.Second),
	ginkgo.Entry("another lease", "second", 5*time.Second),
)
