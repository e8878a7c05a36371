package target

import (
	"crypto/sha256"
	"encoding/hex"
	"strconv"
	"strings"
)

// Names and tokens of the deployment.
const (
	serviceName   = "forwarded"
	workerToken   = "target-worker"
	backendToken  = "target-backend"
	operatorToken = "target-operator"
	callerToken   = "target-caller"
	workersInRack = 8
	// guaranteedWorkers is the size of a guarantee. 4 workers of 18 accelerators
	// hold the largest urgent gang.
	guaranteedWorkers = 4
	// firstQuota is the quota of each customer, in accelerators, before the first
	// edit.
	firstQuota = 2_000
)

func domainName(i int) string { return "d" + strconv.Itoa(i+1) }

// regionName returns the region of a failure domain. The first half of the failure
// domains is in r1 and the rest in r2.
func regionName(domain, domains int) string {
	if domain < (domains+1)/2 {
		return "r1"
	}
	return "r2"
}

func customerName(i int) string { return "customer-" + strconv.Itoa(i) }

// rulesText returns the rules of a run. The edit number is added to one quota, so
// that each text differs from the previous one.
func rulesText(s size, edit int) string {
	var b strings.Builder
	line := func(words ...string) { b.WriteString(strings.Join(words, " ") + " # Ada: target run\n") }
	line("region r1")
	line("region r2")
	line("link r1 r2 capacity=30Mbit/s spill=30Mbit/s")
	racks := s.workers / s.domains / workersInRack
	for d := range s.domains {
		line("failure-domain", domainName(d), "region="+regionName(d, s.domains), "racks="+strconv.Itoa(racks),
			"workers-per-rack="+strconv.Itoa(workersInRack), "accelerators-per-worker="+strconv.Itoa(s.perWorker), "keys=on")
	}
	for i := range s.customers {
		c := customerName(i)
		quota := firstQuota
		if i == s.customers-1 {
			quota += edit
		}
		line("customer", c, "weight=1")
		line("quota", c, "accelerators="+strconv.Itoa(quota))
		line("grant", c, "service="+serviceName)
		line("grant", c, "max-priority=urgent")
		for d := range s.domains {
			if i < s.guaranteed {
				line("guarantee", c, domainName(d), "workers="+strconv.Itoa(guaranteedWorkers))
			}
		}
	}
	line("service", serviceName, "slots=8 connections=64 retry-budget=10% max-attempts=3 attempt-timeout=30s")
	for _, class := range []string{"urgent", "normal", "bulk"} {
		line("class", serviceName, class, "max-queue=400 deadline=10s")
	}
	line("token", digestOf(workerToken), "role=worker")
	line("token", digestOf(backendToken), "role=backend")
	line("token", digestOf(operatorToken), "role=operator")
	line("token", digestOf(callerToken), "role=caller", "customer="+customerName(0))
	line("keys retention=1d max-keys=1000000")
	line("policy peak-demand=50% completion=50%")
	return b.String()
}

// digestOf returns the SHA-256 digest of a token as the rules state it.
func digestOf(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}
