package cli

import (
	"encoding/json"
	"errors"
	"io"
	"slices"

	"cranberrydrum.dev/daemon/api"
	"cranberrydrum.dev/scheduler/rules"
	"cranberrydrum.dev/scheduler/structs"
)

// Codes of errors that originate in the client.
const (
	codeUsage          structs.Code = "usage"
	codeFile           structs.Code = "file_error"
	codeUnreachable    structs.Code = "unreachable"
	codeNoAnswer       structs.Code = "no_answer"
	codeExecutorFailed structs.Code = "executor_failed"
	codeOutput         structs.Code = "output_failed"
	codeInternal       structs.Code = "internal"
)

// UsageError reports invalid arguments, flags or environment variables.
type UsageError struct{ Reason string }

// Error implements error.
func (e *UsageError) Error() string { return e.Reason }

// FileError reports a file that cannot be read.
type FileError struct {
	Name  string
	Cause error
}

// Error implements error.
func (e *FileError) Error() string { return "cannot read " + e.Name + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *FileError) Unwrap() error { return e.Cause }

// OutputError reports that the output of a successful command cannot be written.
type OutputError struct{ Cause error }

// Error implements error.
func (e *OutputError) Error() string {
	return "the command succeeded, but its output cannot be written: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *OutputError) Unwrap() error { return e.Cause }

// RulesError reports a rules file with errors.
type RulesError struct{ Errors []*rules.Error }

// Error implements error.
func (e *RulesError) Error() string { return "the rules have errors" }

// QueryError reports that a query got no usable response. A query has no side
// effects, so its outcome is never reported as unknown.
type QueryError struct{ Cause error }

// Error implements error.
func (e *QueryError) Error() string { return e.Cause.Error() }

// Unwrap returns the cause.
func (e *QueryError) Unwrap() error { return e.Cause }

// ExecutorError reports that an executor responded with an error status. The
// request was executed.
type ExecutorError struct{ Status string }

// Error implements error.
func (e *ExecutorError) Error() string { return "the executor responded with status " + e.Status }

// queryError wraps an error with an unknown outcome in a QueryError.
func queryError(err error) error {
	if api.OutcomeUnknown(err) {
		return &QueryError{Cause: err}
	}
	return err
}

// ExitStatus returns the exit status for the result of a command.
func ExitStatus(err error) int {
	var usage *UsageError
	var config *api.ConfigError
	var query *QueryError
	switch {
	case err == nil:
		return ExitSuccess
	case errors.As(err, &usage), errors.As(err, &config):
		return ExitUsage
	case errors.As(err, &query):
		return ExitRefused
	case api.OutcomeUnknown(err):
		return ExitUnknown
	}
	return ExitRefused
}

// Report prints an error and its code in the selected output format.
func (e *Env) Report(err error) {
	body := Describe(err)
	if e.JSON() {
		encoder := json.NewEncoder(e.Stderr)
		_ = encoder.Encode(body)
		return
	}
	for _, ruleError := range body.Errors {
		_, _ = io.WriteString(e.Stderr, ruleError.Error()+"\n")
	}
	text := "error: " + string(body.Code)
	if body.Outcome != "" {
		text += " (" + string(body.Outcome) + ")"
	}
	_, _ = io.WriteString(e.Stderr, text+": "+body.Message+"\n")
}

// Describe converts an error to the body of a refusal. The outcome is empty if
// the command was executed or has no effect to report.
func Describe(err error) api.RefusalBody {
	var refused *api.RefusedError
	if errors.As(err, &refused) {
		return refused.Body
	}
	body := api.RefusalBody{Code: codeOf(err), Message: err.Error()}
	if slices.Contains(notRunCodes, body.Code) {
		body.Outcome = structs.OutcomeNotRun
	}
	if ExitStatus(err) == ExitUnknown {
		body.Outcome = structs.OutcomeUnknown
	}
	var invalid *RulesError
	if errors.As(err, &invalid) {
		body.Errors = invalid.Errors
	}
	return body
}

// notRunCodes lists the codes of errors that occur before any request is sent.
var notRunCodes = []structs.Code{codeUsage, codeFile, codeUnreachable, structs.CodeRulesInvalid}

func codeOf(err error) structs.Code {
	for _, entry := range errorCodes {
		if entry.matches(err) {
			return entry.code
		}
	}
	return codeInternal
}

// errorCodes maps error types to codes. The first match wins; a QueryError has no
// entry and gets the code of the error that it wraps.
var errorCodes = []struct {
	matches func(error) bool
	code    structs.Code
}{
	{isType[*UsageError], codeUsage},
	{isType[*api.ConfigError], codeUsage},
	{isType[*FileError], codeFile},
	{isType[*OutputError], codeOutput},
	{isType[*RulesError], structs.CodeRulesInvalid},
	{isType[*ExecutorError], codeExecutorFailed},
	{isType[*api.UnreachableError], codeUnreachable},
	{isType[*api.LostResponseError], codeNoAnswer},
	{isType[*api.InvalidResponseError], codeNoAnswer},
}

func isType[T error](err error) bool {
	var target T
	return errors.As(err, &target)
}
