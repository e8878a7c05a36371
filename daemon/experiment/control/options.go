// Package control measures what it costs to control a deployment: bytes, CPU
// time, memory and syncs against the number of workers, tasks, hosts and
// customers. It runs the real packages in one process on loopback addresses
// with small stand-ins, so a measurement needs no other machine.
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
	// Quick shortens each measurement and takes smaller states.
	// Slopes are still from three sizes, but less exact.
	Quick bool
	// Parts are the parts to run; none selects all that need no process.
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

// seconds returns the length of an observation.
func (o Options) seconds(full, quick time.Duration) time.Duration {
	if o.Quick {
		return quick
	}
	return full
}

// repeats returns how often an operation is repeated for its CPU time.
func (o Options) repeats(full int) int {
	const quickShare = 100
	if o.Quick {
		return max(1, full/quickShare)
	}
	return full
}

// sizes returns the sizes of states that are built for a measurement.
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
	What  string
	Cause error
}

// Error implements error.
func (e *SetupError) Error() string { return "measurement: " + e.What + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *SetupError) Unwrap() error { return e.Cause }

// StateError reports a state that the measurement did not bring about.
type StateError string

// Error implements error.
func (e StateError) Error() string { return "measurement: " + string(e) }
