package fleet

import (
	"slices"
	"strings"
	"time"

	"cranberrydrum.dev/scheduler/workload"
)

const (
	// clockDrift bounds how slow an executor's clock may be, as a fraction. The
	// protocol sets the value.
	clockDrift = 0.02
	// leaseMargin covers the time between reading a clock and using the value.
	leaseMargin = 50 * time.Millisecond
	// maxMissedReports is the number of missed report intervals after which an
	// executor receives no new runs.
	maxMissedReports = 3
	// rackLabelSeparator separates the parts of a label that names a rack.
	rackLabelSeparator = "-"
)

// run is the leader's state of a run beyond what the log holds.
type run struct {
	number int
	term   uint64
	// firstSent and lastSent are the times of the first and the last start
	// call.
	firstSent, lastSent time.Duration
	// startCalls counts the start calls that may have been sent, openStarts those of
	// them that the executor may still carry out: they have no response yet, or got
	// none in time.
	startCalls, openStarts int
	startInFlight          bool
	// settledAt is the time from which a list without this run proves that the
	// run is over, and settledBy the evidence that such a list is. settledAt is 0 while
	// a start may still be carried out.
	settledAt time.Duration
	settledBy Evidence
	wasListed bool
	// firstListedAt is when the executor first listed the run, firstPercent its
	// progress then.
	firstListedAt time.Duration
	firstPercent  int
	percent       int
	// progressedAt is when the progress last changed, lastListedAt when the run
	// was last listed.
	progressedAt time.Duration
	lastListedAt time.Duration
	checkpoint   string
	// stopCause is why the run has to stop, or "". stopRequestedAt is when that
	// was decided.
	stopCause       string
	stopRequestedAt time.Duration
	stopInFlight    bool
	// lastStopSent is the time of the last stop call.
	lastStopSent    time.Duration
	stopConfirmedAt time.Duration
	successorStop   successorStop
	// took is the measured run time of a run that is done, or 0.
	took time.Duration
	// end is set from the proposal of the end until it is applied.
	end *workload.End
	// checkedChange is the change counter of the state when the run was last
	// checked.
	checkedChange uint64
}

// requestStop marks a run to be stopped.
func (r *run) requestStop(now time.Duration, cause string) {
	r.stopCause, r.stopRequestedAt = cause, now
}

// settle records that a list without the run proves from now on that it is over.
func (r *run) settle(now time.Duration, evidence Evidence) { r.settledAt, r.settledBy = now, evidence }

// executor is one incarnation of an executor.
type executor struct {
	key     workload.ExecutorKey
	service string
	address string
	domain  string
	// domainUnclear is set if reports of the incarnation named different failure domains. Which
	// one it is in is not known then.
	domainUnclear bool
	rack          string
	labels        []string
	capacity      workload.Resources
	// descriptions counts the changes of the service, the labels and the capacity.
	descriptions int
	sequence     int64
	// reported is set once the executor has answered a hold of this leader.
	reported  bool
	lastHeard time.Duration
	// draining stays set until the incarnation ends, so that a delayed report
	// cannot make the executor schedulable again.
	draining bool
	leavesAt time.Duration
	// warmAt is the time until which new runs are slow after a start of the executor.
	warmAt time.Duration
	// deregistered is set once the executor has announced its end. It may still run.
	deregistered bool

	// clock is a reading of the executor's clock, taken at clockAt.
	clock, clockAt time.Duration
	// leaseEnd is the time from which no run that was started can still be
	// running.
	leaseEnd time.Duration
	// successorUntil is the time until which the next incarnation may run what was started
	// for this one, or 0 if that is not known to be possible.
	successorUntil time.Duration

	// confirmedAddress is the address at which the incarnation last accepted a call.
	confirmedAddress string
	// supersededAt is when another incarnation seemed to have taken the place of this one,
	// or 0. Probes ask whether that is so.
	supersededAt  time.Duration
	probeInFlight bool
	nextProbeAt   time.Duration
	probeUntil    time.Duration

	runs map[workload.TaskKey]*run
	// hasOrders is set if a run may need an order: its start is not settled, it has to stop, or
	// its job has changed. It is always set while a run that has not ended has to stop.
	hasOrders bool
	// uncheckedList is set once the executor has listed its runs since they were last checked for
	// progress.
	uncheckedList bool
	used          workload.Resources
	// otherLoad is the sum of the dominant shares of the runs that are not urgent, in
	// billionths. The sum of whole numbers does not depend on the order of the runs.
	otherLoad int64
	// lastingUsed is the part of used that belongs to tasks which last.
	lastingUsed workload.Resources
	// servingRuns counts user-facing runs, bestEffortRuns those that use
	// leftover capacity. They are not placed together, because best-effort runs
	// slow user-facing ones.
	servingRuns, bestEffortRuns int
	// strays are the listed runs that the log does not hold on this executor.
	strays map[workload.TaskKey]*strayRun

	holdInFlight bool
	nextHoldAt   time.Duration
	// hasUnansweredOrder is set from an unanswered order, which is a start or
	// stop call, until the next response.
	hasUnansweredOrder bool
	// failedHolds counts consecutive holds without a complete, accepted response.
	failedHolds int
	// lastSeenEnd is the number of the last end that was proposed, cursor that
	// of the last end stored in the log, and acknowledgedEnd that of the last
	// end whose acknowledgement the executor has received.
	lastSeenEnd, cursor, acknowledgedEnd int64
	// endsTruncated is set if the last list may lack ends.
	endsTruncated bool
	// lateFailures are failed ends of runs that the log had already ended. They
	// count as attempts and are acknowledged only once the log has them.
	lateFailures []workload.End

	health      health
	reliability reliability
	// position is the index in the executors of the latest round that listed the executor.
	position int
}

