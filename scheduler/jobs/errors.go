package jobs

import "strconv"

// EncodeError reports a value that could not be encoded.
type EncodeError struct {
	What string
	Err  error
}

// Error implements error.
func (e *EncodeError) Error() string { return "encode " + e.What + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *EncodeError) Unwrap() error { return e.Err }

// DecodeError reports bytes that could not be decoded.
type DecodeError struct {
	What string
	Err  error
}

// Error implements error.
func (e *DecodeError) Error() string { return "decode " + e.What + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *DecodeError) Unwrap() error { return e.Err }

// UnknownKindError reports a command kind that this version does not support.
type UnknownKindError struct {
	Kind Kind
}

// Error implements error.
func (e *UnknownKindError) Error() string {
	return "unknown command kind " + strconv.Itoa(int(e.Kind))
}

// EmptyCommandError reports a command without a body.
type EmptyCommandError struct{}

// Error implements error.
func (*EmptyCommandError) Error() string { return "command has no body" }

// TrailingBytesError reports bytes after the end of a value.
type TrailingBytesError struct {
	Bytes int
}

// Error implements error.
func (e *TrailingBytesError) Error() string {
	return strconv.Itoa(e.Bytes) + " bytes after the end of the value"
}

// SnapshotFormatError reports a snapshot in an unsupported format.
type SnapshotFormatError struct {
	Format int
}

// Error implements error.
func (e *SnapshotFormatError) Error() string {
	return "snapshot has unsupported format " + strconv.Itoa(e.Format)
}

// SnapshotContentError reports a snapshot whose job and worker records are
// inconsistent.
type SnapshotContentError struct {
	Job    string
	Worker string
}

// Error implements error.
func (e *SnapshotContentError) Error() string {
	return "snapshot is inconsistent at job " + strconv.Quote(e.Job) + ", worker " + strconv.Quote(e.Worker)
}
