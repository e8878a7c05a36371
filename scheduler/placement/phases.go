package placement

import (
	"slices"
	"time"

	"cranberrydrum.dev/scheduler/structs"
)

// effectivePriority returns the priority of a waiting job after ageing. A bulk job
// rises to normal priority so that it does not starve, but never to urgent.
func (r *round) effectivePriority(j *job) structs.Priority {
	if j.spec.Priority >= structs.PriorityNormal {
		return j.spec.Priority
	}
	aged := (r.now - j.queuedAt) / r.s.cfg.AgeingPeriod
	return min(j.spec.Priority+structs.Priority(max(aged, 0)), structs.PriorityNormal)
}

// resetCursors starts a pass over the queue of a customer.
func (c *customer) resetCursors() {
	for _, b := range c.buckets {
		b.cursor, b.tried = 0, 0
	}
}

// nextJob returns the next job of a customer and its bucket: the oldest one of the
// highest effective priority.
func (r *round) nextJob(c *customer, accept func(*bucket) bool) (*bucket, *job) {
	var best *job
	var from *bucket
	for _, b := range c.buckets {
		j := r.head(b)
		if j == nil || (accept != nil && !accept(b)) {
			continue
		}
		if best == nil || r.precedes(j, best) {
			best, from = j, b
		}
	}
	return from, best
}

// precedes reports whether a comes before b in the order of placement. Both are
// waiting jobs of one customer.
func (r *round) precedes(a, b *job) bool {
	if pa, pb := r.effectivePriority(a), r.effectivePriority(b); pa != pb {
		return pa > pb
	}
	return compareQueued(a, b) < 0
}

// head returns the next job of a bucket that is not decided in this round, or
// nil.
func (r *round) head(b *bucket) *job {
	for b.cursor < len(b.jobs) {
		if j := b.jobs[b.cursor]; j.decidedRound != r.s.roundNumber {
			return j
		}
		b.cursor++
	}
	return nil
}

// close ends the pass over a bucket, so that its other jobs are not examined.
func (b *bucket) close() { b.cursor = len(b.jobs) }

// skip moves on from the head of a bucket to its next job. After BackfillDepth
// jobs the bucket is closed, because its jobs mostly fail for the same reason.
func (r *round) skip(b *bucket) {
	b.cursor++
	b.tried++
	if b.tried >= r.s.cfg.BackfillDepth {
		b.close()
	}
}

// skipUnplaceable moves on from a job that fits nowhere. It closes the bucket,
// whose other jobs are of the same size, unless the avoided workers may be the
// reason why the job does not fit.
func (r *round) skipUnplaceable(b *bucket, j *job) {
	if len(j.avoid) == 0 {
		b.close()
		return
	}
	r.skip(b)
}

// waitingByShare returns the accepted customers that have waiting jobs, the one
// with the smallest weighted share first.
func (r *round) waitingByShare(accept func(*customer) bool) []*customer {
	var waiting []*customer
	for _, c := range r.s.sortedCustomers {
		if len(c.buckets) > 0 && accept(c) {
			waiting = append(waiting, c)
		}
	}
	slices.SortFunc(waiting, func(a, b *customer) int {
		if a.hasSmallerShare(b) {
			return -1
		}
		return 1
	})
	return waiting
}

// placeGuaranteed places jobs inside the guarantee of their customer, urgent ones
// first. They may preempt any job outside its own guarantee. Jobs that need no
// preemption come first, so that accelerators that were freed for one of them are
// not claimed for another.
func (r *round) placeGuaranteed() {
	withAccount := r.waitingByShare(func(c *customer) bool { return c.account != noAccount })
	urgent := func(b *bucket) bool { return b.priority >= structs.PriorityUrgent }
	for _, allowPreemption := range []bool{false, true} {
		for _, accept := range []func(*bucket) bool{urgent, nil} {
			for _, c := range withAccount {
				r.placeWithinGuarantee(c, accept, allowPreemption)
			}
		}
	}
}

// placeWithinGuarantee places jobs of a customer until its guarantee is used up.
func (r *round) placeWithinGuarantee(c *customer, accept func(*bucket) bool, allowPreemption bool) {
	c.resetCursors()
	for !r.atStartLimit() {
		b, j := r.nextJob(c, accept)
		if j == nil {
			return
		}
		switch {
		case r.reportIfNeverRunnable(j):
		case !r.mayFitGuarantee(c, b.size) || !c.withinQuota(b.size):
			b.close()
		case !r.claim(j, allowPreemption):
			r.skipUnplaceable(b, j)
		}
	}
}

// mayFitGuarantee reports whether a gang of n accelerators may fit the guarantee
// of its customer: into open slots, or into blocks that are bound but not fully
// used.
func (r *round) mayFitGuarantee(c *customer, n int) bool {
	if r.s.ledger.MayFit(c.account, n) {
		return true
	}
	return r.s.ledger.Bound(c.account)-c.inside-c.roundInside >= n
}

