package fleet

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/go-logr/logr"

	"cranberrydrum.dev/scheduler/workload"
)

// cleanupInterval is the time between two removals of expired state.
const cleanupInterval = 5 * time.Second

// Controller holds the volatile scheduling state of a leader. A new one is
// created for each term.
type Controller struct {
	cfg       Settings
	state     *workload.State
	term      uint64
	log       logr.Logger
	createdAt time.Duration
	// lastStep is the time of the last step.
	lastStep time.Duration

	executors map[string]*executor
	// ordered holds the executors by ID, or is nil if they have changed.
	ordered []*executor
	// pools holds the capacity of the pools. currentPools returns it.
	pools *poolCapacities
	// lost holds the incarnations that are not in executors but have runs in the log or
	// may be reinstated: they are over or superseded, or they are not in the directory
	// and have not reported to this leader.
	lost map[workload.ExecutorKey]*executor
	// byAddress maps each address to the executor that reports from it.
	byAddress map[string]*executor

	appliedChanges uint64
	// changePosition is the position in the changes of the state up to which the runs of the
	// executors are up to date.
	changePosition uint64
	nextCleanup    time.Duration
	nextRound      time.Duration
	// dirty is set if something has changed since the last round.
	dirty bool
	// longPolls is the number of holds in progress that wait for an end, shortPolls
	// that of the others.
	longPolls, shortPolls int
	preemptions           map[stepKey]*preemption
	reservations          map[stepKey]*reservation
	gangWaits             map[stepKey]gangWait
	failedSearches        map[searchKey]failedSearch
	// nextSearchRound is the earliest time of the next round with searches over all runs.
	// searchPending is set if a search waits for it.
	nextSearchRound time.Duration
	searchPending   bool
	// dueSince is since when the next round waits for the end of roundInterval, or 0.
	dueSince time.Duration
	backlog  *backlog
	budget   roundBudget
	runTimes *runTimes
	// facts holds what is known of jobs during a round. It is nil otherwise.
	facts map[*workload.Job]*jobFacts
	// pendingStarts holds the starts that are proposed but not yet applied.
	pendingStarts map[workload.TaskKey]workload.Start
	// runnableSince is when the tasks of a step that depends on others became runnable.
	runnableSince map[stepKey]time.Duration
	// insideGuarantee holds the IDs of urgent jobs (those with priority 0) that
	// lie within the guarantees.
	insideGuarantee map[string]bool
	// workAverages holds the average work per job of each queue. lastCounted is
	// the sequence number of the last job counted by earlier reconciles, lastSeen
	// that of the last job counted by this one.
	workAverages          map[workload.Place]workAverage
	lastCounted, lastSeen uint64
	// demands tracks the demand for urgent capacity of each service.
	demands map[string]*demand
	// advices holds the responses of the advice service. adviceInFlight is set
	// while a call to it is open. After a failed call, the next one is sent no
	// earlier than nextAdviceAt.
	advices        map[stepKey]*stepAdvice
	adviceInFlight bool
	nextAdviceAt   time.Duration
	// failedOn lists the IDs of executors on which a task has failed.
	failedOn map[workload.TaskKey][]string
	// jobFailures holds the evidence about the jobs with failed runs.
	jobFailures map[string]*jobFailures
	// unixOffset is the Unix time minus the process clock.
	unixOffset time.Duration
	// departed holds executor incarnations that are over but still in the
	// directory.
	departed []workload.ExecutorKey
	// admission holds what decisions about submissions depend on.
	admission *admissionState
	out       Output
}

// New returns the controller of a leader. state must be up to date.
func New(cfg Settings, state *workload.State, term uint64, now time.Duration, log logr.Logger) *Controller {
	c := &Controller{
		cfg: cfg, state: state, term: term, log: log, createdAt: now, lastStep: now,
		executors:      map[string]*executor{},
		lost:           map[workload.ExecutorKey]*executor{},
		byAddress:      map[string]*executor{},
		preemptions:    map[stepKey]*preemption{},
		reservations:   map[stepKey]*reservation{},
		gangWaits:      map[stepKey]gangWait{},
		failedSearches: map[searchKey]failedSearch{},
		backlog:        newBacklog(),
		budget:         roundBudget{workTime: firstWorkTime},
		runTimes:       loadRunTimes(state, now),
		advices:        map[stepKey]*stepAdvice{},
		demands:        map[string]*demand{},
		workAverages:   map[workload.Place]workAverage{},
		pendingStarts:  map[workload.TaskKey]workload.Start{},
		runnableSince:  map[stepKey]time.Duration{},
		failedOn:       map[workload.TaskKey][]string{},
		admission:      newAdmissionState(),
		jobFailures:    map[string]*jobFailures{},
	}
	c.loadDirectory(now)
	c.reconcileAll(now)
	return c
}

