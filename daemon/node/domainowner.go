package node

import (
	"time"

	"github.com/go-logr/logr"

	"cranberrydrum.dev/coord/raft"
	"cranberrydrum.dev/daemon/group"
	"cranberrydrum.dev/daemon/metrics"
	"cranberrydrum.dev/daemon/panics"
	"cranberrydrum.dev/scheduler/domain"
	"cranberrydrum.dev/scheduler/jobs"
	"cranberrydrum.dev/scheduler/placement"
)

const (
	keyExpireInterval = 30 * time.Second
	// commandRetryInterval is the time after which a command that has not taken
	// effect is proposed again.
	commandRetryInterval = 500 * time.Millisecond
	// workerLeaseMargin is added to the lease before a worker is declared lost.
	workerLeaseMargin = time.Second
	// workerLeaveGrace bounds the time for stopping the tasks of a leaving worker
	// with a checkpoint.
	workerLeaveGrace   = 30 * time.Second
	domainGroupPrefix  = "domain/"
	metricsKeysSending = "sending"
	metricsKeysTotal   = "recorded"
	metricsKeysCompact = "compact"
)

// domainGroup returns the name of the replicated log of a failure domain.
func domainGroup(domain string) string { return domainGroupPrefix + domain }

// domainOwner acts as the owner of a failure domain while this host leads its
// log. All methods run on the goroutine of the group.
type domainOwner struct {
	domain  string
	state   *domain.State
	config  *configStore
	lease   time.Duration
	metrics *metrics.Metrics
	log     logr.Logger

	controller *jobs.Controller
	// suspended is set while this host leads the log in the same term but does
	// not hold the leader lease.
	suspended bool
	scheduler *timedPlanner
	term      uint64
	// nextTakeOver, nextExpire and nextPolicy are the times from which the
	// respective key command may be proposed again.
	nextTakeOver time.Duration
	nextExpire   time.Duration
	nextPolicy   time.Duration
	// nextPublish is the time from which the evacuation metrics are set again.
	nextPublish time.Duration
	// unsettledOrders counts the evacuation orders that were proposed in this term
	// and whose outcome is not known.
	unsettledOrders int
	// resumeAt is when the owner acts again after a panic.
	resumeAt time.Duration
	// watchers holds a channel per worker that is closed when the orders of the
	// worker may have changed.
	watchers map[string]chan struct{}
}

// Step implements group.Owner. After a panic it starts again with a new controller,
// at intervals: the fault may lie in the state, which other hosts share.
func (o *domainOwner) Step(now time.Duration, view group.View) [][]byte {
	if now < o.resumeAt {
		return nil
	}
	var commands [][]byte
	if err := panics.Catch("owner_step", func() { commands = o.step(now, view) }); err != nil {
		panics.Log(o.log, o.metrics, err, "domain", o.domain)
		o.stepDown()
		o.resumeAt = now + commandRetryInterval
		return nil
	}
	return commands
}

func (o *domainOwner) step(now time.Duration, view group.View) [][]byte {
	if !view.HoldsLease || !view.Ready {
		o.suspend(view)
		return nil
	}
	if o.controller == nil || o.term != view.Status.Term || view.Restored {
		o.startTerm(now, view.Status.Term)
	}
	o.resume(now)
	o.configure()
	var commands [][]byte
	for _, c := range o.controller.Tick(now) {
		data, err := domain.EncodeJobs(c)
		if err != nil {
			o.log.Error(err, "encoding a command failed", "domain", o.domain)
			continue
		}
		commands = append(commands, data)
	}
	o.notify()
	o.publishEvacuation(now)
	return append(commands, o.keyCommands(now)...)
}

// suspend stops acting as the owner. It keeps the controller while this host
// leads in the same term, because no other leader can have changed the state.
// Rebuilding the controller takes milliseconds and makes all workers renew at
// once, and a slow disk sync can lose the leader lease for a moment several
// times a second.
func (o *domainOwner) suspend(view group.View) {
	if o.term != view.Status.Term || view.Status.Role != raft.RoleLeader || view.Restored {
		o.stepDown()
		return
	}
	o.suspended = o.controller != nil
}

// resume ends a suspension. Renewals were refused while it lasted, so the leases
// of all workers are extended by that time.
func (o *domainOwner) resume(now time.Duration) {
	if o.suspended {
		o.suspended = false
		o.controller.ExtendLeases(now)
	}
}

// isActive reports whether this host acts as the owner.
func (o *domainOwner) isActive() bool { return o.controller != nil && !o.suspended }

// watch returns a channel that is closed when the orders of a worker may have
// changed.
func (o *domainOwner) watch(worker string) <-chan struct{} {
	changed := o.watchers[worker]
	if changed == nil {
		changed = make(chan struct{})
		o.watchers[worker] = changed
	}
	return changed
}