// placeUrgent places urgent jobs outside a guarantee. They may preempt jobs of
// lower priority that are outside their own guarantee.
func (r *round) placeUrgent() {
	accept := func(b *bucket) bool { return b.priority >= structs.PriorityUrgent }
	for _, c := range r.waitingByShare(func(c *customer) bool { return c.buckets[0].priority >= structs.PriorityUrgent }) {
		c.resetCursors()
		for !r.atStartLimit() {
			b, j := r.nextJob(c, accept)
			if j == nil {
				break
			}
			if r.reportIfNeverRunnable(j) {
				continue
			}
			if !c.withinQuota(b.size) {
				r.reportWaiting(j, WaitQuota)
				b.close()
				continue
			}
			if !r.startOrPreemptUrgent(j) {
				r.skipUnplaceable(b, j)
			}
		}
	}
}

// startOrPreemptUrgent starts an urgent job on available accelerators, or preempts
// other jobs for it. It reports whether either was possible.
func (r *round) startOrPreemptUrgent(j *job) bool {
	if parts := r.findFreeMemo(j); parts != nil {
		r.start(j, parts)
		return true
	}
	candidates := r.candidates(j, noAccount, r.s.cfg.UrgentGrace)
	if len(candidates) == 0 {
		return false
	}
	r.startOrPreempt(j, &candidates[0], r.s.cfg.UrgentGrace)
	return true
}

// placeByFairShare places all other jobs by effective priority and weighted fair
// share. Starving gangs get reservations, and shorter jobs are backfilled into
// reserved accelerators.
func (r *round) placeByFairShare() {
	waiting := r.waitingByShare(func(*customer) bool { return true })
	for _, c := range waiting {
		c.resetCursors()
	}
	for _, c := range waiting {
		r.selectNext(c)
	}
	for !r.atStartLimit() {
		c := r.nextCustomer(waiting)
		if c == nil {
			return
		}
		if !r.reportIfNeverRunnable(c.next.job) {
			r.placeOrReserve(c, c.next.bucket, c.next.job)
		}
		r.selectNext(c)
	}
}

// selectNext selects the next job of a customer.
func (r *round) selectNext(c *customer) {
	c.next.bucket, c.next.job = r.nextJob(c, nil)
	if c.next.job != nil {
		c.next.priority = r.effectivePriority(c.next.job)
	}
}

// nextCustomer returns the customer to serve next: of those whose next job has the
// highest effective priority, the one with the smallest weighted share.
func (r *round) nextCustomer(waiting []*customer) *customer {
	var first *customer
	var highest structs.Priority
	for _, c := range waiting {
		if c.blocked || c.next.job == nil {
			continue
		}
		p := c.next.priority
		if first == nil || p > highest || (p == highest && c.hasSmallerShare(first)) {
			first, highest = c, p
		}
	}
	return first
}

// placeOrReserve starts the head of a bucket, reserves accelerators for it or
// records why it waits.
func (r *round) placeOrReserve(c *customer, b *bucket, j *job) {
	if !c.withinQuota(b.size) {
		r.reportWaiting(j, WaitQuota)
		b.close()
		// A starving gang that exceeds the remaining quota of its customer would
		// never run if younger jobs of the customer kept using the quota.
		c.blocked = c.blocked || r.starving(j)
		return
	}
	if parts := r.findFreeMemo(j); parts != nil {
		r.start(j, parts)
		return
	}
	if r.starving(j) && b.tried == 0 && r.reserve(j) {
		r.reportReserved(&r.reservations[len(r.reservations)-1])
		return
	}
	if parts := r.backfill(j); parts != nil {
		r.start(j, parts)
		return
	}
	if b.tried == 0 {
		r.reportWaiting(j, WaitNoRoom)
	}
	if len(r.reservedWorkers) > 0 && j.estimate > 0 && !r.unbackfillable[b.size] {
		r.skip(b)
		return
	}
	r.skipUnplaceable(b, j)
}

// starving reports whether a job has waited so long that it gets a reservation.
// The policy shortens the wait, down to a quarter of StarvationAfter, if
// completion time matters more, and lengthens it, up to twice, if service at peak
// demand matters more.
func (r *round) starving(j *job) bool {
	p := r.s.rules.Policy
	factor := min(max(1+p.Crest-p.Completion, 0.25), 2)
	return r.now-j.queuedAt >= time.Duration(factor*float64(r.s.cfg.StarvationAfter))
}

// maxReservations returns the number of gangs that may hold a reservation. The
// policy raises MaxReservations, up to 1.5 times, if completion time matters more,
// and lowers it, down to half, if service at peak demand matters more. Reserved
// accelerators stay idle until all accelerators of the gang are free, and smaller
// jobs wait meanwhile. With more than 1.5 times as many reservations, even the
// largest gangs wait longer, because too much of the failure domain is idle.
func (r *round) maxReservations() int {
	p := r.s.rules.Policy
	factor := min(max(1+(p.Completion-p.Crest)/2, 0.5), 1.5)
	return max(int(factor*float64(r.s.cfg.MaxReservations)), 1)
}
