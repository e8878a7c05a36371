package serving

import (
	"time"

	"cranberrydrum.dev/scheduler/structs"
)

const (
	// maxSlotHold bounds how long the slot of an abandoned attempt stays counted
	// as used. The remaining time of heavy-tailed work is about as long as the
	// time already spent, so a slot is held for that time up to this bound.
	maxSlotHold = 2 * time.Second
	// hedgeP95Factor and minHedgeDelay set when a hedge is sent: after this many
	// times the p95 service time, and not before the minimum delay.
	hedgeP95Factor = 2
	minHedgeDelay  = 20 * time.Millisecond
	// minHedgeSamples is the number of samples that a flow needs before its p95
	// may cause a hedge.
	minHedgeSamples = 40
	// maxOverrunCharge bounds what fair sharing charges a customer for an attempt
	// that exceeds its expected service time, in multiples of that time.
	maxOverrunCharge = 10
)

// attemptStarted records that an attempt leaves this host. Only the time from now on
// is that of the executor.
func (d *Dispatcher) attemptStarted(now time.Duration, ev AttemptStarted) {
	if a := d.findAttempt(ev.RequestID, ev.Attempt); a != nil && !a.started {
		a.started, a.startedAt = true, now
	}
}

// attemptResponded records that the executor has finished an attempt.
func (d *Dispatcher) attemptResponded(ev AttemptResponded) {
	if a := d.findAttempt(ev.RequestID, ev.Attempt); a != nil {
		a.responded = true
	}
}

// findAttempt returns an attempt that holds a slot, or nil.
func (d *Dispatcher) findAttempt(requestID string, number int) *attempt {
	r := d.requests[requestID]
	if r == nil {
		return nil
	}
	if i := r.findAttempt(number); i >= 0 {
		return &r.attempts[i]
	}
	return nil
}

// attemptFinished handles the result of an attempt. The result of an abandoned
// attempt only frees its slot, and that of an unknown attempt is only counted.
func (d *Dispatcher) attemptFinished(now time.Duration, ev AttemptFinished) {
	r := d.requests[ev.RequestID]
	if r == nil {
		d.counters.LateResults++
		return
	}
	i := r.findAttempt(ev.Attempt)
	if i < 0 {
		d.counters.LateResults++
		return
	}
	if r.attempts[i].held {
		d.lateResult(r, i, ev.Result)
		return
	}
	a := r.attempts[i]
	d.recordAttempt(now, r, &a, ev)
	if mayStillRun(ev.Result) {
		d.holdSlot(now, r, &r.attempts[i])
	} else {
		d.releaseAttempt(r, i)
	}
	if r.phase == phaseRunning {
		d.applyResult(now, r, &a, ev)
	} else {
		d.counters.LateResults++
	}
	d.rescheduleOrRemove(r)
}

// mayStillRun reports whether the executor may still work on an attempt with
// this result.
func mayStillRun(result Result) bool { return result == ResultTimeout || result == ResultIncomplete }

// lateResult frees the slot of an abandoned attempt if the result shows that
// the executor no longer works on it.
func (d *Dispatcher) lateResult(r *request, i int, result Result) {
	d.counters.LateResults++
	if mayStillRun(result) {
		return
	}
	d.releaseAttempt(r, i)
	d.rescheduleOrRemove(r)
}

// applyResult answers, retries or refuses a request after one of its attempts
// has ended.
func (d *Dispatcher) applyResult(now time.Duration, r *request, a *attempt, ev AttemptFinished) {
	if ev.Result == ResultOK {
		d.answer(r, a)
		return
	}
	if !ev.Result.certainlyNotRun() {
		r.mayHaveBeenSent = true
	}
	if ev.Result == ResultWithdrawn {
		d.attemptWithdrawn(now, r, a, ev.Refusal)
		return
	}
	r.avoid = append(r.avoid, a.executor)
	if r.liveAttempts() == 0 {
		d.retryOrRefuse(now, r, ev.Result)
	}
}

func (d *Dispatcher) answer(r *request, a *attempt) {
	d.markFinished(r)
	d.countAnswer(r)
	if a.hedge {
		d.counters.HedgeWins++
	}
	d.emit(Answer{RequestID: r.id, Attempt: a.number, Backend: a.executor.backend.ID})
}

