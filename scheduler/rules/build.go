package rules

import (
	"slices"

	"cranberrydrum.dev/scheduler/structs"
)

// build converts statements into a configuration. Names and fields that a
// malformed statement lacks keep their zero values.
func build(statements []*statement) *structs.Config {
	cfg := &structs.Config{}
	for _, s := range statements {
		s.spec.add(cfg, s)
	}
	return cfg
}

func (s *statement) name(i int) string {
	if i >= len(s.names) {
		return ""
	}
	return s.names[i].text
}

func addRegion(c *structs.Config, s *statement) {
	c.Regions = append(c.Regions, structs.Region{Name: s.name(0), Source: s.source()})
}

func addDomain(c *structs.Config, s *statement) {
	c.Domains = append(c.Domains, structs.FailureDomain{
		Name:                  s.name(0),
		Region:                s.text(keyRegion),
		KeyHome:               s.text(keyKeys) == "on",
		Racks:                 s.count(keyRacks),
		WorkersPerRack:        s.count(keyWorkersPerRack),
		AcceleratorsPerWorker: s.count(keyAccelPerWorker),
		Source:                s.source(),
	})
}

func addHost(c *structs.Config, s *statement) {
	c.Hosts = append(c.Hosts, structs.Host{
		Name:        s.name(0),
		Domain:      s.text(keyDomain),
		PeerAddress: s.text(keyPeer),
		Disk:        s.text(keyDisk) == "on",
		Source:      s.source(),
	})
}

func addLink(c *structs.Config, s *statement) {
	c.Links = append(c.Links, structs.Link{
		From:                s.name(0),
		To:                  s.name(1),
		BytesPerSecond:      s.num(keyCapacity),
		SpillBytesPerSecond: s.num(keySpill),
		Source:              s.source(),
	})
}

func addCustomer(c *structs.Config, s *statement) {
	weight := max(1, s.count(keyWeight))
	c.Customers = append(c.Customers, structs.Customer{Name: s.name(0), Weight: weight, Source: s.source()})
}

func addGuarantee(c *structs.Config, s *statement) {
	c.Guarantees = append(c.Guarantees, structs.Guarantee{
		Customer: s.name(0),
		Domain:   s.name(1),
		Shape: structs.Shape{
			Racks:        s.count(keyRacks),
			Workers:      s.count(keyWorkers),
			Accelerators: s.count(keyAccelerators),
		},
		Source: s.source(),
	})
}

func addQuota(c *structs.Config, s *statement) {
	c.Quotas = append(c.Quotas, structs.Quota{
		Customer:     s.name(0),
		Domain:       s.text(keyDomain),
		Accelerators: s.count(keyAccelerators),
		Source:       s.source(),
	})
}

func addService(c *structs.Config, s *statement) {
	c.Services = append(c.Services, structs.Service{
		Name:           s.name(0),
		Slots:          s.count(keySlots),
		Connections:    s.count(keyConnections),
		RetryBudget:    s.fraction(keyRetryBudget),
		MaxAttempts:    s.count(keyMaxAttempts),
		AttemptTimeout: s.duration(keyAttemptTimeout),
		Source:         s.source(),
	})
}

func addClass(c *structs.Config, s *statement) {
	c.Classes = append(c.Classes, structs.ClassRule{
		Service:         s.name(0),
		Class:           structs.Class(s.name(1)),
		ReservedSlots:   s.fraction(keyReserved),
		MaxQueue:        s.count(keyMaxQueue),
		DefaultDeadline: s.duration(keyDeadline),
		Source:          s.source(),
	})
}

// addGrant adds a grant. A grant for jobs without max-priority allows up to
// priority normal.
func addGrant(c *structs.Config, s *statement) {
	g := structs.Grant{
		Customer: s.name(0),
		Service:  s.text(keyService),
		Domain:   s.text(keyDomain),
		Source:   s.source(),
	}
	if g.Service == "" {
		g.MaxPriority = structs.PriorityNormal
	}
	if p := s.text(keyMaxPriority); p != "" {
		g.MaxPriority = structs.Priority(slices.Index(priorities, p))
	}
	c.Grants = append(c.Grants, g)
}

func addToken(c *structs.Config, s *statement) {
	c.Tokens = append(c.Tokens, structs.Token{
		SHA256:   s.name(0),
		Role:     structs.Role(s.text(keyRole)),
		Customer: s.text(keyCustomer),
		Source:   s.source(),
	})
}

func addKeys(c *structs.Config, s *statement) {
	c.Keys = structs.KeyPolicy{
		Retention: s.duration(keyRetention),
		MaxKeys:   s.count(keyMaxKeys),
		Source:    s.source(),
	}
}

func addPolicy(c *structs.Config, s *statement) {
	c.Policy = structs.Policy{
		Crest:      s.fraction(keyPeakDemand),
		Completion: s.fraction(keyCompletion),
		Source:     s.source(),
	}
}
