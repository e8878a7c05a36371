package rules

// capacity is an amount of accelerators as whole racks, workers that are not
// part of such a rack, and accelerators in all. Units are counts.
type capacity struct {
	racks        int64
	workers      int64
	accelerators int64
}

// demand returns what a guarantee takes from the topology of a domain. Workers
// include those of whole racks, and accelerators those of whole workers.
func demand(guarantee, domain *statement) capacity {
	racks := guarantee.num(keyRacks)
	workers := racks*domain.num(keyWorkersPerRack) + guarantee.num(keyWorkers)
	return capacity{
		racks:        racks,
		workers:      workers,
		accelerators: workers*domain.num(keyAccelPerWorker) + guarantee.num(keyAccelerators),
	}
}

func topology(domain *statement) capacity {
	workers := domain.num(keyRacks) * domain.num(keyWorkersPerRack)
	return capacity{
		racks:        domain.num(keyRacks),
		workers:      workers,
		accelerators: workers * domain.num(keyAccelPerWorker),
	}
}

func (c capacity) plus(o capacity) capacity {
	return capacity{c.racks + o.racks, c.workers + o.workers, c.accelerators + o.accelerators}
}

// excess names the first amount in which c is larger than the limit.
func (c capacity) excess(limit capacity) string {
	switch {
	case c.racks > limit.racks:
		return itoa(int(c.racks)) + " racks of " + itoa(int(limit.racks))
	case c.workers > limit.workers:
		return itoa(int(c.workers)) + " workers of " + itoa(int(limit.workers))
	case c.accelerators > limit.accelerators:
		return itoa(int(c.accelerators)) + " accelerators of " + itoa(int(limit.accelerators))
	}
	return ""
}

// checkGuarantees adds up the guarantees of each failure domain. The sum is a
// necessary condition only; a GuaranteeCheck decides whether all shapes fit.
func (c *checker) checkGuarantees() {
	sums := map[string]capacity{}
	grants := c.jobGrants()
	for _, s := range c.sound[kwGuarantee] {
		if demandIsZero(s) {
			c.fail(s.line, s.column, CodeGuaranteeEmpty, "guarantee has neither racks nor workers nor accelerators", "give at least one of them")
		}
		c.checkJobGrant(s, grants)
		domain := c.domains[s.name(1)]
		if domain == nil {
			continue
		}
		limit := topology(domain)
		before := sums[s.name(1)]
		after := before.plus(demand(s, domain))
		sums[s.name(1)] = after
		if before.excess(limit) == "" && after.excess(limit) != "" {
			c.fail(s.line, s.column, CodeGuaranteeUnfit, "guarantees in failure domain "+quote(s.name(1))+" need "+after.excess(limit), "reduce a guarantee or correct the topology of the failure domain")
		}
	}
}

func demandIsZero(s *statement) bool {
	return s.num(keyRacks) == 0 && s.num(keyWorkers) == 0 && s.num(keyAccelerators) == 0
}

// scope is a customer in a failure domain; an empty domain stands for all.
type scope struct{ customer, domain string }

// jobGrants returns where customers may submit jobs.
func (c *checker) jobGrants() map[scope]bool {
	grants := map[scope]bool{}
	for _, s := range c.sound[kwGrant] {
		if s.text(keyService) == "" {
			grants[scope{s.name(0), s.text(keyDomain)}] = true
		}
	}
	return grants
}

// checkJobGrant requires that the customer may submit jobs in the failure
// domain; otherwise the guarantee keeps accelerators that nobody can use.
func (c *checker) checkJobGrant(guarantee *statement, grants map[scope]bool) {
	customer, domain := guarantee.name(0), guarantee.name(1)
	if grants[scope{customer, domain}] || grants[scope{customer, ""}] || !c.whole(kwGrant) {
		return
	}
	c.fail(guarantee.line, guarantee.column, CodeGuaranteeNoGrant,
		"customer "+quote(customer)+" may not submit jobs in failure domain "+quote(domain),
		"add: grant "+customer+" "+keyDomain+"="+domain)
}

func (c *checker) checkQuotas() {
	byCustomer := map[string][]*statement{}
	for _, s := range c.sound[kwGuarantee] {
		byCustomer[s.name(0)] = append(byCustomer[s.name(0)], s)
	}
	for _, quota := range c.sound[kwQuota] {
		for _, guarantee := range byCustomer[quota.name(0)] {
			c.checkQuota(quota, guarantee)
		}
	}
}

func (c *checker) checkQuota(quota, guarantee *statement) {
	limited := quota.text(keyDomain)
	domain := c.domains[guarantee.name(1)]
	if domain == nil || (limited != "" && limited != guarantee.name(1)) {
		return
	}
	need := demand(guarantee, domain).accelerators
	if quota.num(keyAccelerators) < need {
		c.failAt(quota, keyAccelerators, CodeQuotaBelow,
			"quota of customer "+quote(quota.name(0))+" is smaller than its guarantee of "+itoa(int(need))+" accelerators in "+quote(guarantee.name(1)),
			"the guarantee is in line "+itoa(guarantee.line))
	}
}
