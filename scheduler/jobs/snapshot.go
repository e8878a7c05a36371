package jobs

import (
	"time"

	"cranberrydrum.dev/scheduler/structs"
)

// snapshotFormat is the version of the snapshot layout.
const snapshotFormat = 1

// snapshot is the serialized state, without data that can be derived from it.
type snapshot struct {
	Format  int
	Index   uint64
	Term    uint64
	Round   uint64
	Clock   time.Duration
	NextJob uint64
	Config  SetConfig
	Workers []workerRecord
	Jobs    []jobRecord
	// Terminal lists the IDs of terminal jobs in order of their end.
	Terminal []string
}

// workerRecord is the serialized form of a worker. Probe and Until hold
// worker.probeAllowed and worker.nextProbe.
type workerRecord struct {
	Worker      structs.Worker
	Incarnation uint64
	Epoch       uint64
	Lost        bool
	LostAt      time.Duration
	Leaving     bool
	Probe       bool
	Strikes     int
	Until       time.Duration
}

// jobRecord is the serialized form of a job. Halt and Order hold job.stopNow and
// job.reservedIndex.
type jobRecord struct {
	Job          structs.Job
	Seq          uint64
	Submitted    time.Duration
	Started      time.Duration
	Checkpointed time.Duration
	Finished     time.Duration
	Phases       []structs.TaskPhase
	Cause        uint8
	Halt         bool
	Deadline     time.Duration
	FailedOn     []string
	Avoid        []string
	Resumed      bool
	Ineligible   bool
	Order        uint64
}

// Snapshot encodes the state. Equal states have equal encodings.
func (s *State) Snapshot() ([]byte, error) {
	image := snapshot{
		Format: snapshotFormat, Index: s.index, Term: s.term, Round: s.round,
		Clock: s.clock, NextJob: s.nextJob, Config: s.config,
	}
	for _, w := range s.sortedWorkers() {
		image.Workers = append(image.Workers, w.record())
	}
	for _, j := range s.sortedJobs() {
		image.Jobs = append(image.Jobs, j.record())
	}
	for _, j := range s.terminal {
		image.Terminal = append(image.Terminal, j.ID)
	}
	return encode("snapshot", &image)
}

// Restore replaces the state with a snapshot. On an error the state is unchanged.
func (s *State) Restore(data []byte) error {
	var image snapshot
	if err := decode("snapshot", data, &image); err != nil {
		return err
	}
	if image.Format != snapshotFormat {
		return &SnapshotFormatError{Format: image.Format}
	}
	fresh := New()
	fresh.index, fresh.term, fresh.round = image.Index, image.Term, image.Round
	fresh.clock, fresh.nextJob, fresh.config = image.Clock, image.NextJob, image.Config
	if err := fresh.restoreRecords(&image); err != nil {
		return err
	}
	if s.changes.tracking {
		fresh.changes.track()
	}
	*s = *fresh
	return nil
}

// restoreRecords rebuilds the workers, the jobs and the data derived from them.
func (s *State) restoreRecords(image *snapshot) error {
	for _, r := range image.Workers {
		w := r.worker()
		s.workers[w.ID] = w
	}
	for _, r := range image.Jobs {
		j := r.job()
		s.jobs[j.ID] = j
		s.names[nameKey{j.Spec.Customer, j.Spec.Name}] = j
		if !j.Status.Terminal() {
			s.openJobs[j.Spec.Customer]++
		}
		if !j.active() {
			continue
		}
		if err := s.restoreMembers(j); err != nil {
			return err
		}
	}
	for _, id := range image.Terminal {
		j := s.jobs[id]
		if j == nil {
			return &SnapshotContentError{Job: id}
		}
		s.terminal = append(s.terminal, j)
	}
	return nil
}

// restoreMembers validates the gang of an active job and assigns its accelerators.
func (s *State) restoreMembers(j *job) error {
	if len(j.phases) != len(j.Members) {
		return &SnapshotContentError{Job: j.ID}
	}
	for i, m := range j.Members {
		w := s.workers[m.Worker]
		if w == nil {
			return &SnapshotContentError{Job: j.ID, Worker: m.Worker}
		}
		for _, a := range m.Accelerators {
			if a < 0 || a >= MaxAccelerators {
				return &SnapshotContentError{Job: j.ID, Worker: m.Worker}
			}
			for len(w.holders) <= a {
				w.holders = append(w.holders, nil)
			}
			if w.holders[a] != nil {
				return &SnapshotContentError{Job: j.ID, Worker: m.Worker}
			}
		}
		if !isTerminal(j.phases[i]) {
			j.liveMembers++
		}
	}
	s.allocate(j)
	return nil
}

// record returns the serialized form of a worker.
func (w *worker) record() workerRecord {
	return workerRecord{
		Worker: w.Worker, Incarnation: w.incarnation, Epoch: w.epoch, Lost: w.lost, LostAt: w.lostAt,
		Leaving: w.leaving, Probe: w.probeAllowed, Strikes: w.strikes, Until: w.nextProbe,
	}
}

// worker returns the worker of a record. Its jobs are added later by allocate.
func (r workerRecord) worker() *worker {
	w := &worker{
		Worker: r.Worker, incarnation: r.Incarnation, epoch: r.Epoch, lost: r.Lost, lostAt: r.LostAt,
		leaving: r.Leaving, probeAllowed: r.Probe, strikes: r.Strikes, nextProbe: r.Until,
	}
	w.resize()
	return w
}

// record returns the serialized form of a job.
func (j *job) record() jobRecord {
	return jobRecord{
		Job: j.Job, Seq: j.seq, Submitted: j.submitted, Started: j.started, Checkpointed: j.checkpointed,
		Finished: j.finished, Phases: j.phases, Cause: uint8(j.cause), Halt: j.stopNow, Deadline: j.deadline,
		FailedOn: j.failedOn, Avoid: j.avoid, Resumed: j.resumed, Ineligible: j.ineligible, Order: j.reservedIndex,
	}
}

// job returns the job of a record. restoreMembers counts its live members later.
func (r jobRecord) job() *job {
	return &job{
		Job: r.Job, seq: r.Seq, submitted: r.Submitted, started: r.Started, checkpointed: r.Checkpointed,
		finished: r.Finished, phases: r.Phases, cause: stopCause(r.Cause), stopNow: r.Halt, deadline: r.Deadline,
		failedOn: r.FailedOn, avoid: r.Avoid, resumed: r.Resumed, ineligible: r.Ineligible, reservedIndex: r.Order,
	}
}
