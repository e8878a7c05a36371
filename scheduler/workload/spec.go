package workload

import (
	"math"
	"strings"
	"time"
)

// Limits of a submitted job. They bound the size of a job in the replicated log.
const (
	// MaxPayloadBytes is the size of the largest payload.
	MaxPayloadBytes = 4000
	// MaxNameBytes is the size of the longest name of an image, a label or a rack. References of
	// images with a registry, a tag and a digest are shorter.
	MaxNameBytes = 1024
	// MaxNamesBytes is the size of all these names of a job. The log keeps hundreds of entries in
	// memory, and names of the steps of the largest job have 256 bytes each on average.
	MaxNamesBytes = MaxSteps * 256
	// MaxSteps is the largest number of steps of a job.
	MaxSteps       = 256
	maxTasks       = 10_000
	maxOccurrences = 10_000
	// maxTaskRuns bounds the tasks of all occurrences.
	maxTaskRuns = 10 * maxTasks
	// maxDemand keeps the sum of a resource over these tasks in range.
	maxDemand = math.MaxInt64 / maxTaskRuns
)

// Resources is an amount of resources of an executor.
type Resources struct {
	// CPU is the number of millicores (thousandths of a core).
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

// Times returns a multiple. The demands of a valid job stay in range for all of its tasks.
func (r Resources) Times(n int64) Resources {
	return Resources{CPU: r.CPU * n, MemoryMB: r.MemoryMB * n, GPU: r.GPU * n}
}

// Max returns the larger amount of each resource.
func (r Resources) Max(o Resources) Resources {
	return Resources{CPU: max(r.CPU, o.CPU), MemoryMB: max(r.MemoryMB, o.MemoryMB), GPU: max(r.GPU, o.GPU)}
}

// Fits reports whether r is at most o in every resource.
func (r Resources) Fits(o Resources) bool {
	return r.CPU <= o.CPU && r.MemoryMB <= o.MemoryMB && r.GPU <= o.GPU
}

// Step is a group of equal tasks of a job; Count is their number.
type Step struct {
	Count  int       `msgpack:"n"`
	Demand Resources `msgpack:"r"`
	// Estimate is the run time of a task as estimated by the customer.
	Estimate time.Duration `msgpack:"e,omitempty"`
	// DependsOn lists the indexes, from 0, of earlier steps that must be done before
	// this step starts.
	DependsOn []int `msgpack:"d,omitempty"`
	// Checkpoints is set if a task can resume from a checkpoint.
	Checkpoints bool `msgpack:"k,omitempty"`
	// Gang is set if the tasks can run only all at the same time.
	Gang bool `msgpack:"G,omitempty"`
	// SameRack is set if the tasks run slower when they are spread over several racks.
	SameRack bool `msgpack:"S,omitempty"`
	// Requires is a label that the executor must carry.
	Requires string `msgpack:"l,omitempty"`
	// DataRack is the rack that holds the data of the tasks. They run slower on other
	// racks.
	DataRack string `msgpack:"a,omitempty"`
	// PerExecutor bounds the tasks of one occurrence on one executor; 0 means no
	// bound.
	PerExecutor int `msgpack:"p,omitempty"`
	// Speculative is set if copies of a task may run at the same time.
	Speculative bool `msgpack:"s,omitempty"`
	// LongRunning is set if the tasks run until the job is cancelled.
	LongRunning bool `msgpack:"L,omitempty"`
	// Image is the name of the image that the tasks run.
	Image string `msgpack:"i,omitempty"`
	// TailLatencyTarget is the objective for the tail latency of a task that serves users.
	TailLatencyTarget time.Duration `msgpack:"t,omitempty"`
	// BestEffort is set if the tasks use only CPU time that other tasks leave idle.
	BestEffort bool `msgpack:"f,omitempty"`
	// MaxUnavailable is the number of tasks of a long-running step that the scheduler may make
	// unavailable at the same time.
	MaxUnavailable int `msgpack:"y,omitempty"`
}

// Allocation returns the resources that a task of the step holds on an executor. A task of
// a step with BestEffort set holds no CPU.
func (s *Step) Allocation() Resources {
	allocation := s.Demand
	if s.BestEffort {
		allocation.CPU = 0
	}
	return allocation
}

// Traits returns the special properties of the step as a comma-separated list, for
// logs.
func (s *Step) Traits() string {
	traits := []struct {
		set  bool
		name string
	}{
		{s.Gang, "gang"}, {s.SameRack, "same_rack"}, {s.DataRack != "", "data"}, {s.Requires != "", "label"}, {s.PerExecutor > 0, "spread"},
		{s.Checkpoints, "checkpoints"}, {s.LongRunning, "long_running"}, {s.BestEffort, "fills"}, {s.Speculative, "speculative"},
		{s.TailLatencyTarget > 0, "target"}, {s.MaxUnavailable > 0, "may_miss"},
	}
	var names []string
	for _, t := range traits {
		if t.set {
			names = append(names, t.name)
		}
	}
	return strings.Join(names, ",")
}

// Spec is the specification of a job as submitted by the customer.
type Spec struct {
	// Payload is passed to the executors unchanged.
	Payload string `msgpack:"p,omitempty"`
	Steps   []Step `msgpack:"s"`
	// Repeats is the number of occurrences of the steps; 0 means one that is due at
	// once.
	Repeats int `msgpack:"r,omitempty"`
	// FirstDue is the Unix time at which the first occurrence is due.
	FirstDue time.Duration `msgpack:"f,omitempty"`
	// Interval is the time between the due times of consecutive occurrences.
	Interval time.Duration `msgpack:"i,omitempty"`
}

// Occurrences returns the number of times that the steps run.
func (s *Spec) Occurrences() int { return max(1, s.Repeats) }

// DueAt returns the Unix time before which an occurrence must not start.
func (s *Spec) DueAt(occurrence int) time.Duration {
	if s.Repeats == 0 {
		return 0
	}
	return s.FirstDue + time.Duration(occurrence)*s.Interval
}

// Validate returns an error if the job cannot be accepted.
func (s *Spec) Validate() error {
	if err := s.validateStructure(); err != nil {
		return err
	}
	switch {
	case len(s.Payload) > MaxPayloadBytes:
		return &SpecError{Field: "payload", Reason: "too long"}
	case s.Repeats > 1 && s.Interval <= 0:
		return &SpecError{Field: "interval", Reason: "must be positive"}
	case s.FirstDue < 0 || s.Interval < 0 || s.Interval > (math.MaxInt64-s.FirstDue)/time.Duration(s.Occurrences()):
		return &SpecError{Field: "due times", Reason: "out of range"}
	}
	estimates, names := time.Duration(0), 0
	for i := range s.Steps {
		if err := s.Steps[i].validate(i); err != nil {
			return err
		}
		if s.Steps[i].Estimate > math.MaxInt64-estimates {
			return &SpecError{Step: i, Field: "times", Reason: "out of range"}
		}
		estimates += s.Steps[i].Estimate
		if names += s.Steps[i].nameBytes(); names > MaxNamesBytes {
			return &SpecError{Step: i, Field: "names", Reason: "too long together"}
		}
	}
	return nil
}

// validateStructure checks the numbers of steps, tasks and occurrences and the
// dependencies, for which the state of the job is allocated.
func (s *Spec) validateStructure() error {
	switch {
	case len(s.Steps) == 0 || len(s.Steps) > MaxSteps:
		return &SpecError{Field: "steps", Reason: "empty or too many"}
	case s.Repeats < 0 || s.Repeats > maxOccurrences:
		return &SpecError{Field: "repeats", Reason: "out of range"}
	}
	tasks := 0
	for i := range s.Steps {
		if err := s.Steps[i].validateStructure(i); err != nil {
			return err
		}
		tasks += s.Steps[i].Count
	}
	if tasks > maxTasks || tasks*s.Occurrences() > maxTaskRuns {
		return &SpecError{Field: "count", Reason: "too many tasks"}
	}
	return nil
}

func (s *Step) validateStructure(position int) error {
	if s.Count <= 0 || s.Count > maxTasks {
		return &SpecError{Step: position, Field: "count", Reason: "out of range"}
	}
	for _, d := range s.DependsOn {
		if d < 0 || d >= position {
			return &SpecError{Step: position, Field: "dependencies", Reason: "not an earlier step"}
		}
	}
	return nil
}

// nameBytes is the size of the names in the step.
func (s *Step) nameBytes() int { return len(s.Image) + len(s.Requires) + len(s.DataRack) }

func (s *Step) validate(position int) error {
	switch {
	case len(s.Image) > MaxNameBytes || len(s.Requires) > MaxNameBytes || len(s.DataRack) > MaxNameBytes:
		return &SpecError{Step: position, Field: "names", Reason: "too long"}
	case s.Demand.CPU < 0 || s.Demand.MemoryMB < 0 || s.Demand.GPU < 0:
		return &SpecError{Step: position, Field: "resources", Reason: "negative"}
	case s.Demand.CPU > maxDemand || s.Demand.MemoryMB > maxDemand || s.Demand.GPU > maxDemand:
		return &SpecError{Step: position, Field: "resources", Reason: "out of range"}
	case s.Estimate < 0 || s.TailLatencyTarget < 0:
		return &SpecError{Step: position, Field: "times", Reason: "negative"}
	case s.PerExecutor < 0 || s.MaxUnavailable < 0:
		return &SpecError{Step: position, Field: "limits", Reason: "negative"}
	}
	return nil
}
