package fleet

import (
	"math"
	"time"

	"cranberrydrum.dev/scheduler/workload"
)

const (
	// maxSequence is the largest whole number that every reader of JSON keeps exactly.
	maxSequence = 1<<53 - 1
	// maxReportedTime leaves room to add a time of this process.
	maxReportedTime = time.Duration(math.MaxInt64 / 2)
	// maxDomainBytes bounds what the directory stores of the name of a failure domain.
	maxDomainBytes = 256
)

// Validate returns a *workload.ExecutorError if the report cannot be that of an executor.
func (r *Report) Validate() error {
	entry := workload.Executor{Key: r.Executor, Address: r.Address, Capacity: r.Capacity}
	if err := entry.Validate(); err != nil {
		return err
	}
	switch {
	case r.Sequence < 0 || r.Sequence > maxSequence:
		return &workload.ExecutorError{Field: "sequence", Reason: "out of range"}
	case r.Clock < 0 || r.Clock > maxReportedTime:
		return &workload.ExecutorError{Field: "clock", Reason: "out of range"}
	case len(r.Domain) > maxDomainBytes:
		return &workload.ExecutorError{Field: "domain", Reason: "too long"}
	case r.ColdRemaining < 0 || r.ColdRemaining > maxReportedTime:
		return &workload.ExecutorError{Field: "cold_remaining", Reason: "out of range"}
	case r.DrainRemaining < 0 || r.DrainRemaining > maxReportedTime:
		return &workload.ExecutorError{Field: "drain_remaining", Reason: "out of range"}
	}
	return nil
}
