// Package jobs implements the replicated job state of one failure domain
// (State) and the volatile state of its leader (Controller).
//
// State is a deterministic state machine: it changes only through Apply, reads
// no clock and does not depend on map order. Its time is the domain clock: the
// accumulated time during which some controller led the domain. Each logged
// command carries it, so that it continues across leader changes without
// relying on a wall clock.
//
// Controller holds data that need not survive a leader change: worker leases,
// reports that are not yet logged, timers and measured run times. It proposes
// commands and repeats a proposal until the state shows its effect. A lost
// command therefore only costs time, and the state drops a late or repeated
// one.
package jobs
