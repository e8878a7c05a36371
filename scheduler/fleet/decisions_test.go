package fleet_test

import (
	"fmt"
	"slices"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cranberrydrum.dev/scheduler/fleet"
	"cranberrydrum.dev/scheduler/workload"
)

// stage is a leader whose commands are applied at once and whose orders are
// answered as the test says.
type stage struct {
	now        time.Duration
	state      *workload.State
	controller *fleet.Controller
	calls      []fleet.Call
	sequence   int64
	// mute leaves orders without an answer.
	mute bool
}

func newStage() *stage {
	s := &stage{now: time.Hour, state: workload.New()}
	s.apply(&workload.Command{Configure: modelConfig()})
	s.controller = fleet.New(modelSettings, s.state, 2, s.now, logr.Discard())
	return s
}

// succeed puts a leader of another term in the place of the present one.
func (s *stage) succeed(term uint64) {
	s.controller = fleet.New(modelSettings, s.state, term, s.now, logr.Discard())
	s.step()
}

func (s *stage) apply(c *workload.Command) {
	data, err := c.Encode()
	Expect(err).NotTo(HaveOccurred())
	s.state.Apply(0, 2, data)
}

func (s *stage) report(n int, change func(*fleet.Report)) {
	s.sequence++
	r := fleet.Report{
		Executor: workload.ExecutorKey{ID: fmt.Sprintf("i-%d", n), Born: 1}, Sequence: s.sequence, Service: "s", Address: fmt.Sprintf("10.0.0.%d:80", n),
		Capacity: workload.Resources{CPU: 64000, MemoryMB: 64000, GPU: 8}, Labels: []string{"a", fmt.Sprintf("r1-%d", n/2)}, Clock: s.now,
	}
	if change != nil {
		change(&r)
	}
	if _, enroll := s.controller.Report(s.now, r); enroll != nil {
		s.apply(&workload.Command{At: s.now, Enroll: enroll})
	}
}

// pass lets time go by; all executors of the stage report meanwhile.
func (s *stage) pass(span time.Duration, executors int) {
	for end := s.now + span; s.now < end; {
		s.now += 20 * time.Millisecond
		for n := range executors {
			s.report(n, nil)
		}
		s.step()
	}
}

func (s *stage) step() {
	out := s.controller.Step(s.now, s.now)
	for _, c := range out.Commands {
		s.apply(c)
	}
	for _, call := range out.Calls {
		s.calls = append(s.calls, call)
		if !s.mute && (call.Kind == fleet.CallStart || call.Kind == fleet.CallStop) {
			s.answer(call, fleet.Answer{Verdict: fleet.VerdictAccepted, Born: 1, Clock: s.now})
		}
	}
}

func (s *stage) answer(call fleet.Call, a fleet.Answer) {
	for _, c := range s.controller.Answered(s.now, s.now, call, a).Commands {
		s.apply(c)
	}
}

// list answers the open hold of an executor.
func (s *stage) list(n int, running []fleet.RunningTask, ended ...fleet.EndedRun) {
	for i := len(s.calls) - 1; i >= 0; i-- {
		if call := s.calls[i]; call.Kind == fleet.CallHold && call.Executor.ID == fmt.Sprintf("i-%d", n) {
			s.answer(call, fleet.Answer{Verdict: fleet.VerdictAccepted, Complete: true, Born: 1, Clock: s.now, Running: running, Ended: ended})
			return
		}
	}
	Fail(fmt.Sprintf("executor %d has no open hold", n))
}

func (s *stage) submit(id string, priority int, step workload.Step) {
	step.Estimate = max(step.Estimate, 10*time.Second)
	s.apply(&workload.Command{At: s.now, Submit: &workload.Job{
		ID: id, Queue: "q", Service: "s", Customer: "a", Priority: priority, MaxAttempts: 3, Stretch: 1.5, Target: 600 * time.Millisecond,
		Spec: workload.Spec{Steps: []workload.Step{step}},
	}})
}

// placed returns the executors of the runs of a job.
func (s *stage) placed(id string) []string {
	var on []string
	for _, t := range s.state.Job(id).Occurrences[0].Steps[0].Tasks {
		if t.Run != nil {
			on = append(on, t.Run.Executor.ID)
		}
	}
	return on
}

