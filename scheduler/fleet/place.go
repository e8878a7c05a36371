package fleet

import (
	"cmp"
	"slices"
	"time"

	"cranberrydrum.dev/scheduler/workload"
)

const (
	// roundInterval joins the changes of one moment into one round.
	roundInterval = 20 * time.Millisecond
	// idleRound is the time between rounds when nothing changes, for due times
	// and waits that end.
	idleRound = 100 * time.Millisecond
)

// unitKey names a step of one occurrence.
type unitKey struct {
	job              string
	occurrence, step int
}

// unitOf returns the step and occurrence that a task belongs to.
func unitOf(key workload.TaskKey) unitKey {
	return unitKey{job: key.Job, occurrence: key.Occurrence, step: key.Step}
}

// task names a task of the unit.
func (k unitKey) task(index int) workload.TaskKey {
	return workload.TaskKey{Job: k.job, Occurrence: k.occurrence, Step: k.step, Index: index}
}

// unit is the set of tasks of a step that wait for room.
type unit struct {
	key   unitKey
	job   *workload.Job
	step  *workload.Step
	tasks []int
	// since is when the tasks became runnable.
	since time.Duration
	// advice is set for queues that need it.
	advice *advice
	// class orders units before all else; 0 comes first.
	class int
	// guaranteed is set if the tasks lie within the guarantee of their customer.
	guaranteed bool
}

// round places waiting tasks.
func (c *Controller) round(now, unix time.Duration) {
	c.dirty = false
	c.nextRound = now + roundInterval
	c.watch(now)
	units := c.units(now, unix)
	r := c.newRoom(now)
	waiting := byKey(units)
	c.refreshBookings(r, waiting)
	c.reserve(now, r)
	c.dropClaims(now, r, waiting)
	var starts []workload.Start
	var short []*unit
	for _, u := range units {
		u.advice = c.adviceOn(u)
		placed := c.placeUnit(now, r, u)
		starts = append(starts, placed...)
		if u.advice != nil && len(placed) < len(u.tasks) {
			short = append(short, u)
		}
	}
	c.seek(now, r, short)
	if len(starts) > 0 {
		c.out.Commands = append(c.out.Commands, &workload.Command{At: unix, Starts: starts})
	}
}

// byKey finds units by their key.
func byKey(units []*unit) map[unitKey]*unit {
	found := map[unitKey]*unit{}
	for _, u := range units {
		found[u.key] = u
	}
	return found
}

// units lists what waits for room, the most urgent first.
func (c *Controller) units(now, unix time.Duration) []*unit {
	var units []*unit
	c.inside = c.guaranteedJobs()
	c.state.Jobs(func(j *workload.Job) {
		c.learn(j)
		if j.Phase.Ended() {
			return
		}
		for k := range j.Occurrences {
			if j.Occurrences[k].Remaining == 0 || unix < j.Spec.DueAt(k) {
				continue
			}
			units = c.unitsOf(now, unix, units, j, k)
		}
	})
	c.learnt = c.newest
	slices.SortFunc(units, compareUnits)
	return units
}

func (c *Controller) unitsOf(now, unix time.Duration, units []*unit, j *workload.Job, k int) []*unit {
	for i := range j.Spec.Steps {
		if !j.Runnable(k, i) {
			continue
		}
		tasks := c.waitingTasks(j, k, i)
		if len(tasks) == 0 {
			continue
		}
		key := unitKey{job: j.ID, occurrence: k, step: i}
		if _, known := c.waiting[key]; !known {
			c.waiting[key] = now
		}
		units = append(units, &unit{
			key: key, job: j, step: &j.Spec.Steps[i], tasks: tasks, since: c.waiting[key],
			class: classOf(j, k, unix), guaranteed: c.inside[j.ID],
		})
	}
	return units
}

