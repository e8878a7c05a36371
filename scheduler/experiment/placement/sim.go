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

// simJob is a job with its real run time and progress.
type simJob struct {
	id        string
	arrival   arrival
	probe     bool
	queued    sched.Queued
	running   *sched.Running
	run       int
	saved     time.Duration // progress at the last checkpoint
	checkEnds bool          // the current stop takes a checkpoint
	firstWait time.Duration // submission to first start, or -1
	overQuota bool          // waited for the quota of its customer
}

// Parameters of the event loop.
const (
	checkpointEvery = 30 * time.Minute
	failAfter       = 10 * time.Second // a task on a failing worker
	failuresToAvoid = 3                // failures of different jobs until quarantine
	plainStop       = 500 * time.Millisecond
	tickEvery       = time.Minute // a round without any change
	probeEvery      = 90 * time.Minute
	probeRun        = 10 * time.Minute
	drainFactor     = 3 // the loop ends after this multiple of the load's length
)

// sim runs one policy under one load.
type sim struct {
	load      load
	length    time.Duration
	policy    policy
	estimator *sched.Estimator
	now       time.Duration
	events    *pqueue.Queue[event]
	seq       int
	jobs      map[string]*simJob
	free      map[string]guarantee.Mask
	failing   map[string]bool
	failures  map[string]map[string]bool
	order     uint64
	watched   []watch
	urgent    map[string]*simJob // urgent jobs before their first start
	open      int                // jobs that are not finished
	metrics   metrics
}

// newSim prepares a run.
func newSim(l load, length time.Duration, p policy) *sim {
	s := &sim{
		load: l, length: length, policy: p, estimator: sched.NewEstimator(),
		jobs: map[string]*simJob{}, urgent: map[string]*simJob{}, free: map[string]guarantee.Mask{},
		failing: map[string]bool{}, failures: map[string]map[string]bool{},
		events: pqueue.New(event.happensBefore, nil),
	}
	p.SetRules(l.rules)
	for _, w := range l.workers {
		p.SetWorker(w)
		s.free[w.ID] = guarantee.FullMask(w.Accelerators)
	}
	for i, a := range l.arrivals {
		s.schedule(event{at: a.at, kind: evSubmit, n: i})
	}
	for i, f := range l.faults {
		s.schedule(event{at: f.at, kind: evFault, n: i})
	}
	for at, n := probeEvery, 0; at < length; at, n = at+probeEvery, n+1 {
		s.schedule(event{at: at, kind: evProbe, n: n})
	}
	s.schedule(event{at: tickEvery, kind: evTick})
	return s
}

// schedule adds an event.
func (s *sim) schedule(e event) {
	s.seq++
	e.seq = s.seq
	s.events.Push(e)
}

// loop runs until all jobs have ended or the time is over.
func (s *sim) loop() {
	for {
		first, ok := s.events.First()
		if !ok {
			break
		}
		at := first.at
		if at > s.length*drainFactor || (at > s.length && s.open == 0) {
			break
		}
		s.metrics.elapse(s, at-s.now)
		s.now = at
		for ; ok && first.at == at; first, ok = s.events.First() {
			s.events.Pop()
			s.handle(first)
		}
		s.markQuota()
		s.watchProbes()
		s.apply(s.policy.Round(s.now))
	}
	s.metrics.unfinished = s.open
}

// handle processes one event.
func (s *sim) handle(e event) {
	j := s.jobs[e.job]
	stale := e.job != "" && (j == nil || j.run != e.run)
	if stale {
		return
	}
	switch e.kind {
	case evSubmit:
		a := s.load.arrivals[e.n]
		id := "j" + strconv.Itoa(100000+e.n)
		s.submit(id, a, false)
	case evCancel:
		s.cancel(e.n)
	case evFinish:
		s.finish(j)
	case evFail:
		s.fail(j)
	case evStop:
		s.stopped(j)
	case evCheckpoint:
		s.checkpoint(j)
	case evFault:
		s.fault(s.load.faults[e.n])
	case evProbe:
		s.probe(e.n)
	case evVerify: // only causes a look at the probes
	case evTick:
		s.schedule(event{at: s.now + tickEvery, kind: evTick})
	}
}

// submit enters a job into the queue, unless it can never run.
func (s *sim) submit(id string, a arrival, probe bool) {
	if err := sched.NeverRunnable(s.load.rules, a.spec); err != nil {
		s.metrics.refused++
		return
	}
	j := &simJob{id: id, arrival: a, probe: probe, firstWait: -1}
	j.queued = sched.Queued{ID: id, Spec: a.spec, Since: s.now}
	s.jobs[id] = j
	s.open++
	s.waitingUrgent(j)
	s.enqueue(j)
	if a.cancel > s.now {
		n, _ := strconv.Atoi(id[1:])
		s.schedule(event{at: a.cancel, kind: evCancel, n: n - 100000})
	}
}

