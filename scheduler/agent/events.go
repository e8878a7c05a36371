package agent

import "cranberrydrum.dev/scheduler/structs"

// Event is an input from the I/O layer to the agent.
type Event interface {
	event()
}

// RenewalSent is delivered immediately before a renewal is sent, because the
// lease counts from that moment. Seq grows with each renewal of the process.
type RenewalSent struct {
	Seq uint64
}

// OrdersReceived carries the response to the renewal with the number Seq of this
// process.
type OrdersReceived struct {
	Seq    uint64
	Orders structs.WorkerOrders
}

// TaskExited is delivered when a task has released its accelerators.
type TaskExited struct {
	Job    string
	Run    uint64
	Failed bool
	Error  string
}

// CheckpointDone is delivered when a checkpoint is completely written.
type CheckpointDone struct {
	Job string
	Run uint64
}

// Timer is delivered at the Deadline of the agent.
type Timer struct{}

func (RenewalSent) event()    {}
func (OrdersReceived) event() {}
func (TaskExited) event()     {}
func (CheckpointDone) event() {}
func (Timer) event()          {}

// Effect is an action that the agent requests from the I/O layer.
type Effect interface {
	effect()
}

// StartTask starts the task of a run on the given accelerators, with limits on
// other resources.
type StartTask struct {
	Job          string
	Run          uint64
	Accelerators []int
	Limits       structs.Limits
	Command      []string
}

// StopTask stops a task. TaskExited must follow. A forced stop, at the end of
// the lease, kills the task. Any other stop may give the task time to shut
// down; if the lease ends before the task does, a forced stop follows.
type StopTask struct {
	Job   string
	Run   uint64
	Force bool
}

// CheckpointTask requests a checkpoint from a task. CheckpointDone follows unless
// the task ends first.
type CheckpointTask struct {
	Job string
	Run uint64
}

// ThrottleTask throttles a task, or ends throttling if Enabled is false.
type ThrottleTask struct {
	Job     string
	Run     uint64
	Enabled bool
}

func (StartTask) effect()      {}
func (StopTask) effect()       {}
func (CheckpointTask) effect() {}
func (ThrottleTask) effect()   {}