func (d *Dispatcher) countAnswer(r *request) {
	d.counters.Answers++
	if r.returned {
		d.counters.ReturnsAnswered++
	}
}

// attemptWithdrawn ends a request whose caller decided not to send it, and
// reverts the effect of the attempt on the retry budget.
func (d *Dispatcher) attemptWithdrawn(now time.Duration, r *request, a *attempt, refusal *structs.Refusal) {
	if a.first {
		d.budget.CancelFirstAttempt(now)
		d.counters.FirstAttempts--
	} else {
		d.budget.Refund(now)
	}
	r.counted--
	if r.liveAttempts() > 0 {
		return
	}
	if refusal == nil || r.mayHaveRun() {
		d.refuse(r, structs.CodeCancelled)
		return
	}
	d.markFinished(r)
	d.emitRefusal(r, *refusal)
}

// retryOrRefuse schedules a retry if the request is idempotent or was certainly
// not sent, and if the maximum number of attempts, the deadline and the retry
// budget allow it. Otherwise it refuses the request.
func (d *Dispatcher) retryOrRefuse(now time.Duration, r *request, cause Result) {
	if r.nonIdempotent && r.mayHaveBeenSent {
		d.refuse(r, structs.CodeOutcomeUnknown)
		return
	}
	if now >= r.deadline {
		d.refuse(r, structs.CodeDeadlineExpired)
		return
	}
	if r.counted >= d.cfg.Service.MaxAttempts {
		d.refuse(r, structs.CodeBackendFailed)
		return
	}
	retryAt := now + d.backoff.Delay(r.counted-1)
	if retryAt >= r.deadline || (d.hasMeasurements(r.flow) && retryAt+d.expectedServiceTime(r.flow) > r.deadline) {
		d.refuse(r, structs.CodeBackendFailed)
		return
	}
	if !d.budget.TryRetry(now) {
		d.counters.BudgetDenied++
		d.refuse(r, structs.CodeRetryBudgetExhausted)
		return
	}
	r.phase = phaseBackoff
	r.retryAt = retryAt
	r.retryCause = cause
}

// requeue inserts a request whose backoff has ended at the head of its queue.
func (d *Dispatcher) requeue(r *request) { d.enqueue(r, true) }

// hedgeTime returns when a second attempt may be sent while this one is still
// running, or never.
func (d *Dispatcher) hedgeTime(r *request, a *attempt) time.Duration {
	if !d.cfg.Hedging || r.class != urgent || r.nonIdempotent || a.hedge {
		return never
	}
	if r.flow.estimate.samples < minHedgeSamples || r.counted >= d.cfg.Service.MaxAttempts {
		return never
	}
	return a.sent + max(minHedgeDelay, hedgeP95Factor*r.flow.estimate.p95)
}

// hedgeIfDue sends a second attempt to another executor when the first has run
// far longer than its p95. Without a free slot or retry budget it tries again
// later.
func (d *Dispatcher) hedgeIfDue(now time.Duration, r *request) {
	if r.liveAttempts() != 1 || r.counted >= d.cfg.Service.MaxAttempts {
		return
	}
	a := r.singleLiveAttempt()
	if a.hedgeAt > now {
		return
	}
	a.hedgeAt = now + max(minHedgeDelay, r.flow.estimate.p95)
	if now+d.expectedServiceTime(r.flow) > r.deadline || !d.hedgeSlotAvailable() {
		return
	}
	r.avoid = append(r.avoid, a.executor)
	e, leaseIndex := d.selectExecutor(now, r)
	r.avoid = r.avoid[:len(r.avoid)-1]
	if e == nil || e == a.executor || !d.budget.TryRetry(now) {
		return
	}
	a.hedgeAt = never
	d.send(now, r, e, leaseIndex, sendMode{hedge: true})
}

// hedgeSlotAvailable reports whether a hedge may use a slot. While urgent
// requests are queued, a second attempt would take the slot of a first one.
// While normal requests are queued, a hedge is allowed only if the policy
// favors service at peak demand over completion time.
func (d *Dispatcher) hedgeSlotAvailable() bool {
	if d.free() <= 0 || d.queues[urgent].queued > 0 {
		return false
	}
	return d.queues[normal].queued == 0 || d.tuning.balance > 0.5
}