// leaseSpan bounds how long runs started by an earlier leader can continue
// without an extension of their lease.
func (c *Controller) leaseSpan() time.Duration {
	return time.Duration(float64(c.cfg.Lease)*(1+clockDrift)) + leaseMargin
}

// Step performs all actions that are due. unix is the Unix time at this host.
func (c *Controller) Step(now, unix time.Duration) Output {
	c.out = Output{}
	c.unixOffset = unix - now
	c.excludePause(now)
	if c.appliedChanges != c.state.Changes() {
		c.reconcile(now)
	}
	c.logEnded()
	c.expireLeases(now, unix)
	c.removeDeparted(now)
	c.deregisterDeparted(unix)
	if c.isRoundDue(now) {
		c.round(now, unix)
	} else if c.dirty && c.dueSince == 0 {
		c.dueSince = now
	}
	c.sendOrders(now)
	c.sendHolds(now)
	c.stopStrays(now)
	c.stopAwaitedRuns(now)
	c.sendProbes(now)
	c.cleanUp(now, unix)
	return c.out
}

// isRoundDue reports whether something has changed, a search is due or it is time to check timers.
func (c *Controller) isRoundDue(now time.Duration) bool {
	if now < c.nextRound {
		return false
	}
	return c.dirty || c.budget.hasLeft || c.searchPending && now >= c.nextSearchRound || now >= c.nextRound+idleRoundInterval
}

func (c *Controller) logEnded() {
	for _, j := range c.state.TakeEndedJobs() {
		c.log.Info("job ended", "job", j.ID, "customer", j.Customer, "priority", j.Priority, "phase", j.Phase.String(),
			"took_ms", (j.EndedAt - j.Submitted).Milliseconds(), "objective_ms", c.objective(j).Milliseconds(), "chain_ms", c.criticalPath(j).Milliseconds(),
			"tasks", len(j.Occurrences)*taskCount(&j.Spec), "runs", j.Attempts())
	}
}

func taskCount(s *workload.Spec) int {
	n := 0
	for i := range s.Steps {
		n += s.Steps[i].Count
	}
	return n
}

// orderedExecutors returns the known executors, ordered by ID.
func (c *Controller) orderedExecutors() []*executor {
	if c.ordered == nil {
		c.ordered = slices.SortedFunc(maps.Values(c.executors), func(a, b *executor) int { return cmp.Compare(a.key.ID, b.key.ID) })
	}
	return c.ordered
}

// ExecutorCount returns the number of known executors.
func (c *Controller) ExecutorCount() int { return len(c.executors) }

// IsMember reports whether a report comes from an executor of a pool that is in use, or from
// the next incarnation at its ID or address. Its service may be dropped from the
// configuration while it has runs.
func (c *Controller) IsMember(r *Report) bool {
	if c.lost[r.Executor] != nil {
		return true
	}
	for _, e := range []*executor{c.executors[r.Executor.ID], c.byAddress[r.Address]} {
		if e != nil && e.service == r.Service {
			return true
		}
	}
	return false
}

