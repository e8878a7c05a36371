// Package raft implements a replicated log as a pure state machine.
//
// A Node reads no clock, opens no socket or file and starts no goroutine.
// The caller passes in the time, received messages and proposals, and performs
// the work that Ready returns. All times are readings of one monotonic clock of
// the calling process with an arbitrary origin. The clock rates of different
// hosts may differ within the bound of Config.ClockError. The reading passed
// with a message must be taken after the message was received. Otherwise a
// pause between the reading and the receipt would shorten the time during which
// a follower protects its leader's lease.
//
// The protocol is Raft with pre-vote, quorum check, single-step membership
// changes, learners, chunked snapshots, leadership transfer and leader leases.
// It requires that an identifier is never reused: a host that lost its disk
// must rejoin under a new identifier.
package raft
