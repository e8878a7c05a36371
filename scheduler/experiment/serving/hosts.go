package serving

import (
	"time"

	"cranberrydrum.dev/scheduler/serving"
	"cranberrydrum.dev/scheduler/structs"
)

const (
	serviceName = "basket-planner"
	domainName  = "zrh-oerlikon"
	// peerDelay is the one-way latency between hosts of a failure domain, and
	// useReportInterval the time between two slot usage reports to the ledger.
	peerDelay         = 500 * time.Microsecond
	useReportInterval = 50 * time.Millisecond
)

func serviceRules() structs.Service {
	return structs.Service{
		Name: serviceName, Slots: executorSlots, Connections: executorConnections,
		RetryBudget: retryBudgetShare, MaxAttempts: maxAttempts, AttemptTimeout: attemptTimeout,
	}
}

// classRules returns the class rules with queue bounds in proportion to the number
// of executors.
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
		h := &host{name: name, live: map[attemptKey]*attempt{}}
		h.dispatcher = s.newDispatcher(name, names, uint64(i))
		if s.variant.Sharing == ShareLending {
			// A ledger lends no slots shortly after its start. These ledgers
			// started an hour before the simulation, so that they lend at once.
			const ledgerStart = -time.Hour
			h.ledger = serving.NewSlotLedger(ledgerStart, serving.LedgerConfig{Self: name, Hosts: names, Incarnation: 1})
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

// reportSlotUse reports the slot usage to the ledgers every useReportInterval
// until the load ends.
func (s *simulation) reportSlotUse() {
	for _, h := range s.hosts {
		if d, ok := h.dispatcher.(*serving.Dispatcher); ok {
			s.ledgerStep(h, serving.SlotUseReported{Use: d.SlotUse(s.now)})
		}
	}
	if s.now < loadEnd {
		s.after(useReportInterval, s.reportSlotUse)
	}
}

func (s *simulation) ledgerStep(h *host, ev serving.LedgerEvent) {
	for _, effect := range h.ledger.Step(s.now, ev) {
		switch effect := effect.(type) {
		case serving.SlotsChanged:
			s.step(h, effect.Update)
		case serving.RequestSlots:
			s.requestSlots(h, effect)
		case serving.LendSlots:
			s.sendToPeer(effect.To, serving.SlotsLent{From: h.name, Executor: effect.Executor, Lease: effect.Lease, Count: effect.Count, Duration: effect.Duration, Sequence: effect.Sequence})
		case serving.ReturnSlots:
			s.sendToPeer(effect.To, serving.SlotsReturned{From: h.name, Executor: effect.Executor, Lease: effect.Lease})
		}
	}
}

func (s *simulation) sendToPeer(to string, ev serving.LedgerEvent) {
	s.after(peerDelay, func() { s.ledgerStep(s.hostByName(to), ev) })
}

func (s *simulation) requestSlots(from *host, effect serving.RequestSlots) {
	s.after(peerDelay, func() {
		to := s.hostByName(effect.To)
		running := 0
		for _, use := range to.dispatcher.(*serving.Dispatcher).SlotUse(s.now) {
			if use.Executor == effect.Executor {
				running = use.OwnRunning
			}
		}
		s.ledgerStep(to, serving.SlotsRequested{From: from.name, Executor: effect.Executor, Count: effect.Count, Lease: effect.Lease, Waiting: effect.Waiting, Sequence: effect.Sequence, OwnRunning: running})
	})
}

func (s *simulation) hostByName(name string) *host {
	for _, h := range s.hosts {
		if h.name == name {
			return h
		}
	}
	return nil
}
