package group

import (
	"errors"

	"cranberrydrum.dev/coord/raft"
	"cranberrydrum.dev/scheduler/structs"
)

// newRefusal converts a refusal by the replica into the error returned to the
// proposer. Nothing was appended to the log, so the command was not run.
func newRefusal(err error) error {
	return structs.RefuseNotRun(refusalCode(err), err.Error())
}

// isTooLarge reports whether the replica refused a command for its size, which concerns no
// other command.
func isTooLarge(err error) bool {
	var tooLarge *raft.TooLargeError
	return errors.As(err, &tooLarge)
}

// refusalCode returns the code for a refusal by the replica. Refusals without a
// code of their own concern only the members of the group.
func refusalCode(err error) structs.Code {
	var notLeader *raft.NotLeaderError
	var transfer *raft.TransferInProgressError
	var change *raft.ChangeRefusedError
	var inProgress *raft.ChangeInProgressError
	switch {
	case errors.As(err, &notLeader), errors.As(err, &transfer):
		return structs.CodeNotLeader
	case isTooLarge(err):
		return structs.CodeTooLarge
	case errors.As(err, &change), errors.As(err, &inProgress):
		return structs.CodeMembershipChange
	}
	return structs.CodeQuorumUnavailable
}
