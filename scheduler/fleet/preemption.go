package fleet

import (
	"slices"
	"time"

	"cranberrydrum.dev/scheduler/workload"
)

const (
	// preemptionMargin is added to the stop time to get the lifetime of a
	// preemption. In that time the stop is ordered, and its end listed and
	// stored.
	preemptionMargin = 1500 * time.Millisecond
	// guaranteedPreemptionMargin replaces preemptionMargin for a guarantee, so
	// that it is met even if the first attempt fails.
	guaranteedPreemptionMargin = 800 * time.Millisecond
)

// preemption keeps capacity for a task set while the runs that occupy it stop.
type preemption struct {
	step      *workload.Step
	targets   []*executor
	need      workload.Resources
	expiresAt time.Duration
	// isSpread is set if the executors are on several racks.
	isSpread bool
	// awaited are runs that are expected to end by themselves before
	// awaitUntil.
	awaited    []endingRun
	awaitUntil time.Duration
	// isCredited is set while its capacity counts as free, for its holder.
	isCredited bool
}

// endingRun is a run that is expected to end soon. Its executor may not be a target any more when
// it has to be stopped: a task of the holder may have been placed there.
type endingRun struct {
	run      *run
	executor *executor
}

// keepPreempted keeps the capacity of a preemption for the tasks of its holder that were not
// placed in this round. Otherwise less urgent task sets would take what has become free before
// all victims have stopped.
func (c *Controller) keepPreempted(rs *roundState, ts *taskSet, places []place) {
	pre := c.preemptions[ts.key]
	if pre == nil || !pre.isCredited {
		return
	}
	for _, p := range places {
		if n := slices.Index(pre.targets, p.executor); n >= 0 {
			pre.targets = slices.Delete(pre.targets, n, n+1)
		}
	}
	pre.targets = pre.targets[:min(len(pre.targets), len(ts.tasks)-len(places))]
	rs.deduct(pre)
}

// stopAwaited stops the awaited runs that have not ended by awaitUntil, and
// extends the preemption by the time that these stops take. It reports whether there were any.
func (pre *preemption) stopAwaited(now time.Duration, cfg *Settings) bool {
	if len(pre.awaited) == 0 || now < pre.awaitUntil {
		return false
	}
	for _, a := range pre.awaited {
		if a.run.stopCause == "" {
			a.run.requestStop(now, stopPreempted)
			a.executor.hasOrders = true
		}
	}
	pre.awaited = nil
	pre.expiresAt = now + cfg.StopTime + preemptionMargin
	return true
}

// expirePreemptions drops preemptions whose task set no longer waits or has another
// service, whose time is up, or whose executors accept no runs.
func (c *Controller) expirePreemptions(now time.Duration, rs *roundState, waiting map[stepKey]*taskSet) {
	for key, pre := range c.preemptions {
		if ts := waiting[key]; ts == nil || !ts.matchesAll(pre.targets) || rs.anyUnavailable(pre.targets) || now >= pre.expiresAt {
			delete(c.preemptions, key)
		}
	}
}

// preempt stops the victims and keeps their capacity for the task set.
func (c *Controller) preempt(now time.Duration, rs *roundState, ts *taskSet, places []place) {
	if len(places) == 0 {
		return
	}
	margin := preemptionMargin
	if ts.guaranteed {
		margin = guaranteedPreemptionMargin
	}
	pre := &preemption{step: ts.step, need: ts.step.Allocation(), expiresAt: now + c.cfg.StopTime + margin, awaitUntil: now + c.cfg.StopTime + endsSoonMargin}
	stopped, isLimited := 0, false
	for _, p := range places {
		pre.isSpread = pre.isSpread || p.executor.rack != places[0].executor.rack
		pre.targets = append(pre.targets, p.executor)
		for _, v := range p.victims {
			switch {
			case v.run.stopCause != "":
			case v.endsAnyway:
				pre.awaited = append(pre.awaited, endingRun{run: v.run, executor: p.executor})
			default:
				v.run.requestStop(now, stopPreempted)
				p.executor.hasOrders = true
				isLimited = isLimited || c.state.Job(v.key.Job).Spec.Steps[v.key.Step].MaxUnavailable > 0
				stopped++
			}
		}
	}
	c.preemptions[ts.key] = pre
	rs.forgetVictims(pre.targets, isLimited)
	rs.deduct(pre)
	c.log.Info("reclaiming capacity", "job", ts.key.job, "step", ts.key.step, "tasks", len(places), "stopped_runs", stopped, "guaranteed", ts.guaranteed)
}
