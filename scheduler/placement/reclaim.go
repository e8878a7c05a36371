package placement

import (
	"cmp"
	"math/bits"
	"slices"
	"time"

	"cranberrydrum.dev/scheduler/guarantee"
	"cranberrydrum.dev/scheduler/preemption"
	"cranberrydrum.dev/scheduler/structs"
)

// candidate is a set of accelerators for a gang, which may be occupied by jobs
// that would be preempted.
type candidate struct {
	// single is the only part of a gang inside one worker. A larger gang has its
	// parts in parts instead.
	single guarantee.Part
	parts  []guarantee.Part
	cost   preemption.Cost
	state  candidateState
	// rank is the number of accelerators or whole workers to choose from. It
	// orders candidates of equal cost and state: the smallest choice comes first,
	// so that larger ones are kept for other gangs.
	rank int
}

// allParts returns all parts of the candidate.
func (c *candidate) allParts() []guarantee.Part {
	if c.parts == nil {
		return []guarantee.Part{c.single}
	}
	return c.parts
}

// candidateState is the occupancy of a candidate's accelerators. It orders
// candidates of equal cost.
type candidateState int

// States of a candidate: its accelerators are free, are held only by jobs that
// stop already, or are held by at least one job that would be preempted.
const (
	startable candidateState = iota
	stoppingOnly
	occupied
)

// claim starts a job inside its customer's guarantee, or preempts other jobs for
// it if that is allowed. It never starts the job on free accelerators outside the
// guarantee, where it could be preempted repeatedly.
func (r *round) claim(j *job, allowPreemption bool) bool {
	c := j.customer
	account := c.account
	parts := r.findClaimable(j)
	if parts != nil && r.s.ledger.ClaimTight(account, parts) {
		c.roundInside += j.spec.Accelerators
		r.start(j, parts)
		return true
	}
	if !allowPreemption && !r.hasStopping {
		return false
	}
	grace := r.s.cfg.ReclaimGrace
	if j.spec.Priority >= structs.PriorityUrgent {
		grace = r.s.cfg.UrgentGrace
	}
	candidates := r.candidates(j, account, grace)
	if r.claimFirst(j, candidates, grace, r.s.ledger.ClaimTight, stoppingOnly) {
		return true
	}
	return allowPreemption && (r.claimFirst(j, candidates, grace, r.s.ledger.ClaimTight, occupied) ||
		r.claimFirst(j, candidates, grace, r.s.ledger.Claim, occupied))
}

// claimFirst claims the first candidate, of those up to maxState, that leaves
// enough accelerators for all other guarantees. It reports whether there is one.
func (r *round) claimFirst(
	j *job, candidates []candidate, grace time.Duration,
	claim func(int, []guarantee.Part) bool, maxState candidateState,
) bool {
	for i := range candidates {
		c := &candidates[i]
		if c.state > maxState || !claim(j.customer.account, c.allParts()) {
			continue
		}
		j.customer.roundInside += j.spec.Accelerators
		r.startOrPreempt(j, c, grace)
		return true
	}
	return false
}

// startOrPreempt starts a job on a candidate's accelerators, or holds them and
// preempts the jobs that occupy them.
func (r *round) startOrPreempt(j *job, c *candidate, grace time.Duration) {
	if c.state == startable {
		r.start(j, c.allParts())
		return
	}
	r.preemptOccupants(j, c.allParts(), grace)
}

// findClaimable searches for available accelerators inside the guarantee: first
// in blocks that the customer has bound already, then in blocks to which an open
// slot could be bound.
func (r *round) findClaimable(j *job) []guarantee.Part {
	c := j.customer
	if r.s.ledger.Bound(c.account)-c.inside-c.roundInside >= j.spec.Accelerators {
		allowed := r.freeMask(j, c.account)
		owned := func(at int, w *worker) guarantee.Mask {
			return allowed(at, w) & r.s.ledger.Owned(c.account, at)
		}
		if parts := r.find(j, owned); parts != nil {
			return parts
		}
	}
	if !r.s.ledger.MayFit(c.account, j.spec.Accelerators) {
		return nil
	}
	if parts := r.findBindable(j, true); parts != nil {
		return parts
	}
	return r.findBindable(j, false)
}

// findBindable searches for available accelerators in blocks to which the smallest
// sufficient open slot can be bound. With idle set, only blocks without jobs are
// considered. They are tried first, because jobs of other customers inside a block
// are preempted as soon as its owner needs the remainder of the block.
func (r *round) findBindable(j *job, idle bool) []guarantee.Part {
	account := j.customer.account
	allowed := r.freeMask(j, account)
	level := r.s.ledger.SlotFor(account, j.spec.Accelerators)
	return r.find(j, func(at int, w *worker) guarantee.Mask {
		avail := allowed(at, w)
		if avail == 0 {
			return 0
		}
		block := avail
		if !idle {
			block = w.usable &^ r.s.ledger.OwnedByOthers(account, at)
		}
		return avail & r.s.ledger.Bindable(account, at, level, block)
	})
}

