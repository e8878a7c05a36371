package control

import (
	"time"

	"cranberrydrum.dev/scheduler/fleet"
	"cranberrydrum.dev/scheduler/structs"
	"cranberrydrum.dev/scheduler/workload"
)

// Methods of the calls that a control host serves to other hosts.
const (
	MethodCustomer  = "customer"
	MethodReport    = "report"
	MethodLeave     = "leave"
	MethodConfigure = "configure"
	MethodConfig    = "config"
	MethodEvacuate  = "evacuate"
	MethodHello     = "hello"
	MethodJoin      = "join"
	MethodHandOver  = "hand_over"
)

// ReportReply is the reply to a report of an executor.
type ReportReply struct {
	// Address is the address that the executor should send later reports to.
	Address string `msgpack:"a"`
}

// LeaveRequest deregisters an executor that is shutting down.
type LeaveRequest struct {
	Executor workload.ExecutorKey `msgpack:"e"`
}

// Hello is the reply to MethodHello. It tells a peer which hosts to call.
type Hello struct {
	// Leader is the host of the leader, or empty if none is known.
	Leader string   `msgpack:"l"`
	Hosts  []string `msgpack:"h"`
}

// JoinRequest asks the leader to add a member to the replication group.
type JoinRequest struct {
	Member string `msgpack:"m"`
}

// JoinReply is the reply to a JoinRequest.
type JoinReply struct {
	// Removed is set if the member was removed from the group for good. A removed
	// member is never added again.
	Removed bool `msgpack:"r"`
}

// HandOverRequest asks the leader to pass the vote of a member whose host is about to
// stop to a spare. The host repeats it until the reply has Removed or lacks Pending.
type HandOverRequest struct {
	Member string `msgpack:"m"`
}

// HandOverReply is the reply to a HandOverRequest.
type HandOverReply struct {
	// Removed is set once the member is removed for good.
	Removed bool `msgpack:"r"`
	// Pending is set while a spare can take over the vote.
	Pending bool `msgpack:"p"`
}

// reportMessage carries an executor report from a control host to the leader.
type reportMessage struct {
	Report fleet.Report `msgpack:"r"`
}

const (
	// DefaultRetryAfter is the retry delay given with a refusal. It is about the
	// time that the election of another leader takes. It is not longer while there is
	// no leader for longer: entry hosts hold calls during that time, so a caller that
	// returns early is served as soon as there is one.
	DefaultRetryAfter = 500 * time.Millisecond
	// PeerHeartbeatInterval is the interval of heartbeats on a connection between
	// hosts.
	PeerHeartbeatInterval = 1 * time.Second
	// PeerSilenceTimeout is the time without a heartbeat after which a connection
	// is closed: two heartbeat intervals and the latency between two regions.
	PeerSilenceTimeout = 2500 * time.Millisecond
)

// notLeader returns the refusal of a call that only the leader serves. Its message
// is the host of the leader, or empty if none is known.
func notLeader(leader string) *structs.Refusal {
	r := structs.RefuseNotRun(structs.CodeNotLeader, leader)
	r.RetryAfter = DefaultRetryAfter
	return r
}
