package fleet

import (
	"time"

	"cranberrydrum.dev/scheduler/workload"
)

// displaceBestEffort stops best-effort runs for tasks of a user-facing step that no executor
// can take because of them. Best-effort tasks get what others leave unused, so they give way
// whatever their priority; without that they would keep a task away from its users for good.
func (c *Controller) displaceBestEffort(now time.Duration, rs *roundState, ts *taskSet, placed []place) {
	if ts.step.TailLatencyTarget == 0 || ts.step.Gang || c.preemptions[ts.key] != nil {
		return
	}
	d := &displacement{
		controller: c, round: rs, taskSet: ts,
		allocated: map[*executor]workload.Resources{}, tasks: map[*executor]int{}, stops: map[stepKey]int{},
	}
	var places []place
	for _, n := range unplacedTasks(ts, placed) {
		p, found := d.placeFor(n)
		if !found {
			break
		}
		places = append(places, p)
	}
	c.preempt(now, rs, ts, places)
}

// displacement is a search for executors on which best-effort runs give way to a task set.
type displacement struct {
	controller *Controller
	round      *roundState
	taskSet    *taskSet
	// allocated and tasks count what was placed so far.
	allocated map[*executor]workload.Resources
	tasks     map[*executor]int
	// stops counts the chosen runs of each step.
	stops map[stepKey]int
}

// placeFor chooses the executor on which the fewest runs have to stop for a task.
func (d *displacement) placeFor(task int) (place, bool) {
	var best place
	for _, e := range d.round.executors {
		victims, ok := d.victimsOn(e)
		if ok && (best.executor == nil || len(victims) < len(best.victims)) {
			best = place{task: task, executor: e, victims: victims}
		}
	}
	if best.executor == nil {
		return place{}, false
	}
	for _, v := range best.victims {
		d.stops[stepKeyOf(v.key)]++
	}
	d.allocated[best.executor] = d.allocated[best.executor].Add(d.taskSet.step.Allocation())
	d.tasks[best.executor]++
	return best, true
}

// victimsOn returns the best-effort runs on an executor that the task set could use without
// them. It reports false if it could not, or if one of them must not be stopped.
func (d *displacement) victimsOn(e *executor) ([]*victim, bool) {
	ts, rs := d.taskSet, d.round
	switch {
	case e.bestEffortRuns == 0, !rs.isOpenTo(ts, e), rs.conflictsWithProposed(ts, e):
		return nil, false
	case !ts.step.Allocation().Fits(rs.slot(e).free.Sub(d.allocated[e])):
		return nil, false
	case ts.step.PerExecutor > 0 && rs.taskCounts(ts)[e]+d.tasks[e] >= ts.step.PerExecutor:
		return nil, false
	case d.tasks[e] > 0:
		// Its runs are chosen already.
		return nil, true
	}
	var victims []*victim
	stops := map[stepKey]int{}
	for key, r := range e.runs {
		j := d.controller.state.Job(key.Job)
		step := &j.Spec.Steps[key.Step]
		if !step.BestEffort {
			continue
		}
		if r.stopCause == "" && step.MaxUnavailable > 0 {
			stops[stepKeyOf(key)]++
			if d.stops[stepKeyOf(key)]+stops[stepKeyOf(key)] > d.controller.mayMiss(j, key) {
				return nil, false
			}
		}
		victims = append(victims, &victim{key: key, run: r, resources: step.Allocation()})
	}
	return victims, true
}

// mayMiss returns how many further tasks of a step the scheduler may make unavailable. Tasks
// that are not at work for any reason count as unavailable.
func (c *Controller) mayMiss(j *workload.Job, key workload.TaskKey) int {
	left := j.Spec.Steps[key.Step].MaxUnavailable
	for n, t := range j.Occurrences[key.Occurrence].Steps[key.Step].Tasks {
		key.Index = n
		if !c.isAtWork(key, t.Run) {
			left--
		}
	}
	return left
}

// isAtWork reports whether a run is listed with full progress and not about to end.
func (c *Controller) isAtWork(key workload.TaskKey, logged *workload.Run) bool {
	if logged == nil {
		return false
	}
	e := c.executors[logged.Executor.ID]
	if e == nil || e.key != logged.Executor {
		return false
	}
	r := e.runs[key]
	return r != nil && r.stopCause == "" && r.end == nil && r.wasListed && r.percent == fullPercent
}