// Report processes an executor's report and returns whether it came from the
// current incarnation. If registration is not nil, it must be stored in the directory
// before the report is acknowledged.
func (c *Controller) Report(now time.Duration, r Report) (isCurrent bool, registration *workload.Executor) {
	if c.state.HasLeft(r.Executor) {
		return false, nil
	}
	if other := c.byAddress[r.Address]; other != nil && other.key.ID != r.Executor.ID && other.key.Incarnation > r.Executor.Incarnation {
		return false, nil
	}
	e := c.executors[r.Executor.ID]
	if e != nil && r.Executor.Incarnation < e.key.Incarnation {
		return false, nil
	}
	if e != nil && e.key == r.Executor {
		// Also of a report that is older: the sequence number of another sender may be higher.
		c.checkDomain(e, &r)
	}
	if e != nil && r.Executor.Incarnation == e.key.Incarnation && r.Sequence <= e.sequence {
		return true, c.directoryUpdate(e)
	}
	if e != nil && e.key != r.Executor {
		c.supersede(now, e, "restarted")
		e = nil
	}
	isNew := e == nil
	if isNew {
		e = c.register(now, r)
	}
	if r.Address != e.address && e.answersAtAddress() {
		c.log.Info("ignored the address of a report", "executor", e.key.ID, "born", e.key.Incarnation, "address", e.address, "reported", r.Address)
		r.Address = e.address
	}
	other := c.byAddress[r.Address]
	if other != nil && other != e {
		c.supersede(now, other, "address_reused")
	}
	if isNew || (other != nil && other != e) {
		// A report may name the address or the ID of another incarnation.
		e.reported = false
	}
	if c.byAddress[e.address] == e {
		delete(c.byAddress, e.address)
	}
	if r.Draining && !e.draining {
		c.log.Info("executor drains", "executor", e.key.ID, "remaining_ms", r.DrainRemaining.Milliseconds())
	}
	c.byAddress[r.Address] = e
	e.applyReport(now, &r)
	c.updateLoad(e)
	c.dirty = true
	return true, c.directoryUpdate(e)
}

func (c *Controller) register(now time.Duration, r Report) *executor {
	e := c.lost[r.Executor]
	delete(c.lost, r.Executor)
	if e == nil {
		e = c.newExecutor(r.Executor)
	}
	e.supersededAt = 0
	c.executors[r.Executor.ID], c.ordered = e, nil
	c.log.Info("executor registered", "executor", r.Executor.ID, "born", r.Executor.Incarnation, "address", r.Address, "domain", r.Domain, "runs", len(e.runs))
	return e
}

func (c *Controller) newExecutor(key workload.ExecutorKey) *executor {
	return &executor{key: key, runs: map[workload.TaskKey]*run{}, leaseEnd: c.createdAt + c.leaseSpan()}
}

// Leave processes an executor's departure notice. incarnation is 0 if the notice does
// not identify the incarnation. If departure is not nil, it must be stored before
// the notice is acknowledged. A notice without an incarnation may be a late one of an
// earlier incarnation, so it counts only if the present one drains.
func (c *Controller) Leave(now time.Duration, id string, incarnation int64) (departure *workload.ExecutorKey) {
	isOver := func(key workload.ExecutorKey) bool { return incarnation == 0 || incarnation >= key.Incarnation }
	e, entry := c.executors[id], c.state.Executor(id)
	key := workload.ExecutorKey{ID: id, Incarnation: incarnation}
	switch {
	case incarnation == 0 && isKnownNotToDrain(e, entry):
		c.log.Info("ignored a deregistration without an incarnation: the executor does not drain", "executor", id)
		return nil
	case e != nil && e.deregistered && c.state.HasLeft(e.key):
		return nil
	case e != nil && isOver(e.key):
		// Its first report may still be waiting to be stored.
		key.Incarnation = max(incarnation, e.key.Incarnation)
		if incarnation > e.key.Incarnation {
			c.supersede(now, e, "other_left")
		} else {
			c.depart(now, e, noticeSource(incarnation))
		}
		return &key
	case entry != nil && isOver(entry.Key):
		key.Incarnation = max(incarnation, entry.Key.Incarnation)
		return &key
	case e == nil && entry == nil && incarnation > 0 && !c.state.HasLeft(key):
		// A report of it may still arrive or be stored.
		return &key
	}
	return nil
}

// noticeSource describes for logs the source of a departure.
func noticeSource(incarnation int64) string {
	if incarnation == 0 {
		return "notice_without_incarnation"
	}
	return "notice"
}

// isKnownNotToDrain reports whether the present incarnation of an executor, which has not
// drained, can be told from earlier ones. Either argument may be nil.
func isKnownNotToDrain(e *executor, entry *workload.Executor) bool {
	switch {
	case e != nil:
		return e.key.Incarnation > 0 && !e.draining
	case entry != nil:
		return entry.Key.Incarnation > 0 && !entry.Draining
	}
	return false
}

