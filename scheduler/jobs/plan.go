package jobs

import (
	"slices"
	"time"

	"cranberrydrum.dev/scheduler/structs"
)

// applyPlan applies the parts of a plan that are still valid. The other parts
// are returned as dropped, and their jobs are marked as changed so that they are
// planned again.
func (s *State) applyPlan(b *ApplyPlan) Result {
	var result Result
	s.round = b.Round
	for _, p := range b.Preempts {
		if reason := s.preempt(p); reason != "" {
			result.Dropped = append(result.Dropped, Dropped{Job: p.Job, Reason: reason})
			s.changes.add(change{job: p.Job})
		}
	}
	for _, st := range b.Starts {
		if reason := s.checkStart(st); reason != "" {
			result.Dropped = append(result.Dropped, Dropped{Job: st.Job, Reason: reason})
			s.changes.add(change{job: st.Job})
			continue
		}
		s.reserve(s.jobs[st.Job], st.Members)
		s.consumeProbes(st.Members)
	}
	return result
}

// checkStart returns the reason why a gang cannot be reserved, or an empty string.
func (s *State) checkStart(st PlannedStart) string {
	j := s.jobs[st.Job]
	switch {
	case s.use.Evacuated:
		return reasonEvacuated
	case j == nil:
		return "no such job"
	case j.Status != structs.JobQueued || j.Run != st.Run:
		return "the job is not queued any more"
	case j.ineligible:
		return "the configuration does not admit the job"
	}
	if quota, limited := s.quota(j.Spec.Customer); limited && s.allocated[j.Spec.Customer]+j.Spec.Accelerators > quota {
		return "the customer's quota is used up"
	}
	return s.checkMembers(j, st.Members)
}

// checkMembers returns the reason why a gang cannot be placed on its workers, or an
// empty string.
func (s *State) checkMembers(j *job, members []structs.Member) string {
	total := 0
	for i, m := range members {
		if slices.ContainsFunc(members[:i], func(o structs.Member) bool { return o.Worker == m.Worker }) {
			return "worker " + m.Worker + " is listed twice"
		}
		w := s.workers[m.Worker]
		if w == nil || !w.acceptsWork() {
			return "worker " + m.Worker + " takes no work"
		}
		if len(m.Accelerators) == 0 || !w.allFree(m.Accelerators) {
			return "accelerators of worker " + m.Worker + " are not free"
		}
		total += len(m.Accelerators)
	}
	if total != j.Spec.Accelerators {
		return "the gang does not have the size of the job"
	}
	return ""
}

// allFree reports whether the accelerators exist, are distinct and are free.
func (w *worker) allFree(accelerators []int) bool {
	for i, a := range accelerators {
		if a < 0 || a >= w.Accelerators || w.holders[a] != nil {
			return false
		}
		if slices.Contains(accelerators[:i], a) {
			return false
		}
	}
	return true
}

// consumeProbes withdraws the probe permission of quarantined workers on which a
// job has just been placed.
func (s *State) consumeProbes(members []structs.Member) {
	for _, m := range members {
		w := s.workers[m.Worker]
		if w.probeAllowed {
			w.probeAllowed = false
			s.changes.add(change{worker: w.ID})
		}
	}
}

// preempt begins to stop a run to free accelerators for another job. It returns
// the reason if the run cannot be preempted, or an empty string.
func (s *State) preempt(p PlannedPreempt) string {
	if s.use.Evacuated {
		return reasonEvacuated
	}
	j := s.jobs[p.Job]
	if j == nil || j.Run != p.Run || !j.active() || j.Status == structs.JobStopping {
		return "the run to preempt is over"
	}
	s.stopGracefully(j, p.Checkpoint, p.Grace, "preempted for "+p.For)
	return ""
}

// stopGracefully stops a job and requeues it. If checkpoint is set, a running job
// that can checkpoint first gets up to grace to do so.
func (s *State) stopGracefully(j *job, checkpoint bool, grace time.Duration, reason string) {
	wait := checkpoint && grace > 0 && j.Status == structs.JobRunning && j.Spec.CheckpointTime > 0
	s.beginStop(j, stopRequeue, !wait, reason)
	if wait {
		j.deadline = s.clock + grace
	}
}

// startGang starts a gang whose members have all prepared.
func (s *State) startGang(b *StartGang) Result {
	j := s.jobs[b.Job]
	if j == nil || j.Run != b.Run || j.Status != structs.JobReserved {
		return refused(structs.CodeNotFound, "the run is not reserved")
	}
	j.Status = structs.JobRunning
	j.interrupted = false
	j.started = s.clock
	s.changes.add(change{job: j.ID})
	return Result{}
}

// stopGang ends the wait for checkpoints or for members to prepare, and stops the
// gang.
func (s *State) stopGang(b *StopGang) Result {
	j := s.jobs[b.Job]
	if j == nil || j.Run != b.Run {
		return refused(structs.CodeNotFound, "the run is over")
	}
	switch j.Status {
	case structs.JobStopping:
		s.beginStop(j, stopRequeue, true, j.Reason)
	case structs.JobReserved:
		for _, id := range b.Unprepared {
			j.avoidWorker(id)
		}
		s.beginStop(j, stopRequeue, true, "not prepared in time")
	default:
		return refused(structs.CodeInvalid, "the run is not to be stopped")
	}
	return Result{}
}
