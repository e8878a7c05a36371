package serving_test

import (
	"fmt"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"cranberrydrum.dev/scheduler/serving"
	"cranberrydrum.dev/scheduler/structs"
)

// fixture drives a Dispatcher with a few executors step by step.
type fixture struct {
	d      *serving.Dispatcher
	now    time.Duration
	serial int
}

func newFixture(executors, slots int, change func(*serving.Config)) *fixture {
	cfg := serving.Config{
		Self: "host-a", Hosts: []string{"host-a"}, Domain: "zrh-oerlikon", Seed: 1,
		Service:   structs.Service{Name: "basket-planner", Slots: slots, Connections: 64, RetryBudget: 0.1, MaxAttempts: 3, AttemptTimeout: 4 * time.Second},
		Customers: []structs.Customer{{Name: "a", Weight: 3}, {Name: "b", Weight: 1}},
	}
	if change != nil {
		change(&cfg)
	}
	f := &fixture{d: serving.NewDispatcher(cfg)}
	for i := range executors {
		f.backend(fmt.Sprintf("executor-%d", i), structs.BackendUp, slots)
	}
	return f
}

func (f *fixture) backend(id string, state structs.BackendState, slots int) []serving.Effect {
	return f.d.Step(f.now, serving.BackendUpdated{Backend: structs.Backend{
		ID: id, Service: "basket-planner", Domain: "zrh-oerlikon", Address: id, Slots: slots, Connections: 64, State: state, Incarnation: 1,
	}})
}

func (f *fixture) arrive(r structs.Request) (string, []serving.Effect) {
	f.serial++
	r.ID = fmt.Sprintf("r%d", f.serial)
	if r.Remaining == 0 {
		r.Remaining = 10 * time.Second
	}
	return r.ID, f.d.Step(f.now, serving.RequestArrived{Request: r, BodyBytes: 10})
}

func (f *fixture) finish(s serving.Send, result serving.Result, took time.Duration) []serving.Effect {
	return f.d.Step(f.now, serving.AttemptFinished{RequestID: s.RequestID, Attempt: s.Attempt, Result: result, ServiceTime: took})
}

// warmUp serves requests of a customer one by one, so that the Dispatcher has
// measurements of their service time.
func (f *fixture) warmUp(r structs.Request, took time.Duration, count int) {
	for range count {
		_, effects := f.arrive(r)
		send := effectsOf[serving.Send](effects)[0]
		f.now += took
		f.finish(send, serving.ResultOK, took)
	}
}

// effectsOf returns the effects of one type.
func effectsOf[T serving.Effect](effects []serving.Effect) []T {
	var list []T
	for _, effect := range effects {
		if e, ok := effect.(T); ok {
			list = append(list, e)
		}
	}
	return list
}

func refusalCodes(effects []serving.Effect) []structs.Code {
	var list []structs.Code
	for _, r := range effectsOf[serving.Refuse](effects) {
		list = append(list, r.Refusal.Code)
	}
	return list
}

var (
	urgentA = structs.Request{Customer: "a", Class: structs.ClassUrgent}
	normalA = structs.Request{Customer: "a", Class: structs.ClassNormal}
	bulkA   = structs.Request{Customer: "a", Class: structs.ClassBulk}
	bulkB   = structs.Request{Customer: "b", Class: structs.ClassBulk}
)

