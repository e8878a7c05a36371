package fleet_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cranberrydrum.dev/scheduler/fleet"
	"cranberrydrum.dev/scheduler/workload"
)

var _ = Describe("a truncated list of ended runs", func() {
	// Guards against a task that runs again after it was done: its end is beyond those that
	// the executor lists at a time, so the run is in neither list.
	It("does not prove that a run without an entry has not begun", func() {
		const id = "0000000000000001"
		h := newHarness()
		for n := range 2 {
			h.report(n, nil)
		}
		on := h.startOne(id)
		number := int(on[2] - '0')
		h.answerHold(number, nil)
		h.advance(100*time.Millisecond, 2)
		h.answer(h.lastCall(fleet.CallHold, on), fleet.Response{
			Verdict: fleet.VerdictAccepted, Complete: true, EndsTruncated: true, Incarnation: 1, Clock: h.now,
			Ended: []fleet.EndedRun{{Number: 1, Task: workload.TaskKey{Job: "0000000000000009"}, Run: 1, Ending: workload.EndStopped}},
		})
		h.advance(100*time.Millisecond, 2)
		task := &h.state.Job(id).Occurrences[0].Steps[0].Tasks[0]
		Expect(task.LastRun).To(Equal(1))
		h.answerHold(number, nil, fleet.EndedRun{Number: 2, Task: workload.TaskKey{Job: id}, Run: 1, Ending: workload.EndDone})
		Expect(task.Done).To(BeTrue())
	})
})
