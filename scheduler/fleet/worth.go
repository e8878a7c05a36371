package fleet

import (
	"time"

	"cranberrydrum.dev/scheduler/workload"
)

// lateFactor times its objective is the time after which a job earns nothing.
const lateFactor = 3

// objective is the time in which a job should complete.
func objective(j *workload.Job) time.Duration {
	return time.Duration(j.Stretch*float64(chain(&j.Spec))) + j.Target
}

// chain is the longest chain of estimated work.
func chain(s *workload.Spec) time.Duration {
	longest := time.Duration(0)
	ends := make([]time.Duration, len(s.Steps))
	for i := range s.Steps {
		for _, d := range s.Steps[i].DependsOn {
			ends[i] = max(ends[i], ends[d])
		}
		ends[i] += s.Steps[i].Estimate
		longest = max(longest, ends[i])
	}
	return longest
}

// classOf puts jobs that can earn nothing any more behind all others.
func classOf(j *workload.Job, k int, unix time.Duration) int {
	if age(j, k, unix) > lateFactor*objective(j) {
		return 1
	}
	return 0
}

// age is how long an occurrence of a job has been due.
func age(j *workload.Job, k int, unix time.Duration) time.Duration {
	return unix - max(j.Submitted, j.Spec.DueAt(k))
}

// spareShare is a share of what the objective of a job leaves beside the work
// itself.
func spareShare(j *workload.Job, share float64) time.Duration {
	return time.Duration(share * float64(objective(j)-chain(&j.Spec)))
}

// value is the worth of a job against that of an average one of its queue: part
// of it is equal for all, the rest grows with the work.
func (c *Controller) value(j *workload.Job) float64 {
	mean := c.meanWork[j.Queue]
	if mean.jobs == 0 {
		return 1
	}
	return min(baseWorth+(1-baseWorth)*work(&j.Spec)*mean.jobs/max(mean.work, 1), maxWorth)
}

const (
	// baseWorth is the part of a job's worth that does not depend on its work,
	// maxWorth the most that work adds up to; both from the rules of the score.
	baseWorth = 0.3
	maxWorth  = 4.0
)

// average sums up the work of the jobs of a queue.
type average struct{ jobs, work float64 }

// learn adds the jobs that were accepted since the last round to the averages.
func (c *Controller) learn(j *workload.Job) {
	if j.Sequence <= c.learnt {
		return
	}
	mean := c.meanWork[j.Queue]
	mean.jobs++
	mean.work += work(&j.Spec)
	c.meanWork[j.Queue] = mean
	c.newest = max(c.newest, j.Sequence)
}

// work is the estimated work of one occurrence of a job, in core-seconds.
func work(s *workload.Spec) float64 {
	sum := 0.0
	for i := range s.Steps {
		sum += cores(&s.Steps[i]) * float64(s.Steps[i].Count) * s.Steps[i].Estimate.Seconds()
	}
	return sum
}

// gpuCores is how many cores an accelerator counts as.
const gpuCores = 8

// cores is what a task of a step occupies, in cores.
func cores(step *workload.Step) float64 {
	return float64(step.Need.CPU)/1000 + gpuCores*float64(step.Need.GPU)
}
