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

// candidate is a place for a gang that may be occupied by jobs to be preempted.
type candidate struct {
	// first is the only part of a gang within a worker; parts holds those of a
	// larger gang.
	first guarantee.Part
	parts []guarantee.Part
	cost  preemption.Cost
	// state is startable if nothing occupies the place, leaving if only jobs
	// that stop already do.
	state candidateState
	rank  int
}

// place returns all parts of the candidate.
func (c *candidate) place() []guarantee.Part {
	if c.parts == nil {
		return []guarantee.Part{c.first}
	}
	return c.parts
}

// candidateState orders candidates of equal cost.
type candidateState int

// States of a candidate.
const (
	startable candidateState = iota
	leavingOnly
	occupied
)

// claim starts a job inside its customer's guarantee, or makes room for it if
// victims are allowed. It never starts the job on free accelerators outside the
// guarantee instead: there the job could be stopped for others again and again.
func (r *round) claim(j *job, withVictims bool) bool {
	c := j.customer
	account := c.account
	parts := r.findClaimable(j)
	if parts != nil && r.s.ledger.ClaimTight(account, parts) {
		c.roundInside += j.spec.Accelerators
		r.start(j, parts)
		return true
	}
	if !withVictims && !r.leavers {
		return false
	}
	grace := r.s.cfg.ReclaimGrace
	if j.spec.Priority >= structs.PriorityUrgent {
		grace = r.s.cfg.UrgentGrace
	}
	candidates := r.candidates(j, account, grace)
	if r.claimFirst(j, candidates, grace, r.s.ledger.ClaimTight, leavingOnly) {
		return true
	}
	return withVictims && (r.claimFirst(j, candidates, grace, r.s.ledger.ClaimTight, occupied) ||
		r.claimFirst(j, candidates, grace, r.s.ledger.Claim, occupied))
}

// claimFirst claims the first place, up to a state, that leaves room for all
// other guarantees.
func (r *round) claimFirst(
	j *job, candidates []candidate, grace time.Duration,
	claim func(int, []guarantee.Part) bool, worst candidateState,
) bool {
	for i := range candidates {
		c := &candidates[i]
		if c.state > worst || !claim(j.customer.account, c.place()) {
			continue
		}
		j.customer.roundInside += j.spec.Accelerators
		r.use(j, c, grace)
		return true
	}
	return false
}

// use starts a job on a candidate's place or makes room there.
func (r *round) use(j *job, c *candidate, grace time.Duration) {
	if c.state == startable {
		r.start(j, c.place())
		return
	}
	r.makeRoom(j, c.place(), grace)
}

// findClaimable looks for available accelerators, in the blocks that the
// customer has bound already and then where an open slot could be bound.
func (r *round) findClaimable(j *job) []guarantee.Part {
	c := j.customer
	if r.s.ledger.Bound(c.account)-c.inside-c.roundInside >= j.spec.Accelerators {
		look := r.freeView(j, c.account)
		owned := func(at int, w *worker) guarantee.Mask {
			return look(at, w) & r.s.ledger.Owned(c.account, at)
		}
		if parts := r.find(j, owned); parts != nil {
			return parts
		}
	}
	if !r.s.ledger.MayHold(c.account, j.spec.Accelerators) {
		return nil
	}
	if parts := r.findBindable(j, true); parts != nil {
		return parts
	}
	return r.findBindable(j, false)
}

// findBindable looks for available accelerators in blocks that the smallest
// open slot can bind. Idle blocks come first: jobs of others inside a block are
// stopped as soon as the customer needs the rest of it.
func (r *round) findBindable(j *job, idle bool) []guarantee.Part {
	account := j.customer.account
	look := r.freeView(j, account)
	level := r.s.ledger.SlotFor(account, j.spec.Accelerators)
	return r.find(j, func(at int, w *worker) guarantee.Mask {
		room := look(at, w)
		if room == 0 {
			return 0
		}
		block := room
		if !idle {
			block = w.usable &^ r.s.ledger.Foreign(account, at)
		}
		return room & r.s.ledger.Bindable(account, at, level, block)
	})
}

