package fleet

import "cranberrydrum.dev/scheduler/workload"

// Evidence is how the leader knows that a run is over.
type Evidence uint8

// Evidence for the end of a run. The kinds that begin with Unlisted mean that the executor
// sent a list without the run after the event that they name.
const (
	EvidenceNone Evidence = iota
	// EvidenceReported means that the executor listed the end.
	EvidenceReported
	// EvidenceNeverSent means that no start was sent.
	EvidenceNeverSent
	// EvidenceStartsRefused means that every start that was sent was refused.
	EvidenceStartsRefused
	EvidenceUnlistedAfterStart
	EvidenceUnlistedAfterRunOver
	EvidenceUnlistedAfterStop
	EvidenceUnlistedInNewTerm
	EvidenceLeaseExpired
	EvidenceExecutorGone
	evidenceKinds
)

// String returns the name used in logs and metrics.
func (e Evidence) String() string {
	return [...]string{"none", "reported", "never_sent", "starts_refused", "unlisted_after_start", "unlisted_after_run_over",
		"unlisted_after_stop", "unlisted_in_new_term", "lease_expired", "executor_gone"}[e]
}

// EndCounts counts the runs of one output that are known to be over, by evidence.
type EndCounts [evidenceKinds]int

// Each calls f for each kind of evidence with at least one run.
func (c *EndCounts) Each(f func(evidence string, runs int)) {
	for kind, runs := range c {
		if runs > 0 {
			f(Evidence(kind).String(), runs)
		}
	}
}

func (c *Controller) recordEnd(e *executor, key workload.TaskKey, r *run, ending workload.Ending, evidence Evidence, checkpoint string) workload.End {
	r.end = &workload.End{Task: key, Run: r.number, Executor: e.key, Ending: ending, Checkpoint: checkpoint}
	c.out.Ends[evidence]++
	c.recordPreempted(key, r)
	c.log.Info("run ended", "job", key.Job, "occurrence", key.Occurrence, "step", key.Step, "task", key.Index, "run", r.number,
		"executor", e.key.ID, "ending", ending.String(), "evidence", evidence.String(), "start_calls", r.startCalls, "open_starts", r.openStarts,
		"percent", r.percent, "stop_reason", r.stopCause)
	return *r.end
}
