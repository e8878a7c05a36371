package placement

import (
	"slices"
	"time"

	"cranberrydrum.dev/scheduler/guarantee"
	"cranberrydrum.dev/scheduler/preemption"
	"cranberrydrum.dev/scheduler/structs"
)

// round is the state of one scheduling round. Everything that it changes in
// the scheduler is rolled back at its end.
type round struct {
	s            *Scheduler
	now          time.Duration
	plan         Plan
	mark         int   // position of the ledger before the round
	touched      []int // workers with accelerators taken or reserved
	held         []int // workers with reservations
	reservations []reservation
	// leavers is set if jobs are stopping.
	leavers bool
	// full lists gang sizes for which nothing is available any more.
	full map[int]bool
	// unreservable lists gang sizes for which nothing can be reserved.
	unreservable map[int]bool
	// backfillFull lists gang sizes that do not fit into reserved accelerators
	// at any time before the reservations.
	backfillFull map[int]bool
}

// newRound starts a round.
func newRound(s *Scheduler, now time.Duration) *round {
	s.stamp++
	return &round{
		s: s, now: now, mark: s.ledger.Mark(), leavers: s.stopping > 0, full: make(map[int]bool),
		unreservable: make(map[int]bool), backfillFull: make(map[int]bool),
	}
}

// rollBack undoes the tentative changes.
func (r *round) rollBack() {
	r.s.ledger.Undo(r.mark)
	for _, at := range r.touched {
		w := &r.s.workers[at]
		r.s.recount(w, func() {
			w.taken, w.hold, w.holdUntil = 0, 0, 0
			w.touched = false
		})
	}
	for _, c := range r.s.names {
		c.roundHeld, c.roundInside = 0, 0
		c.blocked = false
		c.turn.bucket, c.turn.job = nil, nil
	}
}

// touch remembers to roll a worker back.
func (r *round) touch(at int) *worker {
	w := &r.s.workers[at]
	if !w.touched {
		w.touched = true
		r.touched = append(r.touched, at)
	}
	return w
}

// take gives accelerators to a job for the rest of the round.
func (r *round) take(j *job, parts []guarantee.Part) {
	for _, p := range parts {
		w := r.touch(p.Worker)
		r.s.recount(w, func() { w.taken |= p.Mask })
	}
	j.stamp = r.s.stamp
	j.customer.roundHeld += j.spec.Accelerators
}

// start places a job.
func (r *round) start(j *job, parts []guarantee.Part) {
	r.take(j, parts)
	members := make([]structs.Member, 0, len(parts))
	for _, p := range parts {
		members = append(members, structs.Member{
			Worker:       r.s.workers[p.Worker].id,
			Accelerators: guarantee.Indexes(p.Mask),
		})
	}
	slices.SortFunc(members, func(a, b structs.Member) int {
		return r.s.index[a.Worker] - r.s.index[b.Worker]
	})
	r.plan.Starts = append(r.plan.Starts, Start{Job: j.id, Members: members})
}

// makeRoom holds accelerators for a job and stops the jobs that occupy them.
func (r *round) makeRoom(j *job, parts []guarantee.Part, grace time.Duration) {
	r.take(j, parts)
	for _, p := range parts {
		for _, o := range r.s.workers[p.Worker].jobs {
			if o.mask&p.Mask == 0 || r.leaving(o.job) {
				continue
			}
			r.stop(o.job, j, grace)
		}
	}
	r.wait(j, WaitPreempting)
}

// stop stops a running job to make room for another.
func (r *round) stop(victim, requester *job, grace time.Duration) {
	victim.victim = r.s.stamp
	r.leavers = true
	verdict := r.assess(requester, victim, grace)
	victim.victimBy = r.now + verdict.Grace
	r.plan.Preempts = append(r.plan.Preempts, Preempt{
		Job: victim.id, For: requester.id, Checkpoint: verdict.Checkpoint, Grace: verdict.Grace,
	})
}

// leaving reports whether a job stops already.
func (r *round) leaving(j *job) bool {
	return j.stopping || j.victim == r.s.stamp
}

// stopBy returns when the grace of a leaving job ends.
func (r *round) stopBy(j *job) time.Duration {
	if j.stopping {
		return j.stopBy
	}
	return j.victimBy
}

// assess weighs the preemption of a job.
func (r *round) assess(requester, victim *job, grace time.Duration) preemption.Verdict {
	return preemption.Assess(r.now, grace, preemption.Job{
		Accelerators:   victim.held,
		Running:        victim.started > 0,
		Started:        victim.started,
		Checkpointed:   victim.checkpointed,
		CheckpointTime: victim.spec.CheckpointTime,
		Spared: victim.customer == requester.customer ||
			victim.spec.Priority >= structs.PriorityUrgent,
	})
}

// reasons are the texts of the codes.
var reasons = map[WaitCode]string{
	WaitNoRoom:     "no free cells that hold the gang",
	WaitQuota:      "the customer's quota is used up",
	WaitReserved:   "cells are reserved until running jobs end",
	WaitPreempting: "waits for preempted jobs to stop",
}

// wait reports why a job does not start.
func (r *round) wait(j *job, code WaitCode) {
	j.stamp = r.s.stamp
	r.plan.Waiting = append(r.plan.Waiting, Waiting{Job: j.id, Code: code, Reason: reasons[code]})
}

// never reports a job that can never run, once per round.
func (r *round) never(j *job) bool {
	err := neverRunnable(r.s.capacity, j.customer.quota, j.spec.Accelerators)
	if err == nil {
		return false
	}
	j.stamp = r.s.stamp
	r.plan.Waiting = append(r.plan.Waiting, Waiting{Job: j.id, Code: WaitNeverRunnable, Reason: err.Error()})
	return true
}

// done reports whether the round may start no further jobs.
func (r *round) done() bool {
	return len(r.plan.Starts) >= r.s.cfg.MaxStarts
}
