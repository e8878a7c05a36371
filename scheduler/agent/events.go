package agent

import "cranberrydrum.dev/scheduler/structs"

// Event is what the I/O layer tells the agent.
type Event interface {
	event()
}

// RenewalSent is delivered immediately before a renewal is sent, because the
// lease counts from that moment. Seq grows with each renewal of the process.
type RenewalSent struct {
	Seq uint64
}

// OrdersReceived carries the answer to the renewal Seq of this process.
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

// CheckpointDone is delivered when a checkpoint is written completely.
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

// Effect is what the agent asks of the I/O layer.
type Effect interface {
	effect()
}

// StartTask starts the task of a run on accelerators, within limits.
type StartTask struct {
	Job          string
	Run          uint64
	Accelerators []int
	Limits       structs.Limits
	Command      []string
}

// StopTask ends a task. TaskExited must follow. A forced stop, at the end of
// the lease, kills the task; another one may give it time to shut down, and is
// followed by a forced one if the lease ends before the task.
type StopTask struct {
	Job   string
	Run   uint64
	Force bool
}

// CheckpointTask asks a task for a checkpoint. CheckpointDone follows unless
// the task ends first.
type CheckpointTask struct {
	Job string
	Run uint64
}

// ThrottleTask slows a task down, or ends that.
type ThrottleTask struct {
	Job string
	Run uint64
	On  bool
}

func (StartTask) effect()      {}
func (StopTask) effect()       {}
func (CheckpointTask) effect() {}
func (ThrottleTask) effect()   {}
