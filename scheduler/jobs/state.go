package jobs

import (
	"sort"
	"time"

	"cranberrydrum.dev/scheduler/structs"
)

// Limits of the replicated state. They are part of the state machine: all
// replicas must use the same values.
const (
	// MaxOpenJobs bounds the jobs that are not terminal. The target load is
	// 810 jobs a day and 16,000 running tasks; the bound admits bursts of many
	// small jobs.
	MaxOpenJobs = 50_000
	// MaxOpenPerCustomer keeps the burst of one customer from filling the
	// queue for all.
	MaxOpenPerCustomer = 20_000
	// MaxAttempts ends a job after this number of failed runs.
	MaxAttempts = 8
	// MaxFailedWorkers ends a job that has failed on this number of different
	// workers. It exceeds the number of bad workers that the platform has
	// shown at once (3), so those alone cannot end a job.
	MaxFailedWorkers = 4
	// MaxSpecBytes bounds name and command of a job, because orders repeat them.
	MaxSpecBytes = 16 << 10
	// MaxErrorBytes bounds the error text kept from a worker.
	MaxErrorBytes = 256
	// maxAvoid bounds the workers remembered as bad for one job.
	maxAvoid = 16
)

// State is the replicated job state of one failure domain.
type State struct {
	index   uint64
	term    uint64
	round   uint64
	clock   time.Duration
	nextJob uint64
	config  SetConfig

	jobs    map[string]*job
	names   map[nameKey]*job
	workers map[string]*worker
	// terminal holds the ended jobs, oldest first.
	terminal []*job
	// held counts the accelerators that each customer holds.
	held map[string]int
	// open counts the jobs of each customer that are not terminal.
	open map[string]int

	changes changeList
}

// nameKey identifies a submission.
type nameKey struct {
	customer, name string
}

// Result tells the proposer of a command what came of it.
type Result struct {
	// Job is the job that the command concerned.
	Job *structs.Job
	// Refusal is set if the command changed nothing.
	Refusal *structs.Refusal
	// Dropped lists the parts of a command that no longer fit the state.
	Dropped []Dropped
}

// Dropped is a part of a command that was not applied.
type Dropped struct {
	Job    string
	Worker string
	Reason string
}

// New returns an empty state. Until the first SetConfig it refuses jobs.
func New() *State {
	return &State{
		jobs:    map[string]*job{},
		names:   map[nameKey]*job{},
		workers: map[string]*worker{},
		held:    map[string]int{},
		open:    map[string]int{},
	}
}

// Apply executes one committed command. A command that does not fit the state
// changes nothing, and the result says why.
func (s *State) Apply(index uint64, c Command) Result {
	s.index = index
	if c.Term != 0 && c.Term < s.term {
		return refused(structs.CodeNotLeader, "the command was decided in an earlier term")
	}
	s.term = max(s.term, c.Term)
	s.clock = max(s.clock, c.Clock)
	switch b := c.Body.(type) {
	case *Submit:
		return s.submit(b)
	case *Cancel:
		return s.cancel(b)
	case *RegisterWorker:
		return s.registerWorker(b)
	case *RemoveWorker:
		return s.removeWorker(b)
	case *ApplyPlan:
		return s.applyPlan(b)
	case *StartGang:
		return s.startGang(b)
	case *StopGang:
		return s.stopGang(b)
	case *ReportTasks:
		return s.reportTasks(b)
	case *WorkerLost:
		return s.workerLost(b)
	case *SetConfig:
		return s.setConfig(b)
	case *SetQuarantine:
		return s.setQuarantine(b)
	case *Forget:
		return s.forget(b)
	case *Lead:
		return Result{}
	}
	return refused(structs.CodeInvalid, "unknown command")
}

// refused returns the result of a command that changed nothing.
func refused(code structs.Code, message string) Result {
	return Result{Refusal: structs.NotRun(code, message)}
}

// Index returns the index of the last applied command.
func (s *State) Index() uint64 { return s.index }

// Term returns the term of the last controller that led the domain.
func (s *State) Term() uint64 { return s.term }

// Clock returns the domain clock of the last applied command.
func (s *State) Clock() time.Duration { return s.clock }

// ConfigVersion returns the version of the configuration in force, 0 if none.
func (s *State) ConfigVersion() uint64 { return s.config.Version }

// Domain returns the name of the failure domain, empty before the first configuration.
func (s *State) Domain() string { return s.config.Rules.Domain }

// Job returns a copy of a job.
func (s *State) Job(id string) (structs.Job, bool) {
	j := s.jobs[id]
	if j == nil {
		return structs.Job{}, false
	}
	return j.copy(), true
}

// JobByName returns the job that a customer submitted under a name.
func (s *State) JobByName(customer, name string) (structs.Job, bool) {
	j := s.names[nameKey{customer, name}]
	if j == nil {
		return structs.Job{}, false
	}
	return j.copy(), true
}

// Jobs returns the jobs of a customer, or all jobs if it is empty, in order of
// submission.
func (s *State) Jobs(customer string) []structs.Job {
	var found []structs.Job
	for _, j := range s.sortedJobs() {
		if customer == "" || j.Spec.Customer == customer {
			found = append(found, j.copy())
		}
	}
	return found
}

// Workers returns all known workers, by ID.
func (s *State) Workers() []WorkerInfo {
	infos := make([]WorkerInfo, 0, len(s.workers))
	for _, w := range s.sortedWorkers() {
		infos = append(infos, w.info())
	}
	return infos
}

// sortedJobs returns the jobs in order of submission.
func (s *State) sortedJobs() []*job {
	list := make([]*job, 0, len(s.jobs))
	for _, j := range s.jobs {
		list = append(list, j)
	}
	sort.Slice(list, func(a, b int) bool { return list[a].seq < list[b].seq })
	return list
}

// sortedWorkers returns the workers by ID.
func (s *State) sortedWorkers() []*worker {
	list := make([]*worker, 0, len(s.workers))
	for _, w := range s.workers {
		list = append(list, w)
	}
	sort.Slice(list, func(a, b int) bool { return list[a].ID < list[b].ID })
	return list
}
