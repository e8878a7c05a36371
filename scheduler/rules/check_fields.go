package rules

import (
	"slices"
	"strconv"

	"cranberrydrum.dev/scheduler/structs"
)

func itoa(n int) string { return strconv.Itoa(n) }

func (c *checker) checkLinks() {
	for _, s := range c.valid[kwLink] {
		if s.name(0) == s.name(1) {
			c.addError(s.line, s.names[1].column, CodeLinkWithinRegion, "link joins region "+quote(s.name(0))+" to itself", "name two regions")
		}
		if s.num(keySpill) > s.num(keyCapacity) {
			c.addErrorAt(s, keySpill, CodeSpillOverCapacity, "spill is larger than the capacity of the link", "allowed is up to "+kindRate.formatNumber(s.num(keyCapacity)))
		}
	}
}

func (c *checker) checkServices() {
	type key struct{ service, class string }
	present := map[key]bool{}
	for _, s := range c.valid[kwClass] {
		present[key{s.name(0), s.name(1)}] = true
	}
	for _, s := range c.valid[kwService] {
		if s.num(keyConnections) < s.num(keySlots) {
			c.addErrorAt(s, keyConnections, CodeFewerConnectionsThanSlots, "service "+quote(s.name(0))+" has fewer connections than slots", "each request in progress needs a connection")
		}
		for _, class := range classes {
			if !present[key{s.name(0), class}] {
				c.addMissingClassError(s, class)
			}
		}
	}
}

// addMissingClassError reports that a service has no rule for a class. Each
// service needs a rule for each class, so that every request has a queue limit
// and a default deadline. Nothing is reported while a class rule is malformed,
// because that rule may be the missing one.
func (c *checker) addMissingClassError(service *statement, class string) {
	if !c.allWellFormed(kwClass) {
		return
	}
	c.addError(service.line, service.column, CodeMissingRule, "service "+quote(service.name(0))+" has no rule for class "+class, "add: class "+service.name(0)+" "+class)
}

// checkClasses reports the class rule with which the sum of the reserved
// shares of a service exceeds 100%.
func (c *checker) checkClasses() {
	sums := map[string]int64{}
	for _, s := range c.valid[kwClass] {
		before := sums[s.name(0)]
		after := before + s.num(keyReserved)
		sums[s.name(0)] = after
		if before <= hundredPercent && after > hundredPercent {
			c.addErrorAt(s, keyReserved, CodeReservedOver100Percent, "reserved shares of service "+quote(s.name(0))+" add up to "+formatPercent(after), "at most 100% can be reserved")
		}
	}
}

func (c *checker) checkGrants() {
	for _, s := range c.valid[kwGrant] {
		_, hasPriority := s.lookup(keyMaxPriority)
		if hasPriority && s.text(keyService) != "" {
			c.addErrorAt(s, keyMaxPriority, CodeFieldNotAllowed, "max-priority applies to jobs, not to a service", "remove it, or grant jobs in a rule without service")
		}
	}
}

func (c *checker) checkTokens() {
	operators := 0
	for _, s := range c.byKeyword[kwToken] {
		role := structs.Role(s.text(keyRole))
		if role == structs.RoleOperator {
			operators++
		}
		if s.malformed {
			continue
		}
		_, hasCustomer := s.lookup(keyCustomer)
		if role == structs.RoleCaller && !hasCustomer {
			c.addError(s.line, s.column, CodeMissingField, "token of a caller needs the field \"customer\"", "write customer=<name>")
		}
		if role != structs.RoleCaller && hasCustomer {
			c.addErrorAt(s, keyCustomer, CodeFieldNotAllowed, "customer applies only to tokens of callers", "remove it")
		}
	}
	if operators == 0 && c.allWellFormed(kwToken) {
		c.addError(0, 0, CodeNoOperatorToken, "no token has the role operator", "without one, no later change could be applied")
	}
}

func (c *checker) checkPolicy() {
	for _, s := range c.valid[kwPolicy] {
		if s.num(keyPeakDemand) == 0 && s.num(keyCompletion) == 0 {
			c.addErrorAt(s, keyPeakDemand, CodePolicyWithoutShare, "both shares of the policy are zero", "give at least one of them a weight")
		}
	}
}

// checkKeyHomes requires at least one failure domain that can be a home of
// request keys. Without one, no non-idempotent request and no job without a
// failure domain could run.
func (c *checker) checkKeyHomes() {
	isHome := func(s *statement) bool { return s.text(keyKeys) == "on" }
	if c.allWellFormed(kwDomain) && !slices.ContainsFunc(c.byKeyword[kwDomain], isHome) {
		c.addError(0, 0, CodeNoKeyHome, "no failure domain has keys=on", "mark the failure domains that may keep request keys")
	}
}
