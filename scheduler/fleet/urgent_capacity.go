package fleet

import (
	"cmp"
	"math"
	"slices"
	"time"

	"cranberrydrum.dev/scheduler/workload"
)

const (
	// demandHalfLife is the half-life of a past peak of urgent demand. It is
	// about the time between two peaks.
	demandHalfLife = 20 * time.Second
	// maxUrgentOnlyShare is the largest share of a pool that is kept for urgent
	// jobs.
	maxUrgentOnlyShare = 0.5
)

// demand tracks the capacity that urgent jobs of a service need, in executors.
type demand struct {
	peak float64
	at   time.Duration
}

// observe records the present need and returns the expected demand: the highest
// need so far, after exponential decay.
func (d *demand) observe(now time.Duration, need float64) float64 {
	age := float64(now-d.at) / float64(demandHalfLife)
	d.peak = max(need, d.peak*math.Exp2(-age))
	d.at = now
	return d.peak
}

// updateUrgentOnly chooses the executors on which only urgent tasks are
// started. Stopping work for urgent tasks costs more than letting it wait, so
// capacity for the recent urgent demand is kept free of other tasks. It also
// determines the idle pools.
func (c *Controller) updateUrgentOnly(now, unix time.Duration, rs *roundState) {
	need := c.urgentNeed(unix, rs)
	for service, members := range rs.executorsByService() {
		d := c.demands[service]
		if d == nil {
			d = &demand{at: now}
			c.demands[service] = d
		}
		expected := d.observe(now, need[service])
		n := min(int(math.Round(expected)), int(maxUrgentOnlyShare*float64(len(members))))
		rs.idlePools[service] = usageShare(members) < idlePoolUsage
		members = slices.DeleteFunc(members, func(e *executor) bool { return rs.slot(e).reservedFor != nil })
		n = min(n, len(members))
		c.sortForUrgent(members)
		for _, e := range members[:n] {
			rs.keepForUrgent(e)
		}
	}
}

const (
	// idlePoolUsage is the usage share of a pool below which no job may wait
	// for a better placement. The rules set it.
	idlePoolUsage = 0.5
	// idlePoolMaxWait is how long a job waits for a better placement in such a
	// pool. The rules allow 3 s, part of which is needed for sending the
	// orders.
	idlePoolMaxWait = 2 * time.Second
)

// usageShare is the share of a pool's scarcest resource that is in use.
func usageShare(members []*executor) float64 {
	var capacity, inUse workload.Resources
	for _, e := range members {
		capacity = capacity.Add(e.capacity)
		inUse = inUse.Add(e.used)
	}
	return dominantShare(inUse, capacity)
}

// mustStartNow reports whether a task set must not wait any longer for a better
// placement. A task that lasts is missed until it runs, however full its pool is and
// whichever other tasks of its job run.
func (rs *roundState) mustStartNow(now time.Duration, ts *taskSet) bool {
	if ts.step.LongRunning {
		return now-ts.waitingSince > idlePoolMaxWait
	}
	return rs.idlePools[ts.job.Service] && now-ts.waitingSince > idlePoolMaxWait && !ts.job.HasRuns()
}

// urgentNeed returns the capacity, in executors, that running and waiting urgent tasks need in
// each service. Steps that are not due, or that no executor can hold, need none yet.
func (c *Controller) urgentNeed(unix time.Duration, rs *roundState) map[string]float64 {
	capacity := map[string]workload.Resources{}
	for _, e := range rs.executors {
		capacity[e.service] = e.capacity
	}
	need := map[string]float64{}
	for _, a := range c.backlog.jobs {
		j := a.job
		if j.Priority != 0 {
			continue
		}
		due := j.Spec.DueOccurrences(unix)
		for i := range j.Spec.Steps {
			remaining, idle := j.DueTasks(i, due)
			if remaining == 0 {
				continue
			}
			step := &j.Spec.Steps[i]
			if idle == remaining && !rs.pools.mayHold(j.Service, step) {
				continue
			}
			need[j.Service] += float64(remaining) * dominantShare(step.Allocation(), capacity[j.Service])
		}
	}
	return need
}

// dominantShare is the largest of the shares that need takes of each resource of
// capacity.
func dominantShare(need, capacity workload.Resources) float64 {
	largest := 0.0
	for _, part := range [][2]int64{{need.CPU, capacity.CPU}, {need.MemoryMB, capacity.MemoryMB}, {need.GPU, capacity.GPU}} {
		if part[1] > 0 {
			largest = max(largest, float64(part[0])/float64(part[1]))
		}
	}
	return largest
}

// sortForUrgent sorts executors by the load of other work in their rack and
// then on themselves, the least loaded first. Other tasks avoid the chosen
// executors, so that the choice stays the same from round to round.
func (c *Controller) sortForUrgent(members []*executor) {
	rackLoad := map[string]int64{}
	for _, e := range members {
		rackLoad[e.rack] += e.otherLoad
	}
	slices.SortStableFunc(members, func(a, b *executor) int {
		switch {
		case rackLoad[a.rack] != rackLoad[b.rack]:
			return cmp.Compare(rackLoad[a.rack], rackLoad[b.rack])
		case a.rack != b.rack:
			return cmp.Compare(a.rack, b.rack)
		}
		return cmp.Compare(a.otherLoad, b.otherLoad)
	})
}
