package placement

import (
	"cmp"
	"math"
	"math/bits"
	"slices"
	"time"

	"cranberrydrum.dev/scheduler/guarantee"
	"cranberrydrum.dev/scheduler/structs"
)

// A job that runs longer than estimated is expected to run for another half of its
// elapsed time (elapsed time / overrunDivisor), but at least minOverrun, because
// run times are heavy-tailed. With a fixed short remaining time, accelerators of
// jobs that overrun by far would always seem to be free soon, and reservations
// would be placed there.
const (
	overrunDivisor = 2
	minOverrun     = time.Minute
)

// unknownEnd is the expected end of a job without an estimate.
const unknownEnd = time.Duration(math.MaxInt64)

// expectedEnd returns when a running job is expected to free its accelerators.
func (r *round) expectedEnd(j *job) time.Duration {
	switch {
	case r.isStopping(j):
		return max(r.stopBy(j), r.now+minOverrun)
	case j.estimate <= 0:
		return unknownEnd
	case j.started == 0: // reserved and not started yet
		return r.now + j.estimate
	case j.started+j.estimate > r.now:
		return j.started + j.estimate
	default:
		return r.now + max((r.now-j.started)/overrunDivisor, minOverrun)
	}
}

// freeAt returns when all given accelerators of a worker are expected to be free.
func (r *round) freeAt(w *worker, mask guarantee.Mask) time.Duration {
	at := r.now
	for _, o := range w.jobs {
		if o.mask&mask != 0 {
			at = max(at, r.expectedEnd(o.job))
		}
	}
	return at
}

// wholeWorkerFreeAt returns when a whole worker is expected to be free, assuming
// that every job that may be migrated is migrated. Each reservation examines all
// racks, so the value is computed only once per round; it does not reflect victims
// that are chosen later in the round.
func (r *round) wholeWorkerFreeAt(w *worker) time.Duration {
	if w.wholeAtRound != r.s.roundNumber {
		w.wholeAtRound = r.s.roundNumber
		w.wholeFreeAt = r.now
		for _, o := range w.jobs {
			w.wholeFreeAt = max(w.wholeFreeAt, r.expectedVacancy(o.job))
		}
	}
	return w.wholeFreeAt
}

// reserve reserves the accelerators that are expected to be free first for a
// starving gang. It reports whether it could.
func (r *round) reserve(j *job) bool {
	n := j.spec.Accelerators
	if len(r.reservations) >= r.maxReservations() || r.unreservable[n] {
		return false
	}
	parts, start := r.earliestParts(j)
	if parts == nil {
		r.unreservable[n] = len(j.avoid) == 0
		return false
	}
	for _, p := range parts {
		w := r.markModified(p.Worker)
		if w.reserved == 0 {
			w.reservedUntil = start
			r.reservedWorkers = append(r.reservedWorkers, p.Worker)
		}
		w.reservedUntil = min(w.reservedUntil, start)
		r.s.recount(w, func() { w.reserved |= p.Mask })
	}
	clear(r.unbackfillable)
	r.reservations = append(r.reservations, reservation{job: j, parts: parts, start: start})
	return true
}

// reservation holds accelerators for a starving gang until the end of a round.
type reservation struct {
	job   *job
	parts []guarantee.Part
	start time.Duration
	// started is set if the gang starts in this round.
	started bool
}

// reportReserved reports that a job waits for its reservation, with the expected
// start.
func (r *round) reportReserved(v *reservation) {
	r.reportWaiting(v.job, WaitReserved)
	r.plan.Waiting[len(r.plan.Waiting)-1].ExpectedStart = v.start
}

// reserveGangs reserves accelerators for the oldest starving gangs of two or more
// whole workers before guaranteed and urgent jobs are placed. Guaranteed and urgent
// jobs then use reserved accelerators only if no others are free, so that a rack can
// drain. They still preempt no job while free accelerators, including reserved ones,
// suffice.
func (r *round) reserveGangs() {
	var gangs []*job
	for _, c := range r.s.sortedCustomers {
		for _, b := range c.buckets {
			if b.size < 2*r.s.perWorker || b.priority >= structs.PriorityUrgent {
				continue
			}
			for _, j := range b.jobs[:min(len(b.jobs), r.s.cfg.MaxReservations)] {
				if r.starving(j) && r.mayReserve(j) {
					gangs = append(gangs, j)
				}
			}
		}
	}
	slices.SortFunc(gangs, func(a, b *job) int {
		return cmp.Or(cmp.Compare(r.effectivePriority(b), r.effectivePriority(a)), compareQueued(a, b))
	})
	for _, j := range gangs {
		if r.reserve(j) {
			j.decidedRound = r.s.roundNumber
		}
	}
}

