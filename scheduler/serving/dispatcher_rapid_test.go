package serving_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cranberrydrum.dev/scheduler/serving"
	"cranberrydrum.dev/scheduler/structs"
)

// The model only records what was sent and checks every effect against the
// documented invariants. It does not repeat the decisions of the Dispatcher.

type modelAttempt struct {
	request  string
	number   int
	executor string
	end      time.Duration
	first    bool
}

type modelRequest struct {
	nonIdempotent bool
	deadline      time.Duration
	finalEffects  int
	sends         int
	// mayHaveBeenSent counts ended attempts that may have reached an executor.
	mayHaveBeenSent int
	// forwarding is set while another host has the request.
	forwarding bool
}

type modelExecutor struct {
	backend structs.Backend
	own     int
	leases  []serving.Lease
}

type dispatcherModel struct {
	d             *serving.Dispatcher
	now           time.Duration
	serial        int
	requests      map[string]*modelRequest
	live          []modelAttempt
	ended         []modelAttempt
	executors     map[string]*modelExecutor
	firstAttempts int
	retries       int
	retryRatio    float64
	// late is set during a step whose result belongs to no live attempt.
	late bool
}

var hosts = []string{"host-a", "host-b"}

func newDispatcherModel(t *rapid.T) *dispatcherModel {
	m := &dispatcherModel{requests: map[string]*modelRequest{}, executors: map[string]*modelExecutor{}}
	m.retryRatio = rapid.SampledFrom([]float64{0, 0.1, 0.5}).Draw(t, "budget")
	m.d = serving.NewDispatcher(serving.Config{
		Self: "host-b", Hosts: hosts, Domain: "zrh-oerlikon", Seed: 7, Hedging: true,
		Forwarding: rapid.Bool().Draw(t, "forwarding"), MaxQueued: 25,
		Service: structs.Service{Name: "basket-planner", Slots: 8, Connections: 64, RetryBudget: m.retryRatio, MaxAttempts: 3, AttemptTimeout: 2 * time.Second},
		Classes: []structs.ClassRule{
			{Class: structs.ClassUrgent, ReservedSlots: 0.2, MaxQueue: 10},
			{Class: structs.ClassBulk, MaxQueue: 10},
		},
		Customers: []structs.Customer{{Name: "a", Weight: 3}, {Name: "b", Weight: 1}},
	})
	return m
}

func (m *dispatcherModel) step(t *rapid.T, ev serving.Event) {
	for _, effect := range m.d.Step(m.now, ev) {
		switch effect := effect.(type) {
		case serving.Send:
			m.checkSend(t, effect)
		case serving.Answer:
			m.checkAnswer(t, ev, effect)
		case serving.Refuse:
			m.checkRefuse(t, effect)
		case serving.Forward:
			m.requests[effect.RequestID].forwarding = true
		case serving.CloseConnection:
			if i := m.find(m.live, effect.RequestID, effect.Attempt); i >= 0 {
				m.endAttempt(i, true)
			}
		}
	}
}

func (m *dispatcherModel) find(list []modelAttempt, request string, number int) int {
	return slices.IndexFunc(list, func(a modelAttempt) bool { return a.request == request && a.number == number })
}

// endAttempt moves an attempt from the live to the ended attempts.
func (m *dispatcherModel) endAttempt(i int, mayHaveRun bool) {
	a := m.live[i]
	m.live = slices.Delete(m.live, i, i+1)
	m.ended = append(m.ended, a)
	if mayHaveRun {
		m.requests[a.request].mayHaveBeenSent++
	}
}

func (m *dispatcherModel) liveAttempts(request string) int {
	count := 0
	for _, a := range m.live {
		if a.request == request {
			count++
		}
	}
	return count
}

func (m *dispatcherModel) checkSend(t *rapid.T, s serving.Send) {
	r, e := m.requests[s.RequestID], m.executors[s.Backend]
	if r == nil || r.finalEffects > 0 {
		t.Fatalf("send for an unknown or finished request: %+v", s)
	}
	if e == nil || e.backend.State != structs.BackendUp || e.backend.Address != s.Address {
		t.Fatalf("send to an executor that is not up: %+v", s)
	}
	if m.now >= r.deadline || s.Timeout <= 0 || m.now+s.Timeout > r.deadline {
		t.Fatalf("send at %v with a timeout past the deadline %v: %+v", m.now, r.deadline, s)
	}
	if r.nonIdempotent && (r.mayHaveBeenSent > 0 || m.liveAttempts(s.RequestID) > 0) {
		t.Fatalf("second attempt of a non-idempotent request: %+v", s)
	}
	r.sends++
	if s.Attempt != r.sends || r.sends > 3+len(m.ended) {
		t.Fatalf("attempt number %d after %d attempts", s.Attempt, r.sends-1)
	}
	first := s.Attempt == 1
	if first {
		m.firstAttempts++
	} else {
		m.retries++
	}
	m.live = append(m.live, modelAttempt{s.RequestID, s.Attempt, s.Backend, m.now + s.Timeout, first})
	m.checkSlots(t, s.Backend, e)
	m.checkBudget(t)
}

