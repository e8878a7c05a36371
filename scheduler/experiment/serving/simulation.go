package serving

import (
	"math/rand/v2"
	"strconv"
	"time"

	"cranberrydrum.dev/coord/pqueue"
	"cranberrydrum.dev/scheduler/serving"
	"cranberrydrum.dev/scheduler/structs"
)

// dispatcher is the interface of a dispatching strategy to the simulation.
type dispatcher interface {
	Step(now time.Duration, ev serving.Event) []serving.Effect
	NextWake() (time.Duration, bool)
}

type attemptKey struct {
	request string
	number  int
}

// host is an entry host.
type host struct {
	name       string
	dispatcher dispatcher
	ledger     *serving.SlotLedger
	// live holds the attempts for whose results the host waits.
	live map[attemptKey]*attempt
	// wakeAt is the time of the scheduled wake of the dispatcher, or 0.
	wakeAt time.Duration
	// waitingBulk counts bulk requests that have arrived and not started.
	waitingBulk int
}

// request is a simulated request with its history and outcome.
type request struct {
	id string
	// index is the position of the request among all arrivals.
	index       int
	streamIndex int
	host        *host
	arrived     time.Duration
	deadline    time.Duration
	work        time.Duration
	// behindBulk marks a request other than bulk that arrived while bulk requests
	// were waiting at its host.
	behindBulk   bool
	runs         int
	sends        int
	finalReplies int
	answered     bool
	ended        time.Duration
	refusal      structs.Refusal
	completed    map[int]bool
	wrong        bool
	bulk         bool
	started      bool
	startedAt    time.Duration
}

func (r *request) markStarted(now time.Duration) {
	if r.started {
		return
	}
	r.started = true
	r.startedAt = now
	if r.bulk {
		r.host.waitingBulk--
	}
}

type timedEvent struct {
	at       time.Duration
	sequence uint64
	run      func()
}

func (e timedEvent) happensBefore(other timedEvent) bool {
	if e.at != other.at {
		return e.at < other.at
	}
	return e.sequence < other.sequence
}

// simulation is one run of one variant with one seed.
type simulation struct {
	options  Options
	variant  Variant
	now      time.Duration
	sequence uint64
	events   *pqueue.Queue[timedEvent]
	// arrivalRands holds a random source per stream, so that all variants see the
	// same requests.
	arrivalRands []*rand.Rand
	hosts        []*host
	executors    map[string]*executor
	executorList []*executor
	requests     map[string]*request
	requestList  []*request
	streams      []stream
}

func newSimulation(options Options, variant Variant) *simulation {
	s := &simulation{
		options:   options,
		variant:   variant,
		executors: map[string]*executor{},
		requests:  map[string]*request{},
		events:    pqueue.New(timedEvent.happensBefore, nil),
		streams:   loadProfiles[variant.Shape],
	}
	for i := range s.streams {
		s.arrivalRands = append(s.arrivalRands, rand.New(rand.NewPCG(options.Seed, uint64(i))))
	}
	s.addHosts()
	s.addExecutors()
	return s
}

func (s *simulation) hostNames() []string {
	names := make([]string, s.options.Hosts)
	for i := range names {
		names[i] = "host-" + strconv.Itoa(i)
	}
	return names
}

func (s *simulation) addExecutors() {
	faulty := int(faultyShare*float64(s.options.Executors) + 0.5)
	for i := range s.options.Executors {
		e := &executor{id: "executor-" + strconv.Itoa(1000+i), fault: FaultNone}
		if i < faulty {
			e.fault = s.variant.Fault
		}
		s.executors[e.id] = e
		s.executorList = append(s.executorList, e)
		for _, h := range s.hosts {
			s.step(h, serving.BackendUpdated{Backend: backend(e.id)})
			s.shareSlots(h, i, e.id)
		}
	}
}

// shareSlots assigns slots of an executor to a host by the way of sharing. With
// static sharing the dispatcher computes the shares itself.
func (s *simulation) shareSlots(h *host, index int, id string) {
	switch s.variant.Sharing {
	case ShareLending:
		s.ledgerStep(h, serving.ExecutorSlots{Executor: id, Slots: executorSlots})
	case ShareOwner:
		own := 0
		if s.hosts[index%len(s.hosts)] == h {
			own = executorSlots
		}
		s.step(h, serving.SlotsUpdated{Executor: id, Own: own})
	case ShareOptimistic:
		s.step(h, serving.SlotsUpdated{Executor: id, Own: executorSlots})
	}
}

func backend(id string) structs.Backend {
	return structs.Backend{
		ID: id, Service: serviceName, Domain: domainName, Address: id,
		Slots: executorSlots, Connections: executorConnections, State: structs.BackendUp, Incarnation: 1,
	}
}

// after schedules a function to run after a delay.
func (s *simulation) after(delay time.Duration, run func()) {
	s.sequence++
	s.events.Push(timedEvent{at: s.now + delay, sequence: s.sequence, run: run})
}

