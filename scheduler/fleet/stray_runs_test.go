package fleet_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cranberrydrum.dev/scheduler/fleet"
	"cranberrydrum.dev/scheduler/workload"
)

var _ = Describe("a run that the log does not hold", func() {
	var h *harness
	var on string
	var n int
	stray := []fleet.RunningTask{{Task: workload.TaskKey{Job: "a"}, Run: 1, Percent: 10}}

	stops := func() (n int) {
		for _, c := range h.calls {
			if c.Kind == fleet.CallStop && c.Executor.ID == on {
				n++
			}
		}
		return n
	}

	BeforeEach(func() {
		h = newHarnessWithExecutors()
		on = h.startOne("a")
		n = int(on[2] - '0')
		h.answerHold(n, nil, fleet.EndedRun{Number: 1, Task: workload.TaskKey{Job: "a"}, Run: 1, Ending: workload.EndDone})
		h.step()
		Expect(h.executorsOf("a")).To(BeEmpty())
	})

	// Guards against an executor that is given more than it has room for, while it runs
	// something that the leader takes for ended.
	It("uses capacity and is stopped at a bounded rate until it is gone", func() {
		h.answerHold(n, stray)
		h.submit("b", 1, workload.Step{Count: 4, Demand: needGPUs(8)})
		for range 20 {
			h.advance(100*time.Millisecond, 4)
			h.answerHold(n, stray)
		}
		Expect(h.executorsOf("b")).To(HaveLen(3))
		Expect(h.executorsOf("b")).NotTo(ContainElement(on))
		Expect(stops()).To(BeNumerically(">=", 2))
		Expect(stops()).To(BeNumerically("<=", 4))
		h.answerHold(n, nil)
		h.advance(time.Second, 4)
		Expect(h.executorsOf("b")).To(ContainElement(on))
	})

	// Guards against a fenced leader that stops what the next leader has started.
	It("is left alone when the response is fenced", func() {
		h.answer(h.lastCall(fleet.CallHold, on), fleet.Response{Verdict: fleet.VerdictFenced, Complete: true, Incarnation: 1, Running: stray})
		h.advance(time.Second, 4)
		Expect(stops()).To(BeZero())
	})

	// Guards against a run that goes on because its job is no longer known, and one that
	// counts as known because the log holds another run of its task there.
	It("is stopped if its job is unknown or the log holds another number", func() {
		h.submit("b", 1, workload.Step{Count: 4, Demand: needGPUs(8)})
		h.advance(100*time.Millisecond, 4)
		var b workload.TaskKey
		for b = range h.state.RunsOn(workload.ExecutorKey{ID: on, Incarnation: 1}) {
		}
		Expect(b.Job).To(Equal("b"))
		h.answerHold(n, []fleet.RunningTask{{Task: workload.TaskKey{Job: "unknown"}, Run: 3}, {Task: b, Run: 1}})
		h.step()
		Expect(h.lastCall(fleet.CallStop, on).Task.Job).To(Equal("unknown"))
		h.answerHold(n, []fleet.RunningTask{{Task: b, Run: 2}})
		h.step()
		Expect(h.lastCall(fleet.CallStop, on).Task).To(Equal(b))
		Expect(h.lastCall(fleet.CallStop, on).Run).To(Equal(2))
	})
})
