package configstate

import "strconv"

// CodecError reports data that cannot be encoded or decoded.
type CodecError struct {
	Subject string
	Cause   error
}

// Error implements error.
func (e *CodecError) Error() string {
	return "configuration " + e.Subject + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *CodecError) Unwrap() error { return e.Cause }

// SnapshotError reports a snapshot with invalid or inconsistent content.
type SnapshotError struct {
	Version uint64
	Reason  string
}

// Error implements error.
func (e *SnapshotError) Error() string {
	return "configuration snapshot of version " + strconv.FormatUint(e.Version, 10) + ": " + e.Reason
}

// OfferError reports an offered version whose content is invalid or conflicts
// with the version in effect.
type OfferError struct {
	Version uint64
	Reason  string
}

// Error implements error.
func (e *OfferError) Error() string {
	return "offered configuration version " + strconv.FormatUint(e.Version, 10) + ": " + e.Reason
}
