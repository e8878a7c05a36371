package fleet_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cranberrydrum.dev/scheduler/fleet"
	"cranberrydrum.dev/scheduler/workload"
)

// pauseWithinLease is a pause of the leader that the leases of the executors
// outlast.
const pauseWithinLease = 4 * time.Second

// newHarnessWithExecutors returns a harness with the four executors that startOne needs.
func newHarnessWithExecutors() *harness {
	h := newHarness()
	for n := range 4 {
		h.report(n, nil)
	}
	return h
}

// lastCall returns the last call of a kind to an executor.
func (h *harness) lastCall(kind fleet.CallKind, executor string) fleet.Call {
	GinkgoHelper()
	for i := len(h.calls) - 1; i >= 0; i-- {
		if c := h.calls[i]; c.Kind == kind && c.Executor.ID == executor {
			return c
		}
	}
	Fail("no " + kind.String() + " was sent to " + executor)
	return fleet.Call{}
}

// startOne submits a job that fills one executor and returns the executor of its
// task.
func (h *harness) startOne(id string) string {
	h.submit(id, 1, workload.Step{Count: 1, Demand: needGPUs(8)})
	h.advance(100*time.Millisecond, 4)
	return h.executorsOf(id)[0]
}

func (h *harness) listRun(executor, job string, percent int) {
	h.answerHold(int(executor[2]-'0'), []fleet.RunningTask{{Task: workload.TaskKey{Job: job}, Run: 1, Percent: percent}})
}

var _ = Describe("silence", func() {
	var h *harness

	BeforeEach(func() {
		h = newHarnessWithExecutors()
	})

	// Guards against runs that are given up, or started again elsewhere, while the
	// lease of a silent executor may still keep them running.
	DescribeTable("of an executor with a run",
		func(silent time.Duration, lost bool) {
			on := h.startOne("a")
			h.listRun(on, "a", 10)
			h.step()
			hold := h.lastCall(fleet.CallHold, on)
			end := hold.IssuedAt + silent
			answered := time.Duration(0)
			for h.now < end {
				h.now += 20 * time.Millisecond
				for n := range 4 {
					if on != h.executorName(n) {
						h.report(n, nil)
					}
				}
				h.step()
				if c := h.lastCall(fleet.CallHold, on); h.now >= c.IssuedAt+c.Timeout && c.IssuedAt != answered {
					answered = c.IssuedAt
					h.answer(c, fleet.Response{Verdict: fleet.VerdictNoResponse})
				}
			}
			Expect(h.stopCount()).To(BeZero())
			if lost {
				Expect(h.state.Job("a").Occurrences[0].Steps[0].Tasks[0].LastRun).To(BeNumerically(">", 1))
				return
			}
			Expect(h.executorsOf("a")).To(ConsistOf(on))
			h.listRun(on, "a", 20)
			h.advance(time.Second, 4)
			Expect(h.executorsOf("a")).To(ConsistOf(on))
			Expect(h.state.Job("a").Occurrences[0].Steps[0].Tasks[0].LastRun).To(Equal(1))
		},
		Entry("for just under a lease leaves the run alone", modelLease-100*time.Millisecond, false),
		Entry("for two leases starts it elsewhere once the lease has certainly expired", 2*modelLease+time.Second, true),
	)

	// Guards against a leader that takes the time in which it was paused for silence
	// of the executors and removes them all from the directory.
	DescribeTable("that is a pause of the leader removes no executor", func(pause time.Duration) {
		h.now += pause
		h.step()
		for n := range 4 {
			Expect(h.state.Executor(h.executorName(n))).NotTo(BeNil())
		}
		h.submit("a", 1, workload.Step{Count: 4, Demand: needGPUs(8)})
		h.now += 100 * time.Millisecond
		h.step()
		Expect(h.executorsOf("a")).To(HaveLen(4))
	},
		Entry("of more than three report intervals", 4*modelReportInterval),
		Entry("beyond the bound for silent executors", 2*3*modelReportInterval+modelLease+time.Second),
	)

	// Guards against a paused leader that stops runs as stalled, because a list from
	// before the pause shows the same progress after it.
	It("that is a pause of the leader stops no run as stalled", func() {
		on := h.startOne("a")
		h.listRun(on, "a", 40)
		h.advance(20*time.Millisecond, 4)
		h.now += pauseWithinLease
		h.step()
		h.listRun(on, "a", 40)
		h.advance(100*time.Millisecond, 4)
		Expect(h.stopCount()).To(BeZero())
	})

	// Guards against a start that a paused leader gives up before it has read the
	// response, so that the run is stopped and its work lost.
	It("that is a pause of the leader gives up no start", func() {
		h.dropOrders = true
		on := h.startOne("a")
		h.now += pauseWithinLease
		h.step()
		Expect(h.stopCount()).To(BeZero())
		h.answer(h.lastCall(fleet.CallStart, on), fleet.Response{Verdict: fleet.VerdictAccepted, Incarnation: 1, Clock: h.now})
		h.step()
		Expect(h.stopCount()).To(BeZero())
	})

	// Guards against one attempt too many: after a pause the leader gives a run up
	// because its lease is over, and then reads that it had failed before.
	It("that is a pause of the leader hides no failure", func() {
		on := h.startOne("a")
		hold := h.lastCall(fleet.CallHold, on)
		h.now += modelLease + time.Second
		out := h.controller.Step(h.now, h.now)
		failed := fleet.EndedRun{Number: 1, Task: workload.TaskKey{Job: "a"}, Run: 1, Ending: workload.EndFailed}
		late := h.controller.HandleResponse(h.now, h.now, hold, fleet.Response{
			Verdict: fleet.VerdictAccepted, Complete: true, Incarnation: 1, Clock: h.now, Ended: []fleet.EndedRun{failed}})
		for _, c := range append(out.Commands, late.Commands...) {
			h.apply(c)
		}
		Expect(h.state.Job("a").Occurrences[0].Steps[0].Tasks[0].Failures).To(Equal(1))
	})

	// Guards against holds that this host dropped before it sent them: they count
	// as failures of the executor, which gets no lease and no runs any more.
	It("of this host is not counted against an executor", func() {
		on := h.startOne("a")
		for range 4 {
			h.answer(h.lastCall(fleet.CallHold, on), fleet.Response{Verdict: fleet.VerdictNotSent})
			h.advance(500*time.Millisecond, 4)
		}
		Expect(h.lastCall(fleet.CallHold, on).Deadline).To(BeNumerically(">", 0))
		Expect(h.lastCall(fleet.CallHold, on).Wait).To(BeNumerically(">", 0))
	})

	// Guards against a run that is stopped, or recorded as possibly running, although
	// its start was never sent.
	It("of this host does not count as an unanswered start", func() {
		h.dropOrders = true
		on := h.startOne("a")
		for range 40 {
			if c := h.lastCall(fleet.CallStart, on); c.IssuedAt == h.now || h.now-c.IssuedAt < 200*time.Millisecond {
				h.answer(c, fleet.Response{Verdict: fleet.VerdictNotSent})
			}
			h.advance(120*time.Millisecond, 4)
		}
		Expect(h.stopCount()).To(BeZero())
		Expect(h.executorsOf("a")).To(ConsistOf(on))
	})
})

