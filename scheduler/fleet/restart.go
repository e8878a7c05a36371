package fleet

import (
	"time"

	"cranberrydrum.dev/scheduler/workload"
)

// A start names the ID of an executor, not its incarnation, and so does the response. After a
// restart under the same ID, the next incarnation may have begun what was meant for the one
// before.

// removeRestarted ends an incarnation whose ID answers as a later one. Runs that the later
// one may have begun are over only with the lease that it had from their starts.
func (c *Controller) removeRestarted(now, unix time.Duration, e *executor) {
	c.removeExecutor(now, e, "restarted")
	var ends []workload.End
	awaited := 0
	for key, r := range e.runs {
		switch {
		case r.end != nil:
		case r.mayReachSuccessor(c.term):
			awaited++
		default:
			ends = append(ends, c.recordEnd(e, key, r, workload.EndExecutorGone, EvidenceExecutorGone, r.checkpoint))
		}
	}
	c.propose(unix, ends)
	if awaited > 0 {
		e.leaseEnd = now + orderTimeout + c.leaseSpan()
		c.log.Info("starts may have reached the next incarnation of the executor", "executor", e.key.ID, "born", e.key.Incarnation,
			"runs", awaited, "wait_ms", (e.leaseEnd - now).Milliseconds())
	}
}

// mayReachSuccessor reports whether a start of the run may be carried out by the next
// incarnation. If the run was listed and its start sent once, that start was used up.
func (r *run) mayReachSuccessor(term uint64) bool {
	return r.term < term || r.startCalls > 1 || (r.startCalls == 1 && !r.wasListed)
}

// predecessorsWithRuns returns the lowest incarnation of each ID that is over but may
// still have runs. A later one gets none until then: they would prolong its lease, which
// the runs of the earlier one may use.
func (c *Controller) predecessorsWithRuns() map[string]int64 {
	lowest := map[string]int64{}
	for key, e := range c.lost {
		if known, ok := lowest[key.ID]; len(e.runs) > 0 && (!ok || key.Incarnation < known) {
			lowest[key.ID] = key.Incarnation
		}
	}
	return lowest
}

// predecessors returns the earlier incarnations of the ID that may still have runs.
func (c *Controller) predecessors(e *executor) []*executor {
	var earlier []*executor
	for key, p := range c.lost {
		if key.ID == e.key.ID && key.Incarnation < e.key.Incarnation {
			earlier = append(earlier, p)
		}
	}
	return earlier
}

// awaitedRun returns a run that has not ended and the predecessor that it was meant for, or
// nil.
func awaitedRun(predecessors []*executor, task workload.TaskKey, number int) (*executor, *run) {
	for _, p := range predecessors {
		if r := p.runs[task]; r != nil && r.number == number && r.end == nil {
			return p, r
		}
	}
	return nil, nil
}
