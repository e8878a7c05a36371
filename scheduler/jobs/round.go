package jobs

import (
	"maps"
	"slices"
	"time"

	"cranberrydrum.dev/scheduler/placement"
	"cranberrydrum.dev/scheduler/structs"
)

// Sync updates the controller and the planner with the changes that the state
// has applied since the last call. Its cost depends on the number of changes.
// Tick and Renew call it as well.
func (c *Controller) Sync(now time.Duration) {
	if c.state.changes.empty() {
		return
	}
	changed := c.state.changes.take()
	if changed.all || changed.config {
		c.rulesChanged()
	}
	if changed.all {
		c.resync(now)
		return
	}
	for _, ch := range changed.list {
		if ch.worker != "" {
			c.workerChanged(now, ch.worker)
		}
	}
	for _, ch := range changed.list {
		if ch.job != "" {
			c.jobChanged(now, ch.job)
		}
	}
	c.dirty = true
}

// resync updates the controller and the planner from the whole state.
func (c *Controller) resync(now time.Duration) {
	for _, id := range slices.Sorted(maps.Keys(c.leases)) {
		if c.state.workers[id] == nil {
			c.workerChanged(now, id)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(c.queued)) {
		if c.state.jobs[id] == nil {
			c.jobChanged(now, id)
		}
	}
	c.estimates = placement.NewEstimator()
	for _, w := range c.state.sortedWorkers() {
		c.workerChanged(now, w.ID)
	}
	for _, j := range c.state.sortedJobs() {
		if j.Status.Terminal() {
			c.dropJob(j.ID)
			c.observeRuntime(j)
			continue
		}
		c.jobChanged(now, j.ID)
	}
	c.dirty = true
}

// rulesChanged passes the rules of the configuration to the planner.
func (c *Controller) rulesChanged() {
	if c.state.config.Version > 0 {
		c.planner.SetRules(c.state.config.Rules)
	}
	c.dirty = true
}

// workerChanged updates lease, planner and quarantine data after a change of a
// worker.
func (c *Controller) workerChanged(now time.Duration, id string) {
	w := c.state.workers[id]
	if w == nil || w.lost {
		c.dropLease(id)
		c.planner.RemoveWorker(id)
	} else {
		if l := c.leases[id]; l == nil || l.epoch != w.epoch {
			c.grantLease(now, id, w.epoch)
		}
		view := w.Worker
		// To the planner, Quarantined stands for every reason why a worker gets no new
		// work.
		view.Quarantined = !w.acceptsWork()
		c.planner.SetWorker(view)
	}
	if w == nil {
		c.quarantines.Remove(id)
	}
	c.quarantines.SetFleetSize(len(c.leases))
}

// jobChanged updates planner, timers and quarantine data after a change of a job.
func (c *Controller) jobChanged(now time.Duration, id string) {
	j := c.state.jobs[id]
	if j == nil || j.Status != structs.JobReserved {
		delete(c.preparations, id)
	}
	if j != nil {
		c.markOrdersChanged(j)
	}
	if j != nil && j.active() {
		delete(c.queued, id)
		c.planner.SetRunning(c.runningView(j))
		c.armTimer(j)
		return
	}
	if j != nil && j.Status == structs.JobQueued && !j.ineligible {
		c.queued[id] = struct{}{}
		c.planner.SetQueued(c.queuedView(j))
		return
	}
	c.dropJob(id)
	if j != nil && j.Status.Terminal() {
		c.recordOutcome(c.Clock(now), j)
		c.observeRuntime(j)
	}
}

// dropJob removes a job that is neither active nor eligible for planning.
func (c *Controller) dropJob(id string) {
	delete(c.preparations, id)
	delete(c.queued, id)
	delete(c.waitReasons, id)
	c.planner.Remove(id)
}

// queuedView returns the planner's view of a queued job.
func (c *Controller) queuedView(j *job) placement.Queued {
	return placement.Queued{
		ID: j.ID, Spec: j.Spec, QueuedAt: j.submitted,
		Estimate: c.estimates.Estimate(j.Spec), Avoid: slices.Clone(j.avoid), Interrupted: j.interrupted,
	}
}

// runningView returns the planner's view of an active job.
func (c *Controller) runningView(j *job) placement.Running {
	r := placement.Running{
		ID: j.ID, Spec: j.Spec, Members: cloneMembers(j.Members), ReservedIndex: j.reservedIndex,
		Started: j.started, Checkpointed: j.checkpointed,
		Estimate: c.estimates.Estimate(j.Spec), Stopping: j.Status == structs.JobStopping,
	}
	if j.Status == structs.JobReserved {
		r.Started = 0
	}
	if j.Status == structs.JobStopping && !j.stopNow {
		r.StopBy = j.deadline
	}
	return r
}

// observeRuntime adds the run time of a succeeded job to the estimates. Resumed
// jobs are left out, because their last run is only a part of the work.
func (c *Controller) observeRuntime(j *job) {
	if j.Status != structs.JobSucceeded || j.resumed {
		return
	}
	if c.estimates.Observe(j.Spec, j.finished-j.started) {
		c.refreshEstimates(j.Spec.Customer)
	}
}

// refreshEstimates passes a customer's changed estimates to the planner.
func (c *Controller) refreshEstimates(customer string) {
	for _, id := range slices.Sorted(maps.Keys(c.queued)) {
		if j := c.state.jobs[id]; j != nil && j.Spec.Customer == customer {
			c.planner.SetQueued(c.queuedView(j))
		}
	}
}

// round runs the planner if its input changed or jobs have been queued for
// IdleRound since the last round. It waits until the last plan is applied or
// its proposal is older than Retry. No round takes place while the failure domain is
// evacuated, so that jobs with a guarantee preempt nothing there either.
func (c *Controller) round(now time.Duration, out []Command) []Command {
	elapsed := now - c.lastRound
	idle := len(c.queued) > 0 && elapsed >= c.cfg.IdleRound
	if c.state.use.Evacuated || c.state.config.Version == 0 || elapsed < c.cfg.RoundInterval || (!c.dirty && !idle) {
		return out
	}
	if c.planProposal.pending && c.state.round != c.lastPlanRound && now-c.planProposal.proposedAt < c.cfg.Retry {
		return out
	}
	c.planProposal = pendingProposal{}
	c.lastRound = now
	c.dirty = false
	plan := c.planner.Round(c.Clock(now))
	c.recordWaitReasons(plan.Waiting)
	body := c.planCommand(plan)
	if len(body.Starts) == 0 && len(body.Preempts) == 0 {
		return out
	}
	c.lastPlanRound = c.state.round + 1
	body.Round = c.lastPlanRound
	c.planProposal.tryBegin(now, c.cfg.Retry)
	return append(out, c.command(now, body))
}

// recordWaitReasons stores why the last round did not place jobs.
func (c *Controller) recordWaitReasons(waiting []placement.Waiting) {
	clear(c.waitReasons)
	for _, w := range waiting {
		c.waitReasons[w.Job] = w.Reason
	}
}

// maxPlanMembers bounds the gang members in one command, so that the command fits
// a frame of 1 MiB at about 35 bytes per member. The rest is planned again.
const maxPlanMembers = 8192

// planCommand converts a plan into its log command.
func (c *Controller) planCommand(plan placement.Plan) *ApplyPlan {
	body := &ApplyPlan{}
	for _, p := range plan.Preempts {
		if j := c.state.jobs[p.Job]; j != nil {
			body.Preempts = append(body.Preempts, PlannedPreempt{
				Job: p.Job, For: p.Requester, Run: j.Run, Checkpoint: p.Checkpoint, Grace: p.Grace,
			})
		}
	}
	members := 0
	for _, st := range plan.Starts {
		members += len(st.Members)
		if members > maxPlanMembers && len(body.Starts) > 0 {
			c.dirty = true
			break
		}
		if j := c.state.jobs[st.Job]; j != nil {
			body.Starts = append(body.Starts, PlannedStart{Job: st.Job, Run: j.Run, Members: st.Members})
		}
	}
	return body
}