// mayPreempt reports whether the accelerators of a victim may be used for a
// requester. This holds for jobs that stop already (for an urgent requester, if
// they stop within UrgentGrace), and for jobs outside their guarantee. A requester
// outside its own guarantee does not preempt urgent jobs, and a job is preempted
// for one of the same customer only if its priority is lower.
func (r *round) mayPreempt(requester, victim *job, account int) bool {
	if r.isStopping(victim) {
		urgent := requester.spec.Priority >= structs.PriorityUrgent
		return !urgent || r.stopBy(victim) <= r.now+r.s.cfg.UrgentGrace
	}
	if victim.inside {
		return false
	}
	if victim.customer == requester.customer && victim.spec.Priority >= requester.spec.Priority {
		return false
	}
	return account != noAccount || victim.spec.Priority < structs.PriorityUrgent
}

// reclaimableMask returns a function for the accelerators of a worker that are
// free or held by jobs that may be preempted.
func (r *round) reclaimableMask(j *job, account int) maskFunc {
	// If the customer has no jobs outside its guarantee, its guaranteed job may
	// preempt all jobs outside a guarantee without a check of each one.
	c := j.customer
	anyVictim := account != noAccount && c.held == c.inside && j.spec.Priority < structs.PriorityUrgent
	ownedOnly := account != noAccount && !r.s.ledger.MayFit(account, j.spec.Accelerators)
	return func(at int, w *worker) guarantee.Mask {
		if j.avoids(w) {
			return 0
		}
		avail := w.usable &^ (w.assigned | w.protected)
		for _, o := range w.jobs {
			if avail == 0 {
				return 0
			}
			if !anyVictim && !r.mayPreempt(j, o.job, account) {
				avail &^= o.mask
			}
		}
		if account != noAccount {
			avail &^= r.s.ledger.OwnedByOthers(account, at)
		}
		if ownedOnly {
			avail &= r.s.ledger.Owned(account, at)
		}
		return avail
	}
}

// candidates returns the candidates for a gang, sorted by cost, state and rank.
func (r *round) candidates(j *job, account int, grace time.Duration) []candidate {
	allowed := r.reclaimableMask(j, account)
	n := j.spec.Accelerators
	var found []candidate
	switch {
	case n < r.s.perWorker:
		found = r.cellCandidates(j, allowed, grace)
	case r.s.fitsRack(j):
		for i := range r.s.racks {
			found = r.rackCandidate(found, j, &r.s.racks[i], n, allowed, grace)
		}
	default:
		found = r.multiRackCandidate(j, n, allowed, grace)
	}
	slices.SortStableFunc(found, func(a, b candidate) int {
		return cmp.Or(a.cost.Compare(b.cost), cmp.Compare(a.state, b.state), cmp.Compare(a.rank, b.rank))
	})
	return found
}

// cellCandidates lists the candidates inside one worker: the aligned cells that
// hold the gang and, for sizes that are not powers of two, the combination of
// smaller cells that fits best.
func (r *round) cellCandidates(j *job, allowed maskFunc, grace time.Duration) []candidate {
	n := j.spec.Accelerators
	level := bits.Len(uint(n - 1))
	var found []candidate
	for at := range r.s.workers {
		w := &r.s.workers[at]
		avail := allowed(at, w)
		if bits.OnesCount64(avail) < n {
			continue
		}
		rank := bits.OnesCount64(avail)
		for start := 0; start < r.s.perWorker; start += 1 << level {
			if mask, ok := guarantee.Fit(avail&guarantee.CellAt(start, level), n); ok {
				found = append(found, r.newCellCandidate(j, guarantee.Part{Worker: at, Mask: mask}, rank, grace))
			}
		}
		if mask, ok := guarantee.Fit(avail, n); ok && n&(n-1) != 0 {
			found = append(found, r.newCellCandidate(j, guarantee.Part{Worker: at, Mask: mask}, rank+1, grace))
		}
	}
	return found
}

// newCellCandidate returns a candidate inside one worker with its cost.
func (r *round) newCellCandidate(j *job, p guarantee.Part, rank int, grace time.Duration) candidate {
	c := candidate{single: p, rank: rank}
	for _, o := range r.s.workers[p.Worker].jobs {
		if o.mask&p.Mask != 0 {
			r.addVictim(&c, j, o.job, grace)
		}
	}
	return c
}

