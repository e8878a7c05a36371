package serving

import (
	"slices"
	"strings"
	"time"

	"cranberrydrum.dev/coord/pqueue"
	"cranberrydrum.dev/coord/retry"
	"cranberrydrum.dev/scheduler/structs"
)

// Dispatcher decides about the requests of one service on one entry host. It
// is not safe for concurrent use.
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
	queued   int
	bytes    int
	running  int
	forwards int
	aged     int
	// byTier counts the attempts of each size on all executors, and pools are
	// the slots for attempts of a size and longer ones, by class.
	byTier [tierCount]int
	pools  [classCount][tierCount]int

	executors map[string]*executor
	// granted are the slots from SlotsUpdated.
	granted map[string]SlotsUpdated
	// slotsNew is set from a SlotsUpdated until the next other event.
	slotsNew bool
	// order is sorted by id; next is where the search for the least loaded
	// executor starts, so that equal ones take turns.
	order []*executor
	next  int

	sizes sizes
	// capacity is the number of slots of usable executors within their limits.
	capacity int
	// overhang is the number of attempts outside the capacity.
	overhang   int
	up         int
	usual      float64
	refreshed  time.Duration
	stale      bool
	round      uint64
	budget     *retry.Budget
	backoff    *retry.Backoff
	counters   Counters
	effects    []Effect
	classTotal [classCount]estimator
	spare      []*request
}

// NewDispatcher returns a Dispatcher without executors and requests.
func NewDispatcher(cfg Config) *Dispatcher {
	d := &Dispatcher{
		cfg:       cfg,
		budget:    newRetryBudget(cfg.Service.RetryBudget),
		backoff:   newBackoff(cfg.Seed),
		requests:  map[string]*request{},
		wakes:     pqueue.New((*request).actsBefore, (*request).setPosition),
		executors: map[string]*executor{},
		granted:   map[string]SlotsUpdated{},
		stale:     true,
	}
	for c := range d.queues {
		d.queues[c].flows = map[string]*flow{}
	}
	d.counters.Refusals = map[structs.Code]uint64{}
	d.counters.Retries = map[Result]uint64{}
	d.SetRules(cfg.Service, cfg.Classes, cfg.Customers, cfg.Policy)
	return d
}

// SetRules puts a changed configuration in force for queued and new requests.
// Attempts that are running keep their timeouts.
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

// SetHosts puts a changed list of the entry hosts of the failure domain in
// force. Without a SlotLedger the caller must make sure that hosts which lose
// slots are told before those which gain them.
func (d *Dispatcher) SetHosts(hosts []string) {
	d.cfg.Hosts = hosts
	d.updateShares()
}

func (d *Dispatcher) updateShares() {
	for _, e := range d.order {
		d.applySlots(e)
	}
	d.stale = true
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
		q.weights = 0
		for _, f := range q.active {
			q.weights += f.weight
		}
	}
}

func (d *Dispatcher) weightOf(customer string) float64 {
	if weight, known := d.weights[customer]; known {
		return weight
	}
	return 1
}

// Step handles one event and returns what has to be done, in order. Due timers
// are handled first, so a result that arrives after the deadline is late; only
// changes of executors come before them. SlotsUpdated has no effects, because a
// step of the SlotLedger can change the slots of several executors and nothing
// may be sent before all of them are known; a Tick is due at once after it.
func (d *Dispatcher) Step(now time.Duration, ev Event) []Effect {
	d.effects = nil
	d.now = now
	if update, ok := ev.(SlotsUpdated); ok {
		d.slotsUpdated(update)
		return nil
	}
	// A due timer may send a hedge, which must respect the new state.
	first := changesExecutors(ev)
	if first {
		d.handle(now, ev)
	}
	d.runTimers(now)
	if !first {
		d.handle(now, ev)
	}
	d.refresh(now)
	d.dispatch(now)
	d.slotsNew = false
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
		d.arrived(now, ev)
	case AttemptFinished:
		d.attemptFinished(now, ev)
	case ForwardFinished:
		d.forwardFinished(now, ev)
	case RequestCancelled:
		d.cancelled(now, ev)
	case BackendUpdated:
		d.backendUpdated(now, ev.Backend)
	case Tick:
	}
}

func (d *Dispatcher) emit(effect Effect) { d.effects = append(d.effects, effect) }

// idleWake bounds the time between two looks at a queue that is not empty.
const idleWake = 100 * time.Millisecond