// mayStop reports whether a job may be stopped for a requester: jobs that stop
// already (for an urgent requester those that stop in time), and jobs outside
// their guarantee. An urgent job outside its own
// guarantee spares other urgent jobs, and a customer's job is stopped for
// another of the same customer only if it is less important.
func (r *round) mayStop(requester, victim *job, account int) bool {
	if r.leaving(victim) {
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

// reclaimView returns the accelerators that are free or held by jobs that may
// be stopped.
func (r *round) reclaimView(j *job, account int) view {
	// Without jobs of its own outside the guarantee, a customer's guaranteed job
	// may stop all jobs outside a guarantee.
	c := j.customer
	anyVictim := account != noAccount && c.held == c.inside && j.spec.Priority < structs.PriorityUrgent
	ownedOnly := account != noAccount && !r.s.ledger.MayHold(account, j.spec.Accelerators)
	return func(at int, w *worker) guarantee.Mask {
		if j.avoids(w) {
			return 0
		}
		room := w.usable &^ (w.taken | w.fixed)
		for _, o := range w.jobs {
			if room == 0 {
				return 0
			}
			if !anyVictim && !r.mayStop(j, o.job, account) {
				room &^= o.mask
			}
		}
		if account != noAccount {
			room &^= r.s.ledger.Foreign(account, at)
		}
		if ownedOnly {
			room &= r.s.ledger.Owned(account, at)
		}
		return room
	}
}

// candidates returns the places for a gang, the best first.
func (r *round) candidates(j *job, account int, grace time.Duration) []candidate {
	look := r.reclaimView(j, account)
	n := j.spec.Accelerators
	var found []candidate
	switch {
	case n < r.s.perWorker:
		found = r.cellCandidates(j, look, grace)
	case r.s.fitsRack(j):
		for i := range r.s.racks {
			found = r.rackCandidate(found, j, &r.s.racks[i], n, look, grace)
		}
	default:
		found = r.wideCandidate(j, n, look, grace)
	}
	slices.SortStableFunc(found, func(a, b candidate) int {
		return cmp.Or(a.cost.Compare(b.cost), cmp.Compare(a.state, b.state), cmp.Compare(a.rank, b.rank))
	})
	return found
}

// cellCandidates lists the places inside one worker.
func (r *round) cellCandidates(j *job, look view, grace time.Duration) []candidate {
	n := j.spec.Accelerators
	level := bits.Len(uint(n - 1))
	var found []candidate
	for at := range r.s.workers {
		w := &r.s.workers[at]
		room := look(at, w)
		if bits.OnesCount64(room) < n {
			continue
		}
		rank := bits.OnesCount64(room)
		for start := 0; start < r.s.perWorker; start += 1 << level {
			if mask, ok := guarantee.Fit(room&guarantee.CellAt(start, level), n); ok {
				found = append(found, r.weighOne(j, guarantee.Part{Worker: at, Mask: mask}, rank, grace))
			}
		}
		if mask, ok := guarantee.Fit(room, n); ok && n&(n-1) != 0 {
			found = append(found, r.weighOne(j, guarantee.Part{Worker: at, Mask: mask}, rank+1, grace))
		}
	}
	return found
}

// weighOne returns a candidate within one worker with its cost.
func (r *round) weighOne(j *job, p guarantee.Part, rank int, grace time.Duration) candidate {
	c := candidate{first: p, rank: rank}
	for _, o := range r.s.workers[p.Worker].jobs {
		if o.mask&p.Mask != 0 {
			r.addVictim(&c, j, o.job, grace)
		}
	}
	return c
}

// weigh returns a candidate over several workers with its cost.
func (r *round) weigh(j *job, parts []guarantee.Part, rank int, grace time.Duration) candidate {
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

// addVictim adds a job on the candidate's place to its cost.
func (r *round) addVictim(c *candidate, requester, victim *job, grace time.Duration) {
	if r.leaving(victim) {
		c.state = max(c.state, leavingOnly)
		return
	}
	c.state = occupied
	c.cost = c.cost.Add(r.assess(requester, victim, grace).Cost)
}

// rackCandidate appends the cheapest place of a gang in a rack.
func (r *round) rackCandidate(
	found []candidate, j *job, k *rack, n int, look view, grace time.Duration,
) []candidate {
	needed, rest := n/r.s.perWorker, n%r.s.perWorker
	units := r.wholeWorkers(k, look)
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
	if rest > 0 {
		parts = r.cheapestRest(j, k, parts, rest, look, grace)
		if parts == nil {
			return found
		}
	}
	return append(found, r.weigh(j, parts, len(units), grace))
}

// wholeWorkers lists the workers of a rack that can be given as a whole.
func (r *round) wholeWorkers(k *rack, look view) []int {
	var units []int
	for _, at := range k.workers {
		if r.s.isWhole(look(at, &r.s.workers[at])) {
			units = append(units, at)
		}
	}
	return units
}

// victimsOf lists the jobs on some workers that would have to stop.
func (r *round) victimsOf(j *job, units []int, grace time.Duration) []preemption.Victim {
	var victims []preemption.Victim
	var jobs []*job
	for i, at := range units {
		for _, o := range r.s.workers[at].jobs {
			if r.leaving(o.job) {
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

// cheapestRest adds the part of a gang that is smaller than a worker.
func (r *round) cheapestRest(
	j *job, k *rack, parts []guarantee.Part, rest int, look view, grace time.Duration,
) []guarantee.Part {
	var best []guarantee.Part
	var bestCost preemption.Cost
	for _, at := range k.workers {
		used := slices.ContainsFunc(parts, func(p guarantee.Part) bool { return p.Worker == at })
		mask, ok := guarantee.Fit(look(at, &r.s.workers[at]), rest)
		if used || !ok {
			continue
		}
		with := append(slices.Clone(parts), guarantee.Part{Worker: at, Mask: mask})
		cost := r.weigh(j, with, 0, grace).cost
		if best == nil || cost.Compare(bestCost) < 0 {
			best, bestCost = with, cost
		}
	}
	return best
}

// wideCandidate spreads a gang that is larger than a rack over the cheapest of
// the racks that give the most whole workers.
func (r *round) wideCandidate(j *job, n int, look view, grace time.Duration) []candidate {
	type option struct{ rack, units int }
	var options []option
	for i := range r.s.racks {
		if units := len(r.wholeWorkers(&r.s.racks[i], look)); units > 0 {
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
		one := r.rackCandidate(nil, j, &r.s.racks[o.rack], size, look, grace)
		if one == nil {
			continue
		}
		parts = append(parts, one[0].parts...)
		n -= size
	}
	if n > 0 {
		return nil
	}
	return []candidate{r.weigh(j, parts, 0, grace)}
}
