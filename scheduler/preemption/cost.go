package preemption

import "time"

// Job is a running job that may be preempted.
type Job struct {
	// Accelerators is the number of accelerators of the whole gang.
	Accelerators int
	// Running is false while the gang is only reserved. Its preemption then loses
	// no work.
	Running bool
	// Started is when the run began and Checkpointed when its last checkpoint ended.
	Started, Checkpointed time.Duration
	// CheckpointTime is how long a checkpoint takes; 0 if the job cannot checkpoint.
	CheckpointTime time.Duration
	// LastResort marks a job that is preempted only if no other victims suffice: an
	// urgent job, or one of the customer for which it would be preempted.
	LastResort bool
}

// Assessment states how a job would be preempted and the cost of it.
type Assessment struct {
	Cost Cost
	// Checkpoint requests a checkpoint before the stop, within Grace.
	Checkpoint bool
	Grace      time.Duration
}

// Cost is the cost of preempting a set of victims.
type Cost struct {
	// LastResort is the number of victims that are marked as last resort.
	LastResort int
	// LostAcceleratorHours is the lost run time times the accelerators.
	LostAcceleratorHours float64
	// Jobs is the number of victims.
	Jobs int
}

// Add returns the sum of two costs.
func (c Cost) Add(d Cost) Cost {
	return Cost{LastResort: c.LastResort + d.LastResort, LostAcceleratorHours: c.LostAcceleratorHours + d.LostAcceleratorHours, Jobs: c.Jobs + d.Jobs}
}

// Compare orders costs by the number of last-resort victims, then by lost
// accelerator-hours, then by the number of victims. The last criterion keeps needless
// victims out of a set when several sets lose the same.
func (c Cost) Compare(d Cost) int {
	switch {
	case c.LastResort != d.LastResort:
		return c.LastResort - d.LastResort
	case c.LostAcceleratorHours < d.LostAcceleratorHours:
		return -1
	case c.LostAcceleratorHours > d.LostAcceleratorHours:
		return 1
	default:
		return c.Jobs - d.Jobs
	}
}

// Assess returns how a job would be preempted within the grace period, and the cost.
// A checkpoint is requested only if it ends within the grace period and takes less
// time than the work that would be lost without it.
func Assess(now, grace time.Duration, j Job) Assessment {
	assessment := Assessment{Cost: Cost{Jobs: 1}}
	if j.LastResort {
		assessment.Cost.LastResort = 1
	}
	if !j.Running {
		return assessment
	}
	lost := max(now-max(j.Started, j.Checkpointed), 0)
	if j.CheckpointTime > 0 && j.CheckpointTime <= grace && j.CheckpointTime < lost {
		assessment.Checkpoint = true
		assessment.Grace = grace
		lost = j.CheckpointTime
	}
	assessment.Cost.LostAcceleratorHours = lost.Hours() * float64(j.Accelerators)
	return assessment
}
