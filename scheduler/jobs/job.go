package jobs

import (
	"slices"
	"time"

	"cranberrydrum.dev/scheduler/structs"
)

// stopCause determines the next status of a job once all of its members have
// stopped. If several causes apply, the highest value wins.
type stopCause uint8

const (
	stopRequeue stopCause = 1
	stopFail    stopCause = 2
	stopCancel  stopCause = 3
)

// job is a job with the internal fields of the state machine.
type job struct {
	structs.Job
	// seq orders the jobs by submission.
	seq uint64

	// Times are on the domain clock. started is the reservation of the run and,
	// from StartGang on, its start.
	submitted time.Duration
	started   time.Duration
	// reservedIndex is the log index of the run's reservation.
	reservedIndex uint64
	checkpointed  time.Duration
	finished      time.Duration

	// phases holds the logged phase of each member: an empty string until the
	// member has checkpointed or ended.
	phases []structs.TaskPhase
	// liveMembers counts the members that have not ended.
	liveMembers int

	cause stopCause
	// stopNow orders an immediate stop. A stopping job without it is ordered to
	// checkpoint and has until the deadline.
	stopNow  bool
	deadline time.Duration

	// failedOn lists the distinct workers to which failed runs are attributed.
	// avoid lists the latest of these and of the workers that did not prepare
	// in time.
	failedOn []string
	avoid    []string
	// interrupted means that the last run ended because a worker was lost or
	// restarted. It is only a hint to the planner, so snapshots omit it.
	interrupted bool
	// resumed means that the job was requeued with a checkpoint, so that its last
	// run is only a part of the work.
	resumed bool
	// ineligible means that the configuration does not admit the queued job.
	ineligible bool
}

// copy returns a deep copy of the public part.
func (j *job) copy() structs.Job {
	c := j.Job
	c.Spec.Command = slices.Clone(j.Spec.Command)
	c.Members = cloneMembers(j.Members)
	return c
}

// cloneMembers returns a deep copy of members.
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

// member returns the index of a worker in the gang, or -1.
func (j *job) member(worker string) int {
	for i := range j.Members {
		if j.Members[i].Worker == worker {
			return i
		}
	}
	return -1
}

// isTerminal reports whether a task in phase p has ended.
func isTerminal(p structs.TaskPhase) bool {
	return p == structs.TaskStopped || p == structs.TaskSucceeded || p == structs.TaskFailed
}

// active reports whether the job has members that may be running.
func (j *job) active() bool {
	return j.Status == structs.JobReserved || j.Status == structs.JobRunning || j.Status == structs.JobStopping
}

// avoidWorker adds a worker on which the job should not run again. The list keeps
// the last maxAvoid workers.
func (j *job) avoidWorker(worker string) {
	if slices.Contains(j.avoid, worker) {
		return
	}
	j.avoid = append(j.avoid, worker)
	if len(j.avoid) > maxAvoid {
		j.avoid = j.avoid[1:]
	}
}

// beginStop moves an active job to stopping. For a job that is already stopping it
// can turn a graceful stop into an immediate one and raise the cause.
func (s *State) beginStop(j *job, cause stopCause, stopNow bool, reason string) {
	s.changes.add(change{job: j.ID})
	if j.Status != structs.JobStopping {
		j.Status = structs.JobStopping
		j.cause, j.stopNow, j.Reason = cause, stopNow, reason
		return
	}
	j.stopNow = j.stopNow || stopNow
	if cause > j.cause {
		j.cause, j.Reason = cause, reason
	}
}

// endMember records the terminal phase of a member.
func (s *State) endMember(j *job, i int, phase structs.TaskPhase) {
	j.phases[i] = phase
	j.liveMembers--
	s.changes.add(change{job: j.ID})
}

// finishRun finishes or requeues an active job if all of its members have ended.
func (s *State) finishRun(j *job) {
	if !j.active() || j.liveMembers > 0 {
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

// requeue returns a stopped job to the queue.
func (s *State) requeue(j *job) {
	s.changes.add(change{job: j.ID})
	j.Status = structs.JobQueued
	j.cause, j.stopNow, j.deadline = 0, false, 0
	j.Members, j.phases = nil, nil
	j.resumed = j.resumed || j.checkpointed > 0
	s.updateEligibility(j)
}

// finish moves a job to a terminal status.
func (s *State) finish(j *job, status structs.JobStatus) {
	s.changes.add(change{job: j.ID})
	j.Status = status
	j.finished = s.clock
	j.phases, j.avoid = nil, nil
	j.cause, j.stopNow, j.deadline = 0, false, 0
	s.terminal = append(s.terminal, j)
	s.openJobs[j.Spec.Customer]--
	if s.openJobs[j.Spec.Customer] == 0 {
		delete(s.openJobs, j.Spec.Customer)
	}
}

// reserve begins a new run of a job on the planned accelerators.
func (s *State) reserve(j *job, members []structs.Member) {
	s.changes.add(change{job: j.ID})
	j.Status = structs.JobReserved
	j.Run++
	j.Members = cloneMembers(members)
	j.phases = make([]structs.TaskPhase, len(members))
	j.liveMembers = len(members)
	j.started, j.Reason = s.clock, ""
	j.reservedIndex = s.index
	s.allocate(j)
}

// allocate assigns the accelerators of the members to the job.
func (s *State) allocate(j *job) {
	s.allocated[j.Spec.Customer] += j.Spec.Accelerators
	for _, m := range j.Members {
		w := s.workers[m.Worker]
		for _, a := range m.Accelerators {
			w.holders[a] = j
		}
		w.insert(j)
	}
}

// release frees the accelerators of all members. They are freed together,
// because a gang holds all of its accelerators until its last task has stopped.
func (s *State) release(j *job) {
	s.allocated[j.Spec.Customer] -= j.Spec.Accelerators
	if s.allocated[j.Spec.Customer] == 0 {
		delete(s.allocated, j.Spec.Customer)
	}
	for _, m := range j.Members {
		w := s.workers[m.Worker]
		for _, a := range m.Accelerators {
			w.holders[a] = nil
		}
		w.remove(j)
		s.removeIfDrained(w)
	}
}
