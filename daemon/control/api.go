package control

import (
	"time"

	"cranberrydrum.dev/scheduler/fleet"
	"cranberrydrum.dev/scheduler/structs"
	"cranberrydrum.dev/scheduler/workload"
)

// Methods that a control host answers to its peers.
const (
	MethodCustomer  = "customer"
	MethodReport    = "report"
	MethodLeave     = "leave"
	MethodConfigure = "configure"
	MethodConfig    = "config"
	MethodHello     = "hello"
	MethodJoin      = "join"
)

// Operation is what a customer asks for.
type Operation uint8

// Operations of customers.
const (
	OpSubmit Operation = iota + 1
	OpRead
	OpCancel
)

// String returns the name used in logs and metrics.
func (o Operation) String() string {
	return [...]string{"none", "submit", "read", "cancel"}[o]
}

// CustomerRequest is a call of a customer, as an entry host passes it on.
type CustomerRequest struct {
	Operation Operation `msgpack:"o"`
	// Host and Path select the queue and, behind its prefix, the job.
	Host string         `msgpack:"h"`
	Path string         `msgpack:"p"`
	Key  string         `msgpack:"k"`
	Spec *workload.Spec `msgpack:"s,omitempty"`
}

// CustomerReply answers a CustomerRequest that was carried out.
type CustomerReply struct {
	// Unknown is set if there is no such job.
	Unknown bool           `msgpack:"u,omitempty"`
	Phase   workload.Phase `msgpack:"p"`
	// Pending is the answer to a read of a queue instead of a job.
	IsQueue bool `msgpack:"q,omitempty"`
	Pending int  `msgpack:"n,omitempty"`
}

// ReportReply answers a report of an executor.
type ReportReply struct {
	// Address is where later reports are best sent.
	Address string `msgpack:"a"`
}

// LeaveRequest is the farewell of an executor.
type LeaveRequest struct {
	Executor workload.ExecutorKey `msgpack:"e"`
}

// Hello tells a peer whom to call.
type Hello struct {
	// Leader is the host that leads, or empty.
	Leader string   `msgpack:"l"`
	Hosts  []string `msgpack:"h"`
}

// JoinRequest asks the leader to make a host a member of the log.
type JoinRequest struct {
	Member string `msgpack:"m"`
}

// JoinReply answers a JoinRequest.
type JoinReply struct {
	// Removed is set if the identity was a member once and is not any more.
	Removed bool `msgpack:"r"`
}

// reportMessage carries a report between control hosts.
type reportMessage struct {
	Report fleet.Report `msgpack:"r"`
}

const (
	// RetryLater is the time after which a refused call is worth another attempt:
	// about the time in which another leader is elected.
	RetryLater = 500 * time.Millisecond
	// LinkHeartbeat is the time between two signs of life on a channel between
	// hosts, LinkSilence the time without one after which it is closed: two
	// heartbeats and a way between regions.
	LinkHeartbeat = 1 * time.Second
	LinkSilence   = 2500 * time.Millisecond
)

func notLeader(leader string) *structs.Refusal {
	r := structs.NotRun(structs.CodeNotLeader, leader)
	r.RetryAfter = RetryLater
	return r
}
