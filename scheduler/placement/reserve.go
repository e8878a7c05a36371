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

// A job that runs longer than estimated is expected to run for a further share
// of its elapsed time, because run times are heavy-tailed. With a fixed short
// rest, reservations would settle where stragglers run.
const (
	overrunShare = 2
	overrunSlack = time.Minute
)

// unknownEnd is the expected end of a job without an estimate.
const unknownEnd = time.Duration(math.MaxInt64)

// expectedEnd returns when a running job is expected to free its accelerators.
func (r *round) expectedEnd(j *job) time.Duration {
	switch {
	case r.leaving(j):
		return max(r.stopBy(j), r.now+overrunSlack)
	case j.estimate <= 0:
		return unknownEnd
	case j.started == 0: // reserved and not started yet
		return r.now + j.estimate
	case j.started+j.estimate > r.now:
		return j.started + j.estimate
	default:
		return r.now + max((r.now-j.started)/overrunShare, overrunSlack)
	}
}

// freeAt returns when some accelerators of a worker are expected to be free.
func (r *round) freeAt(w *worker, mask guarantee.Mask) time.Duration {
	at := r.now
	for _, o := range w.jobs {
		if o.mask&mask != 0 {
			at = max(at, r.expectedEnd(o.job))
		}
	}
	return at
}

// wholeAt returns when a whole worker can be free, with migration. The value of
// a round is kept, because each reservation looks at all racks; it ignores
// victims chosen later in the round.
func (r *round) wholeAt(w *worker) time.Duration {
	if w.wholeStamp != r.s.stamp {
		w.wholeStamp = r.s.stamp
		w.wholeAt = r.now
		for _, o := range w.jobs {
			w.wholeAt = max(w.wholeAt, r.vacatedAt(o.job))
		}
	}
	return w.wholeAt
}

// reserve holds the accelerators that are expected to be free first for a
// starving gang.
func (r *round) reserve(j *job) bool {
	n := j.spec.Accelerators
	if len(r.reservations) >= r.maxReservations() || r.unreservable[n] {
		return false
	}
	parts, start := r.earliest(j)
	if parts == nil {
		r.unreservable[n] = len(j.avoid) == 0
		return false
	}
	for _, p := range parts {
		w := r.touch(p.Worker)
		if w.hold == 0 {
			w.holdUntil = start
			r.held = append(r.held, p.Worker)
		}
		w.holdUntil = min(w.holdUntil, start)
		r.s.recount(w, func() { w.hold |= p.Mask })
	}
	clear(r.backfillFull)
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

// waitReserved reports a reservation.
func (r *round) waitReserved(v *reservation) {
	r.wait(v.job, WaitReserved)
	r.plan.Waiting[len(r.plan.Waiting)-1].ExpectedStart = v.start
}

// reserveGangs reserves for the oldest starving gangs of several workers before
// guaranteed and urgent jobs are placed. Those use reserved accelerators only
// if no others are free, so a rack can drain, and they still never preempt
// while something is free.
func (r *round) reserveGangs() {
	var gangs []*job
	for _, c := range r.s.names {
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
		return cmp.Or(cmp.Compare(r.level(b), r.level(a)), compareQueued(a, b))
	})
	for _, j := range gangs {
		if r.reserve(j) {
			j.stamp = r.s.stamp
		}
	}
}

// mayReserve reports whether neither the quota nor the guarantee of its
// customer decides on a gang.
func (r *round) mayReserve(j *job) bool {
	c, n := j.customer, j.spec.Accelerators
	if neverRunnable(r.s.capacity, c.quota, n) != nil || !c.fits(n) {
		return false
	}
	return c.account == noAccount || !r.entitled(c, n)
}

// settleReservations starts the gangs whose reserved accelerators are all free.
func (r *round) settleReservations() {
	for i := range r.reservations {
		v := &r.reservations[i]
		if !v.job.customer.fits(v.job.spec.Accelerators) || !r.isFree(v.parts) {
			r.waitReserved(v)
			continue
		}
		for _, p := range v.parts {
			w := &r.s.workers[p.Worker]
			r.s.recount(w, func() { w.hold &^= p.Mask })
		}
		r.start(v.job, v.parts)
		v.started = true
	}
}

// isFree reports whether nothing occupies some accelerators.
func (r *round) isFree(parts []guarantee.Part) bool {
	for _, p := range parts {
		w := &r.s.workers[p.Worker]
		if p.Mask&^w.free != 0 || p.Mask&w.taken != 0 {
			return false
		}
	}
	return true
}

// earliest returns the place of a gang that is expected to be free first.
func (r *round) earliest(j *job) ([]guarantee.Part, time.Duration) {
	n := j.spec.Accelerators
	switch {
	case n < r.s.perWorker:
		return r.earliestCell(j, n)
	case r.s.fitsRack(j):
		return r.earliestRack(j, n)
	default:
		return r.earliestWide(j, n)
	}
}

// reservable returns the accelerators of a worker that can be reserved.
func (r *round) reservable(j *job, w *worker) guarantee.Mask {
	if j.avoids(w) {
		return 0
	}
	return w.usable &^ (w.taken | w.hold)
}

