package fleet

import (
	"cmp"
	"slices"
	"time"

	"cranberrydrum.dev/scheduler/workload"
)

// room is the free room of the executors during one round.
type room struct {
	now       time.Duration
	executors []*executor
	byKey     map[workload.ExecutorKey]*executor
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
	r := &room{
		now: now, decided: c.decided,
		byKey: map[workload.ExecutorKey]*executor{}, free: map[*executor]workload.Resources{}, racks: map[string][]*executor{},
		perStep: map[unitKey]map[*executor]int{}, reserved: map[*executor]bool{}, proposed: map[*executor][]*workload.Step{},
		idle: map[string]bool{}, booked: map[*executor]*booking{},
	}
	for _, e := range c.executors {
		if !e.placeable(now, &c.cfg) {
			continue
		}
		r.executors = append(r.executors, e)
		r.byKey[e.key] = e
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
func (r *room) charge(cl *claim) { r.apply(cl, workload.Resources.Sub) }

// withdraw makes the room of a claim available to its holder.
func (r *room) withdraw(cl *claim) { r.apply(cl, workload.Resources.Add) }

func (r *room) apply(cl *claim, change func(free, need workload.Resources) workload.Resources) {
	if cl == nil {
		return
	}
	for _, e := range cl.on {
		if free, listed := r.free[e]; listed {
			r.free[e] = change(free, cl.need)
		}
	}
}

// lacks reports whether one of some executors takes no runs now.
func (r *room) lacks(executors []*executor) bool {
	return slices.ContainsFunc(executors, func(e *executor) bool { _, listed := r.free[e]; return !listed })
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
		if e := r.byKey[t.Run.Executor]; e != nil {
			counts[e]++
		}
	}
	for key, d := range r.decided {
		if e := r.byKey[d.Executor]; e != nil && unitOf(key) == u.key {
			counts[e]++
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

// qualifies reports whether an executor is of the pool of a unit and carries the
// label that its step asks for.
func (u *unit) qualifies(e *executor) bool {
	return e.service == u.job.Service && (u.step.Requires == "" || e.hasLabel(u.step.Requires))
}

// constraints reports whether the constraints of a step let it run on an executor.
func (r *room) constraints(u *unit, e *executor) bool {
	if !u.qualifies(e) || !e.suits(u.step) || r.mixed(u, e) {
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
