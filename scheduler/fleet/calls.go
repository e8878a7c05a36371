package fleet

import (
	"time"

	"cranberrydrum.dev/scheduler/workload"
)

const (
	// orderTimeout is the timeout of start and stop calls. It allows a few
	// round trips between regions.
	orderTimeout = 500 * time.Millisecond
	// orderRetryInterval is the minimum time between two start calls, or two stop
	// calls, for one run.
	orderRetryInterval = 100 * time.Millisecond
	// startResponseTimeout is how long an unanswered start is repeated before the
	// run is stopped. Gang members use half of the gang wait instead.
	startResponseTimeout = 3 * time.Second
)

// sendOrders sends the start and stop calls that are due.
func (c *Controller) sendOrders(now time.Duration) {
	for _, e := range c.orderedExecutors() {
		if !e.hasOrders && !e.draining {
			continue
		}
		e.hasOrders = false
		for key, r := range e.runs {
			c.sendOrder(now, e, key, r)
			e.hasOrders = e.hasOrders || r.needsOrders()
		}
	}
	if auditOrders != nil {
		auditOrders(c, now)
	}
}

// needsOrders reports whether a run has not been started or stopped yet as decided.
func (r *run) needsOrders() bool { return r.end == nil && (r.settledAt == 0 || r.stopCause != "") }

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
	e.hasOrders = true
	c.log.Info("stopping run", "job", key.Job, "step", key.Step, "task", key.Index, "run", r.number, "executor", e.key.ID, "reason", cause)
}

// stopReason returns the reason why a run has to stop, or "" if it may
// continue.
func (c *Controller) stopReason(now time.Duration, e *executor, j *workload.Job, key workload.TaskKey, r *run) string {
	if j.Phase.Ended() {
		return "job_" + j.Phase.String()
	}
	step := &j.Spec.Steps[key.Step]
	if r.settledAt == 0 && c.isEvacuated(e) {
		return stopEvacuated
	}
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
