package fleet_test

import (
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cranberrydrum.dev/scheduler/fleet"
	"cranberrydrum.dev/scheduler/workload"
)

var _ = Describe("a start at an executor that restarts under its ID", func() {
	const id = "0000000000000001"
	var h *harness
	var on string
	var number int
	// confirms is set while the new incarnation confirms stops, isSilent if it neither
	// answers nor reports any more.
	var confirms, isSilent bool

	BeforeEach(func() {
		confirms, isSilent = false, false
		h = newHarnessWithExecutors()
		h.dropOrders = true
		on = h.startOne(id)
		number = int(on[2] - '0')
	})

	// restarted sends a report of the next incarnation; its clock starts anew.
	restarted := func() {
		h.report(number, func(r *fleet.Report) { r.Executor.Incarnation, r.Clock = 2, time.Second })
	}
	// wait lets the leader act while the other executors report.
	wait := func(span time.Duration) {
		for end := h.now + span; h.now < end; {
			h.now += 20 * time.Millisecond
			for n := range 4 {
				switch {
				case n != number:
					h.report(n, nil)
				case !isSilent:
					restarted()
				}
			}
			h.step()
			if isSilent {
				continue
			}
			// The new incarnation answers the holds to either.
			for _, incarnation := range []int64{1, 2} {
				h.answerSince(h.now, workload.ExecutorKey{ID: on, Incarnation: incarnation}, fleet.Response{
					Verdict: fleet.VerdictAccepted, Complete: true, Incarnation: 2, Clock: time.Second})
			}
			for _, c := range slices.Clone(h.calls) {
				if confirms && c.Kind == fleet.CallStop && c.Executor.Incarnation == 2 && c.Executor.ID == on && c.IssuedAt == h.now {
					h.answer(c, fleet.Response{Verdict: fleet.VerdictAccepted, Clock: time.Second})
				}
			}
		}
	}
	startsElsewhere := func() int {
		n := 0
		for _, call := range h.calls {
			if call.Kind == fleet.CallStart && call.Task.Job == id && call.Run > 1 {
				n++
			}
		}
		return n
	}

	// Guards against a task that runs twice: the call names the ID only, so the new
	// incarnation carries it out, and its response names none.
	It("is not over if the new incarnation accepted it", func() {
		h.answer(h.lastCall(fleet.CallStart, on), fleet.Response{Verdict: fleet.VerdictAccepted, Clock: time.Second})
		wait(time.Second)
		Expect(startsElsewhere()).To(BeZero())
	})

	// Guards against a task that runs twice: a start without a response may be carried
	// out later, also by the new incarnation.
	It("is not over while a call without a response may reach the new incarnation", func() {
		h.now += 500 * time.Millisecond
		h.answer(h.lastCall(fleet.CallStart, on), fleet.Response{Verdict: fleet.VerdictNoResponse})
		wait(time.Second)
		Expect(startsElsewhere()).To(BeZero())
	})

	// Guards against a task that runs twice: an executor that has deregistered may restart
	// under its ID before a start without a response is carried out.
	It("is not over when the executor deregisters while a call may reach the new incarnation", func() {
		h.answer(h.lastCall(fleet.CallStart, on), fleet.Response{Verdict: fleet.VerdictNoResponse})
		departure := h.controller.Leave(h.now, on, 1)
		h.apply(&workload.Command{At: h.now, Deregister: []workload.ExecutorKey{*departure}, Left: true})
		wait(time.Second)
		Expect(startsElsewhere()).To(BeZero())
		confirms = true
		wait(2 * time.Second)
		Expect(startsElsewhere()).To(Equal(1))
	})

	// Guards against a task that runs twice: an order without a response may be carried out
	// seconds later, and its deadline is on the clock of the earlier incarnation.
	It("is not over before the new incarnation confirms that it will not begin it", func() {
		h.answer(h.lastCall(fleet.CallStart, on), fleet.Response{Verdict: fleet.VerdictNoResponse})
		wait(4 * modelLease)
		Expect(startsElsewhere()).To(BeZero())
		for _, call := range h.calls {
			if call.Executor == (workload.ExecutorKey{ID: on, Incarnation: 2}) {
				Expect(call.Deadline).To(BeZero())
			}
		}
	})

	// Guards against a task that runs again after it was done: a hold for the earlier
	// incarnation that acknowledges its ends reaches the next one, which has carried out the
	// start and whose ends have the same numbers.
	It("is not followed by an acknowledgement before its run is listed", func() {
		h.answer(h.lastCall(fleet.CallStart, on), fleet.Response{Verdict: fleet.VerdictNoResponse})
		h.answerHold(number, nil, fleet.EndedRun{Number: 1, Task: workload.TaskKey{Job: "earlier"}, Run: 1, Ending: workload.EndFailed})
		wait := func() {
			for range 10 {
				h.advance(100*time.Millisecond, 4)
			}
		}
		wait()
		Expect(h.lastCall(fleet.CallHold, on).Cursor).To(BeZero())
		h.answerHold(number, []fleet.RunningTask{{Task: workload.TaskKey{Job: id}, Run: 1}})
		wait()
		Expect(h.lastCall(fleet.CallHold, on).Cursor).To(Equal(int64(1)))
	})

	// Guards against a task that waits after a restart although the new incarnation answers.
	It("is over once the new incarnation confirms that and a list lacks the run", func() {
		h.answer(h.lastCall(fleet.CallStart, on), fleet.Response{Verdict: fleet.VerdictNoResponse})
		confirms = true
		wait(2 * time.Second)
		Expect(startsElsewhere()).To(Equal(1))
	})

	// Guards against a task that waits for ever after a restart, and against one that runs
	// elsewhere while the new incarnation may still run it.
	It("is over after the silence of the new incarnation", func() {
		h.answer(h.lastCall(fleet.CallStart, on), fleet.Response{Verdict: fleet.VerdictNoResponse})
		wait(modelLease)
		isSilent = true
		wait(modelLease)
		Expect(startsElsewhere()).To(BeZero())
		wait(6*modelReportInterval + 6*time.Second)
		Expect(startsElsewhere()).To(Equal(1))
	})
})
