package serving

import (
	"slices"
	"strings"
	"time"

	"cranberrydrum.dev/coord/pqueue"
	"cranberrydrum.dev/coord/retry"
	"cranberrydrum.dev/scheduler/structs"
)

// Dispatcher admits, queues, schedules, retries and refuses the requests of one
// service on one entry host. It is not safe for concurrent use.
type Dispatcher struct {
	cfg     Config
	tuning  tuning
	rules   [classCount]structs.ClassRule
	weights map[string]float64
	// now is the time of the last step.
	now time.Duration

	requests map[string]*request
	wakes    *pqueue.Queue[*request]
	queues   [classCount]classQueue
	// queued and queuedBytes are the number and total body size of the queued
	// requests. running counts the slots in use, and agedRunning those in use by
	// requests that were selected by aging.
	queued          int
	queuedBytes     int
	running         int
	pendingForwards int
	agedRunning     int
	// byTier counts the attempts of each tier on all executors. tierLimits bounds
	// the attempts of a tier and longer ones together, by class.
	byTier     [tierCount]int
	tierLimits [classCount][tierCount]int

	executors map[string]*executor
	// slotUpdates holds the last SlotsUpdated of each executor.
	slotUpdates map[string]SlotsUpdated
	// tickNeeded is set by a SlotsUpdated until the next event of another kind.
	tickNeeded bool
	// sortedExecutors is sorted by ID. searchStart is the index at which the
	// search for the least loaded executor starts; it rotates so that equally
	// loaded executors take turns.
	sortedExecutors []*executor
	searchStart     int

	tiers tierState
	// capacity is the number of slots of usable executors within their limits.
	capacity int
	// excessRunning is the number of attempts beyond the slots that the capacity
	// counts for their executors.
	excessRunning int
	// executorsUp counts the executors that are up with slots for this host, and
	// executorsClosed those of them with a closed breaker.
	executorsUp     int
	executorsClosed int
	medianSlowness  float64
	lastRefresh     time.Duration
	needsRefresh    bool
	dispatchRound   uint64
	budget          *retry.Budget
	backoff         *retry.Backoff
	counters        Counters
	effects         []Effect
	classEstimates  [classCount]estimator
	requestPool     []*request
	returns         returns
}

// NewDispatcher returns a Dispatcher without executors and requests.
func NewDispatcher(cfg Config) *Dispatcher {
	d := &Dispatcher{
		cfg:          cfg,
		budget:       newRetryBudget(cfg.Service.RetryBudget),
		backoff:      newBackoff(cfg.Seed),
		requests:     map[string]*request{},
		wakes:        pqueue.New((*request).wakesBefore, (*request).setPosition),
		executors:    map[string]*executor{},
		slotUpdates:  map[string]SlotsUpdated{},
		needsRefresh: true,
		returns:      newReturns(cfg.Seed),
	}
	for c := range d.queues {
		d.queues[c].flows = map[string]*flow{}
	}
	d.counters.Refusals = map[structs.Code]uint64{}
	d.counters.Retries = map[Result]uint64{}
	d.SetRules(cfg.Service, cfg.Classes, cfg.Customers, cfg.Policy)
	return d
}

// SetRules applies a changed configuration to queued and new requests. Running
// attempts keep their timeouts.
func (d *Dispatcher) SetRules(service structs.Service, classes []structs.ClassRule, customers []structs.Customer, policy structs.Policy) {
	if service.MaxAttempts <= 0 {
		service.MaxAttempts = defaultMaxAttempts
	}
	if service.AttemptTimeout <= 0 {
		service.AttemptTimeout = defaultAttemptTimeout
	}
	d.cfg.Service = service
	d.cfg.Classes = classes
	d.cfg.Customers = customers
	d.cfg.Policy = policy
	d.tuning = newTuning(policy)
	d.budget.SetRatio(service.RetryBudget)
	d.setClassRules(classes)
	d.setWeights(customers)
	d.updateShares()
}

// SetHosts applies a changed list of the entry hosts of the failure domain.
// Without a SlotLedger the caller must update the hosts that lose slots before
// those that gain slots.
func (d *Dispatcher) SetHosts(hosts []string) {
	d.cfg.Hosts = hosts
	d.updateShares()
}

func (d *Dispatcher) updateShares() {
	for _, e := range d.sortedExecutors {
		d.applySlots(e)
	}
	d.needsRefresh = true
}

