// Package dedup records request keys so that a request marked non-idempotent
// runs at most once. A Table is the state machine of a replicated log: all its
// methods are deterministic, and every replica makes the same calls with the
// same arguments.
//
// # Lifecycle of a key
//
// Begin records a new key as sending and returns Send, once. Finish records the
// outcome of the run whose Begin had the same token. If the outcome is not run,
// the next Begin with the same digest returns Send again, because the request
// certainly did not run. MarkUnknown sets the outcome of keys that an earlier
// leader left in state sending to unknown. A known outcome (answered or not
// run) may replace unknown; nothing else replaces a recorded outcome.
//
// # Logical time
//
// Commands carry a logical time that the leader advances by the time elapsed on
// its own clock. A new leader continues from Now. A time below Now is ignored.
// Logical time stands still while there is no leader; records are then only
// kept longer.
//
// # Expiry
//
// A full record is kept for Config.Retention after its last change. The
// handling after that depends on the key:
//
//   - A key with an issue time ("issued-<milliseconds of logical time>-...")
//     needs no further record. It is issued no later than its Begin, so once
//     its record has expired the key is older than the retention, and Begin
//     refuses keys without a record that are older than the retention. Such a
//     key is never run again. In return, it must first arrive within the
//     retention after its issue. An issue time in the future is refused,
//     because such a key could still be accepted after its record has expired.
//   - Any other key leaves a compact record, a 16-byte hash, for another
//     Config.ExpiredRetention, during which it is refused. After both periods
//     nothing is known about the key and it could run again; callers that may
//     repeat a request so late must use keys with an issue time. A hash
//     collision causes a refusal, never a second run.
//
// # Memory
//
// Config.MaxBytes limits the accounted bytes: fullRecordBytes plus key, owner,
// token and response body for each full record, and compactRecordBytes for each
// compact one. A full record counts against the same limits as the compact
// record that replaces it and is larger, so expiry never fails for lack of
// space: a table that is full of compact records refuses new keys instead of
// removing old ones early. A response body that does not fit is dropped as a
// whole; the outcome is kept.
package dedup
