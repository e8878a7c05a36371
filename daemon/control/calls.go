package control

import (
	"errors"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"cranberrydrum.dev/coord/codec"
	"cranberrydrum.dev/coord/raft"
	"cranberrydrum.dev/coord/reconfig"
	"cranberrydrum.dev/daemon/clock"
	"cranberrydrum.dev/daemon/panics"
	"cranberrydrum.dev/daemon/transport"
	"cranberrydrum.dev/scheduler/admission"
	"cranberrydrum.dev/scheduler/fleet"
	"cranberrydrum.dev/scheduler/structs"
	"cranberrydrum.dev/scheduler/workload"
)

// forwardTimeout bounds a call that is forwarded to the leader. It is shorter than
// the 1 s for which an executor waits for the reply to its report.
const forwardTimeout = 800 * time.Millisecond

func (n *Node) sendRaft(m raft.Message) {
	body, err := msgpack.Marshal(&m)
	if err != nil {
		n.log.Error(err, "failed to encode a raft message")
		return
	}
	host := reconfig.HostOf(m.To)
	n.addPeer(host)
	// Raft retransmits, so a message that cannot be sent is dropped.
	_ = n.transport.Send(host, transport.KindRaft, body)
}

// HandleMessage implements transport.Handler.
func (n *Node) HandleMessage(_ string, kind transport.Kind, body []byte) {
	if kind != transport.KindRaft {
		return
	}
	var m raft.Message
	if err := codec.Unmarshal(body, &m); err != nil {
		n.log.V(1).Info("dropped a raft message that cannot be decoded", "error", err.Error())
		return
	}
	if m.To == n.member {
		n.group.Deliver(m)
	}
}

// HandleCall implements transport.Handler.
func (n *Node) HandleCall(_, method string, body []byte, remaining time.Duration) ([]byte, error) {
	reply, err := n.dispatch(method, body, remaining)
	var refused *structs.Refusal
	if errors.As(err, &refused) {
		n.cfg.Observer.CountRefusal(method, string(refused.Code))
	}
	if err != nil || reply == nil {
		return nil, err
	}
	return msgpack.Marshal(reply)
}

// dispatch runs the handler of a method.
func (n *Node) dispatch(method string, body []byte, remaining time.Duration) (any, error) {
	switch method {
	case MethodHello:
		return n.hello(), nil
	case MethodCustomer:
		return decodeAndHandle(body, func(r *admission.Request) (any, error) { return n.customer(r, remaining) })
	case MethodReport:
		return decodeAndHandle(body, func(r *reportMessage) (any, error) { return n.report(r.Report) })
	case MethodLeave:
		return decodeAndHandle(body, func(r *LeaveRequest) (any, error) { return nil, n.leave(r.Executor) })
	case MethodConfigure:
		return decodeAndHandle(body, func(r *workload.Config) (any, error) { return nil, n.configure(r) })
	case MethodEvacuate:
		return decodeAndHandle(body, func(e *workload.Evacuation) (any, error) { return nil, n.evacuate(*e) })
	case MethodConfig:
		return n.config()
	case MethodJoin:
		return decodeAndHandle(body, func(r *JoinRequest) (any, error) { return n.join(r) })
	case MethodHandOver:
		return decodeAndHandle(body, func(r *HandOverRequest) (any, error) { return n.handOver(r) })
	}
	return nil, structs.RefuseNotRun(structs.CodeInvalid, "unknown method "+method)
}

// decodeAndHandle decodes the body of a call and runs its handler.
func decodeAndHandle[T any](body []byte, f func(*T) (any, error)) (any, error) {
	var value T
	if err := codec.Unmarshal(body, &value); err != nil {
		return nil, structs.RefuseNotRun(structs.CodeInvalid, err.Error())
	}
	return f(&value)
}

func (n *Node) hello() *Hello {
	h := &Hello{Leader: n.leader()}
	for _, member := range n.group.Status().Membership.Members() {
		h.Hosts = append(h.Hosts, reconfig.HostOf(member))
	}
	return h
}

// runAsLeader runs f on the goroutine of the replication group if this host is
// the leader, holds the lease and has a current state. Otherwise it returns a
// refusal.
func (n *Node) runAsLeader(f func(now time.Duration)) error {
	isLeader := false
	n.group.RunOnLoop(func(now time.Duration) {
		if n.leads() {
			f(now)
			isLeader = true
		}
	})
	if !isLeader {
		return notLeader(n.leader())
	}
	return nil
}

