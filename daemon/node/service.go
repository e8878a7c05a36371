package node

import (
	"errors"
	"hash/fnv"
	"strconv"
	"sync"
	"time"

	"cranberrydrum.dev/daemon/upstream"
	"cranberrydrum.dev/scheduler/serving"
	"cranberrydrum.dev/scheduler/structs"
)

const (
	serviceEventQueueSize  = 4096
	backendRefreshInterval = 100 * time.Millisecond
	firstServiceTick       = 50 * time.Millisecond
	maxServiceTick         = time.Second
	statusUnavailable      = 503
)

// Call is a request with its body, as received from a client or from another
// host.
type Call struct {
	Request structs.Request
	Body    []byte
	Headers [][2]string
	// Forwarded marks a request from another host; it is not forwarded again.
	Forwarded bool
	// Begun marks a non-idempotent request whose key the owner has recorded as
	// sending before it forwarded the request.
	Begun bool
}

// service runs the dispatcher of one service on its own goroutine.
type service struct {
	node   *Node
	name   string
	events chan func()
	stop   chan struct{}
	done   chan struct{}
	// stopOnce closes stop.
	stopOnce sync.Once

	// The fields of this block are used only on the goroutine of the service.
	dispatcher  *serving.Dispatcher
	ledger      *serving.SlotLedger
	pending     map[string]*pendingRequest
	backends    map[string]structs.Backend
	lastRefresh time.Duration
	nextID      uint64

	mu        sync.Mutex
	snapshot  serving.Snapshot
	published serviceStatus
}

// pendingRequest is a request for which the dispatcher has not yet emitted the
// final effect, Answer or Refuse.
type pendingRequest struct {
	call    Call
	arrived time.Duration
	// started and forwarding are set when the request is about to leave this host for
	// an executor or for another host.
	started    bool
	forwarding bool
	responses  map[int]*upstream.Response
	// forwarded is the response of another failure domain.
	forwarded *upstream.Response
	// recorded is the response to an earlier run of the same key.
	recorded *upstream.Response
	done     chan callResult
}

type callResult struct {
	response *upstream.Response
	err      error
}

func newService(n *Node, name string, cfg serving.Config) *service {
	s := &service{
		node:       n,
		name:       name,
		events:     make(chan func(), serviceEventQueueSize),
		stop:       make(chan struct{}),
		done:       make(chan struct{}),
		dispatcher: serving.NewDispatcher(cfg),
		ledger:     serving.NewSlotLedger(n.now(), n.ledgerConfig(n.start)),
		pending:    map[string]*pendingRequest{},
		backends:   map[string]structs.Backend{},
	}
	go s.run()
	return s
}

// seedOf returns the random seed of a dispatcher. It differs between hosts and
// services, so that their jitter differs.
func seedOf(host, service string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(host + "/" + service))
	return h.Sum64()
}

func (s *service) run() {
	defer close(s.done)
	refresh := time.NewTicker(backendRefreshInterval)
	defer refresh.Stop()
	timer := time.NewTimer(firstServiceTick)
	defer timer.Stop()
	for {
		select {
		case <-s.stop:
			return
		case event := <-s.events:
			s.guard(s.refreshIfStale)
			s.guard(event)
		case <-refresh.C:
			s.guard(s.refreshBackends)
			s.guard(s.reportSlotUse)
			s.guard(s.publish)
		case <-timer.C:
			s.guard(s.refreshIfStale)
			s.guard(func() { s.step(serving.Tick{}) })
		}
		wake := maxServiceTick
		s.guard(func() { wake = s.timeToNextWake() })
		timer.Reset(wake)
	}
}

func (s *service) timeToNextWake() time.Duration {
	wake, ok := s.dispatcher.NextWake()
	if !ok {
		return maxServiceTick
	}
	return min(max(wake-s.node.now(), time.Millisecond), maxServiceTick)
}

// post queues a function for the goroutine of the service. It reports false if
// the service has stopped.
func (s *service) post(event func()) bool {
	select {
	case s.events <- event:
		return true
	case <-s.done:
		return false
	}
}

