package wal

import "fmt"

// Reason is the kind of damage that recovery found.
type Reason string

// Kinds of damage.
const (
	ReasonHeader           Reason = "segment header is invalid"
	ReasonChecksum         Reason = "record is invalid and is not a torn tail"
	ReasonSequence         Reason = "record sequence number is not the expected one"
	ReasonRecord           Reason = "record content is invalid"
	ReasonGap              Reason = "entry index leaves a gap in the log"
	ReasonMissingSegment   Reason = "segment is missing"
	ReasonNotSealed        Reason = "segment has a successor with records but no seal"
	ReasonMissingSnapshot  Reason = "snapshot recorded in the log is missing"
	ReasonSnapshotChecksum Reason = "snapshot checksum or length is wrong"
	ReasonIdentity         Reason = "identity file is invalid"
	ReasonMissingIdentity  Reason = "identity file is missing although the store holds data"
)

// DamageError reports damage that is not a torn tail. Recovery leaves the files
// unchanged.
type DamageError struct {
	File   string
	Offset int64
	Reason Reason
}

// Error implements error.
func (e *DamageError) Error() string {
	return fmt.Sprintf("wal: %s at offset %d: %s", e.File, e.Offset, e.Reason)
}

// IdentityError reports that the directory holds another store than expected.
// Found is empty if the directory holds no store.
type IdentityError struct {
	Dir      string
	Found    string
	Expected string
}

// Error implements error.
func (e *IdentityError) Error() string {
	return fmt.Sprintf("wal: directory %s holds store %q, expected %q", e.Dir, e.Found, e.Expected)
}

// LockedError reports that another process has the store open.
type LockedError struct {
	File string
}

// Error implements error.
func (e *LockedError) Error() string {
	return fmt.Sprintf("wal: %s is locked by another process", e.File)
}

// IOError reports a failed file operation.
type IOError struct {
	Op   string
	File string
	Err  error
}

// Error implements error.
func (e *IOError) Error() string {
	return fmt.Sprintf("wal: %s %s: %v", e.Op, e.File, e.Err)
}

// Unwrap returns the cause.
func (e *IOError) Unwrap() error { return e.Err }

// FailedError is returned by every call after a failed operation on the files.
// The content of the disk is then uncertain until the store is opened again.
type FailedError struct {
	Cause error
}

// Error implements error.
func (e *FailedError) Error() string {
	return fmt.Sprintf("wal: store is unusable after an earlier failure: %v", e.Cause)
}

// Unwrap returns the first failure.
func (e *FailedError) Unwrap() error { return e.Cause }

// ClosedError is returned by calls after Close.
type ClosedError struct{}

// Error implements error.
func (ClosedError) Error() string { return "wal: store is closed" }

// ArgumentRule is the rule for arguments that a call violated.
type ArgumentRule string

// Argument rules. A call that violates one changes nothing, and the store stays
// usable.
const (
	RuleStoreID       ArgumentRule = "store id must have 1 to 255 bytes"
	RuleGap           ArgumentRule = "entries must be consecutive and follow the last index"
	RuleBelowSnapshot ArgumentRule = "entry is covered by the snapshot"
	RuleTooLarge      ArgumentRule = "record exceeds MaxRecordBytes"
	RuleOldSnapshot   ArgumentRule = "snapshot is not newer than the current one"
	RuleKeepFrom      ArgumentRule = "keepFrom is above the snapshot index plus one"
	RuleHardState     ArgumentRule = "hard state goes back or changes the vote within a term"
)

// ArgumentError reports an invalid argument. Index is the violating log index,
// the commit index for RuleHardState, or the size in bytes for RuleStoreID and
// RuleTooLarge.
type ArgumentError struct {
	Rule  ArgumentRule
	Index uint64
}

// Error implements error.
func (e *ArgumentError) Error() string {
	return fmt.Sprintf("wal: %s (index %d)", e.Rule, e.Index)
}
