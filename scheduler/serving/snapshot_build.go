package serving

import (
	"maps"
	"slices"
	"strings"
	"time"

	"cranberrydrum.dev/scheduler/structs"
)

// Snapshot returns the state for status pages and metrics.
func (d *Dispatcher) Snapshot() Snapshot {
	s := Snapshot{
		Service:     d.cfg.Service.Name,
		Queued:      map[structs.Class]int{},
		Slots:       map[structs.Class]int{},
		Aged:        d.agedRunning,
		Running:     d.running,
		Forwarded:   d.pendingForwards,
		RetryBudget: d.budget.Balance(),
		Counters:    d.counters,
	}
	s.Counters.Refusals = maps.Clone(d.counters.Refusals)
	s.Counters.Retries = maps.Clone(d.counters.Retries)
	for c := range d.queues {
		s.Queued[classNames[c]] = d.queues[c].queued
		s.Slots[classNames[c]] = d.queues[c].running
		for _, f := range d.queues[c].flows {
			s.Flows = append(s.Flows, f.snapshot())
		}
	}
	slices.SortFunc(s.Flows, func(a, b FlowSnapshot) int {
		return strings.Compare(string(a.Class)+"/"+a.Customer, string(b.Class)+"/"+b.Customer)
	})
	for _, e := range d.sortedExecutors {
		s.Executors = append(s.Executors, e.snapshot())
	}
	return s
}

func (f *flow) snapshot() FlowSnapshot {
	return FlowSnapshot{
		Customer: f.customer,
		Class:    classNames[f.class],
		Queued:   f.len(),
		Median:   f.estimate.median,
		P95:      f.estimate.p95,
	}
}

func (e *executor) snapshot() ExecutorSnapshot {
	s := ExecutorSnapshot{
		ID:       e.backend.ID,
		State:    e.backend.State,
		Own:      e.own,
		Limit:    e.limit,
		Running:  e.running,
		Breaker:  breakerNames[e.breaker],
		Failures: e.failures,
		Overdue:  e.overdue,
		Slowness: e.slowness,
	}
	for i := range e.leases {
		s.Borrowed += e.leases[i].Count
	}
	return s
}

// SlotUse describes how this host uses the slots of one executor. The SlotLedger
// decides from it which slots to borrow, extend or return.
type SlotUse struct {
	Executor   string
	OwnRunning int
	// Leases maps the ID of each borrowed lease to the number of attempts that run
	// on it.
	Leases map[string]int
	// Wanted is the number of additional slots that queued requests could use.
	Wanted int
	// Waiting is the most important class that is queued; empty if none is.
	Waiting structs.Class
}

// SlotUse returns the slot use of all executors, sorted by executor ID.
func (d *Dispatcher) SlotUse(now time.Duration) []SlotUse {
	wanted := 0
	if len(d.sortedExecutors) > 0 {
		wanted = (d.queued + len(d.sortedExecutors) - 1) / len(d.sortedExecutors)
	}
	waiting := d.waiting()
	uses := make([]SlotUse, 0, len(d.sortedExecutors))
	for _, e := range d.sortedExecutors {
		use := SlotUse{Executor: e.backend.ID, OwnRunning: e.ownRunning, Waiting: waiting}
		if e.usable(now) && e.running >= e.limit && e.limit == e.slots(now) {
			use.Wanted = wanted
		}
		for i := range e.leases {
			if use.Leases == nil {
				use.Leases = map[string]int{}
			}
			use.Leases[e.leases[i].ID] = e.leases[i].running
		}
		uses = append(uses, use)
	}
	return uses
}

// waiting returns the most important class that is queued; empty if none is.
func (d *Dispatcher) waiting() structs.Class {
	for c := range classCount {
		if d.queues[c].queued > 0 {
			return classNames[c]
		}
	}
	return ""
}
