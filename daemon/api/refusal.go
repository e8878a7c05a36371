package api

import (
	"net/http"

	"cranberrydrum.dev/scheduler/configstate"
	"cranberrydrum.dev/scheduler/rules"
	"cranberrydrum.dev/scheduler/structs"
)

// RefusalBody is the body of every refusal.
type RefusalBody struct {
	Code         structs.Code    `json:"code"`
	Outcome      structs.Outcome `json:"outcome"`
	Message      string          `json:"message"`
	RetryAfterMS int64           `json:"retry_after_ms"`
	// Winner is the version that was accepted instead. It is set for the code
	// version_conflict.
	Winner *configstate.Winner `json:"winner,omitempty"`
	// Errors are the errors in the rules text. They are set for the code
	// rules_invalid.
	Errors []*rules.Error `json:"errors,omitempty"`
}

// NewRefusalBody converts a refusal to its wire format.
func NewRefusalBody(r *structs.Refusal) RefusalBody {
	return RefusalBody{Code: r.Code, Outcome: r.Outcome, Message: r.Message, RetryAfterMS: Milliseconds(r.RetryAfter)}
}

// Refusal converts a body from its wire format.
func (b *RefusalBody) Refusal() *structs.Refusal {
	return &structs.Refusal{Code: b.Code, Outcome: b.Outcome, Message: b.Message, RetryAfter: Duration(b.RetryAfterMS)}
}

// httpStatuses maps refusal codes to HTTP status codes.
var httpStatuses = map[structs.Code]int{
	structs.CodeInvalid:              http.StatusBadRequest,
	structs.CodeInternal:             http.StatusBadGateway,
	structs.CodeUnauthorized:         http.StatusUnauthorized,
	structs.CodeForbidden:            http.StatusForbidden,
	structs.CodeNotFound:             http.StatusNotFound,
	structs.CodeNoConfig:             http.StatusServiceUnavailable,
	structs.CodeQueueFull:            http.StatusTooManyRequests,
	structs.CodeShed:                 http.StatusTooManyRequests,
	structs.CodeDeadlineUnreachable:  http.StatusServiceUnavailable,
	structs.CodeDeadlineExpired:      http.StatusGatewayTimeout,
	structs.CodeNoBackend:            http.StatusServiceUnavailable,
	structs.CodeBackendFailed:        http.StatusBadGateway,
	structs.CodeRetryBudgetExhausted: http.StatusBadGateway,
	structs.CodeOwnerUnreachable:     http.StatusServiceUnavailable,
	structs.CodeNotLeader:            http.StatusServiceUnavailable,
	structs.CodeKeyMissing:           http.StatusBadRequest,
	structs.CodeKeyConflict:          http.StatusConflict,
	structs.CodeKeyExpired:           http.StatusConflict,
	structs.CodeKeyCapacity:          http.StatusTooManyRequests,
	structs.CodeKeyInProgress:        http.StatusConflict,
	structs.CodeOutcomeUnknown:       http.StatusBadGateway,
	structs.CodeStopping:             http.StatusServiceUnavailable,
	structs.CodeCancelled:            http.StatusConflict,
	structs.CodeNeverRunnable:        http.StatusUnprocessableEntity,
	structs.CodeQuotaExceeded:        http.StatusTooManyRequests,
	structs.CodeVersionConflict:      http.StatusConflict,
	structs.CodeRulesInvalid:         http.StatusUnprocessableEntity,
	structs.CodeGuaranteeDoesNotFit:  http.StatusUnprocessableEntity,
	structs.CodeKeyHomesFixed:        http.StatusUnprocessableEntity,
	structs.CodeTooLarge:             http.StatusRequestEntityTooLarge,
	structs.CodeMembershipChange:     http.StatusConflict,
	structs.CodeQuorumUnavailable:    http.StatusServiceUnavailable,
	structs.CodeJobConflict:          http.StatusConflict,
	structs.CodeCancelCapacity:       http.StatusServiceUnavailable,
	structs.CodeUpgradeIncomplete:    http.StatusServiceUnavailable,
}

// HTTPStatus returns the HTTP status of a refusal code, or 500 for an unknown
// code.
func HTTPStatus(code structs.Code) int {
	if status, ok := httpStatuses[code]; ok {
		return status
	}
	return http.StatusInternalServerError
}
