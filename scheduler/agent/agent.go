package agent

import (
	"cmp"
	"slices"
	"time"

	"cranberrydrum.dev/scheduler/structs"
)

const (
	// renewalInterval is the time between renewals, and fastRenewalInterval the
	// time between them while the worker waits for orders. A start takes three
	// orders and a preemption six; at one order a second that exceeds the bound
	// of 4.8 s for urgent work.
	renewalInterval     = time.Second
	fastRenewalInterval = 200 * time.Millisecond
	// fastRenewalTime is the time for which renewals stay fast after the last
	// change of a task: the next order depends on the replicated log and on other
	// workers.
	fastRenewalTime = time.Second
)

// maxOutstanding is the maximum number of unanswered renewals whose orders are
// still accepted.
const maxOutstanding = 64

// Agent is the state machine of one worker process. It is not safe for
// concurrent use.
type Agent struct {
	worker      structs.Worker
	incarnation uint64

	// term is the highest term seen; orders of lower terms are ignored.
	term uint64
	// leaseEnd is the time at which the lease expires and all tasks are stopped.
	leaseEnd time.Duration
	// lease is the last granted lease duration; ended runs are kept for as long.
	lease time.Duration
	// outstanding holds the unanswered renewals, oldest first.
	outstanding []renewal
	// lastUsedSeq is the number of the latest renewal whose orders were used.
	lastUsedSeq uint64
	// fastUntil is the time at which renewals return to renewalInterval.
	fastUntil time.Duration

	tasks map[taskKey]*task
}

// renewal is a sent renewal and its time.
type renewal struct {
	seq  uint64
	sent time.Duration
}

// taskKey identifies the task of one run of a job.
type taskKey struct {
	job string
	run uint64
}

// phase is the local phase of a task.
type phase uint8

const (
	// phasePreparing waits for accelerators that stopping tasks still use.
	phasePreparing phase = iota
	phasePrepared
	phaseRunning
	phaseCheckpointing
	phaseCheckpointed
	// phaseStopping has received a stop and may still use its accelerators.
	phaseStopping
	// phaseEnded keeps the record of the run, so that it is never started again.
	phaseEnded
)

// task is one gang member on this worker.
type task struct {
	key          taskKey
	phase        phase
	accelerators []int
	limits       structs.Limits
	command      []string
	throttled    bool
	// forceStopped is set when the task is killed at the end of a lease.
	forceStopped bool
	// result and err are reported once the task has ended.
	result structs.TaskPhase
	err    string
	// omitted is set when orders no longer list the ended run; its record is
	// removed at removeAt.
	omitted  bool
	removeAt time.Duration
}

// New returns the agent of a worker process that has just started. The
// incarnation must grow with each start of the process on the same worker.
func New(worker structs.Worker, incarnation uint64) *Agent {
	return &Agent{worker: worker, incarnation: incarnation, tasks: map[taskKey]*task{}}
}

// Report returns the content of the next renewal.
func (a *Agent) Report() structs.WorkerReport {
	report := structs.WorkerReport{Worker: a.worker, Incarnation: a.incarnation}
	for _, t := range a.sortedTasks() {
		if p, ok := t.reportedPhase(); ok {
			report.Tasks = append(report.Tasks, structs.TaskReport{Job: t.key.job, Run: t.key.run, Phase: p, Error: t.err})
		}
	}
	return report
}

// Deadline returns the time of the next Timer event, and whether one is needed.
func (a *Agent) Deadline() (time.Duration, bool) {
	next, found := time.Duration(0), false
	for _, t := range a.tasks {
		at := a.leaseEnd
		switch {
		case t.phase == phaseStopping && t.forceStopped:
			continue
		case t.phase == phaseEnded && !t.omitted:
			continue
		case t.phase == phaseEnded:
			at = t.removeAt
		}
		if !found || at < next {
			next, found = at, true
		}
	}
	return next, found
}

