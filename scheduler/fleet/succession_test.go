package fleet_test

import (
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cranberrydrum.dev/scheduler/fleet"
	"cranberrydrum.dev/scheduler/workload"
)

var otherAnswers = fleet.Response{Verdict: fleet.VerdictOtherIncarnation}

// listAs is the answer of an incarnation that runs the first run of a job.
func (h *harness) listAs(incarnation int64, jobs ...string) fleet.Response {
	a := fleet.Response{Verdict: fleet.VerdictAccepted, Complete: true, Incarnation: incarnation, Clock: h.now}
	for _, job := range jobs {
		a.Running = append(a.Running, fleet.RunningTask{Task: workload.TaskKey{Job: job}, Run: 1})
	}
	return a
}

// answerSince answers the holds of an incarnation that were sent from a time on and
// returns how many there were.
func (h *harness) answerSince(since time.Duration, key workload.ExecutorKey, a fleet.Response) int {
	n := 0
	for _, c := range append([]fleet.Call(nil), h.calls...) {
		if c.Kind == fleet.CallHold && c.Executor == key && c.IssuedAt >= since {
			h.answer(c, a)
			n++
		}
	}
	return n
}

// answerFirstHold answers the hold that a newly reported executor gets.
func (h *harness) answerFirstHold(n int, key workload.ExecutorKey) {
	if h.answered == nil {
		h.answered = map[workload.ExecutorKey]bool{}
	}
	h.answered[key] = true
	h.step()
	h.answerHold(n, nil)
	h.calls = slices.DeleteFunc(h.calls, func(c fleet.Call) bool { return c.Kind == fleet.CallHold && c.Executor == key })
	// The next round comes after a pause.
	h.now += 20 * time.Millisecond
}

