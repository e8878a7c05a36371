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
	w := t.worker(s.Worker)
	t.setQuarantined(w, s.Quarantined)
	w.Status = s
	w.outcomes = nil
	w.restored = s.Quarantined
	w.listed = true
}

// Remove drops a worker and its evidence.
func (t *Tracker) Remove(worker string) {
	if w := t.workers[worker]; w != nil {
		t.setQuarantined(w, false)
		delete(t.workers, worker)
	}
}

// RecordFailure records that a run of a job failed on a worker. Only the first
// failure of a run counts, because the failures of the other gang members follow
// from it.
func (t *Tracker) RecordFailure(now time.Duration, worker, job string, run uint64, started time.Duration) {
	f := t.jobs[job]
	if f == nil {
		f = &failedJob{}
		t.jobs[job] = f
	}
	if run <= f.run {
		return
	}
	f.run = run
	f.longestFailedRun = max(f.longestFailedRun, now-started)
	if !slices.Contains(f.failedOn, worker) {
		f.failedOn = append(f.failedOn, worker)
	}
	w := t.worker(worker)
	w.successesInRow = 0
	if w.isProbe(started) {
		t.addStrike(now, w)
		w.probeFailed = true
	}
	t.addOutcome(w, outcome{job: job, failed: true})
	t.updateWeight(job, f)
	t.updateQuarantine(now, f.failedOn)
}

// RecordSuccess records that a job succeeded on a worker, or has run there for
// longer than its failed runs lasted.
func (t *Tracker) RecordSuccess(now time.Duration, worker, job string, started time.Duration) {
	w := t.workers[worker]
	if w != nil {
		t.addSuccess(w, job, started)
	}
	f := t.jobs[job]
	if f == nil || (len(f.failedOn) == 1 && f.failedOn[0] == worker) {
		return
	}
	f.succeededElsewhere = true
	t.updateWeight(job, f)
	t.updateQuarantine(now, f.failedOn)
}

// addSuccess adds a success to the outcomes of the worker. A successful probe
// ends the quarantine.
func (t *Tracker) addSuccess(w *workerEvidence, job string, started time.Duration) {
	if w.isProbe(started) {
		t.setQuarantined(w, false)
		w.ProbeAllowed, w.probeFailed, w.restored = false, false, false
		w.outcomes = nil
	}
	t.addOutcome(w, outcome{job: job})
	w.successesInRow++
	if w.successesInRow >= t.cfg.Window && !w.Quarantined {
		w.Strikes = 0
	}
}

// RecordJobEnd drops the record of a terminal job; the outcomes on its workers stay.
// A job that failed and succeeded nowhere was faulty itself, so its failures no
// longer count against the workers.
func (t *Tracker) RecordJobEnd(now time.Duration, job string, failed bool) {
	f := t.jobs[job]
	if f == nil {
		return
	}
	if failed && !f.succeededElsewhere {
		t.setWeight(job, f, weightNone)
		t.updateQuarantine(now, f.failedOn)
	}
	delete(t.jobs, job)
}

// UnresolvedJobs returns the jobs that have failed and not yet succeeded elsewhere,
// sorted by id. The caller checks how they run on other workers.
func (t *Tracker) UnresolvedJobs() []string {
	var list []string
	for id, f := range t.jobs {
		if !f.succeededElsewhere {
			list = append(list, id)
		}
	}
	slices.Sort(list)
	return list
}

// LongestFailedRun returns the duration of the longest failed run of a job.
func (t *Tracker) LongestFailedRun(job string) time.Duration {
	if f := t.jobs[job]; f != nil {
		return f.longestFailedRun
	}
	return 0
}

// Tick allows the probes that are due.
func (t *Tracker) Tick(now time.Duration) {
	for _, w := range t.workers {
		if w.Quarantined && now >= w.NextProbe {
			w.ProbeAllowed = true
			w.probeFrom = now
			w.NextProbe = now + t.probeInterval(w.Strikes)
		}
	}
}

// Statuses returns the statuses of workers that are or were quarantined,
// sorted by worker.
func (t *Tracker) Statuses() []Status {
	var list []Status
	for _, w := range t.workers {
		if w.listed {
			list = append(list, w.Status)
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
	w := t.workers[worker]
	return w != nil && w.Quarantined
}

// worker returns the evidence of a worker and creates it if there is none.
func (t *Tracker) worker(id string) *workerEvidence {
	w := t.workers[id]
	if w == nil {
		w = &workerEvidence{Status: Status{Worker: id}}
		t.workers[id] = w
	}
	return w
}

// isProbe reports whether a run that began at the given time is the probe.
func (w *workerEvidence) isProbe(started time.Duration) bool {
	return w.Quarantined && w.ProbeAllowed && started >= w.probeFrom
}

// addOutcome appends an outcome and keeps the latest Window outcomes. Of each job
// only the latest outcome is kept.
func (t *Tracker) addOutcome(w *workerEvidence, o outcome) {
	w.outcomes = slices.DeleteFunc(w.outcomes, func(old outcome) bool { return old.job == o.job })
	w.outcomes = append(w.outcomes, o)
	if len(w.outcomes) > t.cfg.Window {
		w.outcomes = w.outcomes[1:]
	}
}

// updateWeight sets the weight of a job's failures from its outcomes so far.
func (t *Tracker) updateWeight(job string, f *failedJob) {
	switch {
	case f.succeededElsewhere:
		t.setWeight(job, f, weightConfirmed)
	case len(f.failedOn) == 1:
		t.setWeight(job, f, weightSuspected)
	default:
		t.setWeight(job, f, weightNone)
	}
}

// setWeight sets the weight of a job's failures on the workers where it failed.
func (t *Tracker) setWeight(job string, f *failedJob, weight int) {
	for _, id := range f.failedOn {
		w := t.workers[id]
		if w == nil {
			continue
		}
		for i := range w.outcomes {
			if w.outcomes[i].job == job && w.outcomes[i].failed {
				w.outcomes[i].weight = weight
			}
		}
	}
}

// updateQuarantine quarantines the workers whose failures reach the threshold,
// and releases those that fall below it because their jobs proved faulty.
func (t *Tracker) updateQuarantine(now time.Duration, workers []string) {
	for _, id := range workers {
		w := t.workers[id]
		if w == nil {
			continue
		}
		enough := w.totalWeight() >= t.cfg.Threshold
		switch {
		case enough && !w.Quarantined && t.quarantinedCount < t.maxQuarantined():
			t.setQuarantined(w, true)
			t.addStrike(now, w)
		case !enough && w.Quarantined && !w.probeFailed && !w.restored:
			t.setQuarantined(w, false)
			w.ProbeAllowed = false
			w.Strikes--
		}
	}
}

// totalWeight returns the total weight of the failures on a worker.
func (w *workerEvidence) totalWeight() int {
	sum := 0
	for _, o := range w.outcomes {
		sum += o.weight
	}
	return sum
}

// addStrike counts a strike and schedules the next probe.
func (t *Tracker) addStrike(now time.Duration, w *workerEvidence) {
	w.Strikes++
	w.ProbeAllowed = false
	w.probeFrom = now
	w.NextProbe = now + t.probeInterval(w.Strikes)
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
func (t *Tracker) setQuarantined(w *workerEvidence, on bool) {
	if w.Quarantined == on {
		return
	}
	w.Quarantined = on
	w.listed = true
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
