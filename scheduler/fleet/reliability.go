package fleet

import (
	"cmp"
	"slices"
	"time"

	"cranberrydrum.dev/scheduler/workload"
)

const (
	// earlyFailureShare is the share of its expected run time before which the failure of
	// a run is early: it says more about the executor than about the work.
	earlyFailureShare = 0.5
	// failuresInARow is the number of failed runs without a success in between from which
	// an executor is suspected however long the runs took.
	failuresInARow = 2
	// jobFaultAttempts and jobFaultExecutors are the failed attempts of a job and the
	// otherwise healthy executors that they failed on from which the job is at fault.
	jobFaultAttempts  = 3
	jobFaultExecutors = 3
	// maxFailureRecords bounds the jobs kept for an executor and the executors kept for a job.
	maxFailureRecords = 16
	// suspicionWaitShare is the share of its slack for which a task set waits for executors
	// that are not suspected. The restart of a broken gang takes longer.
	suspicionWaitShare = 0.25
)

// reliability is the evidence about one incarnation of an executor from the ends of its runs.
type reliability struct {
	// hasSucceeded is set once a run was done.
	hasSucceeded bool
	// failures counts the failed runs since the last success, of all jobs in failedJobs.
	failures   int
	failedJobs []*jobFailures
	// suspectedAt is when the last failure was observed that raised a suspicion, or 0 for none.
	suspectedAt time.Duration
	// probes counts the runs started under suspicion that failed. nextProbeAt is when the next
	// may start.
	probes      int
	nextProbeAt time.Duration
}

// jobFailures is the evidence about one job from the ends of its runs.
type jobFailures struct {
	// attempts counts the failed runs. The members of a gang that fail in the same run count
	// once; lastGangRun identifies that run.
	attempts    int
	lastGangRun gangRun
	done        int
	// executors are those on which a run of the job failed.
	executors []*reliability
	// isReported is set once the log says that the job is at fault.
	isReported bool
}

// gangRun identifies the run of a gang.
type gangRun struct {
	step   stepKey
	number int
}

// runFailure is a failed run of a job on an executor.
type runFailure struct {
	run gangRun
	// isGang is set if the run belongs to a gang of several tasks.
	isGang bool
	// ran is how long it ran, or 0 if that is not known, expected its expected time.
	ran, expected time.Duration
	// startedAt is when its start was first sent, or 0 if that is not known.
	startedAt time.Duration
}

// isEarly reports whether a run failed well before its expected end.
func (f *runFailure) isEarly() bool {
	return f.ran > 0 && float64(f.ran) < earlyFailureShare*float64(f.expected)
}

// recordDone records that a run of a job was done on an executor. It reports whether that
// ended a suspicion.
func (rel *reliability) recordDone(job *jobFailures) bool {
	wasSuspected := rel.suspectedAt > 0
	if job != nil {
		job.done++
	}
	*rel = reliability{hasSucceeded: true}
	return wasSuspected
}

// recordFailure records that a run of a job failed on an executor. It reports whether that
// began a suspicion.
func (rel *reliability) recordFailure(now time.Duration, job *jobFailures, f *runFailure) bool {
	job.recordAttempt(rel, f)
	rel.failures++
	if !slices.Contains(rel.failedJobs, job) && len(rel.failedJobs) < maxFailureRecords {
		rel.failedJobs = append(rel.failedJobs, job)
	}
	if !f.isEarly() && rel.failures < failuresInARow {
		return false
	}
	isNew := rel.suspectedAt == 0
	if !isNew && f.startedAt > rel.suspectedAt {
		rel.nextProbeAt = now + min(firstQuarantine<<min(rel.probes, 8), maxQuarantine)
		rel.probes++
	}
	rel.suspectedAt = now
	return isNew
}

func (job *jobFailures) recordAttempt(rel *reliability, f *runFailure) {
	if !f.isGang || job.lastGangRun != f.run {
		job.attempts++
	}
	if f.isGang {
		job.lastGangRun = f.run
	}
	if !slices.Contains(job.executors, rel) && len(job.executors) < maxFailureRecords {
		job.executors = append(job.executors, rel)
	}
}

// isAtFault reports whether the failures of a job are attributed to it: most of its attempts
// failed, on several executors that are otherwise healthy.
func (job *jobFailures) isAtFault() bool {
	if job.attempts < jobFaultAttempts || job.attempts <= job.done {
		return false
	}
	healthy := 0
	for _, rel := range job.executors {
		if rel.isHealthyBut(job) {
			healthy++
		}
	}
	return healthy >= jobFaultExecutors
}

// isHealthyBut reports whether an executor has succeeded and only one job has failed on it
// since.
func (rel *reliability) isHealthyBut(job *jobFailures) bool {
	return rel.hasSucceeded && !slices.ContainsFunc(rel.failedJobs, func(other *jobFailures) bool { return other != job })
}

// isSuspected reports whether an executor is held responsible for a failure.
func (rel *reliability) isSuspected() bool {
	return rel.suspectedAt > 0 && slices.ContainsFunc(rel.failedJobs, func(job *jobFailures) bool { return !job.isAtFault() })
}