// newCandidate returns a candidate on several workers with its cost.
func (r *round) newCandidate(j *job, parts []guarantee.Part, rank int, grace time.Duration) candidate {
	c := candidate{parts: parts, rank: rank}
	var seen []*job
	for _, p := range parts {
		for _, o := range r.s.workers[p.Worker].jobs {
			if o.mask&p.Mask != 0 && !slices.Contains(seen, o.job) {
				seen = append(seen, o.job)
				r.addVictim(&c, j, o.job, grace)
			}
		}
	}
	return c
}

// addVictim adds a job that occupies a candidate to its cost and state.
func (r *round) addVictim(c *candidate, requester, victim *job, grace time.Duration) {
	if r.isStopping(victim) {
		c.state = max(c.state, stoppingOnly)
		return
	}
	c.state = occupied
	c.cost = c.cost.Add(r.assess(requester, victim, grace).Cost)
}

// rackCandidate appends the cheapest candidate for a gang in a rack, if there is
// one.
func (r *round) rackCandidate(
	found []candidate, j *job, k *rack, n int, allowed maskFunc, grace time.Duration,
) []candidate {
	needed, remainder := n/r.s.perWorker, n%r.s.perWorker
	units := r.wholeWorkers(k, allowed)
	if len(units) < needed || len(units) > 64 {
		return found
	}
	victims := r.victimsOf(j, units, grace)
	chosen, _, ok := preemption.Choose(len(units), needed, victims)
	if !ok {
		return found
	}
	parts := make([]guarantee.Part, 0, needed+1)
	full := guarantee.FullMask(r.s.perWorker)
	for i, at := range units {
		if chosen>>i&1 == 1 {
			parts = append(parts, guarantee.Part{Worker: at, Mask: full})
		}
	}
	if remainder > 0 {
		parts = r.cheapestRemainder(j, k, parts, remainder, allowed, grace)
		if parts == nil {
			return found
		}
	}
	return append(found, r.newCandidate(j, parts, len(units), grace))
}

// wholeWorkers lists the workers of a rack that are allowed as a whole.
func (r *round) wholeWorkers(k *rack, allowed maskFunc) []int {
	var units []int
	for _, at := range k.workers {
		if r.s.isWhole(allowed(at, &r.s.workers[at])) {
			units = append(units, at)
		}
	}
	return units
}

// victimsOf lists the jobs that would be preempted on some workers. A unit of a
// victim is the position of a worker in units.
func (r *round) victimsOf(j *job, units []int, grace time.Duration) []preemption.Victim {
	var victims []preemption.Victim
	var jobs []*job
	for i, at := range units {
		for _, o := range r.s.workers[at].jobs {
			if r.isStopping(o.job) {
				continue
			}
			known := slices.Index(jobs, o.job)
			if known < 0 {
				known = len(jobs)
				jobs = append(jobs, o.job)
				victims = append(victims, preemption.Victim{Cost: r.assess(j, o.job, grace).Cost})
			}
			victims[known].Units |= 1 << i
		}
	}
	return victims
}

// cheapestRemainder adds the remainder of a gang, which is smaller than a worker,
// to its parts. It takes the worker with the lowest total cost and returns nil if
// there is none.
func (r *round) cheapestRemainder(
	j *job, k *rack, parts []guarantee.Part, remainder int, allowed maskFunc, grace time.Duration,
) []guarantee.Part {
	var best []guarantee.Part
	var bestCost preemption.Cost
	for _, at := range k.workers {
		used := slices.ContainsFunc(parts, func(p guarantee.Part) bool { return p.Worker == at })
		mask, ok := guarantee.Fit(allowed(at, &r.s.workers[at]), remainder)
		if used || !ok {
			continue
		}
		with := append(slices.Clone(parts), guarantee.Part{Worker: at, Mask: mask})
		cost := r.newCandidate(j, with, 0, grace).cost
		if best == nil || cost.Compare(bestCost) < 0 {
			best, bestCost = with, cost
		}
	}
	return best
}

// multiRackCandidate returns a candidate for a gang that fits no single rack. It
// fills the racks in the order of their allowed whole workers, the most first, and
// takes the cheapest workers of each.
func (r *round) multiRackCandidate(j *job, n int, allowed maskFunc, grace time.Duration) []candidate {
	type option struct{ rack, units int }
	var options []option
	for i := range r.s.racks {
		if units := len(r.wholeWorkers(&r.s.racks[i], allowed)); units > 0 {
			options = append(options, option{i, units})
		}
	}
	slices.SortStableFunc(options, func(a, b option) int { return b.units - a.units })
	var parts []guarantee.Part
	for _, o := range options {
		if n == 0 {
			break
		}
		size := min(n, o.units*r.s.perWorker)
		one := r.rackCandidate(nil, j, &r.s.racks[o.rack], size, allowed, grace)
		if one == nil {
			continue
		}
		parts = append(parts, one[0].parts...)
		n -= size
	}
	if n > 0 {
		return nil
	}
	return []candidate{r.newCandidate(j, parts, 0, grace)}
}