// call runs one request and waits for its result.
func (s *service) call(c Call) (*upstream.Response, error) {
	p := &pendingRequest{call: c, responses: map[int]*upstream.Response{}, done: make(chan callResult, 1)}
	if !s.post(func() { s.enqueue(p) }) {
		return nil, structs.RefuseNotRun(structs.CodeStopping, "this host is stopping")
	}
	select {
	case result := <-p.done:
		return result.response, result.err
	case <-s.done:
		return nil, structs.RefuseUnknown(structs.CodeStopping, "this host stopped while the request was running")
	}
}

func (s *service) enqueue(p *pendingRequest) {
	s.nextID++
	p.arrived = s.node.now()
	request := p.call.Request
	request.ID = strconv.FormatUint(s.nextID, 10)
	s.pending[request.ID] = p
	s.step(serving.RequestArrived{
		Request:         request,
		BodyBytes:       len(p.call.Body),
		AttemptAffinity: request.NonIdempotent,
		ReportsStart:    request.NonIdempotent,
		Forwarded:       p.call.Forwarded,
	})
}

func (s *service) step(event serving.Event) {
	for _, effect := range s.dispatcher.Step(s.node.now(), event) {
		s.execute(effect)
	}
}

// publish refreshes the snapshot and the load that status, metrics and other
// hosts read. It runs on a timer, because a snapshot costs more than a step.
func (s *service) publish() {
	s.mu.Lock()
	defer s.mu.Unlock()
	snapshot := s.dispatcher.Snapshot()
	s.logBreakers(s.snapshot, snapshot)
	s.snapshot = snapshot
	s.published = s.loadWithEstimates(s.snapshot)
}

// publishedLoad returns the load for other hosts as last published.
func (s *service) publishedLoad() serviceStatus {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.published
}

// publishedSnapshot returns the state of the dispatcher as last published.
func (s *service) publishedSnapshot() serving.Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.snapshot
}

func (s *service) execute(effect serving.Effect) {
	switch e := effect.(type) {
	case serving.Send:
		s.send(e)
	case serving.Answer:
		s.answer(e)
	case serving.Refuse:
		s.refuse(e)
	case serving.Forward:
		s.forward(e)
	case serving.CloseConnection:
		if e.RequestID == "" {
			s.node.pool.CloseExecutor(e.Address)
		}
	}
}

// send starts one attempt. The attempt runs on its own goroutine and reports its
// result as an event.
func (s *service) send(e serving.Send) {
	p := s.pending[e.RequestID]
	if p == nil {
		return
	}
	if !p.started {
		p.started = true
		s.node.metrics.ObserveQueueWait(s.name, p.call.Request.Class, s.node.now()-p.arrived)
	}
	attempt := upstream.Attempt{
		Address:     e.Address,
		Connections: e.Connections,
		Fresh:       e.Fresh || p.call.Request.NonIdempotent,
		Key:         p.call.Request.Key,
		Headers:     p.call.Headers,
		Body:        p.call.Body,
		Timeout:     e.Timeout,
	}
	release := s.holdKey(p.call)
	go func() {
		defer release()
		result := attemptResult{event: serving.AttemptFinished{RequestID: e.RequestID, Attempt: e.Attempt, Result: serving.ResultBroken}}
		s.node.guard("attempt", func() { result = s.attempt(p, e, attempt) }, "service", s.name)
		s.post(func() { s.finishAttempt(p, result) })
	}()
}

// attemptResult is the result of an attempt.
type attemptResult struct {
	event    serving.AttemptFinished
	response *upstream.Response
	// recorded is the response to an earlier run of the same key, if there is one.
	recorded *upstream.Response
}

func (s *service) attempt(p *pendingRequest, e serving.Send, a upstream.Attempt) attemptResult {
	if p.call.Request.NonIdempotent {
		return s.keyedAttempt(p, e, a)
	}
	start := s.node.now()
	response, err := s.sendAttempt(p, e, a)
	result := resultOf(response, err)
	if result != serving.ResultOK {
		response = nil
	}
	return attemptResult{
		event:    serving.AttemptFinished{RequestID: e.RequestID, Attempt: e.Attempt, Result: result, ServiceTime: s.node.now() - start},
		response: response,
	}
}

