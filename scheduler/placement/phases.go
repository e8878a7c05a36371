package placement

import (
	"slices"
	"time"

	"cranberrydrum.dev/scheduler/structs"
)

// level returns the effective priority of a waiting job. Bulk work rises to
// normal with age, so that it finishes, but never to urgent.
func (r *round) level(j *job) structs.Priority {
	if j.spec.Priority >= structs.PriorityNormal {
		return j.spec.Priority
	}
	aged := (r.now - j.since) / r.s.cfg.AgeingPeriod
	return min(j.spec.Priority+structs.Priority(max(aged, 0)), structs.PriorityNormal)
}

// resetCursors starts a pass over the queue of a customer.
func (c *customer) resetCursors() {
	for _, b := range c.buckets {
		b.cursor, b.tried = 0, 0
	}
}

// next returns the job that the customer would run next, with its bucket: the
// highest effective priority first, then the oldest.
func (r *round) next(c *customer, accept func(*bucket) bool) (*bucket, *job) {
	var best *job
	var from *bucket
	for _, b := range c.buckets {
		j := r.head(b)
		if j == nil || (accept != nil && !accept(b)) {
			continue
		}
		if best == nil || r.before(j, best) {
			best, from = j, b
		}
	}
	return from, best
}

// before orders two waiting jobs of one customer.
func (r *round) before(a, b *job) bool {
	if la, lb := r.level(a), r.level(b); la != lb {
		return la > lb
	}
	return compareQueued(a, b) < 0
}

// head returns the next undecided job of a bucket.
func (r *round) head(b *bucket) *job {
	for b.cursor < len(b.jobs) {
		if j := b.jobs[b.cursor]; j.stamp != r.s.stamp {
			return j
		}
		b.cursor++
	}
	return nil
}

// close ends the pass over a bucket.
func (b *bucket) close() { b.cursor = len(b.jobs) }

// skip passes over the head of a bucket. Only a bounded number of jobs is
// examined, because they mostly fail for the same reason.
func (r *round) skip(b *bucket) {
	b.cursor++
	b.tried++
	if b.tried >= r.s.cfg.BackfillDepth {
		b.close()
	}
}

// passOver leaves a job that found no place. The rest of its bucket finds none
// either, unless the job was limited by the workers that it avoids.
func (r *round) passOver(b *bucket, j *job) {
	if len(j.avoid) == 0 {
		b.close()
		return
	}
	r.skip(b)
}

// byShare returns the customers that wait, the smallest weighted share first.
func (r *round) byShare(accept func(*customer) bool) []*customer {
	var waiting []*customer
	for _, c := range r.s.names {
		if len(c.buckets) > 0 && accept(c) {
			waiting = append(waiting, c)
		}
	}
	slices.SortFunc(waiting, func(a, b *customer) int {
		if a.less(b) {
			return -1
		}
		return 1
	})
	return waiting
}

// guaranteed serves jobs inside the guarantee of their customer, urgent ones
// first. They may preempt any job outside its own guarantee. Jobs that need no
// victims come first, so that accelerators which were freed for one of them are
// not claimed by another.
func (r *round) guaranteed() {
	withAccount := r.byShare(func(c *customer) bool { return c.account != noAccount })
	urgent := func(b *bucket) bool { return b.priority >= structs.PriorityUrgent }
	for _, withVictims := range []bool{false, true} {
		for _, accept := range []func(*bucket) bool{urgent, nil} {
			for _, c := range withAccount {
				r.serveGuarantee(c, accept, withVictims)
			}
		}
	}
}

// serveGuarantee starts jobs of a customer while its guarantee has room.
func (r *round) serveGuarantee(c *customer, accept func(*bucket) bool, withVictims bool) {
	c.resetCursors()
	for !r.done() {
		b, j := r.next(c, accept)
		if j == nil {
			return
		}
		switch {
		case r.never(j):
		case !r.entitled(c, b.size) || !c.fits(b.size):
			b.close()
		case !r.claim(j, withVictims):
			r.passOver(b, j)
		}
	}
}

// entitled reports whether the guarantee of a customer may have room for a gang.
func (r *round) entitled(c *customer, n int) bool {
	if r.s.ledger.MayHold(c.account, n) {
		return true
	}
	return r.s.ledger.Bound(c.account)-c.inside-c.roundInside >= n
}

