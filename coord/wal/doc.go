// Package wal stores the durable state of a consensus node: hard state, log
// entries and snapshots. The log is a sequence of segment files. Every record
// has a length, a sequence number and a CRC32C. Each Save appends exactly one
// record and syncs it before it returns, so a crash can damage only the last
// record of the last segment. Open truncates such a torn tail and reports it in
// Store.Recovery. Any other damage is returned as a *DamageError and never
// repaired.
//
// The package uses neither a clock nor random numbers. A Store is not safe for
// concurrent use.
package wal
