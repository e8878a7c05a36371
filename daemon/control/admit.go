package control

import (
	"time"

	"cranberrydrum.dev/daemon/clock"
	"cranberrydrum.dev/scheduler/fleet"
	"cranberrydrum.dev/scheduler/structs"
	"cranberrydrum.dev/scheduler/workload"
)

// admit returns the refusal of a job that is about to be proposed and can have no value, or
// nil. It runs on the goroutine of the group of the leader.
func (n *Node) admit(j *workload.Job) *structs.Refusal {
	if j.Tombstone {
		return nil
	}
	return refusalOf(n.owner.controller.Admit(clock.Boot(), j))
}

// refusalOf returns the refusal for a decision about a submission, or nil.
func refusalOf(verdict fleet.AdmissionVerdict, retryAfter time.Duration) *structs.Refusal {
	if verdict != fleet.AdmissionRefused {
		return nil
	}
	refusal := structs.RefuseNotRun(structs.CodeQueueFull, "the job would complete too late to have any value")
	refusal.RetryAfter = retryAfter
	return refusal
}
