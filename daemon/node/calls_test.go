package node

import (
	"errors"
	"testing"

	. "github.com/onsi/gomega"

	"cranberrydrum.dev/daemon/transport"
	"cranberrydrum.dev/scheduler/serving"
	"cranberrydrum.dev/scheduler/structs"
)

// Guards against a call to a leader that is refused as not run because its last try was,
// although an earlier try may have run.
func TestRefusalOfACallThatWasTriedTwice(t *testing.T) {
	g := NewWithT(t)
	notSent := &transport.NotSentError{}
	notRun := structs.RefuseNotRun(structs.CodeNotLeader, "")
	lost := &transport.LostReplyError{}
	for _, last := range []error{notSent, notRun, lost, structs.RefuseUnknown(structs.CodeQuorumUnavailable, "")} {
		var refusal *structs.Refusal
		g.Expect(errors.As(finalError(last, lost), &refusal)).To(BeTrue())
		g.Expect(refusal.Outcome).To(Equal(structs.OutcomeUnknown), "after a lost reply: %v", last)
		g.Expect(errors.As(finalError(last, nil), &refusal)).To(BeTrue())
		isNotRun := last == error(notSent) || last == error(notRun)
		g.Expect(refusal.Outcome == structs.OutcomeNotRun).To(Equal(isNotRun), "%v", last)
	}
}

// Guards against a key that is freed by a forward whose reply was lost.
func TestOutcomeOfAForwardedKey(t *testing.T) {
	g := NewWithT(t)
	s := &service{node: &Node{}}
	for err, expected := range map[error]serving.Result{
		&transport.NotSentError{}:                              serving.ResultNotSent,
		structs.RefuseNotRun(structs.CodeShed, ""):             serving.ResultNotSent,
		&transport.LostReplyError{}:                            serving.ResultBroken,
		&transport.RemoteError{}:                               serving.ResultBroken,
		structs.RefuseUnknown(structs.CodeDeadlineExpired, ""): serving.ResultBackendError,
		structs.RefuseUnknown(structs.CodeOutcomeUnknown, "x"): serving.ResultBackendError,
	} {
		result := s.forwardResultOf(host{}, "1", nil, err).event.Result
		g.Expect(result).To(Equal(expected), "%v", err)
		isFreed := outcomeOf(result, nil).Kind == outcomeOf(serving.ResultNotSent, nil).Kind
		g.Expect(isFreed).To(Equal(expected == serving.ResultNotSent), "%v", err)
	}
}