// readAsLeader is runAsLeader for a function that only reads the state. If the
// function panics, only this call fails; nothing was proposed yet.
func (n *Node) readAsLeader(f func()) error {
	isLeader := false
	_, err := n.group.ReadOnLoop(func(time.Duration) {
		if isLeader = n.leads(); isLeader {
			f()
		}
	})
	if err != nil {
		panics.Log(n.log, n.cfg.Observer, err)
		return structs.RefuseNotRun(structs.CodeInternal, "this host failed to handle the call")
	}
	if !isLeader {
		return notLeader(n.leader())
	}
	return nil
}

// leads reports whether this host is the leader, holds the lease and has a current
// state. It runs on the goroutine of the replication group.
func (n *Node) leads() bool { return n.owner.controller != nil && n.group.HoldsLeaseOnLoop() }

// maxDecisions bounds the decisions on one customer request. A job is stored or removed at
// most a few times within the time of a request.
const maxDecisions = 4

// customer serves a customer request. A command is committed before the reply. If another
// command was stored between the decision and its command, so that the latter changed
// nothing, the request is decided again.
func (n *Node) customer(r *admission.Request, remaining time.Duration) (*admission.Reply, error) {
	deadline := clock.Boot() + min(remaining, proposalTimeout)
	for range maxDecisions {
		reply, command, err := n.decide(r)
		if err != nil || command == nil {
			return reply, err
		}
		result, err := n.propose(command, deadline-clock.Boot())
		if err != nil {
			n.log.Info("request not stored", "operation", r.Operation.String(), "path", r.Path, "error", err.Error())
			return nil, err
		}
		n.log.Info("request stored", "operation", r.Operation.String(), "path", r.Path, "result", result.String())
		switch result {
		case workload.ResultApplied:
			return reply, nil
		case workload.ResultInvalid:
			return nil, structs.RefuseNotRun(structs.CodeInvalid, "the log refused the command")
		}
	}
	return nil, structs.RefuseUnknown(structs.CodeOutcomeUnknown, "other requests for the job were stored meanwhile")
}

// decide answers a customer request. The reply holds once the command, if there is one, is
// committed.
func (n *Node) decide(r *admission.Request) (reply *admission.Reply, command *workload.Command, err error) {
	leaderErr := n.readAsLeader(func() {
		reply, command, err = n.cfg.Admission.Decide(n.state, r, clock.Unix())
		if command != nil && command.Submit != nil {
			if refusal := n.admit(command.Submit); refusal != nil {
				reply, command, err = nil, nil, refusal
				return
			}
			n.logProposedJob(command.Submit)
		}
	})
	if leaderErr != nil {
		return nil, nil, leaderErr
	}
	return reply, command, err
}

// logProposedJob logs a job or a tombstone that is about to be proposed.
func (n *Node) logProposedJob(j *workload.Job) {
	if j.Tombstone {
		n.log.Info("cancel of an unknown job proposed", "job", j.ID, "customer", j.Customer, "config_version", n.state.Config().Version)
		return
	}
	first := &j.Spec.Steps[0]
	n.log.Info("job proposed", "job", j.ID, "customer", j.Customer, "priority", j.Priority, "steps", len(j.Spec.Steps), "tasks", first.Count,
		"cpu", first.Demand.CPU, "gpu", first.Demand.GPU, "traits", first.Traits(), "repeats", j.Spec.Repeats,
		"estimate_ms", first.Estimate.Milliseconds(), "config_version", n.state.Config().Version)
}

// propose appends a command to the replicated log and waits for its result.
func (n *Node) propose(c *workload.Command, timeout time.Duration) (workload.Result, error) {
	data, err := c.Encode()
	if err != nil {
		return 0, structs.RefuseNotRun(structs.CodeInvalid, err.Error())
	}
	if len(data) > maxEncodedBytes {
		return 0, tooLarge(len(data))
	}
	result, err := n.group.Propose(data, timeout)
	if err != nil {
		return 0, err
	}
	return workload.DecodeResult(result), nil
}

