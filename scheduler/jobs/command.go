package jobs

import (
	"time"

	"cranberrydrum.dev/scheduler/placement"
	"cranberrydrum.dev/scheduler/structs"
)

// Kind is the type of a command in the log. The values are part of the log
// format and must not change.
type Kind uint8

// Command kinds.
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
	KindEvacuate       Kind = 14
)

// Command is the envelope of one log entry.
type Command struct {
	// Term is the term of the controller that issued the command. The state
	// rejects commands with a lower term than the highest one applied, which a
	// new leader establishes with Lead. Commands from callers have term 0 and
	// are not fenced.
	Term uint64
	// Clock is the domain clock when the command was issued.
	Clock time.Duration
	Body  Body
}

// Body is the payload of a command, with one struct type per kind.
type Body interface {
	kind() Kind
}

// Submit queues a job. Customer and name together are its idempotency key.
type Submit struct {
	Spec structs.JobSpec
}

// Cancel ends a queued job, or stops the gang of an active one.
type Cancel struct {
	Job string
	// Customer restricts the command to jobs of one customer; empty means any.
	Customer string
}

// RegisterWorker adds a worker, or records that it restarted, returned after
// being declared lost, or changed its hardware.
type RegisterWorker struct {
	Worker      structs.Worker
	Incarnation uint64
}

// RemoveWorker drains a worker: it gets no new work, and its jobs are stopped
// with a checkpoint that may take up to Grace. The record is removed once the
// worker's lease has expired and no job holds its accelerators.
type RemoveWorker struct {
	Worker string
	Grace  time.Duration
}

// ApplyPlan carries the starts and preemptions of one scheduling round.
type ApplyPlan struct {
	// Round is one more than the round of the last applied plan. The controller
	// compares it with the state to see that its plan was applied.
	Round    uint64
	Starts   []PlannedStart
	Preempts []PlannedPreempt
}

// PlannedStart reserves a gang. Run is the job's run number at planning time; the
// start is dropped if the job has since had another run.
type PlannedStart struct {
	Job     string
	Run     uint64
	Members []structs.Member
}

// PlannedPreempt stops run Run of Job to free accelerators for job For. With
// Checkpoint, the job first gets up to Grace to write a checkpoint.
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

// StopGang stops a gang immediately, because its checkpoint deadline has passed
// or the members in Unprepared did not prepare in time.
type StopGang struct {
	Job        string
	Run        uint64
	Unprepared []string
}

// ReportTasks records task reports of workers, in order of arrival.
type ReportTasks struct {
	Reports []MemberReport
}

// MemberReport reports the phase of one gang member's task.
type MemberReport struct {
	Worker string
	Job    string
	Run    uint64
	Phase  structs.TaskPhase
	Error  string
}

// WorkerLost records that the lease of a worker has expired. Epoch identifies
// the registration, so that a delayed duplicate of the command cannot affect a
// worker that has registered again.
type WorkerLost struct {
	Worker string
	Epoch  uint64
}

// SetConfig installs the part of a configuration that applies to this domain.
type SetConfig struct {
	Version  uint64
	Rules    placement.Rules
	Grants   []structs.Grant
	Topology structs.FailureDomain
}

// SetQuarantine sets or lifts the quarantine of a worker. A quarantined worker
// gets no work except for a probe.
type SetQuarantine struct {
	Worker      string
	Quarantined bool
	// Probe lets one job start on a quarantined worker.
	Probe bool
	// Strikes counts consecutive quarantines, and Until is the domain clock of
	// the next probe. Both are logged so that a new leader continues from them.
	Strikes int
	Until   time.Duration
}

// Forget deletes the oldest terminal jobs and lost workers beyond the given
// numbers.
type Forget struct {
	KeepJobs    int
	KeepWorkers int
}

// Lead establishes the term of its envelope. The state then rejects commands of
// earlier leaders.
type Lead struct{}

// Evacuate is an order of an operator to start nothing in the failure domain, or to
// use it again.
type Evacuate struct {
	Active bool
}

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
func (*Evacuate) kind() Kind       { return KindEvacuate }

// newBody returns an empty body of kind k, or nil if the kind is unknown.
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
	case KindEvacuate:
		return &Evacuate{}
	}
	return nil
}
