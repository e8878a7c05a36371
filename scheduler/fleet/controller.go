package fleet

import (
	"slices"
	"time"

	"github.com/go-logr/logr"

	"cranberrydrum.dev/scheduler/workload"
)

// forgetInterval is the time between two looks for jobs to forget.
const forgetInterval = 5 * time.Second

// Controller is the volatile part of a leader. It is made anew in each term.
type Controller struct {
	cfg   Settings
	state *workload.State
	term  uint64
	log   logr.Logger
	began time.Duration

	executors map[string]*executor
	// lost holds lives that have runs in the log and were not heard of.
	lost map[workload.ExecutorKey]*executor
	// at finds the executor that reports from an address.
	at map[string]*executor

	changes    uint64
	nextForget time.Duration
	nextRound  time.Duration
	dirty      bool
	claims     map[unitKey]*claim
	bookings   map[unitKey]*booking
	// decided holds the runs that are proposed and not applied yet.
	decided map[workload.TaskKey]workload.Start
	// waiting is when the tasks of a step became runnable.
	waiting map[unitKey]time.Duration
	// inside holds the urgent jobs that lie within the guarantees.
	inside map[string]bool
	// meanWork is the work of an average job of each queue; learnt and newest
	// are the last job counted in it before and in this round.
	meanWork       map[string]average
	learnt, newest uint64
	// demands follows the urgent need of each service.
	demands map[string]*demand
	// advices holds what the advice service said; advising is set while a call
	// to it is open, and nextAdvice is the time of the next one after a failure.
	advices    map[unitKey]*advice
	advising   bool
	nextAdvice time.Duration
	// avoid lists the executors on which a task has failed.
	avoid map[workload.TaskKey][]string
	// skew is the time of day less the clock of the process.
	skew time.Duration
	// dismissed holds lives that are over and still stand in the directory.
	dismissed []workload.ExecutorKey
	out       Output
}

// New returns the controller of a leader whose state is current.
func New(cfg Settings, state *workload.State, term uint64, now time.Duration, log logr.Logger) *Controller {
	c := &Controller{
		cfg: cfg, state: state, term: term, log: log, began: now,
		executors: map[string]*executor{},
		lost:      map[workload.ExecutorKey]*executor{},
		at:        map[string]*executor{},
		claims:    map[unitKey]*claim{},
		bookings:  map[unitKey]*booking{},
		advices:   map[unitKey]*advice{},
		demands:   map[string]*demand{},
		meanWork:  map[string]average{},
		decided:   map[workload.TaskKey]workload.Start{},
		waiting:   map[unitKey]time.Duration{},
		avoid:     map[workload.TaskKey][]string{},
	}
	c.recall(now)
	c.reconcile(now)
	return c
}

// leaseSpan bounds how long runs that an unknown leader started can go on.
func (c *Controller) leaseSpan() time.Duration {
	return time.Duration(float64(c.cfg.Lease)*(1+clockDrift)) + leaseMargin
}

// Step does what is due. unix is the time of day at this host.
func (c *Controller) Step(now, unix time.Duration) Output {
	c.out = Output{}
	c.skew = unix - now
	if c.changes != c.state.Changes() {
		c.reconcile(now)
	}
	c.logEnded()
	c.dismiss(unix)
	c.expire(now, unix)
	if now >= c.nextRound && (c.dirty || now >= c.nextRound+idleRound) {
		c.round(now, unix)
	}
	c.orders(now)
	c.holds(now)
	c.forget(now, unix)
	return c.out
}

func (c *Controller) logEnded() {
	for _, j := range c.state.TakeEnded() {
		runs := 0
		for k := range j.Occurrences {
			for i := range j.Occurrences[k].Steps {
				for n := range j.Occurrences[k].Steps[i].Tasks {
					runs += j.Occurrences[k].Steps[i].Tasks[n].LastRun
				}
			}
		}
		c.log.Info("job ended", "job", j.ID, "customer", j.Customer, "priority", j.Priority, "phase", j.Phase.String(),
			"took_ms", (j.EndedAt - j.Submitted).Milliseconds(), "objective_ms", objective(j).Milliseconds(), "chain_ms", chain(&j.Spec).Milliseconds(),
			"tasks", len(j.Occurrences)*taskCount(&j.Spec), "runs", runs)
	}
}