// singleLiveAttempt returns the first attempt that was not abandoned, or nil.
func (r *request) singleLiveAttempt() *attempt {
	for i := range r.attempts {
		if !r.attempts[i].held {
			return &r.attempts[i]
		}
	}
	return nil
}

// timeOutAttempt ends an attempt whose timeout has passed, without waiting for
// its result.
func (d *Dispatcher) timeOutAttempt(now time.Duration, r *request, i int) {
	a := r.attempts[i]
	ev := AttemptFinished{Result: ResultTimeout, ServiceTime: now - a.startedAt}
	if a.isAtExecutor() {
		d.recordAttempt(now, r, &a, ev)
	}
	d.closeAttempt(r, &a)
	d.holdSlot(now, r, &r.attempts[i])
	if r.phase == phaseRunning {
		d.applyResult(now, r, &a, ev)
	}
}

// abandonAttempts closes the connections of all live attempts of a finished
// request and holds their slots.
func (d *Dispatcher) abandonAttempts(now time.Duration, r *request) {
	for i := range r.attempts {
		a := &r.attempts[i]
		if !a.held {
			d.closeAttempt(r, a)
			d.holdSlot(now, r, a)
		}
	}
}

func (d *Dispatcher) closeAttempt(r *request, a *attempt) {
	d.emit(CloseConnection{
		RequestID: r.id,
		Attempt:   a.number,
		Backend:   a.executor.backend.ID,
		Address:   a.executor.backend.Address,
	})
}

// holdSlot keeps the slot of an abandoned attempt counted as used, because the
// executor does not notice that the connection was closed while it works.
func (d *Dispatcher) holdSlot(now time.Duration, r *request, a *attempt) {
	a.held = true
	a.heldUntil = now + min(maxSlotHold, now-a.sent)
	if a.probe {
		a.executor.probing = false
		a.probe = false
	}
}

// releaseAttempt frees the slot of an attempt.
func (d *Dispatcher) releaseAttempt(r *request, i int) {
	a := r.attempts[i]
	last := len(r.attempts) - 1
	copy(r.attempts[i:], r.attempts[i+1:])
	r.attempts[last] = attempt{}
	r.attempts = r.attempts[:last]
	a.executor.release(&a)
	d.running--
	d.byTier[a.tier]--
	d.queues[r.class].running--
	r.flow.running--
	if a.aged {
		d.agedRunning--
	}
	d.removeIfLeft(a.executor)
}

// recordAttempt updates the service time estimates of the flow and the health
// of the executor from the result of an attempt.
func (d *Dispatcher) recordAttempt(now time.Duration, r *request, a *attempt, ev AttemptFinished) {
	// The executor has not seen an attempt that has not started.
	if ev.Result == ResultWithdrawn || (!a.started && ev.Result != ResultOK) {
		return
	}
	elapsed := now - a.startedAt
	if ev.ServiceTime > 0 {
		elapsed = min(elapsed, ev.ServiceTime)
	}
	if ev.Result == ResultOK {
		d.recordResponse(now, r, a, elapsed)
		return
	}
	// If the deadline cut the attempt short, the timeout does not show that the
	// executor is unhealthy.
	if ev.Result == ResultTimeout && elapsed < d.conservativeServiceTime(r.flow) && elapsed < d.cfg.Service.AttemptTimeout {
		return
	}
	if ev.Result == ResultTimeout {
		a.executor.recordRatio(now, maxRatio)
	}
	if a.executor.recordFailure(now) {
		d.counters.BreakersOpened++
		d.needsRefresh = true
	}
}

// recordResponse records a successful attempt. It also charges the flow the
// difference between the measured service time and the cost charged at dispatch.
func (d *Dispatcher) recordResponse(now time.Duration, r *request, a *attempt, elapsed time.Duration) {
	expected := d.expectedServiceTime(r.flow)
	if d.hasMeasurements(r.flow) {
		a.executor.recordRatio(now, float64(elapsed)/float64(expected))
	}
	if a.executor.breaker != breakerClosed {
		d.needsRefresh = true
	}
	a.executor.recordSuccess(now)
	r.flow.estimate.observe(elapsed)
	r.flow.lastMeasured = now
	d.classEstimates[r.class].observe(elapsed)
	over := min(elapsed.Seconds()/r.cost-1, maxOverrunCharge) * r.cost
	r.flow.virtualTime += max(-r.cost, over) / r.flow.weight
}
