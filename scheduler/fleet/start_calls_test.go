package fleet_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cranberrydrum.dev/scheduler/fleet"
	"cranberrydrum.dev/scheduler/workload"
)

var _ = Describe("a start that got no response", func() {
	const id = "0000000000000001"
	var h *harness
	var on string
	var number int

	BeforeEach(func() {
		h = newHarnessWithExecutors()
		h.dropOrders = true
		on = h.startOne(id)
		number = int(on[2] - '0')
		h.now += 500 * time.Millisecond
		h.answer(h.lastCall(fleet.CallStart, on), fleet.Response{Verdict: fleet.VerdictNoResponse})
	})

	// repeat lets the leader send the start again, answers that call, and lets it read
	// lists without the run.
	repeat := func(verdict fleet.Verdict) {
		GinkgoHelper()
		before := h.lastCall(fleet.CallStart, on)
		h.advance(120*time.Millisecond, 4)
		again := h.lastCall(fleet.CallStart, on)
		Expect(again.IssuedAt).To(BeNumerically(">", before.IssuedAt))
		h.answer(again, fleet.Response{Verdict: verdict, Incarnation: 1, Clock: h.now})
	}
	listNothing := func() {
		h.answerHold(number, nil)
		h.advance(100*time.Millisecond, 4)
		h.answerHold(number, nil)
		h.advance(100*time.Millisecond, 4)
	}
	task := func() *workload.Task { return &h.state.Job(id).Occurrences[0].Steps[0].Tasks[0] }

	// Guards against a task that runs twice: the refusal of a repeated start was taken to
	// speak for the first call as well, which an executor carries out seconds later.
	DescribeTable("keeps its task and its capacity after a refused repetition, until the stop is confirmed",
		func(verdict fleet.Verdict) {
			repeat(verdict)
			listNothing()
			Expect(h.executorsOf(id)).To(ConsistOf(on))
			Expect(task().LastRun).To(Equal(1))
			h.submit("0000000000000002", 1, workload.Step{Count: 4, Demand: needGPUs(8)})
			h.advance(time.Second, 4)
			Expect(h.executorsOf("0000000000000002")).NotTo(ContainElement(on))
		},
		Entry("by an executor that does nothing", fleet.VerdictRefused),
		Entry("for lack of capacity", fleet.VerdictNoCapacity),
		Entry("for lack of a ticket", fleet.VerdictNoTicket),
		Entry("for its token", fleet.VerdictFenced),
		Entry("that was not sent", fleet.VerdictNotSent),
	)

	// Guards against a task that waits for the end of a lease although its stop was confirmed.
	It("is over once its stop is confirmed and a list does not name it", func() {
		repeat(fleet.VerdictNoCapacity)
		h.advance(100*time.Millisecond, 4)
		h.answer(h.lastCall(fleet.CallStop, on), fleet.Response{Verdict: fleet.VerdictAccepted, Incarnation: 1, Clock: h.now})
		Expect(task().LastRun).To(Equal(1))
		listNothing()
		Expect(task().LastRun).To(Equal(2))
	})

	// Guards against a task that waits for the end of a lease although the executor has said
	// that it carries out no start of the run any more.
	It("is over after the response that the run has ended there and a list without it", func() {
		repeat(fleet.VerdictRunOver)
		listNothing()
		Expect(task().LastRun).To(Equal(2))
	})

	// Guards against calls that only cost: neither capacity nor a ticket comes by repeating
	// a start within its time limit.
	DescribeTable("is stopped at once if a repetition cannot succeed", func(verdict fleet.Verdict, stops int) {
		repeat(verdict)
		h.advance(200*time.Millisecond, 4)
		Expect(h.stopCount()).To(Equal(stops))
	},
		Entry("for lack of capacity", fleet.VerdictNoCapacity, 1),
		Entry("for lack of a ticket", fleet.VerdictNoTicket, 1),
		Entry("but not if the executor may accept the next one", fleet.VerdictRefused, 0),
	)

	// Guards against a task that stays lost once the first call was carried out after all.
	It("runs on if a list names it", func() {
		repeat(fleet.VerdictRefused)
		h.listRun(on, id, 10)
		h.advance(4*time.Second, 4)
		Expect(h.stopCount()).To(BeZero())
		Expect(h.executorsOf(id)).To(ConsistOf(on))
	})

	// Guards against a stop that is sent again with every step of the leader.
	It("limits the rate of refused stops", func() {
		repeat(fleet.VerdictNoCapacity)
		for range 50 {
			h.advance(20*time.Millisecond, 4)
			if call := h.lastCall(fleet.CallStop, on); call.IssuedAt == h.now {
				h.answer(call, fleet.Response{Verdict: fleet.VerdictRefused, Incarnation: 1, Clock: h.now})
			}
		}
		Expect(h.stopCount()).To(BeNumerically("<=", 10))
	})

	// Guards against a task that waits for ever at an executor that renews its lease but
	// carries out no stop, and against its capacity being given out while that lease lasts.
	It("is given up with the lease of an executor that refuses every stop", func() {
		repeat(fleet.VerdictNoCapacity)
		lastDeadline, answered := time.Duration(0), time.Duration(0)
		for end := h.now + 3*modelLease + modelStopTime + time.Second; h.now < end && task().LastRun == 1; {
			h.advance(100*time.Millisecond, 4)
			if call := h.lastCall(fleet.CallStop, on); call.IssuedAt+100*time.Millisecond > h.now {
				h.answer(call, fleet.Response{Verdict: fleet.VerdictRefused, Incarnation: 1, Clock: h.now})
			}
			if hold := h.lastCall(fleet.CallHold, on); hold.IssuedAt > answered && task().LastRun == 1 {
				answered = hold.IssuedAt
				lastDeadline = max(lastDeadline, hold.Deadline)
				h.answerHold(number, nil)
			}
		}
		Expect(task().LastRun).To(Equal(2))
		// The clock of this executor is the one of the leader.
		Expect(h.now).To(BeNumerically(">", lastDeadline))
	})
})
