package group

import (
	"errors"

	"cranberrydrum.dev/coord/raft"
	"cranberrydrum.dev/scheduler/structs"
)

// isRefusal reports whether an error is a refusal of a proposal by the replica,
// as opposed to a failure of the replica.
func isRefusal(err error) bool { return err != nil && refusalCode(err) != "" }

// newRefusal converts a refusal by the replica into the error returned to the
// proposer. Nothing was appended to the log, so the command was not run.
func newRefusal(err error) error {
	code := refusalCode(err)
	if code == "" {
		code = structs.CodeQuorumUnavailable
	}
	return structs.RefuseNotRun(code, err.Error())
}

// refusalCode returns the code for a refusal by the replica, or an empty code
// for any other error.
func refusalCode(err error) structs.Code {
	var notLeader *raft.NotLeaderError
	var notReady *raft.NotReadyError
	var overloaded *raft.OverloadedError
	var transfer *raft.TransferInProgressError
	var tooLarge *raft.TooLargeError
	var change *raft.ChangeRefusedError
	var inProgress *raft.ChangeInProgressError
	switch {
	case errors.As(err, &notLeader), errors.As(err, &transfer):
		return structs.CodeNotLeader
	case errors.As(err, &notReady), errors.As(err, &overloaded):
		return structs.CodeQuorumUnavailable
	case errors.As(err, &tooLarge):
		return structs.CodeTooLarge
	case errors.As(err, &change), errors.As(err, &inProgress):
		return structs.CodeMembershipChange
	}
	return ""
}
