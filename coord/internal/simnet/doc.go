// Package simnet simulates a network and the clocks of its hosts, so that
// tests can drive pure state machines through loss, delay, reordering,
// duplication and partitions. It is deterministic: the outcome depends on the
// seed and the sequence of calls only.
package simnet
