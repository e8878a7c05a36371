package fleet_test

import (
	"fmt"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cranberrydrum.dev/scheduler/fleet"
	"cranberrydrum.dev/scheduler/workload"
)

const (
	backlogTestJobs        = 4
	backlogTestOccurrences = 1000
	// triedPerStep is the number of task sets that a round tries of one step of a job, beside those
	// for which capacity is kept. keptSets is the number of the latter for which there is room.
	triedPerStep = 8
	keptSets     = 4 * 64
	// idleStartBound is the time of the rules within which a job starts while there is room.
	idleStartBound = 3 * time.Second
)

// submitScheduled submits a job of several equal steps and many occurrences, all of them due.
func (h *harness) submitScheduled(id string, priority, occurrences int, step workload.Step) {
	steps := make([]workload.Step, backlogSteps)
	for i := range steps {
		steps[i] = step
		steps[i].Estimate = time.Second
	}
	h.apply(&workload.Command{At: h.now, Submit: &workload.Job{
		ID: id, QueueName: "q", Service: "s", Customer: "a", Priority: priority, MaxAttempts: 3, Stretch: 1.5, Target: 600 * time.Millisecond,
		Spec: workload.Spec{Steps: steps, Repeats: occurrences, FirstDue: h.now - time.Minute, Interval: time.Millisecond},
	}})
}

// mostTried returns the largest number of task sets that a round tries while time passes.
func (h *harness) mostTried(span time.Duration) int {
	most := 0
	h.observe = func(out fleet.Output) {
		if out.Round != nil {
			most = max(most, out.Round.TaskSets)
		}
	}
	h.advance(span, 4)
	h.observe = nil
	return most
}

// runsOf counts the runs of a job.
func (h *harness) runsOf(id string) int {
	n := 0
	h.state.Job(id).EachRun(func(*workload.Run) { n++ })
	return n
}

// occupy fills the executors with work of the highest priority that does not end.
func (h *harness) occupy() {
	h.submit("filler", 0, workload.Step{Count: 32, Demand: workload.Resources{CPU: 8000, GPU: 1}, Estimate: time.Hour})
	h.advance(200*time.Millisecond, 4)
	Expect(h.runsOf("filler")).To(Equal(32))
}

