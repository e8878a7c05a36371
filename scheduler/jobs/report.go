package jobs

import (
	"slices"

	"cranberrydrum.dev/scheduler/structs"
)

// reportTasks records reports of members of current runs and drops all others.
func (s *State) reportTasks(b *ReportTasks) Result {
	var result Result
	for _, r := range b.Reports {
		if !s.reportTask(r) {
			result.Dropped = append(result.Dropped, Dropped{Job: r.Job, Worker: r.Worker, Reason: "the run or the member is over"})
		}
	}
	return result
}

// reportTask records one report. It returns false if the report is not about a
// live member of a current run.
func (s *State) reportTask(r MemberReport) bool {
	j := s.jobs[r.Job]
	if j == nil || j.Run != r.Run || !j.active() {
		return false
	}
	i := j.member(r.Worker)
	if i < 0 || isTerminal(j.phases[i]) {
		return false
	}
	switch r.Phase {
	case structs.TaskCheckpointed:
		s.memberCheckpointed(j, i)
	case structs.TaskSucceeded:
		s.endMember(j, i, structs.TaskSucceeded)
		s.stopIfCheckpointed(j)
	case structs.TaskFailed:
		s.endMember(j, i, structs.TaskFailed)
		s.runFailed(j, r)
	case structs.TaskStopped:
		s.endMember(j, i, structs.TaskStopped)
		s.beginStop(j, stopRequeue, true, "worker "+r.Worker+" stopped the task")
	default:
		return false
	}
	s.finishRun(j)
	return true
}

// memberCheckpointed records that a member has written its checkpoint.
func (s *State) memberCheckpointed(j *job, i int) {
	if j.Status != structs.JobStopping || j.stopNow {
		return
	}
	j.phases[i] = structs.TaskCheckpointed
	s.stopIfCheckpointed(j)
}

// stopIfCheckpointed orders the immediate stop once all live members have
// checkpointed.
func (s *State) stopIfCheckpointed(j *job) {
	if j.Status != structs.JobStopping || j.stopNow || slices.Contains(j.phases, "") {
		return
	}
	j.checkpointed = s.clock
	s.beginStop(j, j.cause, true, j.Reason)
}

// runFailed counts a failed run and attributes it to the worker that reported a
// failure first, because the other members fail as a consequence. A failure
// during a stop is a consequence of the stop and is not counted.
func (s *State) runFailed(j *job, r MemberReport) {
	if j.Status == structs.JobStopping {
		s.beginStop(j, j.cause, true, j.Reason)
		return
	}
	j.Attempts++
	j.avoidWorker(r.Worker)
	if !slices.Contains(j.failedOn, r.Worker) {
		j.failedOn = append(j.failedOn, r.Worker)
	}
	cause := stopRequeue
	if j.Attempts >= MaxAttempts || len(j.failedOn) >= MaxFailedWorkers {
		cause = stopFail
	}
	s.beginStop(j, cause, true, "failed on worker "+r.Worker+": "+truncateError(r.Error))
}

// truncateError cuts an error text from a worker to MaxErrorBytes.
func truncateError(text string) string {
	return structs.Truncate(text, MaxErrorBytes)
}