var _ = Describe("an executor that seems superseded", func() {
	var h *harness
	var on string
	var n int
	var key workload.ExecutorKey
	var since time.Duration

	lastRun := func() int { return h.state.Job("a").Occurrences[0].Steps[0].Tasks[0].LastRun }
	// claim reports another incarnation and moves on by a step.
	claim := func(change func(*fleet.Report)) {
		h.now += 20 * time.Millisecond
		since = h.now
		h.report(n, change)
		for range 3 {
			h.step()
			h.now += 20 * time.Millisecond
		}
	}
	foreignID := func(r *fleet.Report) { r.Executor = workload.ExecutorKey{ID: "i-9", Incarnation: 5} }
	laterStart := func(r *fleet.Report) { r.Executor.Incarnation = 5 }

	BeforeEach(func() {
		h = newHarnessWithExecutors()
		on = h.startOne("a")
		n = int(on[2] - '0')
		key = workload.ExecutorKey{ID: on, Incarnation: 1}
		h.listRun(on, "a", 10)
		h.step()
	})

	// Guards against a report of another sender that ends the runs of an executor that
	// still runs, so that its tasks run twice.
	DescribeTable("keeps its runs when it still answers", func(change func(*fleet.Report)) {
		for range 3 {
			claim(change)
			Expect(lastRun()).To(Equal(1))
			Expect(h.answerSince(since, key, h.listAs(1))).To(Equal(1))
			h.step()
			Expect(lastRun()).To(Equal(1))
		}
		h.advance(2*time.Second, 4)
		Expect(h.executorsOf("a")).To(ConsistOf(on))
		Expect(lastRun()).To(Equal(1))
		Expect(h.state.Executor("i-9")).To(BeNil())
		h.answerSince(0, key, h.listAs(1, "a"))
		h.advance(time.Second, 4)
		Expect(h.state.Executor(on).Key).To(Equal(key))
		Expect(h.lastCall(fleet.CallHold, on).Deadline).To(BeNumerically(">", 0))
	},
		Entry("while another ID is reported at its address", foreignID),
		Entry("while a later start under its ID is reported", laterStart),
		Entry("while a later start under its ID is reported at another address", func(r *fleet.Report) { laterStart(r); r.Address = "10.0.0.77:80" }),
	)

	// Guards against tasks of a crashed executor that wait for the end of its lease
	// although its successor answers.
	DescribeTable("loses its runs at once when a successor answers", func(change func(*fleet.Report), a fleet.Response) {
		claim(change)
		Expect(lastRun()).To(Equal(1))
		Expect(h.answerSince(since, key, a)).To(Equal(1))
		h.now += 20 * time.Millisecond
		h.step()
		h.advance(100*time.Millisecond, 0)
		Expect(lastRun()).To(Equal(2))
		Expect(h.executorsOf("a")).NotTo(ContainElement(on))
	},
		Entry("with another ID", foreignID, otherAnswers),
		Entry("with its ID and a later start", laterStart, fleet.Response{Verdict: fleet.VerdictAccepted, Complete: true, Incarnation: 5, Clock: time.Second}),
	)

	// Guards against runs that are given out again while the lease of an executor that
	// does not answer may still keep them running.
	It("keeps its runs until the end of its lease when nothing answers", func() {
		claim(foreignID)
		hold := h.lastCall(fleet.CallHold, on)
		Expect(hold.Probe).To(BeTrue())
		Expect(hold.Deadline + hold.Wait + time.Duration(hold.Cursor)).To(BeZero())
		granted := h.now - 80*time.Millisecond
		for h.now < granted+modelLease {
			h.now += 20 * time.Millisecond
			for i := range 4 {
				if i != n {
					h.report(i, nil)
				}
			}
			h.step()
			if c := h.lastCall(fleet.CallHold, on); h.now == c.IssuedAt+c.Timeout {
				h.answer(c, fleet.Response{Verdict: fleet.VerdictNoResponse})
			}
			Expect(lastRun()).To(Equal(1))
		}
		h.advance(2*time.Second, 0)
		Expect(lastRun()).To(Equal(2))
	})

	// Guards against a late report of a crashed executor that ends the runs of the one
	// that has its address now, also if its clock was ahead.
	DescribeTable("is its successor and keeps its runs after a late report", func(born int64) {
		late := func(r *fleet.Report) { r.Executor = workload.ExecutorKey{ID: "i-8", Incarnation: born} }
		claim(late)
		h.answerSince(since, key, h.listAs(1, "a"))
		h.answerSince(since, workload.ExecutorKey{ID: "i-8", Incarnation: born}, otherAnswers)
		h.advance(2*time.Second, 4)
		Expect(h.executorsOf("a")).To(ConsistOf(on))
		Expect(lastRun()).To(Equal(1))
	},
		Entry("of one that started before", int64(0)),
		Entry("of one whose clock was ahead", int64(7)),
	)

	// Guards against a report with the name of an executor and the address of another
	// one, which answers in its place.
	It("keeps its address while it answers there", func() {
		claim(func(r *fleet.Report) { r.Address = "10.0.0.77:80" })
		h.answer(h.lastCall(fleet.CallHold, on), h.listAs(1, "a"))
		h.step()
		Expect(h.lastCall(fleet.CallHold, on).Address).To(Equal(h.state.Executor(on).Address))
		Expect(h.state.Executor(on).Address).NotTo(Equal("10.0.0.77:80"))
		Expect(lastRun()).To(Equal(1))
	})

	// Guards against runs that end because another executor answers at an address that
	// a wrong report named, while the executor is only slow.
	It("keeps its runs when another executor answers at an address where it never answered", func() {
		h.answer(h.lastCall(fleet.CallHold, on), fleet.Response{Verdict: fleet.VerdictNoResponse})
		claim(func(r *fleet.Report) { r.Address = "10.0.0.77:80" })
		h.advance(300*time.Millisecond, 0)
		hold := h.lastCall(fleet.CallHold, on)
		Expect(hold.Address).To(Equal("10.0.0.77:80"))
		h.answer(hold, otherAnswers)
		h.advance(200*time.Millisecond, 4)
		Expect(h.executorsOf("a")).To(ConsistOf(on))
		Expect(lastRun()).To(Equal(1))
		Expect(h.lastCall(fleet.CallHold, on).Address).NotTo(Equal("10.0.0.77:80"))
	})

	// Guards against an executor that is never asked again because the response to its hold
	// arrived while another report took its place.
	It("is asked again after it was superseded with an open hold", func() {
		h.answer(h.lastCall(fleet.CallHold, on), fleet.Response{Verdict: fleet.VerdictNoResponse})
		h.advance(time.Second, 0)
		open := h.lastCall(fleet.CallHold, on)
		m := (n + 1) % 4
		other := workload.ExecutorKey{ID: h.executorName(m), Incarnation: 1}
		claim(func(r *fleet.Report) { r.Address = h.state.Executor(other.ID).Address })
		h.answerSince(since, other, h.listAs(1))
		h.answer(open, fleet.Response{Verdict: fleet.VerdictNoResponse})
		h.advance(time.Second, 4)
		Expect(h.lastCall(fleet.CallHold, on).IssuedAt).To(BeNumerically(">", since))
		Expect(h.lastCall(fleet.CallHold, on).Address).To(Equal(h.state.Executor(on).Address))
		Expect(lastRun()).To(Equal(1))
	})

	// Guards against an executor that is not asked any more because a probe was answered
	// while it was taken for gone.
	It("is asked again after it was taken for gone with an open probe", func() {
		open := h.lastCall(fleet.CallHold, on)
		claim(foreignID)
		probe := h.lastCall(fleet.CallHold, on)
		Expect(probe.Probe).To(BeTrue())
		h.answer(h.lastCall(fleet.CallHold, "i-9"), otherAnswers)
		h.answer(open, otherAnswers)
		h.answer(probe, otherAnswers)
		h.report(n, nil)
		claim(foreignID)
		Expect(h.lastCall(fleet.CallHold, on).IssuedAt).To(BeNumerically(">=", since))
		Expect(h.lastCall(fleet.CallHold, on).Probe).To(BeTrue())
	})

	// Guards against one address in two spellings: it must end no run by itself, and a
	// restart there must still be noticed.
	It("is noticed as over at an address that its successor spells otherwise", func() {
		claim(func(r *fleet.Report) {
			foreignID(r)
			r.Address = "010.0.0." + on[2:] + ":0080"
		})
		Expect(lastRun()).To(Equal(1))
		h.answer(h.lastCall(fleet.CallHold, on), otherAnswers)
		h.advance(100*time.Millisecond, 0)
		Expect(lastRun()).To(Equal(2))
	})

	// Guards against the list of an earlier incarnation that is taken for that of a later
	// one: it would end the runs of the later one.
	It("keeps its runs when an earlier incarnation answers", func() {
		h.answer(h.lastCall(fleet.CallHold, on), h.listAs(1, "a"))
		h.step()
		earlier := h.listAs(1)
		earlier.Incarnation = -1
		h.now += 20 * time.Millisecond
		h.answer(h.lastCall(fleet.CallHold, on), earlier)
		h.advance(200*time.Millisecond, 4)
		Expect(lastRun()).To(Equal(1))
	})

	// Guards against a start that waits for the end of a lease although another
	// incarnation refused its only call.
	It("frees a task whose only start another incarnation answered", func() {
		h.dropOrders = true
		h.submit("b", 1, workload.Step{Count: 3, Demand: needGPUs(8)})
		h.advance(100*time.Millisecond, 4)
		b := h.executorsOf("b")[0]
		h.dropOrders = false
		h.answer(h.lastCall(fleet.CallStart, b), otherAnswers)
		Expect(h.executorsOf("b")).NotTo(ContainElement(b))
	})

	// Guards against runs that end because of a deregistration that names no incarnation or
	// one that never was.
	DescribeTable("after a deregistration", func(incarnation int64) {
		h.now += 20 * time.Millisecond
		since = h.now
		if incarnation == 0 {
			// Otherwise the notice counts as a late one of an earlier incarnation.
			h.report(n, func(r *fleet.Report) { r.Draining, r.DrainRemaining = true, time.Minute })
		}
		departure := h.controller.Leave(h.now, on, incarnation)
		Expect(departure).NotTo(BeNil())
		h.apply(&workload.Command{At: h.now, Deregister: []workload.ExecutorKey{*departure}, Left: true})
		h.step()
		h.answerSince(since, key, h.listAs(1, "a"))
		h.advance(time.Second, 4)
		h.step()
		Expect(lastRun()).To(Equal(1))
		h.advance(modelLease, 4)
		Expect(lastRun()).To(Equal(2))
	},
		Entry("without an incarnation keeps its runs for its lease", int64(0)),
		Entry("of a later incarnation keeps its runs for its lease", int64(1)<<62),
	)

	// Guards against a start decided for an executor that is removed as silent before the
	// decision is in the log: the task must neither wait nor run twice.
	It("loses a run that was decided before it was removed as silent", func() {
		h.submit("b", 1, workload.Step{Count: 3, Demand: needGPUs(8)})
		h.now += 100 * time.Millisecond
		for i := range 4 {
			h.report(i, nil)
		}
		decided := h.controller.Step(h.now, h.now).Commands
		for range 200 {
			h.now += 100 * time.Millisecond
			h.report(n, nil)
			for _, c := range h.controller.Step(h.now, h.now).Commands {
				if c.Deregister != nil {
					h.apply(c)
				}
			}
		}
		Expect(h.state.Executor("i-" + string(rune('0'+(n+1)%4)))).To(BeNil())
		calls := len(h.calls)
		for _, c := range decided {
			h.apply(c)
		}
		h.step()
		Expect(h.executorsOf("b")).To(BeEmpty())
		for _, c := range h.calls[calls:] {
			Expect(c.Kind).NotTo(Equal(fleet.CallStart))
		}
	})
})
