package placement

import (
	"slices"
	"sort"
	"strconv"
	"time"

	"cranberrydrum.dev/coord/pqueue"
	"cranberrydrum.dev/scheduler/guarantee"
	sched "cranberrydrum.dev/scheduler/placement"
	"cranberrydrum.dev/scheduler/structs"
)

// simJob is a job with its actual run time and progress.
type simJob struct {
	id                string
	arrival           arrival
	isProbe           bool
	queued            sched.Queued
	running           *sched.Running
	run               int
	savedProgress     time.Duration // work that the last checkpoint holds
	checkpointsOnStop bool          // the current preemption takes a checkpoint
	firstStartWait    time.Duration // from submission to the first start, -1 before it
	waitedForQuota    bool          // has waited for the quota of its customer
}

// Parameters of the simulation.
const (
	checkpointInterval = 30 * time.Minute
	failDelay          = 10 * time.Second // from start to failure of a task on a failing worker
	quarantineFailures = 3                // jobs that fail on a worker before it is quarantined
	stopDuration       = 500 * time.Millisecond
	tickInterval       = time.Minute // longest time between two rounds
	probeInterval      = 90 * time.Minute
	probeRuntime       = 10 * time.Minute
	maxLengthFactor    = 3 // the simulation ends after this multiple of the workload's length
)

// sim is a discrete-event simulation of one policy under one workload.
type sim struct {
	workload      workload
	length        time.Duration
	placer        placer
	estimator     *sched.Estimator
	now           time.Duration
	events        *pqueue.Queue[event]
	seq           int
	jobs          map[string]*simJob
	free          map[string]guarantee.Mask
	failing       map[string]bool
	failures      map[string]map[string]bool
	startOrder    uint64
	pendingProbes []pendingProbe
	waitingUrgent map[string]*simJob // urgent jobs before their first start
	openJobs      int                // jobs that have not ended
	metrics       metrics
}

// newSim returns a simulation with the workload's arrivals, faults and probes
// scheduled.
func newSim(input workload, length time.Duration, p placer) *sim {
	s := &sim{
		workload: input, length: length, placer: p, estimator: sched.NewEstimator(),
		jobs: map[string]*simJob{}, waitingUrgent: map[string]*simJob{}, free: map[string]guarantee.Mask{},
		failing: map[string]bool{}, failures: map[string]map[string]bool{},
		events: pqueue.New(event.happensBefore, nil),
	}
	p.SetRules(input.rules)
	for _, w := range input.workers {
		p.SetWorker(w)
		s.free[w.ID] = guarantee.FullMask(w.Accelerators)
	}
	for i, a := range input.arrivals {
		s.schedule(event{at: a.at, kind: evSubmit, index: i})
	}
	for i, f := range input.faults {
		s.schedule(event{at: f.at, kind: evFault, index: i})
	}
	for at, n := probeInterval, 0; at < length; at, n = at+probeInterval, n+1 {
		s.schedule(event{at: at, kind: evProbe, index: n})
	}
	s.schedule(event{at: tickInterval, kind: evTick})
	return s
}

// schedule adds an event to the queue.
func (s *sim) schedule(e event) {
	s.seq++
	e.seq = s.seq
	s.events.Push(e)
}

// loop handles events until all jobs have ended or the time limit is reached.
// After the events of each instant it runs one scheduling round.
func (s *sim) loop() {
	for {
		first, ok := s.events.First()
		if !ok {
			break
		}
		at := first.at
		if at > s.length*maxLengthFactor || (at > s.length && s.openJobs == 0) {
			break
		}
		s.metrics.addFragmentation(s, at-s.now)
		s.now = at
		for ; ok && first.at == at; first, ok = s.events.First() {
			s.events.Pop()
			s.handle(first)
		}
		s.markQuotaWaits()
		s.checkProbes()
		s.applyPlan(s.placer.Round(s.now))
	}
	s.metrics.unfinished = s.openJobs
}

