package fleet

import "time"

// WaitReason is why a gang that is due has not been placed.
type WaitReason uint8

// Reasons to wait.
const (
	// WaitNotDue means that the gang has not waited long enough for a reservation.
	WaitNotDue WaitReason = iota
	// WaitReserved means that its reserved executors are not free yet.
	WaitReserved
	// WaitNoRoom means that too few executors are outside the reservations of others
	// and the urgent-only share, even once their runs have ended.
	WaitNoRoom
	// WaitShareTaken means that a reservation would exceed the share of the pool that
	// may be reserved.
	WaitShareTaken
	// WaitNoValue means that the job has no value left.
	WaitNoValue
	waitReasons
)

// String returns the name used in logs and metrics.
func (r WaitReason) String() string {
	return [...]string{"not_due", "reserved", "no_room", "share_taken", "no_value"}[r]
}

// DropReason is why a reservation ended before its gang started.
type DropReason uint8

// Reasons to drop a reservation.
const (
	// DropUnavailable means that a reserved executor accepts no runs.
	DropUnavailable DropReason = iota
	// DropOverdue means that the gang does not fit long after it was expected to.
	DropOverdue
	dropReasons
)

// String returns the name used in logs and metrics.
func (r DropReason) String() string { return [...]string{"executor_unavailable", "overdue"}[r] }

// gangWaitLogInterval is the minimum time between two log lines about the wait of one
// gang.
const gangWaitLogInterval = time.Second

// gangWait is what was last logged about the wait of a gang.
type gangWait struct {
	reason   WaitReason
	loggedAt time.Duration
	// triedAt is when the gang was tried last.
	triedAt time.Duration
}

// GangCounts describes the waiting gangs of one round.
type GangCounts struct {
	// Waiting counts the gangs that wait after the round, Dropped the reservations
	// that it dropped.
	Waiting [waitReasons]int
	Dropped [dropReasons]int
}

// EachWaiting calls f for each reason to wait.
func (g *GangCounts) EachWaiting(f func(reason string, gangs int)) {
	for r, n := range g.Waiting {
		f(WaitReason(r).String(), n)
	}
}

// EachDropped calls f for each reason to drop a reservation.
func (g *GangCounts) EachDropped(f func(reason string, reservations int)) {
	for r, n := range g.Dropped {
		f(DropReason(r).String(), n)
	}
}

// recordWait counts the wait of a gang and logs a change of its reason.
func (c *Controller) recordWait(now time.Duration, rs *roundState, ts *taskSet, reason WaitReason) {
	c.out.Gangs.Waiting[reason]++
	last, known := c.gangWaits[ts.key]
	if reason == WaitNotDue || known && (last.reason == reason || now-last.loggedAt < gangWaitLogInterval) {
		if known {
			last.triedAt = now
			c.gangWaits[ts.key] = last
		}
		return
	}
	c.gangWaits[ts.key] = gangWait{reason: reason, loggedAt: now, triedAt: now}
	free := rs.countFreeSlots(ts)
	c.log.Info("gang waits", "job", ts.key.job, "occurrence", ts.key.occurrence, "step", ts.key.step, "tasks", len(ts.tasks), "gpu", ts.step.Demand.GPU,
		"reason", reason.String(), "waited_ms", (now - ts.waitingSince).Milliseconds(),
		"fit", free.usable, "fit_urgent_only", free.urgentOnly, "fit_reserved", free.reserved,
		"executors", len(rs.executors), "urgent_only", rs.urgentOnlyCount, "reserved", rs.reservedCount, "usage_percent", int(100*usageShare(rs.executors)))
}

// freeSlots counts the tasks of a task set that fit into the free capacity.
type freeSlots struct {
	// usable counts the executors that the task set may use, urgentOnly and reserved
	// those kept for urgent tasks and for other gangs.
	usable, urgentOnly, reserved int
}

func (rs *roundState) countFreeSlots(ts *taskSet) freeSlots {
	var s freeSlots
	for _, e := range rs.executors {
		if !ts.matches(e) {
			continue
		}
		n := fitCount(rs.slot(e).free, ts.step.Allocation())
		switch {
		case rs.satisfiesConstraints(ts, e):
			s.usable += n
		case rs.slot(e).urgentOnly:
			s.urgentOnly += n
		case rs.slot(e).reservedFor != nil:
			s.reserved += n
		}
	}
	return s
}

// countOutdated marks a reservation whose gang has not started as outdated.
func (c *Controller) countOutdated(rs *roundState, key stepKey, res *reservation, reason DropReason) {
	res.outdated = true
	c.out.Gangs.Dropped[reason]++
	unavailable, ready, cause := 0, 0, ""
	for _, e := range res.targets {
		if !rs.isListed(e) {
			unavailable++
			cause = c.unavailability(rs.now, e)
		} else if res.taskSet.step.Allocation().Fits(rs.slot(e).free) {
			ready++
		}
	}
	c.log.Info("reservation dropped", "job", key.job, "occurrence", key.occurrence, "step", key.step, "reason", reason.String(),
		"executors", len(res.targets), "unavailable", unavailable, "cause", cause, "ready", ready, "overdue_ms", (rs.now - res.startsAt).Milliseconds())
}

// unavailability returns why an executor accepts no runs, for logs.
func (c *Controller) unavailability(now time.Duration, e *executor) string {
	switch {
	case c.isEvacuated(e):
		return "evacuated"
	case e.draining:
		return "draining"
	case e.hasUnansweredOrder:
		return "unanswered_order"
	case e.failedHolds > 0:
		return "failed_hold"
	case now < e.health.suspendedUntil:
		return "suspended"
	}
	return "silent_or_gone"
}
