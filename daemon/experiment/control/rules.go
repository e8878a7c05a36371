package control

import (
	"crypto/sha256"
	"encoding/hex"
	"strconv"
	"strings"

	"cranberrydrum.dev/daemon/node"
	"cranberrydrum.dev/scheduler/rules"
	"cranberrydrum.dev/scheduler/structs"
)

// Names and tokens of the measured deployment.
const (
	serviceName   = "service"
	workerToken   = "measured-worker"
	backendToken  = "measured-backend"
	operatorToken = "measured-operator"
	callerToken   = "measured-caller"
	workersInRack = 8
	// accelerators is the number of accelerators of a worker in the current
	// deployments.
	accelerators = 8
)

// rulesText returns rules with the given failure domains and customers. Each customer
// has the same four rules as in the example files.
func rulesText(domains []string, racks, perWorker, customers int) string {
	var b strings.Builder
	line := func(words ...string) { b.WriteString(strings.Join(words, " ") + " # Ada: measured\n") }
	line("region r")
	for _, d := range domains {
		line("failure-domain", d, "region=r", "racks="+strconv.Itoa(racks), "workers-per-rack="+strconv.Itoa(workersInRack), "accelerators-per-worker="+strconv.Itoa(perWorker), "keys=on")
	}
	for i := range customers {
		c := customerName(i)
		line("customer", c, "weight=1")
		line("quota", c, "accelerators=100000")
		line("grant", c, "service="+serviceName)
		line("grant", c, "max-priority=urgent")
	}
	line("service", serviceName, "slots=8", "connections=64", "retry-budget=10%", "max-attempts=3", "attempt-timeout=30s")
	for _, class := range []string{"urgent", "normal", "bulk"} {
		line("class", serviceName, class, "max-queue=400", "deadline=10s")
	}
	line("token", digestOf(workerToken), "role=worker")
	line("token", digestOf(backendToken), "role=backend")
	line("token", digestOf(operatorToken), "role=operator")
	line("token", digestOf(callerToken), "role=caller", "customer="+customerName(0))
	line("keys", "retention=1d", "max-keys=1000000")
	line("policy", "peak-demand=50%", "completion=50%")
	return b.String()
}

func customerName(i int) string { return "customer-" + strconv.Itoa(i) }

// digestOf returns the SHA-256 digest of a token as the rules state it.
func digestOf(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// parsedRules parses the text of rulesText.
func parsedRules(domains []string, racks, perWorker, customers int) (*structs.Config, error) {
	cfg, errs := rules.Parse("measured.rules", []byte(rulesText(domains, racks, perWorker, customers)), node.CheckGuarantees)
	if len(errs) > 0 {
		return nil, &SetupError{Step: "rules", Cause: errs[0]}
	}
	return cfg, nil
}
