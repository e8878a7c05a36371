package fleet

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"cranberrydrum.dev/scheduler/workload"
)

// findPlaces allocates free capacity for the tasks of a task set. It reports
// whether all tasks were placed. Tasks leave their preferred rack only if
// mayLeaveRack permits it, if they must start now, or if capacity was freed on
// several racks for them.
func (c *Controller) findPlaces(now time.Duration, rs *roundState, ts *taskSet) ([]place, bool) {
	mustStart := rs.mustStartNow(now, ts)
	if mustStart {
		rs.exempt = ts
	}
	places, ok := c.findPlacesNow(now, rs, ts, mustStart)
	if auditPlaces != nil {
		auditPlaces(c, now, rs, ts, places, ok)
	}
	return places, ok
}

func (c *Controller) findPlacesNow(now time.Duration, rs *roundState, ts *taskSet, mustStart bool) ([]place, bool) {
	freedOnSeveralRacks := c.preemptions[ts.key] != nil && c.preemptions[ts.key].isSpread
	if !ts.step.Allocation().Fits(rs.mostFree) || rs.hasNoRoom(ts) {
		return nil, false
	}
	mayLeave := mustStart || freedOnSeveralRacks || c.mayLeaveRack(now, ts)
	avoided := c.executorsToAvoid(rs, ts)
	if ts.step.SameRack && ts.step.Gang && len(ts.tasks) > 1 {
		for _, rack := range rs.racksFor(ts) {
			if !rs.mayHold(ts, rs.racks[rack]) {
				continue
			}
			places, ok := rs.findPlacesOn(ts, rs.racks[rack], avoided)
			if ok {
				return places, true
			}
			rs.deallocate(ts, places)
		}
		if !mayLeave && rs.fitsOnOneRack(ts) {
			return nil, false
		}
	}
	if ts.step.DataRack != "" && !mayLeave && slices.ContainsFunc(rs.racks[ts.step.DataRack], ts.matches) {
		return rs.findPlacesOn(ts, rs.racks[ts.step.DataRack], avoided)
	}
	return rs.findPlacesOn(ts, rs.executors, avoided)
}

// rackWaitLimit is how long tasks wait for the rack on which they are faster:
// half of the objective's slack beyond the expected time of the step.
func rackWaitLimit(j *workload.Job, expected time.Duration) time.Duration {
	slack := time.Duration((j.Stretch-1)*float64(expected)) + j.Target
	return max(0, slack/2)
}

// mayLeaveRack reports whether tasks stop waiting for the rack on which they
// are faster. After rackWaitLimit they do, while a slower run still meets the
// objective. Later they wait until the job is about to lose its value, because
// a slower run occupies as much capacity as several fast ones. A task that lasts
// does not wait: it is missed until it runs, and its run time does not end.
func (c *Controller) mayLeaveRack(now time.Duration, ts *taskSet) bool {
	if ts.step.LongRunning {
		return true
	}
	waited := now - ts.waitingSince
	if waited <= rackWaitLimit(ts.job, ts.expectedRunTime) {
		return false
	}
	limit := c.objective(ts.job)
	offRackTime := time.Duration(c.cfg.SpreadFactor * float64(ts.expectedRunTime))
	return waited+offRackTime <= limit || waited+offRackTime+leaveRackMargin > lateFactor*limit
}

// leaveRackMargin is the time left until a job loses its value when its tasks
// leave their rack.
const leaveRackMargin = 2 * time.Second

// rackGroups returns the executors of each rack, ordered by rack name.
func (rs *roundState) rackGroups() [][]*executor {
	var groups [][]*executor
	for _, name := range slices.Sorted(maps.Keys(rs.racks)) {
		groups = append(groups, rs.racks[name])
	}
	return groups
}

