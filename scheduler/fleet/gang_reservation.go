package fleet

import (
	"cmp"
	"slices"
	"time"

	"cranberrydrum.dev/scheduler/workload"
)

const (
	// reserveAfterShare is the share of its slack that a gang waits before
	// executors are reserved for it. Without a reservation, smaller tasks of
	// less urgent jobs take all capacity that becomes free.
	reserveAfterShare = 0.1
	// firmAfterShare is the share of its slack after which the reservation of a
	// gang also holds against more urgent jobs outside their guarantees.
	// Otherwise they would take its capacity repeatedly.
	firmAfterShare = 0.4
	// maxReservedShare is the largest share of a pool that is reserved at once.
	maxReservedShare = 0.34
	// reservationMargin is how late a gang may start on its reservation before
	// other executors are considered.
	reservationMargin = 2 * time.Second
)

// reservation keeps executors for a waiting gang until it starts on them.
type reservation struct {
	taskSet *taskSet
	targets []*executor
	// startsAt is when the gang is expected to fit.
	startsAt time.Duration
	// firm reservations yield to guarantees only.
	firm bool
	// outdated is set if an executor is gone or the expected start has passed.
	outdated bool
}

// refreshReservations drops reservations whose task set no longer waits. Those whose
// expected start has passed, or that include an executor that accepts no runs, keep
// the other executors until the gang's turn in this round, which renews them.
func (c *Controller) refreshReservations(rs *roundState, waiting map[stepKey]*taskSet) {
	for key, res := range c.reservations {
		res.taskSet = waiting[key]
		switch {
		case res.taskSet == nil:
			delete(c.reservations, key)
			continue
		case !res.taskSet.matchesAll(res.targets):
			// The service of its queue has changed.
			delete(c.reservations, key)
			continue
		case rs.anyUnavailable(res.targets):
			c.countOutdated(rs, key, res, DropUnavailable)
			res.targets = slices.DeleteFunc(res.targets, func(e *executor) bool { return !rs.isListed(e) })
		case rs.now > res.startsAt+reservationMargin:
			c.countOutdated(rs, key, res, DropOverdue)
		}
		res.firm = rs.now-res.taskSet.waitingSince > c.slackShare(res.taskSet.job, firmAfterShare)
		for _, e := range res.targets {
			rs.reserve(e, res)
		}
	}
}

// mayUse reports whether a task set may start on reserved executors. Allowed
// are the holder, task sets inside a guarantee, more urgent task sets unless
// the reservation is firm, and those that end before the holder starts.
func (res *reservation) mayUse(now time.Duration, ts *taskSet) bool {
	if res.taskSet.key == ts.key || ts.guaranteed {
		return true
	}
	if !res.firm && compareTaskSets(ts, res.taskSet) < 0 {
		return true
	}
	return !ts.step.LongRunning && now+ts.runTimeBound <= res.startsAt
}

// reserveForGang reserves the executors on which a gang is expected to fit
// earliest. It returns why the gang waits.
func (c *Controller) reserveForGang(now time.Duration, rs *roundState, ts *taskSet) WaitReason {
	c.endOutdatedReservation(rs, ts)
	switch {
	case c.reservations[ts.key] != nil:
		return WaitReserved
	case ts.tier > 0:
		return WaitNoValue
	case now-ts.waitingSince < c.slackShare(ts.job, reserveAfterShare):
		return WaitNotDue
	}
	search := searchKey{step: ts.key, kind: searchReservation}
	if float64(rs.reservedCount+1) > maxReservedShare*float64(len(rs.executors)) {
		return WaitShareTaken
	}
	if last, may := c.mayRetry(rs, search, len(ts.tasks), len(ts.tasks)); !may {
		return last.reason
	}
	reason := c.findReservation(now, rs, ts)
	if reason != WaitReserved {
		c.failedSearches[search] = failedSearch{at: now, triedAt: now, tasks: len(ts.tasks), unplaced: len(ts.tasks), reason: reason}
	}
	return reason
}