// checkSlots checks that the attempts on an executor fit its slots, now and at the
// end of each lease.
func (m *dispatcherModel) checkSlots(t *rapid.T, id string, e *modelExecutor) {
	times := []time.Duration{m.now}
	for _, l := range e.leases {
		times = append(times, l.Until)
	}
	for _, at := range times {
		allowed, running := e.own, 0
		for _, l := range e.leases {
			if l.Until > at {
				allowed += l.Count
			}
		}
		for _, a := range m.live {
			if a.executor == id && a.end > at {
				running++
			}
		}
		if running > allowed {
			t.Fatalf("executor %s has %d attempts at %v, want at most %d", id, running, at, allowed)
		}
	}
}

func (m *dispatcherModel) checkBudget(t *rapid.T) {
	allowed := 3 + m.retryRatio*float64(m.firstAttempts) + m.now.Seconds()
	if float64(m.retries) > allowed+1e-6 {
		t.Fatalf("%d retries exceed the budget after %d first attempts in %v", m.retries, m.firstAttempts, m.now)
	}
}

func (m *dispatcherModel) checkAnswer(t *rapid.T, ev serving.Event, a serving.Answer) {
	fromAttempt, fromForward := false, false
	switch ev := ev.(type) {
	case serving.AttemptFinished:
		fromAttempt = ev.RequestID == a.RequestID && ev.Attempt == a.Attempt && ev.Result == serving.ResultOK
	case serving.ForwardFinished:
		fromForward = ev.RequestID == a.RequestID && ev.Result == serving.ResultOK
	}
	if m.late || (!fromAttempt && !fromForward) {
		t.Fatalf("answer %+v does not belong to %+v", a, ev)
	}
	m.recordFinalEffect(t, a.RequestID)
}

func (m *dispatcherModel) checkRefuse(t *rapid.T, f serving.Refuse) {
	r := m.requests[f.RequestID]
	ran := r.mayHaveBeenSent > 0 || r.forwarding || m.liveAttempts(f.RequestID) > 0
	if f.Refusal.Outcome == structs.OutcomeNotRun && ran {
		t.Fatalf("refused as not run after an attempt that may have run: %+v", f)
	}
	if f.Refusal.Outcome != structs.OutcomeNotRun && r.sends == 0 && f.Refusal.Code == structs.CodeRetryBudgetExhausted {
		t.Fatalf("unknown outcome without an attempt: %+v", f)
	}
	// No request has a longer deadline than 3 s, and none is told more than 6 deadlines.
	if after := f.Refusal.RetryAfter; after < 0 || after > 6*3*time.Second+time.Millisecond {
		t.Fatalf("return time out of bounds: %+v", f)
	}
	m.recordFinalEffect(t, f.RequestID)
}

func (m *dispatcherModel) recordFinalEffect(t *rapid.T, id string) {
	r := m.requests[id]
	r.finalEffects++
	if r.finalEffects != 1 {
		t.Fatalf("request %s has %d final effects, want 1", id, r.finalEffects)
	}
}

func (m *dispatcherModel) arrive(t *rapid.T) {
	m.serial++
	id := fmt.Sprintf("r%d", m.serial)
	nonIdempotent := rapid.IntRange(0, 3).Draw(t, "nonIdempotent") == 0
	remaining := time.Duration(rapid.IntRange(1, 3000).Draw(t, "remaining")) * time.Millisecond
	m.requests[id] = &modelRequest{nonIdempotent: nonIdempotent, deadline: m.now + remaining}
	m.step(t, serving.RequestArrived{
		Request: structs.Request{
			ID: id, Service: "basket-planner", Remaining: remaining, NonIdempotent: nonIdempotent,
			Class:    rapid.SampledFrom([]structs.Class{structs.ClassUrgent, structs.ClassNormal, structs.ClassBulk}).Draw(t, "class"),
			Customer: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "customer"),
			Key:      rapid.SampledFrom([]string{"", "k1", "k2", "k3"}).Draw(t, "key"),
		},
		BodyBytes:       100,
		AttemptAffinity: rapid.Bool().Draw(t, "affinity"),
		ReportsStart:    rapid.Bool().Draw(t, "reportsStart"),
		Forwarded:       rapid.Bool().Draw(t, "forwarded"),
	})
}

var results = []serving.Result{
	serving.ResultOK, serving.ResultOK, serving.ResultOK, serving.ResultNotSent, serving.ResultTimeout, serving.ResultBroken,
	serving.ResultIncomplete, serving.ResultBackendError, serving.ResultWithdrawn,
}