var _ = ginkgo.Describe("Dispatcher", func() {
	expect := gomega.Expect

	ginkgo.DescribeTable("retries or refuses a request after a failed attempt",
		func(nonIdempotent bool, result serving.Result, retried bool, code structs.Code, outcome structs.Outcome) {
			f := newFixture(2, 1, nil)
			_, effects := f.arrive(structs.Request{Customer: "a", Class: structs.ClassNormal, NonIdempotent: nonIdempotent})
			first := effectsOf[serving.Send](effects)[0]
			effects = f.finish(first, result, time.Millisecond)
			refusals := effectsOf[serving.Refuse](effects)
			if !retried {
				expect(refusals).To(gomega.HaveLen(1))
				expect(refusals[0].Refusal.Code).To(gomega.Equal(code))
				expect(refusals[0].Refusal.Outcome).To(gomega.Equal(outcome))
				return
			}
			expect(refusals).To(gomega.BeEmpty())
			f.now += 100 * time.Millisecond
			again := effectsOf[serving.Send](f.d.Step(f.now, serving.Tick{}))
			expect(again).To(gomega.HaveLen(1))
			expect(again[0].Backend).NotTo(gomega.Equal(first.Backend), "a retry must use another executor")
		},
		ginkgo.Entry("idempotent, broken", false, serving.ResultBroken, true, structs.Code(""), structs.Outcome("")),
		ginkgo.Entry("idempotent, timeout", false, serving.ResultTimeout, true, structs.Code(""), structs.Outcome("")),
		ginkgo.Entry("idempotent, backend error", false, serving.ResultBackendError, true, structs.Code(""), structs.Outcome("")),
		ginkgo.Entry("idempotent, withdrawn", false, serving.ResultWithdrawn, false, structs.CodeCancelled, structs.OutcomeNotRun),
		ginkgo.Entry("non-idempotent, not sent", true, serving.ResultNotSent, true, structs.Code(""), structs.Outcome("")),
		ginkgo.Entry("non-idempotent, incomplete", true, serving.ResultIncomplete, false, structs.CodeOutcomeUnknown, structs.OutcomeUnknown),
		ginkgo.Entry("non-idempotent, timeout", true, serving.ResultTimeout, false, structs.CodeOutcomeUnknown, structs.OutcomeUnknown),
		ginkgo.Entry("non-idempotent, withdrawn", true, serving.ResultWithdrawn, false, structs.CodeCancelled, structs.OutcomeNotRun),
	)

	ginkgo.It("returns the refusal of a withdrawn attempt to the caller", func() {
		f := newFixture(1, 1, nil)
		_, effects := f.arrive(structs.Request{Customer: "a", NonIdempotent: true})
		send := effectsOf[serving.Send](effects)[0]
		conflict := structs.RefuseNotRun(structs.CodeKeyConflict, "the key was used for another request")
		effects = f.d.Step(f.now, serving.AttemptFinished{RequestID: send.RequestID, Attempt: 1, Result: serving.ResultWithdrawn, Refusal: conflict})
		expect(refusalCodes(effects)).To(gomega.Equal([]structs.Code{structs.CodeKeyConflict}))
		expect(f.d.Snapshot().Counters.FirstAttempts).To(gomega.BeZero())
	})

	ginkgo.It("sends a retry to the same executor if attempt affinity is set", func() {
		f := newFixture(3, 1, nil)
		effects := f.d.Step(f.now, serving.RequestArrived{AttemptAffinity: true, Request: structs.Request{ID: "x", NonIdempotent: true, Remaining: time.Second}})
		first := effectsOf[serving.Send](effects)[0]
		f.finish(first, serving.ResultNotSent, 0)
		f.now += 100 * time.Millisecond
		expect(effectsOf[serving.Send](f.d.Step(f.now, serving.Tick{}))[0].Backend).To(gomega.Equal(first.Backend))
	})

	ginkgo.It("sends nothing to an executor from the step in which it starts draining", func() {
		f := newFixture(1, 4, nil)
		f.backend("executor-0", structs.BackendDraining, 4)
		_, effects := f.arrive(urgentA)
		expect(refusalCodes(effects)).To(gomega.Equal([]structs.Code{structs.CodeNoBackend}))
	})

	ginkgo.It("offers a request to another failure domain once, and refuses it if there is none", func() {
		f := newFixture(0, 1, func(c *serving.Config) { c.Forwarding = true })
		id, effects := f.arrive(urgentA)
		expect(effectsOf[serving.Forward](effects)).To(gomega.HaveLen(1))
		effects = f.d.Step(f.now, serving.ForwardFinished{RequestID: id, Result: serving.ResultNotSent})
		expect(refusalCodes(effects)).To(gomega.Equal([]structs.Code{structs.CodeNoBackend}))
		effects = f.d.Step(f.now, serving.RequestArrived{Forwarded: true, Request: structs.Request{ID: "f", Remaining: time.Second}})
		expect(refusalCodes(effects)).To(gomega.Equal([]structs.Code{structs.CodeNoBackend}))
	})

	ginkgo.It("refuses a request on arrival if the estimated wait and service time exceed its deadline", func() {
		f := newFixture(1, 1, nil)
		f.warmUp(normalA, 200*time.Millisecond, 10)
		for range 10 {
			f.arrive(normalA)
		}
		_, effects := f.arrive(structs.Request{Customer: "a", Class: structs.ClassNormal, Remaining: time.Second})
		refusals := effectsOf[serving.Refuse](effects)
		expect(refusals).To(gomega.HaveLen(1))
		expect(refusals[0].Refusal.Code).To(gomega.Equal(structs.CodeDeadlineUnreachable))
		expect(refusals[0].Refusal.RetryAfter).To(gomega.BeNumerically(">", time.Second))
	})

	ginkgo.It("sheds the newest request of the customer furthest above its share in the least important class", func() {
		f := newFixture(1, 1, func(c *serving.Config) { c.MaxQueued = 4 })
		f.arrive(urgentA)
		f.arrive(bulkA)
		f.arrive(bulkB)
		newest, _ := f.arrive(bulkB)
		f.arrive(bulkA)
		_, effects := f.arrive(urgentA)
		refusals := effectsOf[serving.Refuse](effects)
		expect(refusals).To(gomega.HaveLen(1))
		expect(refusals[0].RequestID).To(gomega.Equal(newest))
		expect(refusals[0].Refusal.Code).To(gomega.Equal(structs.CodeShed))
		expect(refusals[0].Refusal.Outcome).To(gomega.Equal(structs.OutcomeNotRun))
	})

	ginkgo.It("does not give slots reserved for urgent requests to other classes", func() {
		rules := []structs.ClassRule{{Class: structs.ClassUrgent, ReservedSlots: 0.25}}
		f := newFixture(1, 4, func(c *serving.Config) { c.Classes = rules })
		sent := 0
		for range 6 {
			_, effects := f.arrive(bulkA)
			sent += len(effectsOf[serving.Send](effects))
		}
		expect(sent).To(gomega.Equal(3))
		_, effects := f.arrive(urgentA)
		expect(effectsOf[serving.Send](effects)).To(gomega.HaveLen(1))
	})

	ginkgo.It("shares the slots by weight between customers with a backlog", func() {
		f := newFixture(1, 1, nil)
		_, effects := f.arrive(bulkA)
		send := effectsOf[serving.Send](effects)[0]
		for range 20 {
			f.arrive(bulkA)
			f.arrive(bulkB)
		}
		served := map[string]int{}
		for range 16 {
			f.now += 10 * time.Millisecond
			send = effectsOf[serving.Send](f.finish(send, serving.ResultOK, 10*time.Millisecond))[0]
			number := 0
			_, _ = fmt.Sscanf(send.RequestID, "r%d", &number)
			served[map[int]string{0: "a", 1: "b"}[number%2]]++
		}
		expect(served["a"]).To(gomega.BeNumerically("~", 12, 1))
	})

	ginkgo.It("leaves slots free of long attempts while short work arrives", func() {
		f := newFixture(4, 4, nil)
		f.warmUp(urgentA, 20*time.Millisecond, 10)
		f.warmUp(bulkA, 2*time.Second, 10)
		f.warmUp(urgentA, 20*time.Millisecond, 40)
		sent := 0
		for range 30 {
			_, effects := f.arrive(bulkA)
			sent += len(effectsOf[serving.Send](effects))
		}
		expect(sent).To(gomega.BeNumerically("<=", 12))
		expect(sent).To(gomega.BeNumerically(">=", 8))
	})

	ginkgo.It("serves a bulk request past the aging threshold before new urgent requests", func() {
		f := newFixture(1, 1, nil)
		_, effects := f.arrive(urgentA)
		send := effectsOf[serving.Send](effects)[0]
		old, _ := f.arrive(structs.Request{Customer: "a", Class: structs.ClassBulk, Remaining: time.Minute})
		for i := range 400 {
			f.arrive(urgentA)
			f.now += 50 * time.Millisecond
			sends := effectsOf[serving.Send](f.finish(send, serving.ResultOK, 50*time.Millisecond))
			if sends[0].RequestID == old {
				expect(i).To(gomega.BeNumerically(">", 20))
				return
			}
			send = sends[0]
		}
		ginkgo.Fail("the bulk request starved")
	})

	ginkgo.It("opens the breaker after consecutive failures and probes with one request", func() {
		f := newFixture(1, 4, func(c *serving.Config) { c.Service.MaxAttempts = 1 })
		for range 3 {
			_, effects := f.arrive(bulkA)
			f.finish(effectsOf[serving.Send](effects)[0], serving.ResultBackendError, time.Millisecond)
		}
		_, effects := f.arrive(bulkA)
		expect(effectsOf[serving.Send](effects)).To(gomega.BeEmpty())
		f.arrive(bulkA)
		f.now += 1100 * time.Millisecond
		probes := effectsOf[serving.Send](f.d.Step(f.now, serving.Tick{}))
		expect(probes).To(gomega.HaveLen(1))
		expect(probes[0].Fresh).To(gomega.BeTrue())
		expect(effectsOf[serving.Send](f.finish(probes[0], serving.ResultOK, time.Millisecond))).To(gomega.HaveLen(1))
	})

	ginkgo.DescribeTable("treats an executor as silent only while other executors answer",
		func(measured bool, silent, opened int) {
			f := newFixture(4, 2, nil)
			if measured {
				f.warmUp(normalA, 20*time.Millisecond, 20)
			}
			var sends []serving.Send
			for range 8 {
				_, effects := f.arrive(normalA)
				sends = append(sends, effectsOf[serving.Send](effects)...)
			}
			f.now += 20 * time.Millisecond
			for _, send := range sends {
				if send.Backend >= fmt.Sprintf("executor-%d", silent) {
					f.finish(send, serving.ResultOK, 0)
				}
			}
			f.now += time.Second
			f.d.Step(f.now, serving.Tick{})
			open := 0
			for _, e := range f.d.Snapshot().Executors {
				if e.Breaker == "open" {
					open++
				}
			}
			expect(open).To(gomega.Equal(opened))
		},
		ginkgo.Entry("one of four", true, 1, 1),
		ginkgo.Entry("all", true, 4, 0),
		ginkgo.Entry("no measured service times", false, 4, 0),
	)

	// Guards against an attempt on a lease that the ledger has returned in the same
	// step.
	ginkgo.It("sends nothing before all slot updates of a ledger step are applied", func() {
		f := newFixture(1, 1, nil)
		f.arrive(urgentA)
		f.arrive(urgentA)
		expect(f.d.Step(f.now, serving.SlotsUpdated{Executor: "executor-0", Own: 2})).To(gomega.BeEmpty())
		wake, needed := f.d.NextWake()
		expect(needed).To(gomega.BeTrue())
		expect(wake).To(gomega.Equal(f.now))
		expect(effectsOf[serving.Send](f.d.Step(f.now, serving.Tick{}))).To(gomega.HaveLen(1))
	})

	ginkgo.It("reduces the limit of an executor that has become slow", func() {
		f := newFixture(3, 4, nil)
		running := map[time.Duration][]serving.Send{}
		start := func(effects []serving.Effect) {
			for _, send := range effectsOf[serving.Send](effects) {
				took := 20 * time.Millisecond
				if send.Backend == "executor-1" {
					took *= 5
				}
				running[f.now+took] = append(running[f.now+took], send)
			}
		}
		for f.now < 3*time.Second {
			_, effects := f.arrive(normalA)
			start(effects)
			f.now += time.Millisecond
			for _, send := range running[f.now] {
				start(f.finish(send, serving.ResultOK, 0))
			}
		}
		executors := f.d.Snapshot().Executors
		expect(executors[1].Limit).To(gomega.BeNumerically("<", 4))
		expect(executors[1].Limit).To(gomega.BeNumerically(">=", 1))
		expect(executors[0].Limit).To(gomega.Equal(4))
	})

	ginkgo.DescribeTable("hedges urgent requests only",
		func(enabled bool, request structs.Request, hedged bool) {
			f := newFixture(2, 2, func(c *serving.Config) { c.Hedging = enabled })
			f.warmUp(request, 20*time.Millisecond, 50)
			_, effects := f.arrive(request)
			first := effectsOf[serving.Send](effects)[0]
			f.now += 100 * time.Millisecond
			sends := effectsOf[serving.Send](f.d.Step(f.now, serving.Tick{}))
			if !hedged {
				expect(sends).To(gomega.BeEmpty())
				return
			}
			expect(sends).To(gomega.HaveLen(1))
			expect(sends[0].Hedge).To(gomega.BeTrue())
			expect(sends[0].Backend).NotTo(gomega.Equal(first.Backend))
			expect(effectsOf[serving.Answer](f.finish(sends[0], serving.ResultOK, time.Millisecond))).To(gomega.HaveLen(1))
			expect(effectsOf[serving.Answer](f.finish(first, serving.ResultOK, time.Millisecond))).To(gomega.BeEmpty())
		},
		ginkgo.Entry("urgent", true, urgentA, true),
		ginkgo.Entry("switched off", false, urgentA, false),
		ginkgo.Entry("normal", true, normalA, false),
		ginkgo.Entry("non-idempotent", true, structs.Request{Customer: "a", Class: structs.ClassUrgent, NonIdempotent: true}, false),
	)
})

var _ = ginkgo.DescribeTable("Share",
	func(slots int, hosts []string, shares ...int) {
		sum := 0
		for i, host := range []string{"a", "b", "c"}[:len(shares)] {
			gomega.Expect(serving.Share(slots, hosts, host)).To(gomega.Equal(shares[i]))
			sum += shares[i]
		}
		gomega.Expect(sum).To(gomega.BeNumerically("<=", slots))
	},
	ginkgo.Entry("even", 8, []string{"b", "a"}, 4, 4),
	ginkgo.Entry("remainder to the first hosts", 8, []string{"c", "a", "b"}, 3, 3, 2),
	ginkgo.Entry("repeated host", 8, []string{"a", "a", "b"}, 4, 4),
	ginkgo.Entry("fewer slots than hosts", 2, []string{"a", "b", "c"}, 1, 1, 0),
	ginkgo.Entry("not a host", 8, []string{"x"}, 0),
	ginkgo.Entry("no slots", 0, []string{"a"}, 0),
)