// findReservation searches for the executors of a reservation. It returns why the gang waits.
func (c *Controller) findReservation(now time.Duration, rs *roundState, ts *taskSet) WaitReason {
	groups := [][]*executor{rs.executors}
	if ts.step.SameRack && !c.mayLeaveRack(now, ts) {
		groups = rs.rackGroups()
	}
	var best *reservation
	for _, group := range groups {
		if res := c.earliestReservation(now, rs, ts, group); res != nil && (best == nil || res.startsAt < best.startsAt) {
			best = res
		}
	}
	if best == nil {
		return WaitNoRoom
	}
	if float64(rs.reservedCount+len(best.targets)) > maxReservedShare*float64(len(rs.executors)) {
		return WaitShareTaken
	}
	c.reservations[ts.key] = best
	for _, e := range best.targets {
		rs.reserve(e, best)
	}
	c.log.Info("executors reserved", "job", ts.key.job, "occurrence", ts.key.occurrence, "step", ts.key.step, "tasks", len(ts.tasks), "executors", len(best.targets),
		"waited_ms", (now - ts.waitingSince).Milliseconds(), "expected_in_ms", (best.startsAt - now).Milliseconds())
	return WaitReserved
}

// endOutdatedReservation lets a gang choose its executors anew, the present ones
// included.
func (c *Controller) endOutdatedReservation(rs *roundState, ts *taskSet) {
	res := c.reservations[ts.key]
	if res == nil || !res.outdated {
		return
	}
	for _, e := range res.targets {
		rs.reserve(e, nil)
	}
	delete(c.reservations, ts.key)
}

// freeSlot is capacity for one task that is expected to be free from a given
// time.
type freeSlot struct {
	executor *executor
	at       time.Duration
}

// earliestReservation returns the reservation with the earliest start on a
// group of executors, or nil if the gang does not fit.
func (c *Controller) earliestReservation(now time.Duration, rs *roundState, ts *taskSet, group []*executor) *reservation {
	var slots []freeSlot
	for _, e := range group {
		if rs.slot(e).reservedFor == nil && !rs.slot(e).urgentOnly && rs.satisfiesConstraints(ts, e) {
			slots = c.appendFreeSlots(slots, now, rs, ts, e)
		}
	}
	if len(slots) < len(ts.tasks) {
		return nil
	}
	slices.SortFunc(slots, func(a, b freeSlot) int {
		return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.executor.key.ID, b.executor.key.ID))
	})
	res := &reservation{taskSet: ts}
	for _, slot := range slots[:len(ts.tasks)] {
		res.startsAt = slot.at
		if !slices.Contains(res.targets, slot.executor) {
			res.targets = append(res.targets, slot.executor)
		}
	}
	return res
}

// appendFreeSlots appends the slots for tasks of a task set on an executor,
// with the times at which its runs are expected to have freed them.
func (c *Controller) appendFreeSlots(slots []freeSlot, now time.Duration, rs *roundState, ts *taskSet, e *executor) []freeSlot {
	free := rs.slot(e).free
	appended := 0
	add := func(at time.Duration) {
		for n := fitCount(free, ts.step.Allocation()); appended < n; appended++ {
			slots = append(slots, freeSlot{executor: e, at: at})
		}
	}
	add(now)
	for _, end := range c.runEnds(now, rs, e) {
		free = free.Add(end.resources)
		add(end.at)
	}
	return slots
}

// runEnd is the expected end of a run, which frees its resources.
type runEnd struct {
	at        time.Duration
	resources workload.Resources
}

// runEnds returns the expected ends of the runs on an executor, the earliest first. They are the
// same for all gangs of a round.
func (c *Controller) runEnds(now time.Duration, rs *roundState, e *executor) []runEnd {
	if ends := rs.slot(e).ends; ends != nil {
		return ends
	}
	ends := make([]runEnd, 0, len(e.runs))
	for key, run := range e.runs {
		j := c.state.Job(key.Job)
		if step := &j.Spec.Steps[key.Step]; !step.LongRunning {
			ends = append(ends, runEnd{at: now + c.remainingTime(now, j, key.Step, run), resources: step.Allocation()})
		}
	}
	slices.SortFunc(ends, func(a, b runEnd) int { return cmp.Compare(a.at, b.at) })
	rs.slot(e).ends = ends
	return ends
}
