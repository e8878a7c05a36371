package fleet_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cranberrydrum.dev/scheduler/fleet"
	"cranberrydrum.dev/scheduler/workload"
)

var _ = Describe("a task that has failed on the executors that are left to it", func() {
	var h *harness

	BeforeEach(func() { h = newHarnessWithExecutors() })

	// number returns the number of an executor.
	number := func(id string) int { return int(id[2] - '0') }
	// fail ends a run of a task on its executor as failed.
	fail := func(key workload.TaskKey) string {
		GinkgoHelper()
		run := h.state.Job(key.Job).Occurrences[0].Steps[0].Tasks[key.Index].Run
		Expect(run).NotTo(BeNil())
		h.answerHold(number(run.Executor.ID), nil, fleet.EndedRun{Number: int64(run.Number), Task: key, Run: run.Number, Ending: workload.EndFailed})
		h.advance(100*time.Millisecond, 4)
		return run.Executor.ID
	}

	// Guards against a lasting task that waits for executors which its siblings hold, beside
	// empty ones.
	It("starts there again if it lasts and its siblings hold the others", func() {
		h.submit("lasts", 1, workload.Step{Count: 3, Demand: needGPUs(1), LongRunning: true, PerExecutor: 1})
		h.advance(100*time.Millisecond, 4)
		key := workload.TaskKey{Job: "lasts"}
		first := fail(key)
		second := fail(key)
		Expect(second).NotTo(Equal(first))
		h.advance(time.Second, 4)
		Expect(h.executorsOf("lasts")).To(HaveLen(3))
	})

	// Guards against the same if the task does not last and a job that lasts fills the others.
	It("starts there again if tasks that last fill the others", func() {
		h.submit("fills", 1, workload.Step{Count: 3, Demand: needGPUs(8), LongRunning: true})
		h.advance(100*time.Millisecond, 4)
		h.submit("a", 1, workload.Step{Count: 1, Demand: needGPUs(8)})
		h.advance(100*time.Millisecond, 4)
		on := fail(workload.TaskKey{Job: "a"})
		h.advance(time.Second, 4)
		Expect(h.executorsOf("a")).To(ConsistOf(on))
	})

	// Guards against a task that starts at once where it has failed, while another executor
	// has room.
	It("starts elsewhere while there is room", func() {
		h.submit("lasts", 1, workload.Step{Count: 1, Demand: needGPUs(8), LongRunning: true})
		h.advance(100*time.Millisecond, 4)
		on := fail(workload.TaskKey{Job: "lasts"})
		Expect(h.executorsOf("lasts")).To(HaveLen(1))
		Expect(h.executorsOf("lasts")).NotTo(ContainElement(on))
	})
})

var _ = Describe("a task that lasts and has its data on a rack", func() {
	// Guards against a lasting task that waits for its rack beside empty executors, for half
	// of the slack of an estimate of hours.
	It("starts on another rack at once when its executor drains", func() {
		h := newHarnessWithExecutors()
		h.submit("lasts", 1, workload.Step{Count: 2, Demand: needGPUs(1), LongRunning: true, PerExecutor: 1, DataRack: "r1-0", Estimate: time.Hour})
		h.advance(100*time.Millisecond, 4)
		Expect(h.executorsOf("lasts")).To(ConsistOf("i-0", "i-1"))
		h.report(0, func(r *fleet.Report) { r.Draining, r.DrainRemaining = true, 3*time.Second })
		h.advance(100*time.Millisecond, 4)
		h.answerHold(0, nil, fleet.EndedRun{Number: 1, Task: workload.TaskKey{Job: "lasts"}, Run: 1, Ending: workload.EndStopped})
		h.answerHold(0, nil, fleet.EndedRun{Number: 1, Task: workload.TaskKey{Job: "lasts", Index: 1}, Run: 1, Ending: workload.EndStopped})
		h.advance(time.Second, 4)
		Expect(h.executorsOf("lasts")).To(ConsistOf("i-1", Or(Equal("i-2"), Equal("i-3"))))
	})
})

