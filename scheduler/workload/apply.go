package workload

import (
	"math"
	"slices"
	"time"
)

// Apply implements replica.StateMachine. A command that cannot be decoded leaves the
// state unchanged.
func (s *State) Apply(_, term uint64, data []byte) []byte {
	c, err := DecodeCommand(data)
	if err != nil {
		return []byte{byte(ResultInvalid)}
	}
	s.changes++
	return []byte{byte(s.apply(c, term))}
}

func (s *State) apply(c *Command, term uint64) Result {
	switch {
	case c.Configure != nil:
		return s.configure(c.Configure)
	case c.Submit != nil:
		return s.submit(c.Submit, c.At)
	case c.Cancel != "":
		return s.cancel(c.Cancel, c.At)
	case len(c.Purge) > 0:
		return s.purge(c.Purge)
	case c.Evacuate != nil:
		return s.evacuate(*c.Evacuate, c.At)
	case c.Register != nil:
		s.register(c.Register)
	}
	for _, key := range c.Deregister {
		s.deregister(key)
		if c.Left {
			s.recordDeparture(key, c.At)
		}
	}
	for _, start := range c.Starts {
		s.start(start, term)
	}
	for _, end := range c.Ends {
		s.end(end, c.At)
	}
	return ResultApplied
}

// configure stores a configuration with a higher version than the current one. A
// different document with the current version is ignored.
func (s *State) configure(c *Config) Result {
	if s.Configured() && c.Version <= s.config.Version {
		return ResultUnchanged
	}
	s.config = *c
	s.index = newIndex(&s.config)
	s.bindAll()
	s.changeList.invalidate()
	return ResultApplied
}

// submit stores a job. The specification was validated before it was proposed; one
// whose structure is invalid all the same would end every host that applies it.
// Nothing else is checked here, so that jobs accepted by an earlier version stay.
func (s *State) submit(j *Job, at time.Duration) Result {
	if j.Spec.validateStructure() != nil {
		return ResultInvalid
	}
	if s.jobs[j.ID] != nil {
		return ResultUnchanged
	}
	s.sequence++
	j.Sequence = s.sequence
	j.Submitted = at
	j.initTasks()
	s.bind(j)
	s.count(j, 1)
	s.jobs[j.ID] = j
	s.addActive(j)
	s.jobChanged(j.ID)
	return ResultApplied
}

func (s *State) cancel(id string, at time.Duration) Result {
	j := s.jobs[id]
	if j == nil {
		return ResultUnknownJob
	}
	// No command depends on this time, which earlier versions do not store.
	j.LastCancel = at
	if !j.Phase.Ended() {
		j.Phase, j.EndedAt = Cancelled, at
		s.recordEnded(j)
		s.jobChanged(id)
	}
	return ResultApplied
}

// purge deletes ended jobs that have no runs.
func (s *State) purge(ids []string) Result {
	for _, id := range ids {
		if j := s.jobs[id]; j != nil && j.Phase.Ended() && !j.HasRuns() {
			s.count(j, -1)
			delete(s.jobs, id)
			s.jobChanged(id)
		}
	}
	return ResultApplied
}

// start records a run. A start that no longer fits the state is ignored; the leader
// then finds no run and sends no order.
func (s *State) start(start Start, term uint64) {
	j, t := s.TaskOf(start.Task)
	if t == nil || j.Phase.Ended() || t.Done || t.Run != nil || start.Run <= t.LastRun {
		return
	}
	t.Run = &Run{Number: start.Run, Executor: start.Executor, Term: term}
	j.progress.attempts += start.Run - t.LastRun
	t.LastRun = start.Run
	j.addIdle(start.Task.Occurrence, start.Task.Step, -1)
	j.countRun(start.Task.Occurrence, 1)
	s.addRun(start.Task, t.Run)
	j.Started = true
	j.Phase = Running
}

// end records the end of a run and updates its task, step and job.
func (s *State) end(e End, at time.Duration) {
	j, t := s.TaskOf(e.Task)
	if t == nil {
		return
	}
	if t.Run == nil || t.Run.Number != e.Run || t.Run.Executor != e.Executor {
		if e.Ending == EndFailed && !j.Phase.Ended() && !t.Done {
			// The run was ended for another reason before its failure was
			// reported. The failure still counts.
			j.fail(e.Task, e.Run, at)
			s.recordEnded(j)
			s.jobChanged(j.ID)
		}
		return
	}
	s.removeRun(e.Task, t.Run)
	t.Run = nil
	j.countRun(e.Task.Occurrence, -1)
	j.saveCheckpoint(e)
	step := &j.Occurrences[e.Task.Occurrence].Steps[e.Task.Step]
	if !t.Done {
		j.addIdle(e.Task.Occurrence, e.Task.Step, 1)
	}
	j.saveRunTime(e)
	if e.Ending != EndDone {
		step.LastIncompleteRun = max(step.LastIncompleteRun, e.Run)
	}
	if j.Phase.Ended() {
		return
	}
	switch e.Ending {
	case EndDone:
		j.finish(e.Task, at)
	case EndFailed:
		j.fail(e.Task, e.Run, at)
	}
	s.recordEnded(j)
}

