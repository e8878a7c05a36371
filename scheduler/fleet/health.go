package fleet

import (
	"time"

	"cranberrydrum.dev/scheduler/workload"
)

const (
	// failuresToQuarantine is the number of failed runs in a row, of different
	// jobs, after which an executor is suspected.
	failuresToQuarantine = 2
	// firstQuarantine grows by its double with each further one.
	firstQuarantine = 4 * time.Second
	maxQuarantine   = 30 * time.Second
	// refusalPause keeps new runs off an executor that refused a start.
	refusalPause = 500 * time.Millisecond
)

// health tells executors that fail from jobs that fail.
type health struct {
	// lastJob is the job of the latest failed run.
	lastJob  string
	failures int
	// until is the end of the quarantine.
	until    time.Duration
	quarters int
}

// observe takes note of an end and reports whether a quarantine began.
func (h *health) observe(now time.Duration, job string, ending workload.Ending) bool {
	switch ending {
	case workload.EndDone:
		*h = health{}
		return false
	case workload.EndFailed:
	default:
		return false
	}
	// Runs that fail during a quarantine began before it, so they tell nothing
	// about its end.
	if job == h.lastJob || now < h.until {
		return false
	}
	h.lastJob = job
	h.failures++
	if h.failures < failuresToQuarantine {
		return false
	}
	h.quarantine(now)
	return true
}

// quarantine keeps new runs away; after it a single failure begins the next one.
func (h *health) quarantine(now time.Duration) {
	span := min(firstQuarantine<<min(h.quarters, 8), maxQuarantine)
	h.until = now + span
	h.quarters++
	h.failures = failuresToQuarantine - 1
	h.lastJob = ""
}

func (h *health) pause(now time.Duration) { h.until = max(h.until, now+refusalPause) }
