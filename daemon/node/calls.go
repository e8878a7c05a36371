package node

import (
	"errors"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"cranberrydrum.dev/coord/codec"
	"cranberrydrum.dev/daemon/transport"
	"cranberrydrum.dev/scheduler/structs"
)

// RPC methods between hosts.
const (
	methodConfigGet      = "config.get"
	methodConfigLatest   = "config.latest"
	methodConfigApply    = "config.apply"
	methodConfigHistory  = "config.history"
	methodRequest        = "request.run"
	methodKeyedRequest   = "request.run_keyed"
	methodBegunRequest   = "request.run_begun"
	methodKeyFinish      = "key.finish"
	methodJobSubmit      = "job.submit"
	methodJobCancel      = "job.cancel"
	methodJobShow        = "job.show"
	methodJobList        = "job.list"
	methodWorkerRenew    = "worker.renew"
	methodWorkerLeave    = "worker.leave"
	methodDomainStatus   = "domain.status"
	methodDomainEvacuate = "domain.evacuate"
	methodMembers        = "members.list"
	methodMemberChange   = "members.change"
)

// hasBulkReply reports whether the replies of a method carry responses of
// executors, which may be large.
func hasBulkReply(method string) bool {
	switch method {
	case methodRequest, methodKeyedRequest, methodBegunRequest:
		return true
	}
	return false
}

// callHandler handles the calls of one method.
type callHandler func(from string, body []byte, remaining time.Duration) (any, error)

// HandleCall implements transport.Handler.
func (n *Node) HandleCall(from, method string, body []byte, remaining time.Duration) ([]byte, error) {
	handler := n.handlers[method]
	if handler == nil {
		return nil, structs.RefuseNotRun(structs.CodeInvalid, "unknown method "+method)
	}
	value, err := handler(from, body, remaining)
	if err != nil {
		return nil, err
	}
	return encodeMessage(value)
}

// typedHandler adapts a handler of a decoded message to a callHandler.
func typedHandler[Q any](handle func(from string, request *Q, remaining time.Duration) (any, error)) callHandler {
	return func(from string, body []byte, remaining time.Duration) (any, error) {
		var request Q
		if err := decodeMessage("call", body, &request); err != nil {
			return nil, structs.RefuseNotRun(structs.CodeInvalid, err.Error())
		}
		return handle(from, &request, remaining)
	}
}

// call runs a method on a host. If that is this host, no message is sent.
func call[R any](n *Node, to, method string, request any, timeout time.Duration) (*R, error) {
	body, err := encodeMessage(request)
	if err != nil {
		return nil, err
	}
	var reply []byte
	if to == n.cfg.HostID {
		reply, err = n.HandleCall(to, method, body, timeout)
	} else {
		reply, err = n.transport.Call(to, method, body, timeout)
	}
	if err != nil {
		return nil, err
	}
	var result R
	if err := decodeMessage("reply", reply, &result); err != nil {
		return nil, err
	}
	return &result, nil
}

const (
	// leaderWaitTimeout bounds the retries of callLeader after the first
	// failure. It covers an election of two timeouts of 1 s each.
	leaderWaitTimeout   = 2500 * time.Millisecond
	leaderRetryInterval = 50 * time.Millisecond
)

// callLeader runs a method on the leader of a log. It retries calls that have
// certainly not run, for as long as an election may take. If resend is set, it
// also retries after a lost reply, because the log detects duplicates of the
// method; after such a retry, a refusal does not prove that nothing has run.
func callLeader[R any](n *Node, group, method string, request any, timeout time.Duration, resend bool) (*R, error) {
	start := n.now()
	retryDeadline := time.Duration(0)
	var outcomeUnknown error
	for {
		called := n.now()
		remaining := timeout - (called - start)
		result, err := callCurrentLeader[R](n, group, method, request, remaining)
		if err == nil {
			return result, nil
		}
		kind := failureKindOf(err)
		if kind == failureUnknown {
			outcomeUnknown = err
		}
		retryable := kind == failureRetryable || (kind == failureUnknown && resend)
		retryDeadline = nextRetryDeadline(retryDeadline, called, n.now(), start+timeout)
		if !retryable || n.now()+leaderRetryInterval >= retryDeadline {
			return nil, finalError(err, outcomeUnknown)
		}
		if !n.wait(leaderRetryInterval) {
			return nil, finalError(err, outcomeUnknown)
		}
	}
}

// nextRetryDeadline returns the time until which a call to a leader is retried after
// a failure. It counts from the last time that a leader worked on the call, because
// a call may wait long in the queue of a leader that then loses its leadership, and
// that may happen several times.
func nextRetryDeadline(previous, called, failed, end time.Duration) time.Duration {
	if previous == 0 || failed-called > leaderRetryInterval {
		return min(end, failed+leaderWaitTimeout)
	}
	return previous
}

func callCurrentLeader[R any](n *Node, group, method string, request any, timeout time.Duration) (*R, error) {
	leader := n.leaderOf(group)
	if leader == "" {
		return nil, structs.RefuseNotRun(structs.CodeOwnerUnreachable, "no leader of "+group+" is known")
	}
	if timeout <= 0 {
		return nil, structs.RefuseNotRun(structs.CodeDeadlineExpired, "no time is left")
	}
	return call[R](n, leader, method, request, timeout)
}

// failureKind classifies the error of a call by the retries that it allows.
type failureKind int

const (
	// failureFinal is a refusal by the leader; no retry.
	failureFinal failureKind = iota
	// failureRetryable means that nothing has run and another host may be the
	// leader.
	failureRetryable
	// failureUnknown means that the call may have run; only a duplicate-safe
	// method is retried.
	failureUnknown
)

func failureKindOf(err error) failureKind {
	var notSent *transport.NotSentError
	if errors.As(err, &notSent) {
		return failureRetryable
	}
	var refusal *structs.Refusal
	if !errors.As(err, &refusal) {
		return failureUnknown
	}
	if refusal.Code == structs.CodeInternal {
		// The leader would fail again.
		return failureFinal
	}
	if refusal.Outcome == structs.OutcomeUnknown {
		return failureUnknown
	}
	switch refusal.Code {
	case structs.CodeNotLeader, structs.CodeOwnerUnreachable:
		return failureRetryable
	}
	return failureFinal
}

// finalError returns the refusal for the caller. After a try with an unknown
// outcome, a "not run" refusal holds for the last try only, so the outcome of
// the call is unknown.
func finalError(err, outcomeUnknown error) error {
	var refusal *structs.Refusal
	if errors.As(err, &refusal) {
		if outcomeUnknown != nil && refusal.Outcome == structs.OutcomeNotRun {
			return structs.RefuseUnknown(structs.CodeOutcomeUnknown, "an earlier try may have run; the last one was refused: "+refusal.Message)
		}
		return refusal
	}
	var notSent *transport.NotSentError
	if errors.As(err, &notSent) && outcomeUnknown == nil {
		return structs.RefuseNotRun(structs.CodeOwnerUnreachable, err.Error())
	}
	return structs.RefuseUnknown(structs.CodeOutcomeUnknown, err.Error())
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
