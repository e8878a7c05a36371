// Package placement decides which gangs start on which accelerators of a failure
// domain, and which running jobs are preempted or migrated for them.
//
// A gang is the set of accelerators that a job needs at the same time. An
// aligned block of 1, 2, 4, ... accelerators of one worker is a cell, and its
// level is the binary logarithm of its size. Package guarantee defines when a
// job counts as inside its customer's guarantee.
package placement

import (
	"time"

	"cranberrydrum.dev/scheduler/structs"
)

// Rules are the parts of the configuration that placement needs, for one
// failure domain.
type Rules struct {
	Domain string
	// Topology is the configured number and size of racks and workers, which
	// defines a whole rack and a whole worker. If it is zero, it is derived from
	// the registered workers.
	Topology   structs.FailureDomain
	Customers  []structs.Customer
	Guarantees []structs.Guarantee
	Quotas     []structs.Quota
	Policy     structs.Policy
}

// Queued is a job that waits for its gang of accelerators.
type Queued struct {
	ID   string
	Spec structs.JobSpec
	// QueuedAt is when the job was first queued.
	QueuedAt time.Duration
	// Estimate is the expected run time, derived from earlier run times; 0 if
	// unknown.
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
	// ReservedIndex is the log index at which the accelerators were reserved. Jobs claim
	// their customer's guarantee in the order (ReservedIndex, Started, ID), so a later
	// start never takes the protection of the guarantee from an earlier one.
	ReservedIndex uint64
	// Started is when the run began, or 0 while the gang is only reserved.
	// Checkpointed is when the last checkpoint ended.
	Started      time.Duration
	Checkpointed time.Duration
	// Estimate is the expected run time, derived from earlier run times; 0 if
	// unknown.
	Estimate time.Duration
	// Stopping marks a job that was already ordered to stop.
	Stopping bool
	// StopBy is when the grace period of a stopping job ends, 0 if it has none.
	// An urgent job does not wait for accelerators whose grace period ends later
	// than one that it could grant itself.
	StopBy time.Duration
}

// Plan is the result of one scheduling round. It is a proposal: when it is
// applied, each entry is checked against the replicated state, and entries that
// are no longer valid are dropped.
type Plan struct {
	Starts   []Start
	Preempts []Preempt
	Waiting  []Waiting
}

// Start assigns accelerators to a whole gang.
type Start struct {
	Job     string
	Members []structs.Member
}

// Preempt stops a running job to free accelerators for another one.
type Preempt struct {
	Job       string
	Requester string
	// Checkpoint requests a checkpoint before the stop, within Grace.
	Checkpoint bool
	Grace      time.Duration
}

// Waiting gives the reason why a job was not placed. A round lists only the jobs
// that it examined: the heads of the queues, not the whole backlog.
type Waiting struct {
	Job    string
	Reason string
	// Code is the machine-readable form of the reason.
	Code WaitCode
	// ExpectedStart is set if the job holds a reservation.
	ExpectedStart time.Duration
}

// WaitCode is a stable code of the reason why a job was not placed.
type WaitCode string

// Codes for jobs that were not placed.
const (
	WaitNoRoom        WaitCode = "no_room"
	WaitQuota         WaitCode = "quota"
	WaitReserved      WaitCode = "reserved"
	WaitPreempting    WaitCode = "preempting"
	WaitNeverRunnable WaitCode = "never_runnable"
)

// Snapshot is the complete input of the stateless function Round.
type Snapshot struct {
	Config  Config
	Now     time.Duration
	Rules   Rules
	Workers []structs.Worker
	Queued  []Queued
	Running []Running
}