// NextWake returns when the Dispatcher needs a Tick at the latest.
func (d *Dispatcher) NextWake() (time.Duration, bool) {
	if d.slotsNew {
		return d.now, true
	}
	wake := never
	if r, ok := d.wakes.First(); ok {
		wake = r.wake
	}
	if d.queued > 0 {
		wake = min(wake, d.now+idleWake)
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
		d.due(now, r)
	}
}

// due performs the actions of a request that are due: ends of held slots,
// timeouts, size changes, the deadline, a hedge and the end of a backoff.
func (d *Dispatcher) due(now time.Duration, r *request) {
	for i := 0; i < len(r.attempts); i++ {
		a := &r.attempts[i]
		switch {
		case a.held && a.heldUntil <= now:
			d.releaseAttempt(r, i)
			i--
		case !a.held && a.until <= now:
			d.giveUp(now, r, i)
		case !a.held && a.tierAt <= now:
			d.growTier(now, r, a)
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
	d.settle(r)
}

// settle schedules the next action of a request, or forgets the request when
// it has had its final effect and holds no slot.
func (d *Dispatcher) settle(r *request) {
	if r.phase != phaseFinished || len(r.attempts) > 0 {
		d.reschedule(r)
		return
	}
	d.wakes.Remove(r.position)
	delete(d.requests, r.id)
	const maxSpare = 1024
	if len(d.spare) < maxSpare {
		d.spare = append(d.spare, r)
	}
}

// reschedule puts a request at the place of its next action.
func (d *Dispatcher) reschedule(r *request) {
	wake := r.nextWake()
	if wake == r.wake {
		return
	}
	r.wake = wake
	d.wakes.Fix(r.position)
}

// backendUpdated takes over the newest announcement of an executor.
func (d *Dispatcher) backendUpdated(now time.Duration, b structs.Backend) {
	if b.Service != d.cfg.Service.Name {
		return
	}
	e := d.executors[b.ID]
	if e == nil {
		if b.State != structs.BackendUp {
			return
		}
		e = &executor{factor: 1, measuredAt: now, lastAnswer: now}
		d.addExecutor(b.ID, e)
	}
	if b.Incarnation < e.backend.Incarnation || b == e.backend {
		return
	}
	if b.Incarnation > e.backend.Incarnation || b.Address != e.backend.Address {
		e.failures, e.breaker, e.openFor, e.slowness, e.factor = 0, breakerClosed, 0, 0, 1
	}
	e.backend = b
	d.applySlots(e)
	d.stale = true
	d.dropIfGone(e)
}

// staticShare is this host's part of an executor when no ledger says otherwise.
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

// connections is this host's part of the connections of an executor.
func (d *Dispatcher) connections(e *executor) int {
	connections := e.backend.Connections
	if connections <= 0 {
		connections = d.cfg.Service.Connections
	}
	return Share(connections, d.cfg.Hosts, d.cfg.Self)
}

// slotsUpdated takes over slots from the ledger. They are kept for executors
// that are not known, too: the static share of an executor that comes back
// could contain slots that are lent.
func (d *Dispatcher) slotsUpdated(ev SlotsUpdated) {
	d.slotsNew = true
	d.granted[ev.Executor] = ev
	if d.cfg.SlotsFromLedger && ev.Own == 0 && len(ev.Leases) == 0 {
		delete(d.granted, ev.Executor)
	}
	if e := d.executors[ev.Executor]; e != nil {
		e.own = ev.Own
		e.setLeases(ev.Leases)
		d.stale = true
	}
}

// applySlots sets the slots of an executor that was announced.
func (d *Dispatcher) applySlots(e *executor) {
	granted, known := d.granted[e.backend.ID]
	switch {
	case known:
		e.own = granted.Own
		e.setLeases(granted.Leases)
	case d.cfg.SlotsFromLedger:
		e.own = 0
	default:
		e.own = d.staticShare(e.backend)
	}
}

func (d *Dispatcher) addExecutor(id string, e *executor) {
	d.executors[id] = e
	at, _ := slices.BinarySearchFunc(d.order, id, func(x *executor, id string) int {
		return strings.Compare(x.backend.ID, id)
	})
	e.backend.ID = id
	d.order = slices.Insert(d.order, at, e)
}

// dropIfGone forgets an executor that has left and on which nothing runs.
func (d *Dispatcher) dropIfGone(e *executor) {
	if e.backend.State != structs.BackendLeft || e.running > 0 || e.removed {
		return
	}
	e.removed = true
	delete(d.executors, e.backend.ID)
	d.order = slices.DeleteFunc(d.order, func(x *executor) bool { return x == e })
	d.stale = true
	d.emit(CloseConnection{Backend: e.backend.ID, Address: e.backend.Address})
}
