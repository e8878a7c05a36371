package fleet

import (
	"math"
	"time"
)

const (
	// firstWorkTime is the time that a unit of work is expected to take before a round was
	// measured, minWorkTime the least that is expected after that.
	firstWorkTime, minWorkTime = 100 * time.Nanosecond, 5 * time.Nanosecond
	// measuredShare is the share of its work from which a round says how long a unit takes. In
	// others the parts that do not depend on the waiting work weigh too much.
	measuredShare = 0.125
	// workTimeWeight is the weight of a new measurement, maxWorkTimeRise the factor by which one
	// may exceed the expected time: a host that was suspended in a round measures too much.
	workTimeWeight, maxWorkTimeRise = 0.25, 4
	// minWork is the work that a round may do in any case, in multiples of the executors.
	minWork = 64
	// roundRestFactor times the time of a long round is the time without a round after it, so
	// that rounds take at most a fifth of the time.
	roundRestFactor = 4
	// budgetLogInterval is the minimum time between two log lines about rounds that left work.
	budgetLogInterval = 5 * time.Second
)

// roundBudget bounds the work of a round by the time that one may take. A unit of work is a
// comparison of a task set with an executor. How long one takes is measured by the caller, since
// it depends on the machine.
type roundBudget struct {
	workTime time.Duration
	// lastWork is the work of the last round, maxWork its bound.
	lastWork, maxWork int
	// stepLimit is the number of steps that may have a turn after a round was cut, 0 for no limit.
	// waitingSteps is that of the steps that wait.
	stepLimit, waitingSteps int
	// hasLeft is set if the last round left work to the next one.
	hasLeft  bool
	loggedAt time.Duration
}

// workWithin returns the work that a round may do.
func (b *roundBudget) workWithin(limit time.Duration, executors int) int {
	if limit == 0 {
		return math.MaxInt / 2
	}
	return max(int(limit/b.workTime), minWork*max(executors, 1))
}

// maxSteps returns the number of steps that may have a turn in a round. While rounds are cut it
// follows the number that they got to, so that the jobs that have a turn are chosen in turn.
func (b *roundBudget) maxSteps(rs *roundState) int {
	limit := max(rs.maxWork/(2*visitWork), 1)
	if b.stepLimit > 0 {
		limit = min(limit, b.stepLimit)
	}
	return limit
}

// limitSteps updates the limit after a round that visited so many task sets.
func (b *roundBudget) limitSteps(visited int, isUsedUp bool) {
	switch {
	case isUsedUp:
		b.stepLimit = max(visited/2, 1)
	case b.stepLimit >= b.waitingSteps:
		b.stepLimit = 0
	default:
		b.stepLimit *= 2
	}
}

// RecordRound tells the controller how long the last step with a round took until now. The bound
// on the next rounds follows it, and after a long one the next one is later.
func (c *Controller) RecordRound(now, took time.Duration) {
	b := &c.budget
	if c.cfg.RoundTime == 0 || b.lastWork == 0 {
		return
	}
	if float64(b.lastWork) >= measuredShare*float64(b.maxWork) {
		measured := min(took/time.Duration(b.lastWork), maxWorkTimeRise*b.workTime)
		b.workTime = max(minWorkTime, b.workTime+time.Duration(workTimeWeight*float64(measured-b.workTime)))
	}
	if b.hasLeft || took > c.cfg.RoundTime/2 {
		c.nextRound = max(c.nextRound, now+min(roundRestFactor*took, idleRoundInterval))
	}
}

// isUsedUp reports whether the work of the round is used up.
func (rs *roundState) isUsedUp() bool { return rs.work >= rs.maxWork }

// recordWork keeps what a round did for the next one.
func (c *Controller) recordWork(now time.Duration, rs *roundState, counts *RoundCounts) {
	b := &c.budget
	b.lastWork, b.maxWork, b.hasLeft = rs.work, rs.maxWork, rs.isUsedUp() || rs.leftJobs > 0
	b.limitSteps(counts.TaskSets, rs.isUsedUp())
	counts.Work, counts.HasLeft = rs.work, b.hasLeft
	if b.hasLeft && now >= b.loggedAt+budgetLogInterval {
		b.loggedAt = now
		c.log.Info("round left waiting steps to the next one", "work", rs.work, "max_work", rs.maxWork, "work_ns", b.workTime.Nanoseconds(),
			"tried", counts.TaskSets, "left_steps", counts.Left, "left_jobs", rs.leftJobs, "executors", len(rs.executors))
	}
}
