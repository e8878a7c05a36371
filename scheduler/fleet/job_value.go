package fleet

import (
	"math"
	"time"

	"cranberrydrum.dev/scheduler/workload"
)

// lateFactor times the objective is the age after which a job has no value.
const lateFactor = 3

// maxTime bounds the expected times of a job, so that lateFactor times their sum stays in
// range.
const maxTime = time.Duration(math.MaxInt64 / (4 * lateFactor))

// objective is the time within which a job with a critical path should complete.
func objective(j *workload.Job, criticalPath time.Duration) time.Duration {
	stretched := min(j.Stretch*float64(criticalPath), float64(maxTime))
	return time.Duration(stretched) + min(j.Target, maxTime)
}

// criticalPath is the longest chain of dependent steps, by the expected time of a step, at most
// maxTime.
func criticalPath(s *workload.Spec, expected func(step int) time.Duration) time.Duration {
	longest := time.Duration(0)
	ends := make([]time.Duration, len(s.Steps))
	for i := range s.Steps {
		for _, d := range s.Steps[i].DependsOn {
			ends[i] = max(ends[i], ends[d])
		}
		ends[i] = min(ends[i]+min(expected(i), maxTime), maxTime)
		longest = max(longest, ends[i])
	}
	return longest
}

// tierOf returns 1 for jobs that have no value left, which are placed after all
// others, and 0 otherwise.
func (c *Controller) tierOf(j *workload.Job, k int, unix time.Duration) int {
	if age(j, k, unix) > lateFactor*c.objective(j) {
		return 1
	}
	return 0
}

// age is how long an occurrence of a job has been due.
func age(j *workload.Job, k int, unix time.Duration) time.Duration {
	return unix - max(j.Submitted, j.Spec.DueAt(k))
}

// slackShare returns a share of a job's slack: its objective minus its critical
// path.
func (c *Controller) slackShare(j *workload.Job, share float64) time.Duration {
	return time.Duration(share * float64(c.objective(j)-c.criticalPath(j)))
}

// findValue returns the value of a job relative to an average job of its queue. One
// part is the same for all jobs, the rest is proportional to the work.
func (c *Controller) findValue(j *workload.Job) float64 {
	mean := c.workAverages[j.Place()]
	if mean.jobs == 0 {
		return 1
	}
	return min(baseValue+(1-baseValue)*work(&j.Spec)*mean.jobs/max(mean.work, 1), maxValue)
}

const (
	// baseValue is the part of a job's value that does not depend on its work,
	// maxValue the upper bound of the value. The scoring rules set both.
	baseValue = 0.3
	maxValue  = 4.0
)

// workAverage sums up the work of the jobs of a queue.
type workAverage struct{ jobs, work float64 }

// countWork adds a job to the average of its queue if it was accepted since the
// last reconcile.
func (c *Controller) countWork(j *workload.Job) {
	if j.Sequence <= c.lastCounted || j.Tombstone {
		return
	}
	mean := c.workAverages[j.Place()]
	mean.jobs++
	mean.work += work(&j.Spec)
	c.workAverages[j.Place()] = mean
	c.lastSeen = max(c.lastSeen, j.Sequence)
}

// work is the estimated work of one occurrence of a job, in core-seconds.
func work(s *workload.Spec) float64 {
	sum := 0.0
	for i := range s.Steps {
		sum += cores(&s.Steps[i]) * float64(s.Steps[i].Count) * s.Steps[i].Estimate.Seconds()
	}
	return sum
}

// gpuCores is the number of cores that an accelerator counts as.
const gpuCores = 8

// cores is the capacity that a task of a step occupies, in cores.
func cores(step *workload.Step) float64 {
	return float64(step.Demand.CPU)/1000 + gpuCores*float64(step.Demand.GPU)
}
