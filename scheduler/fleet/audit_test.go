package fleet

import (
	"fmt"
	"maps"
	"math"
	"reflect"
	"slices"
	"time"

	"cranberrydrum.dev/scheduler/workload"
)

// The audits run in all tests of this package, not in its benchmarks. A panic stops the test
// in which what is kept between decisions differs from the full computation.

func init() { StartAudits() }

// StartAudits has decisions compared with full computations.
func StartAudits() {
	auditVictims, auditPlaces, auditReconcile, auditOrders = checkVictims, checkPlaces, checkReconciled, checkOrders
}

// StopAudits ends the comparison.
func StopAudits() {
	auditVictims, auditPlaces, auditReconcile, auditOrders = nil, nil, nil, nil
}

func mustEqual(what string, kept, full any) {
	if !reflect.DeepEqual(kept, full) {
		panic(fmt.Sprintf("%s: kept %+v, full computation %+v", what, kept, full))
	}
}

// checkVictims guards against victims of an earlier task set of the round that are out of date,
// and against a search that misses what its earlier choices have changed.
func checkVictims(c *Controller, now time.Duration, rs *roundState, ts *taskSet, tasks []int, victims map[*executor][]*victim) {
	facts := c.facts
	c.facts = nil
	for _, e := range rs.executors {
		full := c.victimsOn(now, ts, e)
		mustEqual("victims on "+e.key.ID, victims[e], full)
	}
	c.facts = facts
	for _, limit := range []float64{averageJobValue * c.value(ts.job), math.Inf(1)} {
		auditVictims = nil
		kept := c.clear(now, rs, ts, tasks, limit)
		auditVictims = checkVictims
		full := c.fullClear(rs, ts, tasks, victims)
		// The caller preempts nothing in either case.
		isRejected := len(full) < len(tasks) && ts.step.Gang || totalCost(full) > limit
		mustEqual("rejection", kept.isTooCostly || len(kept.places) < len(tasks) && ts.step.Gang, isRejected)
		if !isRejected {
			mustEqual("chosen victims", kept.places, full)
			mustEqual("cost of victims", kept.cost, totalCost(full))
		}
	}
}

func totalCost(places []place) float64 {
	sum := 0.0
	tally := newCostTally()
	for _, p := range places {
		for _, v := range p.victims {
			sum += tally.add(v)
		}
	}
	return sum
}

// fullClear chooses between the racks after a complete search of each.
func (c *Controller) fullClear(rs *roundState, ts *taskSet, tasks []int, victims map[*executor][]*victim) []place {
	spread := c.fullSearch(rs, ts, tasks, rs.executors, victims)
	if !ts.step.SameRack || !ts.step.Gang || len(tasks) == 1 {
		return spread
	}
	var best []place
	for _, name := range rs.racksFor(ts) {
		found := c.fullSearch(rs, ts, tasks, rs.racks[name], victims)
		if len(found) == len(tasks) && (best == nil || totalCost(found) < totalCost(best)) {
			best = found
		}
	}
	spreadIsCheaper := len(spread) == len(tasks) && totalCost(best) > totalCost(spread)+c.spreadCost(ts)
	if best == nil || spreadIsCheaper {
		return spread
	}
	return best
}

// fullSearch chooses the victims for each task from those on all executors.
func (c *Controller) fullSearch(rs *roundState, ts *taskSet, tasks []int, executors []*executor, victims map[*executor][]*victim) []place {
	search := newVictimSearch(rs)
	counts := map[*executor]int{}
	var found []place
	for _, n := range tasks {
		var best *place
		bestCost := 0.0
		for _, e := range executors {
			if !rs.allows(ts, e) || (ts.step.PerExecutor > 0 && rs.taskCounts(ts)[e]+counts[e] >= ts.step.PerExecutor) {
				continue
			}
			chosen, cost, ok := search.selectAmongAll(e, ts.step.Allocation(), victims[e])
			if !ok {
				continue
			}
			if ts.step.DataRack != "" && e.rack != ts.step.DataRack {
				cost += c.offRackWork(ts)
			}
			if best == nil || cost < bestCost {
				best, bestCost = &place{task: n, executor: e, victims: chosen}, cost
			}
		}
		if best == nil {
			if ts.step.Gang {
				return found
			}
			continue
		}
		search.commit(best, ts.step.Allocation())
		counts[best.executor]++
		found = append(found, *best)
	}
	return found
}

