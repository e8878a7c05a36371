package fleet

import (
	"cmp"
	"slices"
	"time"

	"cranberrydrum.dev/scheduler/workload"
)

const (
	// bookAfter is the share of its spare time that a gang waits before executors
	// are booked for it. Without a booking, smaller tasks of less urgent jobs
	// take each place that becomes free.
	bookAfter = 0.1
	// firmAfter is the share of its spare time after which the booking of a gang
	// also holds against more urgent jobs outside their guarantees. They would
	// take its room again and again.
	firmAfter = 0.4
	// maxBooked bounds the share of a pool that is booked at once.
	maxBooked = 0.34
	// bookingSlack is how much later than expected a booked gang may start before
	// other executors are looked for.
	bookingSlack = 2 * time.Second
	// estimateSlack is how much longer than estimated a task may take that is
	// started on booked executors, since estimates are off.
	estimateSlack = 1.5
)

// booking keeps executors for a gang that waits, until it starts there.
type booking struct {
	unit *unit
	on   []*executor
	// start is when the gang is expected to fit.
	start time.Duration
	// firm bookings give way to guarantees only.
	firm bool
}

// refreshBookings drops bookings of units that do not wait any more, those that
// did not come true, and those of executors that take no runs.
func (c *Controller) refreshBookings(r *room, waiting map[unitKey]*unit) {
	for key, b := range c.bookings {
		b.unit = waiting[key]
		if b.unit == nil || r.lacks(b.on) || r.now > b.start+bookingSlack {
			delete(c.bookings, key)
			continue
		}
		b.firm = r.now-b.unit.since > spareShare(b.unit.job, firmAfter)
		for _, e := range b.on {
			r.booked[e] = b
		}
	}
}

// mayUse reports whether a unit may start on an executor that is booked: the
// holder, units inside a guarantee, more urgent ones unless the booking is firm,
// and those that end before the holder starts.
func (b *booking) mayUse(now time.Duration, u *unit) bool {
	if b.unit.key == u.key || u.guaranteed {
		return true
	}
	if !b.firm && compareUnits(u, b.unit) < 0 {
		return true
	}
	span := time.Duration(estimateSlack * float64(u.step.Estimate))
	return !u.step.LongRunning && now+span <= b.start
}

// book keeps the executors for a gang on which it is expected to fit first.
func (c *Controller) book(now time.Duration, r *room, u *unit) {
	if c.bookings[u.key] != nil || u.class > 0 || now-u.since < spareShare(u.job, bookAfter) {
		return
	}
	groups := [][]*executor{r.executors}
	if u.step.SameRack && !c.mayGoFar(now, u) {
		groups = r.rackGroups()
	}
	var best *booking
	for _, group := range groups {
		if b := c.earliest(now, r, u, group); b != nil && (best == nil || b.start < best.start) {
			best = b
		}
	}
	if best == nil || float64(len(r.booked)+len(best.on)) > maxBooked*float64(len(r.executors)) {
		return
	}
	c.bookings[u.key] = best
	for _, e := range best.on {
		r.booked[e] = best
	}
	c.log.Info("executors booked", "job", u.key.job, "occurrence", u.key.occurrence, "step", u.key.step, "tasks", len(u.tasks), "executors", len(best.on),
		"waited_ms", (now - u.since).Milliseconds(), "expected_in_ms", (best.start - now).Milliseconds())
}

// vacancy is a place for one task, from a time on.
type vacancy struct {
	executor *executor
	at       time.Duration
}

// earliest returns the executors of a group on which a gang fits first, or nil.
func (c *Controller) earliest(now time.Duration, r *room, u *unit, group []*executor) *booking {
	var list []vacancy
	for _, e := range group {
		if r.booked[e] == nil && !r.reserved[e] && r.constraints(u, e) {
			list = c.vacancies(list, now, r, u, e)
		}
	}
	if len(list) < len(u.tasks) {
		return nil
	}
	slices.SortFunc(list, func(a, b vacancy) int {
		return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.executor.key.ID, b.executor.key.ID))
	})
	b := &booking{unit: u}
	for _, v := range list[:len(u.tasks)] {
		b.start = v.at
		if !slices.Contains(b.on, v.executor) {
			b.on = append(b.on, v.executor)
		}
	}
	return b
}

// vacancies adds the places for tasks of a unit on an executor, with the times
// at which its runs are expected to have made room for them.
func (c *Controller) vacancies(list []vacancy, now time.Duration, r *room, u *unit, e *executor) []vacancy {
	type leaving struct {
		at   time.Duration
		room workload.Resources
	}
	var runs []leaving
	for key, run := range e.runs {
		if step := &c.state.Job(key.Job).Spec.Steps[key.Step]; !step.LongRunning {
			runs = append(runs, leaving{at: now + max(0, remaining(now, step, run)), room: step.Room()})
		}
	}
	slices.SortFunc(runs, func(a, b leaving) int { return cmp.Compare(a.at, b.at) })
	free := r.free[e]
	known := 0
	add := func(at time.Duration) {
		for n := slots(free, u.step.Room()); known < n; known++ {
			list = append(list, vacancy{executor: e, at: at})
		}
	}
	add(now)
	for _, l := range runs {
		free = free.Add(l.room)
		add(l.at)
	}
	return list
}
