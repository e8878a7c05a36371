package fleet

import (
	"slices"
	"time"

	"cranberrydrum.dev/scheduler/workload"
)

const (
	// orderTimeout is the timeout of start and stop calls. It allows a few
	// round trips between regions.
	orderTimeout = 500 * time.Millisecond
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
	// orderRetryInterval is the minimum time between two start calls, or two stop
	// calls, for one run.
	orderRetryInterval = 100 * time.Millisecond
	// startResponseTimeout is how long an unanswered start is repeated before the
	// run is stopped. Gang members use half of the gang wait instead.
	startResponseTimeout = 3 * time.Second
)

// sendOrders sends the start and stop calls that are due.
func (c *Controller) sendOrders(now time.Duration) {
	for _, e := range c.executors {
		for key, r := range e.runs {
			c.sendOrder(now, e, key, r)
		}
	}
}

func (c *Controller) sendOrder(now time.Duration, e *executor, key workload.TaskKey, r *run) {
	if r.end != nil || (r.checkedChange == c.appliedChanges && r.settledAt > 0 && r.stopCause == "" && !e.draining) {
		return
	}
	r.checkedChange = c.appliedChanges
	j := c.state.Job(key.Job)
	if r.stopCause == "" {
		if cause := c.stopReason(now, e, j, key, r); cause != "" {
			c.stopRun(now, e, key, r, cause)
		}
	}
	switch {
	case r.stopCause != "":
		c.sendStop(now, e, key, r)
	case r.settledAt == 0 && !r.startInFlight && e.reported && now >= r.lastSent+orderRetryInterval:
		c.sendStart(now, e, key, r, j)
	}
}

// stopRun decides that a run has to stop.
func (c *Controller) stopRun(now time.Duration, e *executor, key workload.TaskKey, r *run, cause string) {
	r.requestStop(now, cause)
	c.log.Info("stopping run", "job", key.Job, "step", key.Step, "task", key.Index, "run", r.number, "executor", e.key.ID, "reason", cause)
}

// stopReason returns the reason why a run has to stop, or "" if it may
// continue.
func (c *Controller) stopReason(now time.Duration, e *executor, j *workload.Job, key workload.TaskKey, r *run) string {
	if j.Phase.Ended() {
		return "job_" + j.Phase.String()
	}
	step := &j.Spec.Steps[key.Step]
	if r.settledAt == 0 && r.firstSent > 0 {
		limit := startResponseTimeout
		if step.Gang {
			limit = c.cfg.GangWait / 2
		}
		if now-r.firstSent > limit {
			return "start_unanswered"
		}
	}
	if step.Gang && j.Occurrences[key.Occurrence].Steps[key.Step].LastIncompleteRun >= r.number {
		return "gang_broken"
	}
	if e.draining && c.mustMoveFromDraining(now, e, j, key, r) {
		return "executor_drains"
	}
	return ""
}

// mustMoveFromDraining reports whether a run on a draining executor should be
// stopped now because it cannot finish there. A run with checkpoints continues
// as long as possible.
func (c *Controller) mustMoveFromDraining(now time.Duration, e *executor, j *workload.Job, key workload.TaskKey, r *run) bool {
	step := &j.Spec.Steps[key.Step]
	drainLeft := e.leavesAt - now
	if step.LongRunning || r.firstSent == 0 && r.term == c.term {
		return true
	}
	if e.deregistered && r.settledAt == 0 {
		// Its start may still have to be repeated.
		return true
	}
	margin := drainMargin
	if e.deregistered {
		margin = 0
	}
	if c.remainingTime(now, j, key.Step, r) < drainLeft+margin {
		return false
	}
	return !step.Checkpoints || drainLeft < c.cfg.StopTime+stopOverhead
}

const (
	// drainMargin is how much longer than announced a draining executor is
	// expected to stay.
	drainMargin = 1 * time.Second
	// stopOverhead is the time for delivering a stop order and receiving the
	// list of ended runs.
	stopOverhead = 500 * time.Millisecond
)

func (c *Controller) sendStart(now time.Duration, e *executor, key workload.TaskKey, r *run, j *workload.Job) {
	_, task := c.state.TaskOf(key)
	if r.firstSent == 0 {
		r.firstSent = now
	}
	r.lastSent = now
	r.startCalls++
	r.openStarts++
	r.startInFlight = true
	c.call(now, e, Call{
		Kind: CallStart, Task: key, Run: r.number, Payload: j.Spec.Payload, Checkpoint: task.Checkpoint,
		Ticket: c.ticketFor(now, key, e.key), Deadline: e.extendLease(now, &c.cfg), Timeout: orderTimeout,
	})
}

func (c *Controller) sendStop(now time.Duration, e *executor, key workload.TaskKey, r *run) {
	if r.firstSent == 0 && r.term == c.term {
		r.settledAt = now
		c.propose(0, []workload.End{c.recordEnd(e, key, r, workload.EndNotStarted, EvidenceNeverSent, "")})
		return
	}
	if r.stopInFlight || r.stopConfirmedAt > 0 || !e.reported || (r.lastStopSent > 0 && now < r.lastStopSent+orderRetryInterval) {
		return
	}
	r.stopInFlight, r.lastStopSent = true, now
	c.call(now, e, Call{Kind: CallStop, Task: key, Run: r.number, Timeout: orderTimeout})
}

func (c *Controller) call(now time.Duration, e *executor, call Call) {
	call.Executor, call.Address, call.Token, call.IssuedAt = e.key, e.address, c.term, now
	c.out.Calls = append(c.out.Calls, call)
}

