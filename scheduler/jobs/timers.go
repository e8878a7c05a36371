package jobs

import (
	"time"

	"cranberrydrum.dev/scheduler/structs"
)

// timer is a deadline of a run on the domain clock. Timers are not cancelled;
// whether the deadline still applies is checked when the timer fires.
type timer struct {
	at  time.Duration
	job string
	run uint64
}

// firesBefore orders timers by time, then by job ID.
func (t timer) firesBefore(other timer) bool {
	if t.at != other.at {
		return t.at < other.at
	}
	return t.job < other.job
}

// runDeadline returns the domain clock at which an active run must have left its
// present status. Only reserved and checkpointing runs have a deadline.
func (c *Controller) runDeadline(j *job) (time.Duration, bool) {
	switch {
	case j.Status == structs.JobReserved:
		return j.started + c.cfg.PrepareTimeout, true
	case j.Status == structs.JobStopping && !j.stopNow:
		return j.deadline, true
	}
	return 0, false
}

// armTimer sets a timer for a run that has a deadline.
func (c *Controller) armTimer(j *job) {
	if at, ok := c.runDeadline(j); ok {
		c.timers.Push(timer{at: at, job: j.ID, run: j.Run})
	}
}

// fireTimers proposes to stop the gangs whose deadline has passed. The timer is
// set again after Retry in case the proposal is lost.
func (c *Controller) fireTimers(now time.Duration, out []Command) []Command {
	clock := c.Clock(now)
	for {
		t, ok := c.timers.First()
		if !ok || t.at > clock {
			return out
		}
		c.timers.Pop()
		j := c.state.jobs[t.job]
		if j == nil || j.Run != t.run {
			continue
		}
		if at, ok := c.runDeadline(j); !ok || at > clock {
			continue
		}
		out = append(out, c.command(now, &StopGang{Job: j.ID, Run: j.Run, Unprepared: c.unprepared(j)}))
		t.at = clock + c.cfg.Retry
		c.timers.Push(t)
	}
}

// unprepared lists the workers of a reserved gang that have not prepared.
func (c *Controller) unprepared(j *job) []string {
	if j.Status != structs.JobReserved {
		return nil
	}
	var list []string
	prep := c.preparations[j.ID]
	for i, m := range j.Members {
		if prep == nil || prep.run != j.Run || !prep.prepared[i] {
			list = append(list, m.Worker)
		}
	}
	return list
}
