package jobs

import (
	"slices"
	"time"

	"cranberrydrum.dev/scheduler/structs"
)

// gang collects which members of a reserved run have prepared.
type gang struct {
	run      uint64
	prepared []bool
	missing  int
	at       attempt
}

// merge takes the task reports of a worker. A task that is not listed says
// nothing, because the report may be older than the task.
func (c *Controller) merge(now time.Duration, w *worker, r structs.WorkerReport) {
	for _, t := range r.Tasks {
		j := c.state.jobs[t.Job]
		if j == nil || j.Run != t.Run || !j.active() {
			continue
		}
		i := j.member(w.ID)
		if i < 0 || ended(j.phases[i]) {
			continue
		}
		switch t.Phase {
		case structs.TaskPrepared, structs.TaskRunning:
			c.notePrepared(now, j, i)
		case structs.TaskCheckpointed:
			if j.Status == structs.JobStopping && !j.halt && j.phases[i] == "" {
				c.noteReport(w.ID, t)
			}
		case structs.TaskFailed:
			c.noteFailure(now, j, w.ID)
			c.noteReport(w.ID, t)
		case structs.TaskStopped, structs.TaskSucceeded:
			c.noteReport(w.ID, t)
		}
	}
}

// notePrepared marks a member as prepared, and the gang as ready when it was
// the last one.
func (c *Controller) notePrepared(now time.Duration, j *job, i int) {
	if j.Status != structs.JobReserved {
		return
	}
	g := c.gangs[j.ID]
	if g == nil || g.run != j.Run {
		g = &gang{run: j.Run, prepared: make([]bool, len(j.Members)), missing: len(j.Members)}
		c.gangs[j.ID] = g
	}
	if !g.prepared[i] {
		g.prepared[i] = true
		g.missing--
	}
	if g.missing == 0 && g.at.due(now, c.cfg.Retry) {
		c.ready = append(c.ready, j.ID)
	}
}

// noteReport queues a report for the log, once per batch.
func (c *Controller) noteReport(worker string, t structs.TaskReport) {
	m := MemberReport{Worker: worker, Job: t.Job, Run: t.Run, Phase: t.Phase, Error: bounded(t.Error)}
	if _, ok := c.reported[m]; ok {
		return
	}
	c.reported[m] = struct{}{}
	c.reports = append(c.reports, m)
}

// maxReports bounds the reports of one command, so that it fits a frame of
// 1 MiB even when each carries an error text of MaxErrorBytes.
const maxReports = 1024

// proposeReports logs the reports since the last tick. The workers repeat them
// until the orders show that they were applied.
func (c *Controller) proposeReports(now time.Duration, out []Command) []Command {
	for batch := range slices.Chunk(c.reports, maxReports) {
		out = append(out, c.command(now, &ReportTasks{Reports: slices.Clone(batch)}))
	}
	if len(c.reports) > 0 {
		c.reports = nil
		clear(c.reported)
	}
	return out
}

// startGangs starts reserved gangs whose members have all prepared and whose
// workers all hold a lease.
func (c *Controller) startGangs(now time.Duration, out []Command) []Command {
	for _, id := range c.ready {
		j := c.state.jobs[id]
		g := c.gangs[id]
		if j == nil || g == nil || j.Run != g.run || j.Status != structs.JobReserved {
			continue
		}
		if c.allLeased(j) {
			out = append(out, c.command(now, &StartGang{Job: id, Run: j.Run}))
		}
	}
	c.ready = c.ready[:0]
	return out
}

// allLeased reports whether all workers of a gang hold a lease.
func (c *Controller) allLeased(j *job) bool {
	for _, m := range j.Members {
		if l := c.leases[m.Worker]; l == nil || l.declared {
			return false
		}
	}
	return true
}

// ordersFor derives the orders to a worker from the applied state. What the
// worker has reported only decides whether the details of a task are repeated.
func (c *Controller) ordersFor(w *worker, r structs.WorkerReport) []structs.TaskOrder {
	orders := make([]structs.TaskOrder, 0, len(w.jobs))
	for _, j := range w.jobs {
		i := j.member(w.ID)
		if ended(j.phases[i]) {
			continue
		}
		o := structs.TaskOrder{Job: j.ID, Run: j.Run, Action: j.action()}
		if o.Action == structs.ActionPrepare && !reports(r, j) {
			o.Accelerators = slices.Clone(j.Members[i].Accelerators)
			limits := w.Share(len(o.Accelerators))
			o.Limits = &limits
			o.Command = slices.Clone(j.Spec.Command)
		}
		orders = append(orders, o)
	}
	return orders
}

// action returns what the members of a job have to do.
func (j *job) action() structs.TaskAction {
	switch {
	case j.Status == structs.JobReserved:
		return structs.ActionPrepare
	case j.Status == structs.JobRunning:
		return structs.ActionStart
	case j.halt:
		return structs.ActionStop
	}
	return structs.ActionCheckpoint
}

// reports tells whether a worker holds the current run of a job.
func reports(r structs.WorkerReport, j *job) bool {
	return slices.ContainsFunc(r.Tasks, func(t structs.TaskReport) bool { return t.Job == j.ID && t.Run == j.Run })
}
