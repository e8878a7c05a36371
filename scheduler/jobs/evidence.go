package jobs

import (
	"time"

	"cranberrydrum.dev/scheduler/quarantine"
	"cranberrydrum.dev/scheduler/structs"
)

const (
	// evidenceInterval is the time between looks at how suspected jobs do.
	evidenceInterval = time.Second
	// wellFactor and wellMinimum say when a run counts as doing well: it has
	// lasted this much longer than where the job failed.
	wellFactor  = 2
	wellMinimum = 5 * time.Second
	// evidenceAge bounds how old an ended job may be whose failures a new
	// leader counts.
	evidenceAge = 10 * time.Minute
)

// restoreEvidence collects what the state tells about recent failures, so that
// a bad worker cannot start over with each leader, and then resumes the
// quarantines that an earlier leader decided.
func (c *Controller) restoreEvidence() {
	c.keeper.SetFleet(len(c.state.workers))
	for _, j := range c.state.terminal {
		if c.state.clock-j.finished <= evidenceAge {
			c.restoreFailures(j)
			c.jobOutcome(c.state.clock, j)
		}
	}
	for _, j := range c.state.sortedJobs() {
		if !j.Status.Terminal() {
			c.restoreFailures(j)
		}
	}
	c.restoreStandings()
}

// restoreFailures repeats the failed runs of a job. They precede a run that may
// still fail, and their lengths are unknown.
func (c *Controller) restoreFailures(j *job) {
	clock := c.state.clock
	last := j.Run
	if j.Status == structs.JobReserved || j.Status == structs.JobRunning {
		last--
	}
	first := last - min(last, uint64(len(j.failedOn)))
	for i, worker := range j.failedOn {
		c.keeper.Failed(clock, worker, j.ID, first+uint64(i)+1, clock)
	}
}

// jobOutcome passes the end of a job on as evidence.
func (c *Controller) jobOutcome(clock time.Duration, j *job) {
	if j.Status == structs.JobSucceeded {
		for _, m := range j.Members {
			c.keeper.Succeeded(clock, m.Worker, j.ID, j.started)
		}
	}
	c.keeper.Ended(clock, j.ID, j.Status == structs.JobFailed)
}

// restoreStandings resumes the quarantines that an earlier leader decided.
func (c *Controller) restoreStandings() {
	for _, w := range c.state.sortedWorkers() {
		if w.Quarantined || w.strikes > 0 {
			c.keeper.Restore(quarantine.Standing{
				Worker: w.ID, Quarantined: w.Quarantined, Probe: w.probe, Strikes: w.strikes, Until: w.until,
			})
		}
	}
}

// noteFailure passes a failed run on as evidence. The keeper works on the
// domain clock, because its standings outlive the controller.
func (c *Controller) noteFailure(now time.Duration, j *job, worker string) {
	if j.Status == structs.JobReserved || j.Status == structs.JobRunning {
		c.keeper.Failed(c.Clock(now), worker, j.ID, j.Run, j.started)
	}
}

// lookAtSuspects tells the keeper which failed jobs run well elsewhere.
func (c *Controller) lookAtSuspects(clock time.Duration) {
	for _, id := range c.keeper.Suspects() {
		j := c.state.jobs[id]
		if j == nil || j.Status != structs.JobRunning {
			continue
		}
		needed := max(wellMinimum, wellFactor*c.keeper.Lasted(id))
		if clock-j.started < needed {
			continue
		}
		for _, m := range j.Members {
			c.keeper.Succeeded(clock, m.Worker, id, j.started)
		}
	}
}

// proposeQuarantine brings the state in line with the keeper.
func (c *Controller) proposeQuarantine(now time.Duration, out []Command) []Command {
	clock := c.Clock(now)
	if clock-c.lastEvidence >= evidenceInterval {
		c.lastEvidence = clock
		c.lookAtSuspects(clock)
		c.keeper.Tick(clock)
	}
	for _, s := range c.keeper.Standings() {
		w := c.state.workers[s.Worker]
		if w == nil || (w.Quarantined == s.Quarantined && w.strikes == s.Strikes && w.until == s.Until) {
			delete(c.standingAt, s.Worker)
			continue
		}
		out = c.proposeStanding(now, s, out)
	}
	return out
}

// proposeStanding proposes one standing, unless that is under way.
func (c *Controller) proposeStanding(now time.Duration, s quarantine.Standing, out []Command) []Command {
	at := c.standingAt[s.Worker]
	if at == nil {
		at = &attempt{}
		c.standingAt[s.Worker] = at
	}
	if !at.due(now, c.cfg.Retry) {
		return out
	}
	body := &SetQuarantine{Worker: s.Worker, Quarantined: s.Quarantined, Probe: s.Probe, Strikes: s.Strikes, Until: s.Until}
	return append(out, c.command(now, body))
}
