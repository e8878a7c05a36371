package quarantine

import (
	"slices"
	"time"
)

// Weights of a failure as evidence against its worker.
const (
	weightNone      = 0
	weightSuspected = 1
	weightConfirmed = 2
)

// Config sets when workers are quarantined and probed.
type Config struct {
	// Threshold is the evidence that quarantines a worker. A failure of a job
	// that runs well elsewhere counts 2, one not yet judged counts 1. At 6,
	// a job failure rate of 2 % quarantines a good worker about once in
	// 6,000 tasks.
	Threshold int
	// Window is the number of latest outcomes of a worker that count.
	Window int
	// FirstProbe is the wait before the first probe; it doubles with each
	// failed probe up to MaxProbe.
	FirstProbe time.Duration
	MaxProbe   time.Duration
	// MaxShare bounds the quarantined part of all workers; one is always allowed.
	MaxShare float64
}

// DefaultConfig returns the values for the sizes of the design page.
func DefaultConfig() Config {
	return Config{Threshold: 6, Window: 8, FirstProbe: time.Minute, MaxProbe: time.Hour, MaxShare: 0.1}
}

// Standing is what is decided about a worker.
type Standing struct {
	Worker      string
	Quarantined bool
	// Probe admits one job to a quarantined worker.
	Probe bool
	// Strikes counts the quarantines and failed probes since the last success.
	Strikes int
	// Until is when the next probe is due.
	Until time.Duration
}

// Keeper collects evidence. It is volatile; Restore resumes the standings.
type Keeper struct {
	cfg     Config
	fleet   int
	workers map[string]*record
	jobs    map[string]*suspect
	closed  int
}

// record is the evidence about a worker.
type record struct {
	Standing
	outcomes []outcome
	// since is when the quarantine began or was last probed.
	since time.Duration
	// probed marks that a probe has failed, and restored that the evidence
	// was lost with an earlier leader: new evidence does not end either.
	probed   bool
	restored bool
	// known is set once a standing was decided; it is listed from then on.
	known bool
	// successes in a row, to clear the strikes.
	successes int
}

// outcome is the end of one job on a worker.
type outcome struct {
	job    string
	failed bool
	weight int
}

// suspect is a job that has failed.
type suspect struct {
	run      uint64
	failedOn []string
	lasted   time.Duration
	well     bool
}

// New returns a keeper without evidence.
func New(cfg Config) *Keeper {
	return &Keeper{cfg: cfg, workers: map[string]*record{}, jobs: map[string]*suspect{}}
}

// SetFleet sets the number of workers that MaxShare refers to.
func (k *Keeper) SetFleet(workers int) { k.fleet = workers }

// Restore resumes a standing that an earlier keeper decided, and drops the
// evidence that it was based on.
func (k *Keeper) Restore(s Standing) {
	r := k.worker(s.Worker)
	k.setQuarantined(r, s.Quarantined)
	r.Standing = s
	r.outcomes = nil
	r.restored = s.Quarantined
	r.known = true
}

// Remove forgets a worker.
func (k *Keeper) Remove(worker string) {
	if r := k.workers[worker]; r != nil {
		k.setQuarantined(r, false)
		delete(k.workers, worker)
	}
}

// Failed records that a run of a job failed on a worker. Only the first
// failure of a run counts; those of other members are consequences of it.
func (k *Keeper) Failed(now time.Duration, worker, job string, run uint64, started time.Duration) {
	s := k.jobs[job]
	if s == nil {
		s = &suspect{}
		k.jobs[job] = s
	}
	if run <= s.run {
		return
	}
	s.run = run
	s.lasted = max(s.lasted, now-started)
	if !slices.Contains(s.failedOn, worker) {
		s.failedOn = append(s.failedOn, worker)
	}
	r := k.worker(worker)
	r.successes = 0
	if r.probing(started) {
		k.strike(now, r)
		r.probed = true
	}
	k.note(r, outcome{job: job, failed: true})
	k.weigh(job, s)
	k.judge(now, s.failedOn)
}

// Succeeded records that a job ended well on a worker, or has run there for
// longer than it lasted where it failed.
func (k *Keeper) Succeeded(now time.Duration, worker, job string, started time.Duration) {
	r := k.workers[worker]
	if r != nil {
		k.succeededOn(r, job, started)
	}
	s := k.jobs[job]
	if s == nil || (len(s.failedOn) == 1 && s.failedOn[0] == worker) {
		return
	}
	s.well = true
	k.weigh(job, s)
	k.judge(now, s.failedOn)
}

// succeededOn counts a success for the worker itself.
func (k *Keeper) succeededOn(r *record, job string, started time.Duration) {
	if r.probing(started) {
		k.setQuarantined(r, false)
		r.Probe, r.probed, r.restored = false, false, false
		r.outcomes = nil
	}
	k.note(r, outcome{job: job})
	r.successes++
	if r.successes >= k.cfg.Window && !r.Quarantined {
		r.Strikes = 0
	}
}

