package fleet

import (
	"slices"
	"time"

	"cranberrydrum.dev/scheduler/workload"
)

// clearance is a set of places for tasks, with the cost of the victims that have to stop.
type clearance struct {
	places []place
	cost   float64
	// isTooCostly is set if the search ended because the cost is above its limit.
	isTooCostly bool
}

// clear finds executors that have capacity for tasks once victims have stopped, at a cost of at
// most limit. A gang that should run on one rack gets the rack with the lowest cost, unless
// several racks cost less in total.
func (c *Controller) clear(now time.Duration, rs *roundState, ts *taskSet, tasks []int, limit float64) clearance {
	victims := c.allVictims(now, rs, ts)
	if auditVictims != nil {
		auditVictims(c, now, rs, ts, tasks, victims)
	}
	spread := c.findVictimsOn(rs, ts, tasks, rs.executors, victims, limit)
	if !ts.step.SameRack || !ts.step.Gang || len(tasks) == 1 {
		return spread
	}
	rackLimit, isComplete := limit, !spread.isTooCostly && len(spread.places) == len(tasks)
	if isComplete {
		rackLimit = max(limit, spread.cost+c.spreadCost(ts))
	}
	best := c.findVictimsOnOneRack(rs, ts, tasks, victims, rackLimit)
	if best == nil || isComplete && best.cost > spread.cost+c.spreadCost(ts) {
		return spread
	}
	best.isTooCostly = best.cost > limit
	return *best
}

// spreadCost is the cost, as work, of running a gang on several racks: its
// tasks take longer, and the job is late.
func (c *Controller) spreadCost(ts *taskSet) float64 {
	return float64(len(ts.tasks))*c.offRackWork(ts) + (1-lateValueShare)*averageJobValue*c.value(ts.job)
}

// offRackWork is the additional work, in core-seconds, of a task that runs away
// from the rack on which it is faster.
func (c *Controller) offRackWork(ts *taskSet) float64 {
	return cores(ts.step) * (c.cfg.SpreadFactor - 1) * ts.expectedRunTime.Seconds()
}

// findVictimsOnOneRack returns the rack with the lowest cost, or nil if none has capacity for all
// tasks at a cost of at most limit.
func (c *Controller) findVictimsOnOneRack(rs *roundState, ts *taskSet, tasks []int, victims map[*executor][]*victim, limit float64) *clearance {
	var best *clearance
	for _, name := range rs.racksFor(ts) {
		found := c.findVictimsOn(rs, ts, tasks, rs.racks[name], victims, limit)
		if !found.isTooCostly && len(found.places) == len(tasks) && (best == nil || found.cost < best.cost) {
			best, limit = &found, found.cost
		}
	}
	return best
}

// candidate is what has to stop on an executor for the next task of a search.
type candidate struct {
	executor *executor
	cost     float64
	fits     bool
	// stale is set once a choice of the search has changed what the candidate depends on.
	stale bool
	// tasks counts the tasks that the search has placed on the executor.
	tasks int
}

// findVictimsOn chooses the executor with the lowest cost for one task after the other. The
// victims on an executor are searched again only after a choice that affects their cost. The
// search ends once the cost is above a limit.
func (c *Controller) findVictimsOn(rs *roundState, ts *taskSet, tasks []int, executors []*executor, victims map[*executor][]*victim, limit float64) clearance {
	search := newVictimSearch(rs)
	if ts.step.DataRack != "" {
		search.offRack = c.offRackWork(ts)
	}
	candidates := make([]candidate, 0, len(executors))
	for _, e := range executors {
		if rs.allows(ts, e) {
			candidates = append(candidates, candidate{executor: e, stale: true})
		}
	}
	var found clearance
	for _, n := range tasks {
		best := search.bestCandidate(ts, candidates, victims)
		if best == nil {
			// No other task fits either.
			return found
		}
		chosen, _, _ := search.selectVictims(best.executor, ts.step.Allocation(), victims[best.executor])
		p := place{task: n, executor: best.executor, victims: append([]*victim(nil), chosen...)}
		search.commit(&p, ts.step.Allocation())
		best.tasks++
		best.stale = true
		markStale(candidates, p.victims, victims)
		found.places, found.cost = append(found.places, p), search.cost
		if found.cost > limit {
			found.isTooCostly = true
			return found
		}
	}
	return found
}