// mayReserve reports whether a gang can run, is within its customer's quota and is
// not to be placed inside its customer's guarantee.
func (r *round) mayReserve(j *job) bool {
	c, n := j.customer, j.spec.Accelerators
	if neverRunnable(r.s.capacity, c.quota, n) != nil || !c.withinQuota(n) {
		return false
	}
	return c.account == noAccount || !r.mayFitGuarantee(c, n)
}

// startReserved starts the gangs whose reserved accelerators are all free.
func (r *round) startReserved() {
	for i := range r.reservations {
		v := &r.reservations[i]
		if !v.job.customer.withinQuota(v.job.spec.Accelerators) || !r.isFree(v.parts) {
			r.reportReserved(v)
			continue
		}
		for _, p := range v.parts {
			w := &r.s.workers[p.Worker]
			r.s.recount(w, func() { w.reserved &^= p.Mask })
		}
		r.start(v.job, v.parts)
		v.started = true
	}
}

// isFree reports whether all given accelerators are usable, held by no job and not
// assigned in this round.
func (r *round) isFree(parts []guarantee.Part) bool {
	for _, p := range parts {
		w := &r.s.workers[p.Worker]
		if p.Mask&^w.free != 0 || p.Mask&w.assigned != 0 {
			return false
		}
	}
	return true
}

// earliestParts returns the accelerators for a gang that are expected to be free
// first, and the time at which they are expected to be free.
func (r *round) earliestParts(j *job) ([]guarantee.Part, time.Duration) {
	n := j.spec.Accelerators
	switch {
	case n < r.s.perWorker:
		return r.earliestCell(j, n)
	case r.s.fitsRack(j):
		return r.earliestRack(j, n)
	default:
		return r.earliestAcrossRacks(j, n)
	}
}

// reservable returns the accelerators of a worker that can be reserved.
func (r *round) reservable(j *job, w *worker) guarantee.Mask {
	if j.avoids(w) {
		return 0
	}
	return w.usable &^ (w.assigned | w.reserved)
}

// earliestCell searches for the earliest accelerators inside one worker.
func (r *round) earliestCell(j *job, n int) ([]guarantee.Part, time.Duration) {
	var best []guarantee.Part
	bestAt := unknownEnd
	level := bits.Len(uint(n - 1))
	for at := range r.s.workers {
		w := &r.s.workers[at]
		avail := r.reservable(j, w)
		for start := 0; start < r.s.perWorker; start += 1 << level {
			mask, ok := guarantee.Fit(avail&guarantee.CellAt(start, level), n)
			if !ok {
				continue
			}
			if free := r.freeAt(w, mask); free < bestAt {
				best, bestAt = []guarantee.Part{{Worker: at, Mask: mask}}, free
			}
		}
	}
	return best, bestAt
}

// expectedWorker is a worker that is expected to be free as a whole at freeAt.
type expectedWorker struct {
	worker int
	freeAt time.Duration
}

// expectedWorkers lists the workers of a rack that can be reserved as a whole,
// sorted by the time at which they are expected to be free.
func (r *round) expectedWorkers(j *job, k *rack) []expectedWorker {
	list := make([]expectedWorker, 0, len(k.workers))
	for _, at := range k.workers {
		w := &r.s.workers[at]
		if !r.s.isWhole(r.reservable(j, w)) {
			continue
		}
		if free := r.wholeWorkerFreeAt(w); free < unknownEnd {
			list = append(list, expectedWorker{at, free})
		}
	}
	slices.SortStableFunc(list, func(a, b expectedWorker) int {
		switch {
		case a.freeAt < b.freeAt:
			return -1
		case a.freeAt > b.freeAt:
			return 1
		default:
			return 0
		}
	})
	return list
}

// earliestRack searches for the rack with the lowest drainScore. The remainder of
// a gang, which is smaller than a worker, reserves a whole worker.
func (r *round) earliestRack(j *job, n int) ([]guarantee.Part, time.Duration) {
	needed := (n + r.s.perWorker - 1) / r.s.perWorker
	var best []expectedWorker
	bestScore := unknownEnd
	for i := range r.s.racks {
		if r.s.racks[i].healthy < needed {
			continue
		}
		list := r.expectedWorkers(j, &r.s.racks[i])
		if len(list) < needed {
			continue
		}
		if score := r.drainScore(list[:needed]); score < bestScore {
			best, bestScore = list[:needed], score
		}
	}
	if best == nil {
		return nil, unknownEnd
	}
	return r.partsOf(best), best[needed-1].freeAt
}

