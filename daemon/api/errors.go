package api

import (
	"strconv"

	"cranberrydrum.dev/scheduler/structs"
)

// UnreachableError reports a failed connection attempt to a server. Nothing was
// sent.
type UnreachableError struct {
	Server string
	Cause  error
}

// Error implements error.
func (e *UnreachableError) Error() string {
	return "server " + e.Server + " is not reachable: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *UnreachableError) Unwrap() error { return e.Cause }

// LostResponseError reports that a request may have been sent, at least in
// part, and that no complete response arrived. The request may have run.
type LostResponseError struct {
	Server string
	Cause  error
}

// Error implements error.
func (e *LostResponseError) Error() string {
	return "no answer from server " + e.Server + ", the outcome is unknown: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *LostResponseError) Unwrap() error { return e.Cause }

// RefusedError reports a refusal by a server.
type RefusedError struct {
	Server string
	Status int
	Body   RefusalBody
}

// Error implements error.
func (e *RefusedError) Error() string { return e.Body.Refusal().Error() }

// Unwrap returns the refusal.
func (e *RefusedError) Unwrap() error { return e.Body.Refusal() }

// InvalidResponseError reports a response that is not in the expected form. The
// request may have run.
type InvalidResponseError struct {
	Server string
	Status int
	Reason string
}

// Error implements error.
func (e *InvalidResponseError) Error() string {
	return "unexpected answer from server " + e.Server + " with status " + strconv.Itoa(e.Status) + ": " + e.Reason
}

// ConfigError reports an invalid client configuration.
type ConfigError struct {
	Field  string
	Value  string
	Reason string
}

// Error implements error.
func (e *ConfigError) Error() string {
	return e.Field + " " + strconv.Quote(e.Value) + ": " + e.Reason
}

// EncodeError reports a request that cannot be encoded as JSON.
type EncodeError struct{ Cause error }

// Error implements error.
func (e *EncodeError) Error() string { return "the request cannot be encoded: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *EncodeError) Unwrap() error { return e.Cause }

// OutcomeUnknown reports whether the request that returned err may have run.
func OutcomeUnknown(err error) bool {
	switch e := err.(type) {
	case *LostResponseError, *InvalidResponseError:
		return true
	case *RefusedError:
		return e.Body.Outcome != structs.OutcomeNotRun
	}
	return false
}
