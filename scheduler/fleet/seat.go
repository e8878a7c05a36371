package fleet

import (
	"maps"
	"slices"
	"time"

	"cranberrydrum.dev/scheduler/workload"
)

// seat finds executors with free room for the tasks of a unit and occupies it.
// It reports whether all tasks found a place. Tasks go to other racks only
// when their patience has ended.
func (c *Controller) seat(now time.Duration, r *room, u *unit) ([]place, bool) {
	pressing := r.pressing(now, u)
	if pressing {
		r.pressed = u
	}
	// Room on several racks was made on purpose.
	cleared := c.claims[u.key] != nil && c.claims[u.key].spread
	far := pressing || cleared || c.mayGoFar(now, u)
	avoided := c.avoided(r, u)
	if u.step.SameRack && u.step.Gang && len(u.tasks) > 1 {
		for _, rack := range r.racksFor(u) {
			places, ok := r.seatOn(u, r.racks[rack], avoided)
			if ok {
				return places, true
			}
			r.restore(u, places)
		}
		if !far && r.fitsRack(u) {
			return nil, false
		}
	}
	if u.step.DataRack != "" && !far && len(r.racks[u.step.DataRack]) > 0 {
		return r.seatOn(u, r.racks[u.step.DataRack], avoided)
	}
	return r.seatOn(u, r.executors, avoided)
}

// patience is how long tasks wait for the rack on which they are faster: what
// the objective leaves beside the work itself, halved.
func patience(j *workload.Job, step *workload.Step) time.Duration {
	spare := time.Duration((j.Stretch-1)*float64(step.Estimate)) + j.Target
	return max(0, spare/2)
}

// mayGoFar reports whether tasks stop waiting for the rack on which they are
// faster: while that still meets the objective, or, since a slow run takes the
// room of several, as late as it is worth anything.
func (c *Controller) mayGoFar(now time.Duration, u *unit) bool {
	waited := now - u.since
	if waited <= patience(u.job, u.step) {
		return false
	}
	limit := objective(u.job)
	far := time.Duration(c.cfg.SpreadFactor * float64(u.step.Estimate))
	return waited+far <= limit || waited+far+farSlack > lateFactor*limit
}

// farSlack is what is left of the time in which a job is worth anything when its
// tasks leave their rack.
const farSlack = 2 * time.Second

// rackGroups returns the executors of each rack, in the order of their names.
func (r *room) rackGroups() [][]*executor {
	var groups [][]*executor
	for _, name := range slices.Sorted(maps.Keys(r.racks)) {
		groups = append(groups, r.racks[name])
	}
	return groups
}

// racksFor orders the racks by how well they suit a unit.
func (r *room) racksFor(u *unit) []string {
	free := map[string]int64{}
	var names []string
	for name, members := range r.racks {
		names = append(names, name)
		for _, e := range members {
			free[name] += r.free[e].GPU
		}
	}
	slices.SortFunc(names, func(a, b string) int {
		switch {
		case (a == u.step.DataRack) != (b == u.step.DataRack):
			if a == u.step.DataRack {
				return -1
			}
			return 1
		case free[a] != free[b]:
			return int(free[a] - free[b])
		case a < b:
			return -1
		}
		return 1
	})
	return names
}

// fitsRack reports whether some rack could hold the unit if it were empty.
func (r *room) fitsRack(u *unit) bool {
	for _, members := range r.racks {
		n := 0
		for _, e := range members {
			n += slots(e.capacity, u.step.Room())
		}
		if n >= len(u.tasks) {
			return true
		}
	}
	return false
}

// slots is how many times need fits into an amount of room.
func slots(free, need workload.Resources) int {
	n := int64(maxPerExecutor)
	if need.CPU > 0 {
		n = min(n, free.CPU/need.CPU)
	}
	if need.MemoryMB > 0 {
		n = min(n, free.MemoryMB/need.MemoryMB)
	}
	if need.GPU > 0 {
		n = min(n, free.GPU/need.GPU)
	}
	return int(max(n, 0))
}

// maxPerExecutor bounds tasks that need no room at all.
const maxPerExecutor = 64

// seatOn puts each task on the executor that is left with the least room, but
// for those that it avoids.
func (r *room) seatOn(u *unit, executors []*executor, avoided map[int][]string) ([]place, bool) {
	places := make([]place, 0, len(u.tasks))
	need := u.step.Room()
	for _, n := range u.tasks {
		var best *executor
		for _, e := range executors {
			if !need.Fits(r.free[e]) || !r.allows(u, e) || slices.Contains(avoided[n], e.key.ID) {
				continue
			}
			if best == nil || better(u, r, e, best) {
				best = e
			}
		}
		if best == nil {
			if u.step.Gang {
				return places, false
			}
			continue
		}
		r.take(u, best)
		places = append(places, place{task: n, executor: best})
	}
	return places, len(places) == len(u.tasks)
}

// bookedForOther reports whether an executor is booked for another unit.
func (r *room) bookedForOther(u *unit, e *executor) bool {
	b := r.booked[e]
	return b != nil && b.unit.key != u.key
}

// better reports whether a suits a task better than b.
func better(u *unit, r *room, a, b *executor) bool {
	if near := u.step.DataRack; near != "" && (a.rack == near) != (b.rack == near) {
		return a.rack == near
	}
	if mine, other := r.bookedForOther(u, a), r.bookedForOther(u, b); mine != other {
		return other
	}
	if r.free[a].GPU != r.free[b].GPU {
		return r.free[a].GPU < r.free[b].GPU
	}
	return r.free[a].CPU < r.free[b].CPU
}

// avoided lists, for each task, the executors on which it has failed, or nothing
// if the unit cannot do without them: a job must not wait for ever.
func (c *Controller) avoided(r *room, u *unit) map[int][]string {
	avoided := map[int][]string{}
	all := map[string]bool{}
	for _, n := range u.tasks {
		if list := c.avoid[u.key.task(n)]; len(list) > 0 {
			avoided[n] = list
		}
		for _, id := range avoided[n] {
			all[id] = true
		}
	}
	if len(all) == 0 {
		return nil
	}
	wanted := 1
	if u.step.Gang {
		wanted = len(u.tasks)
	}
	for _, e := range r.executors {
		if !all[e.key.ID] && u.qualifies(e) {
			wanted -= slots(e.capacity, u.step.Room())
		}
	}
	if wanted > 0 {
		return nil
	}
	return avoided
}
