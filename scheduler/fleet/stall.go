package fleet

import (
	"time"

	"cranberrydrum.dev/scheduler/workload"
)

const (
	// stallTimeout is the time without progress after which a run is stalled:
	// two lists of its executor and their overhead.
	stallTimeout = 2500 * time.Millisecond
	// stallShare is the share of the estimated time that is allowed instead if
	// it is longer, because one percent of a long task takes long away from its
	// data.
	stallShare = 0.2
	// maxQuarantinedShare is the largest share of a pool that is in quarantine.
	maxQuarantinedShare = 0.25
)

// isStalled reports whether a run has made no progress for too long, according
// to a list received after that time.
func (r *run) isStalled(step *workload.Step) bool {
	limit := max(stallTimeout, time.Duration(stallShare*float64(step.Estimate)))
	// A gang member that has finished its part waits for the others.
	return r.wasListed && r.percent < fullPercent && r.lastListedAt-r.progressedAt > limit
}

// stopStalledRuns stops stalled runs. Only a list can show that a run is stalled, so that it
// checks the executors that have sent one. It quarantines their executor unless
// another run there is not stalled.
func (c *Controller) stopStalledRuns(now time.Duration) {
	rooms := c.quarantineRooms(now)
	for _, e := range c.orderedExecutors() {
		if !e.uncheckedList {
			continue
		}
		e.uncheckedList = false
		stalled := c.stalledRuns(e)
		if len(stalled) == 0 {
			continue
		}
		for _, r := range stalled {
			r.requestStop(now, "no_progress")
			e.hasOrders = true
		}
		if room := rooms[e.service]; len(stalled) == len(e.runs) && room != nil && room.take() {
			e.health.quarantine(now)
			c.log.Info("executor quarantined", "executor", e.key.ID, "for_ms", (e.health.suspendedUntil - now).Milliseconds(), "reason", "no progress", "runs", len(stalled))
		}
	}
}

// stalledRuns returns the stalled runs on an executor.
func (c *Controller) stalledRuns(e *executor) []*run {
	var list []*run
	for key, r := range e.runs {
		j := c.state.Job(key.Job)
		step := &j.Spec.Steps[key.Step]
		if r.stopCause != "" || r.end != nil || step.LongRunning || step.BestEffort {
			continue
		}
		if step.Gang && !c.isGangRunning(j, key, r) {
			continue
		}
		if r.isStalled(step) {
			list = append(list, r)
		}
	}
	return list
}

// isGangRunning reports whether every member of a gang has been listed for long
// enough that the gang should make progress.
func (c *Controller) isGangRunning(j *workload.Job, key workload.TaskKey, r *run) bool {
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
		if other == nil || other.number != r.number || !other.wasListed || r.lastListedAt-other.firstListedAt < stallTimeout {
			return false
		}
	}
	return true
}