func (d *Dispatcher) setClassRules(classes []structs.ClassRule) {
	for c := range d.rules {
		d.rules[c] = structs.ClassRule{Class: classNames[c]}
		for _, rule := range classes {
			if rule.Class == classNames[c] && (rule.Service == "" || rule.Service == d.cfg.Service.Name) {
				d.rules[c] = rule
			}
		}
		if d.rules[c].MaxQueue <= 0 {
			d.rules[c].MaxQueue = defaultMaxQueue
		}
		if d.rules[c].DefaultDeadline <= 0 {
			d.rules[c].DefaultDeadline = defaultDeadline
		}
	}
}

func (d *Dispatcher) setWeights(customers []structs.Customer) {
	d.weights = make(map[string]float64, len(customers))
	for _, customer := range customers {
		d.weights[customer.Name] = float64(max(1, customer.Weight))
	}
	for c := range d.queues {
		q := &d.queues[c]
		for name, f := range q.flows {
			f.weight = d.weightOf(name)
			if _, known := d.weights[name]; !known && !f.active && len(customers) > 0 {
				delete(q.flows, name)
			}
		}
		q.activeWeight = 0
		for _, f := range q.active {
			q.activeWeight += f.weight
		}
	}
}

func (d *Dispatcher) weightOf(customer string) float64 {
	if weight, known := d.weights[customer]; known {
		return weight
	}
	return 1
}

// Step handles one event and returns the effects that the caller must carry out,
// in order. Due timers run before the event, so that a result that arrives after
// the deadline counts as late; only a BackendUpdated is handled before them.
//
// SlotsUpdated has no effects, because a step of the SlotLedger can change the
// slots of several executors and nothing may be sent before all of these changes
// are applied. The caller must send a Tick at once after the last of them.
func (d *Dispatcher) Step(now time.Duration, ev Event) []Effect {
	d.effects = nil
	d.now = now
	if update, ok := ev.(SlotsUpdated); ok {
		d.slotsUpdated(update)
		return nil
	}
	// A due timer may send a hedge, which must use the new state of the executors.
	beforeTimers := changesExecutors(ev)
	if beforeTimers {
		d.handle(now, ev)
	}
	d.runTimers(now)
	if !beforeTimers {
		d.handle(now, ev)
	}
	d.refresh(now)
	d.dispatch(now)
	d.tickNeeded = false
	return d.effects
}

func changesExecutors(ev Event) bool {
	switch ev.(type) {
	case BackendUpdated:
		return true
	}
	return false
}

func (d *Dispatcher) handle(now time.Duration, ev Event) {
	switch ev := ev.(type) {
	case RequestArrived:
		d.refresh(now)
		d.requestArrived(now, ev)
	case AttemptStarted:
		d.attemptStarted(now, ev)
	case AttemptResponded:
		d.attemptResponded(ev)
	case AttemptFinished:
		d.attemptFinished(now, ev)
	case ForwardFinished:
		d.forwardFinished(now, ev)
	case RequestCancelled:
		d.requestCancelled(now, ev)
	case BackendUpdated:
		d.backendUpdated(now, ev.Backend)
	case Tick:
	}
}

func (d *Dispatcher) emit(effect Effect) { d.effects = append(d.effects, effect) }

// maxQueueCheckInterval bounds the time between two dispatch rounds while
// requests are queued.
const maxQueueCheckInterval = 100 * time.Millisecond

// NextWake returns when the Dispatcher needs a Tick at the latest.
func (d *Dispatcher) NextWake() (time.Duration, bool) {
	if d.tickNeeded {
		return d.now, true
	}
	wake := never
	if r, ok := d.wakes.First(); ok {
		wake = r.wake
	}
	if d.queued > 0 {
		wake = min(wake, d.now+maxQueueCheckInterval)
	}
	return wake, wake != never
}

// runTimers handles all requests whose next action is due.
func (d *Dispatcher) runTimers(now time.Duration) {
	for {
		r, ok := d.wakes.First()
		if !ok || r.wake > now {
			return
		}
		d.runDueActions(now, r)
	}
}

// runDueActions performs the due actions of a request: the release of held
// slots, attempt timeouts, moves to the next tier, the deadline, the end of a
// backoff and a hedge.
func (d *Dispatcher) runDueActions(now time.Duration, r *request) {
	for i := 0; i < len(r.attempts); i++ {
		a := &r.attempts[i]
		switch {
		case a.held && a.heldUntil <= now:
			d.releaseAttempt(r, i)
			i--
		case !a.held && a.timeoutAt <= now:
			d.timeOutAttempt(now, r, i)
		case !a.held && a.tierEndsAt <= now:
			d.moveToNextTier(now, r, a)
		}
	}
	if r.phase != phaseFinished && r.deadline <= now {
		d.expire(now, r)
	}
	if r.phase == phaseBackoff && r.retryAt <= now {
		d.requeue(r)
	}
	if r.phase == phaseRunning {
		d.hedgeIfDue(now, r)
	}
	d.rescheduleOrRemove(r)
}

