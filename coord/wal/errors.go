package wal

import "fmt"

// Reason says what kind of damage recovery found.
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
	ReasonMissingSnapshot  Reason = "snapshot named by the log is missing"
	ReasonSnapshotChecksum Reason = "snapshot checksum or length is wrong"
	ReasonIdentity         Reason = "identity file is invalid"
	ReasonMissingIdentity  Reason = "identity file is missing although the store holds data"
)

// DamageError reports damage that is not a torn tail. The store is left as it
// was found.
type DamageError struct {
	File   string
	Offset int64
	Reason Reason
}

// Error implements error.
func (e *DamageError) Error() string {
	return fmt.Sprintf("wal: %s at offset %d: %s", e.File, e.Offset, e.Reason)
}

// IdentityError reports that the folder holds another store than expected.
// Found is empty if the folder holds no store.
type IdentityError struct {
	Dir      string
	Found    string
	Expected string
}

// Error implements error.
func (e *IdentityError) Error() string {
	return fmt.Sprintf("wal: folder %s holds store %q, expected %q", e.Dir, e.Found, e.Expected)
}

// LockedError reports that another process has the folder open.
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

// FailedError is returned by every call after a failed write or sync. What
// the disk holds is then uncertain until the store is opened again.
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

// Misuse says which argument rule a call broke.
type Misuse string

// Argument rules. A refused call changes nothing and the store stays usable.
const (
	MisuseStoreID       Misuse = "store id must have 1 to 255 bytes"
	MisuseGap           Misuse = "entries must be consecutive and follow the last index"
	MisuseBelowSnapshot Misuse = "entry is covered by the snapshot"
	MisuseTooLarge      Misuse = "record exceeds MaxRecordBytes"
	MisuseOldSnapshot   Misuse = "snapshot is not newer than the current one"
	MisuseKeepFrom      Misuse = "keepFrom is above the snapshot index plus one"
	MisuseHardState     Misuse = "hard state goes back or changes the vote within a term"
)

// ArgumentError reports an invalid argument.
type ArgumentError struct {
	Rule  Misuse
	Index uint64
}

// Error implements error.
func (e *ArgumentError) Error() string {
	return fmt.Sprintf("wal: %s (index %d)", e.Rule, e.Index)
}
