package node

// FolderError reports a data folder that cannot be read or written.
type FolderError struct {
	Folder string
	Cause  error
}

// Error implements error.
func (e *FolderError) Error() string { return "data folder " + e.Folder + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *FolderError) Unwrap() error { return e.Cause }

// IdentityError reports a data folder that belongs to another host.
type IdentityError struct {
	Folder   string
	Found    string
	Expected string
}

// Error implements error.
func (e *IdentityError) Error() string {
	return "data folder " + e.Folder + " belongs to host " + e.Found + ", not " + e.Expected
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
