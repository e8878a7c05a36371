package node

import (
	"time"

	"cranberrydrum.dev/daemon/panics"
	"cranberrydrum.dev/scheduler/serving"
	"cranberrydrum.dev/scheduler/structs"
)

// guard runs f and logs a panic in it. It reports whether f returned.
func (n *Node) guard(where string, f func(), detail ...any) bool {
	err := panics.Catch(where, f)
	if err != nil {
		panics.Log(n.log, n.metrics, err, detail...)
	}
	return err == nil
}

// guard runs one step of the service. A panic may leave the dispatcher half changed,
// so it is replaced by a new one.
func (s *service) guard(step func()) {
	if !s.node.guard("service", step, "service", s.name) {
		s.rebuild()
	}
}

// rebuild refuses the pending requests and starts again with the backend servers and
// rules in force, as a restarted host does.
func (s *service) rebuild() {
	for id, p := range s.pending {
		delete(s.pending, id)
		p.done <- callResult{err: p.interrupted()}
	}
	s.node.guard("service_rebuild", func() {
		s.ledger = serving.NewSlotLedger(s.node.now(), s.node.ledgerConfig(time.Now()))
		s.backends = map[string]structs.Backend{}
		if rule, cfg, found := s.node.rulesOf(s.name); found {
			s.dispatcher = serving.NewDispatcher(s.node.dispatcherConfig(rule, cfg))
		}
		s.refreshBackends()
	}, "service", s.name)
}

// interrupted returns the refusal of a request whose dispatcher is gone.
func (p *pendingRequest) interrupted() *structs.Refusal {
	const message = "this host failed while it handled the requests of the service"
	if p.started || p.forwarding {
		return structs.RefuseUnknown(structs.CodeInternal, message)
	}
	return structs.RefuseNotRun(structs.CodeInternal, message)
}

// rulesOf returns the rule of a service and the configuration in force.
func (n *Node) rulesOf(service string) (structs.Service, *structs.Config, bool) {
	cfg := n.config.current().Config
	if cfg == nil {
		return structs.Service{}, nil, false
	}
	for _, rule := range cfg.Services {
		if rule.Name == service {
			return rule, cfg, true
		}
	}
	return structs.Service{}, nil, false
}
