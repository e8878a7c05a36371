package placement

import (
	"slices"
	"strings"
	"time"

	"cranberrydrum.dev/scheduler/guarantee"
	sched "cranberrydrum.dev/scheduler/placement"
	"cranberrydrum.dev/scheduler/structs"
)

// placer is the part of the scheduler's interface that the simulation uses. The
// baselines implement it too.
type placer interface {
	SetRules(sched.Rules)
	SetWorker(structs.Worker)
	SetQueued(sched.Queued)
	SetRunning(sched.Running)
	Remove(string)
	Round(time.Duration) sched.Plan
}

// firstFit implements both baselines. It allocates the first free accelerators in
// the order of the workers and ignores the alignment of buddy cells.
type firstFit struct {
	rules   sched.Rules
	workers []structs.Worker
	free    map[string]guarantee.Mask
	queue   []sched.Queued
	running map[string]sched.Running
	// isFCFS selects first come, first served: a round ends at the first job
	// that does not fit. Otherwise quotas are enforced and a round skips jobs
	// that do not fit.
	isFCFS bool
}

// newFirstFit returns a baseline without workers and jobs.
func newFirstFit(isFCFS bool) *firstFit {
	return &firstFit{free: map[string]guarantee.Mask{}, running: map[string]sched.Running{}, isFCFS: isFCFS}
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

// SetQueued adds or replaces a waiting job, ordered by submission time and ID.
func (f *firstFit) SetQueued(q sched.Queued) {
	f.Remove(q.ID)
	at, _ := slices.BinarySearchFunc(f.queue, q, func(a, b sched.Queued) int {
		if a.QueuedAt != b.QueuedAt {
			return int(min(max(a.QueuedAt-b.QueuedAt, -1), 1))
		}
		return strings.Compare(a.ID, b.ID)
	})
	f.queue = slices.Insert(f.queue, at, q)
}

// SetRunning adds or replaces a running job and allocates its accelerators.
func (f *firstFit) SetRunning(r sched.Running) {
	f.Remove(r.ID)
	f.running[r.ID] = r
	for _, m := range r.Members {
		f.free[m.Worker] &^= guarantee.MaskOf(m.Accelerators)
	}
}

// Remove removes a waiting job, or a running job and frees its accelerators.
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
	allocated := map[string]guarantee.Mask{}
	for _, q := range f.queue {
		if err := sched.NeverRunnable(f.rules, q.Spec); err != nil {
			plan.Waiting = append(plan.Waiting, sched.Waiting{Job: q.ID, Code: sched.WaitNeverRunnable})
			continue
		}
		members := f.allocate(q, held, allocated)
		if members == nil && f.isFCFS {
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

// allocate returns the first free accelerators for a job and marks them as
// allocated in this round. It returns nil if the job does not fit.
func (f *firstFit) allocate(q sched.Queued, held map[string]int, allocated map[string]guarantee.Mask) []structs.Member {
	remaining := q.Spec.Accelerators
	if !f.isFCFS && held[q.Spec.Customer]+remaining > f.quota(q.Spec.Customer) {
		return nil
	}
	var members []structs.Member
	for i, w := range f.workers {
		// Every policy places a gang that fits into one worker or one rack
		// inside it, because the accelerators of a gang must be adjacent.
		newRack := i > 0 && w.Rack != f.workers[i-1].Rack
		oneRack := q.Spec.Accelerators <= workersPerRack*acceleratorsPerWorker
		if newRack && oneRack {
			members, remaining = nil, q.Spec.Accelerators
		}
		free := guarantee.Indexes(f.free[w.ID] &^ allocated[w.ID])
		tooSmall := q.Spec.Accelerators <= acceleratorsPerWorker && len(free) < remaining
		if w.Quarantined || slices.Contains(q.Avoid, w.ID) || len(free) == 0 || tooSmall {
			continue
		}
		use := free[:min(remaining, len(free))]
		members = append(members, structs.Member{Worker: w.ID, Accelerators: use})
		remaining -= len(use)
		if remaining == 0 {
			for _, m := range members {
				allocated[m.Worker] |= guarantee.MaskOf(m.Accelerators)
			}
			return members
		}
	}
	return nil
}

// quota returns the quota of a customer in accelerators. A customer without a
// quota may use all accelerators.
func (f *firstFit) quota(customer string) int {
	for _, q := range f.rules.Quotas {
		if q.Customer == customer {
			return q.Accelerators
		}
	}
	return len(f.workers) * acceleratorsPerWorker
}
