package fleet

import (
	"slices"
	"time"

	"cranberrydrum.dev/scheduler/workload"
)

// stopPreempted is the stop reason of preempted runs.
const stopPreempted = "preempted"

// victim is a run that may be preempted or that is already stopping.
type victim struct {
	key       workload.TaskKey
	run       *run
	resources workload.Resources
	// cost is the work lost by a stop, or 0 for a run that ends anyway.
	cost float64
	// latenessCost is the loss of its job, as work, if a stop makes it miss its
	// objective.
	latenessCost float64
	gang         bool
	// isLimited is set if only mayStop runs of the step may be stopped.
	isLimited bool
	mayStop   int
	// endsAnyway is set if the run is already stopping, or is expected to end
	// about as soon as a stop would take.
	endsAnyway bool
}

func totalCost(places []place) float64 {
	sum := 0.0
	tally := newCostTally()
	for _, p := range places {
		for _, v := range p.victims {
			sum += tally.add(v)
		}
	}
	return sum
}

// costTally adds up the costs of victims. The work of a gang is counted once,
// whichever members stop, and so is the lateness of a job.
type costTally struct {
	gangs map[stepKey]bool
	jobs  map[string]bool
}

func newCostTally() *costTally { return &costTally{gangs: map[stepKey]bool{}, jobs: map[string]bool{}} }

// costOf returns the additional cost of a victim.
func (t *costTally) costOf(v *victim) float64 {
	cost := 0.0
	if !v.gang || !t.gangs[stepKeyOf(v.key)] {
		cost += v.cost
	}
	if !t.jobs[v.key.Job] {
		cost += v.latenessCost
	}
	return cost
}

// add adds a victim and returns its additional cost.
func (t *costTally) add(v *victim) float64 {
	cost := t.costOf(v)
	t.gangs[stepKeyOf(v.key)] = v.gang
	t.jobs[v.key.Job] = t.jobs[v.key.Job] || v.latenessCost > 0
	return cost
}

// victimsOn lists the runs on an executor that may be preempted for a task set,
// the cheapest first.
func (c *Controller) victimsOn(now time.Duration, ts *taskSet, e *executor) []*victim {
	var list []*victim
	inside := c.insideGuarantee
	for key, r := range e.runs {
		j := c.state.Job(key.Job)
		step := &j.Spec.Steps[key.Step]
		v := &victim{key: key, run: r, resources: step.Allocation(), gang: step.Gang}
		v.endsAnyway = r.stopCause != "" || r.end != nil || (!ts.guaranteed && c.endsSoon(now, j, key.Step, r))
		switch {
		case r.stopCause != "" && now-r.stopRequestedAt > c.cfg.StopTime+guaranteedPreemptionMargin:
			// The stop is overdue, and it is unknown when it will be carried
			// out.
			continue
		case v.endsAnyway:
			list = append(list, v)
			continue
		case step.LongRunning && !ts.guaranteed, !isPreemptable(ts, j, inside[j.ID]):
			// Long-running tasks are stopped only for guarantees.
			continue
		case step.LongRunning && step.MaxUnavailable > 0:
			v.isLimited, v.mayStop = true, c.mayMiss(j, key)
		}
		v.cost = c.preemptCost(now, j, key, r)
		v.latenessCost = c.latenessCost(now, j, key, r)
		list = append(list, v)
	}
	slices.SortFunc(list, compareVictims)
	return list
}

const (
	// repeatedPreemptionSurcharge is the fraction by which each earlier run
	// raises the cost of a stop.
	repeatedPreemptionSurcharge = 0.5
	// endsSoonMargin is how much longer than a stop a run may take to end by
	// itself.
	endsSoonMargin = 300 * time.Millisecond
	// lateValueShare is the fraction of its value that a late job still has.
	lateValueShare = 0.25
)

// endsSoon reports whether a run is expected to end in about the time that a
// stop takes. It relies on measured progress only.
func (c *Controller) endsSoon(now time.Duration, j *workload.Job, step int, r *run) bool {
	if j.Spec.Steps[step].LongRunning || r.percent < minTrustedPercent {
		return false
	}
	return c.remainingTime(now, j, step, r) < c.cfg.StopTime+endsSoonMargin
}

// latenessCost is the loss of a job, as work, if the stop of a run makes it
// late or so late that it has no value. Less urgent jobs have a lower value.
func (c *Controller) latenessCost(now time.Duration, j *workload.Job, key workload.TaskKey, r *run) float64 {
	step := &j.Spec.Steps[key.Step]
	timeLeft, _ := c.runTimes.predict(j, key.Step)
	if step.Checkpoints {
		timeLeft = c.remainingTime(now, j, key.Step, r)
	}
	jobAge := age(j, key.Occurrence, now+c.unixOffset)
	fullValue := averageJobValue * c.value(j) / float64(1+j.Priority)
	limit := c.objective(j)
	switch restartedAge := jobAge + restartCost + timeLeft; {
	case jobAge > lateFactor*limit:
		return 0
	case jobAge > limit && restartedAge <= lateFactor*limit, restartedAge <= limit:
		return 0
	case jobAge > limit:
		return lateValueShare * fullValue
	case restartedAge > lateFactor*limit:
		return fullValue
	}
	return (1 - lateValueShare) * fullValue
}

// isPreemptable reports whether a job may be preempted for a task set: less
// urgent jobs for more urgent ones, and jobs outside the guarantees for those
// inside.
func isPreemptable(ts *taskSet, j *workload.Job, inside bool) bool {
	if ts.guaranteed {
		return !inside
	}
	return j.Priority > ts.job.Priority
}

// lostWork is the work, in core-seconds, that a stop loses. If a gang member
// stops, the work of the whole gang is lost.
func lostWork(now time.Duration, step *workload.Step, r *run) float64 {
	span := now - r.firstSent
	if r.firstSent == 0 {
		span = now - r.progressedAt
	}
	if step.Checkpoints {
		span = min(span, maxCheckpointLoss)
	}
	width := 1.0
	if step.Gang {
		width = float64(step.Count)
	}
	return cores(step) * width * (span + restartCost).Seconds()
}

const (
	// maxCheckpointLoss bounds the work lost since the last checkpoint, because
	// a stop saves a checkpoint.
	maxCheckpointLoss = 100 * time.Millisecond
	// restartCost is the time that each stop costs in addition to the lost
	// work, for a new placement and start.
	restartCost = 500 * time.Millisecond
)
