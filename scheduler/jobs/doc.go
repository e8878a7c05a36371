// Package jobs holds the replicated job state of one failure domain (State)
// and the volatile part of its leader (Controller).
//
// State is a deterministic state machine: it changes only through Apply, reads
// no clock and depends on no map order. Time in it is the domain clock: the
// time during which some controller led the domain, carried in each logged
// command, so that it survives a change of leader without any wall clock.
//
// Controller holds what need not survive its leader: leases of workers,
// reports not yet logged, timers and measured run times. It proposes commands
// and repeats a proposal until the state shows its effect, so a lost command
// costs time and a late or repeated one is dropped by the state.
package jobs
