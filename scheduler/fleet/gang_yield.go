package fleet

import (
	"slices"
	"time"

	"cranberrydrum.dev/scheduler/workload"
)

// yieldShare is the share of its slack during which a task set leaves room to more
// urgent gangs that wait.
const yieldShare = 0.25

// yieldToGang keeps room for the tasks of a gang that waits from the less urgent task
// sets that follow in this round.
func (rs *roundState) yieldToGang(ts *taskSet) {
	need := ts.step.Allocation()
	if ts.tier == 0 && !slices.Contains(rs.gangNeeds[ts.job.Service], need) {
		rs.gangNeeds[ts.job.Service] = append(rs.gangNeeds[ts.job.Service], need)
	}
}

// yields reports whether a task set leaves the room on an executor to a gang: it has
// slack left, and fewer tasks of the gang would fit beside it. Gangs come before the
// less urgent task sets of a round, so that those seen so far are more urgent.
func (rs *roundState) yields(ts *taskSet, e *executor) bool {
	if !ts.mayYield || rs.exempt == ts {
		return false
	}
	free, need := rs.slot(e).free, ts.step.Allocation()
	return slices.ContainsFunc(rs.gangNeeds[ts.job.Service], func(gang workload.Resources) bool {
		return fitCount(free, gang) > fitCount(free.Sub(need), gang)
	})
}

// mayYield reports whether a task set can wait without harm to its objective.
func (c *Controller) mayYield(now time.Duration, ts *taskSet) bool {
	return ts.job.Priority > 0 && !ts.guaranteed && !ts.step.Gang && !ts.step.LongRunning &&
		now-ts.waitingSince < c.slackShare(ts.job, yieldShare)
}
