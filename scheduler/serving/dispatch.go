package serving

import (
	"time"

	"cranberrydrum.dev/scheduler/structs"
)

// dispatch sends queued requests while slots are available to them. Requests
// past the aging threshold of their class come first, within their share of the
// slots. Then the classes follow by importance, and within a class the customer
// with the least service time received for its weight. A tier for which no
// executor has a slot does not block shorter tiers.
func (d *Dispatcher) dispatch(now time.Duration) {
	if d.queued == 0 || d.free() <= 0 {
		return
	}
	d.dispatchRound++
	var blocked blockedTiers
	for d.queued > 0 && d.free() > 0 {
		r, aged := d.nextRequest(now, &blocked)
		if r == nil {
			return
		}
		if d.refuseIfTooLate(now, r) {
			continue
		}
		e, leaseIndex := d.selectExecutor(now, r)
		if e == nil {
			d.markBlocked(r, &blocked)
			continue
		}
		d.updateWaitCorrection(now, r)
		d.dequeueHead(r)
		d.send(now, r, e, leaseIndex, sendMode{aged: aged})
		d.rescheduleOrRemove(r)
	}
}

// markBlocked excludes work that found no slot from the rest of the round. A
// request with additional constraints blocks only its own flow.
func (d *Dispatcher) markBlocked(r *request, blocked *blockedTiers) {
	r.flow.skipRound = d.dispatchRound
	if r.nonIdempotent || len(r.avoid) > 0 {
		return
	}
	for c := r.class; c < classCount; c++ {
		for t := r.flow.tier; t < tierCount; t++ {
			blocked[c][t] = true
		}
	}
}

// blockedTiers marks the classes and tiers for which no executor has a slot. The
// less important classes and longer tiers are marked as well, because fewer
// slots are open to them.
type blockedTiers [classCount][tierCount]bool

// nextRequest returns the request to dispatch next, and whether it was selected
// by aging instead of by class and fair share.
func (d *Dispatcher) nextRequest(now time.Duration, blocked *blockedTiers) (*request, bool) {
	if r := d.nextAgedRequest(now, blocked); r != nil {
		return r, true
	}
	for c := range classCount {
		q := &d.queues[c]
		if q.queued == 0 || !d.mayStart(c) {
			continue
		}
		if f := q.next(d.dispatchRound, blocked); f != nil {
			return f.first(), false
		}
	}
	return nil, false
}

// nextAgedRequest returns the request furthest past the aging threshold of its
// class, or nil if there is none or aged requests already use their share of
// the slots.
func (d *Dispatcher) nextAgedRequest(now time.Duration, blocked *blockedTiers) *request {
	if d.agedRunning >= max(1, int(d.tuning.agedShare*float64(d.capacity))) {
		return nil
	}
	var best *request
	var bestOver time.Duration
	for c := normal; c < classCount; c++ {
		if d.queues[c].queued == 0 || !d.mayStart(c) {
			continue
		}
		for _, f := range d.queues[c].active {
			if f.skipRound == d.dispatchRound || blocked[c][f.tier] {
				continue
			}
			r := f.first()
			over := now - r.arrived - d.tuning.agingThreshold[c]
			if over < 0 || (best != nil && (over < bestOver || (over == bestOver && best.id < r.id))) {
				continue
			}
			best, bestOver = r, over
		}
	}
	return best
}

// refuseIfTooLate refuses a queued request that cannot complete before its
// deadline, so that it does not take a slot from one that can.
func (d *Dispatcher) refuseIfTooLate(now time.Duration, r *request) bool {
	if !d.isTooLate(now, r, 0) {
		return false
	}
	d.updateWaitCorrection(now, r)
	d.dequeueHead(r)
	d.refuse(r, structs.CodeDeadlineUnreachable)
	d.rescheduleOrRemove(r)
	return true
}

// dequeueHead removes a request that is at the head of its flow.
func (d *Dispatcher) dequeueHead(r *request) {
	r.flow.popFront()
	d.accountDequeued(r)
}

