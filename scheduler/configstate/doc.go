// Package configstate holds the replicated configuration: the accepted rules
// text, its version and digest, and the history of accepted versions. State is
// the state machine of the log "config"; Follower is the copy on a host that
// does not vote.
//
// Versions count accepted changes from 1; version 0 means that no
// configuration was accepted yet. A change states the version it is based on
// and is accepted only if that is still the latest one. A resend of an
// accepted change returns the first answer.
//
// The package is pure and deterministic. Every host of the log must use the
// same checks, because Apply parses the text: a release that changes a check
// in scheduler/rules changes the outcome of replayed commands.
package configstate

// Limits of a command and of the history.
const (
	// MaxAuthorBytes and MaxRequestIDBytes bound one entry of the history.
	MaxAuthorBytes    = 64
	MaxRequestIDBytes = 64
	// MaxHistory is the number of versions whose answer can be repeated. At
	// 470 changes a day it covers one day.
	MaxHistory = 500
	// MaxHistoryBytes bounds the encoded history; an entry takes at most
	// entryOverheadBytes besides its author and request id.
	MaxHistoryBytes = 160 << 10
	// MaxReportedErrors bounds the answer to a faulty text; a client can list
	// all errors with a local check.
	MaxReportedErrors  = 100
	entryOverheadBytes = 192
)