func (m *dispatcherModel) start(t *rapid.T) {
	if len(m.live) == 0 {
		t.Skip("no attempt")
	}
	a := m.live[rapid.IntRange(0, len(m.live)-1).Draw(t, "attempt")]
	if rapid.Bool().Draw(t, "responded") {
		m.step(t, serving.AttemptResponded{RequestID: a.request, Attempt: a.number})
		return
	}
	m.step(t, serving.AttemptStarted{RequestID: a.request, Attempt: a.number})
}

func (m *dispatcherModel) finish(t *rapid.T) {
	if len(m.live) == 0 {
		t.Skip("no attempt")
	}
	i := rapid.IntRange(0, len(m.live)-1).Draw(t, "attempt")
	a := m.live[i]
	result := rapid.SampledFrom(results).Draw(t, "result")
	m.endAttempt(i, result != serving.ResultNotSent && result != serving.ResultWithdrawn)
	if result == serving.ResultWithdrawn {
		if a.first {
			m.firstAttempts--
		} else {
			m.retries--
		}
	}
	event := serving.AttemptFinished{RequestID: a.request, Attempt: a.number, Result: result, ServiceTime: time.Millisecond}
	if result == serving.ResultWithdrawn {
		event.Refusal = rapid.SampledFrom(refusals).Draw(t, "refusal")
	}
	m.step(t, event)
}

// refusals are those of another host, or of the log of the key.
var refusals = []*structs.Refusal{nil, structs.RefuseNotRun(structs.CodeShed, ""), structs.RefuseUnknown(structs.CodeKeyInProgress, "")}

// finishForward ends a forward, also one that does not exist. Whatever the other host
// says, its refusal does not hold for an earlier try with another result.
func (m *dispatcherModel) finishForward(t *rapid.T) {
	id := m.anyRequest(t)
	result := rapid.SampledFrom(results).Draw(t, "result")
	if r := m.requests[id]; r != nil && r.forwarding {
		r.forwarding = false
		if result != serving.ResultNotSent && result != serving.ResultWithdrawn {
			r.mayHaveBeenSent++
		}
	}
	m.step(t, serving.ForwardFinished{RequestID: id, Result: result, Refusal: rapid.SampledFrom(refusals).Draw(t, "refusal")})
}

// deliverLateResult delivers a late or repeated result, or one of an unknown
// attempt.
func (m *dispatcherModel) deliverLateResult(t *rapid.T) {
	a := modelAttempt{request: "unknown", number: 1}
	if len(m.ended) > 0 {
		a = m.ended[rapid.IntRange(0, len(m.ended)-1).Draw(t, "ended")]
	}
	result := rapid.SampledFrom(results).Draw(t, "result")
	m.late = true
	m.step(t, serving.AttemptFinished{RequestID: a.request, Attempt: a.number, Result: result})
	m.late = false
}

// staticShare is the share of the host: half of the four slots of an executor.
const staticShare = 2

func (m *dispatcherModel) updateBackend(t *rapid.T) {
	id := fmt.Sprintf("executor-%d", rapid.IntRange(0, 3).Draw(t, "executor"))
	state := rapid.SampledFrom([]structs.BackendState{structs.BackendUp, structs.BackendUp, structs.BackendUp, structs.BackendDraining, structs.BackendLeft}).Draw(t, "state")
	e := m.executors[id]
	if e == nil {
		e = &modelExecutor{own: staticShare}
		m.executors[id] = e
	}
	if e.backend.State != structs.BackendUp && state == structs.BackendUp {
		e.backend.Incarnation++
	}
	incarnation := e.backend.Incarnation
	e.backend = structs.Backend{ID: id, Service: "basket-planner", Domain: "zrh-oerlikon", Address: fmt.Sprintf("%s:%d", id, incarnation), Slots: 4, Connections: 64, State: state, Incarnation: incarnation}
	m.step(t, serving.BackendUpdated{Backend: e.backend})
}

func (m *dispatcherModel) updateSlots(t *rapid.T) {
	id := fmt.Sprintf("executor-%d", rapid.IntRange(0, 3).Draw(t, "executor"))
	e := m.executors[id]
	if e == nil {
		e = &modelExecutor{}
		m.executors[id] = e
	}
	e.own = rapid.IntRange(1, 2).Draw(t, "own")
	e.leases = slices.DeleteFunc(e.leases, func(l serving.Lease) bool { return l.Until <= m.now })
	if rapid.Bool().Draw(t, "lend") {
		m.serial++
		e.leases = append(slices.Clone(e.leases), serving.Lease{ID: fmt.Sprintf("l%d", m.serial), Count: 1, Until: m.now + time.Second})
	}
	m.step(t, serving.SlotsUpdated{Executor: id, Own: e.own, Leases: e.leases})
}

