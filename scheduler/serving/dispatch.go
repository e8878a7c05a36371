package serving

import (
	"time"

	"cranberrydrum.dev/scheduler/structs"
)

// dispatch sends queued requests as long as one of them may have a slot.
// The order is: requests that have waited very long, within their share; then
// the classes by importance; within a class the customer that has received
// the least. A size for which no executor has room does not block shorter work.
func (d *Dispatcher) dispatch(now time.Duration) {
	if d.queued == 0 || d.free() <= 0 {
		return
	}
	d.round++
	var blocked sizeBlocks
	for d.queued > 0 && d.free() > 0 {
		r, aged := d.candidate(now, &blocked)
		if r == nil {
			return
		}
		if d.dropHopeless(now, r) {
			continue
		}
		e, leaseIndex := d.pick(now, r)
		if e == nil {
			d.block(r, &blocked)
			continue
		}
		d.learnWait(now, r)
		d.takeFromQueue(r)
		d.send(now, r, e, leaseIndex, sendMode{aged: aged})
		d.settle(r)
	}
}

// block keeps the rest of the round from trying again what has no slot. A
// request with constraints of its own blocks only its flow.
func (d *Dispatcher) block(r *request, blocked *sizeBlocks) {
	r.flow.skipRound = d.round
	if r.nonIdempotent || len(r.avoid) > 0 {
		return
	}
	for c := r.class; c < classCount; c++ {
		for t := r.flow.tier; t < tierCount; t++ {
			blocked[c][t] = true
		}
	}
}

// sizeBlocks marks the classes and sizes for which no executor has room. Less
// important and longer work has no room either.
type sizeBlocks [classCount][tierCount]bool

// candidate returns the request that is next, and whether it is taken out of
// turn because of its age.
func (d *Dispatcher) candidate(now time.Duration, blocked *sizeBlocks) (*request, bool) {
	if r := d.oldest(now, blocked); r != nil {
		return r, true
	}
	for c := range classCount {
		q := &d.queues[c]
		if q.queued == 0 || !d.mayStart(c) {
			continue
		}
		if f := q.next(d.round, blocked); f != nil {
			return f.first(), false
		}
	}
	return nil, false
}

// oldest returns the request furthest beyond the age at which its class is
// taken out of turn, if fewer than their share of the slots run such requests.
func (d *Dispatcher) oldest(now time.Duration, blocked *sizeBlocks) *request {
	if d.aged >= max(1, int(d.tuning.agedShare*float64(d.capacity))) {
		return nil
	}
	var best *request
	var bestOver time.Duration
	for c := normal; c < classCount; c++ {
		if d.queues[c].queued == 0 || !d.mayStart(c) {
			continue
		}
		for _, f := range d.queues[c].active {
			if f.skipRound == d.round || blocked[c][f.tier] {
				continue
			}
			r := f.first()
			over := now - r.arrived - d.tuning.ageAfter[c]
			if over < 0 || (best != nil && (over < bestOver || (over == bestOver && best.id < r.id))) {
				continue
			}
			best, bestOver = r, over
		}
	}
	return best
}

// dropHopeless refuses a queued request that cannot end before its deadline,
// before it takes a slot from one that can.
func (d *Dispatcher) dropHopeless(now time.Duration, r *request) bool {
	if !d.measured(r.flow) || now+d.needed(r) <= r.deadline {
		return false
	}
	d.learnWait(now, r)
	d.takeFromQueue(r)
	d.refuse(r, structs.CodeDeadline, 0)
	d.settle(r)
	return true
}

// takeFromQueue removes the head of a flow.
func (d *Dispatcher) takeFromQueue(r *request) {
	r.flow.popFront()
	d.dequeued(r)
}

// pick returns the least loaded executor that may take the request, and the
// lease to use (-1 for an own slot), or nil. Executors on which an attempt has
// failed are used again only if there is no other one.
func (d *Dispatcher) pick(now time.Duration, r *request) (*executor, int) {
	if r.affinity && r.sends > 0 && len(r.avoid) > 0 {
		last := r.avoid[len(r.avoid)-1]
		if last.backend.State == structs.BackendUp && !last.removed {
			return d.slotOn(now, r, last)
		}
	}
	avoid := d.otherExists(r)
	var best *executor
	var bestScore float64
	bestLease := -1
	count := len(d.order)
	// The list may have become shorter since the last search.
	if d.next >= count {
		d.next = 0
	}
	for i := range count {
		index := d.next + i
		if index >= count {
			index -= count
		}
		e := d.order[index]
		if e.running >= e.limit || (avoid && r.avoids(e)) {
			continue
		}
		score := float64(e.running+1) / float64(e.limit) * e.factor
		if best != nil && score >= bestScore {
			continue
		}
		if fits, leaseIndex := d.slotOn(now, r, e); fits != nil {
			best, bestScore, bestLease = e, score, leaseIndex
		}
	}
	if best != nil {
		d.next = (d.next + 1) % count
	}
	return best, bestLease
}

