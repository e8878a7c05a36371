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

// Codes of errors that arise in the command line itself.
const (
	codeUsage        structs.Code = "usage"
	codeFile         structs.Code = "file_error"
	codeUnreachable  structs.Code = "unreachable"
	codeNoAnswer     structs.Code = "no_answer"
	codeFailedAnswer structs.Code = "executor_failed"
	codeOutput       structs.Code = "output_failed"
	codeInternal     structs.Code = "internal"
)

// UsageError reports wrong arguments.
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

// OutputError reports output that cannot be written.
type OutputError struct{ Cause error }

// Error implements error.
func (e *OutputError) Error() string {
	return "the command was done, but its output cannot be written: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *OutputError) Unwrap() error { return e.Cause }

// RulesError reports a rules file with faults.
type RulesError struct{ Errors []*rules.Error }

// Error implements error.
func (e *RulesError) Error() string { return "the rules have errors" }

// ReadError reports a query without a usable answer. A query changes nothing,
// so its outcome is never unknown.
type ReadError struct{ Cause error }

// Error implements error.
func (e *ReadError) Error() string { return e.Cause.Error() }

// Unwrap returns the cause.
func (e *ReadError) Unwrap() error { return e.Cause }

// ExecutorError reports that an executor answered with an error status. The
// request has run.
type ExecutorError struct{ Status string }

// Error implements error.
func (e *ExecutorError) Error() string { return "the executor answered with status " + e.Status }

// queryError marks the error of a query.
func queryError(err error) error {
	if api.OutcomeUnknown(err) {
		return &ReadError{Cause: err}
	}
	return err
}

// ExitStatus returns the exit status for the result of a command.
func ExitStatus(err error) int {
	var usage *UsageError
	var config *api.ConfigError
	var read *ReadError
	switch {
	case err == nil:
		return ExitDone
	case errors.As(err, &usage), errors.As(err, &config):
		return ExitUsage
	case errors.As(err, &read):
		return ExitRefused
	case api.OutcomeUnknown(err):
		return ExitUnknown
	}
	return ExitRefused
}

// Report prints an error with its code, in the chosen format.
func (e *Env) Report(err error) {
	body := Describe(err)
	if e.JSON() {
		encoder := json.NewEncoder(e.Stderr)
		_ = encoder.Encode(body)
		return
	}
	for _, fault := range body.Errors {
		_, _ = io.WriteString(e.Stderr, fault.Error()+"\n")
	}
	text := "error: " + string(body.Code)
	if body.Outcome != "" {
		text += " (" + string(body.Outcome) + ")"
	}
	_, _ = io.WriteString(e.Stderr, text+": "+body.Message+"\n")
}

// Describe converts an error to the form of a refusal. The outcome is empty if
// the command has run or has nothing to run.
func Describe(err error) api.RefusalBody {
	var refused *api.RefusedError
	if errors.As(err, &refused) {
		return refused.Body
	}
	body := api.RefusalBody{Code: codeOf(err), Message: err.Error()}
	if slices.Contains(nothingSent, body.Code) {
		body.Outcome = structs.OutcomeNotRun
	}
	if ExitStatus(err) == ExitUnknown {
		body.Outcome = structs.OutcomeUnknown
	}
	var faulty *RulesError
	if errors.As(err, &faulty) {
		body.Errors = faulty.Errors
	}
	return body
}

// nothingSent lists the codes of errors that precede any exchange.
var nothingSent = []structs.Code{codeUsage, codeFile, codeUnreachable, structs.CodeRulesInvalid}

func codeOf(err error) structs.Code {
	for _, known := range codes {
		if known.is(err) {
			return known.code
		}
	}
	return codeInternal
}

// codes are tried in order, because a ReadError wraps others.
var codes = []struct {
	is   func(error) bool
	code structs.Code
}{
	{is[*UsageError], codeUsage},
	{is[*api.ConfigError], codeUsage},
	{is[*FileError], codeFile},
	{is[*OutputError], codeOutput},
	{is[*RulesError], structs.CodeRulesInvalid},
	{is[*ExecutorError], codeFailedAnswer},
	{is[*api.UnreachableError], codeUnreachable},
	{is[*api.LostError], codeNoAnswer},
	{is[*api.AnswerError], codeNoAnswer},
}

func is[T error](err error) bool {
	var target T
	return errors.As(err, &target)
}
