package dedup

import "time"

// Digest identifies the content of a request, for example its SHA-256.
type Digest [32]byte

// DecisionKind tells the owner of a request how to proceed.
type DecisionKind uint8

// Decisions of Begin. Only Send permits the request to be sent; Capacity,
// Expired, Conflict, StaleTerm and Invalid refuse it without running it now.
const (
	// Send means that the key is now recorded as sending: it is new, or its
	// earlier run was recorded as not run.
	Send DecisionKind = iota + 1
	// InProgress means that the request is being run by Decision.Owner.
	InProgress
	// Recorded means that Decision.Outcome is the final outcome.
	Recorded
	// UnknownOutcome means that the request may or may not have run.
	UnknownOutcome
	// Conflict means that the key was used with a different digest.
	Conflict
	// Expired means that the key was used before and its full record has
	// expired, or that its issue time is so old that this cannot be ruled out.
	Expired
	// Capacity means that the table is full; the request was not run.
	Capacity
	// StaleTerm means that the command comes from a leader whose keys have
	// already been marked unknown; the request was not run.
	StaleTerm
	// Invalid means that the key is empty, too long or has an issue time in
	// the future; the request was not run.
	Invalid
)

// OutcomeKind is the kind of outcome of a run.
type OutcomeKind uint8

// Kinds of outcome.
const (
	// Answered means that a complete response was received.
	Answered OutcomeKind = iota + 1
	// NotRun means that the request certainly did not run.
	NotRun
	// Unknown means that the request may or may not have run.
	Unknown
)

// Outcome is the result of a request.
type Outcome struct {
	Kind   OutcomeKind
	Status int
	Body   []byte
	// BodyDropped is true if the response was too large to be kept. Body is
	// then empty, because an incomplete response must never be returned.
	BodyDropped bool
}

// Decision is the result of Begin.
type Decision struct {
	Kind DecisionKind
	// Outcome is set for Recorded and UnknownOutcome.
	Outcome Outcome
	// Owner and Term are those of the recorded Begin, for InProgress.
	Owner string
	Term  uint64
}

// FinishResult tells how Finish changed the record.
type FinishResult uint8

// Results of Finish.
const (
	// Stored means that the outcome is now the recorded one.
	Stored FinishResult = iota + 1
	// Unchanged means that the recorded outcome was kept, or that the token is
	// not the one of the latest Begin.
	Unchanged
	// NoRecord means that the key has no full record: it is not known or has
	// expired.
	NoRecord
)

// Request is the argument of Begin.
type Request struct {
	Key    string
	Digest Digest
	Owner  string
	Term   uint64
	// Token identifies this Begin among all Begins of the same key. Finish
	// must pass the same token, so that a late outcome of one run is not
	// recorded for another.
	Token string
}

// Config sets the limits and retention periods of a table. All replicas must
// use the same values.
type Config struct {
	// MaxKeys limits the number of full records.
	MaxKeys int
	// MaxRecords limits the total number of full and compact records.
	MaxRecords int
	// MaxBytes limits the accounted bytes of all records.
	MaxBytes int64
	// MaxResponseBytes limits the size of one recorded response body.
	MaxResponseBytes int
	// Retention is the time for which a full record is kept after its last
	// change.
	Retention time.Duration
	// ExpiredRetention is the time for which the compact record of a key
	// without issue time is kept after its full record has expired.
	ExpiredRetention time.Duration
}

// Usage is the current size of a table.
type Usage struct {
	// Keys is the number of full records.
	Keys int
	// Sending is the number of full records in state sending.
	Sending int
	// Compact is the number of compact records.
	Compact int
	// Bytes is the accounted size of all records.
	Bytes int64
}
