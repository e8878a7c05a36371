package control

import (
	"errors"
	"strings"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"cranberrydrum.dev/coord/codec"
	"cranberrydrum.dev/coord/raft"
	"cranberrydrum.dev/daemon/clock"
	"cranberrydrum.dev/daemon/transport"
	"cranberrydrum.dev/scheduler/fleet"
	"cranberrydrum.dev/scheduler/structs"
	"cranberrydrum.dev/scheduler/workload"
)

// relayTimeout is how long a report passed on to the leader may take; its
// sender waits for a second.
const relayTimeout = 800 * time.Millisecond

func (n *Node) sendRaft(m raft.Message) {
	body, err := msgpack.Marshal(&m)
	if err != nil {
		n.log.Error(err, "a message of the log cannot be encoded")
		return
	}
	host := hostOf(m.To)
	n.know(host)
	// A message that is not sent is sent again by the protocol of the log.
	_ = n.transport.Send(host, transport.KindRaft, body)
}

// HandleMessage implements transport.Handler.
func (n *Node) HandleMessage(_ string, kind transport.Kind, body []byte) {
	if kind != transport.KindRaft {
		return
	}
	var m raft.Message
	if err := codec.Unmarshal(body, &m); err != nil {
		n.log.V(1).Info("dropped a message that cannot be decoded", "error", err.Error())
		return
	}
	if m.To == n.member {
		n.group.Deliver(m)
	}
}

// HandleCall implements transport.Handler.
func (n *Node) HandleCall(_, method string, body []byte, remaining time.Duration) ([]byte, error) {
	reply, err := n.answer(method, body, remaining)
	var refused *structs.Refusal
	if errors.As(err, &refused) {
		n.cfg.Observer.Refused(method, string(refused.Code))
	}
	if err != nil || reply == nil {
		return nil, err
	}
	return msgpack.Marshal(reply)
}

func (n *Node) answer(method string, body []byte, remaining time.Duration) (any, error) {
	switch method {
	case MethodHello:
		return n.hello(), nil
	case MethodCustomer:
		return decoded(body, func(r *CustomerRequest) (any, error) { return n.customer(r, remaining) })
	case MethodReport:
		return decoded(body, func(r *reportMessage) (any, error) { return n.report(r.Report) })
	case MethodLeave:
		return decoded(body, func(r *LeaveRequest) (any, error) { return nil, n.leave(r.Executor) })
	case MethodConfigure:
		return decoded(body, func(r *workload.Config) (any, error) { return nil, n.configure(r) })
	case MethodConfig:
		return n.config()
	case MethodJoin:
		return decoded(body, func(r *JoinRequest) (any, error) { return n.join(r) })
	}
	return nil, structs.NotRun(structs.CodeInvalid, "unknown method "+method)
}

func decoded[T any](body []byte, f func(*T) (any, error)) (any, error) {
	var value T
	if err := codec.Unmarshal(body, &value); err != nil {
		return nil, structs.NotRun(structs.CodeInvalid, err.Error())
	}
	return f(&value)
}

func (n *Node) hello() *Hello {
	h := &Hello{Leader: n.leader()}
	for _, member := range n.group.Status().Membership.Members() {
		h.Hosts = append(h.Hosts, hostOf(member))
	}
	return h
}

// lead runs f on the goroutine of the log if this host leads with a current
// state, and refuses otherwise.
func (n *Node) lead(f func(now time.Duration)) error {
	leads := false
	n.group.Do(func(now time.Duration) {
		if n.owner.controller != nil && n.group.HoldsLeaseInStep() {
			leads = true
			f(now)
		}
	})
	if !leads {
		return notLeader(n.leader())
	}
	return nil
}

func (n *Node) customer(r *CustomerRequest, remaining time.Duration) (*CustomerReply, error) {
	var reply *CustomerReply
	var command *workload.Command
	var refused error
	err := n.lead(func(time.Duration) { reply, command, refused = n.decide(r) })
	if err == nil {
		err = refused
	}
	if err != nil || command == nil {
		return reply, err
	}
	result, err := n.propose(command, min(remaining, proposalTimeout))
	if err != nil {
		n.log.Info("request not stored", "operation", r.Operation.String(), "path", r.Path, "error", err.Error())
		return nil, err
	}
	n.log.Info("request stored", "operation", r.Operation.String(), "path", r.Path, "known", result == workload.ResultKnown)
	return &CustomerReply{Unknown: result == workload.ResultUnknownJob}, nil
}

