package fleet

import (
	"slices"
	"time"

	"cranberrydrum.dev/scheduler/workload"
)

const (
	// maxHoldWait is the longest time for which the protocol lets an executor
	// delay its response to a hold. A hold renews the lease, acknowledges stored
	// ends and long-polls the list of runs.
	maxHoldWait = 2 * time.Second
	// holdsPerLease are the holds for which a lease must last before it is renewed by
	// a retry: one that is answered after its wait, and one that is lost.
	holdsPerLease = 2
	// holdTimeoutMargin is added to the wait of a hold to get its timeout.
	holdTimeoutMargin = 700 * time.Millisecond
	// leasePollDivisor is the number of holds within a lease if the holds of an
	// executor do not wait for an end.
	leasePollDivisor = 4
	// shortPollDivisor is the number of holds that may wait for an end for each one
	// in progress that does not. A new leader asks every executor for a list, and
	// holds that it cannot send soon would be dropped as too old.
	shortPollDivisor = 4
	// holdRetryDelay is the pause after a failed hold. It is multiplied by
	// the number of consecutive failures, up to maxRetryFactor.
	holdRetryDelay = 200 * time.Millisecond
	maxRetryFactor = 5
	// maxFailedHoldsForLease is the number of consecutive failed holds from
	// which a hold no longer extends the lease. The lease must then run out,
	// because the leader cannot see which runs are active.
	maxFailedHoldsForLease = 2
)

// sendHolds sends a hold to each executor that needs one: to extend leases,
// acknowledge ends, or check whether it is reachable.
func (c *Controller) sendHolds(now time.Duration) {
	predecessors := c.predecessorsWithRuns()
	for _, e := range c.executors {
		if e.holdInFlight || e.address == "" || now < e.nextHoldAt {
			continue
		}
		provesEarlierEnds := predecessors.precede(e.key)
		hasUnstoredEnds := e.lastSeenEnd > e.cursor
		// Executors that have not answered the last call, and those known only
		// from the directory, receive no runs until they answer. They need a
		// hold even if they have no runs. So do those whose lists prove that runs of
		// earlier incarnations are over.
		idle := len(e.runs) == 0 && !provesEarlierEnds && e.acknowledgedEnd >= e.cursor && e.failedHolds == 0 && e.reported && !e.hasUnansweredOrder
		if hasUnstoredEnds || idle {
			continue
		}
		c.sendHold(now, e)
		if provesEarlierEnds {
			e.nextHoldAt = max(e.nextHoldAt, now+holdRetryDelay)
		}
	}
}

// holdWait returns how long an executor may delay its response to a hold, so that its lease
// is renewed in time even if the next hold is lost. It is not positive if the lease is too
// short for that.
func (s *Settings) holdWait() time.Duration {
	spent := holdTimeoutMargin + holdRetryDelay + idleRoundInterval
	return min(maxHoldWait, (s.Lease-spent)/holdsPerLease)
}

func (c *Controller) sendHold(now time.Duration, e *executor) {
	call := Call{Kind: CallHold}
	switch {
	case e.acknowledgedEnd >= e.cursor:
		// A cursor that is sent again could acknowledge ends of the next incarnation, whose
		// numbers start anew.
	case c.hasUnlistedStart(e) && !e.endsTruncated:
		// The next incarnation may have begun and ended what was meant for this one. The
		// unacknowledged ends make the executor answer at once.
		e.nextHoldAt = now + holdRetryDelay
	default:
		call.Cursor = e.cursor
	}
	isBounded := c.cfg.MaxLongPolls > 0
	mayWait := len(e.runs) > 0 && e.failedHolds == 0 && !e.hasUnansweredOrder && e.reported
	wait := c.cfg.holdWait()
	switch {
	case mayWait && wait > 0 && !(isBounded && c.longPolls >= c.cfg.MaxLongPolls):
		call.Wait = wait
		c.longPolls++
	case isBounded && c.shortPolls >= c.cfg.MaxLongPolls/shortPollDivisor:
		return
	default:
		c.shortPolls++
		if mayWait {
			e.nextHoldAt = now + min(maxHoldWait, c.cfg.Lease/leasePollDivisor)
		}
	}
	e.holdInFlight = true
	if c.mayExtendLease(now, e) {
		call.Deadline = e.extendLease(now, &c.cfg)
	}
	call.Timeout = call.Wait + holdTimeoutMargin
	c.call(now, e, call)
}

// hasUnlistedStart reports whether a start of this term was sent to an executor that has not
// listed its run yet.
func (c *Controller) hasUnlistedStart(e *executor) bool {
	for _, r := range e.runs {
		if r.end == nil && r.term == c.term && r.startCalls > 0 && !r.wasListed {
			return true
		}
	}
	return false
}

// mayExtendLease reports whether a hold extends the lease of an executor.
func (c *Controller) mayExtendLease(now time.Duration, e *executor) bool {
	return len(e.runs) > 0 && !e.deregistered && e.failedHolds < maxFailedHoldsForLease && !e.ignoresStops(now, &c.cfg)
}

