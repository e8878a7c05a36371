package fleet

import (
	"cmp"
	"slices"
	"time"

	"cranberrydrum.dev/scheduler/workload"
)

// stopPreempted is the reason of stops that make room.
const stopPreempted = "preempted"

const (
	// claimSlack is how much longer than a stop a claim lives: the stop has to be
	// ordered, and its end to be listed and stored.
	claimSlack = 1500 * time.Millisecond
	// urgentClaimSlack is the same for a guarantee, which has to be met in time
	// when the first attempt fails as well.
	urgentClaimSlack = 800 * time.Millisecond
)

// claim is room that is kept for a unit while what occupies it stops.
type claim struct {
	on    []*executor
	need  workload.Resources
	until time.Duration
	// spread is set if the executors lie on several racks.
	spread bool
	// awaited are runs that were expected to end by themselves before due.
	awaited []*run
	due     time.Duration
}

// press stops the runs that were expected to end by themselves and have not.
func (cl *claim) press(now time.Duration, cfg *Settings) {
	if cl == nil || len(cl.awaited) == 0 || now < cl.due {
		return
	}
	for _, r := range cl.awaited {
		if r.stopWhy == "" {
			r.halt(now, stopPreempted)
		}
	}
	cl.awaited = nil
	cl.until = now + cfg.StopTime + claimSlack
}

// victim is a run that may have to make room, or that is stopping already.
type victim struct {
	key  workload.TaskKey
	run  *run
	room workload.Resources
	// cost is the work that a stop throws away; 0 for what ends anyway.
	cost float64
	// stake is what its job loses if a stop makes it miss its objective, as work.
	stake float64
	gang  bool
	// ends is set if the run stops already, or ends about as soon as a stop would.
	ends bool
}

// dropClaims ends claims whose unit does not wait any more, whose time is up, or
// whose executors take no runs any more.
func (c *Controller) dropClaims(now time.Duration, r *room, units []*unit) {
	waits := map[unitKey]bool{}
	for _, u := range units {
		waits[u.key] = true
	}
	for key, cl := range c.claims {
		lost := slices.ContainsFunc(cl.on, func(e *executor) bool { _, listed := r.free[e]; return !listed })
		if !waits[key] || lost || now >= cl.until {
			delete(c.claims, key)
		}
	}
}

const (
	// reclaimOverhead is what reclaiming takes beside the stops: two entries of
	// the log, the orders and a list of ends, with a few round trips.
	reclaimOverhead = 1200 * time.Millisecond
	// secondReclaim is kept for a second attempt.
	secondReclaim = 800 * time.Millisecond
	// waitShare of the time that the objective leaves is waited for room that
	// becomes free by itself.
	waitShare = 0.2
	// worthwhileLoss is the work, in core-seconds, that an urgent job outside
	// the guarantees may cost others. Measured: one more job in time is worth
	// about as much as this work and its repetition.
	worthwhileLoss = 250
)

// mayReclaim reports whether others may have to stop for a unit now.
func (c *Controller) mayReclaim(now time.Duration, u *unit) bool {
	if u.job.Priority > 0 || u.class > 0 && !u.guaranteed {
		return false
	}
	wait := time.Duration(waitShare * float64(spareTime(u.job)))
	if u.guaranteed {
		wait = min(wait, c.cfg.Reclaim-c.cfg.StopTime-reclaimOverhead-secondReclaim)
	}
	return now-u.since >= wait
}

// spareTime is what the objective of a job leaves beside the work itself.
func spareTime(j *workload.Job) time.Duration {
	return objective(j) - chain(&j.Spec)
}

// reclaim makes room for an urgent unit. Tasks that found free room start at
// once unless they are a gang.
func (c *Controller) reclaim(now time.Duration, r *room, u *unit, places []place) []workload.Start {
	if c.claims[u.key] != nil {
		// What has to stop for this unit is stopping already.
		c.claims[u.key].press(now, &c.cfg)
		if u.step.Gang {
			r.restore(u, places)
			r.charge(c.claims[u.key])
			return nil
		}
		return c.start(u, places)
	}
	if u.step.Gang {
		r.restore(u, places)
		places = nil
	}
	rest := missing(u, places)
	found := c.clear(now, r, u, rest)
	if (len(found) < len(rest) && u.step.Gang) || (!u.guaranteed && loss(found) > worthwhileLoss*c.value(u.job)) {
		return c.start(u, places)
	}
	c.evict(now, r, u, found)
	return c.start(u, places)
}

