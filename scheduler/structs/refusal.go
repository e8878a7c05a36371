package structs

import "time"

// Outcome tells whether a refused request may have run.
type Outcome string

// Outcomes of refused requests.
const (
	// OutcomeNotRun means that the request certainly has not run, because nothing
	// was sent. Resending it is safe.
	OutcomeNotRun Outcome = "not_run"
	// OutcomeUnknown means that the request may have run.
	OutcomeUnknown Outcome = "unknown"
)

// Code is the stable identifier of a reason for a refusal. The metrics count the
// refusals of each code.
type Code string

// Codes of refusals.
const (
	CodeInvalid              Code = "invalid_request"
	CodeUnauthorized         Code = "unauthorized"
	CodeForbidden            Code = "forbidden"
	CodeNotFound             Code = "not_found"
	CodeNoConfig             Code = "no_configuration"
	CodeQueueFull            Code = "queue_full"
	CodeShed                 Code = "shed"
	CodeDeadlineUnreachable  Code = "deadline_unreachable"
	CodeDeadlineExpired      Code = "deadline_expired"
	CodeNoBackend            Code = "no_backend"
	CodeBackendFailed        Code = "backend_failed"
	CodeRetryBudgetExhausted Code = "retry_budget_exhausted"
	CodeOwnerUnreachable     Code = "owner_unreachable"
	CodeNotLeader            Code = "not_leader"
	CodeKeyMissing           Code = "key_missing"
	CodeKeyConflict          Code = "key_conflict"
	CodeKeyExpired           Code = "key_expired"
	CodeKeyCapacity          Code = "key_capacity"
	CodeKeyInProgress        Code = "key_in_progress"
	CodeOutcomeUnknown       Code = "outcome_unknown"
	CodeStopping             Code = "stopping"
	CodeCancelled            Code = "cancelled"
	CodeNeverRunnable        Code = "never_runnable"
	CodeQuotaExceeded        Code = "quota_exceeded"
	CodeVersionConflict      Code = "version_conflict"
	CodeRulesInvalid         Code = "rules_invalid"
	CodeGuaranteeDoesNotFit  Code = "guarantee_does_not_fit"
	CodeJobConflict          Code = "job_conflict"
	CodeCancelCapacity       Code = "cancel_capacity"
	CodeKeyHomesFixed        Code = "key_homes_fixed"
	CodeTooLarge             Code = "too_large"
	CodeMembershipChange     Code = "membership_change_refused"
	CodeQuorumUnavailable    Code = "quorum_unavailable"
	CodeUpgradeIncomplete    Code = "upgrade_incomplete"
	// CodeInternal reports a fault of the host in handling this request.
	CodeInternal Code = "internal_error"
)

// Refusal is the error for every request that gets no other response.
type Refusal struct {
	Code       Code
	Outcome    Outcome
	Message    string
	RetryAfter time.Duration
}

// Error implements error.
func (r *Refusal) Error() string {
	return string(r.Code) + " (" + string(r.Outcome) + "): " + r.Message
}

// RefuseNotRun returns a refusal of a request that is known not to have run.
func RefuseNotRun(code Code, message string) *Refusal {
	return &Refusal{Code: code, Outcome: OutcomeNotRun, Message: message}
}

// RefuseUnknown returns a refusal of a request that may have run.
func RefuseUnknown(code Code, message string) *Refusal {
	return &Refusal{Code: code, Outcome: OutcomeUnknown, Message: message}
}
