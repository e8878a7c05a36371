package fleet

import "time"

// pauseShare is the share of the report interval above which the time between two
// steps counts as a pause of this host. Steps are much more frequent, and a
// shorter gap cannot make an executor look silent.
const pauseShare = 0.5

// excludePause moves the times from which silence is measured by the length of a
// pause of this host, in which it made no decisions. What the executors sent
// meanwhile is still unread, so the pause must not count as their silence.
// Leases are not moved: they expire on the clocks of the executors.
func (c *Controller) excludePause(now time.Duration) {
	pause := now - c.lastStep
	c.lastStep = now
	if float64(pause) <= pauseShare*float64(c.cfg.ReportInterval) {
		return
	}
	c.log.Info("no decisions for some time; it does not count as silence of executors", "paused_ms", pause.Milliseconds(), "executors", len(c.executors))
	for _, e := range c.executors {
		e.lastHeard = min(now, e.lastHeard+pause)
		e.uncheckedList = true
		for _, r := range e.runs {
			r.excludePause(now, pause)
		}
	}
}

func (r *run) excludePause(now, pause time.Duration) {
	r.progressedAt = min(now, r.progressedAt+pause)
	if r.stopCause != "" {
		r.stopRequestedAt = min(now, r.stopRequestedAt+pause)
	}
	if r.firstSent > 0 {
		r.firstSent = min(now, r.firstSent+pause)
	}
	if r.wasListed {
		r.firstListedAt = min(now, r.firstListedAt+pause)
		r.lastListedAt = min(now, r.lastListedAt+pause)
	}
}
