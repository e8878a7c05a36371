package fleet

import (
	"cmp"
	"container/heap"
	"math"
	"slices"
	"sort"
	"time"

	"cranberrydrum.dev/scheduler/workload"
)

const (
	// maxEqualFailures is the number of task sets of one step that a round tries without placing
	// all tasks of one. They differ in their occurrence only. Half of them are those that have
	// waited longest; the others take turns from round to round.
	maxEqualFailures = 8
	// visitWork is the work of a visit to a task set, in comparisons with an executor.
	visitWork = 16
)

// cursor yields the task sets of one step of a job, in the order of compareTaskSets.
type cursor struct {
	job  *activeJob
	step int
	// due is the number of occurrences that are due, late that of those among them, the first
	// ones, that have no value left.
	due, late int
	// position is that of the next occurrence: those with value come first.
	position int
	head     *taskSet
	// visited counts the task sets, and tasks the tasks, that were visited.
	visited, tasks int
	// failures counts the visits in a row after which tasks were left.
	failures int
	// single is set if the cursor has one task set, which holds a preemption or a reservation.
	single bool
}

// occurrenceAt returns the occurrence at a position.
func (cu *cursor) occurrenceAt(position int) int {
	if k := position + cu.late; k < cu.due {
		return k
	}
	return position + cu.late - cu.due
}

func (cu *cursor) positionOf(occurrence int) int {
	if occurrence >= cu.late {
		return occurrence - cu.late
	}
	return occurrence - cu.late + cu.due
}

// nextWaiting returns the first position from one on at which the step waits, or due.
func (cu *cursor) nextWaiting(position int) int {
	j := cu.job.job
	if valuable := cu.due - cu.late; position < valuable {
		if k := j.NextWaiting(cu.step, position+cu.late, cu.due); k < cu.due {
			return k - cu.late
		}
		position = valuable
	}
	if position >= cu.due {
		return cu.due
	}
	// The position after the last occurrence without value is due.
	return j.NextWaiting(cu.step, position+cu.late-cu.due, cu.late) + cu.due - cu.late
}

// cursors is a heap of cursors by the order of their next task sets.
type cursors []*cursor

func (c cursors) Len() int           { return len(c) }
func (c cursors) Less(i, j int) bool { return compareTaskSets(c[i].head, c[j].head) < 0 }
func (c cursors) Swap(i, j int)      { c[i], c[j] = c[j], c[i] }
func (c *cursors) Push(x any)        { *c = append(*c, x.(*cursor)) }
func (c *cursors) Pop() any {
	last := (*c)[len(*c)-1]
	*c = (*c)[:len(*c)-1]
	return last
}

// turns gives the waiting task sets of a round their turns, the most urgent first, until the work
// of the round is used up. Each customer has an equal share of it; what is left of a share goes to
// the others.
type turns struct {
	controller *Controller
	now, unix  time.Duration
	round      *roundState
	queue      cursors
	// postponed holds the cursors of customers whose share is used up.
	postponed cursors
	// held holds the task sets with a preemption or a reservation.
	held  map[stepKey]*taskSet
	share int
	spent map[string]int
	// visited holds the visited task sets in their order, left what the cursors have left.
	visited []*taskSet
	left    []*taskSet
	starts  []workload.Start
	// unadvised holds the visited task sets that need advice and were not placed.
	unadvised []*taskSet
	unplaced  int
}

// run visits task sets until none is left or the work of the round is used up.
func (t *turns) run() {
	t.visitQueue(true)
	t.queue, t.postponed = append(t.queue, t.postponed...), nil
	t.visitQueue(false)
	for _, cu := range t.queue {
		t.leave(cu)
	}
}

func (t *turns) visitQueue(isShared bool) {
	heap.Init(&t.queue)
	for len(t.queue) > 0 && !t.round.isUsedUp() {
		cu := t.queue[0]
		customer := cu.job.job.Customer
		if isShared && t.spent[customer] >= t.share {
			t.postponed = append(t.postponed, heap.Pop(&t.queue).(*cursor))
			continue
		}
		before := t.round.work
		isPlaced := t.visit(cu)
		if t.advance(cu, isPlaced) {
			heap.Fix(&t.queue, 0)
		} else {
			heap.Pop(&t.queue)
		}
		t.spent[customer] += t.round.work - before
	}
}

