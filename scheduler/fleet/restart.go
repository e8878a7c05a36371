package fleet

import (
	"time"

	"cranberrydrum.dev/scheduler/workload"
)

// adoptRuns moves to an executor the runs of the earlier incarnations of its ID that it
// may have started or may still start: a start names the ID only. They are stopped there.
// The other runs ended with their incarnation.
func (c *Controller) adoptRuns(now time.Duration, e *executor) {
	for key, earlier := range c.lost {
		if key.ID != e.key.ID || key.Incarnation >= e.key.Incarnation {
			continue
		}
		earlier.leaseEnd = min(earlier.leaseEnd, now)
		for task, r := range earlier.runs {
			if r.end != nil || !r.mayReachSuccessor(c.term) {
				continue
			}
			delete(earlier.runs, task)
			adopted := &run{number: r.number, term: r.term, firstSent: r.firstSent, startCalls: r.startCalls, openStarts: r.openStarts,
				progressedAt: now, checkpoint: r.checkpoint, adoptedFrom: r.adoptedFrom}
			if adopted.adoptedFrom == (workload.ExecutorKey{}) {
				adopted.adoptedFrom = key
			}
			if r.term < c.term {
				adopted.settle(settledBefore, EvidenceUnlistedInNewTerm)
			}
			c.stopRun(now, e, task, adopted, "executor_restarted")
			e.runs[task] = adopted
			e.leaseEnd = max(e.leaseEnd, now+c.leaseSpan())
		}
	}
	c.reconcileRuns(now, e)
}

// mayReachSuccessor reports whether a start of the run may be carried out by the next
// incarnation. If it was sent once and the run was listed, the start was used up.
func (r *run) mayReachSuccessor(term uint64) bool {
	return r.term < term || r.startCalls > 1 || r.startCalls == 1 && !r.wasListed
}

// isAdopted reports whether the run that the log holds for an incarnation is awaited at a
// later one.
func (c *Controller) isAdopted(from workload.ExecutorKey, key workload.TaskKey, number int) bool {
	e := c.executors[from.ID]
	if e == nil {
		return false
	}
	r := e.runs[key]
	return r != nil && r.number == number && r.adoptedFrom == from
}

// isLogged reports whether the log still holds an adopted run.
func (c *Controller) isLogged(key workload.TaskKey, r *run) bool {
	_, t := c.state.TaskOf(key)
	return t != nil && t.Run != nil && t.Run.Number == r.number && t.Run.Executor == r.adoptedFrom
}

// stopUnknown stops a run that an executor lists but the log does not hold there.
func (c *Controller) stopUnknown(now time.Duration, e *executor, t RunningTask) {
	if r := e.runs[t.Task]; r != nil && r.number <= t.Run {
		return
	}
	c.log.Info("stopping run", "job", t.Task.Job, "step", t.Task.Step, "task", t.Task.Index, "run", t.Run, "executor", e.key.ID, "reason", "not_in_log")
	c.call(now, e, Call{Kind: CallStop, Task: t.Task, Run: t.Run, Timeout: orderTimeout})
}
