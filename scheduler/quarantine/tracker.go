package quarantine

import (
	"slices"
	"time"
)

// Weights of a failure as evidence against its worker: none if the job is at
// fault, suspected while the cause is open, confirmed if the job succeeded
// elsewhere.
const (
	weightNone      = 0
	weightSuspected = 1
	weightConfirmed = 2
)

// Config sets when workers are quarantined and probed.
type Config struct {
	// Threshold is the total weight of failures at which a worker is
	// quarantined. A failure of a job that succeeds elsewhere has weight 2, one
	// whose cause is still open has weight 1. At 6, a job failure rate of 2 %
	// quarantines a healthy worker about once in 6,000 tasks.
	Threshold int
	// Window is the number of most recent outcomes of a worker that count.
	Window int
	// FirstProbeDelay is the delay before the first probe. The delay doubles with
	// each failed probe, up to MaxProbeDelay.
	FirstProbeDelay time.Duration
	MaxProbeDelay   time.Duration
	// MaxQuarantinedShare is the maximum fraction of all workers that may be
	// quarantined; one worker is always allowed.
	MaxQuarantinedShare float64
}

// DefaultConfig returns the values for the cluster sizes in docs/design.md.
func DefaultConfig() Config {
	return Config{Threshold: 6, Window: 8, FirstProbeDelay: time.Minute, MaxProbeDelay: time.Hour, MaxQuarantinedShare: 0.1}
}

// Status is the decision about a worker.
type Status struct {
	Worker      string
	Quarantined bool
	// ProbeAllowed is set while a quarantined worker may receive one job as a probe.
	ProbeAllowed bool
	// Strikes counts quarantines and failed probes. Window successes in a row
	// outside quarantine reset it.
	Strikes int
	// NextProbe is when the next probe becomes due.
	NextProbe time.Duration
}

// Tracker collects outcomes of jobs and decides which workers are quarantined.
// It is not persistent; a new leader resumes the statuses with Restore.
type Tracker struct {
	cfg              Config
	fleetSize        int
	workers          map[string]*workerEvidence
	jobs             map[string]*failedJob
	quarantinedCount int
}

// workerEvidence holds the status and the recent outcomes of a worker.
type workerEvidence struct {
	Status
	outcomes []outcome
	// probeFrom is the time of the latest strike or of the latest permission to
	// probe, whichever is later. A run that began earlier is not a probe.
	probeFrom time.Duration
	// probeFailed is set after a failed probe, and restored if the evidence was
	// lost with an earlier leader. In both cases only a successful probe ends
	// the quarantine; a lower weight of the failures does not.
	probeFailed bool
	restored    bool
	// listed is set when the first status is decided; from then on Statuses
	// returns the worker.
	listed bool
	// successesInRow counts successes since the last failure; Window of them
	// reset the strikes.
	successesInRow int
}

// outcome is the end of one job on a worker.
type outcome struct {
	job    string
	failed bool
	weight int
}

// failedJob is a job of which a run has failed. The field run is the latest
// failed run, and failedOn holds the workers of the failed runs.
type failedJob struct {
	run                uint64
	failedOn           []string
	longestFailedRun   time.Duration
	succeededElsewhere bool
}

// New returns a tracker without outcomes and statuses.
func New(cfg Config) *Tracker {
	return &Tracker{cfg: cfg, workers: map[string]*workerEvidence{}, jobs: map[string]*failedJob{}}
}

// SetFleetSize sets the total number of workers, of which MaxQuarantinedShare is a
// fraction.
func (t *Tracker) SetFleetSize(workers int) { t.fleetSize = workers }

// Restore resumes a status that an earlier tracker decided. The evidence for
// it is lost.
func (t *Tracker) Restore(s Status) {
	r := t.worker(s.Worker)
	t.setQuarantined(r, s.Quarantined)
	r.Status = s
	r.outcomes = nil
	r.restored = s.Quarantined
	r.listed = true
}

// Remove drops a worker and its evidence.
func (t *Tracker) Remove(worker string) {
	if r := t.workers[worker]; r != nil {
		t.setQuarantined(r, false)
		delete(t.workers, worker)
	}
}

