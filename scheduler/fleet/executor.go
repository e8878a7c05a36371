package fleet

import (
	"slices"
	"strings"
	"time"

	"cranberrydrum.dev/scheduler/workload"
)

const (
	// clockDrift bounds how slow an executor's clock may be, from the protocol.
	clockDrift = 0.02
	// leaseMargin covers the time between a reading of a clock and its use.
	leaseMargin = 50 * time.Millisecond
	// silentReports is how many missed reports make an executor unfit for new runs.
	silentReports = 3
	// rackMark separates the parts of a label that names a rack.
	rackMark = "-"
)

// run is what the leader knows of a run beyond the log.
type run struct {
	number int
	term   uint64
	// firstSent and lastSent are the times of the start calls.
	firstSent, lastSent time.Duration
	starting            bool
	// settled is the time from which on a list of the executor without the run
	// proves that it is over; 0 if a start may still be carried out.
	settled time.Duration
	seen    bool
	// seenAt is when the executor first listed the run.
	seenAt  time.Duration
	percent int
	// movedAt is when the progress last changed, listedAt when it was last seen.
	movedAt    time.Duration
	listedAt   time.Duration
	checkpoint string
	// stopWhy is why the run has to stop, or empty, and stopSince since when.
	stopWhy   string
	stopSince time.Duration
	stopping  bool
	stopped   time.Duration
	// end is set from the proposal of the end until it is applied.
	end *workload.End
	// checked is the change of the state that the run was last compared with.
	checked uint64
}

// halt makes a run stop.
func (r *run) halt(now time.Duration, why string) { r.stopWhy, r.stopSince = why, now }

// executor is the present life of an executor.
type executor struct {
	key      workload.ExecutorKey
	service  string
	address  string
	rack     string
	labels   []string
	capacity workload.Resources
	sequence int64
	// reported is set once it was heard of under this leader, by a report or by
	// the answer to a hold.
	reported bool
	heard    time.Duration
	// draining stays set for the rest of the life: a report that was on its way
	// for long must not bring new runs.
	draining bool
	leaves   time.Duration

	// clock was read at clockAt.
	clock, clockAt time.Duration
	// leaseEnd is the time from which on nothing that was started can run.
	leaseEnd time.Duration

	runs map[workload.TaskKey]*run
	used workload.Resources
	// serving and filling count the runs that serve users and those that take
	// what others leave; they are kept apart, since the latter slow the former.
	serving, filling int

	holding  bool
	holdNext time.Duration
	// silent is set from an order without an answer until the next answer.
	silent bool
	// failedHolds counts holds in a row without an answer.
	failedHolds int
	// seenEnd is the last end that was proposed, cursor the last one that is
	// in the log, and told the last one that the executor knows to be.
	seenEnd, cursor, told int64
	// overdue are failed ends of runs that the log gave up before; they count as
	// attempts, and are not acknowledged before the log has them.
	overdue []workload.End

	health health
}

// occupy counts a run of a step.
func (e *executor) occupy(step *workload.Step) {
	e.used = e.used.Add(step.Room())
	if step.TailTarget > 0 {
		e.serving++
	}
	if step.Fills {
		e.filling++
	}
}

// suits reports whether a step may run beside what runs on the executor.
func (e *executor) suits(step *workload.Step) bool {
	return !(step.Fills && e.serving > 0) && !(step.TailTarget > 0 && e.filling > 0)
}

func (e *executor) hasLabel(label string) bool { return slices.Contains(e.labels, label) }

// placeable reports whether new runs may be put on the executor.
func (e *executor) placeable(now time.Duration, cfg *Settings) bool {
	if !e.reported || e.draining || e.silent || e.failedHolds > 0 || now < e.health.until {
		return false
	}
	return now-e.heard < silentReports*cfg.ReportInterval
}

// deadline returns a lease on the executor's clock and accounts for it.
func (e *executor) deadline(now time.Duration, cfg *Settings) time.Duration {
	if e.clockAt == 0 {
		return 0
	}
	until := (e.clock + now - e.clockAt + cfg.Lease).Truncate(time.Millisecond)
	span := time.Duration(float64(until-e.clock) * (1 + clockDrift))
	e.leaseEnd = max(e.leaseEnd, e.clockAt+span+leaseMargin)
	return until
}

// readClock keeps a reading of the executor's clock.
func (e *executor) readClock(now, clock time.Duration) {
	if clock > 0 {
		e.clock, e.clockAt = clock, now
	}
}

// rackOf returns the label that names a rack: the kind of a machine has no
// number behind a dash.
func rackOf(labels []string) string {
	for _, l := range labels {
		if strings.Contains(l, rackMark) {
			return l
		}
	}
	return ""
}

// describe keeps where an executor is and what it offers.
func (e *executor) describe(service, address string, labels []string, capacity workload.Resources) {
	e.service, e.address = service, address
	e.labels, e.rack = labels, rackOf(labels)
	e.capacity = capacity
}

func (e *executor) adopt(now time.Duration, r *Report) {
	e.describe(r.Service, r.Address, r.Labels, r.Capacity)
	e.sequence = r.Sequence
	e.reported = true
	e.heard = now
	e.draining = e.draining || r.Draining
	if r.Draining {
		e.leaves = now + r.DrainRemaining
	}
	e.readClock(now, r.Clock)
}
