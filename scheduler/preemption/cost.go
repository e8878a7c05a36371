package preemption

import "time"

// Job is a running job that may be preempted.
type Job struct {
	// Accelerators is the size of the whole gang.
	Accelerators int
	// Running is false while the gang is only reserved, which loses nothing.
	Running bool
	// Started is when the run began and Checkpointed when its last checkpoint ended.
	Started, Checkpointed time.Duration
	// CheckpointTime is how long a checkpoint takes; 0 means that it cannot checkpoint.
	CheckpointTime time.Duration
	// LastResort jobs are chosen only if there is no other way: urgent ones and
	// those of the customer for which room is made.
	LastResort bool
}

// Assessment is how a job would be stopped and what is lost by it.
type Assessment struct {
	Cost Cost
	// Checkpoint asks for a checkpoint, which ends within Grace.
	Checkpoint bool
	Grace      time.Duration
}

// Cost is what a set of victims loses.
type Cost struct {
	// LastResort counts the victims that should be spared.
	LastResort int
	// LostAcceleratorHours is in accelerator-hours.
	LostAcceleratorHours float64
	// Jobs counts the victims.
	Jobs int
}

// Add returns the sum of two costs.
func (c Cost) Add(d Cost) Cost {
	return Cost{LastResort: c.LastResort + d.LastResort, LostAcceleratorHours: c.LostAcceleratorHours + d.LostAcceleratorHours, Jobs: c.Jobs + d.Jobs}
}

// Compare orders costs: spared victims, then lost accelerator-hours, then the
// number of victims, so that no more victims than needed are stopped when
// several sets lose the same.
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

// Assess decides how a job would be stopped within the grace. A checkpoint is
// taken only if it ends within the grace and takes less time than the work
// that would be lost without it.
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