func taskCount(s *workload.Spec) int {
	n := 0
	for i := range s.Steps {
		n += s.Steps[i].Count
	}
	return n
}

// Report takes a report and says whether it came from a present executor. The
// entry, if there is one, has to stand in the directory before the report is
// acknowledged.
func (c *Controller) Report(now time.Duration, r Report) (present bool, enroll *workload.Executor) {
	if other := c.at[r.Address]; other != nil && other.key.ID != r.Executor.ID && other.key.Born > r.Executor.Born {
		return false, nil
	}
	e := c.executors[r.Executor.ID]
	if e != nil && r.Executor.Born < e.key.Born {
		return false, nil
	}
	if e != nil && r.Executor.Born == e.key.Born && r.Sequence <= e.sequence {
		return true, c.enrollment(e)
	}
	if e != nil && e.key != r.Executor {
		c.bury(now, e, "restarted")
		e = nil
	}
	if e == nil {
		e = c.meet(now, r)
	}
	if other := c.at[r.Address]; other != nil && other != e {
		c.bury(now, other, "address_reused")
	}
	if r.Draining && !e.draining {
		c.log.Info("executor drains", "executor", e.key.ID, "remaining_ms", r.DrainRemaining.Milliseconds())
	}
	c.at[r.Address] = e
	e.adopt(now, &r)
	c.dirty = true
	return true, c.enrollment(e)
}

func (c *Controller) meet(now time.Duration, r Report) *executor {
	e := c.lost[r.Executor]
	delete(c.lost, r.Executor)
	if e == nil {
		e = c.newExecutor(r.Executor)
	}
	c.executors[r.Executor.ID] = e
	c.log.Info("executor found", "executor", r.Executor.ID, "born", r.Executor.Born, "address", r.Address, "zone", r.Zone, "runs", len(e.runs))
	return e
}

func (c *Controller) newExecutor(key workload.ExecutorKey) *executor {
	return &executor{key: key, runs: map[workload.TaskKey]*run{}, leaseEnd: c.began + c.leaseSpan()}
}

// Leave takes the farewell of an executor. born is 0 if it did not say.
func (c *Controller) Leave(now time.Duration, id string, born int64) {
	e := c.executors[id]
	if e == nil || (born > 0 && born < e.key.Born) {
		return
	}
	c.bury(now, e, "left")
}

// bury ends a life: whatever ran in it is over.
func (c *Controller) bury(now time.Duration, e *executor, why string) {
	c.log.Info("executor gone", "executor", e.key.ID, "born", e.key.Born, "reason", why, "runs", len(e.runs))
	if c.executors[e.key.ID] == e {
		delete(c.executors, e.key.ID)
	}
	if c.at[e.address] == e {
		delete(c.at, e.address)
	}
	if entry := c.state.Executor(e.key.ID); entry != nil && entry.Key == e.key {
		c.dismissed = append(c.dismissed, e.key)
	}
	// The runs stay until their ends are applied.
	e.leaseEnd = now
	if len(e.runs) > 0 {
		c.lost[e.key] = e
	}
	c.dirty = true
}

// reconcile brings the runs of the executors in line with the log.
func (c *Controller) reconcile(now time.Duration) {
	c.changes = c.state.Changes()
	c.dirty = true
	for key, d := range c.decided {
		// The state has taken or dropped the decision once the run number is
		// used or the job is over.
		if j, t := c.state.TaskOf(key); t == nil || j.Phase.Ended() || t.LastRun >= d.Run {
			delete(c.decided, key)
		}
	}
	for _, e := range c.executors {
		c.reconcileRuns(now, e)
	}
	for key, e := range c.lost {
		c.reconcileRuns(now, e)
		if len(e.runs) == 0 {
			delete(c.lost, key)
		}
	}
	c.state.Occupied(func(key workload.ExecutorKey) {
		if e := c.executors[key.ID]; e != nil && e.key == key {
			return
		}
		if c.lost[key] == nil {
			e := c.newExecutor(key)
			c.lost[key] = e
			c.reconcileRuns(now, e)
		}
	})
}

