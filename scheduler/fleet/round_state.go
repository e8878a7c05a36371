package fleet

import (
	"slices"
	"time"

	"cranberrydrum.dev/scheduler/workload"
)

// roundState is the free capacity of the executors during one round.
type roundState struct {
	now time.Duration
	// executors are those that accept runs, ordered by ID.
	executors []*executor
	byID      map[string]*executor
	slots     []slot
	// urgentOnlyCount and reservedCount are the numbers of executors kept for urgent tasks and
	// for waiting gangs.
	urgentOnlyCount, reservedCount int
	// pools holds the capacity of the pools.
	pools *poolCapacities
	// mostFree is at least what any executor has free, of each resource.
	mostFree workload.Resources
	// racks groups the executors by rack.
	racks map[string][]*executor
	// tasksPerExecutor counts the tasks of a step on each executor, to enforce
	// the step's limit.
	tasksPerExecutor map[stepKey]map[*executor]int
	pendingStarts    map[workload.TaskKey]workload.Start
	// idlePools holds the services whose usage is below idlePoolUsage. exempt
	// is the task set that may use urgent-only and reserved executors there.
	idlePools map[string]bool
	exempt    *taskSet
	// gangNeeds holds what a task of each waiting gang of a service needs.
	gangNeeds map[string][]workload.Resources
	// suspected holds the executors whose runs failed lately.
	suspected map[*executor]suspicion
	// runs counts the runs on the executors.
	runs int
	// searches counts the searches over all runs.
	searches int
	// work counts the work of the round, of which maxWork is the most.
	work, maxWork int
	// leftJobs counts the waiting jobs that have no turn in this round, leftSteps the due steps of
	// the others that wait and are not tried.
	leftJobs, leftSteps int
	// releases counts the increases of free capacity. full holds the shapes for which no executor
	// had room after so many of them.
	releases int
	full     map[taskShape]int
	// proposed holds the proposed starts of steps that bound their tasks on one executor.
	proposed map[stepKey][]workload.Start
	// victims holds the possible victims on each executor found so far in this round.
	victims map[victimKind]map[*executor][]*victim
}

// slot is what a round knows of an executor.
type slot struct {
	free workload.Resources
	// urgentOnly is set if only urgent tasks are started on the executor.
	urgentOnly bool
	// reservedFor is the reservation of a waiting gang, or nil.
	reservedFor *reservation
	// proposedSteps holds the steps of the runs that are proposed for the executor.
	proposedSteps []*workload.Step
	// ends are the expected ends of the runs, or nil if they are not known yet.
	ends []runEnd
}

// slot returns the slot of an executor that is listed.
func (rs *roundState) slot(e *executor) *slot { return &rs.slots[e.position] }

// isListed reports whether an executor accepts runs in this round.
func (rs *roundState) isListed(e *executor) bool {
	return e.position < len(rs.executors) && rs.executors[e.position] == e
}

// listed returns the listed executor of an incarnation, or nil.
func (rs *roundState) listed(e *executor, key workload.ExecutorKey) *executor {
	if e == nil || e.key != key || !rs.isListed(e) {
		return nil
	}
	return e
}

func (rs *roundState) setFree(e *executor, free workload.Resources) {
	rs.releases++
	rs.slot(e).free = free
	rs.mostFree = rs.mostFree.Max(free)
}

func (rs *roundState) keepForUrgent(e *executor) {
	rs.slot(e).urgentOnly = true
	rs.urgentOnlyCount++
}

// reserve sets the reservation of an executor; nil ends it.
func (rs *roundState) reserve(e *executor, res *reservation) {
	s := rs.slot(e)
	if s.reservedFor != nil {
		rs.reservedCount--
	}
	if res != nil {
		rs.reservedCount++
	}
	s.reservedFor = res
}

