package placement

import (
	"slices"
	"time"

	"cranberrydrum.dev/scheduler/guarantee"
	"cranberrydrum.dev/scheduler/preemption"
	"cranberrydrum.dev/scheduler/structs"
)

// round is the state of one scheduling round. All changes that it makes to the
// scheduler are rolled back at its end.
type round struct {
	s               *Scheduler
	now             time.Duration
	plan            Plan
	mark            int   // mark of the ledger before the round
	modified        []int // workers with accelerators assigned or reserved in the round
	reservedWorkers []int // workers with reservations
	reservations    []reservation
	// hasStopping is set if any job stops already or is preempted in this round.
	hasStopping bool
	// unplaceable holds the gang sizes for which no accelerators are available any
	// more.
	unplaceable map[int]bool
	// unreservable holds the gang sizes for which no accelerators can be reserved.
	unreservable map[int]bool
	// unbackfillable holds the gang sizes that do not fit into the free reserved
	// accelerators, however short the job is.
	unbackfillable map[int]bool
}

// newRound returns a round at the given time and increments the round number.
func newRound(s *Scheduler, now time.Duration) *round {
	s.roundNumber++
	return &round{
		s: s, now: now, mark: s.ledger.Mark(), hasStopping: s.stopping > 0, unplaceable: make(map[int]bool),
		unreservable: make(map[int]bool), unbackfillable: make(map[int]bool),
	}
}

// rollBack undoes the changes of the round to the ledger, workers and customers.
func (r *round) rollBack() {
	r.s.ledger.Undo(r.mark)
	for _, at := range r.modified {
		w := &r.s.workers[at]
		r.s.recount(w, func() {
			w.assigned, w.reserved, w.reservedUntil = 0, 0, 0
			w.modified = false
		})
	}
	for _, c := range r.s.sortedCustomers {
		c.roundHeld, c.roundInside = 0, 0
		c.blocked = false
		c.next.bucket, c.next.job = nil, nil
	}
}

// markModified notes that a worker must be rolled back, and returns it.
func (r *round) markModified(at int) *worker {
	w := &r.s.workers[at]
	if !w.modified {
		w.modified = true
		r.modified = append(r.modified, at)
	}
	return w
}

// assign assigns accelerators to a job for the remainder of the round.
func (r *round) assign(j *job, parts []guarantee.Part) {
	for _, p := range parts {
		w := r.markModified(p.Worker)
		r.s.recount(w, func() { w.assigned |= p.Mask })
	}
	j.decidedRound = r.s.roundNumber
	j.customer.roundHeld += j.spec.Accelerators
}

// start assigns accelerators to a job and adds its start to the plan.
func (r *round) start(j *job, parts []guarantee.Part) {
	r.assign(j, parts)
	members := make([]structs.Member, 0, len(parts))
	for _, p := range parts {
		members = append(members, structs.Member{
			Worker:       r.s.workers[p.Worker].id,
			Accelerators: guarantee.Indexes(p.Mask),
		})
	}
	slices.SortFunc(members, func(a, b structs.Member) int {
		return r.s.workerIndex[a.Worker] - r.s.workerIndex[b.Worker]
	})
	r.plan.Starts = append(r.plan.Starts, Start{Job: j.id, Members: members})
}

// preemptOccupants assigns accelerators to a waiting job and preempts the jobs that
// occupy them.
func (r *round) preemptOccupants(j *job, parts []guarantee.Part, grace time.Duration) {
	r.assign(j, parts)
	for _, p := range parts {
		for _, o := range r.s.workers[p.Worker].jobs {
			if o.mask&p.Mask == 0 || r.isStopping(o.job) {
				continue
			}
			r.preempt(o.job, j, grace)
		}
	}
	r.reportWaiting(j, WaitPreempting)
}

// preempt adds the preemption of a running job for another one to the plan.
func (r *round) preempt(victim, requester *job, grace time.Duration) {
	victim.victimRound = r.s.roundNumber
	r.hasStopping = true
	assessment := r.assess(requester, victim, grace)
	victim.victimStopBy = r.now + assessment.Grace
	r.plan.Preempts = append(r.plan.Preempts, Preempt{
		Job: victim.id, Requester: requester.id, Checkpoint: assessment.Checkpoint, Grace: assessment.Grace,
	})
}

// isStopping reports whether a job was ordered to stop earlier or is preempted in
// this round.
func (r *round) isStopping(j *job) bool {
	return j.stopping || j.victimRound == r.s.roundNumber
}

// stopBy returns when the grace period of a stopping job ends.
func (r *round) stopBy(j *job) time.Duration {
	if j.stopping {
		return j.stopBy
	}
	return j.victimStopBy
}

// assess returns how a job would be preempted for a requester, and the cost.
func (r *round) assess(requester, victim *job, grace time.Duration) preemption.Assessment {
	return preemption.Assess(r.now, grace, preemption.Job{
		Accelerators:   victim.held,
		Running:        victim.started > 0,
		Started:        victim.started,
		Checkpointed:   victim.checkpointed,
		CheckpointTime: victim.spec.CheckpointTime,
		LastResort: victim.customer == requester.customer ||
			victim.spec.Priority >= structs.PriorityUrgent,
	})
}

// waitReasons holds the message of each code.
var waitReasons = map[WaitCode]string{
	WaitNoRoom:     "no free cells that hold the gang",
	WaitQuota:      "the customer's quota is used up",
	WaitReserved:   "cells are reserved until running jobs end",
	WaitPreempting: "waits for preempted jobs to stop",
}

// reportWaiting adds to the plan why a job does not start.
func (r *round) reportWaiting(j *job, code WaitCode) {
	j.decidedRound = r.s.roundNumber
	r.plan.Waiting = append(r.plan.Waiting, Waiting{Job: j.id, Code: code, Reason: waitReasons[code]})
}

// reportIfNeverRunnable checks whether a job can never run. If so, it adds the
// reason to the plan and returns true.
func (r *round) reportIfNeverRunnable(j *job) bool {
	err := neverRunnable(r.s.capacity, j.customer.quota, j.spec.Accelerators)
	if err == nil {
		return false
	}
	j.decidedRound = r.s.roundNumber
	r.plan.Waiting = append(r.plan.Waiting, Waiting{Job: j.id, Code: WaitNeverRunnable, Reason: err.Error()})
	return true
}

// atStartLimit reports whether the round has started MaxStarts jobs.
func (r *round) atStartLimit() bool {
	return len(r.plan.Starts) >= r.s.cfg.MaxStarts
}