// expireLeases ends the runs of executors whose leases have certainly expired.
func (c *Controller) expireLeases(now, unix time.Duration) {
	var ends []workload.End
	for _, e := range c.executors {
		if len(e.runs) > 0 && now >= e.leaseEnd {
			ends = c.endRuns(now, ends, e, workload.EndLeaseExpired, EvidenceLeaseExpired)
		}
	}
	for _, e := range c.lost {
		if now >= e.leaseEnd {
			evidence := EvidenceExecutorGone
			if e.supersededAt > 0 {
				evidence = EvidenceLeaseExpired
			}
			ends = c.endRuns(now, ends, e, workload.EndExecutorGone, evidence)
		}
	}
	c.propose(unix, ends)
}

func (c *Controller) endRuns(now time.Duration, ends []workload.End, e *executor, ending workload.Ending, evidence Evidence) []workload.End {
	for key, r := range e.runs {
		// A start that this leader has not sent has no lease that can expire.
		if r.end != nil || (r.firstSent == 0 && r.term == c.term && ending == workload.EndLeaseExpired) {
			continue
		}
		if (now < e.successorUntil && r.mayReachSuccessor(r.term)) || (c.successorOf(e) != nil && c.isAwaited(r)) {
			continue
		}
		ends = append(ends, c.recordEnd(e, key, r, ending, evidence, r.checkpoint))
	}
	return ends
}

func (c *Controller) propose(unix time.Duration, ends []workload.End) {
	if len(ends) > 0 {
		c.out.Commands = append(c.out.Commands, &workload.Command{At: unix, Ends: ends})
	}
}

// cleanUp removes jobs after their retention, the volatile state of ended jobs,
// and executors without runs that have stopped reporting.
func (c *Controller) cleanUp(now, unix time.Duration) {
	if now < c.nextCleanup {
		return
	}
	c.nextCleanup = now + cleanupInterval
	var ids []string
	c.state.Jobs(func(j *workload.Job) {
		if j.Phase.Ended() && unix-j.RetainedSince() > c.cfg.JobRetention() {
			ids = append(ids, j.ID)
		}
	})
	if len(ids) > 0 {
		c.out.Commands = append(c.out.Commands, &workload.Command{At: unix, Purge: ids})
	}
	c.forgetFailures()
	for key := range c.failedOn {
		if j := c.state.Job(key.Job); j == nil || j.Phase.Ended() {
			delete(c.failedOn, key)
		}
	}
	c.forgetWaits(now)
	for id, e := range c.executors {
		sinceHeard := now - e.lastHeard
		if len(e.runs) == 0 && sinceHeard > 2*maxMissedReports*c.cfg.ReportInterval+c.cfg.Lease {
			c.log.Info("executor removed after missing reports", "executor", id, "silent_ms", sinceHeard.Milliseconds())
			c.removeExecutor(now, e, "silent")
		}
	}
}

// forgetWaits drops what is known of steps that are done, and of waits that were not tried for
// some time: a job may have very many of them.
func (c *Controller) forgetWaits(now time.Duration) {
	for _, j := range c.backlog.takeEnded() {
		for i := range j.Spec.Steps {
			c.runTimes.forget(jobStep{job: j.ID, step: i})
		}
	}
	for key := range c.runnableSince {
		if c.isStepOver(key) {
			delete(c.runnableSince, key)
		}
	}
	for key := range c.advices {
		if c.isStepOver(key) {
			delete(c.advices, key)
		}
	}
	for key, wait := range c.gangWaits {
		if now >= wait.triedAt+cleanupInterval || c.isStepOver(key) {
			delete(c.gangWaits, key)
		}
	}
	for key, search := range c.failedSearches {
		if now >= search.triedAt+cleanupInterval || c.isStepOver(key.step) {
			delete(c.failedSearches, key)
		}
	}
}

// isStepOver reports whether a step is done or its job has ended.
func (c *Controller) isStepOver(key stepKey) bool {
	j := c.state.Job(key.job)
	return j == nil || j.Phase.Ended() || j.Occurrences[key.occurrence].Steps[key.step].Remaining == 0
}
