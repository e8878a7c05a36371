package fleet

import (
	"slices"
	"time"

	"cranberrydrum.dev/scheduler/workload"
)

const (
	// orderTimeout is how long the answer to a start or stop is waited for: a
	// few round trips between regions.
	orderTimeout = 500 * time.Millisecond
	// holdWait is the longest time the protocol lets an executor hold an answer.
	holdWait = 2 * time.Second
	// holdSlack is how much longer than the wait an answer may take.
	holdSlack = 700 * time.Millisecond
	// holdRetry is the pause after a hold without an answer; it grows with each
	// further one up to maxRetryFactor times.
	holdRetry      = 200 * time.Millisecond
	maxRetryFactor = 5
	// extendingHolds is how many holds in a row without an answer still extend
	// the lease; then it must run out, since what runs cannot be seen.
	extendingHolds = 2
	// startRetry is the least time between two starts of one run.
	startRetry = 100 * time.Millisecond
	// startPatience is how long a start without an answer is repeated.
	startPatience = 3 * time.Second
)

// orders sends the starts and stops that are due.
func (c *Controller) orders(now time.Duration) {
	for _, e := range c.executors {
		for key, r := range e.runs {
			c.order(now, e, key, r)
		}
	}
}

func (c *Controller) order(now time.Duration, e *executor, key workload.TaskKey, r *run) {
	if r.end != nil || (r.checked == c.changes && r.settled > 0 && r.stopWhy == "" && !e.draining) {
		return
	}
	r.checked = c.changes
	j := c.state.Job(key.Job)
	if r.stopWhy == "" {
		if why := c.stopReason(now, e, j, key, r); why != "" {
			r.halt(now, why)
			c.log.Info("run is stopped", "job", key.Job, "step", key.Step, "task", key.Index, "run", r.number, "executor", e.key.ID, "reason", r.stopWhy)
		}
	}
	switch {
	case r.stopWhy != "":
		c.sendStop(now, e, key, r)
	case r.settled == 0 && !r.starting && e.reported && now >= r.lastSent+startRetry:
		c.sendStart(now, e, key, r, j)
	}
}

// stopReason returns why a run must not go on, or nothing.
func (c *Controller) stopReason(now time.Duration, e *executor, j *workload.Job, key workload.TaskKey, r *run) string {
	if j.Phase.Ended() {
		return "job_" + j.Phase.String()
	}
	step := &j.Spec.Steps[key.Step]
	if r.settled == 0 && r.firstSent > 0 {
		patience := startPatience
		if step.Gang {
			patience = c.cfg.GangWait / 2
		}
		if now-r.firstSent > patience {
			return "start_unanswered"
		}
	}
	if step.Gang && j.Occurrences[key.Occurrence].Steps[key.Step].BrokenRun >= r.number {
		return "gang_broken"
	}
	if e.draining && c.leavesTooSoon(now, e, step, r) {
		return "executor_drains"
	}
	return ""
}

// leavesTooSoon reports whether a run on a draining executor cannot end there
// and had better move now. What saves its progress goes on as long as it can.
func (c *Controller) leavesTooSoon(now time.Duration, e *executor, step *workload.Step, r *run) bool {
	left := e.leaves - now
	if step.LongRunning || r.firstSent == 0 && r.term == c.term {
		return true
	}
	if remaining(now, step, r) < left+drainSlack {
		return false
	}
	return !step.Checkpoints || left < c.cfg.StopTime+evacuationTime
}

const (
	// drainSlack is how much longer than announced a draining executor is
	// expected to stay.
	drainSlack = 1 * time.Second
	// evacuationTime is what the order to stop and the list of ends take.
	evacuationTime = 500 * time.Millisecond
	// tellingPercent is the progress from which on its rate is trusted.
	tellingPercent = 10
)

// remaining estimates the time that a run still needs.
func remaining(now time.Duration, step *workload.Step, r *run) time.Duration {
	begun := r.firstSent
	if begun == 0 {
		begun = r.seenAt
	}
	ran := now - begun
	if r.percent >= tellingPercent {
		return ran * time.Duration(100-r.percent) / time.Duration(r.percent)
	}
	return max(0, step.Estimate-ran)
}

