package fleet

import (
	"slices"
	"time"

	"cranberrydrum.dev/scheduler/workload"
)

const (
	// reclaimOverhead is what reclaiming takes beside the stops: two entries of
	// the log, the orders and a list of ends, with a few round trips.
	reclaimOverhead = 1200 * time.Millisecond
	// secondReclaim is kept for a second attempt.
	secondReclaim = 800 * time.Millisecond
	// waitShare of the time that the objective leaves is waited for room that
	// becomes free by itself.
	waitShare = 0.2
	// worthwhileLoss is the work, in core-seconds, that an urgent job outside
	// the guarantees may cost others. Measured: one more job in time is worth
	// about as much as this work and its repetition.
	worthwhileLoss = 250
)

// mayReclaim reports whether others may have to stop for a unit now.
func (c *Controller) mayReclaim(now time.Duration, u *unit) bool {
	if u.job.Priority > 0 || u.class > 0 && !u.guaranteed {
		return false
	}
	wait := spareShare(u.job, waitShare)
	if u.guaranteed {
		wait = min(wait, c.cfg.Reclaim-c.cfg.StopTime-reclaimOverhead-secondReclaim)
	}
	return now-u.since >= wait
}

// reclaim makes room for an urgent unit. Tasks that found free room start at
// once unless they are a gang.
func (c *Controller) reclaim(now time.Duration, r *room, u *unit, places []place) []workload.Start {
	if u.step.Gang {
		r.restore(u, places)
		places = nil
	}
	if cl := c.claims[u.key]; cl != nil {
		// What has to stop for this unit is stopping already.
		cl.press(now, &c.cfg)
		if u.step.Gang {
			r.charge(cl)
		}
		return c.start(u, places)
	}
	rest := missing(u, places)
	found := c.clear(now, r, u, rest)
	if (len(found) < len(rest) && u.step.Gang) || (!u.guaranteed && loss(found) > worthwhileLoss*c.value(u.job)) {
		return c.start(u, places)
	}
	c.evict(now, r, u, found)
	return c.start(u, places)
}

func missing(u *unit, places []place) []int {
	var rest []int
	for _, n := range u.tasks {
		if !slices.ContainsFunc(places, func(p place) bool { return p.task == n }) {
			rest = append(rest, n)
		}
	}
	return rest
}
