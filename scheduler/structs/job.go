package structs

import "time"

// Priority orders jobs; higher values run first.
type Priority int

// Priorities of jobs.
const (
	PriorityBulk   Priority = 0
	PriorityNormal Priority = 1
	PriorityUrgent Priority = 2
)

// JobSpec is what a caller submits.
type JobSpec struct {
	// Name identifies the submission within its customer; a resend with the
	// same name returns the same job.
	Name     string   `json:"name"`
	Customer string   `json:"customer"`
	Domain   string   `json:"domain,omitempty"`
	Priority Priority `json:"priority"`
	// Accelerators is the size of the gang.
	Accelerators int `json:"accelerators"`
	// DeclaredRuntime is the caller's estimate and is often far off.
	DeclaredRuntime time.Duration `json:"declared_runtime_ns"`
	// CheckpointTime is how long a checkpoint takes; 0 means the job cannot checkpoint.
	CheckpointTime time.Duration `json:"checkpoint_time_ns"`
	Command        []string      `json:"command,omitempty"`
}

// JobStatus is the state of a job.
type JobStatus string

// States of a job. A gang is reserved by a plan, then prepared by all of its
// workers, and only then running.
const (
	JobQueued    JobStatus = "queued"
	JobReserved  JobStatus = "reserved"
	JobRunning   JobStatus = "running"
	JobStopping  JobStatus = "stopping"
	JobSucceeded JobStatus = "succeeded"
	JobFailed    JobStatus = "failed"
	JobCancelled JobStatus = "cancelled"
)

// Terminal reports whether the job will not change any more.
func (s JobStatus) Terminal() bool {
	return s == JobSucceeded || s == JobFailed || s == JobCancelled
}

// Job is a submitted job and its current run.
type Job struct {
	ID     string    `json:"id"`
	Spec   JobSpec   `json:"spec"`
	Status JobStatus `json:"status"`
	// Run counts the starts of the gang and fences the tasks of earlier runs.
	Run uint64 `json:"run"`
	// Members are the workers of the current run with the accelerators they give.
	Members []Member `json:"members,omitempty"`
	// Attempts counts the runs that failed.
	Attempts int `json:"attempts"`
	// Reason explains a failed job or why a queued one waits.
	Reason string `json:"reason,omitempty"`
}

// Member is the part of a gang on one worker.
type Member struct {
	Worker string `json:"worker"`
	// Accelerators are the indexes of the accelerators on the worker.
	Accelerators []int `json:"accelerators"`
}

// Worker is a machine that runs tasks.
type Worker struct {
	ID           string `json:"id"`
	Domain       string `json:"domain"`
	Rack         string `json:"rack"`
	Accelerators int    `json:"accelerators"`
	Cores        int    `json:"cores"`
	MemoryMB     int    `json:"memory_mb"`
	Quarantined  bool   `json:"quarantined"`
}

// Limits bound the processors and memory of a task.
type Limits struct {
	Cores    int `json:"cores"`
	MemoryMB int `json:"memory_mb"`
}

// Share returns the part of the worker's processors and memory that belongs to
// a number of its accelerators. The shares of all accelerators together never
// exceed the worker.
func (w Worker) Share(accelerators int) Limits {
	if w.Accelerators <= 0 {
		return Limits{}
	}
	return Limits{
		Cores:    w.Cores * accelerators / w.Accelerators,
		MemoryMB: w.MemoryMB * accelerators / w.Accelerators,
	}
}

// TaskPhase is the phase of one member of a gang on its worker.
type TaskPhase string

// Phases that a worker reports. Preparing holds the accelerators without running.
const (
	TaskPrepared     TaskPhase = "prepared"
	TaskRunning      TaskPhase = "running"
	TaskCheckpointed TaskPhase = "checkpointed"
	TaskStopped      TaskPhase = "stopped"
	TaskSucceeded    TaskPhase = "succeeded"
	TaskFailed       TaskPhase = "failed"
)

// TaskAction is what a worker is told to do with a task.
type TaskAction string

// Actions that the owner of a failure domain orders.
const (
	ActionPrepare    TaskAction = "prepare"
	ActionStart      TaskAction = "start"
	ActionCheckpoint TaskAction = "checkpoint"
	ActionThrottle   TaskAction = "throttle"
	ActionStop       TaskAction = "stop"
)

// TaskReport is a worker's view of one task.
type TaskReport struct {
	Job   string    `json:"job"`
	Run   uint64    `json:"run"`
	Phase TaskPhase `json:"phase"`
	// Error is the failure that the task reported.
	Error string `json:"error,omitempty"`
}

// WorkerReport is the one renewal message of a worker.
type WorkerReport struct {
	Worker Worker `json:"worker"`
	// Incarnation grows with each start of the worker process.
	Incarnation uint64       `json:"incarnation"`
	Tasks       []TaskReport `json:"tasks"`
}

// TaskOrder tells a worker what to do with one task.
type TaskOrder struct {
	Job          string     `json:"job"`
	Run          uint64     `json:"run"`
	Action       TaskAction `json:"action"`
	Accelerators []int      `json:"accelerators,omitempty"`
	// Limits come with the accelerators. The worker enforces them, so that a
	// task cannot starve the tasks on the other accelerators.
	Limits  *Limits  `json:"limits,omitempty"`
	Command []string `json:"command,omitempty"`
}

// WorkerOrders answers a renewal. Tasks that are not listed must be stopped.
type WorkerOrders struct {
	// Term fences the orders: a worker ignores orders of a lower term than it has seen.
	Term uint64 `json:"term"`
	// Lease is how long the worker may go on without a further renewal,
	// counted from the moment it sent the renewal.
	Lease time.Duration `json:"lease_ns"`
	Tasks []TaskOrder   `json:"tasks"`
	// Owner is the address of the host that owns the failure domain, if it is
	// another one than the host that answers. The worker may renew there
	// directly and must fall back to the other hosts if that fails.
	Owner string `json:"owner,omitempty" msgpack:",omitempty"`
}