func (c *Controller) sendStart(now time.Duration, e *executor, key workload.TaskKey, r *run, j *workload.Job) {
	_, task := c.state.TaskOf(key)
	if r.firstSent == 0 {
		r.firstSent = now
	}
	r.lastSent = now
	r.starting = true
	c.call(now, e, Call{
		Kind: CallStart, Task: key, Run: r.number, Payload: j.Spec.Payload, Checkpoint: task.Checkpoint,
		Ticket: c.ticketFor(now, key, e.key), Deadline: e.deadline(now, &c.cfg), Timeout: orderTimeout,
	})
}

func (c *Controller) sendStop(now time.Duration, e *executor, key workload.TaskKey, r *run) {
	if r.stopping || r.stopped > 0 || !e.reported {
		return
	}
	if r.firstSent == 0 && r.term == c.term {
		r.settled = now
		c.propose(0, []workload.End{c.endOf(e, key, r, workload.EndNeverBegun, "")})
		return
	}
	r.stopping = true
	c.call(now, e, Call{Kind: CallStop, Task: key, Run: r.number, Timeout: orderTimeout})
}

func (c *Controller) call(now time.Duration, e *executor, call Call) {
	call.Executor, call.Address, call.Token, call.IssuedAt = e.key, e.address, c.term, now
	c.out.Calls = append(c.out.Calls, call)
}

// holds asks the executors that have something to say.
func (c *Controller) holds(now time.Duration) {
	for _, e := range c.executors {
		if e.holding || e.address == "" || now < e.holdNext {
			continue
		}
		unfinished := e.seenEnd > e.cursor
		// An executor that did not answer gets no runs until it answers again,
		// and one that is only known from the directory until it is heard.
		idle := len(e.runs) == 0 && e.told >= e.cursor && e.failedHolds == 0 && e.reported && !e.silent
		if unfinished || idle {
			continue
		}
		c.hold(now, e)
	}
}

func (c *Controller) hold(now time.Duration, e *executor) {
	e.holding = true
	call := Call{Kind: CallHold, Cursor: e.cursor, Wait: holdWait}
	if len(e.runs) == 0 || e.failedHolds > 0 || e.silent || !e.reported {
		call.Wait = 0
	}
	if len(e.runs) > 0 && e.failedHolds < extendingHolds {
		call.Deadline = e.deadline(now, &c.cfg)
	}
	call.Timeout = call.Wait + holdSlack
	c.call(now, e, call)
}

// Answered takes the answer to a call.
func (c *Controller) Answered(now, unix time.Duration, call Call, a Answer) Output {
	c.out = Output{}
	if call.Kind == CallAdvise {
		c.advised(now, call, a)
		return c.out
	}
	e := c.executors[call.Executor.ID]
	if e == nil || e.key != call.Executor {
		return c.out
	}
	c.dirty = true
	if a.Verdict == VerdictOtherLife || (a.Born > 0 && a.Born != e.key.Born) {
		c.log.Info("another life answered", "executor", e.key.ID, "born", e.key.Born, "answered_born", a.Born)
		if a.Verdict == VerdictOtherLife || a.Born > e.key.Born {
			c.bury(now, e, "other_life")
			return c.out
		}
	}
	switch {
	case a.Verdict == VerdictUnknown && call.Kind != CallHold:
		e.silent = true
	case a.Verdict != VerdictUnknown && a.Verdict != VerdictNotSent:
		e.silent = false
		e.heard = max(e.heard, now)
		e.readClock(now, a.Clock)
	}
	switch call.Kind {
	case CallStart:
		c.startAnswered(now, unix, e, call, a)
	case CallStop:
		c.stopAnswered(now, e, call, a)
	case CallHold:
		c.holdAnswered(now, unix, e, call, a)
	}
	return c.out
}

func (c *Controller) startAnswered(now, unix time.Duration, e *executor, call Call, a Answer) {
	r := e.runs[call.Task]
	if r == nil || r.number != call.Run {
		return
	}
	r.starting = false
	if a.Verdict != VerdictAccepted {
		c.log.Info("start not accepted", "job", call.Task.Job, "step", call.Task.Step, "task", call.Task.Index, "run", call.Run,
			"executor", e.key.ID, "verdict", a.Verdict.String(), "reason", a.Reason, "waited_ms", (now - call.IssuedAt).Milliseconds())
	}
	switch a.Verdict {
	case VerdictAccepted:
		r.settled = now
	case VerdictRefused, VerdictNoRoom, VerdictNoTicket:
		if a.Verdict == VerdictNoTicket {
			c.withdrawTicket(call)
		}
		if r.lastSent > r.firstSent {
			// An earlier start of this run may be what the executor holds.
			r.settled = now
			return
		}
		e.health.pause(now)
		c.propose(unix, []workload.End{c.endOf(e, call.Task, r, workload.EndNeverBegun, "")})
	}
}

