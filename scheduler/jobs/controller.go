package jobs

import (
	"container/list"
	"time"

	"cranberrydrum.dev/coord/pqueue"
	"cranberrydrum.dev/scheduler/placement"
	"cranberrydrum.dev/scheduler/quarantine"
	"cranberrydrum.dev/scheduler/structs"
)

// Planner decides which gangs start where. placement.Scheduler implements it.
type Planner interface {
	SetRules(rules placement.Rules)
	SetWorker(w structs.Worker)
	RemoveWorker(id string)
	SetQueued(q placement.Queued)
	SetRunning(r placement.Running)
	Remove(jobID string)
	Round(now time.Duration) placement.Plan
}

// ControllerConfig sets the times of a controller.
type ControllerConfig struct {
	Planner Planner
	// Lease is what a renewal grants a worker, from when it was sent.
	Lease time.Duration
	// Margin is added before a worker is declared lost: the error of both
	// clocks over a lease and the time that a worker takes to end its tasks.
	Margin time.Duration
	// RoundInterval is the least time between scheduling rounds.
	RoundInterval time.Duration
	// IdleRound is the time between rounds when jobs wait and nothing changes.
	IdleRound time.Duration
	// PrepareTimeout bounds the wait for the members of a reserved gang.
	PrepareTimeout time.Duration
	// Retry is the time after which a proposal without effect is repeated.
	Retry time.Duration
	// KeepJobs and KeepWorkers bound the terminal jobs and the lost workers
	// that the state remembers.
	KeepJobs    int
	KeepWorkers int
	Quarantine  quarantine.Config
}

// DefaultControllerConfig returns the values of the design page.
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

// Controller is the volatile part of the leader of a failure domain. It is
// created when a host becomes leader and dropped when it ceases to be.
type Controller struct {
	cfg     ControllerConfig
	state   *State
	planner Planner
	term    uint64
	// base is the domain clock at the start of the controller.
	base  time.Duration
	start time.Duration

	// leases are the workers that may run tasks, and expiry orders them by
	// the end of the lease: all leases have the same length.
	leases map[string]*workerLease
	expiry *list.List
	// lastTick detects pauses of the process.
	lastTick time.Duration

	leadAt    attempt
	config    *SetConfig
	configAt  attempt
	registers map[string]*registration
	leaving   map[string]*departure
	reports   []MemberReport
	reported  map[MemberReport]struct{}
	gangs     map[string]*gang
	ready     []string
	timers    *pqueue.Queue[timer]
	forgetAt  attempt

	keeper       *quarantine.Keeper
	standingAt   map[string]*attempt
	lastEvidence time.Duration

	queued    map[string]struct{}
	waiting   map[string]string
	estimates *placement.Estimator
	// touched are the workers whose orders may have changed.
	touched   map[string]struct{}
	dirty     bool
	lastRound time.Duration
	rounds    uint64
	inFlight  attempt
}

// attempt is a proposal that may be under way.
type attempt struct {
	made bool
	at   time.Duration
}

// due reports whether to propose now, and if so takes note of it.
func (a *attempt) due(now, retry time.Duration) bool {
	if a.made && now-a.at < retry {
		return false
	}
	a.made, a.at = true, now
	return true
}

// registration is a worker that the state does not know as it is.
type registration struct {
	body RegisterWorker
	at   attempt
	// wanted is when the worker last renewed with this content.
	wanted time.Duration
}

// departure is a worker that announced that it leaves.
type departure struct {
	body RemoveWorker
	at   attempt
}

// NewController starts to lead the domain in a term. The state must have
// applied all entries of earlier terms. No worker is declared lost before one
// full lease and the margin have passed, because an earlier leader may have
// renewed its lease just before.
func NewController(cfg ControllerConfig, s *State, now time.Duration, term uint64) *Controller {
	c := &Controller{
		cfg: cfg, state: s, planner: cfg.Planner, term: term,
		base: s.clock, start: now, lastTick: now, lastRound: now - cfg.RoundInterval,
		leases: map[string]*workerLease{}, expiry: list.New(),
		registers: map[string]*registration{}, leaving: map[string]*departure{},
		reported: map[MemberReport]struct{}{}, gangs: map[string]*gang{}, timers: pqueue.New(timer.firesBefore, nil),
		keeper: quarantine.New(cfg.Quarantine), standingAt: map[string]*attempt{},
		queued: map[string]struct{}{}, waiting: map[string]string{}, estimates: placement.NewEstimator(),
		touched: map[string]struct{}{},
	}
	s.changes.track()
	c.restoreEvidence()
	c.Applied(now)
	return c
}

// Clock returns the domain clock.
func (c *Controller) Clock(now time.Duration) time.Duration {
	return c.base + (now - c.start)
}

// Command wraps the body of a caller's command for the log.
func (c *Controller) Command(now time.Duration, b Body) Command {
	return Command{Clock: c.Clock(now), Body: b}
}

// command wraps a decision of this controller, fenced by its term.
func (c *Controller) command(now time.Duration, b Body) Command {
	return Command{Term: c.term, Clock: c.Clock(now), Body: b}
}

// Waiting returns why the last round did not place a queued job.
func (c *Controller) Waiting(job string) string { return c.waiting[job] }

// Configure asks for a configuration. It is proposed by Tick until it or a
// later one is in force.
func (c *Controller) Configure(set SetConfig) {
	if c.config == nil || set.Version > c.config.Version {
		c.config, c.configAt = &set, attempt{}
	}
}

// Leave takes note that a worker leaves. The worker goes on renewing until its
// orders are empty, and then stops.
func (c *Controller) Leave(worker string, grace time.Duration) {
	if c.leaving[worker] == nil {
		c.leaving[worker] = &departure{body: RemoveWorker{Worker: worker, Grace: grace}}
	}
}

// Tick returns the commands to propose now. Commands may be lost or applied
// late; what still matters is proposed again. It must be called several times
// a second: a longer gap counts as a pause and extends all leases.
func (c *Controller) Tick(now time.Duration) []Command {
	c.Applied(now)
	c.noticePause(now)
	if c.state.term != c.term {
		return c.lead(now)
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

// lead proposes the first command of the term. Nothing else is decided before
// it is applied: the state then contains all that earlier leaders logged, and
// drops what they still propose.
func (c *Controller) lead(now time.Duration) []Command {
	if c.state.term > c.term || !c.leadAt.due(now, c.cfg.Retry) {
		return nil
	}
	return []Command{c.command(now, &Lead{})}
}

// leading reports whether this controller's term is the one in force.
func (c *Controller) leading() bool { return c.state.term == c.term }

// proposeConfig proposes the wanted configuration.
func (c *Controller) proposeConfig(now time.Duration, out []Command) []Command {
	if c.config == nil {
		return out
	}
	if c.config.Version <= c.state.config.Version {
		c.config = nil
		return out
	}
	if c.configAt.due(now, c.cfg.Retry) {
		out = append(out, c.command(now, c.config))
	}
	return out
}

// proposeForget bounds what the state remembers.
func (c *Controller) proposeForget(now time.Duration, out []Command) []Command {
	excess := len(c.state.terminal) > c.cfg.KeepJobs+c.cfg.KeepJobs/10
	lost := len(c.state.workers)-len(c.leases) > c.cfg.KeepWorkers+c.cfg.KeepWorkers/10
	if (excess || lost) && c.forgetAt.due(now, c.cfg.Retry) {
		out = append(out, c.command(now, &Forget{KeepJobs: c.cfg.KeepJobs, KeepWorkers: c.cfg.KeepWorkers}))
	}
	return out
}
