package rules

import (
	"slices"
	"strconv"

	"cranberrydrum.dev/scheduler/structs"
)

func itoa(n int) string { return strconv.Itoa(n) }

func (c *checker) checkLinks() {
	for _, s := range c.sound[kwLink] {
		if s.name(0) == s.name(1) {
			c.fail(s.line, s.names[1].column, CodeLinkSameRegion, "link joins region "+quote(s.name(0))+" to itself", "name two regions")
		}
		if s.num(keySpill) > s.num(keyCapacity) {
			c.failAt(s, keySpill, CodeSpillOver, "spill is larger than the capacity of the link", "allowed is up to "+kindRate.formatNumber(s.num(keyCapacity)))
		}
	}
}

func (c *checker) checkServices() {
	type key struct{ service, class string }
	present := map[key]bool{}
	for _, s := range c.sound[kwClass] {
		present[key{s.name(0), s.name(1)}] = true
	}
	for _, s := range c.sound[kwService] {
		if s.num(keyConnections) < s.num(keySlots) {
			c.failAt(s, keyConnections, CodeFewConnections, "service "+quote(s.name(0))+" has fewer connections than slots", "each request in progress needs a connection")
		}
		for _, class := range classes {
			if !present[key{s.name(0), class}] {
				c.failMissingClass(s, class)
			}
		}
	}
}

// failMissingClass requires a rule for each class of a service, so that no
// request meets a class without limits.
func (c *checker) failMissingClass(service *statement, class string) {
	if !c.whole(kwClass) {
		return
	}
	c.fail(service.line, service.column, CodeMissingRule, "service "+quote(service.name(0))+" has no rule for class "+class, "add: class "+service.name(0)+" "+class)
}

// checkClasses reports the class rule with which the reserved shares of a
// service exceed the whole.
func (c *checker) checkClasses() {
	sums := map[string]int64{}
	for _, s := range c.sound[kwClass] {
		before := sums[s.name(0)]
		after := before + s.num(keyReserved)
		sums[s.name(0)] = after
		if before <= hundredPercent && after > hundredPercent {
			c.failAt(s, keyReserved, CodeReservedOver, "reserved shares of service "+quote(s.name(0))+" add up to "+formatPercent(after), "at most 100% can be reserved")
		}
	}
}

func (c *checker) checkGrants() {
	for _, s := range c.sound[kwGrant] {
		_, hasPriority := s.lookup(keyMaxPriority)
		if hasPriority && s.text(keyService) != "" {
			c.failAt(s, keyMaxPriority, CodeFieldNotAllowed, "max-priority applies to jobs, not to a service", "remove it, or grant jobs in a rule without service")
		}
	}
}

func (c *checker) checkTokens() {
	operators := 0
	for _, s := range c.all[kwToken] {
		role := structs.Role(s.text(keyRole))
		if role == structs.RoleOperator {
			operators++
		}
		if s.broken {
			continue
		}
		_, hasCustomer := s.lookup(keyCustomer)
		if role == structs.RoleCaller && !hasCustomer {
			c.fail(s.line, s.column, CodeMissingField, "token of a caller needs the field \"customer\"", "write customer=<name>")
		}
		if role != structs.RoleCaller && hasCustomer {
			c.failAt(s, keyCustomer, CodeFieldNotAllowed, "customer applies only to tokens of callers", "remove it")
		}
	}
	if operators == 0 && c.whole(kwToken) {
		c.fail(0, 0, CodeNoOperatorToken, "no token has the role operator", "without one, no later change could be applied")
	}
}

func (c *checker) checkPolicy() {
	for _, s := range c.sound[kwPolicy] {
		if s.num(keyPeakDemand) == 0 && s.num(keyCompletion) == 0 {
			c.failAt(s, keyPeakDemand, CodePolicyWithoutShare, "both shares of the policy are zero", "give at least one of them a weight")
		}
	}
}

// checkKeyHomes requires a home for request keys; without one, no
// non-idempotent request and no job without a failure domain could run.
func (c *checker) checkKeyHomes() {
	isHome := func(s *statement) bool { return s.text(keyKeys) == "on" }
	if c.whole(kwDomain) && !slices.ContainsFunc(c.all[kwDomain], isHome) {
		c.fail(0, 0, CodeNoKeyHome, "no failure domain has keys=on", "mark the failure domains that may keep request keys")
	}
}