// addUsage adds a run of a step to the usage of the executor.
func (e *executor) addUsage(step *workload.Step) {
	e.used = e.used.Add(step.Allocation())
	if step.LongRunning {
		e.lastingUsed = e.lastingUsed.Add(step.Allocation())
	}
	if step.TailLatencyTarget > 0 {
		e.servingRuns++
	}
	if step.BestEffort {
		e.bestEffortRuns++
	}
}

// isCompatible reports whether a step may run beside the present runs.
func (e *executor) isCompatible(step *workload.Step) bool {
	return !(step.BestEffort && e.servingRuns > 0) && !(step.TailLatencyTarget > 0 && e.bestEffortRuns > 0)
}

func (e *executor) hasLabel(label string) bool { return slices.Contains(e.labels, label) }

// isSchedulable reports whether new runs may be placed on the executor.
func (e *executor) isSchedulable(now time.Duration, cfg *Settings) bool {
	if !e.reported || e.draining || e.hasUnansweredOrder || e.failedHolds > 0 || now < e.health.suspendedUntil || e.ignoresStops(now, cfg) {
		return false
	}
	return now-e.lastHeard < maxMissedReports*cfg.ReportInterval
}

// extendLease returns a lease deadline on the executor's clock and updates
// leaseEnd. It returns 0 if the clock is unknown.
func (e *executor) extendLease(now time.Duration, cfg *Settings) time.Duration {
	if e.clockAt == 0 {
		return 0
	}
	// The lower bound of the executor's clock: a later leader counts on a lease that is no
	// longer than cfg.Lease from now on.
	elapsed := time.Duration(float64(now-e.clockAt) * (1 - clockDrift))
	until := (e.clock + elapsed + cfg.Lease).Truncate(time.Millisecond)
	span := time.Duration(float64(until-e.clock) * (1 + clockDrift))
	e.leaseEnd = max(e.leaseEnd, e.clockAt+span+leaseMargin)
	return until
}

// ignoresStops reports whether a run is still there long after its stop was decided. Only
// the end of the lease frees its task and its capacity then. The bound leaves two leases
// for the calls to get through, because the end of the lease ends all other runs too.
func (e *executor) ignoresStops(now time.Duration, cfg *Settings) bool {
	if !e.hasOrders {
		return false
	}
	bound := 2*cfg.Lease + cfg.StopTime
	for _, r := range e.runs {
		if r.stopCause != "" && r.end == nil && now-r.stopRequestedAt > bound {
			return true
		}
	}
	return false
}

// recordClock stores a reading of the executor's clock. A reading of 0 is
// ignored.
func (e *executor) recordClock(now, clock time.Duration) {
	if clock > 0 {
		e.clock, e.clockAt = clock, now
	}
}

// rackOf returns the label that names a rack, or "". Rack labels have a number
// after a dash. Labels for the machine type do not.
func rackOf(labels []string) string {
	for _, l := range labels {
		if strings.Contains(l, rackLabelSeparator) {
			return l
		}
	}
	return ""
}

// setDescription stores the address, failure domain, labels and capacity of an executor.
func (e *executor) setDescription(service, address, domain string, labels []string, capacity workload.Resources) {
	if e.service != service || e.capacity != capacity || !slices.Equal(e.labels, labels) {
		e.descriptions++
	}
	e.service, e.address, e.domain = service, address, domain
	e.labels, e.rack = labels, rackOf(labels)
	e.capacity = capacity
}

func (e *executor) applyReport(now time.Duration, r *Report) {
	e.setDescription(r.Service, r.Address, r.Domain, r.Labels, r.Capacity)
	e.sequence = r.Sequence
	e.lastHeard = now
	e.draining = e.draining || r.Draining
	if r.Draining {
		e.leavesAt = now + r.DrainRemaining
	}
	e.warmAt = now + r.ColdRemaining
	e.recordClock(now, r.Clock)
}
