package placement

import (
	"cmp"
	"math/bits"
	"slices"

	"cranberrydrum.dev/scheduler/guarantee"
)

// view returns the accelerators of a worker that a search may use.
type view func(at int, w *worker) guarantee.Mask

// freeView returns the available accelerators for a job. With an account it
// excludes blocks bound by other customers, where a claim would fail.
func (r *round) freeView(j *job, account int) view {
	if account == noAccount && len(j.avoid) == 0 {
		return func(_ int, w *worker) guarantee.Mask { return w.avail() }
	}
	return func(at int, w *worker) guarantee.Mask {
		if j.avoids(w) {
			return 0
		}
		if account == noAccount {
			return w.avail()
		}
		return w.avail() &^ r.s.ledger.Foreign(account, at)
	}
}

// findFree returns the best-fitting available accelerators for a gang, or nil.
func (r *round) findFree(j *job, account int) []guarantee.Part {
	return r.find(j, r.freeView(j, account))
}

// find returns the best-fitting accelerators of a view for a gang, or nil. The
// view never shows more than the available accelerators.
func (r *round) find(j *job, look view) []guarantee.Part {
	n := j.spec.Accelerators
	if n < r.s.perWorker {
		return r.findInWorker(n, look)
	}
	if r.s.fitsRack(j) {
		return r.findInRack(n, look)
	}
	return r.findWide(n, look)
}

// fitsRack reports whether a gang fits into one rack of healthy workers that it
// does not avoid. A gang that does not may spread over racks.
func (s *Scheduler) fitsRack(j *job) bool {
	needed := (j.spec.Accelerators + s.perWorker - 1) / s.perWorker
	for i := range s.racks {
		if k := &s.racks[i]; k.healthy >= needed && k.healthy-s.avoided(j, k) >= needed {
			return true
		}
	}
	return false
}

// avoided returns the number of healthy workers of a rack that a job avoids.
func (s *Scheduler) avoided(j *job, k *rack) int {
	n := 0
	for _, id := range j.avoid {
		at, known := s.index[id]
		if known && s.isWhole(s.workers[at].usable) && slices.Contains(k.workers, at) {
			n++
		}
	}
	return n
}

// findInWorker looks for the worker with the smallest sufficient cell, in the
// rack with the fewest whole workers, so that large cells and racks stay whole.
func (r *round) findInWorker(n int, look view) []guarantee.Part {
	s := r.s
	for level := bits.Len(uint(n)) - 1; level < cellLevels; level++ {
		best := -1
		var bestMask guarantee.Mask
		for i := range s.racks {
			k := &s.racks[i]
			if k.levels[level+1] == 0 || (best >= 0 && k.whole >= s.racks[s.workers[best].rack].whole) {
				continue
			}
			if at, mask := r.bestInRack(k, n, level, look); at >= 0 {
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
// accelerators among those whose largest cell has the given level, or -1.
func (r *round) bestInRack(k *rack, n, level int, look view) (int, guarantee.Mask) {
	best, bestFree := -1, 0
	var bestMask guarantee.Mask
	for _, at := range k.workers {
		w := &r.s.workers[at]
		if w.level != level {
			continue
		}
		room := look(at, w)
		free := bits.OnesCount64(room)
		if best >= 0 && free >= bestFree {
			continue
		}
		if mask, ok := guarantee.Fit(room, n); ok {
			best, bestFree, bestMask = at, free, mask
		}
	}
	return best, bestMask
}

// findInRack looks for the rack with the fewest whole workers that holds the gang.
func (r *round) findInRack(n int, look view) []guarantee.Part {
	s := r.s
	needed := n / s.perWorker
	var best []guarantee.Part
	bestWhole := 0
	for i := range s.racks {
		k := &s.racks[i]
		if k.whole < needed || (best != nil && k.whole >= bestWhole) {
			continue
		}
		if parts := r.gangInRack(k, n, look); parts != nil {
			best, bestWhole = parts, k.whole
		}
	}
	return best
}

// gangInRack takes whole workers and one part of a further worker in a rack.
func (r *round) gangInRack(k *rack, n int, look view) []guarantee.Part {
	s := r.s
	needed, rest := n/s.perWorker, n%s.perWorker
	parts := make([]guarantee.Part, 0, needed+1)
	if rest > 0 {
		p, ok := r.restInRack(k, rest, look)
		if !ok {
			return nil
		}
		parts = append(parts, p)
	}
	full := guarantee.FullMask(s.perWorker)
	for _, at := range k.workers {
		if len(parts) > 0 && parts[0].Worker == at && rest > 0 {
			continue
		}
		if needed == 0 {
			break
		}
		if look(at, &s.workers[at])&full == full {
			parts = append(parts, guarantee.Part{Worker: at, Mask: full})
			needed--
		}
	}
	if needed > 0 {
		return nil
	}
	return parts
}

// restInRack finds the part of a gang that is smaller than a worker, in the
// worker with the smallest sufficient cell.
func (r *round) restInRack(k *rack, rest int, look view) (guarantee.Part, bool) {
	best := guarantee.Part{Worker: -1}
	bestLevel, bestFree := 0, 0
	for _, at := range k.workers {
		room := look(at, &r.s.workers[at])
		mask, ok := guarantee.Fit(room, rest)
		if !ok {
			continue
		}
		level, free := guarantee.LargestCell(room), bits.OnesCount64(room)
		if best.Worker >= 0 && cmp.Or(cmp.Compare(level, bestLevel), cmp.Compare(free, bestFree)) >= 0 {
			continue
		}
		best = guarantee.Part{Worker: at, Mask: mask}
		bestLevel, bestFree = level, free
	}
	return best, best.Worker >= 0
}

// findWide spreads a gang that is larger than a rack over the fewest racks.
func (r *round) findWide(n int, look view) []guarantee.Part {
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
			if found := r.gangInRack(k, size, look); found != nil {
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
