package jobs

import (
	"time"

	"cranberrydrum.dev/scheduler/quarantine"
	"cranberrydrum.dev/scheduler/structs"
)

const (
	// unresolvedCheckInterval is the time between checks of the unresolved jobs,
	// which failed on some worker and have not yet had a healthy run.
	unresolvedCheckInterval = time.Second
	// healthyRunFactor and minHealthyRun define a healthy run of an unresolved
	// job: it has lasted at least minHealthyRun and healthyRunFactor times as
	// long as the longest failed run.
	healthyRunFactor = 2
	minHealthyRun    = 5 * time.Second
	// maxEvidenceAge is the time since the end of a job within which a new
	// leader still counts its failures.
	maxEvidenceAge = 10 * time.Minute
)

// restoreEvidence rebuilds the evidence about recent failures from the state, so
// that a leader change does not clear the record of a bad worker. It then
// restores the quarantines that earlier leaders set.
func (c *Controller) restoreEvidence() {
	c.quarantines.SetFleetSize(len(c.state.workers))
	for _, j := range c.state.terminal {
		if c.state.clock-j.finished <= maxEvidenceAge {
			c.restoreFailures(j)
			c.recordOutcome(c.state.clock, j)
		}
	}
	for _, j := range c.state.sortedJobs() {
		if !j.Status.Terminal() {
			c.restoreFailures(j)
		}
	}
	c.restoreQuarantines()
}

// restoreFailures records the failed runs of a job again. They are numbered to
// precede the current run, which may still fail. Their lengths are unknown and
// recorded as zero.
func (c *Controller) restoreFailures(j *job) {
	clock := c.state.clock
	last := j.Run
	if j.Status == structs.JobReserved || j.Status == structs.JobRunning {
		last--
	}
	first := last - min(last, uint64(len(j.failedOn)))
	for i, worker := range j.failedOn {
		c.quarantines.RecordFailure(clock, worker, j.ID, first+uint64(i)+1, clock)
	}
}

// recordOutcome records the end of a job as evidence about its workers.
func (c *Controller) recordOutcome(clock time.Duration, j *job) {
	if j.Status == structs.JobSucceeded {
		for _, m := range j.Members {
			c.quarantines.RecordSuccess(clock, m.Worker, j.ID, j.started)
		}
	}
	c.quarantines.RecordJobEnd(clock, j.ID, j.Status == structs.JobFailed)
}

// restoreQuarantines restores the quarantines that earlier leaders set.
func (c *Controller) restoreQuarantines() {
	for _, w := range c.state.sortedWorkers() {
		if w.Quarantined || w.strikes > 0 {
			c.quarantines.Restore(quarantine.Status{
				Worker: w.ID, Quarantined: w.Quarantined, ProbeAllowed: w.probeAllowed, Strikes: w.strikes, NextProbe: w.nextProbe,
			})
		}
	}
}

// recordFailure records a failed run as evidence against a worker. Quarantines
// use the domain clock, because they outlive the controller.
func (c *Controller) recordFailure(now time.Duration, j *job, worker string) {
	if j.Status == structs.JobReserved || j.Status == structs.JobRunning {
		c.quarantines.RecordFailure(c.Clock(now), worker, j.ID, j.Run, j.started)
	}
}

// checkUnresolvedJobs records a success for the workers on which an unresolved job
// now has a healthy run. Such a run is evidence against the worker on which the
// job failed.
func (c *Controller) checkUnresolvedJobs(clock time.Duration) {
	for _, id := range c.quarantines.UnresolvedJobs() {
		j := c.state.jobs[id]
		if j == nil || j.Status != structs.JobRunning {
			continue
		}
		needed := max(minHealthyRun, healthyRunFactor*c.quarantines.LongestFailedRun(id))
		if clock-j.started < needed {
			continue
		}
		for _, m := range j.Members {
			c.quarantines.RecordSuccess(clock, m.Worker, id, j.started)
		}
	}
}

// proposeQuarantine proposes the quarantine changes that the state does not have
// yet.
func (c *Controller) proposeQuarantine(now time.Duration, out []Command) []Command {
	clock := c.Clock(now)
	if clock-c.lastUnresolvedCheck >= unresolvedCheckInterval {
		c.lastUnresolvedCheck = clock
		c.checkUnresolvedJobs(clock)
		c.quarantines.Tick(clock)
	}
	for _, s := range c.quarantines.Statuses() {
		w := c.state.workers[s.Worker]
		if w == nil || (w.Quarantined == s.Quarantined && w.strikes == s.Strikes && w.nextProbe == s.NextProbe) {
			delete(c.statusProposals, s.Worker)
			continue
		}
		out = c.proposeStatus(now, s, out)
	}
	return out
}

// proposeStatus proposes the status of one worker, unless a proposal of it is
// pending.
func (c *Controller) proposeStatus(now time.Duration, s quarantine.Status, out []Command) []Command {
	proposal := c.statusProposals[s.Worker]
	if proposal == nil {
		proposal = &pendingProposal{}
		c.statusProposals[s.Worker] = proposal
	}
	if !proposal.tryBegin(now, c.cfg.Retry) {
		return out
	}
	body := &SetQuarantine{Worker: s.Worker, Quarantined: s.Quarantined, Probe: s.ProbeAllowed, Strikes: s.Strikes, Until: s.NextProbe}
	return append(out, c.command(now, body))
}
