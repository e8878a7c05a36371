package node

// DataDirError reports a data directory that cannot be read or written.
type DataDirError struct {
	Dir   string
	Cause error
}

// Error implements error.
func (e *DataDirError) Error() string { return "data directory " + e.Dir + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *DataDirError) Unwrap() error { return e.Cause }

// IdentityError reports a data directory that belongs to another host.
type IdentityError struct {
	Dir      string
	Found    string
	Expected string
}

// Error implements error.
func (e *IdentityError) Error() string {
	return "data directory " + e.Dir + " belongs to host " + e.Found + ", not " + e.Expected
}

// CodecError reports a message between hosts that cannot be encoded or decoded.
type CodecError struct {
	What  string
	Cause error
}

// Error implements error.
func (e *CodecError) Error() string { return "cannot decode " + e.What + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *CodecError) Unwrap() error { return e.Cause }
