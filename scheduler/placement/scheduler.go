package placement

import (
	"time"

	"cranberrydrum.dev/scheduler/structs"
)

// Scheduler holds the indexes of one failure domain between rounds. It is not
// safe for concurrent use. A round changes nothing that the next round sees:
// the caller reports the accepted parts of a plan through SetRunning.
type Scheduler struct {
	cfg Config
}

// New returns a scheduler without rules, workers and jobs.
func New(cfg Config) *Scheduler {
	return &Scheduler{cfg: cfg.withDefaults()}
}

// SetRules replaces the rules.
func (s *Scheduler) SetRules(rules Rules) {}

// SetWorker adds a worker or replaces what is known of it.
func (s *Scheduler) SetWorker(w structs.Worker) {}

// RemoveWorker removes a worker.
func (s *Scheduler) RemoveWorker(id string) {}

// SetQueued adds or replaces a waiting job. A running job of the same ID is
// queued again.
func (s *Scheduler) SetQueued(q Queued) {}

// SetRunning adds or replaces a job that holds accelerators. A waiting job of
// the same ID leaves the queue.
func (s *Scheduler) SetRunning(r Running) {}

// Remove forgets a job.
func (s *Scheduler) Remove(job string) {}

// Round decides what starts and what stops, at the given time.
func (s *Scheduler) Round(now time.Duration) Plan { return Plan{} }

// Round is the stateless form of Scheduler.Round.
func Round(snapshot Snapshot) Plan {
	s := New(snapshot.Config)
	s.SetRules(snapshot.Rules)
	for _, w := range snapshot.Workers {
		s.SetWorker(w)
	}
	for _, r := range snapshot.Running {
		s.SetRunning(r)
	}
	for _, q := range snapshot.Queued {
		s.SetQueued(q)
	}
	return s.Round(snapshot.Now)
}
