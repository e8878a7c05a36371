// Package dedup records request keys so that a request marked non-idempotent
// is sent at most once. A Table is the state of a replicated log: all its
// methods are deterministic, and every replica applies the same calls with
// the same arguments.
//
// # Life of a key
//
// Begin records a new key as sending and returns Send, once. Finish records
// the outcome of the run that began with its token. A run that ended as not run
// frees the key: the next Begin of the same content returns Send again, because
// nothing has run. MarkUnknown turns the keys that an earlier leader left in
// sending into unknown. A known outcome (answered or not run) may replace
// unknown; nothing else changes a recorded outcome.
//
// # Logical time
//
// Commands carry a logical time that the leader advances by durations on its
// own clock. A new leader continues from Now. Time that goes back is ignored.
// Time without a leader does not pass, which only keeps records longer.
//
// # Expiry
//
// A full record is kept for Config.Retention after its last change. What
// follows depends on the key:
//
//   - A key with an issue time ("issued-<milliseconds of logical time>-...")
//     needs no further record. It was issued no later than it was begun, so
//     once its record is gone it is older than the retention, and unknown keys
//     that are older than the retention are refused. It is never run again. The
//     price is that a key must first arrive within the retention after its
//     issue. An issue time in the future is refused, because it would break
//     this argument.
//   - Any other key leaves a compact record, a 16-byte hash, for another
//     Config.ExpiredRetention, during which it is refused. After both periods
//     the key is forgotten and could run again; callers that may repeat a
//     request after such a time must use keys with an issue time. Two keys with
//     the same hash cause a refusal, never a second run.
//
// # Memory
//
// Config.MaxBytes bounds the accounted bytes: fullRecordBytes plus key, owner
// and response body for each full record, and compactRecordBytes for each
// compact one. Begin reserves the place of the compact record, so expiry never
// fails for lack of space: a table that is full of compact records refuses new
// keys instead of forgetting old ones early. A response body that does not fit
// is dropped as a whole; the outcome is kept.
package dedup