// Step handles one event. The lease is checked first, so that a process that
// was paused stops its tasks before it does anything else.
func (a *Agent) Step(now time.Duration, ev Event) []Effect {
	effects := a.checkLease(now)
	a.removeEndedRuns(now)
	switch e := ev.(type) {
	case RenewalSent:
		a.renewalSent(now, e)
	case OrdersReceived:
		effects = append(effects, a.ordersReceived(now, e)...)
	case TaskExited:
		a.taskExited(e)
	case CheckpointDone:
		a.checkpointDone(e)
	}
	a.prepareWaiting()
	if a.hasTransition() {
		a.fastUntil = now + fastRenewalTime
	}
	return effects
}

// RenewalInterval returns the time from one renewal to the next.
func (a *Agent) RenewalInterval(now time.Duration) time.Duration {
	if now < a.fastUntil {
		return fastRenewalInterval
	}
	return renewalInterval
}

// hasTransition reports whether a task waits for its next order, or has a result
// that the owner may not have received yet.
func (a *Agent) hasTransition() bool {
	for _, t := range a.tasks {
		if t.phase != phaseRunning && !t.omitted {
			return true
		}
	}
	return false
}

// checkLease kills all tasks when the lease has expired.
func (a *Agent) checkLease(now time.Duration) []Effect {
	if now < a.leaseEnd {
		return nil
	}
	var effects []Effect
	for _, t := range a.sortedTasks() {
		effects = append(effects, t.stop(true)...)
	}
	return effects
}

// removeEndedRuns removes ended runs that no valid orders can list any more.
func (a *Agent) removeEndedRuns(now time.Duration) {
	for key, t := range a.tasks {
		if t.phase == phaseEnded && t.omitted && now >= t.removeAt {
			delete(a.tasks, key)
		}
	}
}

// renewalSent records the time of a renewal, from which its lease counts.
func (a *Agent) renewalSent(now time.Duration, e RenewalSent) {
	a.outstanding = append(a.outstanding, renewal{seq: e.Seq, sent: now})
	if len(a.outstanding) > maxOutstanding {
		a.outstanding = a.outstanding[1:]
	}
}

// taskExited records the end of a task and its result.
func (a *Agent) taskExited(e TaskExited) {
	t := a.tasks[taskKey{e.Job, e.Run}]
	if t == nil || t.phase == phaseEnded {
		return
	}
	switch {
	case t.phase == phaseStopping:
		t.end(structs.TaskStopped, "")
	case e.Failed:
		t.end(structs.TaskFailed, e.Error)
	default:
		t.end(structs.TaskSucceeded, "")
	}
}

// checkpointDone records a completed checkpoint. The task keeps running until it
// is stopped.
func (a *Agent) checkpointDone(e CheckpointDone) {
	t := a.tasks[taskKey{e.Job, e.Run}]
	if t != nil && t.phase == phaseCheckpointing {
		t.phase = phaseCheckpointed
	}
}

// prepareWaiting moves tasks to phasePrepared when no other task uses their
// accelerators.
func (a *Agent) prepareWaiting() {
	for _, t := range a.sortedTasks() {
		if t.phase == phasePreparing && !a.hasAcceleratorConflict(t) {
			t.phase = phasePrepared
		}
	}
}

// hasAcceleratorConflict reports whether another task uses an accelerator of t.
func (a *Agent) hasAcceleratorConflict(t *task) bool {
	for _, other := range a.tasks {
		if other == t || other.phase == phaseEnded || other.phase == phasePreparing {
			continue
		}
		for _, index := range t.accelerators {
			if slices.Contains(other.accelerators, index) {
				return true
			}
		}
	}
	return false
}

// sortedTasks returns the tasks sorted by job and run.
func (a *Agent) sortedTasks() []*task {
	list := make([]*task, 0, len(a.tasks))
	for _, t := range a.tasks {
		list = append(list, t)
	}
	slices.SortFunc(list, func(x, y *task) int {
		return cmp.Or(cmp.Compare(x.key.job, y.key.job), cmp.Compare(x.key.run, y.key.run))
	})
	return list
}