// bestCandidate returns the first of the candidates with the lowest cost, or nil.
func (s *victimSearch) bestCandidate(ts *taskSet, candidates []candidate, victims map[*executor][]*victim) *candidate {
	var best *candidate
	for i := range candidates {
		x := &candidates[i]
		if ts.step.PerExecutor > 0 && s.round.taskCounts(ts)[x.executor]+x.tasks >= ts.step.PerExecutor {
			continue
		}
		if x.stale {
			x.stale = false
			_, x.cost, x.fits = s.selectVictims(x.executor, ts.step.Allocation(), victims[x.executor])
			if ts.step.DataRack != "" && x.executor.rack != ts.step.DataRack {
				x.cost += s.offRack
			}
		}
		if x.fits && (best == nil || x.cost < best.cost) {
			best = x
		}
	}
	return best
}

// markStale marks the candidates on whose executors the jobs of chosen victims have other
// runs: the loss of a gang or a job counts once, and the stops of a step are limited.
func markStale(candidates []candidate, chosen []*victim, victims map[*executor][]*victim) {
	var jobs []*workload.Job
	for _, v := range chosen {
		if (v.gang || v.latenessCost > 0 || v.isLimited || v.endsAnyway) && !slices.Contains(jobs, v.job) {
			jobs = append(jobs, v.job)
		}
	}
	if len(jobs) == 0 {
		return
	}
	for i := range candidates {
		x := &candidates[i]
		x.stale = x.stale || slices.ContainsFunc(victims[x.executor], func(v *victim) bool { return slices.Contains(jobs, v.job) })
	}
}

// victimSearch tracks the capacity and victims that a search has already used.
type victimSearch struct {
	round *roundState
	// allocated is the capacity of placed tasks minus that of chosen victims.
	allocated  map[*executor]workload.Resources
	chosenRuns map[*run]bool
	// stops counts the chosen runs of each step.
	stops map[stepKey]int
	// costs tallies the chosen victims.
	costs *costTally
	// cost is that of the chosen victims.
	cost float64
	// scratch is the memory of the latest list of victims.
	scratch []*victim
	// offRack is the cost of a task away from the rack with its data.
	offRack float64
}

func newVictimSearch(rs *roundState) *victimSearch {
	return &victimSearch{round: rs, allocated: map[*executor]workload.Resources{}, chosenRuns: map[*run]bool{}, stops: map[stepKey]int{}, costs: newCostTally()}
}

// selectVictims returns the victims, the cheapest first, that have to stop to
// free need, with their cost. It reports whether need then fits. The next call overwrites the
// list.
func (s *victimSearch) selectVictims(e *executor, need workload.Resources, victims []*victim) ([]*victim, float64, bool) {
	free := s.round.slot(e).free.Sub(s.allocated[e])
	chosen := s.scratch[:0]
	cost := 0.0
	for _, v := range victims {
		if need.Fits(free) {
			break
		}
		if s.chosenRuns[v.run] || (v.isLimited && s.stops[stepKeyOf(v.key)]+countOfStep(chosen, v.key) >= v.mayStop) {
			continue
		}
		free = free.Add(v.resources)
		cost += s.costs.costOf(v)
		chosen = append(chosen, v)
	}
	s.scratch = chosen
	return chosen, cost, need.Fits(free)
}

// countOfStep counts the victims of the step that a task belongs to.
func countOfStep(victims []*victim, key workload.TaskKey) int {
	n := 0
	for _, v := range victims {
		if stepKeyOf(v.key) == stepKeyOf(key) {
			n++
		}
	}
	return n
}

func (s *victimSearch) commit(p *place, need workload.Resources) {
	sum := s.allocated[p.executor].Add(need)
	for _, v := range p.victims {
		s.chosenRuns[v.run] = true
		s.stops[stepKeyOf(v.key)]++
		s.cost += s.costs.add(v)
		sum = sum.Sub(v.resources)
	}
	s.allocated[p.executor] = sum
}

// victimKind is what the victims for a task set depend on besides the executor.
type victimKind struct {
	guaranteed bool
	priority   int
}

// allVictims returns the possible victims for a task set on each executor. Those found earlier
// in the round for a task set of the same kind are used again.
func (c *Controller) allVictims(now time.Duration, rs *roundState, ts *taskSet) map[*executor][]*victim {
	kind := victimKind{guaranteed: ts.guaranteed, priority: ts.job.Priority}
	known := rs.victims[kind]
	if known == nil {
		known = make(map[*executor][]*victim, len(rs.executors))
		rs.victims[kind] = known
	}
	for _, e := range rs.executors {
		if _, found := known[e]; !found {
			known[e] = c.victimsOn(now, ts, e)
		}
	}
	return known
}

// forgetVictims drops what is known of the victims on executors of which runs are stopped. The
// stop of a run of a step with a bound concerns its tasks on all executors.
func (rs *roundState) forgetVictims(executors []*executor, all bool) {
	if all {
		rs.victims = map[victimKind]map[*executor][]*victim{}
		return
	}
	for _, known := range rs.victims {
		for _, e := range executors {
			delete(known, e)
		}
	}
}
