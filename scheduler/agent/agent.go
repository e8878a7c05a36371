package agent

import (
	"cmp"
	"slices"
	"time"

	"cranberrydrum.dev/scheduler/structs"
)

const (
	// renewalInterval is the time between renewals, and hurriedInterval that
	// while the worker waits for orders. A start takes three orders and a
	// preemption six, which at one a second exceeds the 4.8 s for urgent work.
	renewalInterval = time.Second
	hurriedInterval = 200 * time.Millisecond
	// hurryTime is how long the worker hurries after the last change of a
	// task, because the next order depends on the log and on other workers.
	hurryTime = time.Second
)

// maxOutstanding bounds the renewals whose orders may still be used.
const maxOutstanding = 64

// Agent is the state of one worker process. It is not safe for concurrent use.
type Agent struct {
	worker      structs.Worker
	incarnation uint64

	// term is the highest term seen; orders of lower terms are ignored.
	term uint64
	// leaseEnd is when all tasks must have been told to stop.
	leaseEnd time.Duration
	// lease is the last granted duration; ended runs are remembered for it.
	lease time.Duration
	// outstanding are the renewals sent and not answered, oldest first.
	outstanding []renewal
	// answered is the highest renewal whose orders were used.
	answered uint64
	// hurryUntil is when renewals return to their usual interval.
	hurryUntil time.Duration

	tasks map[taskKey]*task
}

// renewal remembers when a renewal was sent.
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
	// phasePreparing waits for accelerators of tasks that are still stopping.
	phasePreparing phase = iota
	phasePrepared
	phaseRunning
	phaseCheckpointing
	phaseCheckpointed
	// phaseStopping has been told to stop and may still use accelerators.
	phaseStopping
	// phaseEnded is kept so that the run is never started again.
	phaseEnded
)

// task is one member of a gang on this worker.
type task struct {
	key          taskKey
	phase        phase
	accelerators []int
	limits       structs.Limits
	command      []string
	throttled    bool
	// forced is set once the task was told to stop at the end of a lease.
	forced bool
	// result and error are reported once the task has ended.
	result structs.TaskPhase
	err    string
	// omitted is set when orders no longer list the ended run; it is
	// forgotten at forgetAt.
	omitted  bool
	forgetAt time.Duration
}

// New returns the agent of a worker process that has just started. The
// incarnation must grow with each start of the process on the same worker.
func New(worker structs.Worker, incarnation uint64) *Agent {
	return &Agent{worker: worker, incarnation: incarnation, tasks: map[taskKey]*task{}}
}

// Report returns the content of the next renewal.
func (a *Agent) Report() structs.WorkerReport {
	report := structs.WorkerReport{Worker: a.worker, Incarnation: a.incarnation}
	for _, t := range a.sorted() {
		if p, ok := t.reported(); ok {
			report.Tasks = append(report.Tasks, structs.TaskReport{Job: t.key.job, Run: t.key.run, Phase: p, Error: t.err})
		}
	}
	return report
}

// Deadline returns when the agent needs a Timer event, if at all.
func (a *Agent) Deadline() (time.Duration, bool) {
	next, found := time.Duration(0), false
	for _, t := range a.tasks {
		at := a.leaseEnd
		switch {
		case t.phase == phaseStopping && t.forced:
			continue
		case t.phase == phaseEnded && !t.omitted:
			continue
		case t.phase == phaseEnded:
			at = t.forgetAt
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
	a.forget(now)
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
	if a.inTransition() {
		a.hurryUntil = now + hurryTime
	}
	return effects
}

// RenewalInterval returns the time from one renewal to the next.
func (a *Agent) RenewalInterval(now time.Duration) time.Duration {
	if now < a.hurryUntil {
		return hurriedInterval
	}
	return renewalInterval
}

// inTransition reports whether a task waits for its next order, or has a
// result that the owner may not know yet.
func (a *Agent) inTransition() bool {
	for _, t := range a.tasks {
		if t.phase != phaseRunning && !t.omitted {
			return true
		}
	}
	return false
}

// checkLease stops all tasks once the lease is over.
func (a *Agent) checkLease(now time.Duration) []Effect {
	if now < a.leaseEnd {
		return nil
	}
	var effects []Effect
	for _, t := range a.sorted() {
		effects = append(effects, t.stop(true)...)
	}
	return effects
}

// forget drops ended runs that no valid order can mention any more.
func (a *Agent) forget(now time.Duration) {
	for key, t := range a.tasks {
		if t.phase == phaseEnded && t.omitted && now >= t.forgetAt {
			delete(a.tasks, key)
		}
	}
}

// renewalSent remembers the start of a possible lease.
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

// checkpointDone notes a finished checkpoint; the task keeps running until it
// is told to stop.
func (a *Agent) checkpointDone(e CheckpointDone) {
	t := a.tasks[taskKey{e.Job, e.Run}]
	if t != nil && t.phase == phaseCheckpointing {
		t.phase = phaseCheckpointed
	}
}

// prepareWaiting prepares tasks whose accelerators no other task uses.
func (a *Agent) prepareWaiting() {
	for _, t := range a.sorted() {
		if t.phase == phasePreparing && !a.inUse(t) {
			t.phase = phasePrepared
		}
	}
}

// inUse reports whether another task holds an accelerator of t.
func (a *Agent) inUse(t *task) bool {
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

// sorted returns the tasks by job and run.
func (a *Agent) sorted() []*task {
	list := make([]*task, 0, len(a.tasks))
	for _, t := range a.tasks {
		list = append(list, t)
	}
	slices.SortFunc(list, func(x, y *task) int {
		return cmp.Or(cmp.Compare(x.key.job, y.key.job), cmp.Compare(x.key.run, y.key.run))
	})
	return list
}
