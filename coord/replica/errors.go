package replica

// Operation names what a replica was doing when it failed.
type Operation string

// Operations of FatalError.
const (
	OperationLoad         Operation = "load stored state"
	OperationSave         Operation = "save log entries"
	OperationSaveSnapshot Operation = "save snapshot"
	OperationSnapshot     Operation = "take snapshot"
	OperationRestore      Operation = "restore snapshot"
	OperationClose        Operation = "close storage"
)

// FatalError reports a failure of the storage or the state machine, after
// which the replica does nothing more: what is durable is not known.
type FatalError struct {
	Operation Operation
	Cause     error
}

func (e *FatalError) Error() string {
	return "replica: cannot " + string(e.Operation) + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *FatalError) Unwrap() error { return e.Cause }

// BootstrapError reports a bootstrap membership that cannot be used.
type BootstrapError struct {
	ID     string
	Reason string
}

func (e *BootstrapError) Error() string {
	return "replica: host " + e.ID + " cannot bootstrap: " + e.Reason
}

// ClosedError reports a call of a closed replica.
type ClosedError string

// ErrClosed is returned by calls of a closed replica.
const ErrClosed ClosedError = "replica: closed"

func (e ClosedError) Error() string { return string(e) }