// earliestCell looks for a place inside one worker.
func (r *round) earliestCell(j *job, n int) ([]guarantee.Part, time.Duration) {
	var best []guarantee.Part
	bestAt := unknownEnd
	level := bits.Len(uint(n - 1))
	for at := range r.s.workers {
		w := &r.s.workers[at]
		room := r.reservable(j, w)
		for start := 0; start < r.s.perWorker; start += 1 << level {
			mask, ok := guarantee.Fit(room&guarantee.CellAt(start, level), n)
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

// opening is a worker that will be available as a whole.
type opening struct {
	worker int
	at     time.Duration
}

// openings lists the workers of a rack that can be reserved as a whole, the
// earliest first.
func (r *round) openings(j *job, k *rack) []opening {
	list := make([]opening, 0, len(k.workers))
	for _, at := range k.workers {
		w := &r.s.workers[at]
		if !r.s.isWhole(r.reservable(j, w)) {
			continue
		}
		if free := r.wholeAt(w); free < unknownEnd {
			list = append(list, opening{at, free})
		}
	}
	slices.SortStableFunc(list, func(a, b opening) int {
		switch {
		case a.at < b.at:
			return -1
		case a.at > b.at:
			return 1
		default:
			return 0
		}
	})
	return list
}

// earliestRack looks for the rack in which enough workers are free first. The
// remainder of a gang reserves a whole worker.
func (r *round) earliestRack(j *job, n int) ([]guarantee.Part, time.Duration) {
	needed := (n + r.s.perWorker - 1) / r.s.perWorker
	var best []opening
	bestScore := unknownEnd
	for i := range r.s.racks {
		if r.s.racks[i].healthy < needed {
			continue
		}
		list := r.openings(j, &r.s.racks[i])
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
	return r.partsOf(best), best[needed-1].at
}

// drainScore rates a rack for a reservation: the expected wait times the share
// of workers that are still busy. The share keeps a reservation on a rack that
// is already draining; by the expected end alone, which is often wrong, it
// would move on each time an estimate changes and lose the idle workers.
func (r *round) drainScore(list []opening) time.Duration {
	busy := 0
	for _, o := range list {
		if o.at > r.now {
			busy++
		}
	}
	return (list[len(list)-1].at - r.now) / time.Duration(len(list)) * time.Duration(busy)
}

// earliestWide takes the workers of all racks that are free first.
func (r *round) earliestWide(j *job, n int) ([]guarantee.Part, time.Duration) {
	needed := (n + r.s.perWorker - 1) / r.s.perWorker
	var all []opening
	for i := range r.s.racks {
		all = append(all, r.openings(j, &r.s.racks[i])...)
	}
	if len(all) < needed {
		return nil, unknownEnd
	}
	slices.SortStableFunc(all, func(a, b opening) int { return int(min(max(a.at-b.at, -1), 1)) })
	return r.partsOf(all[:needed]), all[needed-1].at
}

// partsOf returns whole workers as parts.
func (r *round) partsOf(list []opening) []guarantee.Part {
	var parts []guarantee.Part
	for _, o := range list {
		parts = append(parts, guarantee.Part{Worker: o.worker, Mask: guarantee.FullMask(r.s.perWorker)})
	}
	return parts
}

// findFreeMemo looks for available accelerators outside a guarantee. Within a
// round a size that was not found once is not found again, because the
// available accelerators only become fewer. A gang that may spread over racks,
// because of the workers that it avoids, is looked for nevertheless.
func (r *round) findFreeMemo(j *job) []guarantee.Part {
	n := j.spec.Accelerators
	if r.full[n] && (len(j.avoid) == 0 || r.s.fitsRack(j)) {
		return nil
	}
	parts := r.findUnbound(j)
	if parts == nil {
		parts = r.findFree(j, noAccount)
	}
	if parts == nil && len(j.avoid) == 0 {
		r.full[n] = true
	}
	return parts
}

// findUnbound looks for available accelerators outside all guaranteed blocks,
// where the job is less likely to be preempted.
func (r *round) findUnbound(j *job) []guarantee.Part {
	look := r.freeView(j, noAccount)
	return r.find(j, func(at int, w *worker) guarantee.Mask {
		room := look(at, w)
		if room == 0 {
			return 0
		}
		return room &^ r.s.ledger.BoundMask(at)
	})
}

// backfill looks for reserved accelerators that are free now, if the job is
// expected to end before the reservation starts.
func (r *round) backfill(j *job) []guarantee.Part {
	n := j.spec.Accelerators
	if len(r.held) == 0 || j.estimate <= 0 || r.backfillFull[n] {
		return nil
	}
	if parts := r.backfillBy(j, r.now+j.estimate); parts != nil {
		return parts
	}
	if len(j.avoid) == 0 && r.backfillBy(j, r.now) == nil {
		r.backfillFull[n] = true
	}
	return nil
}

// backfillBy looks for reserved accelerators for a job that ends at a time.
func (r *round) backfillBy(j *job, end time.Duration) []guarantee.Part {
	look := func(_ int, w *worker) guarantee.Mask {
		if j.avoids(w) {
			return 0
		}
		if w.hold != 0 && end > w.holdUntil {
			return w.avail()
		}
		return w.free &^ w.taken
	}
	n := j.spec.Accelerators
	tried := -1
	for _, at := range r.held {
		w := &r.s.workers[at]
		if end > w.holdUntil {
			continue
		}
		if n < r.s.perWorker {
			if mask, ok := guarantee.Fit(look(at, w), n); ok {
				return []guarantee.Part{{Worker: at, Mask: mask}}
			}
			continue
		}
		if w.rack == tried {
			continue
		}
		tried = w.rack
		if parts := r.gangInRack(&r.s.racks[w.rack], n, look); parts != nil {
			return parts
		}
	}
	return nil
}