// RecordFailure records that a run of a job failed on a worker. Only the first
// failure of a run counts, because the failures of the other gang members follow
// from it.
func (t *Tracker) RecordFailure(now time.Duration, worker, job string, run uint64, started time.Duration) {
	s := t.jobs[job]
	if s == nil {
		s = &failedJob{}
		t.jobs[job] = s
	}
	if run <= s.run {
		return
	}
	s.run = run
	s.longestFailedRun = max(s.longestFailedRun, now-started)
	if !slices.Contains(s.failedOn, worker) {
		s.failedOn = append(s.failedOn, worker)
	}
	r := t.worker(worker)
	r.successesInRow = 0
	if r.isProbe(started) {
		t.addStrike(now, r)
		r.probeFailed = true
	}
	t.addOutcome(r, outcome{job: job, failed: true})
	t.updateWeight(job, s)
	t.updateQuarantine(now, s.failedOn)
}

// RecordSuccess records that a job succeeded on a worker, or has run there for
// longer than its failed runs lasted.
func (t *Tracker) RecordSuccess(now time.Duration, worker, job string, started time.Duration) {
	r := t.workers[worker]
	if r != nil {
		t.addSuccess(r, job, started)
	}
	s := t.jobs[job]
	if s == nil || (len(s.failedOn) == 1 && s.failedOn[0] == worker) {
		return
	}
	s.succeededElsewhere = true
	t.updateWeight(job, s)
	t.updateQuarantine(now, s.failedOn)
}

// addSuccess adds a success to the outcomes of the worker. A successful probe
// ends the quarantine.
func (t *Tracker) addSuccess(r *workerEvidence, job string, started time.Duration) {
	if r.isProbe(started) {
		t.setQuarantined(r, false)
		r.ProbeAllowed, r.probeFailed, r.restored = false, false, false
		r.outcomes = nil
	}
	t.addOutcome(r, outcome{job: job})
	r.successesInRow++
	if r.successesInRow >= t.cfg.Window && !r.Quarantined {
		r.Strikes = 0
	}
}

// RecordJobEnd drops the record of a terminal job; the outcomes on its workers stay.
// A job that failed and succeeded nowhere was faulty itself, so its failures no
// longer count against the workers.
func (t *Tracker) RecordJobEnd(now time.Duration, job string, failed bool) {
	s := t.jobs[job]
	if s == nil {
		return
	}
	if failed && !s.succeededElsewhere {
		t.setWeight(job, s, weightNone)
		t.updateQuarantine(now, s.failedOn)
	}
	delete(t.jobs, job)
}

// UnresolvedJobs returns the jobs that have failed and not yet succeeded elsewhere,
// sorted by id. The caller checks how they run on other workers.
func (t *Tracker) UnresolvedJobs() []string {
	var list []string
	for id, s := range t.jobs {
		if !s.succeededElsewhere {
			list = append(list, id)
		}
	}
	slices.Sort(list)
	return list
}

// LongestFailedRun returns the duration of the longest failed run of a job.
func (t *Tracker) LongestFailedRun(job string) time.Duration {
	if s := t.jobs[job]; s != nil {
		return s.longestFailedRun
	}
	return 0
}

// Tick allows the probes that are due.
func (t *Tracker) Tick(now time.Duration) {
	for _, r := range t.workers {
		if r.Quarantined && now >= r.NextProbe {
			r.ProbeAllowed = true
			r.probeFrom = now
			r.NextProbe = now + t.probeInterval(r.Strikes)
		}
	}
}

// Statuses returns the statuses of workers that are or were quarantined,
// sorted by worker.
func (t *Tracker) Statuses() []Status {
	var list []Status
	for _, r := range t.workers {
		if r.listed {
			list = append(list, r.Status)
		}
	}
	slices.SortFunc(list, func(a, b Status) int {
		if a.Worker < b.Worker {
			return -1
		}
		return 1
	})
	return list
}