// urgent serves urgent jobs outside a guarantee. They may preempt less
// important jobs outside their own guarantee.
func (r *round) urgent() {
	accept := func(b *bucket) bool { return b.priority >= structs.PriorityUrgent }
	for _, c := range r.byShare(func(c *customer) bool { return c.buckets[0].priority >= structs.PriorityUrgent }) {
		c.resetCursors()
		for !r.done() {
			b, j := r.next(c, accept)
			if j == nil {
				break
			}
			if r.never(j) {
				continue
			}
			if !c.fits(b.size) {
				r.wait(j, WaitQuota)
				b.close()
				continue
			}
			if !r.startUrgent(j) {
				r.passOver(b, j)
			}
		}
	}
}

// startUrgent starts an urgent job on available accelerators or makes room.
func (r *round) startUrgent(j *job) bool {
	if parts := r.findFreeMemo(j); parts != nil {
		r.start(j, parts)
		return true
	}
	candidates := r.candidates(j, noAccount, r.s.cfg.UrgentGrace)
	if len(candidates) == 0 {
		return false
	}
	r.use(j, &candidates[0], r.s.cfg.UrgentGrace)
	return true
}

// fair serves all other jobs by priority and weighted fair share, with
// reservations for starving gangs and backfill around them.
func (r *round) fair() {
	waiting := r.byShare(func(*customer) bool { return true })
	for _, c := range waiting {
		c.resetCursors()
	}
	for _, c := range waiting {
		r.takeTurn(c)
	}
	for !r.done() {
		c := r.nextFair(waiting)
		if c == nil {
			return
		}
		if !r.never(c.turn.job) {
			r.serveFair(c, c.turn.bucket, c.turn.job)
		}
		r.takeTurn(c)
	}
}

// takeTurn finds the job that a customer would run next.
func (r *round) takeTurn(c *customer) {
	c.turn.bucket, c.turn.job = r.next(c, nil)
	if c.turn.job != nil {
		c.turn.level = r.level(c.turn.job)
	}
}

// nextFair picks the highest effective priority, then the customer with the
// smallest weighted share.
func (r *round) nextFair(waiting []*customer) *customer {
	var first *customer
	var level structs.Priority
	for _, c := range waiting {
		if c.blocked || c.turn.job == nil {
			continue
		}
		l := c.turn.level
		if first == nil || l > level || (l == level && c.less(first)) {
			first, level = c, l
		}
	}
	return first
}

// serveFair starts the head of a bucket or decides how it waits.
func (r *round) serveFair(c *customer, b *bucket, j *job) {
	if !c.fits(b.size) {
		r.wait(j, WaitQuota)
		b.close()
		// A starving gang that waits for its own customer's quota would never
		// run if younger jobs of the customer kept using it.
		c.blocked = c.blocked || r.starving(j)
		return
	}
	if parts := r.findFreeMemo(j); parts != nil {
		r.start(j, parts)
		return
	}
	if r.starving(j) && b.tried == 0 && r.reserve(j) {
		r.waitReserved(&r.reservations[len(r.reservations)-1])
		return
	}
	if parts := r.backfill(j); parts != nil {
		r.start(j, parts)
		return
	}
	if b.tried == 0 {
		r.wait(j, WaitNoRoom)
	}
	if len(r.held) > 0 && j.estimate > 0 && !r.backfillFull[b.size] {
		r.skip(b)
		return
	}
	r.passOver(b, j)
}

// starving reports whether a job has waited so long that it gets a
// reservation. The policy shortens the wait if completion time matters more
// and lengthens it if service at peak demand does.
func (r *round) starving(j *job) bool {
	p := r.s.rules.Policy
	factor := min(max(1+p.Crest-p.Completion, 0.25), 2)
	return r.now-j.since >= time.Duration(factor*float64(r.s.cfg.StarvationAfter))
}

// maxReservations returns how many gangs may hold a reservation: more than by
// default, up to 1.5 times, if completion time matters more, and fewer, down to
// half, if service at peak demand does. Reserved accelerators stay idle until
// the whole place is vacated, and smaller jobs wait for them. Beyond 1.5 times,
// the largest gangs wait longer again, because too much of the domain is idle.
func (r *round) maxReservations() int {
	p := r.s.rules.Policy
	factor := min(max(1+(p.Completion-p.Crest)/2, 0.5), 1.5)
	return max(int(factor*float64(r.s.cfg.MaxReservations)), 1)
}
