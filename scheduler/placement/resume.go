package placement

import (
	"cmp"
	"maps"
	"slices"
)

// resume starts jobs that lost their run with a worker, the largest first, if
// there is room at once. Their accelerators became free together; jobs that
// waited before would take parts of them, and a gang would wait from the start.
// Jobs inside a guarantee are left to it, so that the ledger counts them.
func (r *round) resume() {
	waiting := slices.SortedFunc(maps.Keys(r.s.interrupted), func(a, b *job) int {
		return cmp.Or(cmp.Compare(b.spec.Accelerators, a.spec.Accelerators), compareQueued(a, b))
	})
	for _, j := range waiting {
		if r.done() {
			return
		}
		if !r.mayReserve(j) {
			continue
		}
		if parts := r.findFreeMemo(j); parts != nil {
			r.start(j, parts)
		}
	}
}