// racksFor returns the rack names, the most suitable for a task set first: the
// rack with its data, then those with the fewest free accelerators.
func (rs *roundState) racksFor(ts *taskSet) []string {
	type rack struct {
		name string
		free int64
	}
	racks := make([]rack, 0, len(rs.racks))
	rs.work += len(rs.executors)
	for name, members := range rs.racks {
		r := rack{name: name}
		for _, e := range members {
			r.free += rs.slot(e).free.GPU
		}
		racks = append(racks, r)
	}
	slices.SortFunc(racks, func(a, b rack) int {
		if hasData := a.name == ts.step.DataRack; hasData != (b.name == ts.step.DataRack) {
			if hasData {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(a.free, b.free), cmp.Compare(a.name, b.name))
	})
	names := make([]string, len(racks))
	for i := range racks {
		names[i] = racks[i].name
	}
	return names
}

// mayHold reports whether the free capacity of the matching executors is enough for all tasks of a
// task set, whatever else keeps them away.
func (rs *roundState) mayHold(ts *taskSet, executors []*executor) bool {
	need, n := ts.step.Allocation(), 0
	rs.work += len(executors)
	for _, e := range executors {
		if free := rs.slot(e).free; need.Fits(free) && ts.matches(e) {
			fit := fitCount(free, need)
			isCapped := fit == maxTasksPerExecutor
			if ts.step.PerExecutor > 0 {
				fit, isCapped = min(fit, ts.step.PerExecutor), false
			}
			n += fit
			if n >= len(ts.tasks) || isCapped {
				return true
			}
		}
	}
	return false
}

// fitsOnOneRack reports whether an empty rack could hold the task set.
func (rs *roundState) fitsOnOneRack(ts *taskSet) bool {
	rs.work += len(rs.executors)
	for _, members := range rs.racks {
		n := 0
		for _, e := range members {
			if ts.matches(e) {
				n += fitCount(e.capacity, ts.step.Allocation())
			}
		}
		if n >= len(ts.tasks) {
			return true
		}
	}
	return false
}

// fitCount returns how many times need fits into free, at most
// maxTasksPerExecutor.
func fitCount(free, need workload.Resources) int {
	n := int64(maxTasksPerExecutor)
	if need.CPU > 0 {
		n = min(n, free.CPU/need.CPU)
	}
	if need.MemoryMB > 0 {
		n = min(n, free.MemoryMB/need.MemoryMB)
	}
	if need.GPU > 0 {
		n = min(n, free.GPU/need.GPU)
	}
	return int(max(n, 0))
}

// maxTasksPerExecutor bounds the result of fitCount, for tasks that need no
// resources.
const maxTasksPerExecutor = 64

// findPlacesOn allocates capacity for each task by best fit: on the executor
// with the least free capacity. It skips the executors that a task must avoid. A task that
// lasts is missed while it waits, so it avoids them only if it fits elsewhere now.
func (rs *roundState) findPlacesOn(ts *taskSet, executors []*executor, avoided map[int][]string) ([]place, bool) {
	if ts.step.Gang && !rs.mayHold(ts, executors) {
		return nil, false
	}
	places := make([]place, 0, len(ts.tasks))
	for _, n := range ts.tasks {
		best := rs.bestFit(ts, executors, avoided[n])
		if best == nil && ts.step.LongRunning && len(avoided[n]) > 0 {
			best = rs.bestFit(ts, executors, nil)
		}
		if best == nil {
			if ts.step.Gang || len(avoided[n]) == 0 {
				// No other task fits either.
				return places, false
			}
			continue
		}
		rs.allocate(ts, best)
		places = append(places, place{task: n, executor: best})
	}
	return places, len(places) == len(ts.tasks)
}

// bestFit returns the executor that suits a task best now, or nil if none has room.
func (rs *roundState) bestFit(ts *taskSet, executors []*executor, avoided []string) *executor {
	need := ts.step.Allocation()
	rs.work += len(executors)
	var best *executor
	hasRoom := false
	for _, e := range executors {
		if !need.Fits(rs.slot(e).free) || !ts.matches(e) {
			continue
		}
		hasRoom = true
		if !rs.allows(ts, e) || slices.Contains(avoided, e.key.ID) {
			continue
		}
		if best == nil || isBetterFit(ts, rs, e, best) {
			best = e
		}
	}
	if !hasRoom && len(executors) == len(rs.executors) {
		rs.full[shapeOf(ts)] = rs.releases
	}
	return best
}

// isKeptForOthers reports whether an executor is reserved for another task set, or kept for
// more urgent ones.
func (rs *roundState) isKeptForOthers(ts *taskSet, e *executor) bool {
	if rs.slot(e).urgentOnly && ts.job.Priority > 0 {
		return true
	}
	res := rs.slot(e).reservedFor
	return res != nil && res.taskSet.key != ts.key
}

// isBetterFit reports whether executor a suits a task better than b.
func isBetterFit(ts *taskSet, rs *roundState, a, b *executor) bool {
	if aSuspected, bSuspected := rs.isSuspectedFor(ts, a), rs.isSuspectedFor(ts, b); aSuspected != bSuspected {
		return bSuspected
	}
	if dataRack := ts.step.DataRack; dataRack != "" && (a.rack == dataRack) != (b.rack == dataRack) {
		return a.rack == dataRack
	}
	if aKept, bKept := rs.isKeptForOthers(ts, a), rs.isKeptForOthers(ts, b); aKept != bKept {
		return bKept
	}
	if aCold, bCold := a.isCold(rs.now), b.isCold(rs.now); aCold != bCold {
		return bCold
	}
	if rs.slot(a).free.GPU != rs.slot(b).free.GPU {
		return rs.slot(a).free.GPU < rs.slot(b).free.GPU
	}
	return rs.slot(a).free.CPU < rs.slot(b).free.CPU
}

// executorsToAvoid lists, for each task, the executors on which it has failed.
// It returns nil if the task set cannot run without them, so that the job does
// not wait forever. Capacity that tasks use which last may never become free.
func (c *Controller) executorsToAvoid(rs *roundState, ts *taskSet) map[int][]string {
	if len(c.failedOn) == 0 {
		return nil
	}
	rs.work += len(ts.tasks)
	avoided := map[int][]string{}
	avoidedIDs := map[string]bool{}
	for _, n := range ts.tasks {
		if list := c.failedOn[ts.key.task(n)]; len(list) > 0 {
			avoided[n] = list
		}
		for _, id := range avoided[n] {
			avoidedIDs[id] = true
		}
	}
	if len(avoidedIDs) == 0 {
		return nil
	}
	wanted := 1
	if ts.step.Gang {
		wanted = len(ts.tasks)
	}
	for _, e := range rs.executors {
		if !avoidedIDs[e.key.ID] && ts.matches(e) {
			wanted -= fitCount(e.capacity.Sub(e.lastingUsed), ts.step.Allocation())
		}
	}
	if wanted > 0 {
		return nil
	}
	return avoided
}
