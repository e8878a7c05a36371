package guarantee

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"cranberrydrum.dev/scheduler/structs"
)

// Job is a running job, with the fields that decide whether it is inside a guarantee.
type Job struct {
	ID       string
	Customer string
	// Order is the log index at which the accelerators were reserved. Jobs are
	// processed in this order; see the package comment.
	Order   uint64
	Started time.Duration
	Members []structs.Member
}

// Compare orders jobs by (Order, Started, ID), the order in which they claim.
func Compare(a, b *Job) int {
	if c := cmp.Compare(a.Order, b.Order); c != 0 {
		return c
	}
	if c := cmp.Compare(a.Started, b.Started); c != 0 {
		return c
	}
	return strings.Compare(a.ID, b.ID)
}

// State is the input of Inside, OpenSlotSizes and Reclaimable.
type State struct {
	Topology   structs.FailureDomain
	Workers    []structs.Worker
	Guarantees []structs.Guarantee
	Jobs       []Job
}

// Inside returns the IDs of the jobs inside their customer's guarantee, sorted.
func Inside(state State) []string {
	_, inside := claimAll(state)
	slices.Sort(inside)
	return inside
}

// OpenSlotSizes returns the gang sizes that a customer can still request inside its
// guarantee, in addition to the jobs that run inside it.
func OpenSlotSizes(state State, customer string) []int {
	l, _ := claimAll(state)
	i, ok := l.Customer(customer)
	if !ok {
		return nil
	}
	return l.OpenSlotSizes(i)
}

// Reclaimable checks that the open slots of all customers fit together into
// accelerators that are free or held by jobs outside their guarantee, and that no
// slot of the given customer was dropped. The slots that a customer's jobs use
// inside the guarantee are not open. It fails only if there are too few healthy
// workers.
func Reclaimable(state State, customer string) error {
	l, _ := claimAll(state)
	i, ok := l.Customer(customer)
	if !ok {
		return nil
	}
	if missing := l.Missing(i); missing != (structs.Shape{}) {
		return &UnreclaimableError{Customer: customer, Missing: missing}
	}
	if level, missing := l.shortage(); missing > 0 {
		return &UnreclaimableError{Customer: customer, Missing: l.shapeOf(level, missing)}
	}
	return nil
}

// claimAll returns the ledger after the claims of all jobs, and the IDs of the
// accepted jobs.
func claimAll(state State) (*Ledger, []string) {
	l := NewLedger(state.Topology, state.Workers, state.Guarantees)
	index := make(map[string]int, len(state.Workers))
	for i, w := range state.Workers {
		index[w.ID] = i
	}
	jobs := slices.Clone(state.Jobs)
	slices.SortFunc(jobs, func(a, b Job) int { return Compare(&a, &b) })
	var inside []string
	for i := range jobs {
		customer, ok := l.Customer(jobs[i].Customer)
		if !ok {
			continue
		}
		parts, ok := partsOf(index, jobs[i].Members)
		if ok && l.Claim(customer, parts) {
			inside = append(inside, jobs[i].ID)
		}
	}
	return l, inside
}

// partsOf translates members to worker indexes and masks. It fails if a worker is
// unknown.
func partsOf(index map[string]int, members []structs.Member) ([]Part, bool) {
	parts := make([]Part, 0, len(members))
	for _, m := range members {
		i, ok := index[m.Worker]
		if !ok {
			return nil, false
		}
		parts = append(parts, Part{Worker: i, Mask: MaskOf(m.Accelerators)})
	}
	return parts, true
}
