package fleet

import "strconv"

// AdmissionVerdict is the decision about the submission of a job.
type AdmissionVerdict uint8

// Decisions. All but AdmissionRefused admit the job.
const (
	// AdmissionNotFull means that no work waits in the pool, or a task fits now.
	AdmissionNotFull AdmissionVerdict = iota
	// AdmissionInTime means that the job may still have value when it completes.
	AdmissionInTime
	// AdmissionGuaranteed means that the job lies within the guarantee of its customer.
	AdmissionGuaranteed
	// AdmissionRepeated means that the job was admitted before and may be in the log.
	AdmissionRepeated
	// AdmissionUnsupported means that too few finished runs support an estimate.
	AdmissionUnsupported
	// AdmissionExempt means that jobs of this kind are never refused.
	AdmissionExempt
	AdmissionRefused
	admissionVerdicts
)

// String returns the name used in logs and metrics.
func (v AdmissionVerdict) String() string {
	return [...]string{"not_full", "in_time", "guaranteed", "repeated", "unsupported", "exempt", "refused"}[v]
}

// admissionCount is what was counted for one priority.
type admissionCount struct {
	verdicts                   [admissionVerdicts]int
	becameAvailable, valueless int
}

// AdmissionCounts counts decisions about submissions and their errors, by priority.
type AdmissionCounts struct{ byPriority map[int]*admissionCount }

func (c *AdmissionCounts) of(priority int) *admissionCount {
	if c.byPriority == nil {
		c.byPriority = map[int]*admissionCount{}
	}
	count := c.byPriority[priority]
	if count == nil {
		count = &admissionCount{}
		c.byPriority[priority] = count
	}
	return count
}

// EachVerdict calls f for each priority and verdict with at least one decision.
func (c *AdmissionCounts) EachVerdict(f func(priority, verdict string, jobs int)) {
	for priority, count := range c.byPriority {
		for verdict, jobs := range count.verdicts {
			if jobs > 0 {
				f(strconv.Itoa(priority), AdmissionVerdict(verdict).String(), jobs)
			}
		}
	}
}

// EachError calls f for each priority with the number of jobs that were refused although
// capacity became available in time, and of those that were accepted and had no value.
func (c *AdmissionCounts) EachError(f func(priority string, becameAvailable, valueless int)) {
	for priority, count := range c.byPriority {
		if count.becameAvailable > 0 || count.valueless > 0 {
			f(strconv.Itoa(priority), count.becameAvailable, count.valueless)
		}
	}
}
