package fleet

import (
	"slices"
	"time"

	"cranberrydrum.dev/scheduler/forecast"
	"cranberrydrum.dev/scheduler/retryafter"
	"cranberrydrum.dev/scheduler/workload"
)

// admissionState is what a leader keeps for decisions about submissions. It is void with
// the term.
type admissionState struct {
	// pools holds the pools in which work waits, by service, as of the last round and with
	// what was admitted since.
	pools    map[string]*poolForecast
	accuracy map[waitClass]*forecast.Accuracy
	// admitted holds the admitted jobs until their outcome is known.
	admitted map[string]*admittedJob
	refused  []refusedJob
	lanes    map[laneKey]*returnLane
	promises *retryafter.Promises
	// promised holds the work of the refused jobs that have a promise.
	promised     map[string]promisedWork
	counts       AdmissionCounts
	nextForecast time.Duration
	nextOutcomes time.Duration
}

func newAdmissionState() *admissionState {
	return &admissionState{
		pools: map[string]*poolForecast{}, accuracy: map[waitClass]*forecast.Accuracy{}, admitted: map[string]*admittedJob{},
		lanes: map[laneKey]*returnLane{}, promises: retryafter.NewPromises(maxPromises), promised: map[string]promisedWork{},
	}
}

// waitClass identifies the work whose waits are compared with the model together: that of a
// service and level whose tasks are about as large. Small tasks start in gaps that are too
// small for those ahead of them, and gangs wait until all members fit.
type waitClass struct {
	service string
	level   int
	size    int
	gang    bool
}

// guaranteedLevel is the level of work inside guarantees, which comes before all other.
const guaranteedLevel = 0

// levelOf returns the level of work outside guarantees.
func levelOf(priority int) int { return guaranteedLevel + 1 + priority }

// submission is a job about which is decided, with the estimates for it.
type submission struct {
	job   *workload.Job
	pool  *poolForecast
	level int
	class waitClass
	// work is that of the steps that can begin at once.
	work forecast.Amount
	// path is the expected time of the critical path, limit the age at which the job has no
	// value.
	path, objective, limit time.Duration
	// queued is the modelled wait for the work in the pool, wait that for promised returns as
	// well. factor corrects them by the measured accuracy.
	queued, wait time.Duration
	factor       float64
	// promise is that of an earlier refusal, if hasPromise is set.
	promise    retryafter.Promise
	hasPromise bool
}

// completion is the age that the job will have when it completes. Nine of ten jobs complete
// later.
func (s *submission) completion() time.Duration {
	return s.path + time.Duration(s.factor*float64(s.wait))
}

// Admit decides whether to accept the submission of a job that is not stored. If the verdict
// is AdmissionRefused, the job must not be proposed, and retryAfter is the time after which
// its caller should return. Otherwise the caller proposes the job.
func (c *Controller) Admit(now time.Duration, j *workload.Job) (verdict AdmissionVerdict, retryAfter time.Duration) {
	s := submission{job: j, pool: c.admission.pools[j.Service], level: levelOf(j.Priority)}
	verdict = c.decideAdmission(now, &s)
	if verdict == AdmissionRefused {
		retryAfter = c.refuse(now, &s)
	} else {
		c.recordAdmission(now, &s, verdict)
	}
	c.admission.counts.of(j.Priority).verdicts[verdict]++
	return verdict, retryAfter
}

func (c *Controller) decideAdmission(now time.Duration, s *submission) AdmissionVerdict {
	if c.isExempt(s.job) {
		return AdmissionExempt
	}
	// An earlier submission may be proposed and not yet applied. A refusal as not run would
	// not hold for it.
	if c.admission.admitted[s.job.ID] != nil {
		return AdmissionRepeated
	}
	s.path = c.criticalPath(s.job)
	s.objective = c.objective(s.job)
	s.limit = lateFactor * s.objective
	switch {
	case s.pool == nil:
		return AdmissionNotFull
	case c.isWithinGuarantee(s.job):
		s.level = guaranteedLevel
		return AdmissionGuaranteed
	}
	s.work = s.pool.workOf(c, s.job)
	s.class = s.pool.classOfJob(s.job, s.level)
	return c.decideFull(now, s)
}

// decideFull decides about a job that may be refused and is submitted to a pool in which
// work waits.
func (c *Controller) decideFull(now time.Duration, s *submission) AdmissionVerdict {
	var supported bool
	s.factor, supported = c.accuracyOf(s.class).Factor()
	s.promise, s.hasPromise = c.admission.promises.Take(now, s.job.ID)
	s.queued = s.pool.Wait(s.level, forecast.Amount{})
	s.wait = s.pool.Wait(s.level, c.promisedAhead(now, s))
	switch {
	case !supported, s.path >= s.limit, now < c.createdAt+c.leaseSpan(), !c.runTimes.isMeasured(s.job.Place()):
		return AdmissionUnsupported
	case s.completion() <= s.limit:
		return AdmissionInTime
	case s.pool.hasRoom(s.job):
		return AdmissionNotFull
	}
	return AdmissionRefused
}

// isExempt reports whether a job is never refused: it lasts, is scheduled, uses leftover
// capacity, or may run only on some of the executors, about which the sums say nothing.
func (c *Controller) isExempt(j *workload.Job) bool {
	if j.Spec.Repeats > 0 || j.Tombstone {
		return true
	}
	if queue := c.state.Match(j.Host, j.Prefix+j.ID); queue != nil && queue.Advice != nil {
		return true
	}
	return slices.ContainsFunc(j.Spec.Steps, func(step workload.Step) bool {
		return step.TailLatencyTarget > 0 || !isForecast(&step)
	})
}

// isForecast reports whether any executor of its pool may run a step, for a time that ends.
func isForecast(step *workload.Step) bool {
	return !step.LongRunning && !step.BestEffort && step.Requires == "" && step.PerExecutor == 0
}

// isWithinGuarantee reports whether a job lies within the guarantee of its customer beside
// those that do already.
func (c *Controller) isWithinGuarantee(j *workload.Job) bool {
	guaranteed := c.state.Guaranteed(j.Customer)
	if j.Priority != 0 || guaranteed == 0 {
		return false
	}
	for id := range c.insideGuarantee {
		if inside := c.state.Job(id); inside != nil && inside.Customer == j.Customer && !inside.Phase.Ended() {
			guaranteed -= widestGPU(inside)
		}
	}
	return widestGPU(j) <= guaranteed
}

// accuracyOf returns the accuracy of the forecasts for a class.
func (c *Controller) accuracyOf(class waitClass) *forecast.Accuracy {
	if c.admission.accuracy[class] == nil {
		c.admission.accuracy[class] = &forecast.Accuracy{}
	}
	return c.admission.accuracy[class]
}

// recordAdmission adds an admitted job to the sums and to the jobs whose outcome is awaited.
func (c *Controller) recordAdmission(now time.Duration, s *submission, verdict AdmissionVerdict) {
	if verdict == AdmissionExempt || verdict == AdmissionRepeated {
		return
	}
	delete(c.admission.promised, s.job.ID)
	c.admission.admitted[s.job.ID] = &admittedJob{
		at: now, class: s.class, priority: s.job.Priority, wait: s.wait, path: s.path, objective: s.objective,
	}
	if s.pool != nil {
		s.pool.Add(s.level, s.work)
	}
}
