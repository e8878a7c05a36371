// Package placement decides which gangs start on which accelerators, and
// which running jobs make room for them.
package placement

import (
	"time"

	"cranberrydrum.dev/scheduler/structs"
)

// Rules are the parts of the configuration that placement needs, for one
// failure domain.
type Rules struct {
	Domain string
	// Topology states the expected racks and workers, which define what a
	// whole rack and a whole worker are. If it is zero, they are derived from
	// the registered workers.
	Topology   structs.FailureDomain
	Customers  []structs.Customer
	Guarantees []structs.Guarantee
	Quotas     []structs.Quota
	Policy     structs.Policy
}

// Queued is a job that waits for a gang of accelerators.
type Queued struct {
	ID   string
	Spec structs.JobSpec
	// Since is when the job was first queued.
	Since time.Duration
	// Estimate is the expected run time, learned from measured ones; 0 if unknown.
	Estimate time.Duration
	// Avoid lists workers on which the job has failed.
	Avoid []string
	// Interrupted marks a job whose last run was lost with a worker.
	Interrupted bool
}

// Running is a job that holds accelerators, from its reservation until the
// last of its tasks has stopped.
type Running struct {
	ID      string
	Spec    structs.JobSpec
	Members []structs.Member
	// Order is the log index of the reservation. Jobs claim their customer's
	// guarantee in the order (Order, Started, ID), so a later start never
	// takes the protection of the guarantee from an earlier one.
	Order uint64
	// Started is when the run began, 0 while the gang is only reserved, and Checkpointed when its last checkpoint ended.
	Started      time.Duration
	Checkpointed time.Duration
	// Estimate is the expected run time, learned from measured ones; 0 if unknown.
	Estimate time.Duration
	// Stopping marks a job that was already told to make room.
	Stopping bool
	// StopBy is when the grace of a stopping job ends, 0 if it has none. Urgent
	// jobs do not wait for a grace that is longer than theirs.
	StopBy time.Duration
}

// Plan is the result of one scheduling round. It is a proposal: the applier
// checks each part against the replicated state and drops what no longer fits.
type Plan struct {
	Starts   []Start
	Preempts []Preempt
	Waiting  []Waiting
}

// Start places a whole gang.
type Start struct {
	Job     string
	Members []structs.Member
}

// Preempt stops a running job to make room for another.
type Preempt struct {
	Job string
	For string
	// Checkpoint asks for a checkpoint first, bounded by Grace.
	Checkpoint bool
	Grace      time.Duration
}

// Waiting says why a job was not placed. A round lists only the jobs that it
// examined, which are the heads of the queues and not the whole backlog.
type Waiting struct {
	Job    string
	Reason string
	// Code is the machine-readable form of the reason.
	Code WaitCode
	// ExpectedStart is set if the job holds a reservation.
	ExpectedStart time.Duration
}

// WaitCode is a stable reason for which a job was not placed.
type WaitCode string

// Codes of waiting jobs.
const (
	WaitNoRoom        WaitCode = "no_room"
	WaitQuota         WaitCode = "quota"
	WaitReserved      WaitCode = "reserved"
	WaitPreempting    WaitCode = "preempting"
	WaitNeverRunnable WaitCode = "never_runnable"
)

// Snapshot is the whole input of a round, for the stateless form.
type Snapshot struct {
	Config  Config
	Now     time.Duration
	Rules   Rules
	Workers []structs.Worker
	Queued  []Queued
	Running []Running
}