// advance advances the clock. Attempts whose timeout passes end without a result.
func (m *dispatcherModel) advance(t *rapid.T, by time.Duration) {
	m.now += by
	for i := 0; i < len(m.live); i++ {
		if m.live[i].end <= m.now {
			m.endAttempt(i, true)
			i--
		}
	}
	m.step(t, serving.Tick{})
}

func (m *dispatcherModel) anyRequest(t *rapid.T) string {
	return fmt.Sprintf("r%d", rapid.IntRange(1, max(1, m.serial)).Draw(t, "request"))
}

func (m *dispatcherModel) changeRules(t *rapid.T) {
	policy := structs.Policy{Crest: rapid.Float64Range(0, 1).Draw(t, "crest"), Completion: rapid.Float64Range(0, 1).Draw(t, "completion")}
	service := structs.Service{Name: "basket-planner", Slots: 8, Connections: 64, RetryBudget: m.retryRatio, MaxAttempts: 3, AttemptTimeout: time.Second}
	customers := rapid.SampledFrom([][]structs.Customer{nil, {{Name: "a", Weight: 1}}, {{Name: "b", Weight: 2}, {Name: "c", Weight: 1}}}).Draw(t, "customers")
	m.d.SetRules(service, []structs.ClassRule{{Class: structs.ClassUrgent, ReservedSlots: 0.1, MaxQueue: 5}}, customers, policy)
}

// TestDispatcherInvariants guards, under arbitrary sequences of events, against a
// request with no final effect or more than one, more attempts on an executor than
// slots, a second attempt of a non-idempotent request that may have run, a refusal
// that wrongly says not_run, and retries beyond the budget.
func TestDispatcherInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newDispatcherModel(t)
		for range 2 {
			m.updateBackend(t)
		}
		if rapid.Bool().Draw(t, "measured") {
			m.warmUp(t)
		}
		t.Repeat(map[string]func(*rapid.T){
			"arrive": m.arrive, "arrive2": m.arrive, "arrive3": m.arrive,
			"start": m.start, "finish": m.finish, "finish2": m.finish, "finish3": m.finish,
			"late":    m.deliverLateResult,
			"backend": m.updateBackend,
			"slots":   m.updateSlots,
			"rules":   m.changeRules,
			"advance": func(t *rapid.T) {
				m.advance(t, time.Duration(rapid.IntRange(1, 300).Draw(t, "ms"))*time.Millisecond)
			},
			"cancel": func(t *rapid.T) { m.step(t, serving.RequestCancelled{RequestID: m.anyRequest(t)}) },
			"duplicate": func(t *rapid.T) {
				id := m.anyRequest(t)
				if r := m.requests[id]; r == nil || r.finalEffects > 0 {
					t.Skip("not in progress")
				}
				m.step(t, serving.RequestArrived{Request: structs.Request{ID: id, Remaining: time.Second}})
			},
			"forwarded": m.finishForward,
		})
		m.drain(t)
	})
}

// warmUp serves urgent requests of a customer, because requests are hedged or
// refused on arrival only after their service time has been measured.
func (m *dispatcherModel) warmUp(t *rapid.T) {
	for range 45 {
		m.serial++
		id := fmt.Sprintf("r%d", m.serial)
		m.requests[id] = &modelRequest{deadline: m.now + time.Second}
		m.step(t, serving.RequestArrived{Request: structs.Request{ID: id, Customer: "a", Class: structs.ClassUrgent, Remaining: time.Second}})
		m.now += 10 * time.Millisecond
		if i := m.find(m.live, id, 1); i >= 0 {
			m.endAttempt(i, true)
			m.step(t, serving.AttemptFinished{RequestID: id, Attempt: 1, Result: serving.ResultOK})
		}
	}
}

// drain advances past all deadlines and checks that every request has ended and
// that no slot is in use.
func (m *dispatcherModel) drain(t *rapid.T) {
	for range 40 {
		m.advance(t, 250*time.Millisecond)
	}
	for id, r := range m.requests {
		if r.finalEffects != 1 {
			t.Fatalf("request %s has %d final effects after its deadline, want 1", id, r.finalEffects)
		}
	}
	s := m.d.Snapshot()
	if s.Running != 0 || s.Forwarded != 0 || s.Queued[structs.ClassUrgent]+s.Queued[structs.ClassNormal]+s.Queued[structs.ClassBulk] != 0 {
		t.Fatalf("requests or slots in use after all deadlines: %+v", s)
	}
	for _, e := range s.Executors {
		if e.Running != 0 {
			t.Fatalf("executor %s still has slots in use after all deadlines", e.ID)
		}
	}
}
