package workload

import "time"

// Phase is the phase of the life cycle of a job.
type Phase uint8

// Phases of jobs.
const (
	Queued Phase = iota
	Running
	Completed
	Failed
	Cancelled
)

// String returns the name used in logs.
func (p Phase) String() string {
	names := [...]string{"queued", "running", "completed", "failed", "cancelled"}
	if int(p) >= len(names) {
		return "unknown"
	}
	return names[p]
}

// Ended reports whether the phase is final.
func (p Phase) Ended() bool { return p >= Completed }

// TaskKey identifies a task.
type TaskKey struct {
	Job        string `msgpack:"j"`
	Occurrence int    `msgpack:"k"`
	Step       int    `msgpack:"s"`
	Index      int    `msgpack:"i"`
}

// ExecutorKey identifies one incarnation of an executor.
type ExecutorKey struct {
	ID string `msgpack:"i"`
	// Incarnation is the Unix time in milliseconds at which the incarnation started.
	Incarnation int64 `msgpack:"b"`
}

// Run is an attempt to run a task, which may be running on its executor. It holds
// resources of the executor until its end is committed.
type Run struct {
	Number   int         `msgpack:"n"`
	Executor ExecutorKey `msgpack:"e"`
	// Term is the term of the leader that started the run.
	Term uint64 `msgpack:"t"`
}

// Task is one of the equal units of work of a step.
type Task struct {
	Done bool `msgpack:"d,omitempty"`
	// LastRun is the highest run number used.
	LastRun int `msgpack:"l,omitempty"`
	// Failures is the number of failed runs, FailedRuns their run numbers.
	Failures   int    `msgpack:"f,omitempty"`
	FailedRuns []int  `msgpack:"a,omitempty"`
	Checkpoint string `msgpack:"c,omitempty"`
	Run        *Run   `msgpack:"r,omitempty"`
}

// StepState is the progress of a step in one occurrence.
type StepState struct {
	Tasks []Task `msgpack:"t"`
	// Remaining counts the tasks that are not done.
	Remaining int `msgpack:"r"`
	// Failures is the number of failed runs of a gang, FailedRuns their run numbers.
	Failures   int   `msgpack:"x,omitempty"`
	FailedRuns []int `msgpack:"a,omitempty"`
	// LastIncompleteRun is the highest number of a run that ended without its task being
	// done. Members of a gang with this run number or a lower one are stopped.
	LastIncompleteRun int `msgpack:"b,omitempty"`
	// Measured counts the done runs whose run time was measured, RunTimes is the sum of these
	// times. A new leader predicts run times from them. Hosts of earlier versions do not keep
	// them, and no command depends on them.
	Measured int           `msgpack:"m,omitempty"`
	RunTimes time.Duration `msgpack:"u,omitempty"`

	// idle counts the tasks that are neither done nor have a run, blockers the dependencies
	// that are not done. Both are derived.
	idle, blockers int32
}

// Idle returns the number of tasks that are neither done nor have a run.
func (s *StepState) Idle() int { return int(s.idle) }

// Occurrence is one repetition of the steps of a job.
type Occurrence struct {
	Steps []StepState `msgpack:"s"`
	// Remaining counts the steps that are not done.
	Remaining int `msgpack:"r"`

	// runs counts the tasks with a run. It is derived.
	runs int32
}

// Job is an accepted job.
type Job struct {
	ID string `msgpack:"i"`
	// Host, in lower case, and Prefix are the place of the queue at which the job was
	// accepted. The path of the job is Prefix followed by ID. QueueName is the name that
	// the queue had then.
	Host      string `msgpack:"H,omitempty"`
	Prefix    string `msgpack:"P,omitempty"`
	QueueName string `msgpack:"q"`
	// Service and Advice are those of the queue at the place of the job, or the last ones
	// while there is none.
	Service  string  `msgpack:"v"`
	Advice   *Advice `msgpack:"A,omitempty"`
	Customer string  `msgpack:"c"`
	Priority int     `msgpack:"p"`
	// MaxAttempts is the number of failed runs of a task, or of a gang, at which the
	// job fails; 0 means no bound.
	MaxAttempts int           `msgpack:"m"`
	Stretch     float64       `msgpack:"x"`
	Target      time.Duration `msgpack:"t"`
	// Submitted is the Unix time at which the leader accepted the job.
	Submitted time.Duration `msgpack:"u"`
	Spec      Spec          `msgpack:"s"`

	Phase Phase `msgpack:"h"`
	// Tombstone is set on the record of a cancel whose job was not submitted before.
	Tombstone bool `msgpack:"T,omitempty"`
	// Started is set once the job has had a run.
	Started bool `msgpack:"b"`
	// EndedAt is the Unix time of the command that ended the job, LastCancel that of the last
	// cancel.
	EndedAt     time.Duration `msgpack:"e,omitempty"`
	LastCancel  time.Duration `msgpack:"C,omitempty"`
	Occurrences []Occurrence  `msgpack:"o"`
	// Remaining counts the occurrences that are not done.
	Remaining int `msgpack:"r"`
	// Sequence numbers the jobs in the order of their acceptance.
	Sequence uint64 `msgpack:"n"`

	// queue is the queue of the job under the current configuration, or nil. It is derived.
	queue *Queue
	// progress counts what is left. It is derived.
	progress *progress
}

// initTasks allocates the occurrences, steps and tasks of an accepted job. The steps and the tasks
// of an occurrence are allocated together: one allocation for each step of each occurrence
// takes most of the time in which a large job is stored.
func (j *Job) initTasks() {
	count := 0
	for i := range j.Spec.Steps {
		count += j.Spec.Steps[i].Count
	}
	j.Remaining = j.Spec.Occurrences()
	j.Occurrences = make([]Occurrence, j.Remaining)
	for k := range j.Occurrences {
		o := &j.Occurrences[k]
		o.Remaining = len(j.Spec.Steps)
		o.Steps = make([]StepState, len(j.Spec.Steps))
		tasks := make([]Task, count)
		for i := range j.Spec.Steps {
			n := j.Spec.Steps[i].Count
			o.Steps[i] = StepState{Tasks: tasks[:n:n], Remaining: n}
			tasks = tasks[n:]
		}
	}
	j.indexProgress()
}

// RetainedSince returns the Unix time from which an ended job is retained: its end, or a later
// cancel, which promises that no submission of it runs.
func (j *Job) RetainedSince() time.Duration { return max(j.EndedAt, j.LastCancel) }

// Runnable reports whether a step has tasks that are not done and all steps that it
// depends on are done.
func (j *Job) Runnable(occurrence, step int) bool {
	o := &j.Occurrences[occurrence]
	for _, d := range j.Spec.Steps[step].DependsOn {
		if o.Steps[d].Remaining > 0 {
			return false
		}
	}
	return o.Steps[step].Remaining > 0
}

// Task returns a task, or nil if the job has no task with that key.
func (j *Job) Task(key TaskKey) *Task {
	if key.Occurrence < 0 || key.Occurrence >= len(j.Occurrences) {
		return nil
	}
	steps := j.Occurrences[key.Occurrence].Steps
	if key.Step < 0 || key.Step >= len(steps) {
		return nil
	}
	if key.Index < 0 || key.Index >= len(steps[key.Step].Tasks) {
		return nil
	}
	return &steps[key.Step].Tasks[key.Index]
}
