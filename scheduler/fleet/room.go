package fleet

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"cranberrydrum.dev/scheduler/workload"
)

// room is the free room of the executors during one round.
type room struct {
	now       time.Duration
	executors []*executor
	free      map[*executor]workload.Resources
	// racks groups the executors by rack.
	racks map[string][]*executor
	// perStep counts the tasks of a step on an executor, for its bound.
	perStep map[unitKey]map[*executor]int
	decided map[workload.TaskKey]workload.Start
	// reserved holds the executors on which only urgent tasks are started.
	reserved map[*executor]bool
	// proposed holds the steps of the runs that are proposed for an executor.
	proposed map[*executor][]*workload.Step
	// idle holds the services much of whose room is free, pressed the unit
	// that may take reserved room there.
	idle    map[string]bool
	pressed *unit
	// booked holds the executors that are kept for gangs that wait.
	booked map[*executor]*booking
}

func (c *Controller) newRoom(now time.Duration) *room {
	r := &room{now: now, free: map[*executor]workload.Resources{}, racks: map[string][]*executor{}, perStep: map[unitKey]map[*executor]int{}, decided: c.decided, reserved: map[*executor]bool{}, idle: map[string]bool{}, proposed: map[*executor][]*workload.Step{}, booked: map[*executor]*booking{}}
	for _, e := range c.executors {
		if !e.placeable(now, &c.cfg) {
			continue
		}
		r.executors = append(r.executors, e)
		r.racks[e.rack] = append(r.racks[e.rack], e)
		r.free[e] = e.capacity.Sub(e.used)
	}
	slices.SortFunc(r.executors, func(a, b *executor) int { return cmp.Compare(a.key.ID, b.key.ID) })
	for key, d := range c.decided {
		e := c.executors[d.Executor.ID]
		j := c.state.Job(key.Job)
		if e == nil || j == nil {
			continue
		}
		if _, listed := r.free[e]; listed {
			r.free[e] = r.free[e].Sub(j.Spec.Steps[key.Step].Room())
			r.proposed[e] = append(r.proposed[e], &j.Spec.Steps[key.Step])
		}
	}
	for _, cl := range c.claims {
		r.charge(cl)
	}
	return r
}

// byService groups the executors by their pool.
func (r *room) byService() map[string][]*executor {
	pools := map[string][]*executor{}
	for _, e := range r.executors {
		pools[e.service] = append(pools[e.service], e)
	}
	return pools
}

// take occupies room for a task.
func (r *room) take(u *unit, e *executor) {
	r.free[e] = r.free[e].Sub(u.step.Room())
	r.proposed[e] = append(r.proposed[e], u.step)
	if u.step.PerExecutor > 0 {
		r.countOf(u)[e]++
	}
}

// restore gives back the room of places that are not used.
func (r *room) restore(u *unit, places []place) {
	for _, p := range places {
		r.free[p.executor] = r.free[p.executor].Add(u.step.Room())
		// The places of a unit are the last that were taken.
		r.proposed[p.executor] = r.proposed[p.executor][:len(r.proposed[p.executor])-1]
		if u.step.PerExecutor > 0 {
			r.countOf(u)[p.executor]--
		}
	}
}

// charge keeps the room of a claim away from others.
func (r *room) charge(cl *claim) { r.apply(cl, -1) }

// withdraw makes the room of a claim available to its holder.
func (r *room) withdraw(cl *claim) { r.apply(cl, 1) }

func (r *room) apply(cl *claim, sign int64) {
	if cl == nil {
		return
	}
	for _, e := range cl.on {
		need := workload.Resources{CPU: sign * cl.need.CPU, MemoryMB: sign * cl.need.MemoryMB, GPU: sign * cl.need.GPU}
		if _, present := r.free[e]; present {
			r.free[e] = r.free[e].Add(need)
		}
	}
}

// countOf returns how many tasks of the unit's step each executor has.
func (r *room) countOf(u *unit) map[*executor]int {
	if counts := r.perStep[u.key]; counts != nil {
		return counts
	}
	counts := map[*executor]int{}
	r.perStep[u.key] = counts
	for i := range u.job.Occurrences[u.key.occurrence].Steps[u.key.step].Tasks {
		t := &u.job.Occurrences[u.key.occurrence].Steps[u.key.step].Tasks[i]
		if t.Run == nil {
			continue
		}
		for _, e := range r.executors {
			if e.key == t.Run.Executor {
				counts[e]++
			}
		}
	}
	for key, d := range r.decided {
		if unitOf(key) != u.key {
			continue
		}
		for _, e := range r.executors {
			if e.key == d.Executor {
				counts[e]++
			}
		}
	}
	return counts
}

// mixed reports whether a proposed run on the executor keeps a unit away that
// serves users, or one that fills.
func (r *room) mixed(u *unit, e *executor) bool {
	if u.step.TailTarget == 0 && !u.step.Fills {
		return false
	}
	for _, step := range r.proposed[e] {
		if (step.Fills && u.step.TailTarget > 0) || (step.TailTarget > 0 && u.step.Fills) {
			return true
		}
	}
	return false
}

// allows reports whether a task of a step may be started on an executor now.
func (r *room) allows(u *unit, e *executor) bool {
	if !r.constraints(u, e) {
		return false
	}
	if u.advice == nil {
		return true
	}
	_, valid := u.advice.ticket(r.now, e.key)
	return valid
}

// constraints reports whether the constraints of a step let it run on an executor.
func (r *room) constraints(u *unit, e *executor) bool {
	if e.service != u.job.Service || (u.step.Requires != "" && !e.hasLabel(u.step.Requires)) {
		return false
	}
	if !e.suits(u.step) || r.mixed(u, e) {
		return false
	}
	if r.reserved[e] && u.job.Priority > 0 && r.pressed != u {
		return false
	}
	if b := r.booked[e]; b != nil && r.pressed != u && !b.mayUse(r.now, u) {
		return false
	}
	return u.step.PerExecutor == 0 || r.countOf(u)[e] < u.step.PerExecutor
}

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
	if u.step.SameRack && u.step.Gang && len(u.tasks) > 1 {
		for _, rack := range r.racksFor(u) {
			places, ok := c.seatOn(r, u, r.racks[rack])
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
		return c.seatOn(r, u, r.racks[u.step.DataRack])
	}
	return c.seatOn(r, u, r.executors)
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

// seatOn puts each task on the executor that is left with the least room.
func (c *Controller) seatOn(r *room, u *unit, executors []*executor) ([]place, bool) {
	places := make([]place, 0, len(u.tasks))
	need := u.step.Room()
	for _, n := range u.tasks {
		key := u.key.task(n)
		avoid := c.avoid[key]
		var best *executor
		for _, e := range executors {
			if !need.Fits(r.free[e]) || !r.allows(u, e) || slices.Contains(avoid, e.key.ID) {
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

// spoken reports whether an executor is booked for another unit.
func (r *room) spoken(u *unit, e *executor) bool {
	b := r.booked[e]
	return b != nil && b.unit.key != u.key
}

// better reports whether a suits a task better than b.
func better(u *unit, r *room, a, b *executor) bool {
	if near := u.step.DataRack; near != "" && (a.rack == near) != (b.rack == near) {
		return a.rack == near
	}
	if mine, other := r.spoken(u, a), r.spoken(u, b); mine != other {
		return other
	}
	if r.free[a].GPU != r.free[b].GPU {
		return r.free[a].GPU < r.free[b].GPU
	}
	return r.free[a].CPU < r.free[b].CPU
}