func (c *Controller) handleHoldResponse(now, unix time.Duration, e *executor, call Call, response Response) {
	e.holdInFlight = false
	if response.Verdict == VerdictNotSent {
		// The delay lies with this host and says nothing about the executor.
		e.nextHoldAt = now + holdRetryDelay
		return
	}
	if response.Verdict != VerdictAccepted || !response.Complete {
		e.failedHolds++
		e.nextHoldAt = now + holdRetryDelay*time.Duration(min(e.failedHolds, maxRetryFactor))
		c.log.Info("hold failed", "executor", e.key.ID, "verdict", response.Verdict.String(), "reason", response.Reason, "failures", e.failedHolds,
			"runs", len(e.runs), "lease_left_ms", (e.leaseEnd - now).Milliseconds())
		return
	}
	if !e.reported {
		c.log.Info("executor of the directory answered", "executor", e.key.ID, "born", e.key.Incarnation, "running", len(response.Running), "ended", len(response.Ended))
	}
	e.failedHolds, e.reported = 0, true
	e.acknowledgedEnd = max(e.acknowledgedEnd, call.Cursor)
	e.endsTruncated = response.EndsTruncated
	listed := map[workload.TaskKey]int{}
	for _, t := range response.Running {
		listed[t.Task] = t.Run
		c.recordProgress(now, e, t)
	}
	c.recordStrays(e, response.Running)
	ends := c.listedEnds(now, e, response.Ended)
	if !response.EndsTruncated {
		ends = append(ends, c.unlistedEnds(e, call.IssuedAt, listed)...)
		ends = append(ends, c.ruledOutEnds(e, call.IssuedAt, listed)...)
	}
	if e.lastSeenEnd > e.cursor && len(ends) == 0 && !c.endsPending(e) {
		e.cursor = e.lastSeenEnd
	}
	c.propose(unix, ends)
}

// unlistedEnds returns the ends of runs that are over because a list requested at a given
// time names them neither as running nor as ended.
func (c *Controller) unlistedEnds(e *executor, requestedAt time.Duration, listed map[workload.TaskKey]int) []workload.End {
	var ends []workload.End
	for key, r := range e.runs {
		if r.end != nil || listed[key] == r.number || r.settledAt == 0 || r.settledAt >= requestedAt {
			continue
		}
		ends = append(ends, c.recordEnd(e, key, r, workload.EndNotStarted, r.settledBy, r.checkpoint))
	}
	return ends
}

// recordProgress stores the state that an executor reports for a run.
func (c *Controller) recordProgress(now time.Duration, e *executor, t RunningTask) {
	r := e.runs[t.Task]
	if r == nil || r.number != t.Run {
		return
	}
	if !r.wasListed {
		r.wasListed, r.firstListedAt, r.firstPercent, r.progressedAt = true, now, t.Percent, now
	}
	// The run was started, so from now on any list without it proves that it is
	// over.
	if r.settledAt == 0 {
		r.settle(settledBefore, EvidenceUnlistedAfterStart)
	}
	r.lastListedAt = now
	if t.Percent != r.percent {
		r.percent, r.progressedAt = t.Percent, now
	}
	if t.Checkpoint != "" {
		r.checkpoint = t.Checkpoint
	}
}

// listedEnds returns the ends to propose for the ended runs that an executor
// lists: ends of runs that the log still holds as running, and late failures.
func (c *Controller) listedEnds(now time.Duration, e *executor, listed []EndedRun) []workload.End {
	if len(listed) == 0 {
		return nil
	}
	var ends []workload.End
	predecessors := c.predecessors(e)
	for _, end := range listed {
		e.lastSeenEnd = max(e.lastSeenEnd, end.Number)
		r := e.runs[end.Task]
		if r == nil || r.number != end.Run {
			if earlier, awaited := awaitedRun(predecessors, end.Task, end.Run); awaited != nil {
				ends = append(ends, c.recordEnd(earlier, end.Task, awaited, end.Ending, EvidenceReported, end.Checkpoint))
				continue
			}
			ends = c.appendLateFailure(ends, e, end)
			continue
		}
		if r.end != nil {
			// The run may have been given up because of its lease before this list
			// arrived. Its failure still counts.
			if r.end.Ending != workload.EndFailed {
				ends = c.appendLateFailure(ends, e, end)
			}
			continue
		}
		if end.Ending == workload.EndDone {
			c.recordRunTime(now, e, end.Task, r)
		}
		if end.Ending == workload.EndFailed {
			c.failedOn[end.Task] = append(c.failedOn[end.Task], e.key.ID)
		}
		c.observeEnd(now, e, end.Task, r, end.Ending)
		ends = append(ends, c.recordEnd(e, end.Task, r, end.Ending, EvidenceReported, end.Checkpoint))
	}
	return ends
}

// appendLateFailure adds the failed end of a run that the log had already ended
// for another reason. The failure still counts as an attempt.
func (c *Controller) appendLateFailure(ends []workload.End, e *executor, end EndedRun) []workload.End {
	if end.Ending != workload.EndFailed || c.state.FailureCounted(end.Task, end.Run) {
		return ends
	}
	known := slices.ContainsFunc(e.lateFailures, func(o workload.End) bool { return o.Task == end.Task && o.Run == end.Run })
	if known {
		return ends
	}
	late := workload.End{Task: end.Task, Run: end.Run, Executor: e.key, Ending: end.Ending}
	e.lateFailures = append(e.lateFailures, late)
	c.log.Info("late failure report of an earlier run", "job", end.Task.Job, "step", end.Task.Step, "task", end.Task.Index, "run", end.Run, "executor", e.key.ID)
	return append(ends, late)
}
