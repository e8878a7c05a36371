package fleet_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cranberrydrum.dev/scheduler/fleet"
	"cranberrydrum.dev/scheduler/workload"
)

var _ = Describe("a run that has to stop", func() {
	const id = "0000000000000001"
	var h *harness
	var on string

	BeforeEach(func() {
		h = newHarness()
		h.dropOrders = true
		for n := range 4 {
			h.report(n, nil)
		}
		on = h.startOne(id)
	})

	// Guards against a run whose end is proposed and counted twice: the response to a start
	// arrives after a list has shown that the run is over.
	It("ends once", func() {
		start := h.lastCall(fleet.CallStart, on)
		h.apply(&workload.Command{At: h.now, Cancel: id})
		h.advance(40*time.Millisecond, 4)
		h.answer(h.lastCall(fleet.CallStop, on), fleet.Response{Verdict: fleet.VerdictAccepted, Clock: h.now})
		h.answerHold(int(on[2]-'0'), nil)
		h.advance(40*time.Millisecond, 4)
		h.answerHold(int(on[2]-'0'), nil)
		Expect(h.executorsOf(id)).To(BeEmpty())
		out := h.controller.HandleResponse(h.now, h.now, start, fleet.Response{Verdict: fleet.VerdictRunOver, Clock: h.now})
		Expect(out.Commands).To(BeEmpty())
	})

	// Guards against leases that are not renewed because pauses of the leader counted as
	// time in which an executor ignored a stop.
	It("is not overdue because of pauses of the leader", func() {
		h.answer(h.lastCall(fleet.CallStart, on), fleet.Response{Verdict: fleet.VerdictAccepted, Clock: h.now})
		h.listRun(on, id, 10)
		h.apply(&workload.Command{At: h.now, Cancel: id})
		for range 3 {
			h.advance(200*time.Millisecond, 4)
			h.answer(h.lastCall(fleet.CallStop, on), fleet.Response{Verdict: fleet.VerdictRefused, Clock: h.now})
			h.listRun(on, id, 10)
			h.now += pauseWithinLease
			h.advance(40*time.Millisecond, 4)
			h.listRun(on, id, 10)
		}
		h.advance(100*time.Millisecond, 4)
		Expect(h.executorsOf(id)).To(ConsistOf(on))
		Expect(h.lastCall(fleet.CallHold, on).Deadline).To(BeNumerically(">", h.now))
	})
})
