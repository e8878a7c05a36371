package fleet

import (
	"time"

	"cranberrydrum.dev/scheduler/workload"
)

// A start names the ID of an executor, not its incarnation, and so does the response. After a
// restart under the same ID, the next incarnation may have begun what was meant for the one
// before, or may begin it later. No time rules that out: the deadline of a start is on the clock
// of the earlier incarnation, and the clock of the next one starts anew. So the next one is
// ordered not to begin it, and a list that it sends after that proves that the run is over.

// successorStop is the order to the next incarnation of an executor not to begin a run.
type successorStop struct {
	successor           workload.ExecutorKey
	sentAt, confirmedAt time.Duration
}

// removeRestarted ends an incarnation whose ID answers as a later one. Runs that the later
// one may begin are over when it rules that out, or, if it is not known any more, with the lease
// that it had from their starts.
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

// isAwaited reports whether a run of an earlier incarnation may be carried out by the next one.
func (c *Controller) isAwaited(r *run) bool { return r.end == nil && r.mayReachSuccessor(c.term) }

// successorOf returns the known later incarnation under the ID of an executor, or nil.
func (c *Controller) successorOf(e *executor) *executor {
	s := c.executors[e.key.ID]
	if s == nil || s.key.Incarnation <= e.key.Incarnation {
		return nil
	}
	return s
}

// stopAwaitedRuns orders the next incarnations not to begin the runs of earlier ones. Starts of
// an earlier term need no order, because the token of this term fences them off.
func (c *Controller) stopAwaitedRuns(now time.Duration) {
	for _, e := range c.lost {
		s := c.successorOf(e)
		if s == nil || !s.reported {
			continue
		}
		for key, r := range e.runs {
			if !c.isAwaited(r) || r.term < c.term || !r.successorStop.isDue(now, s.key) {
				continue
			}
			r.successorStop = successorStop{successor: s.key, sentAt: now}
			c.call(now, s, Call{Kind: CallStop, Task: key, Run: r.number, Timeout: orderTimeout})
		}
	}
}

// isDue reports whether the order has to be sent to a successor.
func (o *successorStop) isDue(now time.Duration, successor workload.ExecutorKey) bool {
	return o.successor != successor || (o.confirmedAt == 0 && now >= o.sentAt+orderTimeout+orderRetryInterval)
}

// confirmSuccessorStop records that a successor confirmed the stop of a run that was meant for
// an earlier incarnation.
func (c *Controller) confirmSuccessorStop(now time.Duration, successor *executor, call Call) {
	if _, r := awaitedRun(c.predecessors(successor), call.Task, call.Run); r != nil {
		r.successorStop.successor, r.successorStop.confirmedAt = successor.key, now
	}
}

// ruledOutEnds returns the ends of awaited runs that a list of the successor, requested at a
// given time, proves to be over.
func (c *Controller) ruledOutEnds(successor *executor, requestedAt time.Duration, listed map[workload.TaskKey]int) []workload.End {
	var ends []workload.End
	for _, e := range c.predecessors(successor) {
		for key, r := range e.runs {
			if !c.isAwaited(r) || listed[key] == r.number {
				continue
			}
			stop := &r.successorStop
			switch {
			case r.term < c.term:
				ends = append(ends, c.recordEnd(e, key, r, workload.EndExecutorGone, EvidenceUnlistedInNewTerm, r.checkpoint))
			case stop.successor == successor.key && stop.confirmedAt > 0 && stop.confirmedAt < requestedAt:
				ends = append(ends, c.recordEnd(e, key, r, workload.EndExecutorGone, EvidenceUnlistedAfterStop, r.checkpoint))
			}
		}
	}
	return ends
}

// lowestIncarnations holds the lowest incarnation of each ID that is over but may still have
// runs.
type lowestIncarnations map[string]int64

// precede reports whether an incarnation earlier than the given one may still have runs.
func (l lowestIncarnations) precede(key workload.ExecutorKey) bool {
	lowest, known := l[key.ID]
	return known && lowest < key.Incarnation
}

// predecessorsWithRuns returns the incarnations that are over but may still have runs. A later
// one gets none until then: they would prolong its lease, which the runs of the earlier one
// may use.
func (c *Controller) predecessorsWithRuns() lowestIncarnations {
	lowest := lowestIncarnations{}
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
