// Package replica combines a raft.Node, durable storage and a state machine.
//
// A Replica is as pure as its parts: it is called with the time and received
// messages, calls its Storage and StateMachine, and returns the messages to
// send and the results of applied commands. It starts no goroutine and is not
// safe for concurrent use.
package replica