// value is the worth of a job against that of an average one of its queue: part
// of it is equal for all, the rest grows with the work.
func (c *Controller) value(j *workload.Job) float64 {
	mean := c.meanWork[j.Queue]
	if mean.jobs == 0 {
		return 1
	}
	return min(baseWorth+(1-baseWorth)*work(&j.Spec)*mean.jobs/max(mean.work, 1), maxWorth)
}

const (
	// baseWorth is the part of a job's worth that does not depend on its work,
	// maxWorth the most that work adds up to; both from the rules of the score.
	baseWorth = 0.3
	maxWorth  = 4.0
)

// average sums up the work of the jobs of a queue.
type average struct{ jobs, work float64 }

// learn adds the jobs that were accepted since the last round to the averages.
func (c *Controller) learn(j *workload.Job) {
	if j.Sequence <= c.learnt {
		return
	}
	mean := c.meanWork[j.Queue]
	mean.jobs++
	mean.work += work(&j.Spec)
	c.meanWork[j.Queue] = mean
	c.newest = max(c.newest, j.Sequence)
}

// work is the estimated work of one occurrence of a job, in core-seconds.
func work(s *workload.Spec) float64 {
	sum := 0.0
	for i := range s.Steps {
		sum += cores(&s.Steps[i]) * float64(s.Steps[i].Count) * s.Steps[i].Estimate.Seconds()
	}
	return sum
}

func loss(places []place) float64 {
	sum := 0.0
	counted := newTally()
	for _, p := range places {
		for _, v := range p.victims {
			sum += counted.add(v)
		}
	}
	return sum
}

// tally adds up the costs of victims: a gang is lost once, whichever members
// stop, and a job misses its objective once.
type tally struct {
	gangs map[unitKey]bool
	jobs  map[string]bool
}

func newTally() *tally { return &tally{gangs: map[unitKey]bool{}, jobs: map[string]bool{}} }

// of returns what a victim costs beside those that were added.
func (t *tally) of(v *victim) float64 {
	cost := 0.0
	if !v.gang || !t.gangs[unitOf(v.key)] {
		cost += v.cost
	}
	if !t.jobs[v.key.Job] {
		cost += v.stake
	}
	return cost
}

// add takes a victim in and returns what it costs.
func (t *tally) add(v *victim) float64 {
	cost := t.of(v)
	t.gangs[unitOf(v.key)] = v.gang
	t.jobs[v.key.Job] = t.jobs[v.key.Job] || v.stake > 0
	return cost
}

func missing(u *unit, places []place) []int {
	var rest []int
	for _, n := range u.tasks {
		if !slices.ContainsFunc(places, func(p place) bool { return p.task == n }) {
			rest = append(rest, n)
		}
	}
	return rest
}

// evict stops the victims and keeps their room.
func (c *Controller) evict(now time.Duration, r *room, u *unit, found []place) {
	if len(found) == 0 {
		return
	}
	slack := claimSlack
	if u.guaranteed {
		slack = urgentClaimSlack
	}
	cl := &claim{need: u.step.Room(), until: now + c.cfg.StopTime + slack, due: now + c.cfg.StopTime + soonSlack}
	stopped := 0
	for _, p := range found {
		cl.spread = cl.spread || p.executor.rack != found[0].executor.rack
		cl.on = append(cl.on, p.executor)
		for _, v := range p.victims {
			switch {
			case v.run.stopWhy != "":
			case v.ends:
				cl.awaited = append(cl.awaited, v.run)
			default:
				v.run.halt(now, stopPreempted)
				stopped++
			}
		}
	}
	c.claims[u.key] = cl
	r.charge(cl)
	c.log.Info("room reclaimed", "job", u.key.job, "step", u.key.step, "tasks", len(found), "stopped_runs", stopped, "guaranteed", u.guaranteed)
}

