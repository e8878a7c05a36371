package fleet

import (
	"cmp"
	"math"
	"time"

	"cranberrydrum.dev/scheduler/workload"
)

const (
	// roundInterval is the minimum time between rounds. Changes within it are
	// handled in one round.
	roundInterval = 20 * time.Millisecond
	// idleRoundInterval is added to roundInterval if nothing has changed. Due
	// times and the ends of waits still need rounds.
	idleRoundInterval = 100 * time.Millisecond
)

// stepKey identifies a step of one occurrence.
type stepKey struct {
	job              string
	occurrence, step int
}

// stepKeyOf returns the step and occurrence that a task belongs to.
func stepKeyOf(key workload.TaskKey) stepKey {
	return stepKey{job: key.Job, occurrence: key.Occurrence, step: key.Step}
}

// task returns the key of a task of the step.
func (k stepKey) task(index int) workload.TaskKey {
	return workload.TaskKey{Job: k.job, Occurrence: k.occurrence, Step: k.step, Index: index}
}

// taskSet is the set of waiting tasks of a step.
type taskSet struct {
	key   stepKey
	job   *workload.Job
	step  *workload.Step
	tasks []int
	// waiting counts the waiting tasks, of which tasks may be the first ones.
	waiting int
	// waitingSince is when the tasks became runnable.
	waitingSince time.Duration
	// advice is set for queues that require it.
	advice *stepAdvice
	// tier is 1 if the job has no value left, otherwise 0. Among task sets with
	// equal guaranteed, tier 0 comes first.
	tier int
	// guaranteed is set if the tasks lie within the guarantee of their
	// customer.
	guaranteed bool
	// expectedRunTime is that of a task, runTimeBound a time within which most
	// tasks end.
	expectedRunTime, runTimeBound time.Duration
	// mayYield is set if the task set leaves room to more urgent gangs.
	mayYield bool
	// avoidsSuspected is set while the task set takes no executors that are suspected.
	avoidsSuspected bool
}

// round places waiting tasks.
func (c *Controller) round(now, unix time.Duration) {
	c.dirty, c.searchPending = false, false
	c.nextRound = now + roundInterval
	c.facts = map[*workload.Job]*jobFacts{}
	defer func() { c.facts = nil }()
	lap := c.startLaps()
	c.stopStalledRuns(now)
	c.backlog.removeEnded()
	c.insideGuarantee = c.findGuaranteedJobs()
	rs := c.newRoundState(now)
	held := c.heldTaskSets(now, unix, rs)
	c.out.Gangs, c.out.Round = &GangCounts{}, &RoundCounts{}
	c.out.Overload.HasRound, c.out.Overload.SuspectedExecutors = true, len(rs.suspected)
	if c.dueSince > 0 {
		c.out.Round.Waited, c.dueSince = now-c.dueSince, 0
	}
	c.refreshReservations(rs, held)
	c.updateUrgentOnly(now, unix, rs)
	c.expirePreemptions(now, rs, held)
	t := c.newTurns(now, unix, rs, held)
	lap(partSelect)
	t.run()
	c.requestAdvice(now, rs, t.unadvised)
	lap(partPlace)
	counts := c.out.Round
	counts.TaskSets, counts.Unplaced, counts.Starts, counts.Searches = len(t.visited), t.unplaced, len(t.starts), rs.searches
	if rs.searches > 0 {
		c.nextSearchRound = now + rs.searchPause(searchRoundInterval)
	}
	c.updateForecast(now, unix, rs, append(t.visited, t.left...), t.starts)
	lap(partForecast)
	counts.Left = rs.leftSteps
	c.recordWork(now, rs, counts)
	if len(t.starts) > 0 {
		c.out.Commands = append(c.out.Commands, &workload.Command{At: unix, Starts: t.starts})
	}
}

// heldTaskSets returns the waiting task sets that hold a preemption or a reservation.
func (c *Controller) heldTaskSets(now, unix time.Duration, rs *roundState) map[stepKey]*taskSet {
	held := map[stepKey]*taskSet{}
	hold := func(key stepKey) {
		a := c.backlog.known[key.job]
		if a == nil || key.occurrence >= a.job.Spec.DueOccurrences(unix) || a.job.NextWaiting(key.step, key.occurrence, key.occurrence+1) != key.occurrence {
			return
		}
		if ts := c.newTaskSet(now, unix, rs, a, key.occurrence, key.step); ts != nil {
			held[key] = ts
		}
	}
	for key := range c.preemptions {
		hold(key)
	}
	for key := range c.reservations {
		if held[key] == nil {
			hold(key)
		}
	}
	return held
}

// newTaskSet returns the task set of a step that waits, or nil if its tasks have proposed starts.
func (c *Controller) newTaskSet(now, unix time.Duration, rs *roundState, a *activeJob, k, i int) *taskSet {
	ts := c.describe(now, unix, a, k, i)
	if !c.listTasks(now, rs, ts) {
		return nil
	}
	return ts
}

// listTasks lists the tasks of a task set. It reports false if there are none, because their starts
// are proposed.
func (c *Controller) listTasks(now time.Duration, rs *roundState, ts *taskSet) bool {
	k, i := ts.key.occurrence, ts.key.step
	tasks, isCut := c.waitingTasks(rs, ts.job, k, i)
	if len(tasks) == 0 {
		return false
	}
	ts.tasks, ts.waiting = tasks, len(tasks)
	if isCut {
		ts.waiting = ts.job.Occurrences[k].Steps[i].Idle()
	}
	if len(ts.step.DependsOn) > 0 {
		if _, known := c.runnableSince[ts.key]; !known {
			c.runnableSince[ts.key] = now
		}
		ts.waitingSince = c.runnableSince[ts.key]
	}
	return true
}

