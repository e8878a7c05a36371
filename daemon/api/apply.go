package api

import (
	"errors"
	"slices"
	"time"

	"cranberrydrum.dev/scheduler/structs"
)

// Limits of the resends of one change of the rules.
const (
	// maxApplyAttempts allows enough time for the election of a new leader, which
	// takes two election timeouts of 1 s.
	maxApplyAttempts = 6
	applyRetryDelay  = 500 * time.Millisecond
)

// conclusiveCodes lists the refusals that also determine the outcome of earlier
// sends of the same change: the replicated log has decided on the change, or
// will decide on each send in the same way.
var conclusiveCodes = []structs.Code{
	structs.CodeVersionConflict,
	structs.CodeRulesInvalid,
	structs.CodeGuaranteeDoesNotFit,
	structs.CodeKeyHomesFixed,
}

// ApplyRules applies a change of the rules. If a response is lost, it resends
// the change with the same request id and base version, so that a change that
// was already accepted gets its original response. If no resend determines the
// outcome, it returns the error of the last send whose outcome is unknown.
func (c *Client) ApplyRules(r RulesApplyRequest) (RulesApplyResponse, error) {
	var unknownErr error
	for attempt := range maxApplyAttempts {
		if attempt > 0 {
			c.sleep(applyRetryDelay)
		}
		var out RulesApplyResponse
		err := c.callJSON(call{method: methodPost, path: PathRules}, r, &out)
		switch {
		case err == nil:
			return out, nil
		case isConclusive(err):
			return RulesApplyResponse{}, err
		case OutcomeUnknown(err):
			unknownErr = err
		case unknownErr == nil:
			return RulesApplyResponse{}, err
		}
	}
	return RulesApplyResponse{}, unknownErr
}

// isConclusive reports whether err is a refusal with one of the conclusive codes.
func isConclusive(err error) bool {
	var refused *RefusedError
	return errors.As(err, &refused) && slices.Contains(conclusiveCodes, refused.Body.Code)
}