// selectExecutor returns the least loaded executor that may take the request and
// the index of the lease to use (-1 for one of this host's own slots), or nil.
// Executors on which an attempt of the request failed are used again only if no
// other executor is up.
func (d *Dispatcher) selectExecutor(now time.Duration, r *request) (*executor, int) {
	if last := r.affineExecutor(); last != nil {
		return d.findSlot(now, r, last)
	}
	avoid := d.hasAlternative(r)
	var best *executor
	var bestScore float64
	bestLease := -1
	count := len(d.sortedExecutors)
	// Executors may have been removed since the last search.
	if d.searchStart >= count {
		d.searchStart = 0
	}
	for i := range count {
		index := d.searchStart + i
		if index >= count {
			index -= count
		}
		e := d.sortedExecutors[index]
		if e.running >= e.limit || (avoid && r.avoids(e)) {
			continue
		}
		score := float64(e.running+1) / float64(e.limit) * e.slowdown
		if best != nil && score >= bestScore {
			continue
		}
		if fits, leaseIndex := d.findSlot(now, r, e); fits != nil {
			best, bestScore, bestLease = e, score, leaseIndex
		}
	}
	if best != nil {
		d.searchStart = (d.searchStart + 1) % count
	}
	return best, bestLease
}

// affineExecutor returns the executor for which the request is kept, or nil. A request
// is not kept for an executor whose breaker is not closed: the executor may have died,
// and until its announcement expires the request would wait at the head of its flow, and
// with it all other requests of the customer.
func (r *request) affineExecutor() *executor {
	if !r.affinity || r.sends == 0 || len(r.avoid) == 0 {
		return nil
	}
	last := r.avoid[len(r.avoid)-1]
	if last.backend.State != structs.BackendUp || last.removed || last.breaker != breakerClosed {
		return nil
	}
	return last
}

// hasAlternative reports whether an executor is up on which no attempt of the
// request has failed.
func (d *Dispatcher) hasAlternative(r *request) bool {
	if len(r.avoid) == 0 {
		return false
	}
	for _, e := range d.sortedExecutors {
		if e.backend.State == structs.BackendUp && e.breaker == breakerClosed && e.limit > 0 && !r.avoids(e) {
			return true
		}
	}
	return false
}

func (r *request) avoids(e *executor) bool {
	for _, other := range r.avoid {
		if other == e {
			return true
		}
	}
	return false
}

// findSlot returns the executor if it has a slot for the request now, and the
// index of the lease to use (-1 for an own slot).
//
// Long work may use only a part of the slots as long as shorter work arrives.
// A borrowed slot is used only for idempotent requests that will probably
// complete before the lease ends, because the attempt is aborted at that time.
func (d *Dispatcher) findSlot(now time.Duration, r *request, e *executor) (*executor, int) {
	if e.running >= e.limit || !e.usable(now) {
		return nil, -1
	}
	if r.nonIdempotent && d.awaitsIdempotentTest(now, e) {
		return nil, -1
	}
	if !d.withinTierLimits(r.class, r.flow.tier, e) {
		return nil, -1
	}
	if e.ownRunning < e.own {
		return e, -1
	}
	// After the share has shrunk, attempts in excess of it count against the
	// leases.
	if r.nonIdempotent || e.ownRunning > e.own {
		return nil, -1
	}
	if i := e.findLease(now + d.conservativeServiceTime(r.flow)); i >= 0 {
		return e, i
	}
	return nil, -1
}

// awaitsIdempotentTest reports whether an executor whose breaker is half-open is
// left to idempotent requests, because the outcome of the request that tests it may
// stay unknown. It is not if no other executor could serve the request, or if no
// idempotent request has come for as long as the breaker was open: an executor that
// is never tested is never used again.
func (d *Dispatcher) awaitsIdempotentTest(now time.Duration, e *executor) bool {
	return e.breaker != breakerClosed && d.executorsClosed > 0 && now < e.openUntil+e.openFor
}