// visit tries to place the next task set of a cursor. It reports whether none of its tasks is left
// without a place.
func (t *turns) visit(cu *cursor) bool {
	c, ts := t.controller, cu.head
	t.round.work += visitWork
	if !cu.single && !c.listTasks(t.now, t.round, ts) {
		return true
	}
	t.visited = append(t.visited, ts)
	cu.visited++
	cu.tasks += len(ts.tasks)
	ts.advice = c.adviceFor(ts)
	ts.mayYield = c.mayYield(t.now, ts)
	placed := c.placeTaskSet(t.now, t.round, ts)
	t.starts = append(t.starts, placed...)
	if len(placed) == len(ts.tasks) {
		return true
	}
	t.unplaced++
	if ts.advice != nil {
		t.unadvised = append(t.unadvised, ts)
	}
	return false
}

// advance moves a cursor to its next task set. It reports false if there is none, or if the others
// would fail as well.
func (t *turns) advance(cu *cursor, isPlaced bool) bool {
	if cu.single {
		return false
	}
	cu.position++
	if isPlaced {
		cu.failures = 0
	} else {
		cu.failures++
		switch resume := cu.positionOf(cu.job.resumeAt(cu.step)); {
		case t.failsAlike(cu.head) || cu.failures >= maxEqualFailures:
			t.leave(cu)
			return false
		case cu.failures == maxEqualFailures/2 && resume < cu.due:
			cu.position = max(cu.position, resume)
		}
	}
	if t.findHead(cu) {
		return true
	}
	t.leave(cu)
	return false
}

// failsAlike reports whether no other task set of the step of one that was not placed can be placed
// in this round, nor needs the round for another reason. While the pool could hold it, a gang may
// reserve executors, and an urgent task set may stop runs.
func (t *turns) failsAlike(ts *taskSet) bool {
	if !t.round.pools.mayHold(ts.job.Service, ts.step) {
		return true
	}
	return !ts.step.Gang && ts.job.Priority > 0 && t.round.hasNoRoom(ts)
}

// findHead finds the next task set of a cursor. It reports whether there is one, and the work of
// the round is not used up.
func (t *turns) findHead(cu *cursor) bool {
	for ; ; cu.position++ {
		cu.position = cu.nextWaiting(cu.position)
		if cu.position >= cu.due || t.round.isUsedUp() {
			return false
		}
		t.round.work++
		k := cu.occurrenceAt(cu.position)
		if t.held[stepKey{job: cu.job.job.ID, occurrence: k, step: cu.step}] == nil {
			cu.head = t.controller.describe(t.now, t.unix, cu.job, k, cu.step)
			return true
		}
	}
}

// leave records what a cursor leaves for a later round.
func (t *turns) leave(cu *cursor) {
	if cu.single {
		return
	}
	next := cu.nextWaiting(cu.position)
	if next < cu.due {
		cu.job.setResume(cu.step, cu.occurrenceAt(next))
	} else {
		cu.job.setResume(cu.step, 0)
	}
	j := cu.job.job
	if next < cu.due {
		t.round.leftSteps += max(0, j.WaitingSteps(cu.step, cu.due)-cu.visited)
	}
	_, idle := j.DueTasks(cu.step, cu.due)
	if waiting := idle - cu.tasks; waiting > 0 && next < cu.due {
		ts := t.controller.describe(t.now, t.unix, cu.job, cu.occurrenceAt(next), cu.step)
		ts.waiting = waiting
		t.left = append(t.left, ts)
	}
}

// newTurns returns the turns of a round. held are the task sets that must have one.
func (c *Controller) newTurns(now, unix time.Duration, rs *roundState, held map[stepKey]*taskSet) *turns {
	t := &turns{controller: c, now: now, unix: unix, round: rs, held: held, spent: map[string]int{}}
	for key, ts := range held {
		if a := c.backlog.known[key.job]; a != nil {
			t.queue = append(t.queue, &cursor{job: a, step: key.step, head: ts, single: true})
		}
	}
	waiting, customers := c.waitingJobs(unix, rs)
	for _, a := range waiting {
		t.addCursors(a)
	}
	t.share = max(1, rs.maxWork/max(customers, 1))
	return t
}

// addCursors adds the cursors of a job.
func (t *turns) addCursors(a *activeJob) {
	due := a.job.Spec.DueOccurrences(t.unix)
	late := sort.Search(due, func(k int) bool { return t.controller.tierOf(a.job, k, t.unix) == 0 })
	for i := range a.job.Spec.Steps {
		if t.round.isSetAside(a.job, i) {
			continue
		}
		if cu := (&cursor{job: a, step: i, due: due, late: late}); t.findHead(cu) {
			t.queue = append(t.queue, cu)
		}
	}
}