// notify wakes the long-polling renewals of the workers whose orders may have
// changed.
func (o *domainOwner) notify() {
	for _, worker := range o.controller.TakeChangedWorkers() {
		if changed := o.watchers[worker]; changed != nil {
			delete(o.watchers, worker)
			close(changed)
		}
	}
}

// startTerm starts a controller for a new term.
func (o *domainOwner) startTerm(now time.Duration, term uint64) {
	o.scheduler = &timedPlanner{Scheduler: placement.New(placement.Config{}), metrics: o.metrics, domain: o.domain}
	cfg := jobs.DefaultControllerConfig(o.scheduler)
	cfg.Lease = o.lease
	cfg.Margin = workerLeaseMargin
	o.controller = jobs.NewController(cfg, o.state.Jobs(), now, term)
	o.suspended = false
	o.term = term
	if o.watchers == nil {
		o.watchers = map[string]chan struct{}{}
	}
	o.nextTakeOver = now
	o.nextExpire = now + keyExpireInterval
	o.nextPolicy = now
	o.nextPublish = now
	o.unsettledOrders = 0
	o.log.Info("this host owns the failure domain", "domain", o.domain, "term", term)
}

// stepDown drops the controller and wakes all long-polling renewals.
func (o *domainOwner) stepDown() {
	if o.controller == nil {
		return
	}
	o.controller = nil
	o.suspended = false
	o.scheduler = nil
	o.metrics.RemoveEvacuation(o.domain)
	for worker, changed := range o.watchers {
		delete(o.watchers, worker)
		close(changed)
	}
	o.log.Info("this host no longer owns the failure domain", "domain", o.domain, "term", o.term)
}

// configure passes a newer configuration to the controller.
func (o *domainOwner) configure() {
	if o.config.version() <= o.state.Jobs().ConfigVersion() {
		return
	}
	current := o.config.current()
	o.controller.Configure(jobs.ConfigFor(o.domain, current.Version, current.Config))
}

// keyPolicy returns the command that puts the key policy of the configuration
// in force, or nil if the log already has that version or a retry is not due.
func (o *domainOwner) keyPolicy(now, clock time.Duration) []byte {
	version := o.config.version()
	if version <= o.state.KeyPolicyVersion() || now < o.nextPolicy {
		return nil
	}
	o.nextPolicy = now + commandRetryInterval
	data, err := domain.EncodeKeyPolicy(clock, version, o.config.current().Config.Keys)
	if err != nil {
		o.log.Error(err, "encoding a command failed", "domain", o.domain)
		return nil
	}
	return data
}

// keyCommands returns the due commands of the key table: take over the keys of
// earlier leaders, change the policy, remove expired keys. Whenever the last is
// due, it also sets the metrics of the keys and of the fragmentation.
func (o *domainOwner) keyCommands(now time.Duration) [][]byte {
	var commands [][]byte
	clock := o.controller.Clock(now)
	if o.state.TakeOverTerm() < o.term && now >= o.nextTakeOver {
		o.nextTakeOver = now + commandRetryInterval
		commands = o.appendCommand(commands)(domain.EncodeTakeOver(clock))
	}
	if policy := o.keyPolicy(now, clock); policy != nil {
		commands = append(commands, policy)
	}
	if now >= o.nextExpire {
		o.nextExpire = now + keyExpireInterval
		o.publishKeys()
		fragmentationOf(o, workersOf(o))
		commands = o.appendCommand(commands)(domain.EncodeExpire(clock))
	}
	return commands
}

// appendCommand returns a function that appends an encoded command, or logs the
// error of its encoding.
func (o *domainOwner) appendCommand(commands [][]byte) func([]byte, error) [][]byte {
	return func(data []byte, err error) [][]byte {
		if err != nil {
			o.log.Error(err, "encoding a command failed", "domain", o.domain)
			return commands
		}
		return append(commands, data)
	}
}

func (o *domainOwner) publishKeys() {
	usage := o.state.Keys().Usage()
	o.metrics.SetKeys(metricsKeysSending, usage.Sending)
	o.metrics.SetKeys(metricsKeysTotal, usage.Keys)
	o.metrics.SetKeys(metricsKeysCompact, usage.Compact)
}

// timedPlanner records the duration of the rounds of a placement scheduler.
type timedPlanner struct {
	*placement.Scheduler
	metrics *metrics.Metrics
	domain  string
}

// Round implements jobs.Planner.
func (p *timedPlanner) Round(now time.Duration) placement.Plan {
	start := time.Now()
	plan := p.Scheduler.Round(now)
	p.metrics.ObserveRound(time.Since(start))
	return plan
}
