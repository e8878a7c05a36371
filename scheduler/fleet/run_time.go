package fleet

import (
	"time"

	"cranberrydrum.dev/scheduler/workload"
)

const (
	// minTrustedPercent is the progress from which the remaining time is
	// extrapolated.
	minTrustedPercent = 10
	// fullPercent is the progress of a finished run.
	fullPercent = 100
)

// remainingTime estimates the time that a run still needs. Progress is as old as
// the list that contained it.
func (c *Controller) remainingTime(now time.Duration, j *workload.Job, step int, r *run) time.Duration {
	expected, _ := c.runTimes.predict(j, step)
	if r.percent < minTrustedPercent {
		return max(0, expected-r.elapsed(now))
	}
	left := time.Duration(fullPercent - r.percent)
	sinceList := now - r.lastListedAt
	switch gained := time.Duration(r.percent - r.firstPercent); {
	case r.firstSent > 0:
		return max(0, r.elapsed(r.lastListedAt)*left/time.Duration(r.percent)-sinceList)
	case gained > 0:
		return max(0, r.elapsed(r.lastListedAt)*left/gained-sinceList)
	}
	return max(0, expected*left/fullPercent-sinceList)
}

// elapsed returns how long a run has been known to run.
func (r *run) elapsed(now time.Duration) time.Duration {
	switch {
	case r.firstSent > 0:
		return now - r.firstSent
	case r.wasListed:
		return now - r.firstListedAt
	}
	return 0
}

// recordRunTime measures a run that is done. Runs that began from a checkpoint or
// away from their data, or in an earlier term, say nothing about the step.
func (c *Controller) recordRunTime(now time.Duration, e *executor, key workload.TaskKey, r *run) {
	j := c.state.Job(key.Job)
	if j == nil || r.firstSent == 0 {
		return
	}
	step := &j.Spec.Steps[key.Step]
	if step.LongRunning || step.Checkpoints && r.number > 1 || step.DataRack != "" && step.DataRack != e.rack {
		return
	}
	c.runTimes.record(j, key.Step, now-r.firstSent)
	if r.firstSent >= e.coldUntil {
		c.observeSpeed(e, jobStep{job: key.Job, step: key.Step}, now-r.firstSent)
	}
}
