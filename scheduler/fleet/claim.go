package fleet

import (
	"time"

	"cranberrydrum.dev/scheduler/workload"
)

const (
	// claimSlack is how much longer than a stop a claim lives: the stop has to be
	// ordered, and its end to be listed and stored.
	claimSlack = 1500 * time.Millisecond
	// urgentClaimSlack is the same for a guarantee, which has to be met in time
	// when the first attempt fails as well.
	urgentClaimSlack = 800 * time.Millisecond
)

// claim is room that is kept for a unit while what occupies it stops.
type claim struct {
	on    []*executor
	need  workload.Resources
	until time.Duration
	// spread is set if the executors lie on several racks.
	spread bool
	// awaited are runs that were expected to end by themselves before due.
	awaited []*run
	due     time.Duration
}

// press stops the runs that were expected to end by themselves and have not.
func (cl *claim) press(now time.Duration, cfg *Settings) {
	if len(cl.awaited) == 0 || now < cl.due {
		return
	}
	for _, r := range cl.awaited {
		if r.stopWhy == "" {
			r.halt(now, stopPreempted)
		}
	}
	cl.awaited = nil
	cl.until = now + cfg.StopTime + claimSlack
}

// dropClaims ends claims whose unit does not wait any more, whose time is up, or
// whose executors take no runs any more.
func (c *Controller) dropClaims(now time.Duration, r *room, waiting map[unitKey]*unit) {
	for key, cl := range c.claims {
		if waiting[key] == nil || r.lacks(cl.on) || now >= cl.until {
			delete(c.claims, key)
		}
	}
}

// evict stops the victims and keeps their room.
func (c *Controller) evict(now time.Duration, r *room, u *unit, found []place) {
	if len(found) == 0 {
		return
	}
	slack := claimSlack
	if u.guaranteed {
		slack = urgentClaimSlack
	}
	cl := &claim{need: u.step.Room(), until: now + c.cfg.StopTime + slack, due: now + c.cfg.StopTime + soonSlack}
	stopped := 0
	for _, p := range found {
		cl.spread = cl.spread || p.executor.rack != found[0].executor.rack
		cl.on = append(cl.on, p.executor)
		for _, v := range p.victims {
			switch {
			case v.run.stopWhy != "":
			case v.ends:
				cl.awaited = append(cl.awaited, v.run)
			default:
				v.run.halt(now, stopPreempted)
				stopped++
			}
		}
	}
	c.claims[u.key] = cl
	r.charge(cl)
	c.log.Info("room reclaimed", "job", u.key.job, "step", u.key.step, "tasks", len(found), "stopped_runs", stopped, "guaranteed", u.guaranteed)
}
