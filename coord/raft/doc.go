// Package raft implements a replicated log as a pure state machine.
//
// A Node reads no clock, opens no socket or file and starts no goroutine.
// Its caller passes the time, received messages and proposals, and carries
// out what Ready asks for. All times are readings of one monotonic clock of
// the calling process with an arbitrary origin; the clocks of different hosts
// may run at rates that differ within Config.ClockError. The reading passed
// with a message must be taken after the message was received; otherwise a
// pause between both would shorten the time in which a follower protects its
// leader's lease.
//
// The protocol is Raft with pre-vote, quorum check, single-step membership
// changes, learners, chunked snapshots, leadership transfer and leader leases.
// It relies on the rule that an identifier is never reused: a host that lost
// its disk must come back under a new identifier.
package raft
