// Package configstate holds the replicated configuration: the accepted text of
// the rules, its version and digest, and the history of accepted versions. State
// is the state machine of the replicated log "config"; Follower is the copy on a
// non-voting host.
//
// Versions number the accepted changes from 1; version 0 means that no
// configuration has been accepted. A change names the version on which it is
// based and is accepted only if that is still the latest one (optimistic
// concurrency control). A resend of an accepted change returns the first result.
//
// The package has no I/O and is deterministic. All replicas of the log must use
// the same checks, because Apply parses the text: a release that changes a check
// in scheduler/rules changes the result of replayed commands.
package configstate

// Limits of a command and of the history.
const (
	// MaxAuthorBytes and MaxRequestIDBytes bound the size of a history entry.
	MaxAuthorBytes    = 64
	MaxRequestIDBytes = 64
	// MaxHistory is the number of versions whose result can be returned again
	// for a resend. At 470 changes a day it covers one day.
	MaxHistory = 500
	// MaxHistoryBytes bounds the encoded history. An entry takes at most
	// entryOverheadBytes in addition to its author and request id.
	MaxHistoryBytes = 160 << 10
	// MaxReportedErrors bounds the errors in the result for an invalid text; a
	// client can list all errors with a local check.
	MaxReportedErrors  = 100
	entryOverheadBytes = 192
)
