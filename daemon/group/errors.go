package group

import (
	"errors"

	"cranberrydrum.dev/coord/raft"
	"cranberrydrum.dev/scheduler/structs"
)

// isRefusal reports whether a replica refused a proposal, as opposed to having failed.
func isRefusal(err error) bool { return err != nil && refusalCode(err) != "" }

// refusalOf turns the refusal of a replica into the error of the proposer.
// Nothing was appended, so the command was not run.
func refusalOf(err error) error {
	code := refusalCode(err)
	if code == "" {
		code = structs.CodeQuorumUnavailable
	}
	return structs.NotRun(code, err.Error())
}

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
