// Package target runs a deployment of the target size on one machine, with one
// process per host, and compares measured times and resource usage with their
// bounds.
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
	// LogDir is the directory of the logs of the hosts, which the run does not delete. If
	// it is empty, the logs are deleted with the other files of the run.
	LogDir string
	// Parts are the measurements to make once the failure domains are full. An
	// empty list selects all.
	Parts []Part
	// Progress receives progress lines. If it is nil, they are discarded.
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
	Step  string
	Cause error
}

// Error implements error.
func (e *SetupError) Error() string { return "target run: " + e.Step + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *SetupError) Unwrap() error { return e.Cause }

// StateError reports an expected state that the run did not reach.
type StateError string

// Error implements error.
func (e StateError) Error() string { return "target run: " + string(e) }

// size is the size of the deployment and the extent of each measurement.
type size struct {
	domains, hosts, workers, customers, guaranteed int
	// perWorker is the number of accelerators of a worker. 910 workers with 18
	// accelerators have capacity for the 16,000 tasks of the target size.
	perWorker int
	// fillAccelerators is the number of accelerators that jobs request in each
	// failure domain, without the backlog. It is the capacity of the workers.
	fillAccelerators int
	urgentGangs      []int
	// repeats is the number of urgent gangs of each size inside and outside the
	// guarantee.
	repeats  int
	changes  int
	idleTime time.Duration
	// linkWarmUp is the time for which requests fill the link before the first
	// configuration change.
	linkWarmUp time.Duration
	// restarts is the number of workers that restart one after the other, at
	// restartInterval.
	restarts        int
	restartInterval time.Duration
	// failovers is the number of leaders killed, one after the other.
	failovers int
}

func (o Options) size() size {
	if o.Quick {
		return size{
			domains: 2, hosts: 4, workers: 60, customers: 20, guaranteed: 3, perWorker: 18, fillAccelerators: 540,
			urgentGangs: []int{8, 32}, repeats: 1, changes: 4, idleTime: 2 * time.Second, linkWarmUp: time.Second,
			restarts: 4, restartInterval: 100 * time.Millisecond, failovers: 1,
		}
	}
	return size{
		domains: 4, hosts: 9, workers: 910, customers: 110, guaranteed: 8, perWorker: 18, fillAccelerators: 4_100,
		urgentGangs: []int{8, 32, 64}, repeats: 4, changes: 30, idleTime: 20 * time.Second, linkWarmUp: 4 * time.Second,
		restarts: 110, restartInterval: 300 * time.Millisecond, failovers: 4,
	}
}

func (o Options) progress(line string) {
	if o.Progress != nil {
		o.Progress(line)
	}
}
