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

// observe records the end of a run and reports whether a quarantine began. Without room in the
// quarantine of the pool, the next failure of another job is judged anew.
func (h *health) observe(now time.Duration, job string, ending workload.Ending, room *quarantineRoom) bool {
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
	h.failures = min(h.failures+1, failuresToQuarantine)
	if h.failures < failuresToQuarantine || !room.take() {
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

// quarantineRoom is the number of executors of a pool that may be quarantined, and of those that are
// suspended. A pool that is suspended as a whole keeps sound jobs waiting, whatever has failed there.
type quarantineRoom struct{ members, suspended int }

// take takes the room for an executor if there is some. One executor may be quarantined if it is not
// the only one.
func (r *quarantineRoom) take() bool {
	if r.members < 2 || float64(r.suspended+1) > max(1, maxQuarantinedShare*float64(r.members)) {
		return false
	}
	r.suspended++
	return true
}

// quarantineRooms returns the room of each pool, by service.
func (c *Controller) quarantineRooms(now time.Duration) map[string]*quarantineRoom {
	rooms := map[string]*quarantineRoom{}
	for _, e := range c.executors {
		if e.draining {
			continue
		}
		room := rooms[e.service]
		if room == nil {
			room = &quarantineRoom{}
			rooms[e.service] = room
		}
		room.members++
		if now < e.health.suspendedUntil {
			room.suspended++
		}
	}
	return rooms
}

// roomFor returns the room of the pool of an executor, which is none for a draining one alone.
func (c *Controller) roomFor(now time.Duration, e *executor) *quarantineRoom {
	if room := c.quarantineRooms(now)[e.service]; room != nil {
		return room
	}
	return &quarantineRoom{}
}