func (c *Controller) newRoundState(now time.Duration) *roundState {
	rs := &roundState{
		now: now, pendingStarts: c.pendingStarts, byID: c.executors, racks: map[string][]*executor{},
		tasksPerExecutor: map[stepKey]map[*executor]int{}, idlePools: map[string]bool{},
		maxWork: c.budget.workWithin(c.cfg.RoundTime, len(c.executors)), full: map[taskShape]int{}, pools: c.currentPools(),
		gangNeeds: map[string][]workload.Resources{}, victims: map[victimKind]map[*executor][]*victim{},
		executors: make([]*executor, 0, len(c.executors)), slots: make([]slot, 0, len(c.executors)), suspected: c.suspectedExecutors(now),
	}
	predecessors := c.predecessorsWithRuns()
	for _, e := range c.orderedExecutors() {
		if !e.isSchedulable(now, &c.cfg) || c.isEvacuated(e) || predecessors.precede(e.key) {
			continue
		}
		e.position = len(rs.executors)
		rs.executors = append(rs.executors, e)
		rs.slots = append(rs.slots, slot{})
		rs.setFree(e, e.capacity.Sub(e.used))
		rs.runs += len(e.runs)
		rs.racks[e.rack] = append(rs.racks[e.rack], e)
	}
	for key, start := range c.pendingStarts {
		e := c.executors[start.Executor.ID]
		j := c.state.Job(key.Job)
		if e == nil || j == nil {
			continue
		}
		if rs.isListed(e) {
			rs.slot(e).free = rs.slot(e).free.Sub(j.Spec.Steps[key.Step].Allocation())
			rs.slot(e).proposedSteps = append(rs.slot(e).proposedSteps, &j.Spec.Steps[key.Step])
		}
	}
	for _, pre := range c.preemptions {
		rs.deduct(pre)
		if pre.step.TailLatencyTarget > 0 {
			// Best-effort tasks must not take the places of those that were stopped.
			for _, e := range pre.targets {
				if !rs.isListed(e) {
					continue
				}
				rs.slot(e).proposedSteps = append(rs.slot(e).proposedSteps, pre.step)
			}
		}
	}
	return rs
}

// executorsByService groups the executors by pool.
func (rs *roundState) executorsByService() map[string][]*executor {
	pools := map[string][]*executor{}
	for _, e := range rs.executors {
		pools[e.service] = append(pools[e.service], e)
	}
	return pools
}

// allocate allocates capacity for a task.
func (rs *roundState) allocate(ts *taskSet, e *executor) {
	rs.slot(e).free = rs.slot(e).free.Sub(ts.step.Allocation())
	rs.slot(e).proposedSteps = append(rs.slot(e).proposedSteps, ts.step)
	if ts.step.PerExecutor > 0 {
		rs.taskCounts(ts)[e]++
	}
}

// deallocate returns the capacity of places that are not used.
func (rs *roundState) deallocate(ts *taskSet, places []place) {
	for _, p := range places {
		rs.setFree(p.executor, rs.slot(p.executor).free.Add(ts.step.Allocation()))
		// The places of this task set were appended last.
		rs.slot(p.executor).proposedSteps = rs.slot(p.executor).proposedSteps[:len(rs.slot(p.executor).proposedSteps)-1]
		if ts.step.PerExecutor > 0 {
			rs.taskCounts(ts)[p.executor]--
		}
	}
}

// deduct removes the capacity of a preemption from the free capacity.
func (rs *roundState) deduct(pre *preemption) { rs.adjustFree(pre, workload.Resources.Sub, false) }

// credit makes the capacity of a preemption available to its holder.
func (rs *roundState) credit(pre *preemption) { rs.adjustFree(pre, workload.Resources.Add, true) }

func (rs *roundState) adjustFree(pre *preemption, change func(free, need workload.Resources) workload.Resources, isCredited bool) {
	if pre == nil {
		return
	}
	pre.isCredited = isCredited
	for _, e := range pre.targets {
		if rs.isListed(e) {
			rs.setFree(e, change(rs.slot(e).free, pre.need))
		}
	}
}

// anyUnavailable reports whether any of the executors accepts no runs now.
func (rs *roundState) anyUnavailable(executors []*executor) bool {
	return slices.ContainsFunc(executors, func(e *executor) bool { return !rs.isListed(e) })
}

