package node

import (
	"slices"
	"strings"

	"cranberrydrum.dev/scheduler/serving"
	"cranberrydrum.dev/scheduler/structs"
)

// updateServices starts, changes and ends dispatchers after a configuration change.
func (n *Node) updateServices(cfg *structs.Config) {
	n.mu.Lock()
	defer n.mu.Unlock()
	wanted := map[string]bool{}
	for _, rule := range cfg.Services {
		wanted[rule.Name] = true
		if s := n.services[rule.Name]; s != nil {
			s.setRules(rule, cfg)
			continue
		}
		n.services[rule.Name] = newService(n, rule.Name, n.dispatcherConfig(rule, cfg))
	}
	for name, s := range n.services {
		if !wanted[name] {
			delete(n.services, name)
			// Requests that run are answered first.
			go s.retire()
		}
	}
}

func (n *Node) dispatcherConfig(rule structs.Service, cfg *structs.Config) serving.Config {
	return serving.Config{
		Self:       n.cfg.HostID,
		Hosts:      n.domainHosts(),
		Domain:     n.cfg.Domain,
		Service:    rule,
		Classes:    classesOf(cfg, rule.Name),
		Customers:  cfg.Customers,
		Policy:     cfg.Policy,
		Seed:       seedOf(n.cfg.HostID, rule.Name),
		Hedging:    true,
		Forwarding: true,
	}
}

func (n *Node) ledgerConfig() serving.LedgerConfig {
	return serving.LedgerConfig{
		Self:        n.cfg.HostID,
		Hosts:       n.domainHosts(),
		Incarnation: uint64(n.start.UnixNano()),
	}
}

// domainHosts returns the hosts configured in this failure domain, which
// divide the slots of its executors.
func (n *Node) domainHosts() []string {
	hosts := []string{n.cfg.HostID}
	for _, h := range n.hosts.inDomain(n.cfg.Domain) {
		hosts = append(hosts, h.ID)
	}
	slices.Sort(hosts)
	return hosts
}

func classesOf(cfg *structs.Config, service string) []structs.ClassRule {
	var classes []structs.ClassRule
	for _, c := range cfg.Classes {
		if c.Service == service {
			classes = append(classes, c)
		}
	}
	return classes
}

func (n *Node) allServices() []*service {
	n.mu.Lock()
	defer n.mu.Unlock()
	services := make([]*service, 0, len(n.services))
	for _, s := range n.services {
		services = append(services, s)
	}
	slices.SortFunc(services, func(a, b *service) int { return strings.Compare(a.name, b.name) })
	return services
}

func (n *Node) closeServices() {
	for _, s := range n.allServices() {
		s.close()
	}
}

// setRules puts changed rules in force for queued and new requests.
func (s *service) setRules(rule structs.Service, cfg *structs.Config) {
	s.post(func() {
		s.dispatcher.SetRules(rule, classesOf(cfg, rule.Name), cfg.Customers, cfg.Policy)
		s.step(serving.Tick{})
	})
}

// retire ends a service that was removed from the rules once its requests
// have been answered.
func (s *service) retire() {
	for {
		idle := make(chan bool, 1)
		if !s.post(func() { idle <- len(s.pending) == 0 }) {
			return
		}
		if <-idle || !s.node.wait(maxServiceTick) {
			s.close()
			return
		}
	}
}