// clear finds executors that have room for tasks once others have stopped. The
// tasks of a gang that belong on one rack get the rack that costs least.
func (c *Controller) clear(now time.Duration, r *room, u *unit, tasks []int) []place {
	victims := map[*executor][]*victim{}
	for _, e := range r.executors {
		victims[e] = c.victimsOn(now, u, e)
	}
	spread := c.clearOn(r, u, tasks, r.executors, victims)
	if !u.step.SameRack || !u.step.Gang || len(tasks) == 1 {
		return spread
	}
	best := c.clearRack(r, u, tasks, victims)
	dear := len(spread) == len(tasks) && loss(best) > loss(spread)+c.spreadLoss(u)
	if best == nil || dear {
		return spread
	}
	return best
}

// spreadLoss is what a gang costs, as work, when it runs on several racks: its
// tasks take longer, and the job is late.
func (c *Controller) spreadLoss(u *unit) float64 {
	longer := (c.cfg.SpreadFactor - 1) * u.step.Estimate.Seconds()
	return cores(u.step)*float64(len(u.tasks))*longer + (1-lateStake)*worthwhileLoss*c.value(u.job)
}

func (c *Controller) clearRack(r *room, u *unit, tasks []int, victims map[*executor][]*victim) []place {
	var best []place
	for _, name := range r.racksFor(u) {
		found := c.clearOn(r, u, tasks, r.racks[name], victims)
		if len(found) == len(tasks) && (best == nil || loss(found) < loss(best)) {
			best = found
		}
	}
	return best
}

func (c *Controller) clearOn(r *room, u *unit, tasks []int, executors []*executor, victims map[*executor][]*victim) []place {
	scratch := &clearing{room: r, taken: map[*executor]workload.Resources{}, used: map[*run]bool{}, counted: newTally()}
	counts := map[*executor]int{}
	far := cores(u.step) * (c.cfg.SpreadFactor - 1) * u.step.Estimate.Seconds()
	var found []place
	for _, n := range tasks {
		var best *place
		bestCost := 0.0
		for _, e := range executors {
			if !r.allows(u, e) || (u.step.PerExecutor > 0 && r.countOf(u)[e]+counts[e] >= u.step.PerExecutor) {
				continue
			}
			chosen, cost, ok := scratch.fit(e, u.step.Room(), victims[e])
			if !ok {
				continue
			}
			if u.step.DataRack != "" && e.rack != u.step.DataRack {
				cost += far
			}
			if best == nil || cost < bestCost {
				best, bestCost = &place{task: n, executor: e, victims: chosen}, cost
			}
		}
		if best == nil {
			if u.step.Gang {
				return found
			}
			continue
		}
		scratch.take(best, u.step.Room())
		counts[best.executor]++
		found = append(found, *best)
	}
	return found
}

// clearing keeps what a search for victims has used already.
type clearing struct {
	room *room
	// taken is the room of chosen tasks less that of chosen victims.
	taken map[*executor]workload.Resources
	used  map[*run]bool
	// counted holds the chosen victims.
	counted *tally
}

// fit returns the victims, the cheapest first, that have to stop for need.
func (s *clearing) fit(e *executor, need workload.Resources, victims []*victim) ([]*victim, float64, bool) {
	free := s.room.free[e].Sub(s.taken[e])
	var chosen []*victim
	cost := 0.0
	for _, v := range victims {
		if need.Fits(free) {
			break
		}
		if s.used[v.run] {
			continue
		}
		free = free.Add(v.room)
		cost += s.counted.of(v)
		chosen = append(chosen, v)
	}
	return chosen, cost, need.Fits(free)
}

func (s *clearing) take(p *place, need workload.Resources) {
	taken := s.taken[p.executor].Add(need)
	for _, v := range p.victims {
		s.used[v.run] = true
		s.counted.add(v)
		taken = taken.Sub(v.room)
	}
	s.taken[p.executor] = taken
}

