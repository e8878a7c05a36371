package workload

import (
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"cranberrydrum.dev/coord/codec"
)

// Ending is the reason for which a run ended.
type Ending uint8

// Endings of runs.
const (
	EndDone Ending = iota + 1
	// EndFailed counts against the attempts of the task.
	EndFailed
	EndStopped
	// EndLeaseExpired is the end of a run by the expiry of the lease of its executor.
	EndLeaseExpired
	// EndGangBroken is the end of a gang member because another member ended.
	EndGangBroken
	// EndGangTimeout is the end of a gang member that waited too long for the other members.
	EndGangTimeout
	// EndNotStarted is the end of a run that certainly did not begin.
	EndNotStarted
	// EndExecutorGone is the end of a run whose executor incarnation has ended.
	EndExecutorGone
)

// String returns the name used in logs.
func (e Ending) String() string {
	names := [...]string{"unknown", "done", "failed", "stopped", "lapsed", "broken", "alone", "never_begun", "executor_gone"}
	if int(e) >= len(names) {
		return names[0]
	}
	return names[e]
}

// Start is the decision to run a task on an executor.
type Start struct {
	Task     TaskKey     `msgpack:"t"`
	Run      int         `msgpack:"r"`
	Executor ExecutorKey `msgpack:"e"`
}

// End is the end of a run.
type End struct {
	Task       TaskKey     `msgpack:"t"`
	Run        int         `msgpack:"r"`
	Executor   ExecutorKey `msgpack:"e"`
	Ending     Ending      `msgpack:"h"`
	Checkpoint string      `msgpack:"c,omitempty"`
	// Took is the measured run time of a run that is done, or 0. Earlier versions ignore it,
	// so nothing that they decide depends on it.
	Took time.Duration `msgpack:"d,omitempty"`
}

// Command is an entry of the replicated log. At is the Unix time at which the leader
// proposed it. Of the other parts only one is set.
type Command struct {
	At        time.Duration `msgpack:"a"`
	Configure *Config       `msgpack:"g,omitempty"`
	Submit    *Job          `msgpack:"j,omitempty"`
	Cancel    string        `msgpack:"c,omitempty"`
	Starts    []Start       `msgpack:"s,omitempty"`
	Ends      []End         `msgpack:"e,omitempty"`
	Purge     []string      `msgpack:"f,omitempty"`
	// Register adds or replaces an entry of the executor directory. Deregister removes the
	// entries of incarnations that have ended. Left is set if they deregistered
	// themselves, so that their late reports must be ignored.
	Register   *Executor     `msgpack:"n,omitempty"`
	Deregister []ExecutorKey `msgpack:"d,omitempty"`
	Left       bool          `msgpack:"l,omitempty"`
	// Evacuate is ignored by versions that do not know it.
	Evacuate *Evacuation `msgpack:"v,omitempty"`
}

// Split returns two commands that have the same effect one after the other. ok is false
// if the command has no list of several elements.
func (c *Command) Split() (first, second *Command, ok bool) {
	a, b := *c, *c
	switch {
	case len(c.Starts) > 1:
		middle := middleOfSteps(c.Starts)
		a.Starts, b.Starts = c.Starts[:middle], c.Starts[middle:]
	case len(c.Ends) > 1:
		a.Ends, b.Ends = halve(c.Ends)
	case len(c.Purge) > 1:
		a.Purge, b.Purge = halve(c.Purge)
	case len(c.Deregister) > 1:
		a.Deregister, b.Deregister = halve(c.Deregister)
	default:
		return nil, nil, false
	}
	return &a, &b, true
}

// middleOfSteps returns a place near the middle of several starts that divides no step, if
// there is one. The members of a gang are started by one command, because a leader that
// loses its lease between two would leave the gang incomplete.
func middleOfSteps(starts []Start) int {
	middle := len(starts) / 2
	for distance := range middle {
		for _, place := range [...]int{middle - distance, middle + distance} {
			if !sameStep(starts[place-1].Task, starts[place].Task) {
				return place
			}
		}
	}
	return middle
}

func sameStep(a, b TaskKey) bool {
	return a.Job == b.Job && a.Occurrence == b.Occurrence && a.Step == b.Step
}

func halve[T any](list []T) (first, second []T) {
	middle := len(list) / 2
	return list[:middle], list[middle:]
}

// Encode returns the command in the encoding of the log.
func (c *Command) Encode() ([]byte, error) { return msgpack.Marshal(c) }

// DecodeCommand reads a log entry.
func DecodeCommand(data []byte) (*Command, error) {
	c := &Command{}
	if err := codec.Unmarshal(data, c); err != nil {
		return nil, &CommandError{Cause: err}
	}
	return c, nil
}

// Result is the result of applying a command.
type Result byte

// Results of commands.
const (
	ResultApplied Result = iota + 1
	// ResultUnchanged is the result of the submission of a job that was accepted before,
	// and of a configuration that is not newer than the current one.
	ResultUnchanged
	ResultUnknownJob
	ResultInvalid
)

// String returns the name used in logs.
func (r Result) String() string {
	names := [...]string{"unknown", "applied", "unchanged", "unknown_job", "invalid"}
	if int(r) >= len(names) {
		return names[0]
	}
	return names[r]
}

// DecodeResult decodes a result of Apply.
func DecodeResult(data []byte) Result {
	if len(data) != 1 {
		return ResultInvalid
	}
	return Result(data[0])
}
