package fleet

import (
	"time"

	"cranberrydrum.dev/scheduler/workload"
)

// strayRun is a run that an executor lists although the log does not hold it on this
// executor. It uses capacity until it has ended.
type strayRun struct {
	number     int
	nextStopAt time.Duration
}

// recordStrays compares the list of an executor with the log. A start is sent only once
// the log holds it, so a listed run that the log does not hold has been ended there.
func (c *Controller) recordStrays(e *executor, running []RunningTask) {
	logged := c.state.RunsOn(e.key)
	strays := map[workload.TaskKey]*strayRun{}
	for _, t := range running {
		if entry := logged[t.Task]; entry != nil && entry.Number == t.Run {
			continue
		}
		s := e.strays[t.Task]
		if s == nil || s.number != t.Run {
			s = &strayRun{number: t.Run}
			c.log.Info("executor runs what the log does not hold", "job", t.Task.Job, "occurrence", t.Task.Occurrence, "step", t.Task.Step,
				"task", t.Task.Index, "run", t.Run, "executor", e.key.ID, "percent", t.Percent)
		}
		strays[t.Task] = s
	}
	if len(strays) > 0 || len(e.strays) > 0 {
		e.strays = strays
		c.updateUsage(e)
		c.dirty = true
	}
}

// updateUsage sets the resources that the runs on an executor use.
func (c *Controller) updateUsage(e *executor) {
	e.used, e.lastingUsed, e.servingRuns, e.bestEffortRuns = workload.Resources{}, workload.Resources{}, 0, 0
	e.usedBy = e.usedBy[:0]
	logged := c.state.RunsOn(e.key)
	for key := range logged {
		c.addUsage(e, key)
	}
	for key := range e.strays {
		if logged[key] == nil {
			c.addUsage(e, key)
		}
	}
}

func (c *Controller) addUsage(e *executor, key workload.TaskKey) {
	if j, t := c.state.TaskOf(key); t != nil {
		e.addUsage(&j.Spec.Steps[key.Step])
		e.addCustomerUse(j.Customer, j.Spec.Steps[key.Step].Allocation())
	}
}

// stopStrays orders executors to stop runs that the log does not hold and asks for lists
// until they are gone.
func (c *Controller) stopStrays(now time.Duration) {
	for _, e := range c.executors {
		if len(e.strays) == 0 || !e.reported {
			continue
		}
		for key, s := range e.strays {
			if now < s.nextStopAt {
				continue
			}
			// The order may take its timeout, and the stop its time.
			s.nextStopAt = now + orderTimeout + c.cfg.StopTime
			c.call(now, e, Call{Kind: CallStop, Task: key, Run: s.number, Timeout: orderTimeout})
		}
		if !e.holdInFlight && now >= e.nextHoldAt {
			c.sendHold(now, e)
			e.nextHoldAt = max(e.nextHoldAt, now+holdRetryDelay)
		}
	}
}
