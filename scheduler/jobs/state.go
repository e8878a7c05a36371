package jobs

import (
	"sort"
	"time"

	"cranberrydrum.dev/scheduler/structs"
)

// Limits of the replicated state. They are part of the state machine, so all
// replicas must use the same values.
const (
	// MaxOpenJobs bounds the number of jobs that are not terminal. The target
	// load is 810 jobs a day and 16,000 running tasks; the limit leaves room
	// for bursts of many small jobs.
	MaxOpenJobs = 50_000
	// MaxOpenPerCustomer bounds the jobs of one customer that are not terminal,
	// so that one customer cannot fill the queue for all.
	MaxOpenPerCustomer = 20_000
	// MaxAttempts is the number of failed runs after which a job ends as
	// failed.
	MaxAttempts = 8
	// MaxFailedWorkers is the number of distinct workers with a failed run
	// after which a job ends as failed. It exceeds the number of bad workers
	// that the users' platform has had at the same time (3), so bad workers
	// alone cannot end a job.
	MaxFailedWorkers = 4
	// MaxSpecBytes bounds the total length of a job's name and command, because
	// orders repeat them.
	MaxSpecBytes = 16 << 10
	// MaxErrorBytes bounds the stored error text of a worker.
	MaxErrorBytes = 256
	// maxAvoid bounds the list of workers that one job avoids.
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
	use     DomainUse

	jobs    map[string]*job
	names   map[nameKey]*job
	workers map[string]*worker
	// terminal holds the terminal jobs in order of their end.
	terminal []*job
	// allocated counts the accelerators allocated to each customer.
	allocated map[string]int
	// openJobs counts the jobs of each customer that are not terminal.
	openJobs map[string]int

	changes changeList
}

// nameKey is the idempotency key of a submission.
type nameKey struct {
	customer, name string
}

// Result is the outcome of a command, returned to its proposer.
type Result struct {
	// Job is the job that the command concerned.
	Job *structs.Job
	// Refusal is set if the command changed nothing.
	Refusal *structs.Refusal
	// Dropped lists the parts of the command that were no longer valid.
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
		jobs:      map[string]*job{},
		names:     map[nameKey]*job{},
		workers:   map[string]*worker{},
		allocated: map[string]int{},
		openJobs:  map[string]int{},
	}
}

// Apply executes one committed command. A command that is not valid in the
// current state leaves jobs, workers and configuration unchanged, and the result
// contains the refusal.
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
	case *Evacuate:
		return s.evacuate(b)
	}
	return refused(structs.CodeInvalid, "unknown command")
}

// refused returns the result of a refused command.
func refused(code structs.Code, message string) Result {
	return Result{Refusal: structs.RefuseNotRun(code, message)}
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

// JobByName returns a copy of the job that a customer submitted under a name.
func (s *State) JobByName(customer, name string) (structs.Job, bool) {
	j := s.names[nameKey{customer, name}]
	if j == nil {
		return structs.Job{}, false
	}
	return j.copy(), true
}

// Jobs returns copies of the jobs of a customer in order of submission. An empty
// customer selects all jobs.
func (s *State) Jobs(customer string) []structs.Job {
	var found []structs.Job
	for _, j := range s.sortedJobs() {
		if customer == "" || j.Spec.Customer == customer {
			found = append(found, j.copy())
		}
	}
	return found
}

// Workers returns all known workers in order of ID.
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

// sortedWorkers returns the workers in order of ID.
func (s *State) sortedWorkers() []*worker {
	list := make([]*worker, 0, len(s.workers))
	for _, w := range s.workers {
		list = append(list, w)
	}
	sort.Slice(list, func(a, b int) bool { return list[a].ID < list[b].ID })
	return list
}
