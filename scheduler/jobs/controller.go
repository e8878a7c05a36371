package jobs

import (
	"container/list"
	"sort"
	"time"

	"cranberrydrum.dev/coord/pqueue"
	"cranberrydrum.dev/scheduler/placement"
	"cranberrydrum.dev/scheduler/quarantine"
	"cranberrydrum.dev/scheduler/structs"
)

// Planner decides which gangs to start, on which workers, and which to preempt.
// placement.Scheduler implements it.
type Planner interface {
	SetRules(rules placement.Rules)
	SetWorker(w structs.Worker)
	RemoveWorker(id string)
	SetQueued(q placement.Queued)
	SetRunning(r placement.Running)
	Remove(jobID string)
	Round(now time.Duration) placement.Plan
}

// ControllerConfig holds the planner, timing and limits of a controller.
type ControllerConfig struct {
	Planner Planner
	// Lease is the length of a worker's lease, counted from when the worker
	// sent the renewal.
	Lease time.Duration
	// Margin is the additional wait after the lease before a worker is
	// declared lost. It covers the clock error of both sides over one lease
	// and the time that a worker takes to end its tasks.
	Margin time.Duration
	// RoundInterval is the minimum time between scheduling rounds.
	RoundInterval time.Duration
	// IdleRound is the time between rounds while jobs are queued and nothing
	// changes.
	IdleRound time.Duration
	// PrepareTimeout bounds the wait for all members of a reserved gang to
	// prepare.
	PrepareTimeout time.Duration
	// Retry is the time after which a proposal that is not yet visible in the
	// state is repeated.
	Retry time.Duration
	// KeepJobs and KeepWorkers bound the terminal jobs and the lost workers
	// that the state retains; of the jobs that ended lately, more are retained.
	KeepJobs    int
	KeepWorkers int
	Quarantine  quarantine.Config
}

// DefaultControllerConfig returns the default values of the design (docs/design.md).
func DefaultControllerConfig(p Planner) ControllerConfig {
	return ControllerConfig{
		Planner:        p,
		Lease:          6 * time.Second,
		Margin:         time.Second,
		RoundInterval:  50 * time.Millisecond,
		IdleRound:      time.Second,
		PrepareTimeout: 30 * time.Second,
		Retry:          time.Second,
		KeepJobs:       10_000,
		KeepWorkers:    256,
		Quarantine:     quarantine.DefaultConfig(),
	}
}

// Controller is the volatile state of the leader of a failure domain. It is
// created when a host becomes leader and discarded when its leadership ends.
type Controller struct {
	cfg     ControllerConfig
	state   *State
	planner Planner
	term    uint64
	// startClock and startedAt are the domain clock and the local time when the
	// controller was created.
	startClock time.Duration
	startedAt  time.Duration

	// leases holds the workers that may run tasks. expiry lists them in order
	// of expiry; an extended lease moves to the back, because all leases have
	// the same length.
	leases map[string]*workerLease
	expiry *list.List
	// lastTick is compared with the current time to detect pauses of the process.
	lastTick time.Duration

	leadProposal    pendingProposal
	requestedConfig *SetConfig
	configProposal  pendingProposal
	registrations   map[string]*registration
	departures      map[string]*departure
	// reports are proposed in the next Tick. reportSet holds the same reports,
	// to skip duplicates.
	reports        []MemberReport
	reportSet      map[MemberReport]struct{}
	preparations   map[string]*preparation
	readyGangs     []string
	timers         *pqueue.Queue[timer]
	forgetProposal pendingProposal

	quarantines         *quarantine.Tracker
	statusProposals     map[string]*pendingProposal
	lastUnresolvedCheck time.Duration

	queued      map[string]struct{}
	waitReasons map[string]string
	estimates   *placement.Estimator
	// ordersChanged is the set of workers whose orders may have changed.
	ordersChanged map[string]struct{}
	// dirty means that the planner's input changed since the last round.
	dirty     bool
	lastRound time.Duration
	// lastPlanRound is the round number of the last proposed plan.
	lastPlanRound uint64
	planProposal  pendingProposal
}

// pendingProposal tracks when a command was last proposed and not yet seen applied.
type pendingProposal struct {
	pending    bool
	proposedAt time.Duration
}

// tryBegin reports whether to propose now, and if so records the time. It returns
// false while an earlier proposal is younger than retry.
func (p *pendingProposal) tryBegin(now, retry time.Duration) bool {
	if p.pending && now-p.proposedAt < retry {
		return false
	}
	p.pending, p.proposedAt = true, now
	return true
}

// registration is a worker whose announced data differs from the state or is
// missing there.
type registration struct {
	body     RegisterWorker
	proposal pendingProposal
	// lastRenewal is when the worker last renewed with this data.
	lastRenewal time.Duration
}

// departure is a worker that announced that it is leaving.
type departure struct {
	body     RemoveWorker
	proposal pendingProposal
}