// withinTierLimits reports whether an executor may take one more attempt of a
// class and tier. Long attempts also count against the limit of the medium tier.
func (d *Dispatcher) withinTierLimits(c classIndex, requestTier tier, e *executor) bool {
	if requestTier == long && e.byTier[long] >= d.tiers.longTierLimit(e.limit, c) {
		return false
	}
	running := 0
	for t := long; t >= medium; t-- {
		running += d.byTier[t]
		if t <= requestTier && d.tiers.headroom[c][t] > 0 && running >= d.tierLimits[c][t] {
			return false
		}
	}
	return true
}

// conservativeServiceTime returns a time within which nearly all requests of a
// flow complete.
func (d *Dispatcher) conservativeServiceTime(f *flow) time.Duration {
	const margin = 2
	return margin * max(f.estimate.p95, d.expectedServiceTime(f))
}

// sendMode tells whether an attempt is a hedge or was selected by aging.
type sendMode struct{ hedge, aged bool }

// send starts an attempt of a request on an executor.
func (d *Dispatcher) send(now time.Duration, r *request, e *executor, leaseIndex int, mode sendMode) {
	r.sends++
	r.counted++
	a := attempt{
		number:    r.sends,
		executor:  e,
		tier:      r.flow.tier,
		first:     r.counted == 1,
		hedge:     mode.hedge,
		aged:      mode.aged,
		sent:      now,
		started:   !r.reportsStart,
		startedAt: now,
		timeoutAt: min(now+d.cfg.Service.AttemptTimeout, r.deadline),
	}
	if leaseIndex >= 0 {
		a.lease = e.leases[leaseIndex].ID
		a.timeoutAt = min(a.timeoutAt, e.leases[leaseIndex].Until)
	}
	a.tierEndsAt = d.tierEnd(&a)
	a.hedgeAt = d.hedgeTime(r, &a)
	e.acquire(&a)
	d.running++
	d.byTier[a.tier]++
	d.queues[r.class].running++
	r.flow.running++
	if mode.aged {
		d.agedRunning++
		d.counters.Aged++
	}
	d.recordSend(now, r, mode.hedge)
	r.phase = phaseRunning
	r.attempts = append(r.attempts, a)
	d.emit(Send{
		RequestID:   r.id,
		Attempt:     a.number,
		Backend:     e.backend.ID,
		Address:     e.backend.Address,
		Timeout:     a.timeoutAt - now,
		Connections: d.connections(e),
		Fresh:       r.nonIdempotent || a.probe,
		Hedge:       mode.hedge,
	})
}

// recordSend counts an attempt and, for a first attempt, updates fair sharing
// and the retry budget. A retry or hedge took its token from the budget when it
// was decided.
func (d *Dispatcher) recordSend(now time.Duration, r *request, hedge bool) {
	d.counters.SentBytes += uint64(r.bytes)
	switch {
	case hedge:
		d.counters.Hedges++
	case r.counted == 1:
		d.counters.FirstAttempts++
		d.budget.FirstAttempt(now)
		d.queues[r.class].charge(r)
	default:
		d.counters.Retries[r.retryCause]++
	}
}

// tierEnd returns when an attempt exceeds the service time of its tier.
func (d *Dispatcher) tierEnd(a *attempt) time.Duration {
	if !d.tiers.valid || a.tier >= long {
		return never
	}
	return a.sent + d.tiers.bounds[a.tier]
}

// moveToNextTier counts an attempt that exceeds the service time of its tier in
// the next longer tier, so that it uses one of the slots open to longer work.
func (d *Dispatcher) moveToNextTier(now time.Duration, r *request, a *attempt) {
	e := a.executor
	e.byTier[a.tier]--
	d.byTier[a.tier]--
	a.tier++
	e.byTier[a.tier]++
	d.byTier[a.tier]++
	a.tierEndsAt = d.tierEnd(a)
	if a.tierEndsAt <= now {
		a.tierEndsAt = never
	}
}