// rescheduleOrRemove schedules the next action of a request, or removes the
// request if it is finished and holds no slot.
func (d *Dispatcher) rescheduleOrRemove(r *request) {
	if r.phase != phaseFinished || len(r.attempts) > 0 {
		d.reschedule(r)
		return
	}
	d.wakes.Remove(r.position)
	delete(d.requests, r.id)
	const maxPooledRequests = 1024
	if len(d.requestPool) < maxPooledRequests {
		d.requestPool = append(d.requestPool, r)
	}
}

// reschedule updates the position of a request in the timer queue.
func (d *Dispatcher) reschedule(r *request) {
	wake := r.nextWake()
	if wake == r.wake {
		return
	}
	r.wake = wake
	d.wakes.Fix(r.position)
}

// backendUpdated applies the newest announcement of an executor.
func (d *Dispatcher) backendUpdated(now time.Duration, b structs.Backend) {
	if b.Service != d.cfg.Service.Name {
		return
	}
	e := d.executors[b.ID]
	if e == nil {
		if b.State != structs.BackendUp {
			return
		}
		e = &executor{slowdown: 1, measuredAt: now, lastSuccess: now}
		d.addExecutor(b.ID, e)
	}
	if b.Incarnation < e.backend.Incarnation || b == e.backend {
		return
	}
	if b.Incarnation > e.backend.Incarnation || b.Address != e.backend.Address {
		e.failures, e.breaker, e.openFor, e.slowness, e.slowdown = 0, breakerClosed, 0, 0, 1
	}
	e.backend = b
	d.applySlots(e)
	d.needsRefresh = true
	d.removeIfLeft(e)
}

// staticShare returns the number of slots of an executor that this host owns
// when no ledger sets it.
func (d *Dispatcher) staticShare(b structs.Backend) int {
	if b.Domain != d.cfg.Domain {
		return 0
	}
	slots := b.Slots
	if slots <= 0 {
		slots = d.cfg.Service.Slots
	}
	return Share(slots, d.cfg.Hosts, d.cfg.Self)
}

// connections returns this host's share of the connections of an executor.
func (d *Dispatcher) connections(e *executor) int {
	connections := e.backend.Connections
	if connections <= 0 {
		connections = d.cfg.Service.Connections
	}
	return Share(connections, d.cfg.Hosts, d.cfg.Self)
}

// slotsUpdated applies slots from the ledger. The update is kept for unknown
// executors, too, because the static share of an executor that returns could
// include slots that are lent.
func (d *Dispatcher) slotsUpdated(ev SlotsUpdated) {
	d.tickNeeded = true
	d.slotUpdates[ev.Executor] = ev
	if d.cfg.SlotsFromLedger && ev.Own == 0 && len(ev.Leases) == 0 {
		delete(d.slotUpdates, ev.Executor)
	}
	if e := d.executors[ev.Executor]; e != nil {
		e.own = ev.Own
		e.setLeases(ev.Leases)
		d.needsRefresh = true
	}
}

// applySlots sets the slots of an announced executor from the last SlotsUpdated,
// or from the static share if there was none and no ledger is in use.
func (d *Dispatcher) applySlots(e *executor) {
	update, known := d.slotUpdates[e.backend.ID]
	switch {
	case known:
		e.own = update.Own
		e.setLeases(update.Leases)
	case d.cfg.SlotsFromLedger:
		e.own = 0
	default:
		e.own = d.staticShare(e.backend)
	}
}

func (d *Dispatcher) addExecutor(id string, e *executor) {
	d.executors[id] = e
	at, _ := slices.BinarySearchFunc(d.sortedExecutors, id, func(x *executor, id string) int {
		return strings.Compare(x.backend.ID, id)
	})
	e.backend.ID = id
	d.sortedExecutors = slices.Insert(d.sortedExecutors, at, e)
}

// removeIfLeft removes an executor that has left and runs no attempt.
func (d *Dispatcher) removeIfLeft(e *executor) {
	if e.backend.State != structs.BackendLeft || e.running > 0 || e.removed {
		return
	}
	e.removed = true
	delete(d.executors, e.backend.ID)
	d.sortedExecutors = slices.DeleteFunc(d.sortedExecutors, func(x *executor) bool { return x == e })
	d.needsRefresh = true
	d.emit(CloseConnection{Backend: e.backend.ID, Address: e.backend.Address})
}