// victimsOn lists the runs on an executor that may be stopped for a unit.
func (c *Controller) victimsOn(now time.Duration, u *unit, e *executor) []*victim {
	var list []*victim
	inside := c.inside
	for key, r := range e.runs {
		j := c.state.Job(key.Job)
		step := &j.Spec.Steps[key.Step]
		v := &victim{key: key, run: r, room: step.Room(), gang: step.Gang}
		v.ends = r.stopWhy != "" || r.end != nil || (!u.guaranteed && c.endsSoon(now, step, r))
		switch {
		case r.stopWhy != "" && now-r.stopSince > c.cfg.StopTime+urgentClaimSlack:
			// Nobody knows when this stop is carried out.
			continue
		case v.ends:
			list = append(list, v)
			continue
		case step.LongRunning, !mayYield(u, j, inside[j.ID]):
			continue
		}
		// What was stopped before is dearer, so that it is not stopped for ever.
		v.cost = lostWork(now, step, r) * (1 + repeatedStop*float64(r.number-1))
		v.stake = c.stake(now, j, key, r)
		list = append(list, v)
	}
	slices.SortFunc(list, func(a, b *victim) int { return cmp.Compare(a.cost+a.stake, b.cost+b.stake) })
	return list
}

const (
	// repeatedStop is the part by which each earlier run makes a stop dearer.
	repeatedStop = 0.5
	// soonSlack is how much longer than a stop a run may take to end by itself.
	soonSlack = 300 * time.Millisecond
	// lateStake is the part of its worth that a late job still has.
	lateStake = 0.25
)

// endsSoon reports whether waiting for the end of a run takes about as long as
// a stop. Only measured progress is trusted.
func (c *Controller) endsSoon(now time.Duration, step *workload.Step, r *run) bool {
	if step.LongRunning || r.percent < tellingPercent {
		return false
	}
	return remaining(now, step, r) < c.cfg.StopTime+soonSlack
}

// stake is what a job loses, as work, if the stop of a run makes it late or too
// late. Less urgent jobs are worth less.
func (c *Controller) stake(now time.Duration, j *workload.Job, key workload.TaskKey, r *run) float64 {
	step := &j.Spec.Steps[key.Step]
	rest := step.Estimate
	if step.Checkpoints {
		rest = remaining(now, step, r)
	}
	age := now + c.skew - max(j.Submitted, j.Spec.DueAt(key.Occurrence))
	whole := worthwhileLoss * c.value(j) / float64(1+j.Priority)
	limit := objective(j)
	switch again := age + restartLoss + rest; {
	case age > lateFactor*limit:
		return 0
	case age > limit && again <= lateFactor*limit, again <= limit:
		return 0
	case age > limit:
		return lateStake * whole
	case again > lateFactor*limit:
		return whole
	}
	return (1 - lateStake) * whole
}

// mayYield reports whether a job may have to stop for a unit: less urgent jobs
// for more urgent ones, and those outside the guarantees for those inside.
func mayYield(u *unit, j *workload.Job, inside bool) bool {
	if u.guaranteed {
		return !inside
	}
	return j.Priority > u.job.Priority
}

// gpuCores is how many cores an accelerator counts as.
const gpuCores = 8

// cores is what a task of a step occupies, in cores.
func cores(step *workload.Step) float64 {
	return float64(step.Need.CPU)/1000 + gpuCores*float64(step.Need.GPU)
}

// lostWork is the work, in core-seconds, that a stop throws away. That of a
// gang is lost with any of its members.
func lostWork(now time.Duration, step *workload.Step, r *run) float64 {
	span := now - r.firstSent
	if r.firstSent == 0 {
		span = now - r.movedAt
	}
	if step.Checkpoints {
		span = min(span, checkpointLoss)
	}
	width := 1.0
	if step.Gang {
		width = float64(step.Count)
	}
	return cores(step) * width * (span + restartLoss).Seconds()
}

const (
	// checkpointLoss bounds the work since the last checkpoint: stops save.
	checkpointLoss = 100 * time.Millisecond
	// restartLoss is what each stop costs beside the work: a place and a start.
	restartLoss = 500 * time.Millisecond
)
