package placement

import (
	"strconv"

	"cranberrydrum.dev/scheduler/structs"
)

// NeverReason is the reason why a job can never run in a failure domain.
type NeverReason string

// Reasons why a job can never run.
const (
	NeverNoAccelerators NeverReason = "no_accelerators"
	NeverDomainTooSmall NeverReason = "domain_too_small"
	NeverOverQuota      NeverReason = "over_quota"
)

// NeverRunnableError reports a job that requests more accelerators than its
// customer can ever get in the failure domain, or none.
type NeverRunnableError struct {
	Reason NeverReason
	// Wanted and Limit are numbers of accelerators.
	Wanted, Limit int
}

// Error implements error.
func (e *NeverRunnableError) Error() string {
	wanted := strconv.Itoa(e.Wanted)
	limit := strconv.Itoa(e.Limit)
	switch e.Reason {
	case NeverOverQuota:
		return "the gang of " + wanted + " accelerators exceeds the customer's quota of " + limit
	case NeverDomainTooSmall:
		return "the gang of " + wanted + " accelerators exceeds the failure domain's " + limit
	default:
		return "a gang needs at least one accelerator"
	}
}

// NeverRunnable returns the reason why a job can never run under the rules, or
// nil. It is meant for the check at submission. If no topology is configured, the
// capacity is unknown and not checked.
func NeverRunnable(rules Rules, spec structs.JobSpec) *NeverRunnableError {
	t := rules.Topology
	capacity := t.Racks * t.WorkersPerRack * t.AcceleratorsPerWorker
	return neverRunnable(capacity, quotaOf(rules, spec.Customer), spec.Accelerators)
}

// neverRunnable checks a gang against a capacity (0: unknown) and a quota
// (negative: unlimited).
func neverRunnable(capacity, quota, wanted int) *NeverRunnableError {
	if wanted <= 0 {
		return &NeverRunnableError{Reason: NeverNoAccelerators, Wanted: wanted}
	}
	if quota >= 0 && wanted > quota {
		return &NeverRunnableError{Reason: NeverOverQuota, Wanted: wanted, Limit: quota}
	}
	if capacity > 0 && wanted > capacity {
		return &NeverRunnableError{Reason: NeverDomainTooSmall, Wanted: wanted, Limit: capacity}
	}
	return nil
}

// unlimited is the quota of a customer without a quota rule.
const unlimited = -1

// quotaOf returns the smallest quota that applies to a customer in the domain.
func quotaOf(rules Rules, customer string) int {
	quota := unlimited
	for _, q := range rules.Quotas {
		if q.Customer != customer || (q.Domain != "" && q.Domain != rules.Domain) {
			continue
		}
		if quota == unlimited || q.Accelerators < quota {
			quota = q.Accelerators
		}
	}
	return quota
}