// Guards against a guarantee that is not met for as long as a lasting job fills the pool, and
// against more tasks of a step that are stopped than it may miss.
var _ = DescribeTable("a guarantee beside a lasting job that may miss tasks",
	func(mayMiss, needed, atWork, stopped int) {
		h := newHarnessWithExecutors()
		h.apply(&workload.Command{At: h.now, Submit: &workload.Job{
			ID: "lasts", QueueName: "q", Customer: "b", Priority: 1, MaxAttempts: 3, Stretch: 1.5,
			Spec: workload.Spec{Steps: []workload.Step{{Count: 4, Demand: needGPUs(8), LongRunning: true, MaxUnavailable: mayMiss}}},
		}})
		h.advance(100*time.Millisecond, 4)
		for n := range 4 {
			percent := 100
			if n >= atWork {
				percent = 50
			}
			h.answerHold(n, []fleet.RunningTask{{Task: h.taskOn("lasts", h.executorName(n)), Run: 1, Percent: percent}})
		}
		c := *h.state.Config()
		c.Version++
		c.Customers = []workload.Customer{{Name: "a", GuaranteedGPU: 16}}
		h.apply(&workload.Command{Configure: &c})
		h.submit("guaranteed", 0, workload.Step{Count: needed, Demand: needGPUs(8)})
		h.advance(1500*time.Millisecond, 4)
		Expect(h.stopCount()).To(Equal(stopped))
	},
	Entry("stops as many as it needs", 2, 1, 4, 1),
	Entry("stops no more than may be missed", 1, 2, 4, 1),
	Entry("counts those that are not at work", 1, 1, 3, 0),
	Entry("stops any of a step without a bound", 0, 2, 4, 2),
)

var _ = Describe("a task that lasts", func() {
	var h *harness

	BeforeEach(func() { h = newHarnessWithExecutors() })

	// Guards against a lasting task that waits for as long as urgent jobs come and other work
	// fills the rest of the pool, beside executors that are free and kept for urgent jobs.
	It("starts on an executor that is kept for urgent jobs if no other has room", func() {
		h.submit("bulk", 2, workload.Step{Count: 2, Demand: needGPUs(8), Estimate: 10 * time.Minute})
		h.submit("urgent", 0, workload.Step{Count: 2, Demand: needGPUs(8)})
		h.advance(100*time.Millisecond, 4)
		for _, id := range h.executorsOf("urgent") {
			h.answerHold(int(id[2]-'0'), nil, fleet.EndedRun{Number: 1, Task: h.taskOn("urgent", id), Run: 1, Ending: workload.EndDone})
		}
		h.submit("lasts", 1, workload.Step{Count: 2, Demand: needGPUs(1), LongRunning: true})
		h.advance(3*time.Second, 4)
		Expect(h.executorsOf("lasts")).To(HaveLen(2))
	})

	// Guards against a lasting task that waits beside executors reserved for a gang, which may
	// wait for long.
	It("starts on an executor that is reserved for a gang if no other has room", func() {
		h.submit("bulk", 2, workload.Step{Count: 3, Demand: needGPUs(8), Estimate: 10 * time.Minute})
		h.submit("small", 2, workload.Step{Count: 1, Demand: needGPUs(1)})
		h.advance(100*time.Millisecond, 4)
		h.submit("gang", 1, workload.Step{Count: 2, Demand: needGPUs(4), Gang: true})
		h.advance(time.Second, 4)
		h.submit("lasts", 2, workload.Step{Count: 1, Demand: needGPUs(1), LongRunning: true})
		h.advance(100*time.Millisecond, 4)
		Expect(h.executorsOf("lasts")).To(BeEmpty())
		h.advance(2500*time.Millisecond, 4)
		Expect(h.executorsOf("lasts")).To(Equal(h.executorsOf("small")))
	})

	// Guards against a lasting task that takes kept capacity although other executors have room.
	It("leaves an executor that is kept for urgent jobs free while another has room", func() {
		h.submit("bulk", 2, workload.Step{Count: 1, Demand: needGPUs(8), Estimate: 10 * time.Minute, DataRack: "r1-1"})
		h.submit("urgent", 0, workload.Step{Count: 2, Demand: needGPUs(8)})
		h.advance(100*time.Millisecond, 4)
		for _, id := range h.executorsOf("urgent") {
			h.answerHold(int(id[2]-'0'), nil, fleet.EndedRun{Number: 1, Task: h.taskOn("urgent", id), Run: 1, Ending: workload.EndDone})
		}
		// Of the rack with the bulk task, the other executor is not kept.
		notKept := 5 - int(h.executorsOf("bulk")[0][2]-'0')
		h.submit("lasts", 1, workload.Step{Count: 1, Demand: needGPUs(1), LongRunning: true})
		h.advance(100*time.Millisecond, 4)
		Expect(h.executorsOf("lasts")).To(ConsistOf(h.executorName(notKept)))
		h.advance(3*time.Second, 4)
		h.answerHold(notKept, nil, fleet.EndedRun{Number: 1, Task: workload.TaskKey{Job: "lasts"}, Run: 1, Ending: workload.EndStopped})
		h.advance(100*time.Millisecond, 4)
		Expect(h.executorsOf("lasts")).To(ConsistOf(h.executorName(notKept)))
	})
})