// enqueue queues a job for its remaining work.
func (s *sim) enqueue(j *simJob) {
	j.running = nil
	estimate := s.estimator.Estimate(j.arrival.spec) - j.saved
	j.queued.Estimate = max(estimate, time.Minute)
	s.policy.SetQueued(j.queued)
}

// cancel removes a job at the caller's request.
func (s *sim) cancel(n int) {
	j := s.jobs["j"+strconv.Itoa(100000+n)]
	if j == nil {
		return
	}
	s.release(j)
	s.forget(j)
}

// forget removes a job that has ended.
func (s *sim) forget(j *simJob) {
	s.policy.Remove(j.id)
	delete(s.jobs, j.id)
	s.open--
}

// release frees the accelerators of a job and invalidates its events.
func (s *sim) release(j *simJob) {
	j.run++
	if j.running == nil {
		return
	}
	for _, m := range j.running.Members {
		s.free[m.Worker] |= guarantee.MaskOf(m.Accelerators)
	}
}

// finish ends a job that has done all its work.
func (s *sim) finish(j *simJob) {
	s.estimator.Observe(j.arrival.spec, j.arrival.run)
	if !j.probe {
		s.metrics.completed(j, s.now)
	}
	s.release(j)
	s.forget(j)
}

// fail requeues a job that failed on a failing worker, and quarantines the
// worker after failures of several jobs.
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
		if len(s.failures[m.Worker]) == failuresToAvoid {
			s.setQuarantine(m.Worker, true)
		}
	}
	s.release(j)
	s.enqueue(j)
}

// setQuarantine changes the quarantine of a worker.
func (s *sim) setQuarantine(id string, on bool) {
	for _, w := range s.load.workers {
		if w.ID == id {
			w.Quarantined = on
			s.policy.SetWorker(w)
		}
	}
}

// fault starts or ends the failing of a worker.
func (s *sim) fault(f fault) {
	s.failing[f.worker] = f.failing
	if !f.failing {
		delete(s.failures, f.worker)
		s.setQuarantine(f.worker, false)
	}
}

// stopped ends the grace of a preempted job.
func (s *sim) stopped(j *simJob) {
	elapsed := s.now - j.running.Started
	last := max(j.running.Checkpointed, j.running.Started)
	lost := s.now - last
	if j.checkEnds {
		lost = j.arrival.spec.CheckpointTime
	}
	j.saved += elapsed - lost
	s.metrics.preempted(j, lost)
	s.release(j)
	s.enqueue(j)
}

// checkpoint records a periodic checkpoint.
func (s *sim) checkpoint(j *simJob) {
	if j.running == nil || j.running.Stopping {
		return
	}
	j.running.Checkpointed = s.now
	s.policy.SetRunning(*j.running)
	s.schedule(event{at: s.now + checkpointEvery, kind: evCheckpoint, job: j.id, run: j.run})
}

// waitingUrgent remembers an urgent job until its first start.
func (s *sim) waitingUrgent(j *simJob) {
	if j.arrival.spec.Priority == structs.PriorityUrgent {
		s.urgent[j.id] = j
	}
}

// markQuota marks urgent jobs that wait for the quota of their customer.
func (s *sim) markQuota() {
	for id, j := range s.urgent {
		if s.jobs[id] == nil || j.firstWait >= 0 {
			delete(s.urgent, id)
			continue
		}
		j.overQuota = j.overQuota || s.overQuota(j.arrival.spec.Customer, j.arrival.spec.Accelerators)
	}
}

// apply carries out a plan.
func (s *sim) apply(plan sched.Plan) {
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
		j.checkEnds = p.Checkpoint
		s.policy.SetRunning(*j.running)
		after := plainStop
		if p.Checkpoint {
			after = max(j.arrival.spec.CheckpointTime, plainStop)
		}
		j.run++ // the finish event of the run is no longer valid
		s.schedule(event{at: s.now + after, kind: evStop, job: j.id, run: j.run})
	}
}

// start runs a gang.
func (s *sim) start(j *simJob, members []structs.Member) {
	s.order++
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
	j.checkEnds = false
	j.running = &sched.Running{
		ID: j.id, Spec: j.arrival.spec, Members: members, Order: s.order,
		Started: s.now, Estimate: j.queued.Estimate,
	}
	s.policy.SetRunning(*j.running)
	s.metrics.started(j, s.now)
	end := event{at: s.now + max(j.arrival.run-j.saved, time.Second), kind: evFinish, job: j.id, run: j.run}
	if failing {
		end.at, end.kind = s.now+failAfter, evFail
	}
	s.schedule(end)
	if j.arrival.spec.CheckpointTime > 0 {
		s.schedule(event{at: s.now + checkpointEvery, kind: evCheckpoint, job: j.id, run: j.run})
	}
}

// sortedJobs returns the jobs by ID.
func (s *sim) sortedJobs() []*simJob {
	list := make([]*simJob, 0, len(s.jobs))
	for _, j := range s.jobs {
		list = append(list, j)
	}
	sort.Slice(list, func(a, b int) bool { return list[a].id < list[b].id })
	return list
}
