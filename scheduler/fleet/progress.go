package fleet

import (
	"time"

	"cranberrydrum.dev/scheduler/workload"
)

const (
	// stillTime is how long the progress of a run may stand still: two lists of
	// its executor and what they take.
	stillTime = 2500 * time.Millisecond
	// stillShare of the estimated time is allowed as well, since one percent of
	// a long task away from its data takes long.
	stillShare = 0.2
	// maxSuspects bounds the share of the executors that are set aside at once
	// because runs on them stand still.
	maxSuspects = 0.25
	fullPercent = 100
)

// still reports whether a run has shown no progress for too long, by a list
// that is newer than the wait.
func (r *run) still(step *workload.Step) bool {
	limit := max(stillTime, time.Duration(stillShare*float64(step.Estimate)))
	// A gang member that is done with its part waits for the others.
	return r.seen && r.percent < fullPercent && r.listedAt-r.movedAt > limit
}

// watch stops runs that stand still and sets their executors aside, unless
// another run shows that the executor works.
func (c *Controller) watch(now time.Duration) {
	aside := 0
	for _, e := range c.executors {
		if now < e.health.until {
			aside++
		}
	}
	for _, e := range c.executors {
		standing := c.standing(e)
		if len(standing) == 0 {
			continue
		}
		for _, r := range standing {
			r.halt(now, "no_progress")
		}
		if len(standing) == len(e.runs) && float64(aside) < maxSuspects*float64(len(c.executors)) {
			aside++
			e.health.quarantine(now)
			c.log.Info("executor quarantined", "executor", e.key.ID, "for_ms", (e.health.until - now).Milliseconds(), "reason", "no progress", "runs", len(standing))
		}
	}
}

// standing returns the runs on an executor that stand still.
func (c *Controller) standing(e *executor) []*run {
	var list []*run
	for key, r := range e.runs {
		j := c.state.Job(key.Job)
		step := &j.Spec.Steps[key.Step]
		if r.stopWhy != "" || r.end != nil || step.LongRunning || step.Fills {
			continue
		}
		if step.Gang && !c.whole(j, key, r) {
			continue
		}
		if r.still(step) {
			list = append(list, r)
		}
	}
	return list
}

// whole reports whether every member of a gang has been listed as running for
// long enough that the gang should be at work.
func (c *Controller) whole(j *workload.Job, key workload.TaskKey, r *run) bool {
	tasks := j.Occurrences[key.Occurrence].Steps[key.Step].Tasks
	for n := range tasks {
		member := key
		member.Index = n
		if tasks[n].Run == nil {
			return false
		}
		e := c.executors[tasks[n].Run.Executor.ID]
		if e == nil || e.key != tasks[n].Run.Executor {
			return false
		}
		other := e.runs[member]
		if other == nil || other.number != r.number || !other.seen || r.listedAt-other.seenAt < stillTime {
			return false
		}
	}
	return true
}
