package fleet

import (
	"time"

	"cranberrydrum.dev/scheduler/workload"
)

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
	return float64(len(u.tasks))*c.farWork(u.step) + (1-lateStake)*worthwhileLoss*c.value(u.job)
}

// farWork is the work, in core-seconds, that a task takes more away from the rack
// on which it is faster.
func (c *Controller) farWork(step *workload.Step) float64 {
	return cores(step) * (c.cfg.SpreadFactor - 1) * step.Estimate.Seconds()
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
	far := c.farWork(u.step)
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
