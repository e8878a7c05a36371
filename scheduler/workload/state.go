package workload

import (
	"github.com/vmihailenco/msgpack/v5"

	"cranberrydrum.dev/coord/codec"
)

// State is the replicated state of jobs, configuration and executors. It implements
// replica.StateMachine.
type State struct {
	config Config
	jobs   map[string]*Job
	// executors is the executor directory, by executor identifier.
	executors map[string]*Executor
	// departures holds the executors that deregistered themselves, by executor
	// identifier.
	departures map[string]departure
	// domains holds the use of the failure domains about which there was an order.
	domains map[string]DomainUse
	// sequence is the number of jobs accepted so far.
	sequence uint64
	// index and runs are derived from the replicated state and rebuilt after a
	// snapshot is restored.
	index *index
	runs  map[ExecutorKey]map[TaskKey]*Run
	// tombstones counts the tombstones of each customer. It is derived like runs.
	tombstones map[string]int
	// evacuated counts the evacuated failure domains. It is derived like runs.
	evacuated int
	// jobBytes is the memory that the jobs take. It is derived like runs.
	jobBytes int64
	// changes counts the applied commands and restored snapshots.
	changes uint64
	// active holds the jobs that have not ended. It is derived like runs.
	active map[string]*Job
	// changeList lists what the latest commands changed. It is derived like runs.
	changeList changeList
	// ended lists the jobs that ended since the last call of TakeEndedJobs.
	ended []*Job
}

// New returns an empty state.
func New() *State {
	s := &State{jobs: map[string]*Job{}, executors: map[string]*Executor{}, departures: map[string]departure{}, domains: map[string]DomainUse{}}
	s.rebuild()
	return s
}

// Config returns the current configuration. Version 0 means that there is none.
func (s *State) Config() *Config { return &s.config }

// Configured reports whether a configuration was accepted.
func (s *State) Configured() bool { return len(s.config.Document) > 0 }

// Changes returns a counter that increases with every applied command, so that
// callers can detect changes of the state.
func (s *State) Changes() uint64 { return s.changes }

// Match returns the queue for a host and a path, or nil.
func (s *State) Match(host, path string) *Queue { return s.index.match(host, path) }

// CustomerOf returns the customer that holds a key.
func (s *State) CustomerOf(key string) (string, bool) {
	name, found := s.index.keys[key]
	return name, found
}

// HasCustomer reports whether the current configuration lists a customer.
func (s *State) HasCustomer(name string) bool { return s.index.customers[name] != nil }

// Guaranteed returns the number of accelerators guaranteed to a customer.
func (s *State) Guaranteed(customer string) int64 {
	if c := s.index.customers[customer]; c != nil {
		return c.GuaranteedGPU
	}
	return 0
}

// Job returns an accepted job, or nil.
func (s *State) Job(id string) *Job { return s.jobs[id] }

// Jobs calls f for every job, in no particular order.
func (s *State) Jobs(f func(*Job)) {
	for _, j := range s.jobs {
		f(j)
	}
}

// ActiveJobs calls f for every job that has not ended, in no particular order.
func (s *State) ActiveJobs(f func(*Job)) {
	for _, j := range s.active {
		f(j)
	}
}

// RunsOn returns the runs on one incarnation of an executor. The caller must not
// modify the map.
func (s *State) RunsOn(executor ExecutorKey) map[TaskKey]*Run { return s.runs[executor] }

// EachExecutorWithRuns calls f for every incarnation of an executor that has runs.
func (s *State) EachExecutorWithRuns(f func(ExecutorKey)) {
	for key := range s.runs {
		f(key)
	}
}

// maxEnded bounds the list of ended jobs while TakeEndedJobs is not called.
const maxEnded = 1000

// TakeEndedJobs returns the jobs that ended since the last call.
func (s *State) TakeEndedJobs() []*Job {
	ended := s.ended
	s.ended = nil
	return ended
}