func (c *Controller) reconcileRuns(now time.Duration, e *executor) {
	logged := c.state.RunsOn(e.key)
	for key, r := range e.runs {
		if l := logged[key]; l == nil || l.Number != r.number {
			delete(e.runs, key)
		}
	}
	e.used, e.serving, e.filling = workload.Resources{}, 0, 0
	for key, l := range logged {
		if e.runs[key] == nil {
			r := &run{number: l.Number, term: l.Term, movedAt: now}
			if l.Term < c.term {
				// The first hold of this term fences off every earlier start.
				r.settled = now
			}
			e.runs[key] = r
		}
		if j := c.state.Job(key.Job); j != nil {
			e.occupy(&j.Spec.Steps[key.Step])
		}
	}
	e.overdue = slices.DeleteFunc(e.overdue, func(o workload.End) bool { return c.state.FailureCounted(o.Task, o.Run) })
	if e.seenEnd > e.cursor && !c.endsPending(e) {
		e.cursor = e.seenEnd
	}
}

// endsPending reports whether a proposed end is not applied yet.
func (c *Controller) endsPending(e *executor) bool {
	if len(e.overdue) > 0 {
		return true
	}
	for _, r := range e.runs {
		if r.end != nil {
			return true
		}
	}
	return false
}

// expire ends the runs of executors whose lease cannot reach any more.
func (c *Controller) expire(now, unix time.Duration) {
	var ends []workload.End
	for _, e := range c.executors {
		if len(e.runs) > 0 && now >= e.leaseEnd {
			ends = c.endAll(ends, e, workload.EndLapsed)
		}
	}
	for _, e := range c.lost {
		if now >= e.leaseEnd {
			ends = c.endAll(ends, e, workload.EndExecutorGone)
		}
	}
	c.propose(unix, ends)
}

func (c *Controller) endAll(ends []workload.End, e *executor, how workload.Ending) []workload.End {
	for key, r := range e.runs {
		if r.end != nil || (r.firstSent == 0 && r.term == c.term && how == workload.EndLapsed) {
			continue
		}
		ends = append(ends, c.endOf(e, key, r, how, r.checkpoint))
	}
	return ends
}

func (c *Controller) endOf(e *executor, key workload.TaskKey, r *run, how workload.Ending, checkpoint string) workload.End {
	r.end = &workload.End{Task: key, Run: r.number, Executor: e.key, Ending: how, Checkpoint: checkpoint}
	c.log.Info("run ended", "job", key.Job, "occurrence", key.Occurrence, "step", key.Step, "task", key.Index, "run", r.number,
		"executor", e.key.ID, "ending", how.String(), "percent", r.percent, "stop_reason", r.stopWhy)
	return *r.end
}

func (c *Controller) propose(unix time.Duration, ends []workload.End) {
	if len(ends) > 0 {
		c.out.Commands = append(c.out.Commands, &workload.Command{At: unix, Ends: ends})
	}
}

// forget drops jobs whose state need not be readable any more, and what is
// kept of tasks that are over.
func (c *Controller) forget(now, unix time.Duration) {
	if now < c.nextForget {
		return
	}
	c.nextForget = now + forgetInterval
	var ids []string
	c.state.Jobs(func(j *workload.Job) {
		if j.Phase.Ended() && unix-j.EndedAt > c.cfg.Retention+c.cfg.Retention/4 {
			ids = append(ids, j.ID)
		}
	})
	if len(ids) > 0 {
		c.out.Commands = append(c.out.Commands, &workload.Command{At: unix, Forget: ids})
	}
	for key := range c.avoid {
		if j := c.state.Job(key.Job); j == nil || j.Phase.Ended() {
			delete(c.avoid, key)
		}
	}
	for key := range c.waiting {
		if j := c.state.Job(key.job); j == nil || j.Phase.Ended() {
			delete(c.waiting, key)
			delete(c.advices, key)
		}
	}
	for id, e := range c.executors {
		silent := now - e.heard
		if len(e.runs) == 0 && silent > 2*silentReports*c.cfg.ReportInterval+c.cfg.Lease {
			c.log.Info("executor forgotten", "executor", id, "silent_ms", silent.Milliseconds())
			c.bury(now, e, "silent")
		}
	}
}