// selectAmongAll is selectVictims with a count of the stops of all steps.
func (s *victimSearch) selectAmongAll(e *executor, need workload.Resources, victims []*victim) ([]*victim, float64, bool) {
	free := s.round.slot(e).free.Sub(s.allocated[e])
	var chosen []*victim
	cost := 0.0
	stops := map[stepKey]int{}
	for _, v := range victims {
		if need.Fits(free) {
			break
		}
		key := stepKeyOf(v.key)
		if s.chosenRuns[v.run] || (v.isLimited && s.stops[key]+stops[key] >= v.mayStop) {
			continue
		}
		stops[key]++
		free = free.Add(v.resources)
		cost += s.costs.costOf(v)
		chosen = append(chosen, v)
	}
	return chosen, cost, need.Fits(free)
}

// checkReconciled guards against a change of the log that does not reach the runs of an executor.
func checkReconciled(c *Controller, now time.Duration) {
	incarnations := map[workload.ExecutorKey]*executor{}
	for _, e := range c.executors {
		incarnations[e.key] = e
		mustEqual("departure of "+e.key.ID, e.deregistered || !c.state.HasLeft(e.key), true)
	}
	for _, e := range c.lost {
		incarnations[e.key] = e
	}
	c.state.EachExecutorWithRuns(func(key workload.ExecutorKey) {
		mustEqual("executor with runs "+key.ID, incarnations[key] != nil, true)
	})
	active := map[string]bool{}
	c.state.ActiveJobs(func(j *workload.Job) { active[j.ID] = true })
	c.state.Jobs(func(j *workload.Job) {
		mustEqual("active job "+j.ID, active[j.ID], !j.Phase.Ended())
		checkIdle(j)
		checkWaiting(j)
	})
	checkBacklog(c)
	for _, e := range incarnations {
		kept := *e
		full := *e
		full.runs = maps.Clone(e.runs)
		full.lateFailures = slices.Clone(e.lateFailures)
		c.reconcileRuns(now, &full)
		kept.hasOrders, full.hasOrders = false, false
		mustEqual("runs on "+e.key.ID, kept, full)
	}
}

// checkOrders guards against an executor that is left out although an order is due.
func checkOrders(c *Controller, now time.Duration) {
	for _, e := range c.executors {
		for key, r := range e.runs {
			if e.hasOrders || r.end != nil {
				continue
			}
			mustEqual(fmt.Sprintf("orders for %v on %s, stop %q", key, e.key.ID, r.stopCause), r.needsOrders(), false)
			mustEqual("reason to stop "+key.Job, c.stopReason(now, e, c.state.Job(key.Job), key, r), "")
		}
	}
}

// checkIdle guards against waiting tasks that a round does not see.
func checkIdle(j *workload.Job) {
	for k := range j.Occurrences {
		for i := range j.Occurrences[k].Steps {
			step, idle := &j.Occurrences[k].Steps[i], 0
			for n := range step.Tasks {
				if !step.Tasks[n].Done && step.Tasks[n].Run == nil {
					idle++
				}
			}
			mustEqual(fmt.Sprintf("idle tasks of %s, step %d", j.ID, i), step.Idle(), idle)
		}
	}
}