// handle processes one event. Events of an earlier run of a job are ignored.
func (s *sim) handle(e event) {
	j := s.jobs[e.job]
	stale := e.job != "" && (j == nil || j.run != e.run)
	if stale {
		return
	}
	switch e.kind {
	case evSubmit:
		a := s.workload.arrivals[e.index]
		id := "j" + strconv.Itoa(100000+e.index)
		s.submit(id, a, false)
	case evCancel:
		s.cancel(e.index)
	case evFinish:
		s.finish(j)
	case evFail:
		s.fail(j)
	case evStop:
		s.completePreemption(j)
	case evCheckpoint:
		s.recordCheckpoint(j)
	case evFault:
		s.applyFault(s.workload.faults[e.index])
	case evProbe:
		s.submitProbes(e.index)
	case evVerify: // no action: loop checks the probes after every instant
	case evTick:
		s.schedule(event{at: s.now + tickInterval, kind: evTick})
	}
}

// submit queues a new job. A job that can never run is counted as refused.
func (s *sim) submit(id string, a arrival, isProbe bool) {
	if err := sched.NeverRunnable(s.workload.rules, a.spec); err != nil {
		s.metrics.refused++
		return
	}
	j := &simJob{id: id, arrival: a, isProbe: isProbe, firstStartWait: -1}
	j.queued = sched.Queued{ID: id, Spec: a.spec, QueuedAt: s.now}
	s.jobs[id] = j
	s.openJobs++
	s.trackUrgent(j)
	s.enqueue(j)
	if a.cancelAt > s.now {
		n, _ := strconv.Atoi(id[1:])
		s.schedule(event{at: a.cancelAt, kind: evCancel, index: n - 100000})
	}
}

// enqueue queues a job with an estimate of its remaining run time.
func (s *sim) enqueue(j *simJob) {
	j.running = nil
	estimate := s.estimator.Estimate(j.arrival.spec) - j.savedProgress
	j.queued.Estimate = max(estimate, time.Minute)
	s.placer.SetQueued(j.queued)
}

// cancel removes the job of an arrival at the caller's request.
func (s *sim) cancel(n int) {
	j := s.jobs["j"+strconv.Itoa(100000+n)]
	if j == nil {
		return
	}
	s.release(j)
	s.removeJob(j)
}

// removeJob removes a job that has ended.
func (s *sim) removeJob(j *simJob) {
	s.placer.Remove(j.id)
	delete(s.jobs, j.id)
	s.openJobs--
}

// release frees the accelerators of a job. It raises the run number, which
// invalidates the scheduled events of the job.
func (s *sim) release(j *simJob) {
	j.run++
	if j.running == nil {
		return
	}
	for _, m := range j.running.Members {
		s.free[m.Worker] |= guarantee.MaskOf(m.Accelerators)
	}
}

// finish ends a job that has completed all its work.
func (s *sim) finish(j *simJob) {
	s.estimator.Observe(j.arrival.spec, j.arrival.runtime)
	if !j.isProbe {
		s.metrics.recordCompletion(j, s.now)
	}
	s.release(j)
	s.removeJob(j)
}

// fail requeues a job whose gang includes a failing worker, and quarantines the
// worker after quarantineFailures different jobs have failed on it.
func (s *sim) fail(j *simJob) {
	for _, m := range j.running.Members {
		if !s.failing[m.Worker] {
			continue
		}
		j.queued.Avoid = append(slices.Clone(j.queued.Avoid), m.Worker)
		if s.failures[m.Worker] == nil {
			s.failures[m.Worker] = map[string]bool{}
		}
		s.failures[m.Worker][j.id] = true
		if len(s.failures[m.Worker]) == quarantineFailures {
			s.setQuarantine(m.Worker, true)
		}
	}
	s.release(j)
	s.enqueue(j)
}

// setQuarantine sets or clears the quarantine of a worker.
func (s *sim) setQuarantine(id string, on bool) {
	for _, w := range s.workload.workers {
		if w.ID == id {
			w.Quarantined = on
			s.placer.SetWorker(w)
		}
	}
}

// applyFault makes a worker fail its tasks, or ends its fault and quarantine.
func (s *sim) applyFault(f fault) {
	s.failing[f.worker] = f.failing
	if !f.failing {
		delete(s.failures, f.worker)
		s.setQuarantine(f.worker, false)
	}
}

