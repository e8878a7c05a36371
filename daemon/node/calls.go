package node

import (
	"errors"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"cranberrydrum.dev/coord/codec"
	"cranberrydrum.dev/daemon/transport"
	"cranberrydrum.dev/scheduler/structs"
)

// Methods that hosts call on each other.
const (
	methodConfigGet     = "config.get"
	methodConfigLatest  = "config.latest"
	methodConfigApply   = "config.apply"
	methodConfigHistory = "config.history"
	methodRequest       = "request.run"
	methodKeyedRequest  = "request.run_keyed"
	methodBegunRequest  = "request.run_begun"
	methodKeyFinish     = "key.finish"
	methodJobSubmit     = "job.submit"
	methodJobCancel     = "job.cancel"
	methodJobShow       = "job.show"
	methodJobList       = "job.list"
	methodWorkerRenew   = "worker.renew"
	methodWorkerLeave   = "worker.leave"
	methodDomainStatus  = "domain.status"
	methodMembers       = "members.list"
	methodMemberChange  = "members.change"
)

// carriesRequest reports whether the replies of a method carry answers of
// backend servers, which may be large.
func carriesRequest(method string) bool {
	switch method {
	case methodRequest, methodKeyedRequest, methodBegunRequest:
		return true
	}
	return false
}

// callHandler answers one method.
type callHandler func(from string, body []byte, remaining time.Duration) (any, error)

// HandleCall implements transport.Handler.
func (n *Node) HandleCall(from, method string, body []byte, remaining time.Duration) ([]byte, error) {
	handler := n.handlers[method]
	if handler == nil {
		return nil, structs.NotRun(structs.CodeInvalid, "unknown method "+method)
	}
	value, err := handler(from, body, remaining)
	if err != nil {
		return nil, err
	}
	return encodeMessage(value)
}

// typed adapts a handler of a decoded message.
func typed[Q any](handle func(from string, request *Q, remaining time.Duration) (any, error)) callHandler {
	return func(from string, body []byte, remaining time.Duration) (any, error) {
		var request Q
		if err := decodeMessage("call", body, &request); err != nil {
			return nil, structs.NotRun(structs.CodeInvalid, err.Error())
		}
		return handle(from, &request, remaining)
	}
}

// call runs a method on another host, or here.
func call[R any](n *Node, to, method string, request any, timeout time.Duration) (*R, error) {
	body, err := encodeMessage(request)
	if err != nil {
		return nil, err
	}
	var answer []byte
	if to == n.cfg.HostID {
		answer, err = n.HandleCall(to, method, body, timeout)
	} else {
		answer, err = n.transport.Call(to, method, body, timeout)
	}
	if err != nil {
		return nil, err
	}
	var result R
	if err := decodeMessage("reply", answer, &result); err != nil {
		return nil, err
	}
	return &result, nil
}

const (
	// leaderPatience covers an election of two timeouts of 1 s each.
	leaderPatience = 2500 * time.Millisecond
	leaderRetry    = 50 * time.Millisecond
)

// callLeader runs a method on the leader of a log. While nothing has run it
// tries again, for as long as an election may take. If resend is set, the
// method may also be repeated after a lost reply, because the log recognises
// the repetition; a later refusal is then no proof that nothing has run.
func callLeader[R any](n *Node, group, method string, request any, timeout time.Duration, resend bool) (*R, error) {
	start := n.now()
	// A call may wait long in the queue of a leader that then hands over, so
	// that patience counts from the first failure.
	giveUp := time.Duration(0)
	var lost error
	for {
		left := timeout - (n.now() - start)
		result, err := callCurrentLeader[R](n, group, method, request, left)
		if err == nil {
			return result, nil
		}
		kind := kindOf(err)
		if kind == failureUnknown {
			lost = err
		}
		again := kind == failureNoLeader || (kind == failureUnknown && resend)
		if giveUp == 0 {
			giveUp = min(start+timeout, n.now()+leaderPatience)
		}
		if !again || n.now()+leaderRetry >= giveUp {
			return nil, finalError(err, lost)
		}
		if !n.wait(leaderRetry) {
			return nil, finalError(err, lost)
		}
	}
}

func callCurrentLeader[R any](n *Node, group, method string, request any, timeout time.Duration) (*R, error) {
	leader := n.leaderOf(group)
	if leader == "" {
		return nil, structs.NotRun(structs.CodeOwnerUnreachable, "no leader of "+group+" is known")
	}
	if timeout <= 0 {
		return nil, structs.NotRun(structs.CodeExpired, "no time is left")
	}
	return call[R](n, leader, method, request, timeout)
}

// failureKind sorts the errors of a call by what may be done next.
type failureKind int

const (
	// failureFinal is an answer of the leader.
	failureFinal failureKind = iota
	// failureNoLeader means that nothing has run and another host may answer.
	failureNoLeader
	// failureUnknown means that the call may have run.
	failureUnknown
)

func kindOf(err error) failureKind {
	var notSent *transport.NotSentError
	if errors.As(err, &notSent) {
		return failureNoLeader
	}
	var refusal *structs.Refusal
	if !errors.As(err, &refusal) {
		return failureUnknown
	}
	if refusal.Outcome == structs.OutcomeUnknown {
		return failureUnknown
	}
	switch refusal.Code {
	case structs.CodeNotLeader, structs.CodeOwnerUnreachable:
		return failureNoLeader
	}
	return failureFinal
}

// finalError is the refusal that the caller sees. After a lost reply, a refusal
// that claims "not run" speaks only of the last try.
func finalError(err, lost error) error {
	var refusal *structs.Refusal
	if errors.As(err, &refusal) {
		if lost != nil && refusal.Outcome == structs.OutcomeNotRun {
			return structs.Unknown(structs.CodeOutcomeUnknown, "an earlier try may have run; the last one was refused: "+refusal.Message)
		}
		return refusal
	}
	var notSent *transport.NotSentError
	if errors.As(err, &notSent) && lost == nil {
		return structs.NotRun(structs.CodeOwnerUnreachable, err.Error())
	}
	return structs.Unknown(structs.CodeOutcomeUnknown, err.Error())
}

func encodeMessage(value any) ([]byte, error) {
	data, err := msgpack.Marshal(value)
	if err != nil {
		return nil, &CodecError{What: "message", Cause: err}
	}
	return data, nil
}

func decodeMessage(what string, data []byte, value any) error {
	if err := codec.Unmarshal(data, value); err != nil {
		return &CodecError{What: what, Cause: err}
	}
	return nil
}