// describe returns the task set of a step without its tasks.
func (c *Controller) describe(now, unix time.Duration, a *activeJob, k, i int) *taskSet {
	expected, bound := c.runTime(a.job, i)
	return &taskSet{
		expectedRunTime: expected, runTimeBound: bound,
		key: stepKey{job: a.job.ID, occurrence: k, step: i}, job: a.job, step: &a.job.Spec.Steps[i], waitingSince: a.waitingSince(now, c.unixOffset, k),
		tier: c.tierOf(a.job, k, unix), guaranteed: c.insideGuarantee[a.job.ID],
	}
}

// waitingTasks returns the tasks of a step that have no run. A gang is returned as a whole, once the
// last run of every member is over. Of other steps there are at most as many as the round could
// compare with every executor; isCut reports whether there may be more.
func (c *Controller) waitingTasks(rs *roundState, j *workload.Job, k, i int) (tasks []int, isCut bool) {
	step := &j.Occurrences[k].Steps[i]
	isGang, limit := j.Spec.Steps[i].Gang, rs.maxTasks()
	for n := range step.Tasks {
		if !isGang && len(tasks) >= limit {
			return tasks, true
		}
		rs.work++
		t := &step.Tasks[n]
		if t.Done || t.Run != nil {
			continue
		}
		if _, pending := c.pendingStarts[workload.TaskKey{Job: j.ID, Occurrence: k, Step: i, Index: n}]; !pending {
			tasks = append(tasks, n)
		}
	}
	if isGang && len(tasks) < len(step.Tasks) {
		return nil, false
	}
	return tasks, false
}

func compareTaskSets(a, b *taskSet) int {
	switch {
	case a.guaranteed != b.guaranteed:
		if a.guaranteed {
			return -1
		}
		return 1
	case a.tier != b.tier:
		return a.tier - b.tier
	case a.job.Priority != b.job.Priority:
		return a.job.Priority - b.job.Priority
	case a.job.Sequence != b.job.Sequence:
		return cmp.Compare(a.job.Sequence, b.job.Sequence)
	case a.key.occurrence != b.key.occurrence:
		return a.key.occurrence - b.key.occurrence
	}
	return a.key.step - b.key.step
}

// findGuaranteedJobs returns the IDs of the urgent jobs that lie within the
// guarantees. Jobs that were accepted earlier take precedence.
func (c *Controller) findGuaranteedJobs() map[string]bool {
	guaranteed := map[string]bool{}
	used := map[string]int64{}
	for _, a := range c.backlog.jobs {
		j := a.job
		if j.Priority != 0 {
			continue
		}
		if limit := c.state.Guaranteed(j.Customer); limit > 0 && a.gpus <= limit-used[j.Customer] {
			used[j.Customer] += a.gpus
			guaranteed[j.ID] = true
		}
	}
	return guaranteed
}

// widestGPU is the number of accelerators that the widest step of a job needs, or
// math.MaxInt64 if that is larger.
func widestGPU(j *workload.Job) int64 {
	widest := int64(0)
	for i := range j.Spec.Steps {
		count, gpus := int64(j.Spec.Steps[i].Count), j.Spec.Steps[i].Demand.GPU
		if gpus > math.MaxInt64/count {
			return math.MaxInt64
		}
		widest = max(widest, count*gpus)
	}
	return widest
}

// placeTaskSet starts as many tasks of a task set as fit, or frees or reserves
// capacity for them.
func (c *Controller) placeTaskSet(now time.Duration, rs *roundState, ts *taskSet) []workload.Start {
	rs.credit(c.preemptions[ts.key])
	places, ok := c.findReliablePlaces(now, rs, ts)
	if !ok {
		c.displaceBestEffort(now, rs, ts, places)
	}
	if !ok && c.mayReclaim(now, ts) {
		c.endOutdatedReservation(rs, ts)
		return c.reclaim(now, rs, ts, places)
	}
	if ts.step.Gang && !ok {
		rs.deallocate(ts, places)
		rs.deduct(c.preemptions[ts.key])
		c.recordWait(now, rs, ts, c.reserveForGang(now, rs, ts))
		if rs.pools.mayHold(ts.job.Service, ts.step) {
			rs.yieldToGang(ts)
		}
		return nil
	}
	c.keepPreempted(rs, ts, places)
	return c.start(ts, places)
}

// place assigns a task to an executor.
type place struct {
	task     int
	executor *executor
	// victims are the runs that have to stop before the task fits.
	victims []*victim
}

// start turns places into proposed starts.
func (c *Controller) start(ts *taskSet, places []place) []workload.Start {
	if len(places) == ts.waiting {
		delete(c.preemptions, ts.key)
		delete(c.gangWaits, ts.key)
		c.forgetSearches(ts.key)
	}
	tasks := ts.job.Occurrences[ts.key.occurrence].Steps[ts.key.step].Tasks
	number := 0
	for _, n := range ts.tasks {
		number = max(number, tasks[n].LastRun)
	}
	starts := make([]workload.Start, 0, len(places))
	for _, p := range places {
		run := tasks[p.task].LastRun + 1
		if ts.step.Gang {
			run = number + 1
		}
		key := ts.key.task(p.task)
		c.pendingStarts[key] = workload.Start{Task: key, Run: run, Executor: p.executor.key}
		starts = append(starts, c.pendingStarts[key])
	}
	if len(starts) > 0 {
		c.log.Info("tasks placed", "job", ts.key.job, "occurrence", ts.key.occurrence, "step", ts.key.step, "tasks", len(starts), "waiting", len(ts.tasks)-len(starts),
			"priority", ts.job.Priority, "guaranteed", ts.guaranteed, "config_version", c.state.Config().Version)
	}
	return starts
}
