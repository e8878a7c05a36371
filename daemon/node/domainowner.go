package node

import (
	"time"

	"github.com/go-logr/logr"

	"cranberrydrum.dev/coord/raft"
	"cranberrydrum.dev/daemon/group"
	"cranberrydrum.dev/daemon/metrics"
	"cranberrydrum.dev/scheduler/domain"
	"cranberrydrum.dev/scheduler/jobs"
	"cranberrydrum.dev/scheduler/placement"
)

const (
	keyExpireInterval = 30 * time.Second
	// commandRetry is when a command without effect is proposed again.
	commandRetry       = 500 * time.Millisecond
	workerLeaseMargin  = time.Second
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
	keeper  *configKeeper
	lease   time.Duration
	metrics *metrics.Metrics
	log     logr.Logger

	controller *jobs.Controller
	// suspended is set while this host leads but does not hold the leader lease.
	suspended    bool
	scheduler    *timedPlanner
	term         uint64
	nextTakeOver time.Duration
	nextExpire   time.Duration
	nextPolicy   time.Duration
	// watchers are closed when the orders of a worker may have changed.
	watchers map[string]chan struct{}
}

// Step implements group.Owner.
func (o *domainOwner) Step(now time.Duration, view group.View) [][]byte {
	if !view.Lease || !view.Ready {
		o.pause(view)
		return nil
	}
	if o.controller == nil || o.term != view.Status.Term || view.Restored {
		o.lead(now, view.Status.Term)
	}
	o.resume(now)
	o.configure()
	var commands [][]byte
	for _, c := range o.controller.Tick(now) {
		data, err := domain.EncodeJobs(c)
		if err != nil {
			o.log.Error(err, "a command cannot be encoded", "domain", o.domain)
			continue
		}
		commands = append(commands, data)
	}
	o.notify()
	return append(commands, o.keyCommands(now)...)
}

// pause stops acting as the owner. The controller is kept while this host leads
// in the same term, because no other leader can have changed the state. To
// build it again takes milliseconds and makes all workers renew at once, and a
// slow sync loses the leader lease for a moment several times a second.
func (o *domainOwner) pause(view group.View) {
	if o.term != view.Status.Term || view.Status.Role != raft.RoleLeader || view.Restored {
		o.resign()
		return
	}
	o.suspended = o.controller != nil
}

// resume goes on after a pause. Renewals were refused during it, so all leases
// of workers are granted again.
func (o *domainOwner) resume(now time.Duration) {
	if o.suspended {
		o.suspended = false
		o.controller.Resume(now)
	}
}

// acts reports whether this host acts as the owner.
func (o *domainOwner) acts() bool { return o.controller != nil && !o.suspended }

// watch returns a channel that is closed when the orders of a worker may have changed.
func (o *domainOwner) watch(worker string) <-chan struct{} {
	changed := o.watchers[worker]
	if changed == nil {
		changed = make(chan struct{})
		o.watchers[worker] = changed
	}
	return changed
}

// notify wakes the held renewals of the workers whose orders may have changed.
func (o *domainOwner) notify() {
	for _, worker := range o.controller.Touched() {
		if changed := o.watchers[worker]; changed != nil {
			delete(o.watchers, worker)
			close(changed)
		}
	}
}

// lead starts a controller for a new term.
func (o *domainOwner) lead(now time.Duration, term uint64) {
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
	o.log.Info("this host owns the failure domain", "domain", o.domain, "term", term)
}

func (o *domainOwner) resign() {
	if o.controller == nil {
		return
	}
	o.controller = nil
	o.suspended = false
	o.scheduler = nil
	for worker, changed := range o.watchers {
		delete(o.watchers, worker)
		close(changed)
	}
	o.log.Info("this host no longer owns the failure domain", "domain", o.domain, "term", o.term)
}

// configure hands a newer configuration to the controller.
func (o *domainOwner) configure() {
	if o.keeper.version() <= o.state.Jobs().ConfigVersion() {
		return
	}
	current := o.keeper.current()
	o.controller.Configure(jobs.ConfigFor(o.domain, current.Version, current.Config))
}

// keyPolicy returns the command that puts the key policy of the configuration
// in force, if an earlier one is.
func (o *domainOwner) keyPolicy(now, clock time.Duration) []byte {
	version := o.keeper.version()
	if version <= o.state.KeyPolicyVersion() || now < o.nextPolicy {
		return nil
	}
	o.nextPolicy = now + commandRetry
	data, err := domain.EncodeKeyPolicy(clock, version, o.keeper.current().Config.Keys)
	if err != nil {
		o.log.Error(err, "a command cannot be encoded", "domain", o.domain)
		return nil
	}
	return data
}

// keyCommands ends the keys of earlier leaders and drops expired keys.
func (o *domainOwner) keyCommands(now time.Duration) [][]byte {
	var commands [][]byte
	clock := o.controller.Clock(now)
	if o.state.TakenOver() < o.term && now >= o.nextTakeOver {
		o.nextTakeOver = now + commandRetry
		commands = o.appendCommand(commands)(domain.EncodeTakeOver(clock))
	}
	if policy := o.keyPolicy(now, clock); policy != nil {
		commands = append(commands, policy)
	}
	if now >= o.nextExpire {
		o.nextExpire = now + keyExpireInterval
		o.publishKeys()
		commands = o.appendCommand(commands)(domain.EncodeExpire(clock))
	}
	return commands
}

func (o *domainOwner) appendCommand(commands [][]byte) func([]byte, error) [][]byte {
	return func(data []byte, err error) [][]byte {
		if err != nil {
			o.log.Error(err, "a command cannot be encoded", "domain", o.domain)
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

// timedPlanner measures the rounds of a placement scheduler.
type timedPlanner struct {
	*placement.Scheduler
	metrics *metrics.Metrics
	domain  string
}

// Round implements jobs.Planner.
func (p *timedPlanner) Round(now time.Duration) placement.Plan {
	start := time.Now()
	plan := p.Scheduler.Round(now)
	p.metrics.Round(time.Since(start))
	return plan
}