// waitingJobs returns the jobs with due steps that wait, as many as a round has work for, and the
// number of their customers.
func (c *Controller) waitingJobs(unix time.Duration, rs *roundState) (jobs []*activeJob, customers int) {
	byCustomer := map[string][]*activeJob{}
	steps := 0
	for _, a := range c.backlog.jobs {
		waiting := rs.waitingSteps(a, unix)
		if waiting == 0 {
			continue
		}
		steps += waiting
		jobs = append(jobs, a)
		byCustomer[a.job.Customer] = append(byCustomer[a.job.Customer], a)
	}
	c.budget.waitingSteps = steps
	if limit := c.budget.maxSteps(rs); steps > limit {
		rs.leftJobs = len(jobs)
		jobs = c.backlog.chooseJobs(byCustomer, limit)
		rs.leftJobs -= len(jobs)
	}
	return jobs, len(byCustomer)
}

// waitingSteps returns the number of steps of a job that wait in some due occurrence and are not set
// aside.
func (rs *roundState) waitingSteps(a *activeJob, unix time.Duration) int {
	if !a.job.HasWaitingSteps() {
		return 0
	}
	due, n := a.job.Spec.DueOccurrences(unix), 0
	for i := range a.job.Spec.Steps {
		switch {
		case a.job.NextWaiting(i, 0, due) == due:
		case rs.isSetAside(a.job, i):
			rs.leftSteps += a.job.WaitingSteps(i, due)
		default:
			n++
		}
	}
	return n
}

// isSetAside reports whether a step is not tried because no executor of its pool could hold a task
// of it. That is found anew once an executor comes, goes or changes. A gang is tried all the same,
// so that the reason of its wait is logged.
func (rs *roundState) isSetAside(j *workload.Job, step int) bool {
	s := &j.Spec.Steps[step]
	return !s.Gang && !rs.pools.mayHold(j.Service, s)
}

// chooseJobs chooses among the waiting jobs of each customer, so that about so many steps have a
// turn. A customer gets an equal part, or what it needs if that is less. Half of the part goes to
// its most urgent jobs, the other half to each of its jobs in turn.
func (b *backlog) chooseJobs(byCustomer map[string][]*activeJob, steps int) []*activeJob {
	var names []string
	for name := range byCustomer {
		names = append(names, name)
	}
	slices.SortFunc(names, func(x, y string) int { return cmp.Or(len(byCustomer[x])-len(byCustomer[y]), cmp.Compare(x, y)) })
	var chosen []*activeJob
	for n, name := range names {
		before := len(chosen)
		chosen = b.chooseFrom(chosen, name, byCustomer[name], steps/(len(names)-n))
		for _, a := range chosen[before:] {
			steps -= len(a.job.Spec.Steps)
		}
		steps = max(steps, 0)
	}
	return chosen
}

func (b *backlog) chooseFrom(chosen []*activeJob, customer string, jobs []*activeJob, steps int) []*activeJob {
	taken := map[*activeJob]bool{}
	left := steps / 2
	take := func(a *activeJob) {
		if !taken[a] {
			taken[a] = true
			chosen = append(chosen, a)
			left -= len(a.job.Spec.Steps)
		}
	}
	for priority, isLast := lowestPriority(jobs, math.MinInt); !isLast && left > 0; priority, isLast = lowestPriority(jobs, priority) {
		for _, a := range jobs {
			if left > 0 && a.job.Priority == priority {
				take(a)
			}
		}
	}
	left += (steps + 1) / 2
	first := sort.Search(len(jobs), func(n int) bool { return jobs[n].job.Sequence > b.turns[customer] })
	for n := range jobs {
		a := jobs[(first+n)%len(jobs)]
		if left <= 0 {
			break
		}
		take(a)
		b.turns[customer] = a.job.Sequence
	}
	return chosen
}

// lowestPriority returns the lowest priority of the jobs above one, or true if there is none.
func lowestPriority(jobs []*activeJob, above int) (priority int, isLast bool) {
	priority = math.MaxInt
	for _, a := range jobs {
		if a.job.Priority > above {
			priority = min(priority, a.job.Priority)
		}
	}
	return priority, priority == math.MaxInt
}
