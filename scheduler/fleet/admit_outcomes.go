package fleet

import (
	"time"

	"cranberrydrum.dev/scheduler/forecast"
	"cranberrydrum.dev/scheduler/workload"
)

const (
	// outcomeInterval is the time between two checks of the admitted jobs.
	outcomeInterval = time.Second
	// admittedMemory is how long a job that is admitted and not stored is remembered: its
	// proposal is decided well within it, and a later submission finds the job stored or is a
	// new one.
	admittedMemory = time.Minute
)

// admittedJob is an admitted job whose outcome is awaited.
type admittedJob struct {
	at       time.Duration
	class    waitClass
	priority int
	// wait is the modelled wait, 0 if no work waited in the pool.
	wait, path, objective time.Duration
}

// refusedJob is a refused job for which is watched when its turn would have come.
type refusedJob struct {
	id       string
	class    waitClass
	priority int
	at       time.Duration
	// after is the sequence number of the last job that was accepted before it.
	after uint64
	wait  time.Duration
	work  forecast.Amount
	// ahead is the time that the pool would have needed for the jobs that were refused before.
	ahead time.Duration
	// longest is the longest wait with which the job would have had value.
	longest time.Duration
}

// recordOutcomes compares the admitted jobs that have ended, or can have no value any more,
// with their forecasts.
func (c *Controller) recordOutcomes(now time.Duration) {
	if now < c.admission.nextOutcomes {
		return
	}
	c.admission.nextOutcomes = now + outcomeInterval
	for id, a := range c.admission.admitted {
		j := c.state.Job(id)
		limit := lateFactor * a.objective
		switch {
		case j == nil && now-a.at <= admittedMemory:
			continue
		case j == nil:
		case !j.Phase.Ended() && now-a.at <= limit:
			continue
		case !j.Phase.Ended():
			c.recordOutcome(a, limit, (*forecast.Accuracy).RecordAtLeast)
			c.admission.counts.of(a.priority).valueless++
		case j.Phase == workload.Completed:
			took := j.EndedAt - j.Submitted
			c.recordOutcome(a, took, (*forecast.Accuracy).Record)
			if took > limit {
				c.admission.counts.of(a.priority).valueless++
			}
		}
		delete(c.admission.admitted, id)
	}
}

// recordOutcome adds the outcome of a forecast that said that a job would be late. In shorter
// waits, errors of the run time outweigh those of the wait.
func (c *Controller) recordOutcome(a *admittedJob, took time.Duration, record func(_ *forecast.Accuracy, modelled, actual time.Duration)) {
	if a.wait > 0 && a.path+a.wait > a.objective {
		record(c.accuracyOf(a.class), a.wait, took-a.path)
	}
}

// awaitRefusal begins to watch when the turn of a refused job would come. Refused jobs of the
// same level would have been ahead of it. Of several refusals of a job the first one counts.
func (c *Controller) awaitRefusal(now time.Duration, s *submission) {
	if len(c.admission.refused) >= maxPromises {
		return
	}
	ahead := forecast.Amount{}
	for i := range c.admission.refused {
		r := &c.admission.refused[i]
		if r.id == s.job.ID {
			return
		}
		if r.class.service == s.job.Service && r.class.level == s.level {
			ahead = ahead.Add(r.work)
		}
	}
	c.admission.refused = append(c.admission.refused, refusedJob{
		id: s.job.ID, class: s.class, priority: s.job.Priority, at: now, after: c.lastCounted, wait: s.wait, work: s.work,
		ahead: s.pool.TimeFor(ahead), longest: s.limit - s.path,
	})
}

// settleRefusals finds out for which refused jobs the turn has come, and whether in time.
func (c *Controller) settleRefusals(now time.Duration) {
	kept := c.admission.refused[:0]
	for _, r := range c.admission.refused {
		accuracy := c.accuracyOf(r.class)
		switch wait := now - r.at; {
		case c.hasTurn(&r):
			accuracy.Record(r.wait, wait+r.ahead)
			if wait+r.ahead <= r.longest {
				c.admission.counts.of(r.priority).becameAvailable++
			}
		case wait > r.longest:
			accuracy.RecordAtLeast(r.wait, wait)
		default:
			kept = append(kept, r)
		}
	}
	c.admission.refused = kept
}

// hasTurn reports whether no work waits any more that would be ahead of a refused job.
func (c *Controller) hasTurn(r *refusedJob) bool {
	pool := c.admission.pools[r.class.service]
	if pool == nil || pool.head == nil || pool.headLevel > r.class.level {
		return true
	}
	return pool.headLevel == r.class.level && pool.head.Sequence > r.after
}