var _ = Describe("backlog", func() {
	var h *harness

	BeforeEach(func() {
		h = newHarnessWithExecutors()
	})

	// Guards against rounds whose time grows with the occurrences that are due and can't start, so
	// that a leader sends no heartbeats and every control host loses the leadership in turn.
	DescribeTable("tries few of the due steps that can't start, and starts what can",
		func(isFull bool, priority int, step workload.Step) {
			if isFull {
				h.occupy()
			}
			for n := range backlogTestJobs {
				h.submitScheduled(fmt.Sprint("backlog-", n), priority, backlogTestOccurrences, step)
			}
			Expect(h.mostTried(idleStartBound)).To(BeNumerically("<=", triedPerStep*backlogSteps*backlogTestJobs+keptSets))
			if isFull {
				return
			}
			h.submit("ordinary", 2, workload.Step{Count: 1, Demand: workload.Resources{CPU: 1000}})
			h.advance(idleStartBound, 4)
			Expect(h.runsOf("ordinary")).To(Equal(1))
		},
		Entry("no label", false, 1, workload.Step{Count: 1, Demand: workload.Resources{CPU: 1000}, Requires: "none"}),
		Entry("urgent, no label", false, 0, workload.Step{Count: 1, Demand: workload.Resources{CPU: 1000}, Requires: "none"}),
		Entry("too large", false, 1, workload.Step{Count: 1, Demand: workload.Resources{CPU: 1000, GPU: 9}}),
		Entry("gang too wide", false, 1, workload.Step{Count: 5, Demand: needGPUs(8), Gang: true}),
		Entry("gang too wide for a rack", false, 1, workload.Step{Count: 6, Demand: needGPUs(8), Gang: true, SameRack: true}),
		Entry("gang of more members than executors", false, 1, workload.Step{Count: 5, Demand: needGPUs(1), Gang: true, PerExecutor: 1}),
		Entry("limit of tasks per executor", false, 1, workload.Step{Count: 1, Demand: workload.Resources{CPU: 1000}, Requires: "none", PerExecutor: 1}),
		Entry("lasting", false, 1, workload.Step{Count: 1, Demand: workload.Resources{CPU: 1000}, Requires: "none", LongRunning: true}),
		Entry("best effort", false, 2, workload.Step{Count: 1, Demand: workload.Resources{CPU: 1000}, Requires: "none", BestEffort: true}),
		Entry("no room", true, 2, workload.Step{Count: 1, Demand: workload.Resources{CPU: 1000}}),
		Entry("no room for a gang", true, 2, workload.Step{Count: 2, Demand: needGPUs(1), Gang: true}),
		Entry("no room for urgent steps", true, 0, workload.Step{Count: 1, Demand: workload.Resources{CPU: 1000}}),
	)

	// Guards against occurrences that cost something in each round before they are due.
	It("looks at no occurrence that is not due", func() {
		h.apply(&workload.Command{At: h.now, Submit: &workload.Job{
			ID: "later", QueueName: "q", Service: "s", Customer: "a", Stretch: 1.5, Target: time.Second,
			Spec: workload.Spec{Steps: []workload.Step{{Count: 1, Demand: needGPUs(1)}}, Repeats: 10_000, FirstDue: h.now + time.Hour, Interval: time.Second},
		}})
		work := 0
		h.observe = func(out fleet.Output) {
			if out.Round != nil {
				work += out.Round.Work
			}
		}
		h.advance(idleStartBound, 4)
		Expect(work).To(BeZero())
		// The urgent need of later occurrences keeps no executors from others.
		h.submit("wide", 2, workload.Step{Count: 4, Demand: needGPUs(8)})
		h.advance(200*time.Millisecond, 4)
		Expect(h.runsOf("wide")).To(Equal(4))
	})

	// Guards against due steps that a bound on equal ones keeps from free capacity.
	It("fills the executors with due steps that can start", func() {
		h.submitScheduled("many", 1, backlogTestOccurrences, workload.Step{Count: 1, Demand: workload.Resources{CPU: 1000}})
		h.advance(time.Second, 4)
		Expect(h.runsOf("many")).To(Equal(4 * 64))
	})

	// Guards against the occurrences of a step that are left out for good because others of it that
	// have waited longer can't start.
	It("gives each occurrence of a step a turn", func() {
		// One task of each occurrence has no executor left, so that none is placed as a whole.
		step := workload.Step{Count: 5, Demand: workload.Resources{CPU: 1000}, PerExecutor: 1, Estimate: time.Hour}
		h.apply(&workload.Command{At: h.now, Submit: &workload.Job{
			ID: "spread", QueueName: "q", Service: "s", Customer: "a", Priority: 1, MaxAttempts: 100, Stretch: 1.5, Target: time.Hour,
			Spec: workload.Spec{Steps: []workload.Step{step}, Repeats: 40, FirstDue: h.now - time.Minute, Interval: time.Millisecond},
		}})
		h.advance(idleStartBound, 4)
		Expect(h.runsOf("spread")).To(Equal(4 * 40))
	})

	// Guards against a step that stays set aside after an executor that can run it has come.
	DescribeTable("starts due steps once an executor can run them",
		func(wake func(h *harness)) {
			h.submitScheduled("backlog", 1, backlogTestOccurrences, workload.Step{Count: 1, Demand: workload.Resources{CPU: 1000}, Requires: "b"})
			h.advance(10*time.Second, 4)
			Expect(h.runsOf("backlog")).To(BeZero())
			wake(h)
			for range 30 {
				h.now += idleStartBound / 30
				h.report(4, func(r *fleet.Report) { r.Labels = append(r.Labels, "b") })
				h.answerFirstHold(4, workload.ExecutorKey{ID: "i-4", Incarnation: 1})
				h.step()
			}
			Expect(h.runsOf("backlog")).To(Equal(64))
		},
		Entry("a new executor", func(*harness) {}),
		Entry("a new executor and a new leader", func(h *harness) { h.changeLeader(7) }),
		Entry("a new executor and a restart of all hosts", func(h *harness) {
			data, err := h.state.Snapshot()
			Expect(err).NotTo(HaveOccurred())
			h.state = workload.New()
			Expect(h.state.Restore(data)).To(Succeed())
			h.changeLeader(7)
		}),
	)

	// Guards against runs that go on after the cancel of a job with very many occurrences.
	It("stops the runs of a cancelled job of many occurrences", func() {
		h.submitScheduled("many", 1, backlogTestOccurrences, workload.Step{Count: 1, Demand: workload.Resources{CPU: 1000}})
		h.advance(time.Second, 4)
		h.apply(&workload.Command{At: h.now, Cancel: "many"})
		h.advance(100*time.Millisecond, 4)
		Expect(h.stopCount()).To(Equal(4 * 64))
	})
})