// waitingTasks returns the tasks of a step that have no run; a gang waits as a
// whole, once the last run of every member is over.
func (c *Controller) waitingTasks(j *workload.Job, k, i int) []int {
	step := &j.Occurrences[k].Steps[i]
	var tasks []int
	for n := range step.Tasks {
		t := &step.Tasks[n]
		if t.Done || t.Run != nil {
			continue
		}
		if _, decided := c.decided[workload.TaskKey{Job: j.ID, Occurrence: k, Step: i, Index: n}]; !decided {
			tasks = append(tasks, n)
		}
	}
	if j.Spec.Steps[i].Gang && len(tasks) < len(step.Tasks) {
		return nil
	}
	return tasks
}

func compareUnits(a, b *unit) int {
	switch {
	case a.guaranteed != b.guaranteed:
		if a.guaranteed {
			return -1
		}
		return 1
	case a.class != b.class:
		return a.class - b.class
	case a.job.Priority != b.job.Priority:
		return a.job.Priority - b.job.Priority
	case a.job.Sequence != b.job.Sequence:
		return cmp.Compare(a.job.Sequence, b.job.Sequence)
	case a.key.occurrence != b.key.occurrence:
		return a.key.occurrence - b.key.occurrence
	}
	return a.key.step - b.key.step
}

// guaranteedJobs returns the urgent jobs that lie within the guarantees.
func (c *Controller) guaranteedJobs() map[string]bool {
	var urgent []*workload.Job
	c.state.Jobs(func(j *workload.Job) {
		if !j.Phase.Ended() && j.Priority == 0 && c.state.Guaranteed(j.Customer) > 0 {
			urgent = append(urgent, j)
		}
	})
	slices.SortFunc(urgent, func(a, b *workload.Job) int { return cmp.Compare(a.Sequence, b.Sequence) })
	inside := map[string]bool{}
	used := map[string]int64{}
	for _, j := range urgent {
		need := widestGPU(j)
		if used[j.Customer]+need <= c.state.Guaranteed(j.Customer) {
			used[j.Customer] += need
			inside[j.ID] = true
		}
	}
	return inside
}

// widestGPU is the number of accelerators that the widest step of a job needs.
func widestGPU(j *workload.Job) int64 {
	widest := int64(0)
	for i := range j.Spec.Steps {
		widest = max(widest, int64(j.Spec.Steps[i].Count)*j.Spec.Steps[i].Need.GPU)
	}
	return widest
}

// placeUnit starts as many tasks of a unit as fit, or claims room for them.
func (c *Controller) placeUnit(now time.Duration, r *room, u *unit) []workload.Start {
	r.withdraw(c.claims[u.key])
	places, ok := c.seat(now, r, u)
	if !ok && c.mayReclaim(now, u) {
		return c.reclaim(now, r, u, places)
	}
	if u.step.Gang && !ok {
		r.restore(u, places)
		r.charge(c.claims[u.key])
		c.book(now, r, u)
		return nil
	}
	return c.start(u, places)
}

// place is a task with the executor that it is put on.
type place struct {
	task     int
	executor *executor
	victims  []*victim
}

// start turns places into decisions.
func (c *Controller) start(u *unit, places []place) []workload.Start {
	if len(places) == len(u.tasks) {
		delete(c.claims, u.key)
	}
	tasks := u.job.Occurrences[u.key.occurrence].Steps[u.key.step].Tasks
	number := 0
	for _, n := range u.tasks {
		number = max(number, tasks[n].LastRun)
	}
	starts := make([]workload.Start, 0, len(places))
	for _, p := range places {
		run := tasks[p.task].LastRun + 1
		if u.step.Gang {
			run = number + 1
		}
		key := u.key.task(p.task)
		c.decided[key] = workload.Start{Task: key, Run: run, Executor: p.executor.key}
		starts = append(starts, c.decided[key])
	}
	if len(starts) > 0 {
		c.log.Info("tasks placed", "job", u.key.job, "occurrence", u.key.occurrence, "step", u.key.step, "tasks", len(starts), "waiting", len(u.tasks)-len(starts),
			"priority", u.job.Priority, "guaranteed", u.guaranteed, "config_version", c.state.Config().Version)
	}
	return starts
}
