package jobs

import (
	"time"

	"cranberrydrum.dev/scheduler/placement"
	"cranberrydrum.dev/scheduler/structs"
)

// Kind tells the commands apart in the log. The values are part of the log
// format and must not change.
type Kind uint8

// Kinds of commands.
const (
	KindSubmit         Kind = 1
	KindCancel         Kind = 2
	KindRegisterWorker Kind = 3
	KindRemoveWorker   Kind = 4
	KindApplyPlan      Kind = 5
	KindStartGang      Kind = 6
	KindStopGang       Kind = 7
	KindReportTasks    Kind = 8
	KindWorkerLost     Kind = 9
	KindSetConfig      Kind = 10
	KindSetQuarantine  Kind = 11
	KindForget         Kind = 12
	KindLead           Kind = 13
)

// Command is the envelope of one logged change.
type Command struct {
	// Term is the term of the controller that decided the command. The state
	// drops commands of an earlier term than the last Lead. 0 is not fenced
	// and is used for the commands of callers.
	Term uint64
	// Clock is the domain clock when the command was decided.
	Clock time.Duration
	Body  Body
}

// Body is the content of a command, one struct per kind.
type Body interface {
	kind() Kind
}

// Submit queues a job. It is idempotent by customer and name.
type Submit struct {
	Spec structs.JobSpec
}

// Cancel ends a queued job or stops a running one.
type Cancel struct {
	Job string
	// Customer limits the change to jobs of one customer; empty means any.
	Customer string
}

// RegisterWorker adds a worker, or takes note of its restart or return.
type RegisterWorker struct {
	Worker      structs.Worker
	Incarnation uint64
}

// RemoveWorker marks a worker that leaves: it gets no new work, and its jobs
// are stopped with a checkpoint, bounded by Grace. The record is removed when
// the worker's lease is over.
type RemoveWorker struct {
	Worker string
	Grace  time.Duration
}

// ApplyPlan carries the starts and preemptions of one scheduling round.
type ApplyPlan struct {
	// Round numbers the rounds of a term.
	Round    uint64
	Starts   []PlannedStart
	Preempts []PlannedPreempt
}

// PlannedStart reserves a gang. Run is the run of the job when it was planned.
type PlannedStart struct {
	Job     string
	Run     uint64
	Members []structs.Member
}

// PlannedPreempt stops run Run of a job.
type PlannedPreempt struct {
	Job        string
	For        string
	Run        uint64
	Checkpoint bool
	Grace      time.Duration
}

// StartGang starts a reserved gang whose members have all prepared.
type StartGang struct {
	Job string
	Run uint64
}

// StopGang stops a gang at once: its checkpoint deadline is over, or some
// members did not prepare in time.
type StopGang struct {
	Job        string
	Run        uint64
	Unprepared []string
}

// ReportTasks records what workers have reported, in order of arrival.
type ReportTasks struct {
	Reports []MemberReport
}

// MemberReport is the report of one member of a gang.
type MemberReport struct {
	Worker string
	Job    string
	Run    uint64
	Phase  structs.TaskPhase
	Error  string
}

// WorkerLost records that the lease of a worker is over. Epoch is the
// registration that it refers to, so that a late copy of the command cannot
// affect a worker that has returned.
type WorkerLost struct {
	Worker string
	Epoch  uint64
}

// SetConfig installs the part of a configuration that concerns this domain.
type SetConfig struct {
	Version  uint64
	Rules    placement.Rules
	Grants   []structs.Grant
	Topology structs.FailureDomain
}

// SetQuarantine changes whether a worker gets work.
type SetQuarantine struct {
	Worker      string
	Quarantined bool
	// Probe admits one job to a quarantined worker.
	Probe bool
	// Strikes counts the quarantines in a row and Until is the domain clock
	// of the next probe; a new leader resumes from both.
	Strikes int
	Until   time.Duration
}

// Forget drops the oldest terminal jobs and lost workers beyond the given numbers.
type Forget struct {
	KeepJobs    int
	KeepWorkers int
}

// Lead records that the controller of the envelope's term leads the domain.
type Lead struct{}

func (*Submit) kind() Kind         { return KindSubmit }
func (*Cancel) kind() Kind         { return KindCancel }
func (*RegisterWorker) kind() Kind { return KindRegisterWorker }
func (*RemoveWorker) kind() Kind   { return KindRemoveWorker }
func (*ApplyPlan) kind() Kind      { return KindApplyPlan }
func (*StartGang) kind() Kind      { return KindStartGang }
func (*StopGang) kind() Kind       { return KindStopGang }
func (*ReportTasks) kind() Kind    { return KindReportTasks }
func (*WorkerLost) kind() Kind     { return KindWorkerLost }
func (*SetConfig) kind() Kind      { return KindSetConfig }
func (*SetQuarantine) kind() Kind  { return KindSetQuarantine }
func (*Forget) kind() Kind         { return KindForget }
func (*Lead) kind() Kind           { return KindLead }

// newBody returns an empty body of a kind, or nil if the kind is unknown.
func newBody(k Kind) Body {
	switch k {
	case KindSubmit:
		return &Submit{}
	case KindCancel:
		return &Cancel{}
	case KindRegisterWorker:
		return &RegisterWorker{}
	case KindRemoveWorker:
		return &RemoveWorker{}
	case KindApplyPlan:
		return &ApplyPlan{}
	case KindStartGang:
		return &StartGang{}
	case KindStopGang:
		return &StopGang{}
	case KindReportTasks:
		return &ReportTasks{}
	case KindWorkerLost:
		return &WorkerLost{}
	case KindSetConfig:
		return &SetConfig{}
	case KindSetQuarantine:
		return &SetQuarantine{}
	case KindForget:
		return &Forget{}
	case KindLead:
		return &Lead{}
	}
	return nil
}
