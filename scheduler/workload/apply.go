package workload

import (
	"slices"
	"time"
)

// Apply implements replica.StateMachine. A command that cannot be decoded
// changes nothing.
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
	case len(c.Forget) > 0:
		return s.forget(c.Forget)
	case c.Enroll != nil:
		s.enroll(c.Enroll)
	}
	for _, key := range c.Dismiss {
		s.dismiss(key)
	}
	for _, start := range c.Starts {
		s.start(start, term)
	}
	for _, end := range c.Ends {
		s.end(end, c.At)
	}
	return ResultDone
}

// configure keeps the highest version. Another document under the present
// version changes nothing.
func (s *State) configure(c *Config) Result {
	if s.Configured() && c.Version <= s.config.Version {
		return ResultKnown
	}
	s.config = *c
	s.index = newIndex(&s.config)
	return ResultDone
}

func (s *State) submit(j *Job, at time.Duration) Result {
	if s.jobs[j.ID] != nil {
		return ResultKnown
	}
	s.sequence++
	j.Sequence = s.sequence
	j.Submitted = at
	j.prepare()
	s.jobs[j.ID] = j
	return ResultDone
}

func (s *State) cancel(id string, at time.Duration) Result {
	j := s.jobs[id]
	if j == nil {
		return ResultUnknownJob
	}
	if !j.Phase.Ended() {
		j.Phase, j.EndedAt = Cancelled, at
		s.noteEnded(j)
	}
	return ResultDone
}

// forget drops ended jobs whose runs are over.
func (s *State) forget(ids []string) Result {
	for _, id := range ids {
		if j := s.jobs[id]; j != nil && j.Phase.Ended() && !j.AtWork() {
			delete(s.jobs, id)
		}
	}
	return ResultDone
}

// start records a run. A decision that the state has overtaken is dropped; the
// leader sees no run and sends no order.
func (s *State) start(d Start, term uint64) {
	j, t := s.TaskOf(d.Task)
	if t == nil || j.Phase.Ended() || t.Done || t.Run != nil || d.Run <= t.LastRun {
		return
	}
	t.Run = &Run{Number: d.Run, Executor: d.Executor, Term: term}
	t.LastRun = d.Run
	s.occupy(d.Task, t.Run)
	j.Started = true
	j.Phase = Running
}

// end records the end of a run and what follows for its task, step and job.
func (s *State) end(e End, at time.Duration) {
	j, t := s.TaskOf(e.Task)
	if t == nil {
		return
	}
	if t.Run == nil || t.Run.Number != e.Run || t.Run.Executor != e.Executor {
		if e.Ending == EndFailed && !j.Phase.Ended() && !t.Done {
			// The run was given up before its failure was heard of.
			j.fail(e.Task, e.Run, at)
			s.noteEnded(j)
		}
		return
	}
	s.vacate(e.Task, t.Run)
	t.Run = nil
	j.saved(e)
	if e.Ending != EndDone {
		step := &j.Occurrences[e.Task.Occurrence].Steps[e.Task.Step]
		step.BrokenRun = max(step.BrokenRun, e.Run)
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
	s.noteEnded(j)
}

// saved keeps a checkpoint. That of a gang member serves the whole gang, which
// has to resume from one and the same.
func (j *Job) saved(e End) {
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

// finish marks a task as done; the end of one gang member stands for all.
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
	for i := first; i <= last; i++ {
		if !step.Tasks[i].Done {
			step.Tasks[i].Done = true
			step.Remaining--
		}
	}
	if step.Remaining > 0 {
		return
	}
	j.finishStep(key.Occurrence, at)
}

func (j *Job) finishStep(occurrence int, at time.Duration) {
	o := &j.Occurrences[occurrence]
	o.Remaining = 0
	for i := range o.Steps {
		if o.Steps[i].Remaining > 0 {
			o.Remaining++
		}
	}
	if o.Remaining > 0 {
		return
	}
	j.Remaining = 0
	for k := range j.Occurrences {
		if j.Occurrences[k].Remaining > 0 {
			j.Remaining++
		}
	}
	if j.Remaining == 0 {
		j.Phase, j.EndedAt = Completed, at
	}
}

// fail counts a failed run once, whoever reports it; a gang fails as one.
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

// failures returns where the failed runs of a task, or of its gang, are kept.
func (j *Job) failures(key TaskKey) (count *int, runs *[]int) {
	step := &j.Occurrences[key.Occurrence].Steps[key.Step]
	if j.Spec.Steps[key.Step].Gang {
		return &step.Failures, &step.FailedRuns
	}
	t := &step.Tasks[key.Index]
	return &t.Failures, &t.FailedRuns
}

// FailureCounted reports whether a failed run of a task needs no more notice.
func (s *State) FailureCounted(key TaskKey, run int) bool {
	j, t := s.TaskOf(key)
	if t == nil || j.Phase.Ended() || t.Done || j.Spec.Steps[key.Step].LongRunning {
		return true
	}
	_, runs := j.failures(key)
	return slices.Contains(*runs, run)
}
