package jobs

import (
	"slices"
	"time"

	"cranberrydrum.dev/scheduler/structs"
)

// preparation tracks which members of a reserved run have prepared.
type preparation struct {
	run      uint64
	prepared []bool
	// unprepared counts the members that have not prepared.
	unprepared    int
	startProposal pendingProposal
}

// mergeReports processes the task reports in a renewal. A task missing from the
// report is not treated as ended, because the report may be older than the task.
func (c *Controller) mergeReports(now time.Duration, w *worker, r structs.WorkerReport) {
	for _, t := range r.Tasks {
		j := c.state.jobs[t.Job]
		if j == nil || j.Run != t.Run || !j.active() {
			continue
		}
		i := j.member(w.ID)
		if i < 0 || isTerminal(j.phases[i]) {
			continue
		}
		switch t.Phase {
		case structs.TaskPrepared, structs.TaskRunning:
			c.markPrepared(now, j, i)
		case structs.TaskCheckpointed:
			if j.Status == structs.JobStopping && !j.stopNow && j.phases[i] == "" {
				c.queueReport(w.ID, t)
			}
		case structs.TaskFailed:
			c.recordFailure(now, j, w.ID)
			c.queueReport(w.ID, t)
		case structs.TaskStopped, structs.TaskSucceeded:
			c.queueReport(w.ID, t)
		}
	}
}

// markPrepared marks a member as prepared. Once all members are prepared, it
// marks the gang as ready to start.
func (c *Controller) markPrepared(now time.Duration, j *job, i int) {
	if j.Status != structs.JobReserved {
		return
	}
	prep := c.preparations[j.ID]
	if prep == nil || prep.run != j.Run {
		prep = &preparation{run: j.Run, prepared: make([]bool, len(j.Members)), unprepared: len(j.Members)}
		c.preparations[j.ID] = prep
	}
	if !prep.prepared[i] {
		prep.prepared[i] = true
		prep.unprepared--
	}
	if prep.unprepared == 0 && prep.startProposal.tryBegin(now, c.cfg.Retry) {
		c.readyGangs = append(c.readyGangs, j.ID)
	}
}

// queueReport queues a report for the log unless the batch already contains it.
func (c *Controller) queueReport(worker string, t structs.TaskReport) {
	m := MemberReport{Worker: worker, Job: t.Job, Run: t.Run, Phase: t.Phase, Error: truncateError(t.Error)}
	if _, ok := c.reportSet[m]; ok {
		return
	}
	c.reportSet[m] = struct{}{}
	c.reports = append(c.reports, m)
}

// maxReports bounds the number of reports in one command, so that the command
// fits a frame of 1 MiB even if each report carries an error text of
// MaxErrorBytes.
const maxReports = 1024

// proposeReports proposes the reports received since the last tick. Workers
// repeat a report until their orders show that it was applied.
func (c *Controller) proposeReports(now time.Duration, out []Command) []Command {
	for batch := range slices.Chunk(c.reports, maxReports) {
		out = append(out, c.command(now, &ReportTasks{Reports: slices.Clone(batch)}))
	}
	if len(c.reports) > 0 {
		c.reports = nil
		clear(c.reportSet)
	}
	return out
}

// startGangs proposes to start reserved gangs whose members have all prepared and
// whose workers all hold a lease.
func (c *Controller) startGangs(now time.Duration, out []Command) []Command {
	for _, id := range c.readyGangs {
		j := c.state.jobs[id]
		prep := c.preparations[id]
		if j == nil || prep == nil || j.Run != prep.run || j.Status != structs.JobReserved {
			continue
		}
		if c.allLeased(j) {
			out = append(out, c.command(now, &StartGang{Job: id, Run: j.Run}))
		}
	}
	c.readyGangs = c.readyGangs[:0]
	return out
}

// allLeased reports whether all workers of a gang hold a lease.
func (c *Controller) allLeased(j *job) bool {
	for _, m := range j.Members {
		if l := c.leases[m.Worker]; l == nil || l.declaredLost {
			return false
		}
	}
	return true
}

// ordersFor derives the orders for a worker from the applied state. The worker's
// report only determines whether a prepare order repeats the details of a task.
func (c *Controller) ordersFor(w *worker, r structs.WorkerReport) []structs.TaskOrder {
	orders := make([]structs.TaskOrder, 0, len(w.jobs))
	for _, j := range w.jobs {
		i := j.member(w.ID)
		if isTerminal(j.phases[i]) {
			continue
		}
		o := structs.TaskOrder{Job: j.ID, Run: j.Run, Action: j.action()}
		if o.Action == structs.ActionPrepare && !reportsRun(r, j) {
			o.Accelerators = slices.Clone(j.Members[i].Accelerators)
			limits := w.LimitsFor(len(o.Accelerators))
			o.Limits = &limits
			o.Command = slices.Clone(j.Spec.Command)
		}
		orders = append(orders, o)
	}
	return orders
}

// action returns the action ordered from the members of a job.
func (j *job) action() structs.TaskAction {
	switch {
	case j.Status == structs.JobReserved:
		return structs.ActionPrepare
	case j.Status == structs.JobRunning:
		return structs.ActionStart
	case j.stopNow:
		return structs.ActionStop
	}
	return structs.ActionCheckpoint
}

// reportsRun reports whether a worker's report lists the current run of a job.
func reportsRun(r structs.WorkerReport, j *job) bool {
	return slices.ContainsFunc(r.Tasks, func(t structs.TaskReport) bool { return t.Job == j.ID && t.Run == j.Run })
}
