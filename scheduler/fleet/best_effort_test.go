package fleet_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cranberrydrum.dev/scheduler/fleet"
	"cranberrydrum.dev/scheduler/workload"
)

// Guards against a task that serves users and never starts, because each executor has a small
// best-effort run beside which it must not run.
var _ = Describe("a user-facing task beside best-effort runs on all executors", func() {
	var h *harness

	BeforeEach(func() { h = newHarnessWithExecutors() })

	fill := func(mayMiss int) {
		h.submit("fills", 2, workload.Step{Count: 4, Demand: needGPUs(0), BestEffort: true, LongRunning: true, PerExecutor: 1, MaxUnavailable: mayMiss})
		h.advance(100*time.Millisecond, 4)
		Expect(h.executorsOf("fills")).To(HaveLen(4))
		for n := range 4 {
			id := h.executorName(n)
			h.answerHold(n, []fleet.RunningTask{{Task: h.taskOn("fills", id), Run: 1, Percent: 100}})
		}
		h.advance(100*time.Millisecond, 4)
	}
	stopped := func() []fleet.Call {
		var calls []fleet.Call
		for _, c := range h.calls {
			if c.Kind == fleet.CallStop {
				calls = append(calls, c)
			}
		}
		return calls
	}
	end := func(c fleet.Call) {
		h.answerHold(int(c.Executor.ID[2]-'0'), nil, fleet.EndedRun{Number: 1, Task: c.Task, Run: c.Run, Ending: workload.EndStopped})
		h.advance(100*time.Millisecond, 4)
	}

	DescribeTable("takes the place of one of them, and only that",
		func(priority int) {
			fill(0)
			h.submit("serves", priority, workload.Step{Count: 1, Demand: needGPUs(0), LongRunning: true, TailLatencyTarget: 100 * time.Millisecond})
			h.advance(100*time.Millisecond, 4)
			Expect(stopped()).To(HaveLen(1))
			end(stopped()[0])
			Expect(h.executorsOf("serves")).To(ConsistOf(stopped()[0].Executor.ID))
			h.advance(3*time.Second, 4)
			Expect(stopped()).To(HaveLen(1))
			Expect(h.executorsOf("fills")).To(HaveLen(3))
		},
		Entry("of a more urgent job", 0),
		Entry("of a job as urgent", 2),
	)

	It("stops no more of a step than it may miss", func() {
		fill(1)
		h.submit("serves", 0, workload.Step{Count: 2, Demand: needGPUs(0), LongRunning: true, TailLatencyTarget: 100 * time.Millisecond, PerExecutor: 1})
		h.advance(100*time.Millisecond, 4)
		Expect(stopped()).To(HaveLen(1))
		end(stopped()[0])
		h.advance(time.Second, 4)
		Expect(stopped()).To(HaveLen(1))
		Expect(h.executorsOf("serves")).To(HaveLen(1))
	})
})