// Quarantined reports whether a worker is quarantined.
func (t *Tracker) Quarantined(worker string) bool {
	r := t.workers[worker]
	return r != nil && r.Quarantined
}

// worker returns the evidence of a worker and creates it if there is none.
func (t *Tracker) worker(id string) *workerEvidence {
	r := t.workers[id]
	if r == nil {
		r = &workerEvidence{Status: Status{Worker: id}}
		t.workers[id] = r
	}
	return r
}

// isProbe reports whether a run that began at the given time is the probe.
func (r *workerEvidence) isProbe(started time.Duration) bool {
	return r.Quarantined && r.ProbeAllowed && started >= r.probeFrom
}

// addOutcome appends an outcome and keeps the latest Window outcomes. Of each job
// only the latest outcome is kept.
func (t *Tracker) addOutcome(r *workerEvidence, o outcome) {
	r.outcomes = slices.DeleteFunc(r.outcomes, func(old outcome) bool { return old.job == o.job })
	r.outcomes = append(r.outcomes, o)
	if len(r.outcomes) > t.cfg.Window {
		r.outcomes = r.outcomes[1:]
	}
}

// updateWeight sets the weight of a job's failures from its outcomes so far.
func (t *Tracker) updateWeight(job string, s *failedJob) {
	switch {
	case s.succeededElsewhere:
		t.setWeight(job, s, weightConfirmed)
	case len(s.failedOn) == 1:
		t.setWeight(job, s, weightSuspected)
	default:
		t.setWeight(job, s, weightNone)
	}
}

// setWeight sets the weight of a job's failures on the workers where it failed.
func (t *Tracker) setWeight(job string, s *failedJob, weight int) {
	for _, id := range s.failedOn {
		r := t.workers[id]
		if r == nil {
			continue
		}
		for i := range r.outcomes {
			if r.outcomes[i].job == job && r.outcomes[i].failed {
				r.outcomes[i].weight = weight
			}
		}
	}
}

// updateQuarantine quarantines the workers whose failures reach the threshold,
// and releases those that fall below it because their jobs proved faulty.
func (t *Tracker) updateQuarantine(now time.Duration, workers []string) {
	for _, id := range workers {
		r := t.workers[id]
		if r == nil {
			continue
		}
		enough := r.totalWeight() >= t.cfg.Threshold
		switch {
		case enough && !r.Quarantined && t.quarantinedCount < t.maxQuarantined():
			t.setQuarantined(r, true)
			t.addStrike(now, r)
		case !enough && r.Quarantined && !r.probeFailed && !r.restored:
			t.setQuarantined(r, false)
			r.ProbeAllowed = false
			r.Strikes--
		}
	}
}

// totalWeight returns the total weight of the failures on a worker.
func (r *workerEvidence) totalWeight() int {
	sum := 0
	for _, o := range r.outcomes {
		sum += o.weight
	}
	return sum
}

// addStrike counts a strike and schedules the next probe.
func (t *Tracker) addStrike(now time.Duration, r *workerEvidence) {
	r.Strikes++
	r.ProbeAllowed = false
	r.probeFrom = now
	r.NextProbe = now + t.probeInterval(r.Strikes)
}

// probeInterval returns the delay before the next probe.
func (t *Tracker) probeInterval(strikes int) time.Duration {
	wait := t.cfg.FirstProbeDelay
	for i := 1; i < strikes && wait < t.cfg.MaxProbeDelay; i++ {
		wait *= 2
	}
	return min(wait, t.cfg.MaxProbeDelay)
}

// setQuarantined changes the state of a worker and the count of quarantined
// workers.
func (t *Tracker) setQuarantined(r *workerEvidence, on bool) {
	if r.Quarantined == on {
		return
	}
	r.Quarantined = on
	r.listed = true
	if on {
		t.quarantinedCount++
	} else {
		t.quarantinedCount--
	}
}

// maxQuarantined returns the maximum number of quarantined workers.
func (t *Tracker) maxQuarantined() int {
	return max(1, int(float64(t.fleetSize)*t.cfg.MaxQuarantinedShare))
}