// NewController returns the controller of a new leader of the domain. The state
// must have applied all entries of earlier terms. No worker is declared lost
// until one full lease and the margin have passed, because the previous leader
// may have renewed the worker's lease just before.
func NewController(cfg ControllerConfig, s *State, now time.Duration, term uint64) *Controller {
	c := &Controller{
		cfg: cfg, state: s, planner: cfg.Planner, term: term,
		startClock: s.clock, startedAt: now, lastTick: now, lastRound: now - cfg.RoundInterval,
		leases: map[string]*workerLease{}, expiry: list.New(),
		registrations: map[string]*registration{}, departures: map[string]*departure{},
		reportSet: map[MemberReport]struct{}{}, preparations: map[string]*preparation{}, timers: pqueue.New(timer.firesBefore, nil),
		quarantines: quarantine.New(cfg.Quarantine), statusProposals: map[string]*pendingProposal{},
		queued: map[string]struct{}{}, waitReasons: map[string]string{}, estimates: placement.NewEstimator(),
		ordersChanged: map[string]struct{}{},
	}
	s.changes.track()
	c.restoreEvidence()
	c.Sync(now)
	return c
}

// Clock returns the domain clock at local time now.
func (c *Controller) Clock(now time.Duration) time.Duration {
	return c.startClock + (now - c.startedAt)
}

// Command returns the log command for a caller's request. It is not fenced by the
// term.
func (c *Controller) Command(now time.Duration, b Body) Command {
	return Command{Clock: c.Clock(now), Body: b}
}

// command returns the log command for a decision of this controller, fenced by its
// term.
func (c *Controller) command(now time.Duration, b Body) Command {
	return Command{Term: c.term, Clock: c.Clock(now), Body: b}
}

// WaitReason returns the reason why the last round did not place a queued job, or an
// empty string.
func (c *Controller) WaitReason(job string) string {
	if _, queued := c.queued[job]; queued && c.state.use.Evacuated {
		return reasonEvacuated
	}
	return c.waitReasons[job]
}

// Configure requests a configuration. Tick proposes it until the state has it or
// a later one.
func (c *Controller) Configure(set SetConfig) {
	if c.requestedConfig == nil || set.Version > c.requestedConfig.Version {
		c.requestedConfig, c.configProposal = &set, pendingProposal{}
	}
}

// DrainWorker requests that a worker is drained. The worker keeps renewing until its
// orders are empty, and then stops.
func (c *Controller) DrainWorker(worker string, grace time.Duration) {
	if c.departures[worker] == nil {
		c.departures[worker] = &departure{body: RemoveWorker{Worker: worker, Grace: grace}}
	}
}

// Tick returns the commands to propose now. Commands may be lost or applied
// late; those that are still needed are proposed again. Tick must be called
// several times a second: a gap of more than maxTickGap counts as a pause of the
// process and extends all leases by that time.
func (c *Controller) Tick(now time.Duration) []Command {
	c.Sync(now)
	c.detectPause(now)
	if c.state.term != c.term {
		return c.proposeLead(now)
	}
	var out []Command
	out = c.proposeConfig(now, out)
	out = c.proposeRegistrations(now, out)
	out = c.proposeDepartures(now, out)
	out = c.expireLeases(now, out)
	out = c.proposeReports(now, out)
	out = c.fireTimers(now, out)
	out = c.startGangs(now, out)
	out = c.proposeQuarantine(now, out)
	out = c.proposeForget(now, out)
	return c.round(now, out)
}

// proposeLead proposes the first command of the term. The controller issues no
// other command before this one is applied: from then on the state contains
// everything that earlier leaders logged, and rejects their later proposals.
func (c *Controller) proposeLead(now time.Duration) []Command {
	if c.state.term > c.term || !c.leadProposal.tryBegin(now, c.cfg.Retry) {
		return nil
	}
	return []Command{c.command(now, &Lead{})}
}

// isLeading reports whether the state is in this controller's term.
func (c *Controller) isLeading() bool { return c.state.term == c.term }

// proposeConfig proposes the requested configuration until it is in force.
func (c *Controller) proposeConfig(now time.Duration, out []Command) []Command {
	if c.requestedConfig == nil {
		return out
	}
	if c.requestedConfig.Version <= c.state.config.Version {
		c.requestedConfig = nil
		return out
	}
	if c.configProposal.tryBegin(now, c.cfg.Retry) {
		out = append(out, c.command(now, c.requestedConfig))
	}
	return out
}

// minJobRetention is how long a terminal job is kept, within maxJobsFactor: a caller that
// has lost the answer to its submission resends it, and a forgotten job would run again.
const minJobRetention = 10 * time.Minute

// maxJobsFactor bounds the memory of terminal jobs, in multiples of KeepJobs.
const maxJobsFactor = 3

// jobsToKeep returns the number of terminal jobs to keep.
func (c *Controller) jobsToKeep(now time.Duration) int {
	ended, clock := c.state.terminal, c.Clock(now)
	old := sort.Search(len(ended), func(i int) bool { return clock-ended[i].finished < minJobRetention })
	return min(max(c.cfg.KeepJobs, len(ended)-old), maxJobsFactor*c.cfg.KeepJobs)
}

// proposeForget proposes to delete terminal jobs and lost workers once they
// exceed their bounds by 10 %.
func (c *Controller) proposeForget(now time.Duration, out []Command) []Command {
	keep := c.jobsToKeep(now)
	tooManyJobs := len(c.state.terminal) > keep+c.cfg.KeepJobs/10
	tooManyLostWorkers := len(c.state.workers)-len(c.leases) > c.cfg.KeepWorkers+c.cfg.KeepWorkers/10
	if (tooManyJobs || tooManyLostWorkers) && c.forgetProposal.tryBegin(now, c.cfg.Retry) {
		out = append(out, c.command(now, &Forget{KeepJobs: keep, KeepWorkers: c.cfg.KeepWorkers}))
	}
	return out
}
