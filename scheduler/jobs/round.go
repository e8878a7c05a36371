package jobs

import (
	"maps"
	"slices"
	"time"

	"cranberrydrum.dev/scheduler/placement"
	"cranberrydrum.dev/scheduler/structs"
)

// Applied takes over what the state has applied since the last call. Its cost
// follows the changes. Tick and Renew call it as well.
func (c *Controller) Applied(now time.Duration) {
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

// resync takes over the whole state.
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
			c.learn(j)
			continue
		}
		c.jobChanged(now, j.ID)
	}
	c.dirty = true
}

// rulesChanged passes the configuration on.
func (c *Controller) rulesChanged() {
	if c.state.config.Version > 0 {
		c.planner.SetRules(c.state.config.Rules)
	}
	c.dirty = true
}

// workerChanged takes over the state of a worker.
func (c *Controller) workerChanged(now time.Duration, id string) {
	w := c.state.workers[id]
	if w == nil || w.lost {
		c.dropLease(id)
		c.planner.RemoveWorker(id)
	} else {
		if l := c.leases[id]; l == nil || l.epoch != w.epoch {
			c.grant(now, id, w.epoch)
		}
		view := w.Worker
		view.Quarantined = !w.admits()
		c.planner.SetWorker(view)
	}
	if w == nil {
		c.keeper.Remove(id)
	}
	c.keeper.SetFleet(len(c.leases))
}

// jobChanged takes over the state of a job.
func (c *Controller) jobChanged(now time.Duration, id string) {
	j := c.state.jobs[id]
	if j == nil || j.Status != structs.JobReserved {
		delete(c.gangs, id)
	}
	if j != nil {
		c.touch(j)
	}
	if j != nil && j.active() {
		delete(c.queued, id)
		c.planner.SetRunning(c.running(j))
		c.arm(j)
		return
	}
	if j != nil && j.Status == structs.JobQueued && !j.ineligible {
		c.queued[id] = struct{}{}
		c.planner.SetQueued(c.queuedView(j))
		return
	}
	c.dropJob(id)
	if j != nil && j.Status.Terminal() {
		c.jobOutcome(c.Clock(now), j)
		c.learn(j)
	}
}

// dropJob forgets a job that is neither to be planned nor active.
func (c *Controller) dropJob(id string) {
	delete(c.gangs, id)
	delete(c.queued, id)
	delete(c.waiting, id)
	c.planner.Remove(id)
}

// queuedView returns what the planner needs about a queued job.
func (c *Controller) queuedView(j *job) placement.Queued {
	return placement.Queued{
		ID: j.ID, Spec: j.Spec, Since: j.submitted,
		Estimate: c.estimates.Estimate(j.Spec), Avoid: slices.Clone(j.avoid), Interrupted: j.interrupted,
	}
}

// running returns what the planner needs about an active job.
func (c *Controller) running(j *job) placement.Running {
	r := placement.Running{
		ID: j.ID, Spec: j.Spec, Members: cloneMembers(j.Members), Order: j.order,
		Started: j.started, Checkpointed: j.checkpointed,
		Estimate: c.estimates.Estimate(j.Spec), Stopping: j.Status == structs.JobStopping,
	}
	if j.Status == structs.JobReserved {
		r.Started = 0
	}
	if j.Status == structs.JobStopping && !j.halt {
		r.StopBy = j.deadline
	}
	return r
}

// learn takes the run time of a job that succeeded in one piece.
func (c *Controller) learn(j *job) {
	if j.Status != structs.JobSucceeded || j.resumed {
		return
	}
	if c.estimates.Observe(j.Spec, j.finished-j.started) {
		c.refreshEstimates(j.Spec.Customer)
	}
}

// refreshEstimates passes changed estimates on to the planner.
func (c *Controller) refreshEstimates(customer string) {
	for _, id := range slices.Sorted(maps.Keys(c.queued)) {
		if j := c.state.jobs[id]; j != nil && j.Spec.Customer == customer {
			c.planner.SetQueued(c.queuedView(j))
		}
	}
}

// round runs the planner if something changed, or jobs wait for long, and the
// last plan is decided.
func (c *Controller) round(now time.Duration, out []Command) []Command {
	elapsed := now - c.lastRound
	idle := len(c.queued) > 0 && elapsed >= c.cfg.IdleRound
	if c.state.config.Version == 0 || elapsed < c.cfg.RoundInterval || (!c.dirty && !idle) {
		return out
	}
	if c.inFlight.made && c.state.round != c.rounds && now-c.inFlight.at < c.cfg.Retry {
		return out
	}
	c.inFlight = attempt{}
	c.lastRound = now
	c.dirty = false
	plan := c.planner.Round(c.Clock(now))
	c.noteWaiting(plan.Waiting)
	body := c.logged(plan)
	if len(body.Starts) == 0 && len(body.Preempts) == 0 {
		return out
	}
	c.rounds = c.state.round + 1
	body.Round = c.rounds
	c.inFlight.due(now, c.cfg.Retry)
	return append(out, c.command(now, body))
}

// noteWaiting keeps the reasons of the last round.
func (c *Controller) noteWaiting(waiting []placement.Waiting) {
	clear(c.waiting)
	for _, w := range waiting {
		c.waiting[w.Job] = w.Reason
	}
}

// maxPlanMembers bounds the members in one command, so that it fits a frame of
// 1 MiB at about 35 bytes a member. The rest is planned again.
const maxPlanMembers = 8192

// logged turns a plan into the command that carries it.
func (c *Controller) logged(plan placement.Plan) *ApplyPlan {
	body := &ApplyPlan{}
	for _, p := range plan.Preempts {
		if j := c.state.jobs[p.Job]; j != nil {
			body.Preempts = append(body.Preempts, PlannedPreempt{
				Job: p.Job, For: p.For, Run: j.Run, Checkpoint: p.Checkpoint, Grace: p.Grace,
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