// run simulates the load, and then 2 minutes more so that all deadlines pass.
func (s *simulation) run() {
	for i := range s.streams {
		s.scheduleArrival(i, 0)
	}
	if s.variant.Sharing == ShareLending {
		s.after(0, s.reportSlotUse)
	}
	const drain = 2 * time.Minute
	for {
		next, ok := s.events.First()
		if !ok || next.at >= loadEnd+drain {
			return
		}
		s.events.Pop()
		s.now = next.at
		next.run()
	}
}

func (s *simulation) scheduleArrival(index int, from time.Duration) {
	capacity := float64(s.options.Executors * executorSlots)
	at := nextArrival(from, s.streams[index], capacity, s.options.Crest, s.arrivalRands[index])
	if at >= loadEnd {
		return
	}
	s.after(at-s.now, func() {
		s.arrive(index)
		s.scheduleArrival(index, at)
	})
}

// pickHost draws the host at which a request arrives.
func (s *simulation) pickHost(rng *rand.Rand) *host {
	place := rng.Float64()
	if s.variant.Skew == 0 {
		return s.hosts[int(place*float64(len(s.hosts)))]
	}
	if place < s.variant.Skew {
		return s.hosts[0]
	}
	rest := (place - s.variant.Skew) / (1 - s.variant.Skew)
	return s.hosts[1+int(rest*float64(len(s.hosts)-1))]
}

func (s *simulation) arrive(index int) {
	source := s.streams[index]
	rng := s.arrivalRands[index]
	h := s.pickHost(rng)
	r := &request{
		id: strconv.Itoa(len(s.requestList)), index: len(s.requestList), streamIndex: index, host: h, arrived: s.now,
		deadline: s.now + source.deadline, work: drawServiceTime(source, rng), completed: map[int]bool{},
		bulk: source.isBulk(),
	}
	r.behindBulk = !r.bulk && h.waitingBulk > 0
	if r.bulk {
		h.waitingBulk++
	}
	s.requestList = append(s.requestList, r)
	s.requests[r.id] = r
	if s.variant.Dispatching != DispatchCranberrydrum {
		s.after(source.deadline, func() { s.step(h, serving.RequestCancelled{RequestID: r.id}) })
	}
	const bodyBytes = 1024
	s.step(h, serving.RequestArrived{
		Request: structs.Request{
			ID: r.id, Service: serviceName, Customer: source.drawCustomer(rng), Class: source.class,
			Remaining: source.deadline, NonIdempotent: source.nonIdempotent,
		},
		BodyBytes: bodyBytes,
	})
}

// step passes an event to a host's dispatcher and applies the effects.
func (s *simulation) step(h *host, ev serving.Event) {
	effects := h.dispatcher.Step(s.now, ev)
	for _, effect := range effects {
		s.apply(h, effect)
	}
	s.scheduleWake(h)
}

func (s *simulation) scheduleWake(h *host) {
	wake, needed := h.dispatcher.NextWake()
	if !needed || (h.wakeAt > s.now && h.wakeAt <= wake) {
		return
	}
	h.wakeAt = wake
	s.after(max(0, wake-s.now), func() {
		if h.wakeAt == wake {
			h.wakeAt = 0
			s.step(h, serving.Tick{})
		}
	})
}

func (s *simulation) apply(h *host, effect serving.Effect) {
	switch effect := effect.(type) {
	case serving.Send:
		s.send(h, effect)
	case serving.CloseConnection:
		s.close(h, attemptKey{effect.RequestID, effect.Attempt})
	case serving.Answer:
		r := s.requests[effect.RequestID]
		r.wrong = r.wrong || !r.completed[effect.Attempt]
		s.recordFinalReply(r)
		r.answered = true
	case serving.Refuse:
		r := s.requests[effect.RequestID]
		s.recordFinalReply(r)
		r.refusal = effect.Refusal
		if r.bulk && !r.started {
			r.markStarted(s.now)
		}
	}
}

func (s *simulation) recordFinalReply(r *request) {
	r.finalReplies++
	r.ended = s.now
}

func (s *simulation) send(h *host, effect serving.Send) {
	r := s.requests[effect.RequestID]
	r.sends++
	e := s.executors[effect.Backend]
	x := &attempt{request: r, number: effect.Attempt, host: h, executor: e, work: r.work, sent: s.now}
	h.live[attemptKey{r.id, effect.Attempt}] = x
	e.live++
	e.maxLive = max(e.maxLive, e.live)
	s.after(networkDelay, func() { s.accept(e, x) })
	s.after(effect.Timeout, func() { s.timeout(x) })
}

// timeout reports that an attempt had no response within its timeout.
func (s *simulation) timeout(x *attempt) { s.reportResult(x, serving.ResultTimeout) }

// close closes the connection of an attempt. The executor still completes it.
func (s *simulation) close(h *host, key attemptKey) {
	if x := h.live[key]; x != nil {
		x.markClosed()
	}
}
