// Package wal stores the durable part of a consensus node: hard state, log
// entries and snapshots. Every record has a length, a sequence number and a
// CRC32C. Each Save appends exactly one record and syncs it before it returns,
// so a crash can damage only the last record of the last segment. That torn
// tail is truncated and reported; any other damage is returned as a
// *DamageError and never repaired.
//
// The package reads no clock and draws no random numbers. A Store is not safe
// for concurrent use.
package wal