// checkPlaces guards against a task set that is left out by a bound on the free capacity although
// it has room.
func checkPlaces(c *Controller, now time.Duration, rs *roundState, ts *taskSet, places []place, ok bool) {
	rs.deallocate(ts, places)
	full, complete := c.fullPlaces(now, rs, ts)
	rs.deallocate(ts, full)
	for _, p := range places {
		rs.allocate(ts, p.executor)
	}
	mustEqual("all tasks placed", ok, complete)
	if complete || !ts.step.Gang {
		mustEqual("places", append([]place{}, places...), append([]place{}, full...))
	}
}

// fullPlaces is findPlaces with a search for each task on all executors.
func (c *Controller) fullPlaces(now time.Duration, rs *roundState, ts *taskSet) ([]place, bool) {
	mustStart := rs.mustStartNow(now, ts)
	freedOnSeveralRacks := c.preemptions[ts.key] != nil && c.preemptions[ts.key].isSpread
	mayLeave := mustStart || freedOnSeveralRacks || c.mayLeaveRack(now, ts)
	avoided := c.executorsToAvoid(rs, ts)
	if ts.step.SameRack && ts.step.Gang && len(ts.tasks) > 1 {
		for _, rack := range rs.racksFor(ts) {
			places, ok := rs.fullPlacesOn(ts, rs.racks[rack], avoided)
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
		return rs.fullPlacesOn(ts, rs.racks[ts.step.DataRack], avoided)
	}
	return rs.fullPlacesOn(ts, rs.executors, avoided)
}

func (rs *roundState) fullPlacesOn(ts *taskSet, executors []*executor, avoided map[int][]string) ([]place, bool) {
	var places []place
	for _, n := range ts.tasks {
		best := rs.bestFit(ts, executors, avoided[n])
		if best == nil && ts.step.LongRunning && len(avoided[n]) > 0 {
			best = rs.bestFit(ts, executors, nil)
		}
		if best == nil {
			if ts.step.Gang {
				return places, false
			}
			continue
		}
		rs.allocate(ts, best)
		places = append(places, place{task: n, executor: best})
	}
	return places, len(places) == len(ts.tasks)
}

// checkWaiting guards against due steps that a round does not see, and against runs that a cancel
// does not stop.
func checkWaiting(j *workload.Job) {
	runs := 0
	for i := range j.Spec.Steps {
		var waiting, seen []int
		for k := range j.Occurrences {
			step := &j.Occurrences[k].Steps[i]
			if step.Idle() > 0 && j.Runnable(k, i) {
				waiting = append(waiting, k)
			}
			for n := range step.Tasks {
				if step.Tasks[n].Run != nil {
					runs++
				}
			}
		}
		for k := j.NextWaiting(i, 0, len(j.Occurrences)); k < len(j.Occurrences); k = j.NextWaiting(i, k+1, len(j.Occurrences)) {
			seen = append(seen, k)
		}
		mustEqual(fmt.Sprintf("waiting occurrences of %s, step %d", j.ID, i), seen, waiting)
		mustEqual(fmt.Sprintf("number of waiting occurrences of %s, step %d", j.ID, i), j.WaitingSteps(i, len(j.Occurrences)), len(waiting))
	}
	counted := 0
	j.EachRun(func(*workload.Run) { counted++ })
	mustEqual("runs of "+j.ID, counted, runs)
	mustEqual("whether there are runs of "+j.ID, j.HasRuns(), runs > 0)
}

// checkBacklog guards against jobs that no round visits, and against a pool whose capacity is out of
// date, so that a step stays set aside.
func checkBacklog(c *Controller) {
	visited := map[*workload.Job]bool{}
	last := uint64(0)
	for _, a := range c.backlog.jobs {
		visited[a.job] = true
		mustEqual("order of "+a.job.ID, a.job.Sequence > last, true)
		last = a.job.Sequence
	}
	c.state.ActiveJobs(func(j *workload.Job) { mustEqual("visit of "+j.ID, visited[j], true) })
	mustEqual("capacity of the pools", c.currentPools().byKey, newPoolCapacities(c.orderedExecutors()).byKey)
}