// saveRunTime adds the run time of a run that is done to its step, if it was measured.
func (j *Job) saveRunTime(e End) {
	step := &j.Occurrences[e.Task.Occurrence].Steps[e.Task.Step]
	if e.Ending == EndDone && e.Took > 0 && e.Took <= maxRunTime {
		step.Measured++
		step.RunTimes += e.Took
		j.progress.steps[e.Task.Step].measured++
		j.progress.steps[e.Task.Step].runTimes += e.Took
	}
}

// maxRunTime keeps the sum of the run times of a step in range.
const maxRunTime = math.MaxInt64 / maxTaskRuns

// saveCheckpoint stores the checkpoint of a run, if it has one. The checkpoint of a
// gang member is stored for the whole gang, because all members must resume from the
// same checkpoint.
func (j *Job) saveCheckpoint(e End) {
	if e.Checkpoint == "" {
		return
	}
	tasks := j.Occurrences[e.Task.Occurrence].Steps[e.Task.Step].Tasks
	if !j.Spec.Steps[e.Task.Step].Gang {
		tasks[e.Task.Index].Checkpoint = e.Checkpoint
		return
	}
	for i := range tasks {
		tasks[i].Checkpoint = e.Checkpoint
	}
}

// finish marks a task as done. If one member of a gang is done, the whole gang is.
func (j *Job) finish(key TaskKey, at time.Duration) {
	step := &j.Occurrences[key.Occurrence].Steps[key.Step]
	spec := &j.Spec.Steps[key.Step]
	if spec.LongRunning {
		return
	}
	first, last := key.Index, key.Index
	if spec.Gang {
		first, last = 0, len(step.Tasks)-1
	}
	hadRemaining := step.Remaining > 0
	j.countStep(key.Occurrence, key.Step, -1)
	for i := first; i <= last; i++ {
		if !step.Tasks[i].Done {
			step.Tasks[i].Done = true
			if step.Tasks[i].Run == nil {
				step.idle--
			}
			step.Remaining--
		}
	}
	j.countStep(key.Occurrence, key.Step, 1)
	if hadRemaining && step.Remaining == 0 {
		j.finishStep(key.Occurrence, key.Step, at)
	}
}

// finishStep updates what remains after a step was done, and completes the job if nothing
// does.
func (j *Job) finishStep(occurrence, step int, at time.Duration) {
	j.unblock(occurrence, step)
	o := &j.Occurrences[occurrence]
	o.Remaining--
	if o.Remaining > 0 {
		return
	}
	j.Remaining--
	if j.Remaining == 0 {
		j.Phase, j.EndedAt = Completed, at
	}
}

// fail counts a failed run once, also if it is reported several times. The failed
// runs of the members of a gang with the same number count once.
func (j *Job) fail(key TaskKey, run int, at time.Duration) {
	if j.Spec.Steps[key.Step].LongRunning {
		return
	}
	failures, runs := j.failures(key)
	if slices.Contains(*runs, run) {
		return
	}
	*runs = append(*runs, run)
	*failures++
	if j.MaxAttempts > 0 && *failures >= j.MaxAttempts {
		j.Phase, j.EndedAt = Failed, at
	}
}

// failures returns pointers to the failure count and the failed runs of a task, or of
// its gang.
func (j *Job) failures(key TaskKey) (count *int, runs *[]int) {
	step := &j.Occurrences[key.Occurrence].Steps[key.Step]
	if j.Spec.Steps[key.Step].Gang {
		return &step.Failures, &step.FailedRuns
	}
	t := &step.Tasks[key.Index]
	return &t.Failures, &t.FailedRuns
}

// FailureCounted reports whether the failure of a run need not be proposed: it is
// counted already, it no longer counts for the task, or the run was never started.
func (s *State) FailureCounted(key TaskKey, run int) bool {
	j, t := s.TaskOf(key)
	if t == nil || j.Phase.Ended() || t.Done || run > t.LastRun || j.Spec.Steps[key.Step].LongRunning {
		return true
	}
	_, runs := j.failures(key)
	return slices.Contains(*runs, run)
}
