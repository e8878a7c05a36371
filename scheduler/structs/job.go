package structs

import "time"

// Priority orders jobs. Jobs with higher values run first.
type Priority int

// Priorities of jobs.
const (
	PriorityBulk   Priority = 0
	PriorityNormal Priority = 1
	PriorityUrgent Priority = 2
)

// JobSpec is the description of a job that a caller submits.
type JobSpec struct {
	// Name identifies the job among the jobs of its customer. A resend with the
	// same name returns the same job.
	Name     string   `json:"name"`
	Customer string   `json:"customer"`
	Domain   string   `json:"domain,omitempty"`
	Priority Priority `json:"priority"`
	// Accelerators is the size of the gang.
	Accelerators int `json:"accelerators"`
	// DeclaredRuntime is the caller's estimate, which is often inaccurate.
	DeclaredRuntime time.Duration `json:"declared_runtime_ns"`
	// CheckpointTime is the duration of a checkpoint. 0 means that the job cannot
	// checkpoint.
	CheckpointTime time.Duration `json:"checkpoint_time_ns"`
	Command        []string      `json:"command,omitempty"`
}

// JobStatus is the state of a job.
type JobStatus string

// States of a job. A placement plan reserves the accelerators of the gang, then
// all its workers prepare their tasks, and only then does the job run.
const (
	JobQueued    JobStatus = "queued"
	JobReserved  JobStatus = "reserved"
	JobRunning   JobStatus = "running"
	JobStopping  JobStatus = "stopping"
	JobSucceeded JobStatus = "succeeded"
	JobFailed    JobStatus = "failed"
	JobCancelled JobStatus = "cancelled"
)

// Terminal reports whether s is final.
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
	// Members are the workers of the current run with their allocated accelerators.
	Members []Member `json:"members,omitempty"`
	// Attempts counts the runs that failed.
	Attempts int `json:"attempts"`
	// Reason says why a job failed or why a queued job waits.
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

// Limits limit the processor cores and memory of a task.
type Limits struct {
	Cores    int `json:"cores"`
	MemoryMB int `json:"memory_mb"`
}

// LimitsFor returns the limits of a task that uses a number of the worker's
// accelerators: the same proportion of its cores and memory, rounded down. The
// sum of the shares of all accelerators therefore never exceeds the worker.
func (w Worker) LimitsFor(accelerators int) Limits {
	if w.Accelerators <= 0 {
		return Limits{}
	}
	return Limits{
		Cores:    w.Cores * accelerators / w.Accelerators,
		MemoryMB: w.MemoryMB * accelerators / w.Accelerators,
	}
}

// TaskPhase is the phase of one task of a gang on its worker.
type TaskPhase string

// Phases that a worker reports. A prepared task occupies its accelerators but
// does not run yet.
const (
	TaskPrepared     TaskPhase = "prepared"
	TaskRunning      TaskPhase = "running"
	TaskCheckpointed TaskPhase = "checkpointed"
	TaskStopped      TaskPhase = "stopped"
	TaskSucceeded    TaskPhase = "succeeded"
	TaskFailed       TaskPhase = "failed"
)

// TaskAction is an action that a worker must take on a task.
type TaskAction string

// Actions ordered by the host that owns the failure domain.
const (
	ActionPrepare    TaskAction = "prepare"
	ActionStart      TaskAction = "start"
	ActionCheckpoint TaskAction = "checkpoint"
	ActionThrottle   TaskAction = "throttle"
	ActionStop       TaskAction = "stop"
)

// TaskReport is the state of one task as its worker reports it.
type TaskReport struct {
	Job   string    `json:"job"`
	Run   uint64    `json:"run"`
	Phase TaskPhase `json:"phase"`
	// Error is the failure that the task reported.
	Error string `json:"error,omitempty"`
}

// WorkerReport is the renewal message of a worker. It renews the lease and
// reports all tasks.
type WorkerReport struct {
	Worker Worker `json:"worker"`
	// Incarnation increases with each start of the worker process.
	Incarnation uint64       `json:"incarnation"`
	Tasks       []TaskReport `json:"tasks"`
}

// TaskOrder orders an action on one task.
type TaskOrder struct {
	Job          string     `json:"job"`
	Run          uint64     `json:"run"`
	Action       TaskAction `json:"action"`
	Accelerators []int      `json:"accelerators,omitempty"`
	// Limits are set if Accelerators is. The worker enforces them, so that a task
	// cannot starve the tasks on the other accelerators.
	Limits  *Limits  `json:"limits,omitempty"`
	Command []string `json:"command,omitempty"`
}

// WorkerOrders is the response to a renewal. The worker must stop tasks that are
// not listed.
type WorkerOrders struct {
	// Term fences the orders: a worker ignores orders whose term is lower than the
	// highest term it has received.
	Term uint64 `json:"term"`
	// Lease is how long the worker may run its tasks without a further renewal,
	// counted from the time at which it sent this renewal.
	Lease time.Duration `json:"lease_ns"`
	Tasks []TaskOrder   `json:"tasks"`
	// Owner is the address of the host that owns the failure domain. It is empty
	// if the responding host is the owner. The worker may send renewals directly
	// to the owner and must fall back to the other hosts if that fails.
	Owner string `json:"owner,omitempty" msgpack:",omitempty"`
}
