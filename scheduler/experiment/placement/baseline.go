package placement

import (
	"slices"
	"strings"
	"time"

	"cranberrydrum.dev/scheduler/guarantee"
	sched "cranberrydrum.dev/scheduler/placement"
	"cranberrydrum.dev/scheduler/structs"
)

// policy is the interface of the scheduler, which the baselines share.
type policy interface {
	SetRules(sched.Rules)
	SetWorker(structs.Worker)
	SetQueued(sched.Queued)
	SetRunning(sched.Running)
	Remove(string)
	Round(time.Duration) sched.Plan
}

// firstFit is the common part of the baselines: it looks for the first free
// accelerators in the order of the workers, without buddy cells.
type firstFit struct {
	rules   sched.Rules
	workers []structs.Worker
	free    map[string]guarantee.Mask
	queue   []sched.Queued
	running map[string]sched.Running
	// strict stops at the first job that does not fit (first come, first
	// served). Otherwise quotas are kept and jobs that do not fit are passed.
	strict bool
}

// newFirstFit returns a baseline.
func newFirstFit(strict bool) *firstFit {
	return &firstFit{free: map[string]guarantee.Mask{}, running: map[string]sched.Running{}, strict: strict}
}

// SetRules replaces the rules.
func (f *firstFit) SetRules(r sched.Rules) { f.rules = r }

// SetWorker adds or replaces a worker.
func (f *firstFit) SetWorker(w structs.Worker) {
	at := slices.IndexFunc(f.workers, func(o structs.Worker) bool { return o.ID == w.ID })
	if at >= 0 {
		f.workers[at] = w
		return
	}
	f.workers = append(f.workers, w)
	f.free[w.ID] = guarantee.FullMask(w.Accelerators)
}

// SetQueued adds a waiting job.
func (f *firstFit) SetQueued(q sched.Queued) {
	f.Remove(q.ID)
	at, _ := slices.BinarySearchFunc(f.queue, q, func(a, b sched.Queued) int {
		if a.Since != b.Since {
			return int(min(max(a.Since-b.Since, -1), 1))
		}
		return strings.Compare(a.ID, b.ID)
	})
	f.queue = slices.Insert(f.queue, at, q)
}

// SetRunning adds or replaces a running job.
func (f *firstFit) SetRunning(r sched.Running) {
	f.Remove(r.ID)
	f.running[r.ID] = r
	for _, m := range r.Members {
		f.free[m.Worker] &^= guarantee.MaskOf(m.Accelerators)
	}
}

// Remove forgets a job.
func (f *firstFit) Remove(id string) {
	if r, ok := f.running[id]; ok {
		delete(f.running, id)
		for _, m := range r.Members {
			f.free[m.Worker] |= guarantee.MaskOf(m.Accelerators)
		}
		return
	}
	f.queue = slices.DeleteFunc(f.queue, func(q sched.Queued) bool { return q.ID == id })
}

// Round starts jobs in the order of their submission.
func (f *firstFit) Round(time.Duration) sched.Plan {
	var plan sched.Plan
	held := map[string]int{}
	for _, r := range f.running {
		held[r.Spec.Customer] += r.Spec.Accelerators
	}
	taken := map[string]guarantee.Mask{}
	for _, q := range f.queue {
		if err := sched.NeverRunnable(f.rules, q.Spec); err != nil {
			plan.Waiting = append(plan.Waiting, sched.Waiting{Job: q.ID, Code: sched.WaitNeverRunnable})
			continue
		}
		members := f.fit(q, held, taken)
		if members == nil && f.strict {
			break
		}
		if members == nil {
			continue
		}
		held[q.Spec.Customer] += q.Spec.Accelerators
		plan.Starts = append(plan.Starts, sched.Start{Job: q.ID, Members: members})
	}
	return plan
}

// fit returns the first free accelerators for a job.
func (f *firstFit) fit(q sched.Queued, held map[string]int, taken map[string]guarantee.Mask) []structs.Member {
	n := q.Spec.Accelerators
	if !f.strict && held[q.Spec.Customer]+n > f.quota(q.Spec.Customer) {
		return nil
	}
	var members []structs.Member
	for i, w := range f.workers {
		// A gang that fits into a worker or a rack lies inside one, as with
		// every policy, because its accelerators must be adjacent.
		newRack := i > 0 && w.Rack != f.workers[i-1].Rack
		oneRack := q.Spec.Accelerators <= workersPerRack*perWorker
		if newRack && oneRack {
			members, n = nil, q.Spec.Accelerators
		}
		free := guarantee.Indexes(f.free[w.ID] &^ taken[w.ID])
		tooSmall := q.Spec.Accelerators <= perWorker && len(free) < n
		if w.Quarantined || slices.Contains(q.Avoid, w.ID) || len(free) == 0 || tooSmall {
			continue
		}
		use := free[:min(n, len(free))]
		members = append(members, structs.Member{Worker: w.ID, Accelerators: use})
		n -= len(use)
		if n == 0 {
			for _, m := range members {
				taken[m.Worker] |= guarantee.MaskOf(m.Accelerators)
			}
			return members
		}
	}
	return nil
}

// quota returns the quota of a customer.
func (f *firstFit) quota(customer string) int {
	for _, q := range f.rules.Quotas {
		if q.Customer == customer {
			return q.Accelerators
		}
	}
	return len(f.workers) * perWorker
}
