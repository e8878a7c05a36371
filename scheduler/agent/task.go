package agent

import "cranberrydrum.dev/scheduler/structs"

// reportedPhase returns the phase to report, and whether the task is reported at
// all. A stopping task is reported as running, because it may still use its
// accelerators.
func (t *task) reportedPhase() (structs.TaskPhase, bool) {
	switch t.phase {
	case phasePrepared:
		return structs.TaskPrepared, true
	case phaseRunning, phaseCheckpointing, phaseStopping:
		return structs.TaskRunning, true
	case phaseCheckpointed:
		return structs.TaskCheckpointed, true
	case phaseEnded:
		return t.result, !t.omitted
	}
	return "", false
}

// isStarted reports whether the I/O layer runs the task.
func (t *task) isStarted() bool {
	return t.phase == phaseRunning || t.phase == phaseCheckpointing || t.phase == phaseCheckpointed
}

// maxErrorBytes bounds the error text of a task in a renewal.
const maxErrorBytes = 256

// end records the result of a run. Only an ended run releases its accelerators.
func (t *task) end(result structs.TaskPhase, err string) {
	t.phase, t.result, t.err = phaseEnded, result, structs.Truncate(err, maxErrorBytes)
	t.command = nil
}

// start starts a prepared task. For a running task it ends throttling.
func (t *task) start() []Effect {
	if t.phase != phasePrepared {
		return t.throttle(false)
	}
	t.phase = phaseRunning
	return []Effect{StartTask{Job: t.key.job, Run: t.key.run, Accelerators: t.accelerators, Limits: t.limits, Command: t.command}}
}

// stop stops the task. A task that has not started ends at once.
func (t *task) stop(force bool) []Effect {
	switch {
	case t.phase < phaseRunning:
		t.end(structs.TaskStopped, "")
		return nil
	case t.phase == phaseEnded, t.phase == phaseStopping && (!force || t.forceStopped):
		return nil
	}
	t.phase = phaseStopping
	t.forceStopped = force
	return []Effect{StopTask{Job: t.key.job, Run: t.key.run, Force: force}}
}

// checkpoint requests a checkpoint from a running task, once. A task that has
// not started has no state to save and is stopped.
func (t *task) checkpoint() []Effect {
	if t.phase < phaseRunning {
		return t.stop(false)
	}
	if t.phase != phaseRunning {
		return nil
	}
	t.phase = phaseCheckpointing
	return []Effect{CheckpointTask{Job: t.key.job, Run: t.key.run}}
}

// throttle starts or ends throttling of a running task.
func (t *task) throttle(on bool) []Effect {
	if !t.isStarted() || t.throttled == on {
		return nil
	}
	t.throttled = on
	return []Effect{ThrottleTask{Job: t.key.job, Run: t.key.run, Enabled: on}}
}