// sendAttempt sends one attempt unless the backend server has begun to leave
// since the dispatcher chose it, which can happen if the process was paused in
// between.
func (s *service) sendAttempt(p *pendingRequest, e serving.Send, a upstream.Attempt) (*upstream.Response, error) {
	a.MayStart = func() bool { return s.node.isBackendUp(e.Backend) }
	if !a.MayStart() {
		return nil, &upstream.AttemptError{Kind: upstream.KindNotSent, Detail: "the backend server is no longer up"}
	}
	if p.call.Request.NonIdempotent {
		s.post(func() { s.step(serving.AttemptStarted{RequestID: e.RequestID, Attempt: e.Attempt}) })
		defer s.post(func() { s.step(serving.AttemptResponded{RequestID: e.RequestID, Attempt: e.Attempt}) })
	}
	var response *upstream.Response
	err := error(&upstream.AttemptError{Kind: upstream.KindBroken, Detail: "this host failed to handle the exchange"})
	s.node.guard("executor_call", func() { response, err = s.node.pool.Do(a) }, "backend", e.Backend)
	return response, err
}

// resultOf classifies the result of an attempt. Status 503 means that the
// executor refused the work; a response with any other status is final.
func resultOf(response *upstream.Response, err error) serving.Result {
	if err == nil {
		if response.Status == statusUnavailable {
			return serving.ResultBackendError
		}
		return serving.ResultOK
	}
	var failed *upstream.AttemptError
	if !errors.As(err, &failed) {
		return serving.ResultBroken
	}
	switch failed.Kind {
	case upstream.KindNotSent:
		return serving.ResultNotSent
	case upstream.KindTimeout:
		return serving.ResultTimeout
	case upstream.KindIncomplete:
		return serving.ResultIncomplete
	}
	return serving.ResultBroken
}

func (s *service) finishAttempt(p *pendingRequest, f attemptResult) {
	s.node.metrics.CountAttempt(s.name, string(f.event.Result))
	if f.response != nil {
		p.responses[f.event.Attempt] = f.response
	}
	if f.recorded != nil {
		p.recorded = f.recorded
	}
	s.step(f.event)
}

func (s *service) answer(e serving.Answer) {
	p := s.pending[e.RequestID]
	if p == nil {
		return
	}
	delete(s.pending, e.RequestID)
	response := p.responses[e.Attempt]
	if e.Attempt == 0 {
		response = p.forwarded
	}
	if response == nil {
		p.done <- callResult{err: structs.RefuseUnknown(structs.CodeOutcomeUnknown, "the answer was lost on this host")}
		return
	}
	p.done <- callResult{response: response}
}

func (s *service) refuse(e serving.Refuse) {
	p := s.pending[e.RequestID]
	if p == nil {
		return
	}
	delete(s.pending, e.RequestID)
	if p.recorded != nil {
		p.done <- callResult{response: p.recorded}
		return
	}
	refusal := e.Refusal
	p.done <- callResult{err: &refusal}
}

// refreshIfStale refreshes the backend servers before the dispatcher acts, if the
// last refresh is overdue. Otherwise the dispatcher would, after a pause of the
// process, send to backend servers that have left meanwhile.
func (s *service) refreshIfStale() {
	if s.node.now()-s.lastRefresh > 2*backendRefreshInterval {
		s.refreshBackends()
	}
}

// refreshBackends passes changed announcements to the dispatcher and the slot
// ledger.
func (s *service) refreshBackends() {
	s.lastRefresh = s.node.now()
	live := map[string]structs.Backend{}
	for _, b := range s.node.backends.live(s.lastRefresh) {
		if b.Service == s.name {
			live[b.ID] = b
		}
	}
	for id, b := range s.backends {
		if _, ok := live[id]; !ok {
			b.State = structs.BackendLeft
			delete(s.backends, id)
			s.step(serving.BackendUpdated{Backend: b})
			s.reportSlotCount(b)
			s.node.pool.CloseExecutor(b.Address)
		}
	}
	for id, b := range live {
		if s.backends[id] != b {
			s.backends[id] = b
			s.step(serving.BackendUpdated{Backend: b})
			s.reportSlotCount(b)
		}
	}
}

func (s *service) close() {
	s.stopOnce.Do(func() { close(s.stop) })
	<-s.done
}