// recordEnded adds a job to the list of ended jobs if it has ended.
func (s *State) recordEnded(j *Job) {
	if j.Phase.Ended() {
		delete(s.active, j.ID)
	}
	if j.Phase.Ended() && len(s.ended) < maxEnded {
		s.ended = append(s.ended, j)
	}
}

// TaskOf returns a task and its job, each nil if it does not exist.
func (s *State) TaskOf(key TaskKey) (*Job, *Task) {
	j := s.jobs[key.Job]
	if j == nil {
		return nil, nil
	}
	return j, j.Task(key)
}

// snapshot is the serialized form of a State.
type snapshot struct {
	Config   Config          `msgpack:"c"`
	Jobs     map[string]*Job `msgpack:"j"`
	Sequence uint64          `msgpack:"s"`

	Executors  map[string]*Executor `msgpack:"x"`
	Departures map[string]departure `msgpack:"l,omitempty"`
	Domains    map[string]DomainUse `msgpack:"v,omitempty"`
}

// Snapshot implements replica.StateMachine.
func (s *State) Snapshot() ([]byte, error) {
	return msgpack.Marshal(&snapshot{
		Config: s.config, Jobs: s.jobs, Sequence: s.sequence, Executors: s.executors, Departures: s.departures, Domains: s.domains,
	})
}

// Restore implements replica.StateMachine.
func (s *State) Restore(data []byte) error {
	var restored snapshot
	if err := codec.Unmarshal(data, &restored); err != nil {
		return &CommandError{Cause: err}
	}
	if restored.Jobs == nil {
		restored.Jobs = map[string]*Job{}
	}
	if restored.Executors == nil {
		restored.Executors = map[string]*Executor{}
	}
	if restored.Departures == nil {
		restored.Departures = map[string]departure{}
	}
	if restored.Domains == nil {
		restored.Domains = map[string]DomainUse{}
	}
	s.config, s.jobs, s.sequence = restored.Config, restored.Jobs, restored.Sequence
	s.executors, s.departures, s.domains = restored.Executors, restored.Departures, restored.Domains
	s.rebuild()
	return nil
}

// rebuild derives index and runs from the replicated state.
func (s *State) rebuild() {
	s.changes++
	s.index = newIndex(&s.config)
	s.bindAll()
	s.countEvacuated()
	s.runs, s.active = map[ExecutorKey]map[TaskKey]*Run{}, map[string]*Job{}
	s.tombstones, s.jobBytes = map[string]int{}, 0
	for _, j := range s.jobs {
		s.count(j, 1)
		s.addActive(j)
		j.indexProgress()
		for k := range j.Occurrences {
			for step := range j.Occurrences[k].Steps {
				tasks := j.Occurrences[k].Steps[step].Tasks
				for i := range tasks {
					if tasks[i].Run != nil {
						s.addRun(TaskKey{Job: j.ID, Occurrence: k, Step: step, Index: i}, tasks[i].Run)
					}
				}
			}
		}
	}
	s.changeList.invalidate()
}

// addActive adds a job to those that have not ended, unless it has.
func (s *State) addActive(j *Job) {
	if !j.Phase.Ended() {
		s.active[j.ID] = j
	}
}

// addRun adds a run to the runs of its executor.
func (s *State) addRun(key TaskKey, run *Run) {
	executorRuns := s.runs[run.Executor]
	if executorRuns == nil {
		executorRuns = map[TaskKey]*Run{}
		s.runs[run.Executor] = executorRuns
	}
	executorRuns[key] = run
	s.executorChanged(run.Executor)
	s.stepChanged(key)
}

// removeRun removes a run from the runs of its executor.
func (s *State) removeRun(key TaskKey, run *Run) {
	delete(s.runs[run.Executor], key)
	if len(s.runs[run.Executor]) == 0 {
		delete(s.runs, run.Executor)
	}
	s.executorChanged(run.Executor)
	s.stepChanged(key)
}
