package workload

import (
	"github.com/vmihailenco/msgpack/v5"

	"cranberrydrum.dev/coord/codec"
)

// State is the replicated state. It implements replica.StateMachine.
type State struct {
	config Config
	jobs   map[string]*Job
	// executors is the directory of executors, by identifier.
	executors map[string]*Executor
	// sequence counts accepted jobs.
	sequence uint64
	// index and runs are derived and rebuilt after a snapshot.
	index *index
	runs  map[ExecutorKey]map[TaskKey]*Run
	// changes counts what Apply changed, so that a reader notices.
	changes uint64
	// ended lists the jobs that ended since they were last taken.
	ended []*Job
}

// New returns an empty state.
func New() *State {
	s := &State{jobs: map[string]*Job{}, executors: map[string]*Executor{}}
	s.rebuild()
	return s
}

// Config returns the configuration in force. Version 0 stands for none.
func (s *State) Config() *Config { return &s.config }

// Configured reports whether a configuration was ever accepted.
func (s *State) Configured() bool { return len(s.config.Document) > 0 }

// Changes counts the applied commands; it differs after each change.
func (s *State) Changes() uint64 { return s.changes }

// Match returns the queue that serves a path, or nil.
func (s *State) Match(host, path string) *Queue { return s.index.match(host, path) }

// QueueNamed returns a queue of the configuration in force, or nil.
func (s *State) QueueNamed(name string) *Queue { return s.index.queues[name] }

// CustomerOf returns the customer that holds a key.
func (s *State) CustomerOf(key string) (string, bool) {
	name, found := s.index.keys[key]
	return name, found
}

// Guaranteed returns the accelerators that are kept for a customer.
func (s *State) Guaranteed(customer string) int64 {
	if c := s.index.customers[customer]; c != nil {
		return c.GuaranteedGPU
	}
	return 0
}

// Service returns a pool of the configuration in force, or nil.
func (s *State) Service(name string) *Service { return s.index.services[name] }

// Job returns an accepted job, or nil.
func (s *State) Job(id string) *Job { return s.jobs[id] }

// Jobs calls f for every job, in no order.
func (s *State) Jobs(f func(*Job)) {
	for _, j := range s.jobs {
		f(j)
	}
}

// RunsOn returns the runs that occupy room on one life of an executor. The
// caller must not change the map.
func (s *State) RunsOn(executor ExecutorKey) map[TaskKey]*Run { return s.runs[executor] }

// Occupied calls f for every life of an executor that has runs.
func (s *State) Occupied(f func(ExecutorKey)) {
	for key := range s.runs {
		f(key)
	}
}

// maxEnded bounds the list of ended jobs where nobody takes it.
const maxEnded = 1000

// TakeEnded returns the jobs that ended since the last call.
func (s *State) TakeEnded() []*Job {
	ended := s.ended
	s.ended = nil
	return ended
}

func (s *State) noteEnded(j *Job) {
	if j.Phase.Ended() && len(s.ended) < maxEnded {
		s.ended = append(s.ended, j)
	}
}

// Pending counts the jobs of a queue of which no task has started.
func (s *State) Pending(queue string) int {
	n := 0
	for _, j := range s.jobs {
		if j.Queue == queue && !j.Started && !j.Phase.Ended() {
			n++
		}
	}
	return n
}

// TaskOf returns a task with its job, or nil.
func (s *State) TaskOf(key TaskKey) (*Job, *Task) {
	j := s.jobs[key.Job]
	if j == nil {
		return nil, nil
	}
	return j, j.Task(key)
}

// image is the serialized form of a State.
type image struct {
	Config   Config          `msgpack:"c"`
	Jobs     map[string]*Job `msgpack:"j"`
	Sequence uint64          `msgpack:"s"`

	Executors map[string]*Executor `msgpack:"x"`
}

// Snapshot implements replica.StateMachine.
func (s *State) Snapshot() ([]byte, error) {
	return msgpack.Marshal(&image{Config: s.config, Jobs: s.jobs, Sequence: s.sequence, Executors: s.executors})
}

// Restore implements replica.StateMachine.
func (s *State) Restore(data []byte) error {
	var i image
	if err := codec.Unmarshal(data, &i); err != nil {
		return &CommandError{Cause: err}
	}
	if i.Jobs == nil {
		i.Jobs = map[string]*Job{}
	}
	if i.Executors == nil {
		i.Executors = map[string]*Executor{}
	}
	s.config, s.jobs, s.sequence, s.executors = i.Config, i.Jobs, i.Sequence, i.Executors
	s.rebuild()
	return nil
}

// rebuild derives the indexes from the replicated part.
func (s *State) rebuild() {
	s.changes++
	s.index = newIndex(&s.config)
	s.runs = map[ExecutorKey]map[TaskKey]*Run{}
	for _, j := range s.jobs {
		for k := range j.Occurrences {
			for step := range j.Occurrences[k].Steps {
				tasks := j.Occurrences[k].Steps[step].Tasks
				for i := range tasks {
					if tasks[i].Run != nil {
						s.occupy(TaskKey{Job: j.ID, Occurrence: k, Step: step, Index: i}, tasks[i].Run)
					}
				}
			}
		}
	}
}

func (s *State) occupy(key TaskKey, run *Run) {
	on := s.runs[run.Executor]
	if on == nil {
		on = map[TaskKey]*Run{}
		s.runs[run.Executor] = on
	}
	on[key] = run
}

func (s *State) vacate(key TaskKey, run *Run) {
	delete(s.runs[run.Executor], key)
	if len(s.runs[run.Executor]) == 0 {
		delete(s.runs, run.Executor)
	}
}
