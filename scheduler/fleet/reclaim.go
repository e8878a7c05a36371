package fleet

import (
	"slices"
	"time"

	"cranberrydrum.dev/scheduler/workload"
)

// claimSlack is how much longer than a stop a claim lives: the stop has to be
// ordered, and its end to be listed and stored.
const claimSlack = 1500 * time.Millisecond

// claim is room that is kept for a unit while what occupies it stops.
type claim struct {
	on    []*executor
	need  workload.Resources
	until time.Duration
}

// victim is a run that may have to make room, or that is stopping already.
type victim struct {
	key  workload.TaskKey
	run  *run
	room workload.Resources
	// cost is the work that a stop throws away; 0 for what is stopping.
	cost float64
}

// dropClaims ends claims whose unit does not wait any more or whose time is up.
func (c *Controller) dropClaims(now time.Duration, units []*unit) {
	waits := map[unitKey]bool{}
	for _, u := range units {
		waits[u.key] = true
	}
	for key, cl := range c.claims {
		if !waits[key] || now >= cl.until {
			delete(c.claims, key)
		}
	}
}

// reclaim makes room for an urgent unit. Tasks that found free room start at
// once unless they are a gang.
func (c *Controller) reclaim(now time.Duration, r *room, u *unit, places []place) []workload.Start {
	if c.claims[u.key] != nil {
		// What has to stop for this unit is stopping already.
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
	if len(found) < len(rest) && u.step.Gang {
		return nil
	}
	c.evict(now, r, u, found)
	return c.start(u, places)
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
	cl := &claim{need: u.step.Room(), until: now + c.cfg.StopTime + claimSlack}
	stopped := 0
	for _, p := range found {
		cl.on = append(cl.on, p.executor)
		for _, v := range p.victims {
			if v.run.stopWhy == "" {
				v.run.stopWhy = "preempted"
				stopped++
			}
		}
	}
	c.claims[u.key] = cl
	r.charge(cl)
	c.log.Info("room reclaimed", "job", u.key.job, "step", u.key.step, "tasks", len(found), "stopped_runs", stopped, "guaranteed", u.guaranteed)
}

// clear finds executors that have room for tasks once others have stopped.
func (c *Controller) clear(now time.Duration, r *room, u *unit, tasks []int) []place {
	scratch := &clearing{room: r, taken: map[*executor]workload.Resources{}, used: map[*run]bool{}}
	victims := map[*executor][]*victim{}
	var found []place
	counts := map[*executor]int{}
	for _, n := range tasks {
		var best *place
		bestCost := 0.0
		for _, e := range r.executors {
			if !r.allows(u, e) || (u.step.PerExecutor > 0 && r.countOf(u)[e]+counts[e] >= u.step.PerExecutor) {
				continue
			}
			if _, known := victims[e]; !known {
				victims[e] = c.victimsOn(now, u, e)
			}
			chosen, cost, ok := scratch.fit(e, u.step.Room(), victims[e])
			if !ok {
				continue
			}
			if u.step.DataRack != "" && e.rack != u.step.DataRack {
				cost += farCost
			}
			if best == nil || cost < bestCost {
				best, bestCost = &place{task: n, executor: e, victims: chosen}, cost
			}
		}
		if best == nil {
			continue
		}
		scratch.take(best, u.step.Room())
		counts[best.executor]++
		found = append(found, *best)
	}
	return found
}

// farCost is what a place away from the data costs, in core-seconds of work.
const farCost = 100

// clearing keeps what a search for victims has used already.
type clearing struct {
	room *room
	// taken is the room of chosen tasks less that of chosen victims.
	taken map[*executor]workload.Resources
	used  map[*run]bool
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
		cost += v.cost
		chosen = append(chosen, v)
	}
	return chosen, cost, need.Fits(free)
}

func (s *clearing) take(p *place, need workload.Resources) {
	taken := s.taken[p.executor].Add(need)
	for _, v := range p.victims {
		s.used[v.run] = true
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
		v := &victim{key: key, run: r, room: step.Room()}
		switch {
		case r.stopWhy != "" || r.end != nil:
			list = append(list, v)
			continue
		case step.LongRunning, j.Priority == 0 && (!u.guaranteed || inside[j.ID]):
			continue
		}
		v.cost = lostWork(now, j, step, r)
		list = append(list, v)
	}
	slices.SortFunc(list, func(a, b *victim) int {
		switch {
		case a.cost < b.cost:
			return -1
		case a.cost > b.cost:
			return 1
		}
		return 0
	})
	return list
}

// gpuCores is how many cores an accelerator counts as.
const gpuCores = 8

// lostWork is the work, in core-seconds, that a stop throws away. That of a
// gang is lost with any of its members.
func lostWork(now time.Duration, j *workload.Job, step *workload.Step, r *run) float64 {
	cores := float64(step.Need.CPU)/1000 + gpuCores*float64(step.Need.GPU)
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
	return cores * width * (span + restartLoss).Seconds()
}

const (
	// checkpointLoss bounds the work since the last checkpoint: stops save.
	checkpointLoss = 100 * time.Millisecond
	// restartLoss is what each stop costs beside the work: a place and a start.
	restartLoss = 500 * time.Millisecond
)
