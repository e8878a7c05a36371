package fleet

import (
	"cmp"
	"math"
	"slices"
	"time"

	"cranberrydrum.dev/scheduler/workload"
)

const (
	// demandHalfLife is how fast a past peak of urgent demand is forgotten: about
	// the time between two crests of demand.
	demandHalfLife = 20 * time.Second
	// maxReserved bounds the share of a pool that is kept for urgent jobs.
	maxReserved = 0.5
)

// demand follows the room that urgent jobs of a service need, in executors.
type demand struct {
	peak float64
	at   time.Duration
}

// observe takes note of the present need and returns what to expect.
func (d *demand) observe(now time.Duration, need float64) float64 {
	age := float64(now-d.at) / float64(demandHalfLife)
	d.peak = max(need, d.peak*math.Exp2(-age))
	d.at = now
	return d.peak
}

// reserve chooses the executors on which only urgent tasks are started. Work
// that is stopped for urgent tasks costs more than work that waits, so the room
// that urgent tasks needed lately is not given to others.
func (c *Controller) reserve(now time.Duration, r *room) {
	need := c.urgentNeed(r)
	for service, members := range r.byService() {
		d := c.demands[service]
		if d == nil {
			d = &demand{at: now}
			c.demands[service] = d
		}
		expected := d.observe(now, need[service])
		n := min(int(math.Round(expected)), int(maxReserved*float64(len(members))))
		r.idle[service] = used(members) < idlePool
		members = slices.DeleteFunc(members, func(e *executor) bool { return r.booked[e] != nil })
		n = min(n, len(members))
		c.sortForUrgent(members)
		for _, e := range members[:n] {
			r.reserved[e] = true
		}
	}
}

const (
	// idlePool is the share of a pool in use below which no job may wait for
	// better room, from the rules.
	idlePool = 0.5
	// idleWait is how long a job waits for better room in such a pool; the
	// rules allow 3 s, of which orders and their way take a part.
	idleWait = 2 * time.Second
)

// used is the share of a pool's scarcest resource that is in use.
func used(members []*executor) float64 {
	var capacity, taken workload.Resources
	for _, e := range members {
		capacity = capacity.Add(e.capacity)
		taken = taken.Add(e.used)
	}
	return share(taken, capacity)
}

// pressing reports whether a unit must not wait for better room any longer.
func (r *room) pressing(now time.Duration, u *unit) bool {
	return r.idle[u.job.Service] && now-u.since > idleWait && !u.job.AtWork()
}

// urgentNeed sums up the room, in executors, of the urgent tasks that run or wait.
func (c *Controller) urgentNeed(r *room) map[string]float64 {
	capacity := map[string]workload.Resources{}
	for _, e := range r.executors {
		capacity[e.service] = e.capacity
	}
	need := map[string]float64{}
	c.state.Jobs(func(j *workload.Job) {
		if j.Priority != 0 || j.Phase.Ended() {
			return
		}
		for k := range j.Occurrences {
			for i := range j.Spec.Steps {
				if j.Runnable(k, i) {
					need[j.Service] += float64(j.Occurrences[k].Steps[i].Remaining) * share(j.Spec.Steps[i].Room(), capacity[j.Service])
				}
			}
		}
	})
	return need
}

// share is the largest share of an executor's resources that a task needs.
func share(need, capacity workload.Resources) float64 {
	most := 0.0
	for _, part := range [][2]int64{{need.CPU, capacity.CPU}, {need.MemoryMB, capacity.MemoryMB}, {need.GPU, capacity.GPU}} {
		if part[1] > 0 {
			most = max(most, float64(part[0])/float64(part[1]))
		}
	}
	return most
}

// sortForUrgent puts executors first that have little other work, in racks that
// have little of it, so that the choice stays the same from round to round.
func (c *Controller) sortForUrgent(members []*executor) {
	own := map[*executor]float64{}
	rack := map[string]float64{}
	for _, e := range members {
		for key := range e.runs {
			j := c.state.Job(key.Job)
			if j.Priority == 0 {
				continue
			}
			load := share(j.Spec.Steps[key.Step].Room(), e.capacity)
			own[e] += load
			rack[e.rack] += load
		}
	}
	slices.SortStableFunc(members, func(a, b *executor) int {
		switch {
		case rack[a.rack] != rack[b.rack]:
			return cmp.Compare(rack[a.rack], rack[b.rack])
		case a.rack != b.rack:
			return cmp.Compare(a.rack, b.rack)
		}
		return cmp.Compare(own[a], own[b])
	})
}
