package rules

// capacity counts racks, workers and accelerators. Workers include those of
// the counted racks, and accelerators include those of the counted workers.
type capacity struct {
	racks        int64
	workers      int64
	accelerators int64
}

// demand returns the capacity that a guarantee takes from the topology of a
// failure domain. Workers include those of whole racks, and accelerators
// include those of whole workers.
func demand(guarantee, domain *statement) capacity {
	racks := guarantee.num(keyRacks)
	workers := racks*domain.num(keyWorkersPerRack) + guarantee.num(keyWorkers)
	return capacity{
		racks:        racks,
		workers:      workers,
		accelerators: workers*domain.num(keyAccelPerWorker) + guarantee.num(keyAccelerators),
	}
}

// domainCapacity returns the capacity of the topology of a failure domain.
func domainCapacity(domain *statement) capacity {
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

// describeExcess describes the first count of c that is larger than in limit,
// or returns "" if there is none.
func (c capacity) describeExcess(limit capacity) string {
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

// checkGuarantees requires that the sum of the guarantees of each failure
// domain is within its topology. This is only a necessary condition; a
// GuaranteeCheck decides whether all shapes fit.
func (c *checker) checkGuarantees() {
	sums := map[string]capacity{}
	grants := c.jobGrants()
	for _, s := range c.valid[kwGuarantee] {
		if isEmptyGuarantee(s) {
			c.addError(s.line, s.column, CodeGuaranteeEmpty, "guarantee has neither racks nor workers nor accelerators", "give at least one of them")
		}
		c.checkJobGrant(s, grants)
		domain := c.domains[s.name(1)]
		if domain == nil {
			continue
		}
		limit := domainCapacity(domain)
		before := sums[s.name(1)]
		after := before.plus(demand(s, domain))
		sums[s.name(1)] = after
		if before.describeExcess(limit) == "" && after.describeExcess(limit) != "" {
			c.addError(s.line, s.column, CodeGuaranteeDoesNotFit, "guarantees in failure domain "+quote(s.name(1))+" need "+after.describeExcess(limit), "reduce a guarantee or correct the topology of the failure domain")
		}
	}
}

func isEmptyGuarantee(s *statement) bool {
	return s.num(keyRacks) == 0 && s.num(keyWorkers) == 0 && s.num(keyAccelerators) == 0
}

// grantScope is a customer in a failure domain. An empty domain means all
// failure domains.
type grantScope struct{ customer, domain string }

// jobGrants returns the scopes in which customers may submit jobs.
func (c *checker) jobGrants() map[grantScope]bool {
	grants := map[grantScope]bool{}
	for _, s := range c.valid[kwGrant] {
		if s.text(keyService) == "" {
			grants[grantScope{s.name(0), s.text(keyDomain)}] = true
		}
	}
	return grants
}

// checkJobGrant requires that the customer of a guarantee may submit jobs in
// its failure domain. Otherwise the guarantee would reserve accelerators that no
// job can use.
func (c *checker) checkJobGrant(guarantee *statement, grants map[grantScope]bool) {
	customer, domain := guarantee.name(0), guarantee.name(1)
	if grants[grantScope{customer, domain}] || grants[grantScope{customer, ""}] || !c.allWellFormed(kwGrant) {
		return
	}
	c.addError(guarantee.line, guarantee.column, CodeGuaranteeWithoutGrant,
		"customer "+quote(customer)+" may not submit jobs in failure domain "+quote(domain),
		"add: grant "+customer+" "+keyDomain+"="+domain)
}

func (c *checker) checkQuotas() {
	byCustomer := map[string][]*statement{}
	for _, s := range c.valid[kwGuarantee] {
		byCustomer[s.name(0)] = append(byCustomer[s.name(0)], s)
	}
	for _, quota := range c.valid[kwQuota] {
		for _, guarantee := range byCustomer[quota.name(0)] {
			c.checkQuota(quota, guarantee)
		}
	}
}

// checkQuota requires that a quota allows at least the accelerators of a
// guarantee of the same customer, if the quota applies to its failure domain.
func (c *checker) checkQuota(quota, guarantee *statement) {
	quotaDomain := quota.text(keyDomain)
	domain := c.domains[guarantee.name(1)]
	if domain == nil || (quotaDomain != "" && quotaDomain != guarantee.name(1)) {
		return
	}
	need := demand(guarantee, domain).accelerators
	if quota.num(keyAccelerators) < need {
		c.addErrorAt(quota, keyAccelerators, CodeQuotaBelowGuarantee,
			"quota of customer "+quote(quota.name(0))+" is smaller than its guarantee of "+itoa(int(need))+" accelerators in "+quote(guarantee.name(1)),
			"the guarantee is in line "+itoa(guarantee.line))
	}
}