var _ = Describe("work of a round", func() {
	const jobs = 500
	var h *harness

	// A round may compare 64 task sets with the executors.
	BeforeEach(func() {
		h = newHarness()
		settings := modelSettings
		settings.RoundTime = time.Nanosecond
		h.controller = fleet.New(settings, h.state, h.term, h.now, logr.Discard())
		for n := range 4 {
			h.report(n, nil)
		}
		h.advance(100*time.Millisecond, 4)
		for n := range jobs {
			// No two of them are equal.
			h.submit(fmt.Sprintf("%016x", n), n%2, workload.Step{Count: 2, Gang: true, Demand: workload.Resources{CPU: 1000}, Requires: fmt.Sprint("none-", n)})
		}
	})

	// Guards against a customer whose waiting jobs take all the work of the rounds.
	It("starts a job of another customer at once", func() {
		h.advance(500*time.Millisecond, 4)
		h.apply(&workload.Command{At: h.now, Submit: &workload.Job{
			ID: "other", QueueName: "q", Service: "s", Customer: "b", Priority: 2, Stretch: 1.5, Target: time.Second,
			Spec: workload.Spec{Steps: []workload.Step{{Count: 1, Demand: needGPUs(1), Estimate: time.Second}}},
		}})
		h.advance(100*time.Millisecond, 4)
		Expect(h.runsOf("other")).To(Equal(1))
	})

	// Guards against a job that never has a turn behind more urgent ones that can't start.
	It("gives each job of a customer a turn", func() {
		h.advance(500*time.Millisecond, 4)
		h.submit("last", 2, workload.Step{Count: 1, Demand: needGPUs(1)})
		h.advance(idleStartBound, 4)
		Expect(h.runsOf("last")).To(Equal(1))
	})

	// Guards against a job that never has a turn behind a few of which each takes much of the work.
	It("gives each job a turn behind expensive ones", func() {
		for n := range jobs {
			h.apply(&workload.Command{At: h.now, Cancel: fmt.Sprintf("%016x", n)})
		}
		for n := range 6 {
			h.submit(fmt.Sprint("expensive-", n), 0, workload.Step{Count: 100, Gang: true, PerExecutor: 1, Demand: workload.Resources{CPU: 1000}})
		}
		h.submit("last", 2, workload.Step{Count: 1, Demand: needGPUs(1)})
		h.advance(idleStartBound, 4)
		Expect(h.runsOf("last")).To(Equal(1))
	})

	// Guards against a bound that is reported but not kept.
	It("stays within its bound and reports what is left", func() {
		rounds, cut := 0, 0
		h.observe = func(out fleet.Output) {
			if out.Round == nil {
				return
			}
			rounds++
			if out.Round.HasLeft {
				cut++
			}
			Expect(out.Round.Work).To(BeNumerically("<", 2*64*4))
		}
		h.advance(time.Second, 4)
		Expect(rounds).To(BeNumerically(">", 0))
		Expect(cut).To(Equal(rounds))
	})

	// Guards against rounds on a slow machine that take as much work as on a fast one, and take
	// their turns so often that they leave no time for the log.
	It("follows the measured time of a round", func() {
		settings := modelSettings
		settings.RoundTime = time.Millisecond
		h.controller = fleet.New(settings, h.state, h.term, h.now, logr.Discard())
		work, rounds := 0, 0
		h.observe = func(out fleet.Output) {
			if out.Round != nil {
				work = out.Round.Work
				rounds++
				h.controller.RecordRound(h.now, time.Duration(work)*2*time.Microsecond)
			}
		}
		h.advance(20*time.Second, 4)
		Expect(time.Duration(work) * 2 * time.Microsecond).To(BeNumerically("~", time.Millisecond, 500*time.Microsecond))
	})
})
