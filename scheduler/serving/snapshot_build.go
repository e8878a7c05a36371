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
		Aged:        d.aged,
		Running:     d.running,
		Forwarded:   d.forwards,
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
	for _, e := range d.order {
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
		Slowness: e.slowness,
	}
	for i := range e.leases {
		s.Borrowed += e.leases[i].Count
	}
	return s
}

// SlotUse says how this host uses the slots of one executor. The SlotLedger
// decides from it what can be lent and what should be borrowed.
type SlotUse struct {
	Executor   string
	OwnRunning int
	// Leases maps the borrowed leases to the attempts that run on them.
	Leases map[string]int
	// Wanted is the number of further slots that queued requests could use.
	Wanted int
	// Waiting is the most important class that is queued; empty if none is.
	Waiting structs.Class
}

// SlotUse returns the use of all executors, sorted by id.
func (d *Dispatcher) SlotUse(now time.Duration) []SlotUse {
	wanted := 0
	if len(d.order) > 0 {
		wanted = (d.queued + len(d.order) - 1) / len(d.order)
	}
	waiting := d.waiting()
	uses := make([]SlotUse, 0, len(d.order))
	for _, e := range d.order {
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

func (d *Dispatcher) waiting() structs.Class {
	for c := range classCount {
		if d.queues[c].queued > 0 {
			return classNames[c]
		}
	}
	return ""
}
