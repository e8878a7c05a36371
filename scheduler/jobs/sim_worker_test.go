package jobs_test

import (
	"slices"
	"time"

	"cranberrydrum.dev/scheduler/agent"
	"cranberrydrum.dev/scheduler/structs"
)

type simWorker struct {
	*sim
	worker      structs.Worker
	agent       *agent.Agent
	incarnation uint64
	seq         uint64
	// renewed is when the last renewal was sent, on the worker's clock.
	renewed     time.Duration
	alive       bool
	partitioned bool
	faulty      bool
	frozen      bool
	// slow delays all messages of the worker.
	slow time.Duration
	// deposedLeaderUntil is the time until which the worker renews with a deposed
	// leader.
	deposedLeaderUntil time.Duration
	// thawing makes task stops immediate. The users' platform continues the tasks
	// of a frozen worker only after the worker process, so a task that the process
	// stops first does not run again.
	thawing bool
	offset  time.Duration
	rate    float64
	tasks   map[runKey]*simTask
	inbox   []func()
}

type simTask struct {
	accelerators []int
	limits       structs.Limits
	stopping     bool
}

// local is the worker's clock, up to 3 % fast or slow.
func (w *simWorker) local() time.Duration { return w.offset + time.Duration(float64(w.now)*w.rate) }

func (w *simWorker) restart() {
	w.incarnation++
	w.alive, w.frozen = true, false
	w.agent = agent.New(w.worker, w.incarnation)
	w.tasks = map[runKey]*simTask{}
	w.inbox = nil
	w.renew(w.incarnation)
}

// crash ends the worker process and all of its tasks.
func (w *simWorker) crash() {
	w.alive = false
	for key := range w.tasks {
		w.recordLost(key)
	}
	w.tasks = map[runKey]*simTask{}
}

// thaw continues a frozen process. Its timer fires before queued messages are
// delivered.
func (w *simWorker) thaw() {
	if !w.alive || !w.frozen {
		return
	}
	w.frozen, w.thawing = false, true
	w.step(agent.Timer{})
	w.thawing = false
	inbox := w.inbox
	w.inbox = nil
	for _, run := range inbox {
		run()
	}
}

// runInProcess runs f in the process of an incarnation. While the process is
// frozen, f is queued.
func (w *simWorker) runInProcess(incarnation uint64, f func()) {
	switch {
	case !w.alive || w.incarnation != incarnation:
	case w.frozen:
		w.inbox = append(w.inbox, f)
	default:
		f()
	}
}

// renew checks every pollEvery whether a renewal is due, because the renewal
// interval of the agent changes.
func (w *simWorker) renew(incarnation uint64) {
	if !w.alive || w.incarnation != incarnation {
		return
	}
	w.after(pollEvery, func() { w.renew(incarnation) })
	if now := w.local(); !w.frozen && now-w.renewed >= w.agent.RenewalInterval(now) {
		w.renewNow(incarnation)
	}
}

// renewNow sends one renewal. The users' platform may send a renewal at any time.
func (w *simWorker) renewNow(incarnation uint64) {
	w.seq++
	w.renewed = w.local()
	seq := w.seq
	w.step(agent.RenewalSent{Seq: seq})
	report := w.agent.Report()
	if w.partitioned {
		return
	}
	w.send(func() {
		l := w.leader
		if len(w.deposed) > 0 && (l == nil || w.now < w.deposedLeaderUntil) {
			l = w.deposed[0]
		}
		if l == nil || w.now < w.pausedUntil {
			return
		}
		orders, refusal := l.ctl.Renew(l.local(), report, l.holdsLease())
		if refusal != nil || w.partitioned {
			return
		}
		w.send(func() {
			w.runInProcess(incarnation, func() { w.receiveOrders(incarnation, agent.OrdersReceived{Seq: seq, Orders: orders}) })
		})
	})
}

func (w *simWorker) receiveOrders(incarnation uint64, ev agent.OrdersReceived) {
	w.step(ev)
	if w.chance(0.1) {
		w.renewNow(incarnation)
	}
}