// completePreemption stops a preempted job at the end of its grace period and
// requeues it. A checkpoint at the stop loses only the time that it takes;
// otherwise the work since the last periodic checkpoint is lost.
func (s *sim) completePreemption(j *simJob) {
	elapsed := s.now - j.running.Started
	last := max(j.running.Checkpointed, j.running.Started)
	lost := s.now - last
	if j.checkpointsOnStop {
		lost = j.arrival.spec.CheckpointTime
	}
	j.savedProgress += elapsed - lost
	s.metrics.recordPreemption(j, lost)
	s.release(j)
	s.enqueue(j)
}

// recordCheckpoint records a periodic checkpoint and schedules the next one.
func (s *sim) recordCheckpoint(j *simJob) {
	if j.running == nil || j.running.Stopping {
		return
	}
	j.running.Checkpointed = s.now
	s.placer.SetRunning(*j.running)
	s.schedule(event{at: s.now + checkpointInterval, kind: evCheckpoint, job: j.id, run: j.run})
}

// trackUrgent adds an urgent job to waitingUrgent.
func (s *sim) trackUrgent(j *simJob) {
	if j.arrival.spec.Priority == structs.PriorityUrgent {
		s.waitingUrgent[j.id] = j
	}
}

// markQuotaWaits marks urgent jobs that wait for the quota of their customer, and
// removes started and ended jobs from waitingUrgent.
func (s *sim) markQuotaWaits() {
	for id, j := range s.waitingUrgent {
		if s.jobs[id] == nil || j.firstStartWait >= 0 {
			delete(s.waitingUrgent, id)
			continue
		}
		j.waitedForQuota = j.waitedForQuota || s.exceedsQuota(j.arrival.spec.Customer, j.arrival.spec.Accelerators)
	}
}

// applyPlan applies the starts and preemptions of a scheduling round.
func (s *sim) applyPlan(plan sched.Plan) {
	for _, start := range plan.Starts {
		s.start(s.jobs[start.Job], start.Members)
	}
	for _, p := range plan.Preempts {
		j := s.jobs[p.Job]
		if j == nil || j.running == nil || j.running.Stopping {
			continue
		}
		j.running.Stopping = true
		j.running.StopBy = s.now + p.Grace
		j.checkpointsOnStop = p.Checkpoint
		s.placer.SetRunning(*j.running)
		after := stopDuration
		if p.Checkpoint {
			after = max(j.arrival.spec.CheckpointTime, stopDuration)
		}
		j.run++ // invalidates the finish event of the run
		s.schedule(event{at: s.now + after, kind: evStop, job: j.id, run: j.run})
	}
}

// start starts a gang and schedules its end and its first checkpoint.
func (s *sim) start(j *simJob, members []structs.Member) {
	s.startOrder++
	failing := false
	for _, m := range members {
		mask := guarantee.MaskOf(m.Accelerators)
		if s.free[m.Worker]&mask != mask {
			s.metrics.doubleUse++
		}
		s.free[m.Worker] &^= mask
		failing = failing || s.failing[m.Worker]
	}
	j.run++
	j.checkpointsOnStop = false
	j.running = &sched.Running{
		ID: j.id, Spec: j.arrival.spec, Members: members, ReservedIndex: s.startOrder,
		Started: s.now, Estimate: j.queued.Estimate,
	}
	s.placer.SetRunning(*j.running)
	s.metrics.recordStart(j, s.now)
	end := event{at: s.now + max(j.arrival.runtime-j.savedProgress, time.Second), kind: evFinish, job: j.id, run: j.run}
	if failing {
		end.at, end.kind = s.now+failDelay, evFail
	}
	s.schedule(end)
	if j.arrival.spec.CheckpointTime > 0 {
		s.schedule(event{at: s.now + checkpointInterval, kind: evCheckpoint, job: j.id, run: j.run})
	}
}

// sortedJobs returns the jobs ordered by ID.
func (s *sim) sortedJobs() []*simJob {
	list := make([]*simJob, 0, len(s.jobs))
	for _, j := range s.jobs {
		list = append(list, j)
	}
	sort.Slice(list, func(a, b int) bool { return list[a].id < list[b].id })
	return list
}
