package jobs

import (
	"slices"

	"cranberrydrum.dev/scheduler/structs"
)

// reportTasks records the reports of members of current runs.
func (s *State) reportTasks(b *ReportTasks) Result {
	var result Result
	for _, r := range b.Reports {
		if !s.reportTask(r) {
			result.Dropped = append(result.Dropped, Dropped{Job: r.Job, Worker: r.Worker, Reason: "the run or the member is over"})
		}
	}
	return result
}

// reportTask records one report and says whether it concerned a live member.
func (s *State) reportTask(r MemberReport) bool {
	j := s.jobs[r.Job]
	if j == nil || j.Run != r.Run || !j.active() {
		return false
	}
	i := j.member(r.Worker)
	if i < 0 || ended(j.phases[i]) {
		return false
	}
	switch r.Phase {
	case structs.TaskCheckpointed:
		s.memberCheckpointed(j, i)
	case structs.TaskSucceeded:
		s.endMember(j, i, structs.TaskSucceeded)
		s.haltIfCheckpointed(j)
	case structs.TaskFailed:
		s.endMember(j, i, structs.TaskFailed)
		s.runFailed(j, r)
	case structs.TaskStopped:
		s.endMember(j, i, structs.TaskStopped)
		s.beginStop(j, stopRequeue, true, "worker "+r.Worker+" stopped the task")
	default:
		return false
	}
	s.settle(j)
	return true
}

// memberCheckpointed records that a member has written its checkpoint.
func (s *State) memberCheckpointed(j *job, i int) {
	if j.Status != structs.JobStopping || j.halt {
		return
	}
	j.phases[i] = structs.TaskCheckpointed
	s.haltIfCheckpointed(j)
}

// haltIfCheckpointed orders the stop once all live members have checkpointed.
func (s *State) haltIfCheckpointed(j *job) {
	if j.Status != structs.JobStopping || j.halt || slices.Contains(j.phases, "") {
		return
	}
	j.checkpointed = s.clock
	s.beginStop(j, j.cause, true, j.Reason)
}

// runFailed counts a failed run and charges it to the worker that reported
// the failure first: the other members fail because the first one did. A
// failure during a stop is a consequence of the stop and is not counted.
func (s *State) runFailed(j *job, r MemberReport) {
	if j.Status == structs.JobStopping {
		s.beginStop(j, j.cause, true, j.Reason)
		return
	}
	j.Attempts++
	j.noteAvoid(r.Worker)
	if !slices.Contains(j.failedOn, r.Worker) {
		j.failedOn = append(j.failedOn, r.Worker)
	}
	cause := stopRequeue
	if j.Attempts >= MaxAttempts || len(j.failedOn) >= MaxFailedWorkers {
		cause = stopFail
	}
	s.beginStop(j, cause, true, "failed on worker "+r.Worker+": "+bounded(r.Error))
}

// bounded limits the length of a text from a worker.
func bounded(text string) string {
	return text[:min(len(text), MaxErrorBytes)]
}
