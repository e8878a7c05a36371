package workload

import (
	"strings"
	"time"
)

// Limits of a submitted job. They bound what one job costs the log.
const (
	maxPayloadBytes = 4000
	maxSteps        = 256
	maxTasks        = 10_000
	maxOccurrences  = 10_000
)

// Resources is an amount of room on an executor.
type Resources struct {
	// CPU is in thousandths of a core.
	CPU      int64 `msgpack:"c,omitempty"`
	MemoryMB int64 `msgpack:"m,omitempty"`
	GPU      int64 `msgpack:"g,omitempty"`
}

// Add returns the sum.
func (r Resources) Add(o Resources) Resources {
	return Resources{CPU: r.CPU + o.CPU, MemoryMB: r.MemoryMB + o.MemoryMB, GPU: r.GPU + o.GPU}
}

// Sub returns the difference, which may be negative.
func (r Resources) Sub(o Resources) Resources {
	return Resources{CPU: r.CPU - o.CPU, MemoryMB: r.MemoryMB - o.MemoryMB, GPU: r.GPU - o.GPU}
}

// Fits reports whether r lies within the room o.
func (r Resources) Fits(o Resources) bool {
	return r.CPU <= o.CPU && r.MemoryMB <= o.MemoryMB && r.GPU <= o.GPU
}

// Step is a number of equal tasks of a job.
type Step struct {
	Count int       `msgpack:"n"`
	Need  Resources `msgpack:"r"`
	// Estimate is the submitter's guess of the run time of a task.
	Estimate time.Duration `msgpack:"e,omitempty"`
	// DependsOn lists earlier steps, from 0, all of whose tasks end first.
	DependsOn []int `msgpack:"d,omitempty"`
	// Checkpoints is set if a task can resume from a saved position.
	Checkpoints bool `msgpack:"k,omitempty"`
	// Gang is set if the tasks work only all together.
	Gang bool `msgpack:"G,omitempty"`
	// SameRack is set if the tasks are slower when spread over racks.
	SameRack bool `msgpack:"S,omitempty"`
	// Requires is a label that the executor must carry.
	Requires string `msgpack:"l,omitempty"`
	// DataRack is the rack on which the tasks are not slowed by distance.
	DataRack string `msgpack:"a,omitempty"`
	// PerExecutor bounds the tasks of one occurrence on one executor; 0 is no bound.
	PerExecutor int `msgpack:"p,omitempty"`
	// Speculative allows copies of a task to run at the same time.
	Speculative bool `msgpack:"s,omitempty"`
	// LongRunning tasks run until the job is cancelled.
	LongRunning bool `msgpack:"L,omitempty"`
	// Image names what the tasks run.
	Image string `msgpack:"i,omitempty"`
	// TailTarget bounds the response times of a task that serves users.
	TailTarget time.Duration `msgpack:"t,omitempty"`
	// Fills is set if the tasks use only processor time that others leave.
	Fills bool `msgpack:"f,omitempty"`
	// MayMiss bounds the tasks of a long-running step that may be unavailable
	// at the same time by an order of the scheduler.
	MayMiss int `msgpack:"y,omitempty"`
}

// Room returns what a task of the step occupies on an executor.
func (s *Step) Room() Resources {
	need := s.Need
	if s.Fills {
		need.CPU = 0
	}
	return need
}

// Traits lists what is special about the step, for logs.
func (s *Step) Traits() string {
	traits := []struct {
		set  bool
		name string
	}{
		{s.Gang, "gang"}, {s.SameRack, "same_rack"}, {s.DataRack != "", "data"}, {s.Requires != "", "label"}, {s.PerExecutor > 0, "spread"},
		{s.Checkpoints, "checkpoints"}, {s.LongRunning, "long_running"}, {s.Fills, "fills"}, {s.Speculative, "speculative"},
		{s.TailTarget > 0, "target"}, {s.MayMiss > 0, "may_miss"},
	}
	var names []string
	for _, t := range traits {
		if t.set {
			names = append(names, t.name)
		}
	}
	return strings.Join(names, ",")
}

// Spec is a job as its customer submitted it.
type Spec struct {
	// Payload is handed to the executors as it is.
	Payload string `msgpack:"p,omitempty"`
	Steps   []Step `msgpack:"s"`
	// Repeats is how many times the steps run; 0 is once, and at once.
	Repeats int `msgpack:"r,omitempty"`
	// FirstDue is the Unix time of the first repetition.
	FirstDue time.Duration `msgpack:"f,omitempty"`
	// Interval is the time between the due times of two repetitions.
	Interval time.Duration `msgpack:"i,omitempty"`
}

// Occurrences returns how many times the steps run.
func (s *Spec) Occurrences() int { return max(1, s.Repeats) }

// DueAt returns the Unix time before which an occurrence must not start.
func (s *Spec) DueAt(occurrence int) time.Duration {
	if s.Repeats == 0 {
		return 0
	}
	return s.FirstDue + time.Duration(occurrence)*s.Interval
}

// Validate reports why the job cannot be accepted, or nil.
func (s *Spec) Validate() error {
	switch {
	case len(s.Payload) > maxPayloadBytes:
		return &SpecError{Field: "payload", Reason: "too long"}
	case len(s.Steps) == 0 || len(s.Steps) > maxSteps:
		return &SpecError{Field: "steps", Reason: "empty or too many"}
	case s.Repeats < 0 || s.Repeats > maxOccurrences:
		return &SpecError{Field: "repeats", Reason: "out of range"}
	case s.Repeats > 1 && s.Interval <= 0:
		return &SpecError{Field: "interval", Reason: "must be positive"}
	}
	tasks := 0
	for i := range s.Steps {
		if err := s.Steps[i].validate(i); err != nil {
			return err
		}
		tasks += s.Steps[i].Count
	}
	if tasks > maxTasks || tasks*s.Occurrences() > 10*maxTasks {
		return &SpecError{Field: "count", Reason: "too many tasks"}
	}
	return nil
}

func (s *Step) validate(position int) error {
	switch {
	case s.Count <= 0 || s.Count > maxTasks:
		return &SpecError{Step: position, Field: "count", Reason: "out of range"}
	case s.Need.CPU < 0 || s.Need.MemoryMB < 0 || s.Need.GPU < 0:
		return &SpecError{Step: position, Field: "resources", Reason: "negative"}
	case s.PerExecutor < 0 || s.MayMiss < 0:
		return &SpecError{Step: position, Field: "limits", Reason: "negative"}
	}
	for _, d := range s.DependsOn {
		if d < 0 || d >= position {
			return &SpecError{Step: position, Field: "dependencies", Reason: "not an earlier step"}
		}
	}
	return nil
}
