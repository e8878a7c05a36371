package serving

import (
	"math/rand/v2"
	"strconv"
	"time"

	"cranberrydrum.dev/coord/pqueue"
	"cranberrydrum.dev/scheduler/serving"
	"cranberrydrum.dev/scheduler/structs"
)

// dispatcher is what the event loop needs of a way of dispatching.
type dispatcher interface {
	Step(now time.Duration, ev serving.Event) []serving.Effect
	NextWake() (time.Duration, bool)
}

type attemptKey struct {
	request string
	number  int
}

// host is one entry host.
type host struct {
	name       string
	dispatcher dispatcher
	ledger     *serving.SlotLedger
	live       map[attemptKey]*execution
	wakeAt     time.Duration
	// waitingBulk counts bulk requests that have arrived and not yet run.
	waitingBulk int
}

// request is a request with what happened to it.
type request struct {
	id string
	// index is the place of the request among all arrivals.
	index    int
	stream   int
	host     *host
	arrived  time.Duration
	deadline time.Duration
	work     time.Duration
	// behindLong marks short work that arrived while bulk work was waiting.
	behindLong bool
	runs       int
	sends      int
	finals     int
	answered   bool
	ended      time.Duration
	refusal    structs.Refusal
	completed  map[int]bool
	wrong      bool
	bulk       bool
	started    bool
	startedAt  time.Duration
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

type action struct {
	at       time.Duration
	sequence uint64
	run      func()
}

func (a action) happensBefore(other action) bool {
	if a.at != other.at {
		return a.at < other.at
	}
	return a.sequence < other.sequence
}

// simulation is one run of one variant.
type simulation struct {
	options  Options
	variant  Variant
	now      time.Duration
	sequence uint64
	agenda   *pqueue.Queue[action]
	// arrivals has a source per stream, so that all variants see the same requests.
	arrivals  []*rand.Rand
	hosts     []*host
	executors map[string]*executor
	order     []*executor
	requests  map[string]*request
	list      []*request
	streams   []stream
}

func newSimulation(options Options, variant Variant) *simulation {
	s := &simulation{
		options:   options,
		variant:   variant,
		executors: map[string]*executor{},
		requests:  map[string]*request{},
		agenda:    pqueue.New(action.happensBefore, nil),
		streams:   shapes[variant.Shape],
	}
	for i := range s.streams {
		s.arrivals = append(s.arrivals, rand.New(rand.NewPCG(options.Seed, uint64(i))))
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
		s.order = append(s.order, e)
		for _, h := range s.hosts {
			s.step(h, serving.BackendUpdated{Backend: backend(e.id)})
			s.shareSlots(h, i, e.id)
		}
	}
}

// shareSlots gives a host its slots according to the way of sharing.
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

// at runs an action after a delay.
func (s *simulation) at(delay time.Duration, run func()) {
	s.sequence++
	s.agenda.Push(action{at: s.now + delay, sequence: s.sequence, run: run})
}

// run plays the load and the time after it until all deadlines have passed.
func (s *simulation) run() {
	for i := range s.streams {
		s.scheduleArrival(i, 0)
	}
	if s.variant.Sharing == ShareLending {
		s.at(0, s.reportUse)
	}
	const drain = 2 * time.Minute
	for {
		next, ok := s.agenda.First()
		if !ok || next.at >= loadEnd+drain {
			return
		}
		s.agenda.Pop()
		s.now = next.at
		next.run()
	}
}

func (s *simulation) scheduleArrival(index int, from time.Duration) {
	capacity := float64(s.options.Executors * executorSlots)
	at := nextArrival(from, s.streams[index], capacity, s.options.Crest, s.arrivals[index])
	if at >= loadEnd {
		return
	}
	s.at(at-s.now, func() {
		s.arrive(index)
		s.scheduleArrival(index, at)
	})
}

// pickHost draws the host that a request arrives at.
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
	kind := s.streams[index]
	rng := s.arrivals[index]
	h := s.pickHost(rng)
	r := &request{
		id: strconv.Itoa(len(s.list)), index: len(s.list), stream: index, host: h, arrived: s.now,
		deadline: s.now + kind.deadline, work: drawService(kind, rng), completed: map[int]bool{},
		bulk: kind.bulk(),
	}
	r.behindLong = !r.bulk && h.waitingBulk > 0
	if r.bulk {
		h.waitingBulk++
	}
	s.list = append(s.list, r)
	s.requests[r.id] = r
	if s.variant.Dispatching != DispatchCranberrydrum {
		s.at(kind.deadline, func() { s.step(h, serving.RequestCancelled{RequestID: r.id}) })
	}
	const bodyBytes = 1024
	s.step(h, serving.RequestArrived{
		Request: structs.Request{
			ID: r.id, Service: serviceName, Customer: kind.customer(rng), Class: kind.class,
			Remaining: kind.deadline, NonIdempotent: kind.nonIdempotent,
		},
		BodyBytes: bodyBytes,
	})
}

// step hands an event to a host and performs the effects.
func (s *simulation) step(h *host, ev serving.Event) {
	effects := h.dispatcher.Step(s.now, ev)
	for _, effect := range effects {
		s.perform(h, effect)
	}
	s.scheduleWake(h)
}

func (s *simulation) scheduleWake(h *host) {
	wake, needed := h.dispatcher.NextWake()
	if !needed || (h.wakeAt > s.now && h.wakeAt <= wake) {
		return
	}
	h.wakeAt = wake
	s.at(max(0, wake-s.now), func() {
		if h.wakeAt == wake {
			h.wakeAt = 0
			s.step(h, serving.Tick{})
		}
	})
}

func (s *simulation) perform(h *host, effect serving.Effect) {
	switch effect := effect.(type) {
	case serving.Send:
		s.send(h, effect)
	case serving.CloseConnection:
		s.close(h, attemptKey{effect.RequestID, effect.Attempt})
	case serving.Answer:
		r := s.requests[effect.RequestID]
		r.wrong = r.wrong || !r.completed[effect.Attempt]
		s.final(r)
		r.answered = true
	case serving.Refuse:
		r := s.requests[effect.RequestID]
		s.final(r)
		r.refusal = effect.Refusal
		if r.bulk && !r.started {
			r.markStarted(s.now)
		}
	}
}

func (s *simulation) final(r *request) {
	r.finals++
	r.ended = s.now
}

func (s *simulation) send(h *host, effect serving.Send) {
	r := s.requests[effect.RequestID]
	r.sends++
	e := s.executors[effect.Backend]
	x := &execution{request: r, number: effect.Attempt, host: h, on: e, work: r.work, sent: s.now}
	h.live[attemptKey{r.id, effect.Attempt}] = x
	e.live++
	e.maxLive = max(e.maxLive, e.live)
	s.at(networkDelay, func() { s.accept(e, x) })
	s.at(effect.Timeout, func() { s.timeout(x) })
}

// timeout reports an attempt that has had no answer in its time.
func (s *simulation) timeout(x *execution) { s.report(x, serving.ResultTimeout) }

// close ends the connection of an attempt. The executor keeps working on it.
func (s *simulation) close(h *host, key attemptKey) {
	if x := h.live[key]; x != nil {
		x.end()
	}
}
