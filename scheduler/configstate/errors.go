package configstate

import "strconv"

// CodecError reports data that is not in the expected encoding.
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

// SnapshotError reports a snapshot whose content contradicts itself.
type SnapshotError struct {
	Version uint64
	Reason  string
}

// Error implements error.
func (e *SnapshotError) Error() string {
	return "configuration snapshot of version " + strconv.FormatUint(e.Version, 10) + ": " + e.Reason
}

// OfferError reports an offered version that cannot be genuine.
type OfferError struct {
	Version uint64
	Reason  string
}

// Error implements error.
func (e *OfferError) Error() string {
	return "offered configuration version " + strconv.FormatUint(e.Version, 10) + ": " + e.Reason
}
