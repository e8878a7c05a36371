// Package target runs a deployment of the target size on one machine, with one
// process per host, and measures the promises that have a bound in time.
package target

import (
	"slices"
	"strconv"
	"time"
)

// Options select what Run does.
type Options struct {
	Seed uint64
	// Quick runs a small deployment with few repetitions.
	Quick bool
	// Daemon is the path of the cranberrydrumd binary.
	Daemon string
	// Parts are the measurements to make once the failure domains are full;
	// none selects all.
	Parts []Part
	// Progress receives one line for each phase; nil drops them.
	Progress func(line string)
}

// Part is one of the measurements.
type Part string

// Parts in the order in which they run.
const (
	PartIdle     Part = "idle"
	PartConfig   Part = "config"
	PartLink     Part = "link"
	PartUrgent   Part = "urgent"
	PartRestarts Part = "restarts"
	PartLeader   Part = "leader"
)

// Parts returns all parts in the order in which they run.
func Parts() []Part {
	return []Part{PartIdle, PartConfig, PartLink, PartUrgent, PartRestarts, PartLeader}
}

// UnknownPartError reports a part that does not exist.
type UnknownPartError struct{ Part Part }

// Error implements error.
func (e *UnknownPartError) Error() string {
	return "unknown part " + strconv.Quote(string(e.Part)) + "; allowed: idle, config, link, urgent, restarts, leader"
}

func (o Options) parts() ([]Part, error) {
	for _, p := range o.Parts {
		if !slices.Contains(Parts(), p) {
			return nil, &UnknownPartError{Part: p}
		}
	}
	if len(o.Parts) > 0 {
		return o.Parts, nil
	}
	return Parts(), nil
}

// SetupError reports a deployment that could not be set up.
type SetupError struct {
	What  string
	Cause error
}

// Error implements error.
func (e *SetupError) Error() string { return "target run: " + e.What + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *SetupError) Unwrap() error { return e.Cause }

// StateError reports a state that the run did not reach.
type StateError string

// Error implements error.
func (e StateError) Error() string { return "target run: " + string(e) }

// size is the shape of a run.
type size struct {
	domains, hosts, workers, customers, guaranteed int
	// perWorker is the number of accelerators of a worker. 910 workers with 18
	// have room for the 16,000 tasks of the target size.
	perWorker int
	// fill is the number of accelerators that jobs ask for in each failure
	// domain, beside the backlog. It is what the workers have.
	fill  int
	gangs []int
	// repeats is the number of urgent gangs of each kind.
	repeats int
	changes int
	idle    time.Duration
	// linkWarmUp is how long requests fill the link before changes are made.
	linkWarmUp time.Duration
	// restarts workers restart one after the other at this distance.
	restarts        int
	restartDistance time.Duration
	// failovers is the number of leaders lost, one after the other.
	failovers int
}

func (o Options) size() size {
	if o.Quick {
		return size{
			domains: 2, hosts: 4, workers: 60, customers: 20, guaranteed: 3, perWorker: 18, fill: 540,
			gangs: []int{8, 32}, repeats: 1, changes: 4, idle: 2 * time.Second, linkWarmUp: time.Second,
			restarts: 4, restartDistance: 100 * time.Millisecond, failovers: 1,
		}
	}
	return size{
		domains: 4, hosts: 9, workers: 910, customers: 110, guaranteed: 8, perWorker: 18, fill: 4_100,
		gangs: []int{8, 32, 64}, repeats: 4, changes: 30, idle: 20 * time.Second, linkWarmUp: 4 * time.Second,
		restarts: 110, restartDistance: 300 * time.Millisecond, failovers: 4,
	}
}

func (o Options) progress(line string) {
	if o.Progress != nil {
		o.Progress(line)
	}
}