// decide answers a request from the state, or returns the command that has to
// be stored first. It runs on the goroutine of the log.
func (n *Node) decide(r *CustomerRequest) (*CustomerReply, *workload.Command, error) {
	if !n.state.Configured() {
		return nil, nil, structs.NotRun(structs.CodeNoConfig, "no configuration yet")
	}
	queue := n.state.Match(r.Host, r.Path)
	if queue == nil {
		return nil, nil, structs.NotRun(structs.CodeNotFound, "no queue at this place")
	}
	customer, known := n.state.CustomerOf(r.Key)
	if !known && !queue.Public {
		return nil, nil, structs.NotRun(structs.CodeUnauthorized, "unknown key")
	}
	id := strings.TrimPrefix(r.Path, queue.Prefix)
	if id == "" && r.Operation == OpRead {
		return &CustomerReply{IsQueue: true, Pending: n.state.Pending(queue.Name)}, nil, nil
	}
	if !validID(id) {
		return nil, nil, structs.NotRun(structs.CodeInvalid, "not the identifier of a job")
	}
	if r.Operation == OpSubmit {
		return n.submission(r, queue, customer, id)
	}
	j := n.state.Job(id)
	if j == nil || j.Queue != queue.Name {
		return &CustomerReply{Unknown: true}, nil, nil
	}
	if r.Operation == OpCancel && !j.Phase.Ended() {
		return nil, &workload.Command{At: clock.Unix(), Cancel: id}, nil
	}
	return &CustomerReply{Phase: j.Phase}, nil, nil
}

func (n *Node) submission(r *CustomerRequest, queue *workload.Queue, customer, id string) (*CustomerReply, *workload.Command, error) {
	if j := n.state.Job(id); j != nil {
		return &CustomerReply{Phase: j.Phase}, nil, nil
	}
	if r.Spec == nil {
		return nil, nil, structs.NotRun(structs.CodeInvalid, "no job")
	}
	if err := r.Spec.Validate(); err != nil {
		return nil, nil, structs.NotRun(structs.CodeInvalid, err.Error())
	}
	if queue.Advice != nil && !n.cfg.Advised {
		return nil, nil, structs.NotRun(structs.CodeNeverRunnable, "the queue needs advice, and no advice service is set")
	}
	j := &workload.Job{
		ID: id, Queue: queue.Name, Service: queue.Service, Customer: customer, Priority: queue.Priority,
		MaxAttempts: queue.MaxAttempts, Stretch: queue.Stretch, Target: queue.Target, Spec: *r.Spec,
	}
	first := &j.Spec.Steps[0]
	n.log.Info("job proposed", "job", id, "customer", customer, "priority", queue.Priority, "steps", len(j.Spec.Steps), "tasks", first.Count,
		"cpu", first.Need.CPU, "gpu", first.Need.GPU, "traits", first.Traits(), "repeats", j.Spec.Repeats,
		"estimate_ms", first.Estimate.Milliseconds(), "config_version", n.state.Config().Version)
	return nil, &workload.Command{At: clock.Unix(), Submit: j}, nil
}

// idBytes is the length of the identifier of a job.
const idBytes = 16

func validID(id string) bool {
	if len(id) != idBytes {
		return false
	}
	return strings.Trim(id, "0123456789abcdefABCDEF") == ""
}

func (n *Node) propose(c *workload.Command, timeout time.Duration) (workload.Result, error) {
	data, err := c.Encode()
	if err != nil {
		return 0, structs.NotRun(structs.CodeInvalid, err.Error())
	}
	result, err := n.group.Propose(data, timeout)
	if err != nil {
		return 0, err
	}
	return workload.DecodeResult(result), nil
}