// Ended drops the evidence about a job that is terminal; what it says about
// workers stays. A job that ended as failed was bad.
func (k *Keeper) Ended(now time.Duration, job string, failed bool) {
	s := k.jobs[job]
	if s == nil {
		return
	}
	if failed && !s.well {
		k.setWeight(job, s, weightNone)
		k.judge(now, s.failedOn)
	}
	delete(k.jobs, job)
}

// Suspects returns the jobs that have failed and not yet run well, sorted, so
// that the caller can look how they do elsewhere.
func (k *Keeper) Suspects() []string {
	var list []string
	for id, s := range k.jobs {
		if !s.well {
			list = append(list, id)
		}
	}
	slices.Sort(list)
	return list
}

// Lasted returns how long the longest failed run of a job took.
func (k *Keeper) Lasted(job string) time.Duration {
	if s := k.jobs[job]; s != nil {
		return s.lasted
	}
	return 0
}

// Tick opens the probes that are due.
func (k *Keeper) Tick(now time.Duration) {
	for _, r := range k.workers {
		if r.Quarantined && now >= r.Until {
			r.Probe = true
			r.since = now
			r.Until = now + k.interval(r.Strikes)
		}
	}
}

// Standings returns the workers that are or were quarantined, by name.
func (k *Keeper) Standings() []Standing {
	var list []Standing
	for _, r := range k.workers {
		if r.known {
			list = append(list, r.Standing)
		}
	}
	slices.SortFunc(list, func(a, b Standing) int {
		if a.Worker < b.Worker {
			return -1
		}
		return 1
	})
	return list
}

// Quarantined reports whether a worker is quarantined.
func (k *Keeper) Quarantined(worker string) bool {
	r := k.workers[worker]
	return r != nil && r.Quarantined
}

// worker returns the record of a worker.
func (k *Keeper) worker(id string) *record {
	r := k.workers[id]
	if r == nil {
		r = &record{Standing: Standing{Worker: id}}
		k.workers[id] = r
	}
	return r
}

// probing reports whether a run that began at started is the probe.
func (r *record) probing(started time.Duration) bool {
	return r.Quarantined && r.Probe && started >= r.since
}

// note adds an outcome and keeps the latest ones. One job counts once.
func (k *Keeper) note(r *record, o outcome) {
	r.outcomes = slices.DeleteFunc(r.outcomes, func(old outcome) bool { return old.job == o.job })
	r.outcomes = append(r.outcomes, o)
	if len(r.outcomes) > k.cfg.Window {
		r.outcomes = r.outcomes[1:]
	}
}

// weigh sets the weight of a job's failures from what is known about it.
func (k *Keeper) weigh(job string, s *suspect) {
	switch {
	case s.well:
		k.setWeight(job, s, weightConfirmed)
	case len(s.failedOn) == 1:
		k.setWeight(job, s, weightSuspected)
	default:
		k.setWeight(job, s, weightNone)
	}
}

// setWeight changes the outcomes of a job on the workers where it failed.
func (k *Keeper) setWeight(job string, s *suspect, weight int) {
	for _, id := range s.failedOn {
		r := k.workers[id]
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

// judge quarantines workers with enough evidence, and releases those whose
// evidence turned out to be against the jobs.
func (k *Keeper) judge(now time.Duration, workers []string) {
	for _, id := range workers {
		r := k.workers[id]
		if r == nil {
			continue
		}
		enough := r.score() >= k.cfg.Threshold
		switch {
		case enough && !r.Quarantined && k.closed < k.limit():
			k.setQuarantined(r, true)
			k.strike(now, r)
		case !enough && r.Quarantined && !r.probed && !r.restored:
			k.setQuarantined(r, false)
			r.Probe = false
			r.Strikes--
		}
	}
}

// score sums the evidence against a worker.
func (r *record) score() int {
	sum := 0
	for _, o := range r.outcomes {
		sum += o.weight
	}
	return sum
}

// strike closes a worker until the next probe.
func (k *Keeper) strike(now time.Duration, r *record) {
	r.Strikes++
	r.Probe = false
	r.since = now
	r.Until = now + k.interval(r.Strikes)
}

// interval returns the time to the next probe.
func (k *Keeper) interval(strikes int) time.Duration {
	wait := k.cfg.FirstProbe
	for i := 1; i < strikes && wait < k.cfg.MaxProbe; i++ {
		wait *= 2
	}
	return min(wait, k.cfg.MaxProbe)
}

// setQuarantined changes the state and the count of closed workers.
func (k *Keeper) setQuarantined(r *record, on bool) {
	if r.Quarantined == on {
		return
	}
	r.Quarantined = on
	r.known = true
	if on {
		k.closed++
	} else {
		k.closed--
	}
}

// limit returns how many workers may be quarantined at once.
func (k *Keeper) limit() int {
	return max(1, int(float64(k.fleet)*k.cfg.MaxShare))
}
