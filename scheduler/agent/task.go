package agent

import "cranberrydrum.dev/scheduler/structs"

// reported returns the phase to report, if the task is worth reporting. A task
// that is stopping counts as running, because it may use its accelerators.
func (t *task) reported() (structs.TaskPhase, bool) {
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

// started reports whether the I/O layer runs the task.
func (t *task) started() bool {
	return t.phase == phaseRunning || t.phase == phaseCheckpointing || t.phase == phaseCheckpointed
}

// maxErrorBytes bounds the error text in each renewal.
const maxErrorBytes = 256

// end records the result. Only an ended run frees its accelerators.
func (t *task) end(result structs.TaskPhase, err string) {
	t.phase, t.result, t.err = phaseEnded, result, err[:min(len(err), maxErrorBytes)]
	t.command = nil
}

// start runs a prepared task.
func (t *task) start() []Effect {
	if t.phase != phasePrepared {
		return t.throttle(false)
	}
	t.phase = phaseRunning
	return []Effect{StartTask{Job: t.key.job, Run: t.key.run, Accelerators: t.accelerators, Limits: t.limits, Command: t.command}}
}

// stop ends the task; one that never ran has ended at once.
func (t *task) stop(force bool) []Effect {
	switch {
	case t.phase < phaseRunning:
		t.end(structs.TaskStopped, "")
		return nil
	case t.phase == phaseEnded, t.phase == phaseStopping && (!force || t.forced):
		return nil
	}
	t.phase = phaseStopping
	t.forced = force
	return []Effect{StopTask{Job: t.key.job, Run: t.key.run, Force: force}}
}

// checkpoint asks a running task for a checkpoint, once. A task that has not
// started has nothing to save and stops.
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

// throttle changes the speed of a running task.
func (t *task) throttle(on bool) []Effect {
	if !t.started() || t.throttled == on {
		return nil
	}
	t.throttled = on
	return []Effect{ThrottleTask{Job: t.key.job, Run: t.key.run, On: on}}
}
