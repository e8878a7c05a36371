// Package dedup records request keys so that a request marked non-idempotent
// is sent at most once.
package dedup

import "time"

// Table holds the request keys of one replicated log.
type Table struct{}

// New returns an empty table.
func New(cfg Config) *Table { return &Table{} }

// Begin decides about a request at logical time now.
func (t *Table) Begin(now time.Duration, r Request) Decision { return Decision{Kind: Capacity} }

// Finish records the outcome of a key.
func (t *Table) Finish(now time.Duration, key string, o Outcome) FinishResult { return NoRecord }

// MarkUnknown marks every key in state sending that was begun under a term
// below the given one as unknown. It returns the number of changed keys.
func (t *Table) MarkUnknown(now time.Duration, term uint64) int { return 0 }

// Expire removes what is past its retention. It returns the number of full
// records removed.
func (t *Table) Expire(now time.Duration) int { return 0 }

// Usage returns the current size.
func (t *Table) Usage() Usage { return Usage{} }

// Snapshot encodes the table.
func (t *Table) Snapshot() ([]byte, error) { return nil, nil }

// Restore replaces the content of the table.
func (t *Table) Restore(data []byte) error { return nil }
