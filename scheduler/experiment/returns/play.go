package returns

import (
	"fmt"
	"math/rand/v2"
	"time"

	"cranberrydrum.dev/scheduler/serving"
	"cranberrydrum.dev/scheduler/structs"
)

// Outage is a time in which no executor is up.
type Outage struct{ From, To time.Duration }

// Pattern is a load on the executors of one host.
type Pattern struct {
	Name             string
	Executors, Slots int
	// Service is the mean service time. Service times are uniform within a fifth of it.
	Service time.Duration
	Streams []Stream
	Outage  Outage
	// MaxQueued bounds the queue; 0 selects the default.
	MaxQueued int
	// End is when the last new caller arrives.
	End time.Duration
}

const serviceName = "basket-planner"

// game plays a pattern on a Dispatcher.
type game struct {
	agenda
	pattern    Pattern
	dispatcher *serving.Dispatcher
	rng        *rand.Rand
	requests   int
	pending    map[string]*caller
	wake       time.Duration
}

// Play returns the tally of each stream of a pattern.
func Play(p Pattern, seed uint64) []Tally {
	g := &game{pattern: p, rng: rand.New(rand.NewPCG(seed, 1)), pending: map[string]*caller{}, wake: -1}
	g.dispatcher = serving.NewDispatcher(serving.Config{
		Self: "host-a", Hosts: []string{"host-a"}, Domain: "zrh-oerlikon", Seed: seed, MaxQueued: p.MaxQueued,
		Service:   structs.Service{Name: serviceName, Slots: p.Slots, Connections: 64, RetryBudget: 0.1, MaxAttempts: 3, AttemptTimeout: 4 * time.Second},
		Customers: []structs.Customer{{Name: "a", Weight: 1}, {Name: "b", Weight: 1}},
	})
	g.setExecutors(structs.BackendUp, 1)
	if p.Outage.To > 0 {
		g.after(p.Outage.From, func() { g.setExecutors(structs.BackendLeft, 1) })
		g.after(p.Outage.To, func() { g.setExecutors(structs.BackendUp, 2) })
	}
	var sources []*source
	for i, stream := range p.Streams {
		s := newSource(&g.agenda, stream, seed+uint64(i)<<32, p.End, g.try)
		sources = append(sources, s)
		s.next()
	}
	g.runAll()
	var tallies []Tally
	for _, s := range sources {
		tallies = append(tallies, s.Tally)
	}
	return tallies
}

func (g *game) setExecutors(state structs.BackendState, incarnation uint64) {
	for i := range g.pattern.Executors {
		id := fmt.Sprintf("executor-%d", i)
		g.step(serving.BackendUpdated{Backend: structs.Backend{
			ID: id, Service: serviceName, Domain: "zrh-oerlikon", Address: id,
			Slots: g.pattern.Slots, Connections: 64, State: state, Incarnation: incarnation,
		}})
	}
}

func (g *game) try(c *caller, deadline time.Duration) {
	g.requests++
	r := c.stream.Request
	r.ID = fmt.Sprint(g.requests)
	r.Key = c.key
	r.Remaining = deadline
	g.pending[r.ID] = c
	g.step(serving.RequestArrived{Request: r})
}

func (g *game) step(ev serving.Event) {
	for _, effect := range g.dispatcher.Step(g.now, ev) {
		g.execute(effect)
	}
	wake, ok := g.dispatcher.NextWake()
	if !ok || wake == g.wake {
		return
	}
	g.wake = wake
	g.after(max(0, wake-g.now), func() {
		if g.wake == wake {
			g.wake = -1
			g.step(serving.Tick{})
		}
	})
}

func (g *game) execute(effect serving.Effect) {
	switch e := effect.(type) {
	case serving.Send:
		took := time.Duration(float64(g.pattern.Service) * (0.8 + 0.4*g.rng.Float64()))
		g.after(took, func() {
			g.step(serving.AttemptFinished{RequestID: e.RequestID, Attempt: e.Attempt, Result: serving.ResultOK, ServiceTime: took})
		})
	case serving.Refuse:
		c := g.finish(e.RequestID)
		c.stream.refused(c, e.Refusal.RetryAfter)
	case serving.Answer:
		c := g.finish(e.RequestID)
		c.stream.answered(c)
	}
}

func (g *game) finish(id string) *caller {
	c := g.pending[id]
	delete(g.pending, id)
	return c
}