// drainScore rates the workers of a rack for a reservation, the lowest score being
// the best: the expected wait times the share of workers that are still busy. The
// share keeps a reservation on a rack that is draining already. By the expected
// end alone, which is often wrong, the reservation would change racks whenever an
// estimate changes, and would lose the workers that are idle already.
func (r *round) drainScore(list []expectedWorker) time.Duration {
	busy := 0
	for _, o := range list {
		if o.freeAt > r.now {
			busy++
		}
	}
	return (list[len(list)-1].freeAt - r.now) / time.Duration(len(list)) * time.Duration(busy)
}

// earliestAcrossRacks takes the workers that are expected to be free first, from
// all racks.
func (r *round) earliestAcrossRacks(j *job, n int) ([]guarantee.Part, time.Duration) {
	needed := (n + r.s.perWorker - 1) / r.s.perWorker
	var all []expectedWorker
	for i := range r.s.racks {
		all = append(all, r.expectedWorkers(j, &r.s.racks[i])...)
	}
	if len(all) < needed {
		return nil, unknownEnd
	}
	slices.SortStableFunc(all, func(a, b expectedWorker) int { return int(min(max(a.freeAt-b.freeAt, -1), 1)) })
	return r.partsOf(all[:needed]), all[needed-1].freeAt
}

// partsOf returns all accelerators of the listed workers as parts.
func (r *round) partsOf(list []expectedWorker) []guarantee.Part {
	var parts []guarantee.Part
	for _, o := range list {
		parts = append(parts, guarantee.Part{Worker: o.worker, Mask: guarantee.FullMask(r.s.perWorker)})
	}
	return parts
}

// findFreeMemo searches for available accelerators for a job outside a guarantee.
// A size for which there are none is not searched for again in the same round,
// because the available accelerators only become fewer. The exception is a gang
// that may be spread over racks because of the workers that it avoids.
func (r *round) findFreeMemo(j *job) []guarantee.Part {
	n := j.spec.Accelerators
	if r.unplaceable[n] && (len(j.avoid) == 0 || r.s.fitsRack(j)) {
		return nil
	}
	parts := r.findUnbound(j)
	if parts == nil {
		parts = r.findFree(j, noAccount)
	}
	if parts == nil && len(j.avoid) == 0 {
		r.unplaceable[n] = true
	}
	return parts
}

// findUnbound searches for available accelerators outside the bound blocks of all
// customers, where the job is less likely to be preempted.
func (r *round) findUnbound(j *job) []guarantee.Part {
	allowed := r.freeMask(j, noAccount)
	return r.find(j, func(at int, w *worker) guarantee.Mask {
		avail := allowed(at, w)
		if avail == 0 {
			return 0
		}
		return avail &^ r.s.ledger.BoundMask(at)
	})
}

// backfill searches for free reserved accelerators for a job that is expected to
// end before the reservation starts.
func (r *round) backfill(j *job) []guarantee.Part {
	n := j.spec.Accelerators
	if len(r.reservedWorkers) == 0 || j.estimate <= 0 || r.unbackfillable[n] {
		return nil
	}
	if parts := r.backfillBy(j, r.now+j.estimate); parts != nil {
		return parts
	}
	if len(j.avoid) == 0 && r.backfillBy(j, r.now) == nil {
		r.unbackfillable[n] = true
	}
	return nil
}

// backfillBy searches for free reserved accelerators for a job that is expected to
// end at the given time.
func (r *round) backfillBy(j *job, end time.Duration) []guarantee.Part {
	allowed := func(_ int, w *worker) guarantee.Mask {
		if j.avoids(w) {
			return 0
		}
		if w.reserved != 0 && end > w.reservedUntil {
			return w.available()
		}
		return w.free &^ w.assigned
	}
	n := j.spec.Accelerators
	tried := -1
	for _, at := range r.reservedWorkers {
		w := &r.s.workers[at]
		if end > w.reservedUntil {
			continue
		}
		if n < r.s.perWorker {
			if mask, ok := guarantee.Fit(allowed(at, w), n); ok {
				return []guarantee.Part{{Worker: at, Mask: mask}}
			}
			continue
		}
		if w.rack == tried {
			continue
		}
		tried = w.rack
		if parts := r.gangInRack(&r.s.racks[w.rack], n, allowed); parts != nil {
			return parts
		}
	}
	return nil
}