// taskCounts returns how many tasks of the step each executor has.
func (rs *roundState) taskCounts(ts *taskSet) map[*executor]int {
	if counts := rs.tasksPerExecutor[ts.key]; counts != nil {
		return counts
	}
	counts := map[*executor]int{}
	rs.tasksPerExecutor[ts.key] = counts
	rs.work += len(ts.job.Occurrences[ts.key.occurrence].Steps[ts.key.step].Tasks)
	for i := range ts.job.Occurrences[ts.key.occurrence].Steps[ts.key.step].Tasks {
		t := &ts.job.Occurrences[ts.key.occurrence].Steps[ts.key.step].Tasks[i]
		if t.Run == nil {
			continue
		}
		if e := rs.listed(rs.byID[t.Run.Executor.ID], t.Run.Executor); e != nil {
			counts[e]++
		}
	}
	for _, start := range rs.proposedStarts(ts.key) {
		if e := rs.listed(rs.byID[start.Executor.ID], start.Executor); e != nil {
			counts[e]++
		}
	}
	return counts
}

// proposedStarts returns the starts of a step that are proposed and not yet applied. Those of this
// round are in tasksPerExecutor.
func (rs *roundState) proposedStarts(key stepKey) []workload.Start {
	if rs.proposed == nil {
		rs.proposed = map[stepKey][]workload.Start{}
		for task, start := range rs.pendingStarts {
			rs.proposed[stepKeyOf(task)] = append(rs.proposed[stepKeyOf(task)], start)
		}
	}
	return rs.proposed[key]
}

// taskShape is what decides on which executors a task could run if nothing else did.
type taskShape struct {
	service, label string
	need           workload.Resources
}

func shapeOf(ts *taskSet) taskShape {
	return taskShape{service: ts.job.Service, label: ts.step.Requires, need: ts.step.Allocation()}
}

// hasNoRoom reports whether no executor is known to have room for a task of a task set.
func (rs *roundState) hasNoRoom(ts *taskSet) bool {
	releases, known := rs.full[shapeOf(ts)]
	return known && releases == rs.releases
}

// maxTasks is the number of tasks of a task set that the round could compare with all executors.
func (rs *roundState) maxTasks() int {
	return max(1, (rs.maxWork-rs.work)/max(1, len(rs.executors)))
}

// conflictsWithProposed reports whether a proposed run on the executor must not
// run beside the task set, because one is user-facing and the other
// best-effort.
func (rs *roundState) conflictsWithProposed(ts *taskSet, e *executor) bool {
	if ts.step.TailLatencyTarget == 0 && !ts.step.BestEffort {
		return false
	}
	for _, step := range rs.slot(e).proposedSteps {
		if (step.BestEffort && ts.step.TailLatencyTarget > 0) || (step.TailLatencyTarget > 0 && ts.step.BestEffort) {
			return true
		}
	}
	return false
}

// allows reports whether a task of a task set may be started on an executor
// now.
func (rs *roundState) allows(ts *taskSet, e *executor) bool {
	if !rs.satisfiesConstraints(ts, e) {
		return false
	}
	if ts.advice == nil {
		return true
	}
	_, valid := ts.advice.ticket(rs.now, e.key)
	return valid
}

// matches reports whether an executor is in the pool of a task set and has the
// label that its step requires.
func (ts *taskSet) matches(e *executor) bool {
	return e.service == ts.job.Service && (ts.step.Requires == "" || e.hasLabel(ts.step.Requires))
}

// matchesAll reports whether a task set matches all of the executors.
func (ts *taskSet) matchesAll(executors []*executor) bool {
	return !slices.ContainsFunc(executors, func(e *executor) bool { return !ts.matches(e) })
}

// satisfiesConstraints reports whether the constraints of a step let it run on
// an executor.
func (rs *roundState) satisfiesConstraints(ts *taskSet, e *executor) bool {
	return e.isCompatible(ts.step) && !rs.conflictsWithProposed(ts, e) && rs.isOpenTo(ts, e)
}

// isOpenTo reports whether a task set may use an executor as far as its runs do not matter.
func (rs *roundState) isOpenTo(ts *taskSet, e *executor) bool {
	if !ts.matches(e) {
		return false
	}
	if rs.slot(e).urgentOnly && ts.job.Priority > 0 && rs.exempt != ts {
		return false
	}
	if res := rs.slot(e).reservedFor; res != nil && rs.exempt != ts && !res.mayUse(rs.now, ts) {
		return false
	}
	if rs.yields(ts, e) || ts.avoidsSuspected && rs.isSuspectedFor(ts, e) {
		return false
	}
	return ts.step.PerExecutor == 0 || rs.taskCounts(ts)[e] < ts.step.PerExecutor
}
