package fleet

import (
	"cmp"
	"slices"
	"time"

	"cranberrydrum.dev/scheduler/workload"
)

// stopPreempted is the reason of stops that make room.
const stopPreempted = "preempted"

// victim is a run that may have to make room, or that is stopping already.
type victim struct {
	key  workload.TaskKey
	run  *run
	room workload.Resources
	// cost is the work that a stop throws away; 0 for what ends anyway.
	cost float64
	// stake is what its job loses if a stop makes it miss its objective, as work.
	stake float64
	gang  bool
	// ends is set if the run stops already, or ends about as soon as a stop would.
	ends bool
}

func loss(places []place) float64 {
	sum := 0.0
	counted := newTally()
	for _, p := range places {
		for _, v := range p.victims {
			sum += counted.add(v)
		}
	}
	return sum
}

// tally adds up the costs of victims: a gang is lost once, whichever members
// stop, and a job misses its objective once.
type tally struct {
	gangs map[unitKey]bool
	jobs  map[string]bool
}

func newTally() *tally { return &tally{gangs: map[unitKey]bool{}, jobs: map[string]bool{}} }

// of returns what a victim costs beside those that were added.
func (t *tally) of(v *victim) float64 {
	cost := 0.0
	if !v.gang || !t.gangs[unitOf(v.key)] {
		cost += v.cost
	}
	if !t.jobs[v.key.Job] {
		cost += v.stake
	}
	return cost
}

// add takes a victim in and returns what it costs.
func (t *tally) add(v *victim) float64 {
	cost := t.of(v)
	t.gangs[unitOf(v.key)] = v.gang
	t.jobs[v.key.Job] = t.jobs[v.key.Job] || v.stake > 0
	return cost
}

// victimsOn lists the runs on an executor that may be stopped for a unit.
func (c *Controller) victimsOn(now time.Duration, u *unit, e *executor) []*victim {
	var list []*victim
	inside := c.inside
	for key, r := range e.runs {
		j := c.state.Job(key.Job)
		step := &j.Spec.Steps[key.Step]
		v := &victim{key: key, run: r, room: step.Room(), gang: step.Gang}
		v.ends = r.stopWhy != "" || r.end != nil || (!u.guaranteed && c.endsSoon(now, step, r))
		switch {
		case r.stopWhy != "" && now-r.stopSince > c.cfg.StopTime+urgentClaimSlack:
			// Nobody knows when this stop is carried out.
			continue
		case v.ends:
			list = append(list, v)
			continue
		case step.LongRunning && !(u.guaranteed && step.MayMiss == 0), !mayYield(u, j, inside[j.ID]):
			// Tasks that serve are stopped for guarantees only, and not where the
			// number of them that may be away is bounded.
			continue
		}
		// What was stopped before is dearer, so that it is not stopped for ever.
		v.cost = lostWork(now, step, r) * (1 + repeatedStop*float64(r.number-1))
		v.stake = c.stake(now, j, key, r)
		list = append(list, v)
	}
	slices.SortFunc(list, func(a, b *victim) int { return cmp.Compare(a.cost+a.stake, b.cost+b.stake) })
	return list
}

const (
	// repeatedStop is the part by which each earlier run makes a stop dearer.
	repeatedStop = 0.5
	// soonSlack is how much longer than a stop a run may take to end by itself.
	soonSlack = 300 * time.Millisecond
	// lateStake is the part of its worth that a late job still has.
	lateStake = 0.25
)

// endsSoon reports whether waiting for the end of a run takes about as long as
// a stop. Only measured progress is trusted.
func (c *Controller) endsSoon(now time.Duration, step *workload.Step, r *run) bool {
	if step.LongRunning || r.percent < tellingPercent {
		return false
	}
	return remaining(now, step, r) < c.cfg.StopTime+soonSlack
}

// stake is what a job loses, as work, if the stop of a run makes it late or too
// late. Less urgent jobs are worth less.
func (c *Controller) stake(now time.Duration, j *workload.Job, key workload.TaskKey, r *run) float64 {
	step := &j.Spec.Steps[key.Step]
	rest := step.Estimate
	if step.Checkpoints {
		rest = remaining(now, step, r)
	}
	due := age(j, key.Occurrence, now+c.skew)
	whole := worthwhileLoss * c.value(j) / float64(1+j.Priority)
	limit := objective(j)
	switch again := due + restartLoss + rest; {
	case due > lateFactor*limit:
		return 0
	case due > limit && again <= lateFactor*limit, again <= limit:
		return 0
	case due > limit:
		return lateStake * whole
	case again > lateFactor*limit:
		return whole
	}
	return (1 - lateStake) * whole
}

// mayYield reports whether a job may have to stop for a unit: less urgent jobs
// for more urgent ones, and those outside the guarantees for those inside.
func mayYield(u *unit, j *workload.Job, inside bool) bool {
	if u.guaranteed {
		return !inside
	}
	return j.Priority > u.job.Priority
}

// lostWork is the work, in core-seconds, that a stop throws away. That of a
// gang is lost with any of its members.
func lostWork(now time.Duration, step *workload.Step, r *run) float64 {
	span := now - r.firstSent
	if r.firstSent == 0 {
		span = now - r.movedAt
	}
	if step.Checkpoints {
		span = min(span, checkpointLoss)
	}
	width := 1.0
	if step.Gang {
		width = float64(step.Count)
	}
	return cores(step) * width * (span + restartLoss).Seconds()
}

const (
	// checkpointLoss bounds the work since the last checkpoint: stops save.
	checkpointLoss = 100 * time.Millisecond
	// restartLoss is what each stop costs beside the work: a place and a start.
	restartLoss = 500 * time.Millisecond
)