// otherExists reports whether an executor that has not failed the request is up.
func (d *Dispatcher) otherExists(r *request) bool {
	if len(r.avoid) == 0 {
		return false
	}
	for _, e := range d.order {
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

// slotOn returns the executor if it has a slot for the request now.
//
// Long work may use only a part of the slots as long as shorter work arrives.
// A borrowed slot takes only idempotent requests that will probably have ended
// when the lease does, because the attempt is cut off there.
func (d *Dispatcher) slotOn(now time.Duration, r *request, e *executor) (*executor, int) {
	if e.running >= e.limit || !e.usable(now) {
		return nil, -1
	}
	if r.nonIdempotent && e.breaker != breakerClosed && d.up > 1 {
		return nil, -1
	}
	if !d.roomFor(r.class, r.flow.tier, e) {
		return nil, -1
	}
	if e.ownRunning < e.own {
		return e, -1
	}
	// After a cut of the share, attempts beyond it count against the leases.
	if r.nonIdempotent || e.ownRunning > e.own {
		return nil, -1
	}
	if i := e.borrowed(now + d.safeTime(r.flow)); i >= 0 {
		return e, i
	}
	return nil, -1
}

// roomFor reports whether an executor may take one more attempt of a class and
// size. Long attempts are bounded by the pool of medium ones, too.
func (d *Dispatcher) roomFor(c classIndex, size tier, e *executor) bool {
	if size == long && e.byTier[long] >= d.sizes.longAllowance(e.limit, c) {
		return false
	}
	running := 0
	for t := long; t >= medium; t-- {
		running += d.byTier[t]
		if t <= size && d.sizes.keep[c][t] > 0 && running >= d.pools[c][t] {
			return false
		}
	}
	return true
}

// safeTime is a time in which nearly all requests of a flow end.
func (d *Dispatcher) safeTime(f *flow) time.Duration {
	const margin = 2
	return margin * max(f.estimate.p95, d.expected(f))
}

// sendMode says why an attempt is sent out of the usual order.
type sendMode struct{ hedge, aged bool }

// send starts an attempt.
func (d *Dispatcher) send(now time.Duration, r *request, e *executor, leaseIndex int, mode sendMode) {
	r.sends++
	r.counted++
	a := attempt{
		number:   r.sends,
		executor: e,
		tier:     r.flow.tier,
		first:    r.counted == 1,
		hedge:    mode.hedge,
		aged:     mode.aged,
		sent:     now,
		until:    min(now+d.cfg.Service.AttemptTimeout, r.deadline),
	}
	if leaseIndex >= 0 {
		a.lease = e.leases[leaseIndex].ID
		a.until = min(a.until, e.leases[leaseIndex].Until)
	}
	a.tierAt = d.tierEnd(&a)
	a.hedgeAt = d.hedgeTime(r, &a)
	e.acquire(&a)
	d.running++
	d.byTier[a.tier]++
	d.queues[r.class].running++
	if mode.aged {
		d.aged++
		d.counters.Aged++
	}
	d.account(now, r, mode.hedge)
	r.phase = phaseRunning
	r.attempts = append(r.attempts, a)
	d.emit(Send{
		RequestID:   r.id,
		Attempt:     a.number,
		Backend:     e.backend.ID,
		Address:     e.backend.Address,
		Timeout:     a.until - now,
		Connections: d.connections(e),
		Fresh:       r.nonIdempotent || a.probe,
		Hedge:       mode.hedge,
	})
}

// account charges fair sharing and the retry budget. The token of a retry was
// taken when it was decided.
func (d *Dispatcher) account(now time.Duration, r *request, hedge bool) {
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

// tierEnd is when an attempt has run for longer than its size allows.
func (d *Dispatcher) tierEnd(a *attempt) time.Duration {
	if !d.sizes.valid || a.tier >= long {
		return never
	}
	return a.sent + d.sizes.bounds[a.tier]
}

// growTier counts a straggler as one size longer, so that it takes one of the
// slots that long work may use.
func (d *Dispatcher) growTier(now time.Duration, r *request, a *attempt) {
	e := a.executor
	e.byTier[a.tier]--
	d.byTier[a.tier]--
	a.tier++
	e.byTier[a.tier]++
	d.byTier[a.tier]++
	a.tierAt = d.tierEnd(a)
	if a.tierAt <= now {
		a.tierAt = never
	}
}