func (s *stage) stops() int {
	n := 0
	for _, c := range s.calls {
		if c.Kind == fleet.CallStop {
			n++
		}
	}
	return n
}

func (s *stage) advises() []fleet.Call {
	var list []fleet.Call
	for _, c := range s.calls {
		if c.Kind == fleet.CallAdvise {
			list = append(list, c)
		}
	}
	return list
}

func gpus(n int64) workload.Resources { return workload.Resources{CPU: 1000, GPU: n} }

var _ = Describe("decisions", func() {
	var s *stage

	BeforeEach(func() {
		s = newStage()
		for n := range 4 {
			s.report(n, nil)
		}
	})

	It("starts a gang as a whole or not at all", func() {
		s.submit("wide", 1, workload.Step{Count: 5, Need: gpus(8), Gang: true})
		s.submit("fits", 1, workload.Step{Count: 4, Need: gpus(8), Gang: true})
		s.pass(100*time.Millisecond, 4)
		Expect(s.placed("wide")).To(BeEmpty())
		Expect(s.placed("fits")).To(HaveLen(4))
	})

	It("keeps a gang on one rack", func() {
		s.submit("gang", 1, workload.Step{Count: 2, Need: gpus(8), Gang: true, SameRack: true})
		s.pass(100*time.Millisecond, 4)
		Expect(s.placed("gang")).To(Or(ConsistOf("i-0", "i-1"), ConsistOf("i-2", "i-3")))
	})

	It("obeys labels and the bound of tasks on one executor", func() {
		s.submit("label", 1, workload.Step{Count: 1, Need: gpus(1), Requires: "b"})
		s.submit("apart", 1, workload.Step{Count: 6, Need: gpus(1), PerExecutor: 1})
		s.pass(100*time.Millisecond, 4)
		Expect(s.placed("label")).To(BeEmpty())
		Expect(s.placed("apart")).To(ConsistOf("i-0", "i-1", "i-2", "i-3"))
	})

	It("starts nothing on a draining or a silent executor", func() {
		for n := 1; n < 4; n++ {
			s.report(n, func(r *fleet.Report) { r.Draining = true })
		}
		s.submit("a", 1, workload.Step{Count: 3, Need: gpus(8)})
		s.step()
		Expect(s.placed("a")).To(ConsistOf("i-0"))
	})

	// Guards against a new leader that gives no orders until every executor has
	// reported again, up to a whole interval later.
	It("starts on executors that an earlier leader knew as soon as they answer", func() {
		s.succeed(3)
		s.submit("a", 1, workload.Step{Count: 4, Need: gpus(8)})
		s.step()
		Expect(s.placed("a")).To(BeEmpty())
		for n := range 4 {
			s.list(n, nil)
		}
		s.now += 100 * time.Millisecond
		s.step()
		Expect(s.placed("a")).To(HaveLen(4))
	})

	// Guards against starts after a farewell that an earlier leader acknowledged,
	// and against an older report that arrives after it.
	It("keeps a farewell under the next leader and against late reports", func() {
		s.report(1, func(r *fleet.Report) { r.Draining = true })
		s.succeed(3)
		for n := range 4 {
			s.list(n, nil)
		}
		s.report(1, nil)
		s.submit("a", 1, workload.Step{Count: 4, Need: gpus(8)})
		s.now += 100 * time.Millisecond
		s.step()
		Expect(s.placed("a")).To(ConsistOf("i-0", "i-2", "i-3"))
	})

	// Guards against an executor of the directory that ended unheard and is asked
	// for ever, and against orders to the executor that has its address now.
	It("drops an executor of the directory whose address another one has", func() {
		s.succeed(3)
		for i := len(s.calls) - 1; i >= 0; i-- {
			if call := s.calls[i]; call.Kind == fleet.CallHold && call.Executor.ID == "i-2" {
				s.answer(call, fleet.Answer{Verdict: fleet.VerdictOtherLife})
				break
			}
		}
		s.step()
		Expect(s.state.Executor("i-2")).To(BeNil())
		Expect(s.state.Executor("i-1")).NotTo(BeNil())
	})

	// Guards against gangs put on an executor that was cut off since its last
	// list, and against one that is never asked again because nothing runs there.
	It("starts nothing on an executor that left an order unanswered until it answers", func() {
		s.submit("a", 1, workload.Step{Count: 1, Need: gpus(1)})
		s.mute = true
		s.step()
		on := s.placed("a")[0]
		s.step()
		start := s.calls[slices.IndexFunc(s.calls, func(c fleet.Call) bool { return c.Kind == fleet.CallStart })]
		s.answer(start, fleet.Answer{Verdict: fleet.VerdictUnknown})
		s.mute = false
		s.apply(&workload.Command{At: s.now, Cancel: "a"})
		s.submit("b", 1, workload.Step{Count: 4, Need: gpus(7)})
		s.now += 50 * time.Millisecond
		s.step()
		Expect(s.placed("b")).To(HaveLen(3))
		Expect(s.placed("b")).NotTo(ContainElement(on))
	})

	It("reclaims room for a guaranteed job in time, and for no less urgent one", func() {
		s.submit("bulk", 2, workload.Step{Count: 32, Need: gpus(1)})
		s.pass(100*time.Millisecond, 4)
		Expect(s.placed("bulk")).To(HaveLen(32))
		s.submit("middle", 1, workload.Step{Count: 1, Need: gpus(8)})
		s.pass(4*time.Second, 4)
		Expect(s.stops()).To(BeZero())
		s.submit("urgent", 0, workload.Step{Count: 1, Need: gpus(8)})
		s.pass(modelSettings.Reclaim-modelSettings.StopTime-time.Second, 4)
		Expect(s.stops()).To(Equal(8))
	})

	// Guards against accelerators that tasks without an end keep from a guarantee,
	// and against stops of tasks of which only some may be away.
	DescribeTable("a guarantee and tasks that run until they are cancelled",
		func(mayMiss, stops int) {
			s.submit("lasting", 2, workload.Step{Count: 4, Need: gpus(8), LongRunning: true, MayMiss: mayMiss})
			s.pass(100*time.Millisecond, 4)
			Expect(s.placed("lasting")).To(HaveLen(4))
			s.submit("urgent", 0, workload.Step{Count: 1, Need: gpus(8)})
			s.pass(time.Second, 4)
			Expect(s.stops()).To(Equal(stops))
		},
		Entry("reclaims from those", 0, 1),
		Entry("leaves those alone of which only some may be away", 1, 0),
	)

	// Guards against a guarantee that is missed because the tasks that should
	// make room for it do not end, and are chosen again for the second attempt.
	It("stops others for a guarantee when the first ones do not end", func() {
		s.submit("bulk", 2, workload.Step{Count: 32, Need: gpus(1)})
		s.pass(100*time.Millisecond, 4)
		s.submit("urgent", 0, workload.Step{Count: 1, Need: gpus(8)})
		s.pass(modelSettings.Reclaim-modelSettings.StopTime-800*time.Millisecond, 4)
		Expect(s.stops()).To(Equal(16))
	})

	// Guards against room that is made on several racks for a gang which then
	// waits for one rack, until its guarantee is missed.
	It("starts a guaranteed gang on several racks where room was made there", func() {
		for _, n := range []int{0, 2} {
			s.report(n, func(r *fleet.Report) { r.Labels = append(r.Labels, "x") })
		}
		s.submit("cheap", 2, workload.Step{Count: 2, Need: gpus(8), Requires: "x", Checkpoints: true})
		s.step()
		s.submit("dear", 2, workload.Step{Count: 2, Need: gpus(8), Estimate: time.Hour})
		s.now += 50 * time.Millisecond
		s.step()
		Expect(s.placed("cheap")).To(ConsistOf("i-0", "i-2"))
		Expect(s.placed("dear")).To(ConsistOf("i-1", "i-3"))
		running := func(job string, index, percent int) []fleet.RunningTask {
			return []fleet.RunningTask{{Task: workload.TaskKey{Job: job, Index: index}, Run: 1, Percent: percent}}
		}
		jobs := []string{"cheap", "dear", "cheap", "dear"}
		for i := range 100 {
			s.pass(time.Second, 4)
			for n, job := range jobs {
				s.list(n, running(job, n/2, i/2))
			}
		}
		s.submit("urgent", 0, workload.Step{Count: 2, Need: workload.Resources{CPU: 40000, GPU: 4}, Gang: true, SameRack: true, Estimate: 10 * time.Second})
		s.pass(600*time.Millisecond, 4)
		Expect(s.stops()).To(Equal(2))
		for _, n := range []int{0, 2} {
			s.list(n, nil, fleet.EndedRun{Number: 1, Task: workload.TaskKey{Job: "cheap", Index: n / 2}, Run: 1, Ending: workload.EndStopped})
		}
		s.pass(100*time.Millisecond, 4)
		Expect(s.placed("urgent")).To(ConsistOf("i-0", "i-2"))
	})

	It("keeps the room that urgent jobs needed lately", func() {
		s.submit("urgent", 0, workload.Step{Count: 2, Need: gpus(8)})
		s.pass(100*time.Millisecond, 4)
		s.apply(&workload.Command{At: s.now, Cancel: "urgent"})
		s.submit("bulk", 2, workload.Step{Count: 32, Need: gpus(1)})
		s.pass(100*time.Millisecond, 4)
		Expect(len(s.placed("bulk"))).To(BeNumerically("<=", 16))
	})

	// Guards against tasks that slow the users of those beside them.
	It("keeps tasks that fill away from tasks that serve users", func() {
		s.submit("serve", 1, workload.Step{Count: 2, Need: gpus(1), TailTarget: time.Second, LongRunning: true})
		s.submit("fill", 2, workload.Step{Count: 6, Need: gpus(1), Fills: true})
		s.submit("late", 1, workload.Step{Count: 1, Need: gpus(1), TailTarget: time.Second, LongRunning: true})
		s.pass(200*time.Millisecond, 4)
		Expect(s.placed("serve")).To(HaveLen(2))
		Expect(s.placed("fill")).To(HaveLen(6))
		for _, on := range append(s.placed("serve"), s.placed("late")...) {
			Expect(s.placed("fill")).NotTo(ContainElement(on))
		}
	})

	// Guards against places of a gang that did not fit, which kept others away
	// from executors that nothing was started on.
	It("forgets the places of a gang that fills and does not fit", func() {
		s.submit("fill", 1, workload.Step{Count: 5, Need: gpus(8), Fills: true, Gang: true})
		s.submit("serve", 1, workload.Step{Count: 2, Need: gpus(1), TailTarget: time.Second, LongRunning: true})
		s.pass(200*time.Millisecond, 4)
		Expect(s.placed("fill")).To(BeEmpty())
		Expect(s.placed("serve")).To(HaveLen(2))
	})

	// Guards against starts without a ticket, and against a second call to the
	// advice service while the first is open.
	It("starts advised steps only with a ticket", func() {
		config := *modelConfig()
		config.Version = 2
		config.Queues = []workload.Queue{{Name: "q", Service: "s", Timeout: time.Second, Advice: &workload.Advice{Valid: 20 * time.Second}}}
		s.apply(&workload.Command{Configure: &config})
		s.submit("a", 1, workload.Step{Count: 2, Need: gpus(8)})
		s.pass(300*time.Millisecond, 4)
		Expect(s.placed("a")).To(BeEmpty())
		Expect(s.advises()).To(HaveLen(1))
		call := s.advises()[0]
		Expect(call.Workers).To(ConsistOf("i-0", "i-1", "i-2", "i-3"))
		s.answer(call, fleet.Answer{Verdict: fleet.VerdictAccepted, Tickets: []fleet.Ticket{{Executor: "i-1", Value: "t1"}, {Executor: "i-3", Value: "t3"}}})
		s.pass(100*time.Millisecond, 4)
		Expect(s.placed("a")).To(ConsistOf("i-1", "i-3"))
		for _, c := range s.calls {
			if c.Kind == fleet.CallStart {
				Expect(c.Ticket).To(Equal("t" + c.Executor.ID[2:]))
			}
		}
	})

	// Guards against a job that waits for better room while most of the pool is free.
	It("lets a job with nothing at work take reserved room in an idle pool", func() {
		s.submit("urgent", 0, workload.Step{Count: 1, Need: gpus(8)})
		s.pass(100*time.Millisecond, 4)
		s.submit("all", 2, workload.Step{Count: 3, Need: gpus(8), Gang: true})
		s.pass(2500*time.Millisecond, 4)
		Expect(s.placed("all")).To(HaveLen(3))
	})

	It("sets an executor aside on which different jobs fail", func() {
		s.submit("one", 1, workload.Step{Count: 1, Need: gpus(4)})
		s.submit("two", 1, workload.Step{Count: 1, Need: gpus(4)})
		s.pass(100*time.Millisecond, 4)
		on := s.placed("one")[0]
		Expect(s.placed("two")).To(ConsistOf(on))
		s.list(int(on[2]-'0'), nil,
			fleet.EndedRun{Number: 1, Task: workload.TaskKey{Job: "one"}, Run: 1, Ending: workload.EndFailed},
			fleet.EndedRun{Number: 2, Task: workload.TaskKey{Job: "two"}, Run: 1, Ending: workload.EndFailed})
		s.submit("three", 1, workload.Step{Count: 4, Need: gpus(8)})
		s.pass(200*time.Millisecond, 4)
		Expect(s.placed("three")).NotTo(ContainElement(on))
	})

	// Guards against the longest quarantine for an executor on which several jobs
	// fail at one moment.
	It("sets an executor aside once for runs that fail together", func() {
		var ended []fleet.EndedRun
		for i := range 4 {
			id := fmt.Sprintf("fails-%d", i)
			s.submit(id, 1, workload.Step{Count: 1, Need: gpus(2)})
			s.pass(100*time.Millisecond, 4)
			ended = append(ended, fleet.EndedRun{Number: int64(i + 1), Task: workload.TaskKey{Job: id}, Run: 1, Ending: workload.EndFailed})
		}
		on := s.placed("fails-0")[0]
		Expect(s.placed("fails-3")).To(ConsistOf(on))
		s.list(int(on[2]-'0'), nil, ended...)
		for i := range 4 {
			s.apply(&workload.Command{At: s.now, Cancel: fmt.Sprintf("fails-%d", i)})
		}
		s.submit("all", 1, workload.Step{Count: 4, Need: gpus(8)})
		s.pass(3*time.Second, 4)
		Expect(s.placed("all")).NotTo(ContainElement(on))
		s.pass(1500*time.Millisecond, 4)
		Expect(s.placed("all")).To(ContainElement(on))
	})

	// Guards against hanging executors that keep their runs for ever, and against
	// taking a gang member that is done with its part for one that hangs.
	DescribeTable("a run without progress",
		func(percent, stops int) {
			s.submit("a", 1, workload.Step{Count: 1, Need: gpus(8)})
			s.pass(100*time.Millisecond, 4)
			on := s.placed("a")[0]
			running := []fleet.RunningTask{{Task: workload.TaskKey{Job: "a"}, Run: 1, Percent: percent}}
			for range 4 {
				s.list(int(on[2]-'0'), running)
				s.pass(2*time.Second, 4)
			}
			Expect(s.stops()).To(Equal(stops))
		},
		Entry("is stopped", 40, 1),
		Entry("waits for the others when it is done with its part", 100, 0),
	)

	It("never acknowledges an end before it is in the log", func() {
		s.submit("a", 1, workload.Step{Count: 1, Need: gpus(8)})
		s.pass(100*time.Millisecond, 4)
		n := int(s.placed("a")[0][2] - '0')
		call := s.calls[len(s.calls)-1]
		Expect(call.Kind).To(Equal(fleet.CallHold))
		out := s.controller.Answered(s.now, s.now, call, fleet.Answer{Verdict: fleet.VerdictAccepted, Complete: true, Born: 1, Clock: s.now,
			Ended: []fleet.EndedRun{{Number: 5, Task: workload.TaskKey{Job: "a"}, Run: 1, Ending: workload.EndDone}}})
		s.now += 100 * time.Millisecond
		s.report(n, nil)
		for _, c := range s.controller.Step(s.now, s.now).Calls {
			Expect(c.Kind).NotTo(Equal(fleet.CallHold))
		}
		for _, c := range out.Commands {
			s.apply(c)
		}
		next := s.controller.Step(s.now, s.now).Calls
		Expect(next).To(HaveLen(1))
		Expect(next[0].Cursor).To(Equal(int64(5)))
	})
})
