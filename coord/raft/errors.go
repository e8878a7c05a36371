package raft

import (
	"errors"
	"strconv"
)

// Error is implemented by every error type of this package.
type Error interface {
	error
	// IsRefusal reports whether the node only refused one call or one message.
	// The node is then unchanged and continues. After any other error its state
	// cannot be trusted.
	IsRefusal() bool
}

// IsRefusal reports whether err is a refusal of one call or one message by a
// node. Errors of other packages are none.
func IsRefusal(err error) bool {
	var e Error
	return errors.As(err, &e) && e.IsRefusal()
}

// ConfigError reports an invalid field of Config.
type ConfigError struct{ Field string }

func (e *ConfigError) Error() string { return "raft: invalid configuration field " + e.Field }

// IsRefusal implements Error.
func (e *ConfigError) IsRefusal() bool { return false }

// CorruptStateError reports restored state that is inconsistent.
type CorruptStateError struct {
	Reason string
	Index  uint64
}

func (e *CorruptStateError) Error() string {
	return "raft: corrupt state at index " + formatUint(e.Index) + ": " + e.Reason
}

// IsRefusal implements Error.
func (e *CorruptStateError) IsRefusal() bool { return false }

// NotLeaderError reports that the node is not the leader. Leader is the ID of
// the known leader, or empty.
type NotLeaderError struct{ Leader string }

func (e *NotLeaderError) Error() string {
	if e.Leader == "" {
		return "raft: not the leader, and no leader is known"
	}
	return "raft: not the leader; the leader is " + e.Leader
}

// IsRefusal implements Error.
func (e *NotLeaderError) IsRefusal() bool { return true }

// TransferInProgressError reports that proposals are rejected while leadership
// is transferred to To.
type TransferInProgressError struct{ To string }

func (e *TransferInProgressError) Error() string {
	return "raft: leadership is being transferred to " + e.To
}

// IsRefusal implements Error.
func (e *TransferInProgressError) IsRefusal() bool { return true }

// TransferRefusedError reports a transfer target that is this node or not a
// voter.
type TransferRefusedError struct{ To string }

func (e *TransferRefusedError) Error() string {
	return "raft: cannot transfer leadership to " + e.To + ": the target must be a voter other than the leader"
}

// IsRefusal implements Error.
func (e *TransferRefusedError) IsRefusal() bool { return true }

// NoSuccessorError reports that no other voter both replied recently and has
// every committed entry.
type NoSuccessorError struct{}

func (e *NoSuccessorError) Error() string {
	return "raft: cannot transfer leadership: no other voter replied recently with every committed entry"
}

// IsRefusal implements Error.
func (e *NoSuccessorError) IsRefusal() bool { return true }

// NotReadyError reports that the leader has not committed an entry of its own
// term yet.
type NotReadyError struct{ Term uint64 }

func (e *NotReadyError) Error() string {
	return "raft: no entry of term " + formatUint(e.Term) + " is committed yet"
}

// IsRefusal implements Error.
func (e *NotReadyError) IsRefusal() bool { return true }

// ChangeInProgressError reports an uncommitted membership change.
type ChangeInProgressError struct{ Index uint64 }

func (e *ChangeInProgressError) Error() string {
	return "raft: the membership change at index " + formatUint(e.Index) + " is not committed yet"
}

// IsRefusal implements Error.
func (e *ChangeInProgressError) IsRefusal() bool { return true }

// ChangeRefusedError reports a membership change that is not allowed.
type ChangeRefusedError struct {
	Change MemberChange
	Reason ChangeReason
}

func (e *ChangeRefusedError) Error() string {
	return "raft: cannot " + e.Change.Op.String() + " " + e.Change.ID + ": " + string(e.Reason)
}

// IsRefusal implements Error.
func (e *ChangeRefusedError) IsRefusal() bool { return true }

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
	ReasonSilent           ChangeReason = "no reply within an election timeout"
	ReasonNoLiveQuorum     ChangeReason = "too few of the remaining voters replied within an election timeout"
)

// TooLargeError reports a command that exceeds Config.MaxBatchBytes.
type TooLargeError struct{ Size, Limit int }

func (e *TooLargeError) Error() string {
	return "raft: command of " + strconv.Itoa(e.Size) + " bytes exceeds the limit of " + strconv.Itoa(e.Limit)
}

// IsRefusal implements Error.
func (e *TooLargeError) IsRefusal() bool { return true }

// OverloadedError reports a proposal that would raise the uncommitted bytes
// above Config.MaxUncommittedBytes.
type OverloadedError struct{ Uncommitted, Limit int }

func (e *OverloadedError) Error() string {
	return "raft: " + strconv.Itoa(e.Uncommitted) + " uncommitted bytes reach the limit of " + strconv.Itoa(e.Limit)
}

// IsRefusal implements Error.
func (e *OverloadedError) IsRefusal() bool { return true }

// MalformedMessageError reports a message with fields that violate the protocol.
type MalformedMessageError struct {
	Kind   Kind
	From   string
	Reason string
}

func (e *MalformedMessageError) Error() string {
	return "raft: malformed " + e.Kind.String() + " message from " + e.From + ": " + e.Reason
}

// IsRefusal implements Error.
func (e *MalformedMessageError) IsRefusal() bool { return true }

// WrongGroupError reports a message that belongs to another group or is
// addressed to another host.
type WrongGroupError struct{ Group, To string }

func (e *WrongGroupError) Error() string {
	return "raft: message for host " + e.To + " in group " + e.Group + " was delivered to the wrong node"
}

// IsRefusal implements Error.
func (e *WrongGroupError) IsRefusal() bool { return true }

// RemovedMemberError reports a message from a removed member.
type RemovedMemberError struct{ ID string }

func (e *RemovedMemberError) Error() string { return "raft: message from removed member " + e.ID }

// IsRefusal implements Error.
func (e *RemovedMemberError) IsRefusal() bool { return true }

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

// IsRefusal implements Error.
func (e *ConflictError) IsRefusal() bool { return false }

func formatUint(v uint64) string { return strconv.FormatUint(v, 10) }
