package fleet_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cranberrydrum.dev/scheduler/fleet"
	"cranberrydrum.dev/scheduler/workload"
)

var _ = Describe("the deadline of a lease", func() {
	// Guards against a new leader that gives up a run while a lease that an earlier leader
	// granted from an old reading of a slow clock still lasts.
	It("is over on a slow clock when a leader of the next moment takes it to be over", func() {
		const id, slow = "0000000000000001", 0.98
		h := newHarness()
		h.dropOrders = true
		readAt := h.now
		h.report(0, nil)
		h.now += 4 * time.Second
		h.step()
		h.submit(id, 1, workload.Step{Count: 1, Demand: needGPUs(8)})
		for h.now < readAt+8*time.Second {
			h.now += 20 * time.Millisecond
			h.step()
			if len(h.executorsOf(id)) == 0 {
				continue
			}
			h.step()
			if call := h.lastCall(fleet.CallStart, "i-0"); call.IssuedAt > h.now-500*time.Millisecond {
				h.answer(call, fleet.Response{Verdict: fleet.VerdictNoResponse})
			}
		}
		start := h.lastCall(fleet.CallStart, "i-0")
		// The clock of the executor read readAt at that time.
		lapsesAt := readAt + time.Duration(float64(start.Deadline-readAt)/slow)
		h.now = start.IssuedAt + 20*time.Millisecond
		h.changeLeader(3)
		for len(h.executorsOf(id)) > 0 {
			h.now += time.Millisecond
			h.step()
		}
		Expect(h.now).To(BeNumerically(">=", lapsesAt))
	})
})
