// Package replica combines a raft.Node, durable storage and a state machine.
//
// Like a raft.Node, a Replica reads no clock and opens no socket. Its caller
// passes in the time and received messages. The Replica calls its Storage and
// StateMachine, and returns the messages to send and the results of applied
// commands. It starts no goroutine and is not safe for concurrent use.
package replica