// sendHolds sends a hold to each executor that needs one: to extend leases,
// acknowledge ends, or check whether it is reachable.
func (c *Controller) sendHolds(now time.Duration) {
	predecessors := c.predecessorsWithRuns()
	for _, e := range c.executors {
		if e.holdInFlight || e.address == "" || now < e.nextHoldAt {
			continue
		}
		earliest, hasPredecessor := predecessors[e.key.ID]
		isAsked := hasPredecessor && earliest < e.key.Incarnation
		hasUnstoredEnds := e.lastSeenEnd > e.cursor
		// Executors that have not answered the last call, and those known only
		// from the directory, receive no runs until they answer. They need a
		// hold even if they have no runs.
		idle := len(e.runs) == 0 && !isAsked && e.acknowledgedEnd >= e.cursor && e.failedHolds == 0 && e.reported && !e.hasUnansweredOrder
		if hasUnstoredEnds || idle {
			continue
		}
		c.sendHold(now, e)
		if isAsked {
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

// HandleResponse processes the response to a call.
func (c *Controller) HandleResponse(now, unix time.Duration, call Call, response Response) Output {
	c.out = Output{}
	c.countAnsweredHold(&call)
	if call.Kind == CallAdvise {
		c.handleAdvice(now, call, response)
		return c.out
	}
	c.dirty = true
	e := c.addressee(now, unix, &call, &response)
	if e == nil {
		return c.out
	}
	switch {
	case response.Verdict == VerdictNoResponse && call.Kind != CallHold:
		e.hasUnansweredOrder = true
	case response.Verdict != VerdictNoResponse && response.Verdict != VerdictNotSent:
		e.hasUnansweredOrder = false
		e.lastHeard = max(e.lastHeard, now)
		e.recordClock(now, response.Clock)
	}
	switch call.Kind {
	case CallStart:
		c.handleStartResponse(now, unix, e, call, response)
	case CallStop:
		c.handleStopResponse(now, e, call, response)
	case CallHold:
		c.handleHoldResponse(now, unix, e, call, response)
	}
	return c.out
}

// countAnsweredHold ends the count of a hold as in progress.
func (c *Controller) countAnsweredHold(call *Call) {
	switch {
	case call.Kind != CallHold:
	case call.Wait > 0:
		c.longPolls--
	default:
		c.shortPolls--
	}
}

func (c *Controller) handleStartResponse(now, unix time.Duration, e *executor, call Call, response Response) {
	r := e.runs[call.Task]
	if r == nil || r.number != call.Run {
		return
	}
	r.startInFlight = false
	if response.Verdict != VerdictAccepted {
		c.log.Info("start not accepted", "job", call.Task.Job, "step", call.Task.Step, "task", call.Task.Index, "run", call.Run,
			"executor", e.key.ID, "verdict", response.Verdict.String(), "reason", response.Reason, "waited_ms", (now - call.IssuedAt).Milliseconds())
	}
	switch response.Verdict {
	case VerdictNotSent:
		r.startCalls--
		r.openStarts--
		if r.startCalls == 0 {
			r.firstSent = 0
		}
	case VerdictAccepted:
		r.settle(now, EvidenceUnlistedAfterStart)
	case VerdictRunOver:
		r.openStarts--
		c.handleRunOver(now, unix, e, call.Task, r)
	case VerdictRefused, VerdictNoCapacity, VerdictNoTicket:
		r.openStarts--
		c.handleRefusedStart(now, unix, e, call, r, response.Verdict)
	}
}

// handleRunOver processes the response that no start of a run will be carried out any
// more. Without another start the run has not begun; otherwise a list shows whether it
// did.
func (c *Controller) handleRunOver(now, unix time.Duration, e *executor, key workload.TaskKey, r *run) {
	if r.openStarts > 0 {
		r.settle(now, EvidenceUnlistedAfterRunOver)
		return
	}
	c.endUnstarted(now, unix, e, key, r)
}

// handleRefusedStart processes the refusal of one start call. The run has not begun if no
// other start call is open. Otherwise an earlier call may be carried out at any time
// until the stop of the run is confirmed or the lease is over, so the task and its capacity
// stay allocated and lists prove nothing.
func (c *Controller) handleRefusedStart(now, unix time.Duration, e *executor, call Call, r *run, verdict Verdict) {
	if verdict == VerdictNoTicket {
		c.discardTicket(call)
	}
	if r.openStarts == 0 {
		c.endUnstarted(now, unix, e, call.Task, r)
		return
	}
	// A repetition may succeed at an executor that was overloaded for a moment, but
	// neither capacity nor a ticket comes by repeating.
	if verdict != VerdictRefused && r.stopCause == "" {
		c.stopRun(now, e, call.Task, r, "start_refused")
	}
}

// endUnstarted ends a run of which every start call was refused.
func (c *Controller) endUnstarted(now, unix time.Duration, e *executor, key workload.TaskKey, r *run) {
	if r.end != nil {
		return
	}
	e.health.pause(now)
	c.propose(unix, []workload.End{c.recordEnd(e, key, r, workload.EndNotStarted, EvidenceStartsRefused, "")})
}

func (c *Controller) handleStopResponse(now time.Duration, e *executor, call Call, response Response) {
	r := e.runs[call.Task]
	if r == nil || r.number != call.Run {
		if response.Verdict == VerdictAccepted {
			c.confirmSuccessorStop(now, e, call)
		}
		return
	}
	r.stopInFlight = false
	if response.Verdict == VerdictAccepted {
		// The executor will not carry out any further start of this run.
		r.stopConfirmedAt = now
		r.settle(now, EvidenceUnlistedAfterStop)
	}
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
		if e.health.observe(now, end.Task.Job, end.Ending) {
			c.log.Info("executor quarantined", "executor", e.key.ID, "for_ms", (e.health.suspendedUntil - now).Milliseconds(), "reason", "different jobs failed")
		}
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