// observeEnd updates the evidence about an executor and a job with the end of a run.
func (c *Controller) observeEnd(now time.Duration, e *executor, key workload.TaskKey, r *run, ending workload.Ending) {
	switch ending {
	case workload.EndDone:
		if e.reliability.recordDone(c.jobFailures[key.Job]) {
			c.log.Info("executor no longer suspected", "executor", e.key.ID, "job", key.Job)
		}
	case workload.EndFailed:
		if c.observeFailure(now, e, key, r) {
			return
		}
	}
	if e.health.observe(now, key.Job, ending, c.roomFor(now, e)) {
		c.log.Info("executor quarantined", "executor", e.key.ID, "for_ms", (e.health.suspendedUntil - now).Milliseconds(), "reason", "different jobs failed")
	}
}

// observeFailure updates the evidence with a failed run. It reports whether the job is at
// fault.
func (c *Controller) observeFailure(now time.Duration, e *executor, key workload.TaskKey, r *run) bool {
	j := c.state.Job(key.Job)
	if j == nil {
		return false
	}
	job := c.jobFailures[key.Job]
	if job == nil {
		job = &jobFailures{}
		c.jobFailures[key.Job] = job
	}
	step := &j.Spec.Steps[key.Step]
	f := &runFailure{run: gangRun{step: stepKeyOf(key), number: r.number}, isGang: step.Gang && step.Count > 1, startedAt: r.firstSent}
	f.expected, _ = c.runTimes.predict(j, key.Step)
	if r.firstSent > 0 {
		f.ran = now - r.firstSent
	}
	if e.reliability.recordFailure(now, job, f) {
		c.log.Info("executor suspected", "executor", e.key.ID, "job", key.Job, "step", key.Step, "task", key.Index, "run", r.number,
			"ran_ms", f.ran.Milliseconds(), "expected_ms", f.expected.Milliseconds(), "failures", e.reliability.failures)
	}
	isAtFault := job.isAtFault()
	if isAtFault && !job.isReported {
		job.isReported = true
		c.out.Overload.JobsAtFault++
		c.log.Info("failures attributed to the job", "job", key.Job, "attempts", job.attempts, "done", job.done, "executors", len(job.executors))
	}
	return isAtFault
}

// forgetFailures drops the evidence about ended jobs. Executors on which they failed keep
// theirs.
func (c *Controller) forgetFailures() {
	for id := range c.jobFailures {
		if j := c.state.Job(id); j == nil || j.Phase.Ended() {
			delete(c.jobFailures, id)
		}
	}
}

// suspicion describes a suspected executor during one round.
type suspicion struct {
	// mayProbe is set if one small task may be placed to try the executor.
	mayProbe bool
}

// suspectedExecutors returns the executors that take no gangs and no urgent tasks while others
// fit. With the executors in quarantine they are at most maxQuarantinedShare of their pool, those
// with the most failures first.
func (c *Controller) suspectedExecutors(now time.Duration) map[*executor]suspicion {
	var suspected []*executor
	budget := map[string]float64{}
	for _, e := range c.executors {
		if e.draining {
			continue
		}
		budget[e.service] += maxQuarantinedShare
		switch {
		case now < e.health.suspendedUntil:
			budget[e.service]--
		case e.reliability.isSuspected():
			suspected = append(suspected, e)
		}
	}
	slices.SortFunc(suspected, func(a, b *executor) int {
		return cmp.Or(cmp.Compare(b.reliability.failures, a.reliability.failures),
			cmp.Compare(a.reliability.suspectedAt, b.reliability.suspectedAt), cmp.Compare(a.key.ID, b.key.ID))
	})
	chosen := map[*executor]suspicion{}
	for _, e := range suspected {
		if budget[e.service] < 1 {
			continue
		}
		budget[e.service]--
		chosen[e] = suspicion{mayProbe: now >= e.reliability.nextProbeAt && !c.hasProbe(e)}
	}
	return chosen
}

// hasProbe reports whether a run was started on a suspected executor after its last failure.
func (c *Controller) hasProbe(e *executor) bool {
	for _, r := range e.runs {
		if r.term == c.term && (r.firstSent == 0 || r.firstSent > e.reliability.suspectedAt) {
			return true
		}
	}
	return false
}

// isSuspectedFor reports whether an executor should not get a task of a task set while others
// fit. A suspected executor without a new task may get one that runs alone and is not urgent.
func (rs *roundState) isSuspectedFor(ts *taskSet, e *executor) bool {
	d, isSuspected := rs.suspected[e]
	if !isSuspected {
		return false
	}
	isSmall := ts.job.Priority > 0 && !ts.step.LongRunning && !(ts.step.Gang && ts.step.Count > 1)
	return !isSmall || !d.mayProbe || len(rs.slot(e).proposedSteps) > 0
}

// findReliablePlaces is findPlaces on the executors that are not suspected, or on all if the
// task set must not wait for these.
func (c *Controller) findReliablePlaces(now time.Duration, rs *roundState, ts *taskSet) ([]place, bool) {
	ts.avoidsSuspected = false
	if len(rs.suspected) == 0 {
		return c.findPlaces(now, rs, ts)
	}
	mayUseAll := ts.guaranteed || ts.step.LongRunning || rs.mustStartNow(now, ts) ||
		now-ts.waitingSince >= c.slackShare(ts.job, suspicionWaitShare)
	if mayUseAll && !ts.step.Gang {
		// Each task takes an executor that is not suspected if one has room.
		return c.findPlaces(now, rs, ts)
	}
	ts.avoidsSuspected = true
	places, ok := c.findPlaces(now, rs, ts)
	if ok || !mayUseAll {
		return places, ok
	}
	rs.deallocate(ts, places)
	ts.avoidsSuspected = false
	return c.findPlaces(now, rs, ts)
}
