package placement

import (
	"reflect"
	"slices"
	"strings"
	"time"

	"cranberrydrum.dev/scheduler/guarantee"
	"cranberrydrum.dev/scheduler/structs"
)

// Scheduler holds the indexes of one failure domain between rounds. It is not
// safe for concurrent use. A round changes nothing that the next round sees:
// the caller reports the accepted parts of a plan through SetRunning.
type Scheduler struct {
	cfg       Config
	rules     Rules
	topology  structs.FailureDomain
	specs     map[string]structs.Worker
	jobs      map[string]*job
	customers map[string]*customer
	names     []*customer // sorted by name

	// stale asks for a rebuild of everything below, after a change of workers
	// or rules.
	stale bool
	// requalified lists workers that changed in nothing that moves others, such
	// as their quarantine.
	requalified []string
	sorted      []structs.Worker // by rack and ID
	workers     []worker         // sorted by rack and ID
	index       map[string]int
	racks       []rack
	moved       []int // new position of each worker of the last rebuild
	perWorker   int
	capacity    int
	ledger      *guarantee.Ledger

	// claims holds the running jobs of customers with guarantees in the order
	// of their claims. The first len(marks) are evaluated, and marks holds the
	// position of the ledger before each.
	claims []*job
	marks  []int
	stamp  uint64
	// stopping counts the running jobs that were told to stop.
	stopping int
	// interrupted holds the waiting jobs that lost their run with a worker.
	interrupted map[*job]struct{}
}

// New returns a scheduler without rules, workers and jobs.
func New(cfg Config) *Scheduler {
	return &Scheduler{
		cfg:       cfg.withDefaults(),
		specs:     make(map[string]structs.Worker),
		jobs:      make(map[string]*job),
		customers: make(map[string]*customer),

		interrupted: make(map[*job]struct{}),
		stale:       true,
	}
}

// SetRules replaces the rules.
func (s *Scheduler) SetRules(rules Rules) {
	if reflect.DeepEqual(rules, s.rules) {
		return
	}
	s.rules = rules
	s.stale = true
}

// SetWorker adds a worker or replaces what is known of it.
func (s *Scheduler) SetWorker(w structs.Worker) {
	if known, ok := s.specs[w.ID]; ok && known == w {
		return
	}
	if sameShape(s.specs[w.ID], w) {
		s.requalified = append(s.requalified, w.ID)
	} else {
		s.stale = true
	}
	s.specs[w.ID] = w
}

// sameShape reports whether two states of a worker have the same place and size.
func sameShape(a, b structs.Worker) bool {
	return a.ID == b.ID && a.Rack == b.Rack && a.Accelerators == b.Accelerators
}

// RemoveWorker removes a worker. Its jobs stay until they are removed or queued.
func (s *Scheduler) RemoveWorker(id string) {
	if _, ok := s.specs[id]; !ok {
		return
	}
	delete(s.specs, id)
	s.stale = true
}

// SetQueued adds or replaces a waiting job. A running job of the same ID is
// queued again.
func (s *Scheduler) SetQueued(q Queued) {
	s.Remove(q.ID)
	j := &job{id: q.ID, spec: q.Spec, since: q.Since, estimate: q.Estimate, avoid: q.Avoid}
	s.register(j)
	j.customer.enqueue(j)
	if q.Interrupted {
		s.interrupted[j] = struct{}{}
	}
}

// SetRunning adds or replaces a job that holds accelerators. A waiting job of
// the same ID leaves the queue.
func (s *Scheduler) SetRunning(r Running) {
	if known, ok := s.jobs[r.ID]; ok && known.running && s.update(known, r) {
		return
	}
	s.Remove(r.ID)
	j := &job{
		id: r.ID, spec: r.Spec, running: true, estimate: r.Estimate, members: r.Members,
		order: r.Order, started: r.Started, checkpointed: r.Checkpointed, stopping: r.Stopping, stopBy: r.StopBy,
	}
	for _, m := range r.Members {
		j.held += len(m.Accelerators)
	}
	s.register(j)
	j.customer.held += j.held
	if j.stopping {
		s.stopping++
	}
	if !s.stale {
		s.occupy(j)
	}
}

// update changes a running job in place if neither its accelerators nor its
// claim change, which is the common case of a new checkpoint or estimate.
func (s *Scheduler) update(j *job, r Running) bool {
	same := j.order == r.Order && j.started == r.Started && j.stopping == r.Stopping &&
		j.spec.Customer == r.Spec.Customer
	if !same || !slices.EqualFunc(j.members, r.Members, equalMember) {
		return false
	}
	j.spec = r.Spec
	j.estimate = r.Estimate
	j.checkpointed = r.Checkpointed
	j.stopBy = r.StopBy
	return true
}

// equalMember compares two members.
func equalMember(a, b structs.Member) bool {
	return a.Worker == b.Worker && slices.Equal(a.Accelerators, b.Accelerators)
}

// Remove forgets a job.
func (s *Scheduler) Remove(id string) {
	j, ok := s.jobs[id]
	if !ok {
		return
	}
	delete(s.jobs, id)
	delete(s.interrupted, j)
	j.customer.jobs--
	if !j.running {
		j.customer.dequeue(j)
		return
	}
	j.customer.held -= j.held
	if j.stopping {
		s.stopping--
	}
	if !s.stale {
		s.vacate(j)
	}
}

// register adds a job to its customer.
func (s *Scheduler) register(j *job) {
	s.jobs[j.id] = j
	j.customer = s.customerOf(j.spec.Customer)
	j.customer.jobs++
}

// customerOf returns a customer, which is created if needed.
func (s *Scheduler) customerOf(name string) *customer {
	if c, ok := s.customers[name]; ok {
		return c
	}
	c := &customer{name: name}
	s.applyRules(c)
	s.customers[name] = c
	at, _ := slices.BinarySearchFunc(s.names, name, func(c *customer, n string) int {
		return strings.Compare(c.name, n)
	})
	s.names = slices.Insert(s.names, at, c)
	return c
}

// applyRules sets weight, quota and account of a customer. A customer without a rule has
// weight 1 and no quota; whether it may submit at all is decided elsewhere.
func (s *Scheduler) applyRules(c *customer) {
	c.weight = 1
	for _, rule := range s.rules.Customers {
		if rule.Name == c.name {
			c.weight = max(rule.Weight, 1)
		}
	}
	c.quota = quotaOf(s.rules, c.name)
	c.account = noAccount
	if s.ledger == nil {
		return
	}
	if account, ok := s.ledger.Customer(c.name); ok {
		c.account = account
	}
}

// Inside returns the IDs of the running jobs inside their customer's
// guarantee, sorted.
func (s *Scheduler) Inside() []string {
	s.flush()
	var ids []string
	for _, j := range s.claims {
		if j.inside {
			ids = append(ids, j.id)
		}
	}
	slices.Sort(ids)
	return ids
}

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

// Round decides what starts and what stops, at the given time.
func (s *Scheduler) Round(now time.Duration) Plan {
	s.flush()
	r := newRound(s, now)
	r.resume()
	r.reserveGangs()
	r.guaranteed()
	r.urgent()
	r.settleReservations()
	r.fair()
	r.migrate()
	r.rollBack()
	return r.plan
}