func (n *Node) report(r fleet.Report) (*ReportReply, error) {
	// The host that forwarded the report may run a version that did not check it.
	if err := r.Validate(); err != nil {
		return nil, structs.RefuseNotRun(structs.CodeInvalid, err.Error())
	}
	if size := entryBytes(&r); size > maxEncodedBytes {
		return nil, tooLarge(size)
	}
	current := true
	executors := 0
	var entry *workload.Executor
	err := n.runAsLeader(func(now time.Duration) {
		// A report for a service that is not in use names no executor to use, unless the
		// executor was in use before the service was dropped.
		if n.state.UsesService(r.Service) || n.owner.controller.IsMember(&r) {
			current, entry = n.owner.controller.Report(now, r)
			executors = n.owner.controller.ExecutorCount()
		}
	})
	if err != nil {
		return nil, err
	}
	if entry != nil {
		// The entry is committed before the report is acknowledged: a drain that
		// was acknowledged must hold under the next leader too.
		if _, err := n.propose(&workload.Command{At: clock.Unix(), Register: entry}, forwardTimeout); err != nil {
			n.log.Info("executor not stored in the directory", "executor", r.Executor.ID, "draining", r.Draining, "error", err.Error())
			return nil, err
		}
	}
	if !current {
		n.log.Info("ignored a report of an earlier incarnation of the executor", "executor", r.Executor.ID, "born", r.Executor.Incarnation, "address", r.Address)
	}
	return &ReportReply{Address: n.reportAddressOf(r.Executor.ID, executors)}, nil
}

func (n *Node) configure(c *workload.Config) error {
	if err := c.Validate(); err != nil {
		n.log.Info("configuration refused", "version", c.Version, "reason", err.Error())
		return structs.RefuseNotRun(structs.CodeRulesInvalid, err.Error())
	}
	currentVersion := int64(0)
	configured := false
	if err := n.readAsLeader(func() {
		configured, currentVersion = n.state.Configured(), n.state.Config().Version
	}); err != nil {
		return err
	}
	if configured && c.Version <= currentVersion {
		n.log.Info("configuration is not newer", "version", c.Version, "present", currentVersion)
		return nil
	}
	_, err := n.propose(&workload.Command{At: clock.Unix(), Configure: c}, proposalTimeout)
	if err == nil {
		n.log.Info("configuration stored", "version", c.Version, "before", currentVersion)
	}
	return err
}

// configReply carries the configuration document as the operator sent it.
type configReply struct {
	Document []byte `msgpack:"d"`
}

func (n *Node) config() (*configReply, error) {
	var reply configReply
	configured := false
	err := n.readAsLeader(func() {
		configured = n.state.Configured()
		reply.Document = n.state.Config().Document
	})
	if err != nil {
		return nil, err
	}
	if !configured {
		return nil, structs.RefuseNotRun(structs.CodeNoConfig, "no configuration yet")
	}
	return &reply, nil
}

// forwardToLeader runs local if this host is the leader, and forwards the call to
// the leader otherwise.
func forwardToLeader[Reply any](n *Node, method string, request any, local func() (*Reply, error)) (*Reply, error) {
	reply, err := local()
	var refused *structs.Refusal
	if err == nil || !errors.As(err, &refused) || refused.Code != structs.CodeNotLeader {
		return reply, err
	}
	leader := n.leader()
	if leader == "" || leader == n.cfg.Host {
		return nil, err
	}
	body, err := msgpack.Marshal(request)
	if err != nil {
		return nil, structs.RefuseNotRun(structs.CodeInvalid, err.Error())
	}
	n.addPeer(leader)
	data, err := n.transport.Call(leader, method, body, forwardTimeout)
	if err != nil {
		return nil, err
	}
	var remote Reply
	if len(data) == 0 {
		return &remote, nil
	}
	if err := codec.Unmarshal(data, &remote); err != nil {
		return nil, structs.RefuseUnknown(structs.CodeInvalid, err.Error())
	}
	return &remote, nil
}

// emptyReply is the reply of methods that return no data.
type emptyReply struct{}

// Report passes a report of an executor to the leader and returns the address for
// later reports. An error means that the leader has not acknowledged the report.
func (n *Node) Report(r fleet.Report) (string, error) {
	reply, err := forwardToLeader(n, MethodReport, &reportMessage{Report: r}, func() (*ReportReply, error) { return n.report(r) })
	if err != nil {
		return "", err
	}
	return reply.Address, nil
}

// Leave tells the leader that an executor is shutting down.
func (n *Node) Leave(e workload.ExecutorKey) error {
	_, err := forwardToLeader(n, MethodLeave, &LeaveRequest{Executor: e}, func() (*emptyReply, error) { return &emptyReply{}, n.leave(e) })
	return err
}

// Configure stores a configuration. An invalid configuration is refused; one that
// is not newer than the stored one is ignored.
func (n *Node) Configure(c *workload.Config) error {
	_, err := forwardToLeader(n, MethodConfigure, c, func() (*emptyReply, error) { return &emptyReply{}, n.configure(c) })
	return err
}

// Document returns the stored configuration document as the operator sent it.
func (n *Node) Document() ([]byte, error) {
	reply, err := forwardToLeader(n, MethodConfig, &emptyReply{}, n.config)
	if err != nil {
		return nil, err
	}
	return reply.Document, nil
}
