package replica

// Operation is the operation during which a replica failed.
type Operation string

// Operations that a FatalError reports.
const (
	OperationLoad         Operation = "load stored state"
	OperationSave         Operation = "save log entries"
	OperationSaveSnapshot Operation = "save snapshot"
	OperationSnapshot     Operation = "take snapshot"
	OperationRestore      Operation = "restore snapshot"
	OperationClose        Operation = "close storage"
)

// FatalError reports a failure of the storage or the state machine. The replica
// stops permanently, because it is unknown which writes are durable.
type FatalError struct {
	Operation Operation
	Cause     error
}

func (e *FatalError) Error() string {
	return "replica: cannot " + string(e.Operation) + ": " + e.Cause.Error()
}

// Unwrap returns the error of the storage or state machine.
func (e *FatalError) Unwrap() error { return e.Cause }

// BootstrapError reports that a replica cannot start from the configured
// bootstrap membership.
type BootstrapError struct {
	ID     string
	Reason string
}

func (e *BootstrapError) Error() string {
	return "replica: host " + e.ID + " cannot bootstrap: " + e.Reason
}

// ClosedError reports a call to a closed replica.
type ClosedError string

// ErrClosed is returned by calls to a closed replica.
const ErrClosed ClosedError = "replica: closed"

func (e ClosedError) Error() string { return string(e) }
