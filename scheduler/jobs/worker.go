package jobs

import (
	"sort"
	"strconv"
	"time"

	"cranberrydrum.dev/scheduler/structs"
)

// MaxAccelerators bounds the accelerators that a worker may announce.
const MaxAccelerators = 1024

// worker is a registered worker.
type worker struct {
	structs.Worker
	incarnation uint64
	// epoch is the log index of the last registration after a restart or loss.
	// It fences WorkerLost.
	epoch   uint64
	lost    bool
	lostAt  time.Duration
	leaving bool
	// probeAllowed means that one job may start on the quarantined worker as a
	// probe.
	probeAllowed bool
	// strikes counts consecutive quarantines, and nextProbe is the domain clock of
	// the next probe.
	strikes   int
	nextProbe time.Duration
	// holders maps each accelerator to the job that holds it. It never shrinks,
	// because jobs may still hold accelerators that a restarted worker no longer
	// announces.
	holders []*job
	// jobs lists the jobs with a member on this worker, in order of ID.
	jobs []*job
}

// WorkerInfo is the public view of a worker.
type WorkerInfo struct {
	structs.Worker
	Incarnation uint64
	Lost        bool
	Leaving     bool
	Jobs        int
}

// info returns the public view of the worker.
func (w *worker) info() WorkerInfo {
	return WorkerInfo{Worker: w.Worker, Incarnation: w.incarnation, Lost: w.lost, Leaving: w.leaving, Jobs: len(w.jobs)}
}

// insert adds a job and keeps the order of IDs.
func (w *worker) insert(j *job) {
	i := sort.Search(len(w.jobs), func(i int) bool { return w.jobs[i].ID >= j.ID })
	w.jobs = append(w.jobs, nil)
	copy(w.jobs[i+1:], w.jobs[i:])
	w.jobs[i] = j
}

// remove removes a job if it is listed.
func (w *worker) remove(j *job) {
	i := sort.Search(len(w.jobs), func(i int) bool { return w.jobs[i].ID >= j.ID })
	if i < len(w.jobs) && w.jobs[i] == j {
		w.jobs = append(w.jobs[:i], w.jobs[i+1:]...)
	}
}

// resize extends holders to the announced number of accelerators.
func (w *worker) resize() {
	for len(w.holders) < w.Accelerators {
		w.holders = append(w.holders, nil)
	}
}

// registerWorker adds a worker, or records its restart, return or change of
// hardware. A higher incarnation proves that the tasks of the earlier process
// have ended.
func (s *State) registerWorker(b *RegisterWorker) Result {
	if r := s.checkWorker(b.Worker); r != nil {
		return Result{Refusal: r}
	}
	w := s.workers[b.Worker.ID]
	if w == nil {
		w = &worker{}
		s.workers[b.Worker.ID] = w
	} else if b.Incarnation < w.incarnation {
		return refused(structs.CodeInvalid, "a later incarnation of the worker is registered")
	}
	restarted := b.Incarnation > w.incarnation || w.epoch == 0
	if !restarted && !w.lost && sameHardware(w.Worker, b.Worker) {
		return Result{}
	}
	if restarted {
		s.endTasksOn(w, "worker "+b.Worker.ID+" restarted")
		w.leaving = false
	}
	quarantined := w.Quarantined
	w.Worker = b.Worker
	w.Quarantined = quarantined
	w.incarnation = b.Incarnation
	if restarted || w.lost {
		w.epoch = s.index
	}
	w.lost, w.lostAt = false, 0
	w.resize()
	s.changes.add(change{worker: w.ID})
	return Result{}
}

// checkWorker refuses workers that cannot belong to this failure domain.
func (s *State) checkWorker(w structs.Worker) *structs.Refusal {
	switch {
	case w.ID == "":
		return structs.RefuseNotRun(structs.CodeInvalid, "the worker has no ID")
	case w.Accelerators < 0 || w.Accelerators > MaxAccelerators:
		return structs.RefuseNotRun(structs.CodeInvalid, "the worker has an impossible number of accelerators")
	case w.Domain != "" && s.Domain() != "" && w.Domain != s.Domain():
		return structs.RefuseNotRun(structs.CodeInvalid, "the worker belongs to failure domain "+strconv.Quote(w.Domain))
	}
	return nil
}

// sameHardware reports whether two announcements of a worker are equal, apart from
// the quarantine.
func sameHardware(a, b structs.Worker) bool {
	a.Quarantined, b.Quarantined = false, false
	return a == b
}

// endTasksOn ends the members on a worker whose tasks are known to have ended.
// Their runs are stopped and requeued, which does not count as a failure.
func (s *State) endTasksOn(w *worker, reason string) {
	for _, j := range append([]*job(nil), w.jobs...) {
		i := j.member(w.ID)
		if isTerminal(j.phases[i]) {
			continue
		}
		s.endMember(j, i, structs.TaskStopped)
		j.interrupted = true
		s.beginStop(j, stopRequeue, true, reason)
		s.finishRun(j)
	}
}

// workerLost records that the lease of a worker has expired and ends its tasks.
func (s *State) workerLost(b *WorkerLost) Result {
	w := s.workers[b.Worker]
	if w == nil || w.lost || w.epoch != b.Epoch {
		return refused(structs.CodeNotFound, "the worker is gone, lost already or has registered again")
	}
	w.lost, w.lostAt, w.probeAllowed = true, s.clock, false
	s.changes.add(change{worker: w.ID})
	s.endTasksOn(w, "worker "+w.ID+" lost")
	s.removeIfDrained(w)
	return Result{}
}

// removeWorker starts to drain a worker.
func (s *State) removeWorker(b *RemoveWorker) Result {
	w := s.workers[b.Worker]
	if w == nil {
		return refused(structs.CodeNotFound, "no such worker")
	}
	w.leaving = true
	s.changes.add(change{worker: w.ID})
	for _, j := range append([]*job(nil), w.jobs...) {
		if j.Status != structs.JobStopping {
			s.stopGracefully(j, true, b.Grace, "worker "+w.ID+" leaves")
		}
	}
	s.removeIfDrained(w)
	return Result{}
}

// removeIfDrained removes the record of a worker that was told to leave, is lost
// and has no jobs left.
func (s *State) removeIfDrained(w *worker) {
	if w.leaving && w.lost && len(w.jobs) == 0 {
		delete(s.workers, w.ID)
		s.changes.add(change{worker: w.ID})
	}
}

// setQuarantine sets or lifts the quarantine of a worker.
func (s *State) setQuarantine(b *SetQuarantine) Result {
	w := s.workers[b.Worker]
	if w == nil {
		return refused(structs.CodeNotFound, "no such worker")
	}
	w.Quarantined = b.Quarantined
	w.probeAllowed = b.Quarantined && b.Probe
	w.strikes = b.Strikes
	w.nextProbe = b.Until
	s.changes.add(change{worker: w.ID})
	return Result{}
}

// acceptsWork reports whether the worker may get new work.
func (w *worker) acceptsWork() bool {
	return !w.lost && !w.leaving && (!w.Quarantined || w.probeAllowed)
}

// idleLostWorkers returns the lost workers without jobs in order of their loss.
func (s *State) idleLostWorkers() []*worker {
	var lost []*worker
	for _, w := range s.sortedWorkers() {
		if w.lost && len(w.jobs) == 0 {
			lost = append(lost, w)
		}
	}
	sort.SliceStable(lost, func(a, b int) bool { return lost[a].lostAt < lost[b].lostAt })
	return lost
}
