package fleet

import (
	"slices"
	"time"

	"cranberrydrum.dev/scheduler/workload"
)

// reconcile updates the runs of the executors to match the log. It visits the executors of
// which the log has changed the runs, and those that wait for a change of a job.
func (c *Controller) reconcile(now time.Duration) {
	changed := map[workload.ExecutorKey]bool{}
	jobs := map[string]bool{}
	steps := map[stepKey]bool{}
	known := c.state.EachChangeSince(c.changePosition, func(change workload.Change) {
		if change.Job == "" {
			changed[change.Executor] = true
			return
		}
		jobs[change.Job] = true
		if change.Occurrence != workload.NoOccurrence {
			steps[stepKey{job: change.Job, occurrence: change.Occurrence, step: change.Step}] = true
		}
	})
	if !known {
		c.reconcileAll(now)
		return
	}
	c.beginReconcile(now)
	for key := range changed {
		if e := c.executors[key.ID]; e != nil {
			c.reconcileExecutor(now, e)
		}
	}
	for _, e := range c.executors {
		if e.dependsOnJobs() && !changed[e.key] {
			c.reconcileRuns(now, e)
		}
	}
	c.forgetAllLost(now)
	for key := range changed {
		c.addLost(now, key)
	}
	var active []*workload.Job
	for id := range jobs {
		j := c.state.Job(id)
		if j == nil {
			continue
		}
		c.countWork(j)
		if j.Phase.Ended() {
			j.EachRun(func(r *workload.Run) { c.markOrders(r.Executor) })
		} else {
			active = append(active, j)
		}
	}
	c.backlog.add(now, active)
	for key := range steps {
		c.recheckGang(key)
	}
	c.lastCounted = c.lastSeen
	if auditReconcile != nil {
		auditReconcile(c, now)
	}
}

// reconcileAll updates the runs of all executors to match the log.
func (c *Controller) reconcileAll(now time.Duration) {
	for _, e := range c.lost {
		e.hasOrders = true
	}
	c.beginReconcile(now)
	for _, e := range c.executors {
		e.hasOrders = true
		c.reconcileExecutor(now, e)
	}
	c.forgetAllLost(now)
	c.state.Jobs(c.countWork)
	c.lastCounted = c.lastSeen
	c.backlog.rebuild(now, c.state)
	c.state.EachExecutorWithRuns(func(key workload.ExecutorKey) { c.addLost(now, key) })
}

// beginReconcile updates the starts that are not applied, and the runs of earlier incarnations,
// whose ends let later ones acknowledge theirs.
func (c *Controller) beginReconcile(now time.Duration) {
	c.appliedChanges, c.changePosition = c.state.Changes(), c.state.ChangePosition()
	c.dirty = true
	for key, start := range c.pendingStarts {
		// The start was applied or dropped if its run number is used or the job
		// has ended.
		if j, t := c.state.TaskOf(key); t == nil || j.Phase.Ended() || t.LastRun >= start.Run {
			delete(c.pendingStarts, key)
		}
	}
	for _, e := range c.lost {
		c.reconcileRuns(now, e)
	}
}

// reconcileExecutor updates the runs of an executor, or takes it out of use if it has left.
func (c *Controller) reconcileExecutor(now time.Duration, e *executor) {
	switch {
	case c.hasLeftItself(e.key):
		c.depart(now, e, "log")
	case c.state.HasLeft(e.key):
		c.supersede(now, e, "other_left")
	}
	c.reconcileRuns(now, e)
}

func (c *Controller) forgetAllLost(now time.Duration) {
	for _, e := range c.lost {
		c.forgetLost(now, e)
	}
}

// addLost adds an incarnation that is not known but has runs in the log.
func (c *Controller) addLost(now time.Duration, key workload.ExecutorKey) {
	if e := c.executors[key.ID]; e != nil && e.key == key || c.lost[key] != nil || len(c.state.RunsOn(key)) == 0 {
		return
	}
	e := c.newExecutor(key)
	c.lost[key] = e
	c.reconcileRuns(now, e)
}

// dependsOnJobs reports whether a change of a job can change what is known of the executor
// although its runs stay the same.
func (e *executor) dependsOnJobs() bool {
	return len(e.strays) > 0 || len(e.lateFailures) > 0 || e.lastSeenEnd > e.cursor
}

// recheckGang has the orders for the runs of a gang checked if it is incomplete, so that they may
// have to stop.
func (c *Controller) recheckGang(key stepKey) {
	j := c.state.Job(key.job)
	if j == nil || !j.Spec.Steps[key.step].Gang {
		return
	}
	step := &j.Occurrences[key.occurrence].Steps[key.step]
	if step.LastIncompleteRun == 0 {
		return
	}
	for n := range step.Tasks {
		if r := step.Tasks[n].Run; r != nil {
			c.markOrders(r.Executor)
		}
	}
}

func (c *Controller) markOrders(key workload.ExecutorKey) {
	if e := c.executors[key.ID]; e != nil && e.key == key {
		e.hasOrders = true
	} else if e := c.lost[key]; e != nil {
		e.hasOrders = true
	}
}

// settledBefore is the settledAt of a run of an earlier term. It precedes every call
// of this term.
const settledBefore = time.Nanosecond

func (c *Controller) reconcileRuns(now time.Duration, e *executor) {
	logged := c.state.RunsOn(e.key)
	for key, r := range e.runs {
		if entry := logged[key]; entry == nil || entry.Number != r.number {
			delete(e.runs, key)
		}
	}
	for key, entry := range logged {
		if e.runs[key] == nil {
			r := &run{number: entry.Number, term: entry.Term, progressedAt: now}
			if entry.Term < c.term {
				// Each hold of this term fences off every earlier start, so the first
				// list proves whether the run began.
				r.settle(settledBefore, EvidenceUnlistedInNewTerm)
			}
			e.runs[key] = r
			e.hasOrders = true
		}
	}
	c.updateUsage(e)
	e.lateFailures = slices.DeleteFunc(e.lateFailures, func(o workload.End) bool { return c.state.FailureCounted(o.Task, o.Run) })
	if e.lastSeenEnd > e.cursor && !c.endsPending(e) {
		e.cursor = e.lastSeenEnd
	}
}

// endsPending reports whether an end that an executor listed is proposed but not yet
// applied. It may be that of a run meant for an earlier incarnation.
func (c *Controller) endsPending(e *executor) bool {
	if len(e.lateFailures) > 0 || e.hasProposedEnd() {
		return true
	}
	return slices.ContainsFunc(c.predecessors(e), (*executor).hasProposedEnd)
}

func (e *executor) hasProposedEnd() bool {
	for _, r := range e.runs {
		if r.end != nil {
			return true
		}
	}
	return false
}