var _ = Describe("a deregistered executor", func() {
	var h *harness

	BeforeEach(func() {
		h = newHarness()
		for n := range 2 {
			h.report(n, nil)
		}
	})

	leave := func(incarnation int64) {
		departure := h.controller.Leave(h.now, "i-1", incarnation)
		Expect(departure).NotTo(BeNil())
		h.apply(&workload.Command{At: h.now, Deregister: []workload.ExecutorKey{*departure}, Left: true})
		h.step()
	}

	// Guards against a report that was held back on its way and makes an executor
	// known again that has left, so that work is sent to it.
	DescribeTable("stays away after a late report", func(change func()) {
		leave(1)
		change()
		h.report(1, nil)
		h.step()
		Expect(h.state.Executor("i-1")).To(BeNil())
		h.submit("a", 1, workload.Step{Count: 2, Demand: needGPUs(8)})
		h.advance(100*time.Millisecond, 1)
		Expect(h.executorsOf("a")).To(ConsistOf("i-0"))
	},
		Entry("to the same leader", func() {}),
		Entry("to the next leader", func() { h.changeLeader(3); h.answerHold(0, nil) }),
		Entry("to a leader that restored a snapshot", func() {
			data, err := h.state.Snapshot()
			Expect(err).NotTo(HaveOccurred())
			Expect(h.state.Restore(data)).To(Succeed())
			h.changeLeader(3)
			h.answerHold(0, nil)
		}),
	)

	// Guards against a report that is still being stored when the executor
	// deregisters: its entry must not bring the executor back.
	It("stays away if a report is stored after the deregistration", func() {
		entry := *h.state.Executor("i-1")
		leave(1)
		h.apply(&workload.Command{At: h.now, Register: &entry})
		Expect(h.state.Executor("i-1")).To(BeNil())
	})

	// Guards against an executor that deregisters before its first report is stored:
	// the entry would be stored after the departure.
	It("stays away if its first report is not stored yet", func() {
		_, entry := h.controller.Report(h.now, fleet.Report{Executor: workload.ExecutorKey{ID: "i-9", Incarnation: 1}, Sequence: 1, Service: "s", Address: "10.0.0.9:80"})
		Expect(entry).NotTo(BeNil())
		departure := h.controller.Leave(h.now, "i-9", 1)
		Expect(departure).NotTo(BeNil())
		h.apply(&workload.Command{At: h.now, Deregister: []workload.ExecutorKey{*departure}, Left: true})
		h.apply(&workload.Command{At: h.now, Register: entry})
		Expect(h.state.Executor("i-9")).To(BeNil())
	})

	// Guards against a later incarnation under the same name that is never used.
	It("is used again in a later incarnation", func() {
		leave(1)
		h.report(1, func(r *fleet.Report) { r.Executor.Incarnation = 2 })
		h.step()
		h.answer(h.lastCall(fleet.CallHold, "i-1"), h.listAs(2))
		h.submit("a", 1, workload.Step{Count: 2, Demand: needGPUs(8)})
		h.advance(20*time.Millisecond, 0)
		Expect(h.executorsOf("a")).To(ConsistOf("i-0", "i-1"))
	})

	// Guards against a late deregistration of an earlier incarnation that ends the
	// runs of the present one.
	It("of an earlier incarnation leaves the present one alone", func() {
		h.report(1, func(r *fleet.Report) { r.Executor.Incarnation = 2 })
		Expect(h.controller.Leave(h.now, "i-1", 1)).To(BeNil())
		Expect(h.state.Executor("i-1")).NotTo(BeNil())
	})

	// Guards against the same if the late deregistration does not name its incarnation: the
	// present one has not drained, as every executor does before it deregisters.
	It("leaves an incarnation alone that has not drained, if it names none", func() {
		h.report(1, func(r *fleet.Report) { r.Executor.Incarnation = 2 })
		Expect(h.controller.Leave(h.now, "i-1", 0)).To(BeNil())
		h.report(1, func(r *fleet.Report) { r.Executor.Incarnation, r.Draining = 2, true })
		Expect(h.controller.Leave(h.now, "i-1", 0)).To(HaveValue(Equal(workload.ExecutorKey{ID: "i-1", Incarnation: 2})))
	})

	// Guards against a deregistration that is refused by the log, sent again and then
	// acknowledged although the log does not hold it: the first report, which is stored
	// meanwhile, would bring the executor back.
	DescribeTable("is reported until the log holds the departure, also if it is not in the directory",
		func(reports bool) {
			key := workload.ExecutorKey{ID: "i-9", Incarnation: 1}
			report := fleet.Report{Executor: key, Sequence: 1, Service: "s", Address: "10.0.0.9:80"}
			if reports {
				h.controller.Report(h.now, report)
				Expect(h.controller.Leave(h.now, "i-9", 1)).NotTo(BeNil())
			}
			departure := h.controller.Leave(h.now, "i-9", 1)
			Expect(departure).To(HaveValue(Equal(key)))
			h.apply(&workload.Command{At: h.now, Deregister: []workload.ExecutorKey{*departure}, Left: true})
			Expect(h.controller.Leave(h.now, "i-9", 1)).To(BeNil())
			isCurrent, _ := h.controller.Report(h.now, report)
			Expect(isCurrent).To(BeFalse())
		},
		Entry("because its first report is not stored yet", true),
		Entry("because its first report has not arrived yet", false),
	)

	// Guards against a deregistration that is acknowledged before the log holds it:
	// the next leader would use the executor again.
	It("is reported until the log holds the departure", func() {
		Expect(h.controller.Leave(h.now, "i-1", 1)).NotTo(BeNil())
		Expect(h.controller.Leave(h.now, "i-1", 1)).NotTo(BeNil())
		leave(1)
		Expect(h.controller.Leave(h.now, "i-1", 1)).To(BeNil())
	})
})

func (h *harness) executorName(n int) string { return fmt.Sprintf("i-%d", n) }
