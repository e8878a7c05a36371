package serving

import (
	"time"

	"cranberrydrum.dev/scheduler/serving"
	"cranberrydrum.dev/scheduler/structs"
)

const (
	serviceName = "basket-planner"
	domainName  = "zrh-oerlikon"
	// peerDelay is the one-way time between hosts of a failure domain, and
	// useInterval the time between two reports to the ledger.
	peerDelay   = 500 * time.Microsecond
	useInterval = 50 * time.Millisecond
)

func serviceRules() structs.Service {
	return structs.Service{
		Name: serviceName, Slots: executorSlots, Connections: executorConnections,
		RetryBudget: retryBudgetShare, MaxAttempts: maxAttempts, AttemptTimeout: attemptTimeout,
	}
}

// classRules bounds the queues in proportion to the executors.
func classRules(executors int) []structs.ClassRule {
	return []structs.ClassRule{
		{Service: serviceName, Class: structs.ClassUrgent, ReservedSlots: 0.1, MaxQueue: 100 * executors, DefaultDeadline: time.Second},
		{Service: serviceName, Class: structs.ClassNormal, MaxQueue: 50 * executors, DefaultDeadline: 5 * time.Second},
		{Service: serviceName, Class: structs.ClassBulk, MaxQueue: 25 * executors, DefaultDeadline: time.Minute},
	}
}

func (s *simulation) addHosts() {
	names := s.hostNames()
	for i, name := range names {
		h := &host{name: name, live: map[attemptKey]*execution{}}
		h.dispatcher = s.newDispatcher(name, names, uint64(i))
		if s.variant.Sharing == ShareLending {
			// The hosts have been running long enough to lend.
			const longAgo = -time.Hour
			h.ledger = serving.NewSlotLedger(longAgo, serving.LedgerConfig{Self: name, Hosts: names, Incarnation: 1})
		}
		s.hosts = append(s.hosts, h)
	}
}

func (s *simulation) newDispatcher(name string, names []string, index uint64) dispatcher {
	switch s.variant.Dispatching {
	case DispatchFIFO:
		return newBaseline(serving.Share(executorSlots, names, name))
	case DispatchRoundRobin:
		return newBaseline(0)
	}
	return serving.NewDispatcher(serving.Config{
		Self: name, Hosts: names, Domain: domainName, Service: serviceRules(), Classes: classRules(s.options.Executors),
		Customers: customers, Policy: s.variant.Policy, Seed: s.options.Seed*100 + index,
		SlotsFromLedger:       s.variant.Sharing == ShareLending,
		Hedging:               !s.variant.NoHedging,
		DisableSizeSeparation: s.variant.NoSizeSeparation,
		DisableAdaptiveLimits: s.variant.NoAdaptiveLimits,
	})
}

// reportUse tells the ledgers periodically how the slots are used.
func (s *simulation) reportUse() {
	for _, h := range s.hosts {
		if d, ok := h.dispatcher.(*serving.Dispatcher); ok {
			s.ledgerStep(h, serving.UseReported{Use: d.SlotUse(s.now)})
		}
	}
	if s.now < loadEnd {
		s.at(useInterval, s.reportUse)
	}
}

func (s *simulation) ledgerStep(h *host, ev serving.LedgerEvent) {
	for _, effect := range h.ledger.Step(s.now, ev) {
		switch effect := effect.(type) {
		case serving.SlotsChanged:
			s.step(h, effect.Update)
		case serving.AskSlots:
			s.ask(h, effect)
		case serving.LendSlots:
			s.post(effect.To, serving.Lend{From: h.name, Executor: effect.Executor, Lease: effect.Lease, Count: effect.Count, Duration: effect.Duration, Sequence: effect.Sequence})
		case serving.ReturnSlots:
			s.post(effect.To, serving.Return{From: h.name, Executor: effect.Executor, Lease: effect.Lease})
		}
	}
}

func (s *simulation) post(to string, ev serving.LedgerEvent) {
	s.at(peerDelay, func() { s.ledgerStep(s.hostNamed(to), ev) })
}

func (s *simulation) ask(from *host, effect serving.AskSlots) {
	s.at(peerDelay, func() {
		to := s.hostNamed(effect.To)
		running := 0
		for _, use := range to.dispatcher.(*serving.Dispatcher).SlotUse(s.now) {
			if use.Executor == effect.Executor {
				running = use.OwnRunning
			}
		}
		s.ledgerStep(to, serving.RequestSlots{From: from.name, Executor: effect.Executor, Count: effect.Count, Lease: effect.Lease, Waiting: effect.Waiting, Sequence: effect.Sequence, OwnRunning: running})
	})
}

func (s *simulation) hostNamed(name string) *host {
	for _, h := range s.hosts {
		if h.name == name {
			return h
		}
	}
	return nil
}
