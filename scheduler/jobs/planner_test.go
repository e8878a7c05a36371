package jobs_test

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"cranberrydrum.dev/scheduler/placement"
	"cranberrydrum.dev/scheduler/structs"
)

// firstFit is a simple planner for tests. It places jobs in order of priority and
// age on the first free accelerators in order of worker IDs, and preempts at most
// one job per round for an urgent job.
type firstFit struct {
	workers map[string]structs.Worker
	queued  map[string]placement.Queued
	running map[string]placement.Running
	grace   time.Duration
}

func newFirstFit() *firstFit {
	return &firstFit{
		workers: map[string]structs.Worker{}, queued: map[string]placement.Queued{},
		running: map[string]placement.Running{}, grace: 3 * time.Second,
	}
}

func (p *firstFit) SetRules(placement.Rules)       {}
func (p *firstFit) SetWorker(w structs.Worker)     { p.workers[w.ID] = w }
func (p *firstFit) RemoveWorker(id string)         { delete(p.workers, id) }
func (p *firstFit) SetQueued(q placement.Queued)   { p.Remove(q.ID); p.queued[q.ID] = q }
func (p *firstFit) SetRunning(r placement.Running) { p.Remove(r.ID); p.running[r.ID] = r }
func (p *firstFit) Remove(id string)               { delete(p.queued, id); delete(p.running, id) }

func (p *firstFit) Round(time.Duration) placement.Plan {
	var plan placement.Plan
	free := p.free()
	queue := slices.SortedFunc(maps.Values(p.queued), func(a, b placement.Queued) int {
		return cmp.Or(cmp.Compare(b.Spec.Priority, a.Spec.Priority), cmp.Compare(a.QueuedAt, b.QueuedAt), cmp.Compare(a.ID, b.ID))
	})
	for _, q := range queue {
		members := fit(q, free)
		if members != nil {
			plan.Starts = append(plan.Starts, placement.Start{Job: q.ID, Members: members})
			continue
		}
		plan.Waiting = append(plan.Waiting, placement.Waiting{Job: q.ID, Reason: "no room"})
		if q.Spec.Priority == structs.PriorityUrgent && len(plan.Preempts) == 0 {
			plan.Preempts = p.victim(q.ID)
		}
	}
	return plan
}

// free lists the free accelerators of workers that accept work.
func (p *firstFit) free() map[string][]int {
	free := map[string][]int{}
	for id, w := range p.workers {
		if w.Quarantined {
			continue
		}
		for a := range w.Accelerators {
			free[id] = append(free[id], a)
		}
	}
	for _, r := range p.running {
		for _, m := range r.Members {
			free[m.Worker] = slices.DeleteFunc(free[m.Worker], func(a int) bool { return slices.Contains(m.Accelerators, a) })
		}
	}
	return free
}

// fit takes accelerators for a job from free. Workers that the job avoids are used
// last. It returns nil if the job does not fit.
func fit(q placement.Queued, free map[string][]int) []structs.Member {
	var members []structs.Member
	need := q.Spec.Accelerators
	workers := slices.SortedFunc(maps.Keys(free), func(a, b string) int {
		avoidA, avoidB := slices.Contains(q.Avoid, a), slices.Contains(q.Avoid, b)
		if avoidA != avoidB {
			if avoidA {
				return 1
			}
			return -1
		}
		return cmp.Compare(a, b)
	})
	for _, id := range workers {
		take := min(need, len(free[id]))
		if take > 0 {
			members = append(members, structs.Member{Worker: id, Accelerators: slices.Clone(free[id][:take])})
			need -= take
		}
	}
	if need > 0 {
		return nil
	}
	for _, m := range members {
		free[m.Worker] = free[m.Worker][len(m.Accelerators):]
	}
	return members
}

// victim picks the first running job that is not urgent, unless some job is
// already stopping.
func (p *firstFit) victim(waiting string) []placement.Preempt {
	for _, id := range slices.Sorted(maps.Keys(p.running)) {
		if p.running[id].Stopping {
			return nil
		}
	}
	for _, id := range slices.Sorted(maps.Keys(p.running)) {
		if p.running[id].Spec.Priority < structs.PriorityUrgent {
			return []placement.Preempt{{Job: id, Requester: waiting, Checkpoint: true, Grace: p.grace}}
		}
	}
	return nil
}
