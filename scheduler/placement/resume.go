package placement

import (
	"cmp"
	"maps"
	"slices"
)

// resumeInterrupted starts jobs whose run was lost with a worker, the largest
// first, if enough accelerators are available. The accelerators of such a gang
// became free together: if jobs that had been waiting took parts of them, the gang
// would have to wait as long as a new one. Jobs that may fit their customer's
// guarantee are left to placeGuaranteed, so that the ledger counts them.
func (r *round) resumeInterrupted() {
	waiting := slices.SortedFunc(maps.Keys(r.s.interrupted), func(a, b *job) int {
		return cmp.Or(cmp.Compare(b.spec.Accelerators, a.spec.Accelerators), compareQueued(a, b))
	})
	for _, j := range waiting {
		if r.atStartLimit() {
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
