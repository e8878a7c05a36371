package fleet

import (
	"time"

	"cranberrydrum.dev/scheduler/workload"
)

// jobFacts holds what a round needs of a job again and again. It depends on the measured run
// times and the averages of the queues, which do not change during a round.
type jobFacts struct {
	criticalPath, objective time.Duration
	value                   float64
	// expected and bound are the run times of each step.
	expected, bound []time.Duration
}

// factsOf returns the facts of a job, or nil outside a round.
func (c *Controller) factsOf(j *workload.Job) *jobFacts {
	if c.facts == nil {
		return nil
	}
	f := c.facts[j]
	if f == nil {
		f = c.findFacts(j)
		c.facts[j] = f
	}
	return f
}

func (c *Controller) findFacts(j *workload.Job) *jobFacts {
	steps := len(j.Spec.Steps)
	times := make([]time.Duration, 2*steps)
	f := &jobFacts{expected: times[:steps], bound: times[steps:]}
	for i := range j.Spec.Steps {
		f.expected[i], f.bound[i] = c.runTimes.predict(j, i)
	}
	f.criticalPath = criticalPath(&j.Spec, func(i int) time.Duration { return f.expected[i] })
	f.objective = objective(j, f.criticalPath)
	f.value = c.findValue(j)
	return f
}

// runTime returns the expected run time of a task and a bound that it rarely exceeds.
func (c *Controller) runTime(j *workload.Job, step int) (expected, bound time.Duration) {
	if f := c.factsOf(j); f != nil {
		return f.expected[step], f.bound[step]
	}
	return c.runTimes.predict(j, step)
}

// objective is the time within which a job should complete.
func (c *Controller) objective(j *workload.Job) time.Duration {
	if f := c.factsOf(j); f != nil {
		return f.objective
	}
	return objective(j, c.criticalPath(j))
}

// criticalPath is the longest chain of dependent steps, by expected time, at most
// maxTime.
func (c *Controller) criticalPath(j *workload.Job) time.Duration {
	if f := c.factsOf(j); f != nil {
		return f.criticalPath
	}
	return criticalPath(&j.Spec, func(i int) time.Duration {
		expected, _ := c.runTimes.predict(j, i)
		return expected
	})
}

// value returns the value of a job relative to an average job of its queue.
func (c *Controller) value(j *workload.Job) float64 {
	if f := c.factsOf(j); f != nil {
		return f.value
	}
	return c.findValue(j)
}
