package jobs

import (
	"slices"
	"time"

	"cranberrydrum.dev/scheduler/structs"
)

// stopCause says what becomes of a job once all of its members have stopped.
// Higher values win when causes meet.
type stopCause uint8

const (
	stopRequeue stopCause = 1
	stopFail    stopCause = 2
	stopCancel  stopCause = 3
)

// job is a job with what the state machine knows beyond the public part.
type job struct {
	structs.Job
	seq uint64

	// Domain clock of the events of the job.
	submitted time.Duration
	started   time.Duration
	// order is the log index of the reservation of the run.
	order        uint64
	checkpointed time.Duration
	finished     time.Duration

	// phases are the logged phases of the members; empty while active.
	phases []structs.TaskPhase
	// live counts the members that have not ended.
	live int

	cause stopCause
	// halt orders a stop; a stopping job without it is told to checkpoint
	// until the deadline.
	halt     bool
	deadline time.Duration

	// failedOn lists the different workers that the failed runs are charged
	// to, and avoid those and the ones that did not prepare.
	failedOn []string
	avoid    []string
	// interrupted marks a job whose last run was lost with a worker. It only
	// advises the planner, so snapshots leave it out.
	interrupted bool
	// resumed marks a job that a later run continues from a checkpoint.
	resumed bool
	// ineligible holds a queued job that the configuration does not admit.
	ineligible bool
}

// copy returns the public part without shared memory.
func (j *job) copy() structs.Job {
	c := j.Job
	c.Spec.Command = slices.Clone(j.Spec.Command)
	c.Members = cloneMembers(j.Members)
	return c
}

// cloneMembers returns a deep copy.
func cloneMembers(members []structs.Member) []structs.Member {
	if members == nil {
		return nil
	}
	c := make([]structs.Member, len(members))
	for i, m := range members {
		c[i] = structs.Member{Worker: m.Worker, Accelerators: slices.Clone(m.Accelerators)}
	}
	return c
}

// member returns the position of a worker in the gang, or -1.
func (j *job) member(worker string) int {
	for i := range j.Members {
		if j.Members[i].Worker == worker {
			return i
		}
	}
	return -1
}

// ended reports whether a phase is the last of a task.
func ended(p structs.TaskPhase) bool {
	return p == structs.TaskStopped || p == structs.TaskSucceeded || p == structs.TaskFailed
}

// active reports whether the job has members that may run.
func (j *job) active() bool {
	return j.Status == structs.JobReserved || j.Status == structs.JobRunning || j.Status == structs.JobStopping
}

// noteAvoid remembers a worker on which the job should not run again.
func (j *job) noteAvoid(worker string) {
	if slices.Contains(j.avoid, worker) {
		return
	}
	j.avoid = append(j.avoid, worker)
	if len(j.avoid) > maxAvoid {
		j.avoid = j.avoid[1:]
	}
}

// beginStop moves an active job to stopping, or strengthens a stop under way.
func (s *State) beginStop(j *job, cause stopCause, halt bool, reason string) {
	s.changes.add(change{job: j.ID})
	if j.Status != structs.JobStopping {
		j.Status = structs.JobStopping
		j.cause, j.halt, j.Reason = cause, halt, reason
		return
	}
	j.halt = j.halt || halt
	if cause > j.cause {
		j.cause, j.Reason = cause, reason
	}
}

// endMember records the last phase of a member.
func (s *State) endMember(j *job, i int, phase structs.TaskPhase) {
	j.phases[i] = phase
	j.live--
	s.changes.add(change{job: j.ID})
}

// settle decides the fate of a job whose members have all ended.
func (s *State) settle(j *job) {
	if !j.active() || j.live > 0 {
		return
	}
	succeeded := !slices.ContainsFunc(j.phases, func(p structs.TaskPhase) bool { return p != structs.TaskSucceeded })
	s.release(j)
	switch {
	case j.Status == structs.JobStopping && j.cause == stopCancel:
		s.finish(j, structs.JobCancelled)
	case succeeded:
		j.Reason = ""
		s.finish(j, structs.JobSucceeded)
	case j.cause == stopFail:
		s.finish(j, structs.JobFailed)
	default:
		s.requeue(j)
	}
}

// requeue puts a stopped job back into the queue.
func (s *State) requeue(j *job) {
	s.changes.add(change{job: j.ID})
	j.Status = structs.JobQueued
	j.cause, j.halt, j.deadline = 0, false, 0
	j.Members, j.phases = nil, nil
	j.resumed = j.resumed || j.checkpointed > 0
	s.checkEligible(j)
}

// finish moves a job to a terminal state.
func (s *State) finish(j *job, status structs.JobStatus) {
	s.changes.add(change{job: j.ID})
	j.Status = status
	j.finished = s.clock
	j.phases, j.avoid = nil, nil
	j.cause, j.halt, j.deadline = 0, false, 0
	s.terminal = append(s.terminal, j)
	s.open[j.Spec.Customer]--
	if s.open[j.Spec.Customer] == 0 {
		delete(s.open, j.Spec.Customer)
	}
}

// reserve hands the planned accelerators to a job.
func (s *State) reserve(j *job, members []structs.Member) {
	s.changes.add(change{job: j.ID})
	j.Status = structs.JobReserved
	j.Run++
	j.Members = cloneMembers(members)
	j.phases = make([]structs.TaskPhase, len(members))
	j.live = len(members)
	j.started, j.Reason = s.clock, ""
	j.order = s.index
	s.hold(j)
}

// hold marks the accelerators of a job's members as used.
func (s *State) hold(j *job) {
	s.held[j.Spec.Customer] += j.Spec.Accelerators
	for _, m := range j.Members {
		w := s.workers[m.Worker]
		for _, a := range m.Accelerators {
			w.holders[a] = j
		}
		w.insert(j)
	}
}

// release frees the accelerators of all members. They are freed together,
// because a gang counts as holding until the last of its tasks has stopped.
func (s *State) release(j *job) {
	s.held[j.Spec.Customer] -= j.Spec.Accelerators
	if s.held[j.Spec.Customer] == 0 {
		delete(s.held, j.Spec.Customer)
	}
	for _, m := range j.Members {
		w := s.workers[m.Worker]
		for _, a := range m.Accelerators {
			w.holders[a] = nil
		}
		w.remove(j)
		s.reap(w)
	}
}
