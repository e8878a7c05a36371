package serving

import (
	"time"

	"cranberrydrum.dev/scheduler/structs"
)

const (
	// holdMax bounds how long the slot of a given-up attempt stays counted. The
	// rest of heavy-tailed work is about as long as the time already spent.
	holdMax = 2 * time.Second
	// A hedge is sent when the attempt has taken this many times the p95.
	hedgeFactor = 2
	hedgeFloor  = 20 * time.Millisecond
	// hedgeSamples is the number of measurements that a p95 needs for a hedge.
	hedgeSamples = 40
	// fairCorrection bounds, in multiples of the expected time, what one
	// attempt beyond its expected time costs its customer.
	fairCorrection = 10
)

// attemptFinished handles the result of an attempt. Results of attempts that
// are unknown or given up have no effect but to free the slot.
func (d *Dispatcher) attemptFinished(now time.Duration, ev AttemptFinished) {
	r := d.requests[ev.RequestID]
	if r == nil {
		d.counters.LateResults++
		return
	}
	i := r.find(ev.Attempt)
	if i < 0 {
		d.counters.LateResults++
		return
	}
	if r.attempts[i].held {
		d.lateResult(r, i, ev.Result)
		return
	}
	a := r.attempts[i]
	d.learn(now, r, &a, ev)
	if keepsSlot(ev.Result) {
		d.hold(now, r, &r.attempts[i])
	} else {
		d.releaseAttempt(r, i)
	}
	if r.phase == phaseRunning {
		d.conclude(now, r, &a, ev)
	} else {
		d.counters.LateResults++
	}
	d.settle(r)
}

// keepsSlot reports whether the executor may still work on an attempt with
// this result.
func keepsSlot(result Result) bool { return result == ResultTimeout || result == ResultIncomplete }

// lateResult frees the slot of a given-up attempt if the result shows that the
// executor has ended it.
func (d *Dispatcher) lateResult(r *request, i int, result Result) {
	d.counters.LateResults++
	if keepsSlot(result) {
		return
	}
	d.releaseAttempt(r, i)
	d.settle(r)
}

// conclude decides what the result of an attempt means for its request.
func (d *Dispatcher) conclude(now time.Duration, r *request, a *attempt, ev AttemptFinished) {
	if ev.Result == ResultOK {
		d.answer(r, a)
		return
	}
	if !ev.Result.certainlyNotRun() {
		r.maySent = true
	}
	if ev.Result == ResultWithdrawn {
		d.withdrawn(now, r, a, ev.Refusal)
		return
	}
	r.avoid = append(r.avoid, a.executor)
	if r.liveAttempts() == 0 {
		d.retryOrRefuse(now, r, ev.Result)
	}
}

func (d *Dispatcher) answer(r *request, a *attempt) {
	d.finish(r)
	d.counters.Answers++
	if a.hedge {
		d.counters.HedgeWins++
	}
	d.emit(Answer{RequestID: r.id, Attempt: a.number, Backend: a.executor.backend.ID})
}

// withdrawn ends a request whose caller decided not to send it, and undoes
// what the attempt did to the budget.
func (d *Dispatcher) withdrawn(now time.Duration, r *request, a *attempt, refusal *structs.Refusal) {
	if a.first {
		d.budget.WithdrawFirst(now)
		d.counters.FirstAttempts--
	} else {
		d.budget.Refund(now)
	}
	r.counted--
	if r.liveAttempts() > 0 {
		return
	}
	if refusal == nil || r.mayHaveRun() {
		d.refuse(r, structs.CodeCancelled, 0)
		return
	}
	d.finish(r)
	d.emitRefusal(r, *refusal)
}

// retryOrRefuse schedules a retry if the request is idempotent or nothing was
// sent, and attempts, deadline and budget allow it.
func (d *Dispatcher) retryOrRefuse(now time.Duration, r *request, cause Result) {
	if r.nonIdempotent && r.maySent {
		d.refuse(r, structs.CodeOutcomeUnknown, 0)
		return
	}
	if now >= r.deadline {
		d.refuse(r, structs.CodeExpired, 0)
		return
	}
	if r.counted >= d.cfg.Service.MaxAttempts {
		d.refuse(r, structs.CodeBackendFailed, 0)
		return
	}
	retryAt := now + d.backoff.Delay(r.counted-1)
	if retryAt >= r.deadline || (d.measured(r.flow) && retryAt+d.expected(r.flow) > r.deadline) {
		d.refuse(r, structs.CodeBackendFailed, 0)
		return
	}
	if !d.budget.TryRetry(now) {
		d.counters.BudgetDenied++
		d.refuse(r, structs.CodeRetryBudget, time.Second)
		return
	}
	r.phase = phaseBackoff
	r.retryAt = retryAt
	r.retryCause = cause
}

