package fleet_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cranberrydrum.dev/scheduler/fleet"
	"cranberrydrum.dev/scheduler/workload"
)

var _ = Describe("a run on an executor that deregisters", func() {
	const job = "a"
	// leaseLimit bounds a lease that was extended just before the deregistration, on a slow
	// clock, and the time of a round.
	const leaseLimit = modelLease + modelLease/50 + 200*time.Millisecond
	var h *harness
	var on string
	var number int
	var leftAt time.Duration

	lastRun := func() int { return h.state.Job(job).Occurrences[0].Steps[0].Tasks[0].LastRun }
	// deregister is called by the executor while its run is listed.
	deregister := func(incarnation int64) {
		h.now += 20 * time.Millisecond
		leftAt = h.now
		departure := h.controller.Leave(h.now, on, incarnation)
		Expect(departure).NotTo(BeNil())
		h.apply(&workload.Command{At: h.now, Deregister: []workload.ExecutorKey{*departure}, Left: true})
	}
	// othersReport lets the leader act for some time while the executor does not report.
	othersReport := func(span time.Duration) {
		for end := h.now + span; h.now < end; {
			h.now += 20 * time.Millisecond
			for n := range 4 {
				if n != number {
					h.report(n, nil)
				}
			}
			h.step()
		}
	}
	// changeLeader lets the other executors answer the next leader.
	changeLeader := func() {
		h.changeLeader(3)
		for n := range 4 {
			if n != number {
				h.answerHold(n, nil)
			}
		}
	}
	noResponse := func() {
		key := workload.ExecutorKey{ID: on, Incarnation: 1}
		h.answerSince(h.now-20*time.Millisecond, key, fleet.Response{Verdict: fleet.VerdictNoResponse})
	}

	BeforeEach(func() {
		h = newHarnessWithExecutors()
		on = h.startOne(job)
		number = int(on[2] - '0')
		h.listRun(on, job, 1)
		h.report(number, func(r *fleet.Report) { r.Draining, r.DrainRemaining = true, time.Minute })
		h.step()
	})

	// Guards against a task that runs twice because the notice counts as the end of an
	// executor that runs on, and against a task that waits longer than the executor can.
	DescribeTable("that does not answer any more is over with its lease, not before", func(incarnation int64) {
		deregister(incarnation)
		h.dropOrders = true
		for h.now < leftAt+modelLease {
			othersReport(20 * time.Millisecond)
			noResponse()
			Expect(lastRun()).To(Equal(1), "%v after the deregistration", h.now-leftAt)
		}
		othersReport(leftAt + leaseLimit - h.now)
		Expect(lastRun()).To(Equal(2))
	},
		Entry("if the notice names the incarnation", int64(1)),
		Entry("if the notice names none", int64(0)),
	)

	// Guards against the same when the next leader reads the departure from the log.
	It("is over with its lease under the next leader, not before", func() {
		deregister(1)
		changeLeader()
		tookOver := h.now
		for h.now < tookOver+modelLease {
			othersReport(20 * time.Millisecond)
			Expect(lastRun()).To(Equal(1), "%v after the change of the leader", h.now-tookOver)
		}
		othersReport(leaseLimit - modelLease)
		Expect(lastRun()).To(Equal(2))
	})

	// Guards against the same when a leader applies a departure that its predecessor proposed.
	It("is over with its lease if the departure is applied after a change of the leader", func() {
		changeLeader()
		h.apply(&workload.Command{At: h.now, Deregister: []workload.ExecutorKey{{ID: on, Incarnation: 1}}, Left: true})
		tookOver := h.now
		for h.now < tookOver+modelLease {
			othersReport(20 * time.Millisecond)
			Expect(lastRun()).To(Equal(1))
		}
		othersReport(leaseLimit - modelLease)
		Expect(lastRun()).To(Equal(2))
	})

	// Guards against a task that waits for the end of a lease although its executor answers.
	It("is stopped, and starts elsewhere as soon as a list lacks it", func() {
		deregister(1)
		othersReport(40 * time.Millisecond)
		Expect(h.lastCall(fleet.CallStop, on).IssuedAt).To(BeNumerically(">=", leftAt))
		h.answerHold(number, []fleet.RunningTask{{Task: workload.TaskKey{Job: job}, Run: 1}})
		othersReport(100 * time.Millisecond)
		Expect(lastRun()).To(Equal(1))
		h.answerHold(number, nil, fleet.EndedRun{Number: 1, Task: workload.TaskKey{Job: job}, Run: 1, Ending: workload.EndStopped, Checkpoint: "c"})
		othersReport(100 * time.Millisecond)
		Expect(lastRun()).To(Equal(2))
		Expect(h.executorsOf(job)).NotTo(ContainElement(on))
	})

	// Guards against the loss of work that is done before the executor is told to end.
	It("is not stopped if it ends while the acknowledgement is withheld, only after that", func() {
		h.answerHold(number, []fleet.RunningTask{{Task: workload.TaskKey{Job: job}, Run: 1, Percent: 97}})
		deregister(1)
		stops := h.stopCount()
		othersReport(fleet.DepartureDelay / 4)
		Expect(h.stopCount()).To(Equal(stops))
		othersReport(fleet.DepartureDelay)
		Expect(h.stopCount()).To(BeNumerically(">", stops))
	})

	// Guards against a task that runs again although it was done before its executor ended.
	It("may still end as done, which is acknowledged", func() {
		deregister(1)
		othersReport(40 * time.Millisecond)
		h.answerHold(number, nil, fleet.EndedRun{Number: 1, Task: workload.TaskKey{Job: job}, Run: 1, Ending: workload.EndDone})
		othersReport(100 * time.Millisecond)
		Expect(h.state.Job(job).Phase).To(Equal(workload.Completed))
		Expect(h.lastCall(fleet.CallHold, on).Cursor).To(Equal(int64(1)))
		Expect(lastRun()).To(Equal(1))
	})

	// Guards against an executor that lives on because the leader extends the lease of what it
	// waits for.
	It("gets no longer lease", func() {
		deregister(1)
		for range 20 {
			othersReport(100 * time.Millisecond)
			h.answerHold(number, []fleet.RunningTask{{Task: workload.TaskKey{Job: job}, Run: 1}})
		}
		for _, c := range h.calls {
			if c.Executor.ID == on && c.IssuedAt >= leftAt {
				Expect(c.Deadline).To(BeZero())
				Expect(c.Kind).NotTo(Equal(fleet.CallStart))
			}
		}
	})

	// Guards against a departed executor that is polled for ever, or takes the place of its
	// successor.
	It("is no longer asked for once it is over", func() {
		deregister(1)
		othersReport(40 * time.Millisecond)
		h.answerHold(number, nil, fleet.EndedRun{Number: 1, Task: workload.TaskKey{Job: job}, Run: 1, Ending: workload.EndStopped})
		othersReport(100 * time.Millisecond)
		h.answerHold(number, nil)
		othersReport(100 * time.Millisecond)
		calls := h.lastCall(fleet.CallHold, on).IssuedAt
		othersReport(5 * time.Second)
		Expect(h.lastCall(fleet.CallHold, on).IssuedAt).To(Equal(calls))
		Expect(h.controller.ExecutorCount()).To(Equal(3))
	})

	// Guards against a start that is sent again to an executor that leaves.
	It("is stopped, not started again, if its start got no response", func() {
		h.dropOrders = true
		h.apply(&workload.Command{At: h.now, Submit: &workload.Job{
			ID: "b", QueueName: "q", Service: "s", Customer: "a", MaxAttempts: 3, Stretch: 1.5, Target: time.Second,
			Spec: workload.Spec{Steps: []workload.Step{{Count: 3, Demand: needGPUs(8), Estimate: 100 * time.Millisecond}}},
		}})
		h.advance(40*time.Millisecond, 4)
		on = h.executorsOf("b")[0]
		deregister(1)
		h.answer(h.lastCall(fleet.CallStart, on), fleet.Response{Verdict: fleet.VerdictNoResponse})
		othersReport(fleet.DepartureDelay)
		Expect(h.lastCall(fleet.CallStart, on).IssuedAt).To(BeNumerically("<", leftAt))
		Expect(h.lastCall(fleet.CallStop, on).IssuedAt).To(BeNumerically(">=", leftAt))
	})

	// Guards against a task that waits for a lease that was never granted: its start was
	// decided and not sent.
	It("is over at once if its start was not sent", func() {
		h.submit("b", 1, workload.Step{Count: 3, Demand: needGPUs(8)})
		h.now += 20 * time.Millisecond
		decided := h.controller.Step(h.now, h.now).Commands
		placed := "i-" + string(rune('0'+(number+1)%4))
		departure := h.controller.Leave(h.now, placed, 1)
		h.apply(&workload.Command{At: h.now, Deregister: []workload.ExecutorKey{*departure}, Left: true})
		h.step()
		for _, c := range decided {
			h.apply(c)
		}
		h.step()
		Expect(h.executorsOf("b")).To(HaveLen(2))
		Expect(h.executorsOf("b")).NotTo(ContainElement(placed))
	})
})
