package fleet

import (
	"math"
	"time"

	"cranberrydrum.dev/scheduler/workload"
)

const (
	// reclaimOverhead is the time that reclaiming takes in addition to the
	// stops: two log entries, the orders and a list of ended runs, with a few
	// round trips.
	reclaimOverhead = 1200 * time.Millisecond
	// reclaimRetryTime is reserved for a second attempt.
	reclaimRetryTime = 800 * time.Millisecond
	// reclaimWaitShare is the share of a job's slack that it waits for capacity
	// to become free before others are preempted.
	reclaimWaitShare = 0.2
	// averageJobValue is the value of an average job, as work in core-seconds:
	// one more job completed in time is worth about as much as this work and
	// its repetition. An urgent job outside the guarantees may cost other jobs
	// at most its own value.
	averageJobValue = 250
)

// mayReclaim reports whether other runs may be preempted for a task set now.
func (c *Controller) mayReclaim(now time.Duration, ts *taskSet) bool {
	if ts.job.Priority > 0 || ts.tier > 0 && !ts.guaranteed {
		return false
	}
	wait := c.slackShare(ts.job, reclaimWaitShare)
	if ts.guaranteed {
		wait = min(wait, c.cfg.ReclaimTime-c.cfg.StopTime-reclaimOverhead-reclaimRetryTime)
	}
	return now-ts.waitingSince >= wait
}

// reclaim preempts other runs for an urgent task set. Tasks that already fit
// start at once, unless they are a gang.
func (c *Controller) reclaim(now time.Duration, rs *roundState, ts *taskSet, places []place) []workload.Start {
	if ts.step.Gang {
		rs.deallocate(ts, places)
		places = nil
	}
	if pre := c.preemptions[ts.key]; pre != nil {
		// The victims for this task set are already stopping.
		if pre.stopAwaited(now, &c.cfg) {
			// A run of a step with a bound may be among them.
			rs.forgetVictims(nil, true)
		}
		c.keepPreempted(rs, ts, places)
		return c.start(ts, places)
	}
	unplaced := unplacedTasks(ts, places)
	limit := math.Inf(1)
	if !ts.guaranteed {
		limit = averageJobValue * c.value(ts.job)
	}
	search := searchKey{step: ts.key, kind: searchVictims}
	if !c.maySearchVictims(rs, ts, search, len(unplaced)) {
		return c.start(ts, places)
	}
	found := c.clear(now, rs, ts, unplaced, limit)
	if found.isTooCostly || len(found.places) == 0 || (len(found.places) < len(unplaced) && ts.step.Gang) {
		c.failedSearches[search] = failedSearch{at: now, triedAt: now, tasks: len(ts.tasks), unplaced: len(unplaced)}
		return c.start(ts, places)
	}
	c.preempt(now, rs, ts, found.places)
	return c.start(ts, places)
}

// unplacedTasks returns the tasks without a place. Places are in the order of the tasks.
func unplacedTasks(ts *taskSet, places []place) []int {
	var unplaced []int
	for _, n := range ts.tasks {
		if len(places) > 0 && places[0].task == n {
			places = places[1:]
			continue
		}
		unplaced = append(unplaced, n)
	}
	return unplaced
}
