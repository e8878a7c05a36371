package workload

import "strconv"

// SpecError reports an invalid job specification.
type SpecError struct {
	Step   int
	Field  string
	Reason string
}

// Error implements error.
func (e *SpecError) Error() string {
	return "step " + strconv.Itoa(e.Step) + ": " + e.Field + ": " + e.Reason
}

// ConfigError reports an invalid configuration.
type ConfigError struct {
	Item   string
	Reason string
}

// Error implements error.
func (e *ConfigError) Error() string { return "configuration: " + e.Item + ": " + e.Reason }

// ExecutorError reports a description of an executor that cannot be used. Field names
// what is wrong with it.
type ExecutorError struct {
	Field  string
	Reason string
}

// Error implements error.
func (e *ExecutorError) Error() string { return "executor: " + e.Field + ": " + e.Reason }

// CommandError reports a log entry or a snapshot that cannot be decoded.
type CommandError struct{ Cause error }

// Error implements error.
func (e *CommandError) Error() string {
	return "workload: cannot decode command or snapshot: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *CommandError) Unwrap() error { return e.Cause }