func (n *Node) report(r fleet.Report) (*ReportReply, error) {
	present := true
	var enroll *workload.Executor
	err := n.lead(func(now time.Duration) {
		// A report of a service that nobody configured names no executor.
		if n.state.Service(r.Service) != nil {
			present, enroll = n.owner.controller.Report(now, r)
		}
	})
	if err != nil {
		return nil, err
	}
	if enroll != nil {
		// The next leader must know of a farewell that was acknowledged.
		if _, err := n.propose(&workload.Command{At: clock.Unix(), Enroll: enroll}, relayTimeout); err != nil {
			n.log.Info("executor not enrolled", "executor", r.Executor.ID, "draining", r.Draining, "error", err.Error())
			return nil, err
		}
	}
	if !present {
		n.log.Info("report of an earlier life ignored", "executor", r.Executor.ID, "born", r.Executor.Born, "address", r.Address)
	}
	return &ReportReply{Address: n.cfg.ReportAddress}, nil
}

func (n *Node) leave(e workload.ExecutorKey) error {
	return n.lead(func(now time.Duration) { n.owner.controller.Leave(now, e.ID, e.Born) })
}

func (n *Node) configure(c *workload.Config) error {
	if err := c.Validate(); err != nil {
		n.log.Info("configuration refused", "version", c.Version, "reason", err.Error())
		return structs.NotRun(structs.CodeRulesInvalid, err.Error())
	}
	present := int64(0)
	configured := false
	if err := n.lead(func(time.Duration) {
		configured, present = n.state.Configured(), n.state.Config().Version
	}); err != nil {
		return err
	}
	if configured && c.Version <= present {
		n.log.Info("configuration is not newer", "version", c.Version, "present", present)
		return nil
	}
	_, err := n.propose(&workload.Command{At: clock.Unix(), Configure: c}, proposalTimeout)
	if err == nil {
		n.log.Info("configuration stored", "version", c.Version, "before", present)
	}
	return err
}

// configReply carries the configuration as the operator sent it.
type configReply struct {
	Document []byte `msgpack:"d"`
}

func (n *Node) config() (*configReply, error) {
	var reply configReply
	configured := false
	err := n.lead(func(time.Duration) {
		configured = n.state.Configured()
		reply.Document = n.state.Config().Document
	})
	if err != nil {
		return nil, err
	}
	if !configured {
		return nil, structs.NotRun(structs.CodeNoConfig, "no configuration yet")
	}
	return &reply, nil
}

// relay answers a method here if this host leads, and asks the leader if not.
func relay[Reply any](n *Node, method string, request any, local func() (*Reply, error)) (*Reply, error) {
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
		return nil, structs.NotRun(structs.CodeInvalid, err.Error())
	}
	n.know(leader)
	data, err := n.transport.Call(leader, method, body, relayTimeout)
	if err != nil {
		return nil, err
	}
	var remote Reply
	if len(data) == 0 {
		return &remote, nil
	}
	if err := codec.Unmarshal(data, &remote); err != nil {
		return nil, structs.Unknown(structs.CodeInvalid, err.Error())
	}
	return &remote, nil
}

// nothing is the reply of methods that only succeed or fail.
type nothing struct{}

// Report passes a report of an executor to the leader and returns the address
// for later ones. The error says that the leader has not taken note of it.
func (n *Node) Report(r fleet.Report) (string, error) {
	reply, err := relay(n, MethodReport, &reportMessage{Report: r}, func() (*ReportReply, error) { return n.report(r) })
	if err != nil {
		return "", err
	}
	return reply.Address, nil
}

// Leave passes the farewell of an executor to the leader.
func (n *Node) Leave(e workload.ExecutorKey) error {
	_, err := relay(n, MethodLeave, &LeaveRequest{Executor: e}, func() (*nothing, error) { return &nothing{}, n.leave(e) })
	return err
}

// Configure stores a configuration unless it is invalid or not newer.
func (n *Node) Configure(c *workload.Config) error {
	_, err := relay(n, MethodConfigure, c, func() (*nothing, error) { return &nothing{}, n.configure(c) })
	return err
}

// Document returns the newest configuration as the operator sent it.
func (n *Node) Document() ([]byte, error) {
	reply, err := relay(n, MethodConfig, &nothing{}, n.config)
	if err != nil {
		return nil, err
	}
	return reply.Document, nil
}
