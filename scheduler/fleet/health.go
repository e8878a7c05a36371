package fleet

import (
	"time"

	"cranberrydrum.dev/scheduler/workload"
)

const (
	// failuresToQuarantine is the number of consecutive failed runs, of
	// different jobs, after which an executor is quarantined.
	failuresToQuarantine = 2
	// firstQuarantine is the length of the first quarantine. Each further one
	// is twice as long, up to maxQuarantine.
	firstQuarantine = 4 * time.Second
	maxQuarantine   = 30 * time.Second
	// refusalPause keeps new runs off an executor that refused a start.
	refusalPause = 500 * time.Millisecond
)

// health tracks failed runs to distinguish faulty executors from faulty jobs.
type health struct {
	// lastFailedJob is the job of the latest failed run.
	lastFailedJob string
	failures      int
	// suspendedUntil is when the quarantine, or the pause after a refused start,
	// ends.
	suspendedUntil time.Duration
	quarantines    int
}

// observe records the end of a run and reports whether a quarantine began.
func (h *health) observe(now time.Duration, job string, ending workload.Ending) bool {
	switch ending {
	case workload.EndDone:
		*h = health{}
		return false
	case workload.EndFailed:
	default:
		return false
	}
	// Runs that fail during a quarantine started before it, so their failure
	// must not prolong it.
	if job == h.lastFailedJob || now < h.suspendedUntil {
		return false
	}
	h.lastFailedJob = job
	h.failures++
	if h.failures < failuresToQuarantine {
		return false
	}
	h.quarantine(now)
	return true
}

// quarantine suspends new runs. After a quarantine, a single failure starts the
// next one.
func (h *health) quarantine(now time.Duration) {
	span := min(firstQuarantine<<min(h.quarantines, 8), maxQuarantine)
	h.suspendedUntil = now + span
	h.quarantines++
	h.failures = failuresToQuarantine - 1
	h.lastFailedJob = ""
}

func (h *health) pause(now time.Duration) {
	h.suspendedUntil = max(h.suspendedUntil, now+refusalPause)
}
