package raft

import "strconv"

// ConfigError reports an invalid field of Config.
type ConfigError struct{ Field string }

func (e *ConfigError) Error() string { return "raft: invalid configuration field " + e.Field }

// CorruptStateError reports restored state that is inconsistent.
type CorruptStateError struct {
	Reason string
	Index  uint64
}

func (e *CorruptStateError) Error() string {
	return "raft: corrupt state at index " + formatUint(e.Index) + ": " + e.Reason
}

// NotLeaderError reports that the node is not the leader. Leader is the ID of
// the known leader, or empty.
type NotLeaderError struct{ Leader string }

func (e *NotLeaderError) Error() string {
	if e.Leader == "" {
		return "raft: not the leader, and no leader is known"
	}
	return "raft: not the leader; the leader is " + e.Leader
}

// TransferInProgressError reports that proposals are rejected while leadership
// is transferred to To.
type TransferInProgressError struct{ To string }

func (e *TransferInProgressError) Error() string {
	return "raft: leadership is being transferred to " + e.To
}

// TransferRefusedError reports a transfer target that is this node or not a
// voter.
type TransferRefusedError struct{ To string }

func (e *TransferRefusedError) Error() string {
	return "raft: cannot transfer leadership to " + e.To + ": the target must be a voter other than the leader"
}

// NoSuccessorError reports that no other voter both replied recently and has
// every committed entry.
type NoSuccessorError struct{}

func (e *NoSuccessorError) Error() string {
	return "raft: cannot transfer leadership: no other voter replied recently with every committed entry"
}

// NotReadyError reports that the leader has not committed an entry of its own
// term yet.
type NotReadyError struct{ Term uint64 }

func (e *NotReadyError) Error() string {
	return "raft: no entry of term " + formatUint(e.Term) + " is committed yet"
}

// ChangeInProgressError reports an uncommitted membership change.
type ChangeInProgressError struct{ Index uint64 }

func (e *ChangeInProgressError) Error() string {
	return "raft: the membership change at index " + formatUint(e.Index) + " is not committed yet"
}

// ChangeRefusedError reports a membership change that is not allowed.
type ChangeRefusedError struct {
	Change MemberChange
	Reason ChangeReason
}

func (e *ChangeRefusedError) Error() string {
	return "raft: cannot " + e.Change.Op.String() + " " + e.Change.ID + ": " + string(e.Reason)
}

// ChangeReason is the reason why a membership change is not allowed.
type ChangeReason string

// Reasons of ChangeRefusedError.
const (
	ReasonUnknownOperation ChangeReason = "unknown operation"
	ReasonEmptyID          ChangeReason = "empty identifier"
	ReasonIDTooLong        ChangeReason = "identifier too long"
	ReasonRemoved          ChangeReason = "the identifier was removed and is never reused"
	ReasonMember           ChangeReason = "already a member"
	ReasonNotLearner       ChangeReason = "not a learner"
	ReasonNotMember        ChangeReason = "not a member"
	ReasonNotCaughtUp      ChangeReason = "not caught up with the commit index"
	ReasonLastVoter        ChangeReason = "the last voter"
)

// TooLargeError reports a command that exceeds Config.MaxBatchBytes.
type TooLargeError struct{ Size, Limit int }

func (e *TooLargeError) Error() string {
	return "raft: command of " + strconv.Itoa(e.Size) + " bytes exceeds the limit of " + strconv.Itoa(e.Limit)
}

// OverloadedError reports a proposal that would raise the uncommitted bytes
// above Config.MaxUncommittedBytes.
type OverloadedError struct{ Uncommitted, Limit int }

func (e *OverloadedError) Error() string {
	return "raft: " + strconv.Itoa(e.Uncommitted) + " uncommitted bytes reach the limit of " + strconv.Itoa(e.Limit)
}

// MalformedMessageError reports a message with fields that violate the protocol.
type MalformedMessageError struct {
	Kind   Kind
	From   string
	Reason string
}

func (e *MalformedMessageError) Error() string {
	return "raft: malformed " + e.Kind.String() + " message from " + e.From + ": " + e.Reason
}

// WrongGroupError reports a message that belongs to another group or is
// addressed to another host.
type WrongGroupError struct{ Group, To string }

func (e *WrongGroupError) Error() string {
	return "raft: message for host " + e.To + " in group " + e.Group + " was delivered to the wrong node"
}

// RemovedMemberError reports a message from a removed member.
type RemovedMemberError struct{ ID string }

func (e *RemovedMemberError) Error() string { return "raft: message from removed member " + e.ID }

// ConflictError reports a message that contradicts the state of this node, for
// example one from a second leader in a term. It indicates that a host lost or
// altered its durable state.
type ConflictError struct {
	From   string
	Term   uint64
	Index  uint64
	Reason string
}

func (e *ConflictError) Error() string {
	return "raft: message from " + e.From + " in term " + formatUint(e.Term) +
		" conflicts at index " + formatUint(e.Index) + ": " + e.Reason
}

func formatUint(v uint64) string { return strconv.FormatUint(v, 10) }