// requeue puts a request whose backoff has ended at the head of its queue.
func (d *Dispatcher) requeue(r *request) { d.enqueue(r, true) }

// hedgeTime is when a second attempt would be sent beside this one.
func (d *Dispatcher) hedgeTime(r *request, a *attempt) time.Duration {
	if !d.cfg.Hedging || r.class != urgent || r.nonIdempotent || a.hedge {
		return never
	}
	if r.flow.estimate.samples < hedgeSamples || r.counted >= d.cfg.Service.MaxAttempts {
		return never
	}
	return a.sent + max(hedgeFloor, hedgeFactor*r.flow.estimate.p95)
}

// hedgeIfDue sends a second attempt to another executor when the first is far
// beyond its p95. Without a free slot or budget it is tried again later.
func (d *Dispatcher) hedgeIfDue(now time.Duration, r *request) {
	if r.liveAttempts() != 1 || r.counted >= d.cfg.Service.MaxAttempts {
		return
	}
	a := r.onlyLive()
	if a.hedgeAt > now {
		return
	}
	a.hedgeAt = now + max(hedgeFloor, r.flow.estimate.p95)
	if now+d.expected(r.flow) > r.deadline || !d.sparesSlots() {
		return
	}
	r.avoid = append(r.avoid, a.executor)
	e, leaseIndex := d.pick(now, r)
	r.avoid = r.avoid[:len(r.avoid)-1]
	if e == nil || e == a.executor || !d.budget.TryRetry(now) {
		return
	}
	a.hedgeAt = never
	d.send(now, r, e, leaseIndex, sendMode{hedge: true})
}

// sparesSlots reports whether a slot may go to a hedge. While urgent requests
// wait, a second attempt would take a slot from a first one. While normal
// requests wait, the policy decides which of the two matters more.
func (d *Dispatcher) sparesSlots() bool {
	if d.free() <= 0 || d.queues[urgent].queued > 0 {
		return false
	}
	return d.queues[normal].queued == 0 || d.tuning.balance > 0.5
}

func (r *request) onlyLive() *attempt {
	for i := range r.attempts {
		if !r.attempts[i].held {
			return &r.attempts[i]
		}
	}
	return nil
}

// giveUp ends an attempt whose time is over, without waiting for its result.
func (d *Dispatcher) giveUp(now time.Duration, r *request, i int) {
	a := r.attempts[i]
	ev := AttemptFinished{Result: ResultTimeout, ServiceTime: now - a.sent}
	d.learn(now, r, &a, ev)
	d.closeAttempt(r, &a)
	d.hold(now, r, &r.attempts[i])
	if r.phase == phaseRunning {
		d.conclude(now, r, &a, ev)
	}
}

// abandon gives up all attempts of a request that has had its final effect.
func (d *Dispatcher) abandon(now time.Duration, r *request) {
	for i := range r.attempts {
		a := &r.attempts[i]
		if !a.held {
			d.closeAttempt(r, a)
			d.hold(now, r, a)
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

// hold keeps the slot of a given-up attempt counted, as the executor does not
// notice the end of the connection while it works.
func (d *Dispatcher) hold(now time.Duration, r *request, a *attempt) {
	a.held = true
	a.heldUntil = now + min(holdMax, now-a.sent)
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
	if a.aged {
		d.aged--
	}
	d.dropIfGone(a.executor)
}

// learn updates the estimates of the flow and the health of the executor.
func (d *Dispatcher) learn(now time.Duration, r *request, a *attempt, ev AttemptFinished) {
	if ev.Result == ResultWithdrawn {
		return
	}
	elapsed := now - a.sent
	if ev.ServiceTime > 0 {
		elapsed = min(elapsed, ev.ServiceTime)
	}
	if ev.Result == ResultOK {
		d.learnAnswer(now, r, a, elapsed)
		return
	}
	// A timeout that was cut short by the deadline says nothing about the
	// executor.
	if ev.Result == ResultTimeout && elapsed < d.safeTime(r.flow) && elapsed < d.cfg.Service.AttemptTimeout {
		return
	}
	if ev.Result == ResultTimeout {
		a.executor.measure(now, maxRatio)
	}
	if a.executor.failed(now) {
		d.counters.BreakersOpened++
		d.stale = true
	}
}

func (d *Dispatcher) learnAnswer(now time.Duration, r *request, a *attempt, elapsed time.Duration) {
	expected := d.expected(r.flow)
	if d.measured(r.flow) {
		a.executor.measure(now, float64(elapsed)/float64(expected))
	}
	if a.executor.breaker != breakerClosed {
		d.stale = true
	}
	a.executor.succeeded(now)
	r.flow.estimate.observe(elapsed)
	d.classTotal[r.class].observe(elapsed)
	over := min(elapsed.Seconds()/r.cost-1, fairCorrection) * r.cost
	r.flow.virtual += max(-r.cost, over) / r.flow.weight
}