func (c *Controller) stopAnswered(now time.Duration, e *executor, call Call, a Answer) {
	r := e.runs[call.Task]
	if r == nil || r.number != call.Run {
		return
	}
	r.stopping = false
	if a.Verdict == VerdictAccepted {
		// No start of this run can be carried out any more.
		r.stopped, r.settled = now, now
	}
}

func (c *Controller) holdAnswered(now, unix time.Duration, e *executor, call Call, a Answer) {
	e.holding = false
	if a.Verdict != VerdictAccepted || !a.Complete {
		e.failedHolds++
		e.holdNext = now + holdRetry*time.Duration(min(e.failedHolds, maxRetryFactor))
		c.log.Info("hold not answered", "executor", e.key.ID, "verdict", a.Verdict.String(), "reason", a.Reason, "failures", e.failedHolds,
			"runs", len(e.runs), "lease_left_ms", (e.leaseEnd - now).Milliseconds())
		return
	}
	if !e.reported {
		c.log.Info("executor of the directory answered", "executor", e.key.ID, "born", e.key.Born, "running", len(a.Running), "ended", len(a.Ended))
	}
	e.failedHolds, e.reported = 0, true
	e.told = max(e.told, call.Cursor)
	listed := map[workload.TaskKey]int{}
	for _, t := range a.Running {
		listed[t.Task] = t.Run
		c.observe(now, e, t)
	}
	ends := c.listedEnds(now, e, a.Ended)
	for key, r := range e.runs {
		if r.end != nil || listed[key] == r.number || r.settled == 0 || r.settled >= call.IssuedAt {
			continue
		}
		ends = append(ends, c.endOf(e, key, r, workload.EndNeverBegun, r.checkpoint))
	}
	if e.seenEnd > e.cursor && len(ends) == 0 && !c.endsPending(e) {
		e.cursor = e.seenEnd
	}
	c.propose(unix, ends)
}

// observe keeps what an executor says of a run.
func (c *Controller) observe(now time.Duration, e *executor, t RunningTask) {
	r := e.runs[t.Task]
	if r == nil || r.number != t.Run {
		return
	}
	if !r.seen {
		r.seen, r.seenAt, r.movedAt = true, now, now
	}
	r.settled = max(r.settled, 1)
	r.listedAt = now
	if t.Percent != r.percent {
		r.percent, r.movedAt = t.Percent, now
	}
	if t.Checkpoint != "" {
		r.checkpoint = t.Checkpoint
	}
}

// listedEnds returns the ends of runs that the log holds.
func (c *Controller) listedEnds(now time.Duration, e *executor, listed []EndedRun) []workload.End {
	var ends []workload.End
	for _, end := range listed {
		e.seenEnd = max(e.seenEnd, end.Number)
		r := e.runs[end.Task]
		if r == nil || r.number != end.Run {
			ends = c.overdue(ends, e, end)
			continue
		}
		if r.end != nil {
			continue
		}
		if end.Ending == workload.EndFailed {
			c.avoid[end.Task] = append(c.avoid[end.Task], e.key.ID)
		}
		if e.health.observe(now, end.Task.Job, end.Ending) {
			c.log.Info("executor quarantined", "executor", e.key.ID, "for_ms", (e.health.until - now).Milliseconds(), "reason", "different jobs failed")
		}
		ends = append(ends, c.endOf(e, end.Task, r, end.Ending, end.Checkpoint))
	}
	return ends
}

// overdue adds the failed end of a run that the log gave up before.
func (c *Controller) overdue(ends []workload.End, e *executor, end EndedRun) []workload.End {
	if end.Ending != workload.EndFailed || c.state.FailureCounted(end.Task, end.Run) {
		return ends
	}
	known := slices.ContainsFunc(e.overdue, func(o workload.End) bool { return o.Task == end.Task && o.Run == end.Run })
	if known {
		return ends
	}
	late := workload.End{Task: end.Task, Run: end.Run, Executor: e.key, Ending: end.Ending}
	e.overdue = append(e.overdue, late)
	c.log.Info("failure of an earlier run", "job", end.Task.Job, "step", end.Task.Step, "task", end.Task.Index, "run", end.Run, "executor", e.key.ID)
	return append(ends, late)
}
