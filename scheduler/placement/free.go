package placement

import (
	"cmp"
	"math/bits"
	"slices"

	"cranberrydrum.dev/scheduler/guarantee"
)

// maskFunc returns the accelerators of a worker that a search may use. The worker
// is given with its index.
type maskFunc func(index int, w *worker) guarantee.Mask

// freeMask returns a function for the available accelerators of the workers that
// a job does not avoid. With an account it excludes blocks bound by other
// customers, where a claim would fail.
func (r *round) freeMask(j *job, account int) maskFunc {
	if account == noAccount && len(j.avoid) == 0 {
		return func(_ int, w *worker) guarantee.Mask { return w.available() }
	}
	return func(at int, w *worker) guarantee.Mask {
		if j.avoids(w) {
			return 0
		}
		if account == noAccount {
			return w.available()
		}
		return w.available() &^ r.s.ledger.OwnedByOthers(account, at)
	}
}

// findFree returns the best-fitting available accelerators for a gang, or nil.
func (r *round) findFree(j *job, account int) []guarantee.Part {
	return r.find(j, r.freeMask(j, account))
}

// find returns the best-fitting allowed accelerators for a gang, or nil. The
// allowed accelerators must be a subset of the available ones, because the
// search skips racks by their counts of available accelerators.
func (r *round) find(j *job, allowed maskFunc) []guarantee.Part {
	n := j.spec.Accelerators
	if n < r.s.perWorker {
		return r.findInWorker(n, allowed)
	}
	if r.s.fitsRack(j) {
		return r.findInRack(n, allowed)
	}
	return r.findAcrossRacks(n, allowed)
}

// fitsRack reports whether some rack has enough healthy workers for a gang, not
// counting those that the gang avoids. A gang for which there is no such rack
// may be spread over racks.
func (s *Scheduler) fitsRack(j *job) bool {
	needed := (j.spec.Accelerators + s.perWorker - 1) / s.perWorker
	for i := range s.racks {
		if k := &s.racks[i]; k.healthy >= needed && k.healthy-s.avoidedWorkers(j, k) >= needed {
			return true
		}
	}
	return false
}

// avoidedWorkers returns the number of healthy workers of a rack that a job
// avoids.
func (s *Scheduler) avoidedWorkers(j *job, k *rack) int {
	n := 0
	for _, id := range j.avoid {
		at, known := s.workerIndex[id]
		if known && s.isWhole(s.workers[at].usable) && slices.Contains(k.workers, at) {
			n++
		}
	}
	return n
}

// findInWorker searches for accelerators inside one worker. It takes the worker
// whose largest available cell is the smallest sufficient one, in the rack with
// the fewest whole workers, so that large cells and whole racks are kept for
// large gangs.
func (r *round) findInWorker(n int, allowed maskFunc) []guarantee.Part {
	s := r.s
	for level := bits.Len(uint(n)) - 1; level < cellLevels; level++ {
		best := -1
		var bestMask guarantee.Mask
		for i := range s.racks {
			k := &s.racks[i]
			if k.levels[level+1] == 0 || (best >= 0 && k.whole >= s.racks[s.workers[best].rack].whole) {
				continue
			}
			if at, mask := r.bestInRack(k, n, level, allowed); at >= 0 {
				best, bestMask = at, mask
			}
		}
		if best >= 0 {
			return []guarantee.Part{{Worker: best, Mask: bestMask}}
		}
	}
	return nil
}

// bestInRack returns the worker of a rack that has the fewest available
// accelerators among those whose largest available cell has the given level, and
// the accelerators to use there. It returns -1 if the gang fits none of them.
func (r *round) bestInRack(k *rack, n, level int, allowed maskFunc) (int, guarantee.Mask) {
	best, bestFree := -1, 0
	var bestMask guarantee.Mask
	for _, at := range k.workers {
		w := &r.s.workers[at]
		if w.level != level {
			continue
		}
		avail := allowed(at, w)
		free := bits.OnesCount64(avail)
		if best >= 0 && free >= bestFree {
			continue
		}
		if mask, ok := guarantee.Fit(avail, n); ok {
			best, bestFree, bestMask = at, free, mask
		}
	}
	return best, bestMask
}

// findInRack searches for accelerators in one rack, and takes the rack with the
// fewest whole workers that holds the gang.
func (r *round) findInRack(n int, allowed maskFunc) []guarantee.Part {
	s := r.s
	needed := n / s.perWorker
	var best []guarantee.Part
	bestWhole := 0
	for i := range s.racks {
		k := &s.racks[i]
		if k.whole < needed || (best != nil && k.whole >= bestWhole) {
			continue
		}
		if parts := r.gangInRack(k, n, allowed); parts != nil {
			best, bestWhole = parts, k.whole
		}
	}
	return best
}

// gangInRack returns whole workers of a rack and, for the remainder of the gang,
// a part of a further worker, or nil.
func (r *round) gangInRack(k *rack, n int, allowed maskFunc) []guarantee.Part {
	s := r.s
	needed, remainder := n/s.perWorker, n%s.perWorker
	parts := make([]guarantee.Part, 0, needed+1)
	if remainder > 0 {
		p, ok := r.remainderInRack(k, remainder, allowed)
		if !ok {
			return nil
		}
		parts = append(parts, p)
	}
	full := guarantee.FullMask(s.perWorker)
	for _, at := range k.workers {
		if len(parts) > 0 && parts[0].Worker == at && remainder > 0 {
			continue
		}
		if needed == 0 {
			break
		}
		if allowed(at, &s.workers[at])&full == full {
			parts = append(parts, guarantee.Part{Worker: at, Mask: full})
			needed--
		}
	}
	if needed > 0 {
		return nil
	}
	return parts
}

// remainderInRack places the remainder of a gang, which is smaller than a worker.
// It takes the worker whose largest allowed cell is the smallest; of equal ones,
// the worker with the fewest allowed accelerators.
func (r *round) remainderInRack(k *rack, remainder int, allowed maskFunc) (guarantee.Part, bool) {
	best := guarantee.Part{Worker: -1}
	bestLevel, bestFree := 0, 0
	for _, at := range k.workers {
		avail := allowed(at, &r.s.workers[at])
		mask, ok := guarantee.Fit(avail, remainder)
		if !ok {
			continue
		}
		level, free := guarantee.LargestCell(avail), bits.OnesCount64(avail)
		if best.Worker >= 0 && cmp.Or(cmp.Compare(level, bestLevel), cmp.Compare(free, bestFree)) >= 0 {
			continue
		}
		best = guarantee.Part{Worker: at, Mask: mask}
		bestLevel, bestFree = level, free
	}
	return best, best.Worker >= 0
}

// findAcrossRacks spreads a gang that fits no single rack over as few racks as
// possible, starting with the racks that have the most whole workers.
func (r *round) findAcrossRacks(n int, allowed maskFunc) []guarantee.Part {
	s := r.s
	order := make([]int, len(s.racks))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return s.racks[b].whole - s.racks[a].whole })
	var parts []guarantee.Part
	for _, i := range order {
		k := &s.racks[i]
		if n == 0 || k.whole == 0 {
			break
		}
		size := min(n, k.whole*s.perWorker)
		for size > 0 {
			if found := r.gangInRack(k, size, allowed); found != nil {
				parts = append(parts, found...)
				n -= size
				break
			}
			size = (size - 1) / s.perWorker * s.perWorker
		}
	}
	if n > 0 {
		return nil
	}
	return parts
}
