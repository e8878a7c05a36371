package fleet

import (
	"time"

	"cranberrydrum.dev/scheduler/workload"
)

// Settings are the time limits and factors of the deployment that decisions
// depend on.
type Settings struct {
	// Lease is the longest time for which an executor's lease is granted.
	Lease time.Duration
	// StopTime is the longest time that a stop takes.
	StopTime time.Duration
	// GangWait is how long a gang member waits for the others.
	GangWait time.Duration
	// ReclaimTime is the time within which a guaranteed job must start.
	ReclaimTime time.Duration
	// ReportInterval is the time between two reports of an executor.
	ReportInterval time.Duration
	// Retention is how long at least the state of an ended job can be read.
	Retention time.Duration
	// SpreadFactor is the factor by which tasks take longer away from their
	// preferred rack.
	SpreadFactor float64
	// MaxLongPolls is the number of executors whose holds may wait for an end at
	// the same time, because each of them occupies a connection; 0 means no bound.
	MaxLongPolls int
	// RoundTime is the time that the placement of waiting tasks may take at once; what is left
	// goes on in the next round. 0 means no bound.
	RoundTime time.Duration
	// Elapsed reads a clock with which the parts of a round are measured, for metrics. No decision
	// depends on it; nil means that nothing is measured.
	Elapsed func() time.Duration
}

const (
	// retentionMargin multiplies the time for which the state of an ended job can be read,
	// which customers count from when they see the end.
	retentionMargin = 1.25
	// minJobRetention covers requests that a suspended host or a cut link holds back. A
	// submission that arrives after the record of its job was removed would run the job
	// again, or in spite of its cancel.
	minJobRetention = 2 * time.Minute
)

// JobRetention returns how long ended jobs are kept.
func (s *Settings) JobRetention() time.Duration {
	return time.Duration(retentionMargin * float64(max(s.Retention, minJobRetention)))
}

// Report is an executor's report about itself.
type Report struct {
	Executor workload.ExecutorKey
	// Sequence increases with each report of one incarnation.
	Sequence int64
	Service  string
	Address  string
	// Domain is the failure domain. Its name between hosts is that of earlier versions.
	Domain   string `msgpack:"Zone"`
	Draining bool
	// ColdRemaining is how much longer new runs are slow after a start of the executor.
	ColdRemaining time.Duration
	// DrainRemaining is the minimum time that a draining executor stays.
	DrainRemaining time.Duration
	Capacity       workload.Resources
	Labels         []string
	// Clock is a reading of the executor's monotonic clock.
	Clock time.Duration
}

// CallKind is the kind of a call to an executor or to the advice service.
type CallKind uint8

// Kinds of calls.
const (
	CallStart CallKind = iota + 1
	CallStop
	// CallHold renews the lease, acknowledges stored ends and requests the lists
	// of active and ended runs.
	CallHold
	// CallAdvise asks the advice service which executors may run a step.
	CallAdvise
)

// String returns the name used in logs and metrics.
func (k CallKind) String() string {
	return [...]string{"none", "start", "stop", "hold", "advise"}[k]
}

// Call is a call to an executor or to the advice service.
type Call struct {
	Kind     CallKind
	Executor workload.ExecutorKey
	Address  string
	// Token fences off calls of earlier leaders.
	Token uint64
	// IssuedAt is the time of the decision on the clock of this process.
	IssuedAt time.Duration
	// Deadline is the end of the lease on the executor's clock, or 0 for none.
	Deadline time.Duration
	// Timeout is how long to wait for a response.
	Timeout time.Duration

	Task       workload.TaskKey
	Run        int
	Payload    string
	Checkpoint string
	// Ticket authorizes the start on queues that require advice.
	Ticket string
	// Workers are the IDs of the executors to get advice about.
	Workers []string

	// Cursor is the number of the last end stored in the log.
	Cursor int64
	// Wait is how long the executor may delay its response.
	Wait time.Duration
	// Probe is set on a hold that only asks which incarnation is at the address.
	Probe bool
}

// Verdict classifies the outcome of a call.
type Verdict uint8

