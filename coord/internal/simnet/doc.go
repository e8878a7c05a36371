// Package simnet simulates a network and the clocks of its hosts. Tests use it
// to subject state machines that do no I/O themselves to message loss, delay,
// reordering, duplication and network partitions. The simulation is
// deterministic: its results depend only on the seed and the sequence of calls.
package simnet
