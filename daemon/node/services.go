package node

import (
	"slices"
	"strings"
	"time"

	"cranberrydrum.dev/daemon/settings"
	"cranberrydrum.dev/daemon/transport"
	"cranberrydrum.dev/scheduler/serving"
	"cranberrydrum.dev/scheduler/structs"
)

// updateServices starts, reconfigures and stops dispatchers after a configuration
// change.
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
			// Requests in progress finish first.
			go s.drainAndClose()
		}
	}
}

func (n *Node) dispatcherConfig(rule structs.Service, cfg *structs.Config) serving.Config {
	return serving.Config{
		Self:       n.cfg.HostID,
		Hosts:      n.slotHosts(),
		Domain:     n.cfg.Domain,
		Service:    rule,
		Classes:    classesOf(cfg, rule.Name),
		Customers:  cfg.Customers,
		Policy:     cfg.Policy,
		Seed:       seedOf(n.cfg.HostID, rule.Name),
		Hedging:    true,
		Forwarding: true,
		// A restarted host must not use slots that its previous process has lent.
		SlotsFromLedger: true,
	}
}

// ledgerConfig returns the configuration of a ledger that starts empty at a time.
func (n *Node) ledgerConfig(started time.Time) serving.LedgerConfig {
	return serving.LedgerConfig{
		Self:        n.cfg.HostID,
		Hosts:       n.slotHosts(),
		Incarnation: uint64(started.UnixNano()),
	}
}

// slotHosts returns the hosts that divide the slots of this failure domain's
// executors: those in the rules or, if the rules list none, those in the
// settings. All hosts must agree on the list, so a host that is only known by
// its connection is not on it; such a host borrows slots.
func (n *Node) slotHosts() []string {
	if hosts := n.configuredHosts(); len(hosts) > 0 {
		return hosts
	}
	hosts := []string{n.cfg.HostID}
	for _, p := range n.cfg.Peers {
		if p.Domain == n.cfg.Domain {
			hosts = append(hosts, p.ID)
		}
	}
	slices.Sort(hosts)
	return hosts
}

// configuredHosts returns the hosts of this failure domain that the rules list,
// sorted by name.
func (n *Node) configuredHosts() []string {
	cfg := n.config.current().Config
	if cfg == nil {
		return nil
	}
	var hosts []string
	for _, h := range cfg.Hosts {
		if h.Domain == n.cfg.Domain {
			hosts = append(hosts, h.Name)
		}
	}
	slices.Sort(hosts)
	return hosts
}

// connectConfiguredHosts adds the hosts that the rules list and connects to them.
func (n *Node) connectConfiguredHosts(cfg *structs.Config) {
	region := map[string]string{}
	for _, d := range cfg.Domains {
		region[d.Name] = d.Region
	}
	for _, h := range cfg.Hosts {
		peer := settings.Peer{ID: h.Name, Domain: h.Domain, Region: region[h.Domain], Address: h.PeerAddress, Disk: h.Disk}
		if peer.ID == n.cfg.HostID || !n.hosts.add(peer) {
			continue
		}
		n.log.Info("connecting to a host that the rules list", "peer", peer.ID, "address", peer.Address)
		n.transport.AddPeer(transport.Peer{Host: peer.ID, Address: peer.Address})
	}
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

// setRules applies changed rules and hosts to queued and new requests.
func (s *service) setRules(rule structs.Service, cfg *structs.Config) {
	s.post(func() {
		s.dispatcher.SetRules(rule, classesOf(cfg, rule.Name), cfg.Customers, cfg.Policy)
		s.dispatcher.SetHosts(s.node.slotHosts())
		s.step(serving.Tick{})
		s.ledgerStep(serving.HostsChanged{Hosts: s.node.slotHosts()})
	})
}

// drainAndClose stops a service that was removed from the rules, after its
// requests have finished or when the host stops.
func (s *service) drainAndClose() {
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
