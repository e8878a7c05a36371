package fleet

import (
	"time"

	"cranberrydrum.dev/scheduler/workload"
)

// Settings are the bounds of the deployment that decisions depend on.
type Settings struct {
	// Lease is the longest time for which executors hold what runs.
	Lease time.Duration
	// StopTime is the longest time a stop takes.
	StopTime time.Duration
	// GangWait is how long a gang member waits for the others.
	GangWait time.Duration
	// Reclaim is the time in which a guaranteed job has to begin.
	Reclaim time.Duration
	// ReportInterval is the time between two reports of an executor.
	ReportInterval time.Duration
	// Retention is how long the state of an ended job can be read.
	Retention time.Duration
	// SpreadFactor is how much longer tasks take away from their rack.
	SpreadFactor float64
}

// Report is what an executor says of itself.
type Report struct {
	Executor workload.ExecutorKey
	// Sequence rises with each report of one life.
	Sequence int64
	Service  string
	Address  string
	Zone     string
	Draining bool
	// DrainRemaining is the least time that a draining executor stays.
	DrainRemaining time.Duration
	Capacity       workload.Resources
	Labels         []string
	// Clock is the reading of the executor's steady clock.
	Clock time.Duration
}

// CallKind is what a call asks of an executor.
type CallKind uint8

// Kinds of calls.
const (
	CallStart CallKind = iota + 1
	CallStop
	CallHold
	// CallAdvise asks the advice service which executors may run a step.
	CallAdvise
)

// String returns the name used in logs and metrics.
func (k CallKind) String() string {
	return [...]string{"none", "start", "stop", "hold", "advise"}[k]
}

// Call is an order to an executor.
type Call struct {
	Kind     CallKind
	Executor workload.ExecutorKey
	Address  string
	// Token fences off the calls of earlier leaders.
	Token uint64
	// IssuedAt is the time of the decision at this process.
	IssuedAt time.Duration
	// Deadline is the lease on the executor's clock, or 0 for none.
	Deadline time.Duration
	// Timeout is how long an answer is waited for.
	Timeout time.Duration

	Task       workload.TaskKey
	Run        int
	Payload    string
	Checkpoint string
	// Ticket allows the start on queues that need advice.
	Ticket string
	// Workers are the executors that a call for advice names.
	Workers []string

	// Cursor is the last end that is in the log.
	Cursor int64
	// Wait is how long the executor may hold the answer back.
	Wait time.Duration
}

// Verdict classifies the answer to a call.
type Verdict uint8

// Verdicts on calls.
const (
	// VerdictUnknown is a call without an answer; it may be carried out.
	VerdictUnknown Verdict = iota
	VerdictAccepted
	// VerdictFenced is the answer to a token that is too low.
	VerdictFenced
	// VerdictRefused is a call that had and will have no effect.
	VerdictRefused
	// VerdictNoRoom is a refused start for want of room.
	VerdictNoRoom
	// VerdictOtherLife is the answer of another life at the same address.
	VerdictOtherLife
	// VerdictNoTicket is a refused start for want of a valid ticket.
	VerdictNoTicket
	// VerdictNotSent is a call that was dropped before it was sent.
	VerdictNotSent
)

// String returns the name used in logs and metrics.
func (v Verdict) String() string {
	return [...]string{"no_answer", "accepted", "fenced", "refused", "no_room", "other_life", "no_ticket", "not_sent"}[v]
}

// RunningTask is an entry of what runs on an executor.
type RunningTask struct {
	Task       workload.TaskKey
	Run        int
	Checkpoint string
	// Percent is the progress, 0 to 100.
	Percent int
}

// EndedRun is an entry of what ended on an executor.
type EndedRun struct {
	Number     int64
	Task       workload.TaskKey
	Run        int
	Ending     workload.Ending
	Checkpoint string
}

// Answer is what an executor answered to a call.
type Answer struct {
	Verdict Verdict
	Reason  string
	// Born identifies the life that answered, or 0 if it did not say.
	Born  int64
	Clock time.Duration
	// Complete is set if Running and Ended were read.
	Complete bool
	Running  []RunningTask
	Ended    []EndedRun
	// Tickets names the executors that may run the step.
	Tickets []Ticket
}

// Output is what has to be done after a step.
type Output struct {
	Commands []*workload.Command
	Calls    []Call
}