// Verdicts on calls.
const (
	// VerdictNoResponse means that no response arrived. The call may still be
	// carried out.
	VerdictNoResponse Verdict = iota
	VerdictAccepted
	// VerdictFenced means that the token was too low.
	VerdictFenced
	// VerdictRefused means that the call had no effect and will have none. Like the
	// other refusals it says nothing about earlier calls, which may still be on their
	// way.
	VerdictRefused
	// VerdictNoCapacity means that a start was refused for lack of resources.
	VerdictNoCapacity
	// VerdictOtherIncarnation means that another incarnation answered at the address.
	VerdictOtherIncarnation
	// VerdictNoTicket means that a start was refused for lack of a valid
	// ticket.
	VerdictNoTicket
	// VerdictNotSent means that the call was dropped before it was sent.
	VerdictNotSent
	// VerdictRunOver means that the executor has stopped or ended this run or a later one
	// of the task. It carries out no start of the run any more, whenever that was sent.
	VerdictRunOver
)

// String returns the name used in logs and metrics.
func (v Verdict) String() string {
	return [...]string{"no_answer", "accepted", "fenced", "refused", "no_room", "other_life", "no_ticket", "not_sent", "run_over"}[v]
}

// RunningTask describes a run that is active on an executor.
type RunningTask struct {
	Task       workload.TaskKey
	Run        int
	Checkpoint string
	// Percent is the progress, 0 to 100.
	Percent int
}

// EndedRun describes a run that ended on an executor.
type EndedRun struct {
	Number     int64
	Task       workload.TaskKey
	Run        int
	Ending     workload.Ending
	Checkpoint string
}

// Response is the response to a call.
type Response struct {
	Verdict Verdict
	Reason  string
	// Incarnation identifies the incarnation that answered, or is 0 if unknown.
	Incarnation int64
	Clock       time.Duration
	// Complete is set if the response contained Running and Ended.
	Complete bool
	Running  []RunningTask
	Ended    []EndedRun
	// EndsTruncated is set if Ended may lack ends, because the executor lists only so many
	// at a time.
	EndsTruncated bool
	// Tickets are the tickets for the executors that may run the step.
	Tickets []Ticket
}

// Output holds the commands to propose and the calls to send.
type Output struct {
	Commands []*workload.Command
	Calls    []Call
	// Ends counts the runs whose end was found.
	Ends EndCounts
	// Gangs describes the waiting gangs if the step had a round, otherwise it is nil.
	Gangs *GangCounts
	// Overload describes decisions under overload.
	Overload OverloadCounts
	// Admissions counts the decisions about submissions and their outcomes since the last
	// round, or is nil if there are none.
	Admissions *AdmissionCounts
	// Predictions counts the measured run times by the error of their prediction.
	Predictions PredictionCounts
	// Round describes the round if the step had one, otherwise it is nil.
	Round *RoundCounts
}

// RoundCounts describes one round.
type RoundCounts struct {
	// TaskSets counts the task sets that waited for a place, Unplaced those of them of which
	// not all tasks got one, Starts the tasks that did.
	TaskSets, Unplaced, Starts int
	// Searches counts the searches over all runs, DelayedSearches those that have to wait for
	// a later round.
	Searches, DelayedSearches int
	// Left counts the due steps that wait and were not tried: another one of the same job showed
	// that they have no room, or the work of the round was used up.
	Left int
	// HasLeft is set if the work of the round was used up.
	HasLeft bool
	// Work is the number of comparisons between task sets and executors.
	Work int
	// Parts holds the time of each part of the round, as far as it was measured.
	Parts [roundParts]time.Duration
	// Waited is how long the round was due before it began, because the one before it was too
	// recent.
	Waited time.Duration
}

// roundPart is a part of a round.
type roundPart uint8

// Parts of rounds.
const (
	// partSelect chooses the steps that have a turn, and updates reservations and preemptions.
	partSelect roundPart = iota
	// partPlace searches places for them.
	partPlace
	// partForecast updates the forecasts of the waits.
	partForecast
	roundParts
)

// EachPart calls f for each part of the round.
func (r *RoundCounts) EachPart(f func(part string, took time.Duration)) {
	for p, took := range r.Parts {
		f([...]string{"select", "place", "forecast"}[p], took)
	}
}

// startLaps returns a function that adds the time since its last call to a part of the round.
func (c *Controller) startLaps() func(roundPart) {
	if c.cfg.Elapsed == nil {
		return func(roundPart) {}
	}
	last := c.cfg.Elapsed()
	return func(p roundPart) {
		now := c.cfg.Elapsed()
		c.out.Round.Parts[p] += now - last
		last = now
	}
}
