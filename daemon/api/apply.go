package api

import (
	"errors"
	"slices"
	"time"

	"cranberrydrum.dev/scheduler/structs"
)

// Bounds of the resends of one change of the rules.
const (
	// applyAttempts covers the election of a new leader, which takes two
	// election timeouts of 1 s.
	applyAttempts = 6
	applyPause    = 500 * time.Millisecond
)

// decisive lists the refusals that also settle the earlier sends of the same
// change: the log has decided, or will decide the same way.
var decisive = []structs.Code{
	structs.CodeVersionConflict,
	structs.CodeRulesInvalid,
	structs.CodeGuaranteeUnfit,
	structs.CodeKeyHomesFixed,
}

// ApplyRules applies a change of the rules. After a lost answer it resends the
// change with the same request id and base version, which gets the first
// answer. If no resend settles the outcome, it returns the error of the send
// whose outcome is unknown.
func (c *Client) ApplyRules(r RulesApplyRequest) (RulesApplyResponse, error) {
	var lost error
	for attempt := range applyAttempts {
		if attempt > 0 {
			c.pause(applyPause)
		}
		var out RulesApplyResponse
		err := c.callJSON(call{method: methodPost, path: PathRules}, r, &out)
		switch {
		case err == nil:
			return out, nil
		case settles(err):
			return RulesApplyResponse{}, err
		case OutcomeUnknown(err):
			lost = err
		case lost == nil:
			return RulesApplyResponse{}, err
		}
	}
	return RulesApplyResponse{}, lost
}

func settles(err error) bool {
	var refused *RefusedError
	return errors.As(err, &refused) && slices.Contains(decisive, refused.Body.Code)
}
