// Package control measures the control overhead of a deployment: bytes, CPU time,
// memory and syncs against the number of workers, tasks, hosts and customers. It
// runs the real packages in one process on loopback addresses, with simulated
// workers and executors, so a measurement needs no other machine.
package control

import (
	"strconv"
	"strings"
	"time"
)

// Part is a set of related measurements.
type Part string

// Parts in the order in which they run.
const (
	PartRenewal  Part = "renewal"
	PartLog      Part = "log"
	PartMemory   Part = "memory"
	PartRound    Part = "round"
	PartRecovery Part = "recovery"
	PartHosts    Part = "hosts"
	PartUrgent   Part = "urgent"
	PartProcess  Part = "process"
)

// Parts returns all parts in the order in which they run.
func Parts() []Part {
	return []Part{PartRenewal, PartLog, PartMemory, PartRound, PartRecovery, PartHosts, PartUrgent, PartProcess}
}

// Options select what Run measures.
type Options struct {
	// Quick shortens each measurement and uses smaller states. Slopes still come
	// from three sizes but are less exact.
	Quick bool
	// Parts are the parts to run. An empty list selects all except PartProcess,
	// which needs a running daemon.
	Parts []Part
	// Process is the running daemon that PartProcess measures.
	Process Process
}

// Process is a running daemon with a configuration in force.
type Process struct {
	ID      int
	Servers []string
	Token   string
	Domain  string
}

// seconds returns the duration of a measurement.
func (o Options) seconds(full, quick time.Duration) time.Duration {
	if o.Quick {
		return quick
	}
	return full
}

// repeats returns the number of repetitions of an operation.
func (o Options) repeats(full int) int {
	const quickShare = 100
	if o.Quick {
		return max(1, full/quickShare)
	}
	return full
}

// sizes returns the sizes of the states that are built for a measurement.
func (o Options) sizes(full []int) []int {
	const quickShare = 16
	if !o.Quick {
		return full
	}
	var reduced []int
	for _, size := range full {
		reduced = append(reduced, max(1, size/quickShare))
	}
	return reduced
}

// parts returns the selected parts. PartProcess is the last of all parts.
func (o Options) parts() []Part {
	if len(o.Parts) > 0 {
		return o.Parts
	}
	all := Parts()
	return all[:len(all)-1]
}

// UnknownPartError reports a part that does not exist.
type UnknownPartError struct{ Part Part }

// Error implements error.
func (e *UnknownPartError) Error() string {
	names := make([]string, 0, len(Parts()))
	for _, p := range Parts() {
		names = append(names, string(p))
	}
	return "unknown part " + strconv.Quote(string(e.Part)) + "; allowed: " + strings.Join(names, ", ")
}

// SetupError reports a measurement that could not be made.
type SetupError struct {
	Step  string
	Cause error
}

// Error implements error.
func (e *SetupError) Error() string { return "measurement: " + e.Step + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *SetupError) Unwrap() error { return e.Cause }

// StateError reports an expected state that the measurement did not reach.
type StateError string

// Error implements error.
func (e StateError) Error() string { return "measurement: " + string(e) }
