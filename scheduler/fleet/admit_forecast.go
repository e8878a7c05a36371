package fleet

import (
	"time"

	"cranberrydrum.dev/scheduler/forecast"
	"cranberrydrum.dev/scheduler/workload"
)

// coreMillis is the number of millicores of a core.
const coreMillis = 1000

func amountOf(r workload.Resources) forecast.Amount {
	return forecast.Amount{Accelerators: float64(r.GPU), Cores: float64(r.CPU) / coreMillis}
}

// poolForecast is a pool in which work waits.
type poolForecast struct {
	*forecast.Pool
	// executor is the capacity of an average executor.
	executor forecast.Amount
	// round holds what the round left free.
	round *roundState
	// head is the first work in the order that waits, headLevel its level.
	head      *workload.Job
	headLevel int
}

// forecastInterval is the time between two updates of the forecasts while work waits. It is short against
// the time that any job has left, and longer than that between rounds, so that a round of a
// full pool costs little more.
const forecastInterval = 100 * time.Millisecond

// updateForecast updates the forecasts from the work that waits after a round, and the outcome of
// earlier forecasts. The task sets are in order of precedence; starts are those of the round.
func (c *Controller) updateForecast(now, unix time.Duration, rs *roundState, sets []*taskSet, starts []workload.Start) {
	a := c.admission
	if len(a.counts.byPriority) > 0 {
		counts := a.counts
		c.out.Admissions, a.counts = &counts, AdmissionCounts{}
	}
	if now < a.nextForecast && len(sets) > 0 && len(a.pools) > 0 {
		return
	}
	a.nextForecast = now + forecastInterval
	c.queueAll(unix, rs, sets, starts)
	c.recordOutcomes(now)
	c.settleRefusals(now)
	for id, promised := range a.promised {
		if now > promised.due+returnGrace {
			delete(a.promised, id)
		}
	}
}

// queueAll replaces the forecasts of all pools.
func (c *Controller) queueAll(unix time.Duration, rs *roundState, sets []*taskSet, starts []workload.Start) {
	clear(c.admission.pools)
	placed := map[stepKey]int{}
	for _, start := range starts {
		placed[stepKeyOf(start.Task)]++
	}
	for _, ts := range sets {
		if waiting := ts.waiting - placed[ts.key]; waiting > 0 {
			c.queueWork(unix, rs, ts, waiting)
		}
	}
}

// queueWork adds the waiting tasks of a task set to the forecast of their pool. Jobs without
// value come after all others, and steps that only some executors may run, or that wait for
// another reason, keep nothing away from others.
func (c *Controller) queueWork(unix time.Duration, rs *roundState, ts *taskSet, waiting int) {
	if ts.tier > 0 && !ts.guaranteed || !isForecast(ts.step) || ts.job.Advice != nil {
		return
	}
	pool := c.admission.pools[ts.job.Service]
	if pool == nil {
		pool = c.newPoolForecast(rs, ts.job.Service)
		c.admission.pools[ts.job.Service] = pool
	}
	tasks := forecast.Tasks{Count: waiting, Need: amountOf(ts.step.Allocation()), RunTime: min(ts.expectedRunTime, maxTime), Gang: ts.step.Gang}
	work := tasks.Work(pool.executor)
	level, expires, factor := guaranteedLevel, forecast.Never, 1.0
	if !ts.guaranteed {
		level = levelOf(ts.job.Priority)
		expires = lateFactor*c.objective(ts.job) - age(ts.job, ts.key.occurrence, unix)
		factor = c.accuracyOf(pool.classOf(ts.job.Service, level, ts.step)).Typical()
	}
	if pool.Queue(level, work, expires, factor) && pool.head == nil {
		pool.head, pool.headLevel = ts.job, level
	}
}

// newPoolForecast returns the pool of a service without waiting work. Its capacity includes
// executors that accept no starts for a moment, and excludes what lasting tasks hold.
func (c *Controller) newPoolForecast(rs *roundState, service string) *poolForecast {
	var capacity forecast.Amount
	count := 0
	for _, e := range c.executors {
		if e.service == service && !e.draining && !e.deregistered && !c.isEvacuated(e) {
			capacity = capacity.Add(amountOf(e.capacity.Sub(e.lastingUsed)))
			count++
		}
	}
	return &poolForecast{Pool: forecast.NewPool(capacity), executor: capacity.Scale(1 / float64(max(count, 1))), round: rs}
}

// workOf returns the work of the steps of a job that can begin at once.
func (p *poolForecast) workOf(c *Controller, j *workload.Job) forecast.Amount {
	var work forecast.Amount
	for i := range j.Spec.Steps {
		step := &j.Spec.Steps[i]
		if len(step.DependsOn) > 0 {
			continue
		}
		expected, _ := c.runTimes.predict(j, i)
		tasks := forecast.Tasks{Count: step.Count, Need: amountOf(step.Allocation()), RunTime: min(expected, maxTime), Gang: step.Gang}
		work = work.Add(tasks.Work(p.executor))
	}
	return work
}

// classOf returns the class of a step.
func (p *poolForecast) classOf(service string, level int, step *workload.Step) waitClass {
	return waitClass{service: service, level: level, size: amountOf(step.Allocation()).Size(p.executor), gang: step.Gang}
}

// classOfJob returns the class of the step of a job with the largest tasks, of a gang if there
// is one.
func (p *poolForecast) classOfJob(j *workload.Job, level int) waitClass {
	class := p.classOf(j.Service, level, &j.Spec.Steps[0])
	for i := range j.Spec.Steps {
		step := p.classOf(j.Service, level, &j.Spec.Steps[i])
		class.size, class.gang = min(class.size, step.size), class.gang || step.gang
	}
	return class
}

// hasRoom reports whether a step of a job could begin now: one of its tasks, or all of a gang.
func (p *poolForecast) hasRoom(j *workload.Job) bool {
	for i := range j.Spec.Steps {
		step := &j.Spec.Steps[i]
		if len(step.DependsOn) > 0 {
			continue
		}
		needed := 1
		if step.Gang {
			needed = step.Count
		}
		for n, e := range p.round.executors {
			// The position of an executor may be that in a later round.
			s := &p.round.slots[n]
			isKept := s.reservedFor != nil || s.urgentOnly && j.Priority > 0
			if isKept || e.service != j.Service {
				continue
			}
			if needed -= fitCount(s.free, step.Allocation()); needed <= 0 {
				return true
			}
		}
	}
	return false
}
