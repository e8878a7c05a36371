package fleet

import "time"

// A deregistration announces the end of an executor and does not prove it: the executor may
// run on for some seconds, also after the acknowledgement was sent. Until its runs are proved
// to be over it is ordered to stop those that do not end soon, and its ends are read and
// acknowledged, but no call extends its lease.

// DepartureDelay is the longest time for which the acknowledgement of a deregistration is
// withheld, so that runs can end before their executor does. An executor asks another host
// after a second, and the call may have to be forwarded.
const DepartureDelay = 700 * time.Millisecond

// depart takes an executor that deregistered out of use. source says for logs how the leader
// knows of it.
func (c *Controller) depart(now time.Duration, e *executor, source string) {
	if e.deregistered {
		return
	}
	c.log.Info("executor deregistered", "executor", e.key.ID, "born", e.key.Incarnation, "source", source, "runs", len(e.runs),
		"lease_left_ms", (e.leaseEnd - now).Milliseconds())
	e.deregistered, e.draining, e.leavesAt = true, true, now+DepartureDelay
	// Starts that got no response may reach the next incarnation, which grants them a lease
	// of its own.
	e.successorUntil = now + orderTimeout + c.leaseSpan()
	c.dirty = true
}

// removeDeparted removes the executors that deregistered and are no longer needed to prove the
// ends of runs.
func (c *Controller) removeDeparted(now time.Duration) {
	for _, e := range c.executors {
		if e.deregistered && c.isDepartureComplete(now, e) {
			c.removeExecutor(now, e, "left")
		}
	}
}

// isDepartureComplete reports whether an executor that deregistered has no runs, the log holds
// its departure, and its ends are acknowledged. An executor whose lease is over may have ended
// before the acknowledgement.
func (c *Controller) isDepartureComplete(now time.Duration, e *executor) bool {
	// The log holds no departure of an executor that names no incarnation.
	isStored := e.key.Incarnation == 0 || c.state.HasLeft(e.key)
	if !isStored || len(e.runs) > 0 || c.hasPendingStart(e) {
		return false
	}
	return e.acknowledgedEnd >= e.lastSeenEnd || now >= e.leaseEnd
}

// hasPendingStart reports whether a start on the executor is proposed but not yet applied.
func (c *Controller) hasPendingStart(e *executor) bool {
	for _, start := range c.pendingStarts {
		if start.Executor == e.key {
			return true
		}
	}
	return false
}

// HasDepartingRuns reports whether an executor that deregistered still has runs.
func (c *Controller) HasDepartingRuns(id string) bool {
	e := c.executors[id]
	return e != nil && e.deregistered && len(e.runs) > 0
}