func (w *simWorker) step(ev agent.Event) {
	for _, e := range w.agent.Step(w.local(), ev) {
		switch e := e.(type) {
		case agent.StartTask:
			w.start(e)
		case agent.StopTask:
			w.stop(runKey{e.Job, e.Run}, e.Force)
		case agent.CheckpointTask:
			length := w.upTo(4 * time.Second)
			if w.checkpointsHang {
				length = time.Hour
			}
			w.after(length, func() {
				w.runInProcess(w.incarnation, func() { w.step(agent.CheckpointDone(e)) })
			})
		}
	}
	for _, t := range w.agent.Report().Tasks {
		key := runKey{t.Job, t.Run}
		if t.Phase == structs.TaskPrepared {
			if w.sim.prepared[key] == nil {
				w.sim.prepared[key] = map[string]bool{}
			}
			w.sim.prepared[key][w.worker.ID] = true
		}
	}
	incarnation := w.incarnation
	if at, ok := w.agent.Deadline(); ok {
		wait := time.Duration(float64(max(0, at-w.local()))/w.rate) + 1
		w.after(wait, func() { w.runInProcess(incarnation, func() { w.timer() }) })
	}
}

// timer delivers a timer event if the agent's deadline has passed.
func (w *simWorker) timer() {
	if at, ok := w.agent.Deadline(); ok && at <= w.local() {
		w.step(agent.Timer{})
	}
}

func (w *simWorker) start(e agent.StartTask) {
	key := runKey{e.Job, e.Run}
	w.checkStart(key, e.Accelerators)
	w.tasks[key] = &simTask{accelerators: e.Accelerators, limits: e.Limits}
	w.checkLimits(key)
	incarnation := w.incarnation
	length := 2*time.Second + w.upTo(6*time.Second)
	if w.longTasks || w.rng.IntN(4) == 0 {
		length *= 8
	}
	failed := w.faulty || w.failingJobs[e.Job]
	w.after(length, func() {
		w.runInProcess(incarnation, func() {
			if t := w.tasks[key]; t != nil && !t.stopping {
				delete(w.tasks, key)
				if !failed {
					w.succeeded[key]++
				} else {
					w.recordLost(key)
					w.recordFailure(key)
				}
				w.step(agent.TaskExited{Job: e.Job, Run: e.Run, Failed: failed, Error: "exit status 1"})
			}
		})
	})
}

// stop starts to stop a task: within killTime if forced, else within the graceful
// shutdown time.
func (w *simWorker) stop(key runKey, force bool) {
	t := w.tasks[key]
	if t == nil {
		return
	}
	t.stopping = true
	incarnation := w.incarnation
	w.recordLost(key)
	if w.thawing {
		delete(w.tasks, key)
	}
	after := w.upTo(w.shutdown)
	if force {
		after = w.upTo(killTime)
	}
	w.after(after, func() {
		w.runInProcess(incarnation, func() {
			delete(w.tasks, key)
			w.step(agent.TaskExited{Job: key.job, Run: key.run})
		})
	})
}

func (s *sim) recordLost(key runKey) {
	if _, ok := s.lostAt[key]; !ok {
		s.lostAt[key] = s.now
	}
}

func (s *sim) recordFailure(key runKey) {
	if s.failures[key.job] == nil {
		s.failures[key.job] = map[uint64]bool{}
	}
	s.failures[key.job][key.run] = true
}

// checkStart checks a starting task against all running tasks: no accelerator is
// used twice, no other run of the job is on a live worker that is not frozen, and
// all members have prepared.
func (w *simWorker) checkStart(key runKey, accelerators []int) {
	for other, t := range w.tasks {
		for _, a := range accelerators {
			if slices.Contains(t.accelerators, a) {
				w.fail("accelerator %d of %s is used by %v and %v", a, w.worker.ID, other, key)
			}
		}
	}
	for _, o := range w.workers {
		for other := range o.tasks {
			if other.job == key.job && other.run != key.run && o.alive && !o.frozen {
				w.fail("job %s starts in run %d on %s while run %d is on %s", key.job, key.run, w.worker.ID, other.run, o.worker.ID)
			}
		}
	}
	for _, m := range w.members[key] {
		if !w.sim.prepared[key][m] {
			w.fail("%v starts before %s has prepared", key, m)
		}
	}
	if !slices.Contains(w.members[key], w.worker.ID) {
		w.fail("%v starts on %s, which is not a member", key, w.worker.ID)
	}
}

// checkLimits guards against a task without resource limits, and against limits
// whose sum exceeds the worker, so that one task could starve the others.
func (w *simWorker) checkLimits(started runKey) {
	if l := w.tasks[started].limits; l.Cores <= 0 || l.MemoryMB <= 0 {
		w.fail("%v starts without limits", started)
	}
	sum := structs.Limits{}
	for _, t := range w.tasks {
		sum.Cores += t.limits.Cores
		sum.MemoryMB += t.limits.MemoryMB
	}
	if sum.Cores > w.worker.Cores || sum.MemoryMB > w.worker.MemoryMB {
		w.fail("the limits of the tasks on %s add up to %v, more than the worker has", w.worker.ID, sum)
	}
}
