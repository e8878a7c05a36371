package placement

import (
	"reflect"
	"slices"
	"strings"
	"time"

	"cranberrydrum.dev/scheduler/guarantee"
	"cranberrydrum.dev/scheduler/structs"
)

// Scheduler holds the workers, jobs and indexes of one failure domain between
// rounds. It is not safe for concurrent use. A round has no effect on the next one:
// the caller reports the applied parts of a plan through SetRunning.
type Scheduler struct {
	cfg             Config
	rules           Rules
	topology        structs.FailureDomain
	specs           map[string]structs.Worker
	jobs            map[string]*job
	customers       map[string]*customer
	sortedCustomers []*customer // sorted by name

	// isStale is set if a change of workers or rules requires a rebuild of all
	// fields below.
	isStale bool
	// updatedWorkers lists changed workers whose rack and number of accelerators
	// stayed the same, for example quarantined ones. They need no rebuild.
	updatedWorkers []string
	sortedSpecs    []structs.Worker // by rack and ID
	workers        []worker         // sorted by rack and ID
	workerIndex    map[string]int
	racks          []rack
	newIndex       []int // new index of each worker of the last rebuild, or noWorker
	perWorker      int
	capacity       int
	ledger         *guarantee.Ledger

	// claims holds the running jobs of customers with guarantees, in the order in
	// which they claim. The first len(ledgerMarks) are evaluated; ledgerMarks
	// holds the mark of the ledger before each.
	claims      []*job
	ledgerMarks []int
	roundNumber uint64
	// stopping counts the running jobs that were ordered to stop.
	stopping int
	// interrupted holds the waiting jobs whose last run was lost with a worker.
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
		isStale:     true,
	}
}

// SetRules replaces the rules.
func (s *Scheduler) SetRules(rules Rules) {
	if reflect.DeepEqual(rules, s.rules) {
		return
	}
	s.rules = rules
	s.isStale = true
}

// SetWorker adds or replaces a worker.
func (s *Scheduler) SetWorker(w structs.Worker) {
	if known, ok := s.specs[w.ID]; ok && known == w {
		return
	}
	if samePlaceAndSize(s.specs[w.ID], w) {
		s.updatedWorkers = append(s.updatedWorkers, w.ID)
	} else {
		s.isStale = true
	}
	s.specs[w.ID] = w
}

// samePlaceAndSize reports whether two states of a worker have the same ID, rack
// and number of accelerators.
func samePlaceAndSize(a, b structs.Worker) bool {
	return a.ID == b.ID && a.Rack == b.Rack && a.Accelerators == b.Accelerators
}

// RemoveWorker removes a worker. Its running jobs remain until the caller removes
// them or queues them again.
func (s *Scheduler) RemoveWorker(id string) {
	if _, ok := s.specs[id]; !ok {
		return
	}
	delete(s.specs, id)
	s.isStale = true
}

// SetQueued adds or replaces a waiting job. A running job of the same ID is
// queued again.
func (s *Scheduler) SetQueued(q Queued) {
	s.Remove(q.ID)
	j := &job{id: q.ID, spec: q.Spec, queuedAt: q.QueuedAt, estimate: q.Estimate, avoid: q.Avoid}
	s.register(j)
	j.customer.enqueue(j)
	if q.Interrupted {
		s.interrupted[j] = struct{}{}
	}
}

// SetRunning adds or replaces a job that holds accelerators. A waiting job of the
// same ID is removed from the queue.
func (s *Scheduler) SetRunning(r Running) {
	if known, ok := s.jobs[r.ID]; ok && known.running && s.update(known, r) {
		return
	}
	s.Remove(r.ID)
	j := &job{
		id: r.ID, spec: r.Spec, running: true, estimate: r.Estimate, members: r.Members,
		reservedIndex: r.ReservedIndex, started: r.Started, checkpointed: r.Checkpointed, stopping: r.Stopping, stopBy: r.StopBy,
	}
	for _, m := range r.Members {
		j.held += len(m.Accelerators)
	}
	s.register(j)
	j.customer.held += j.held
	if j.stopping {
		s.stopping++
	}
	if !s.isStale {
		s.addRunning(j)
	}
}

// update changes a running job in place if its accelerators, its place among the
// claims and its stop state stay the same, which is the common case of a new
// checkpoint or estimate. It reports whether it did.
func (s *Scheduler) update(j *job, r Running) bool {
	same := j.reservedIndex == r.ReservedIndex && j.started == r.Started && j.stopping == r.Stopping &&
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

// equalMember reports whether two members hold the same accelerators.
func equalMember(a, b structs.Member) bool {
	return a.Worker == b.Worker && slices.Equal(a.Accelerators, b.Accelerators)
}

// Remove removes a job, if it is known.
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
	if !s.isStale {
		s.removeRunning(j)
	}
}

// register adds a job to its customer.
func (s *Scheduler) register(j *job) {
	s.jobs[j.id] = j
	j.customer = s.customerOf(j.spec.Customer)
	j.customer.jobs++
}

// customerOf returns the customer of a name and creates it if needed.
func (s *Scheduler) customerOf(name string) *customer {
	if c, ok := s.customers[name]; ok {
		return c
	}
	c := &customer{name: name}
	s.applyRules(c)
	s.customers[name] = c
	at, _ := slices.BinarySearchFunc(s.sortedCustomers, name, func(c *customer, n string) int {
		return strings.Compare(c.name, n)
	})
	s.sortedCustomers = slices.Insert(s.sortedCustomers, at, c)
	return c
}

// applyRules sets the weight, quota and account of a customer. A customer without
// a rule has weight 1 and no quota; its right to submit jobs is not checked here.
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
	s.refresh()
	var ids []string
	for _, j := range s.claims {
		if j.inside {
			ids = append(ids, j.id)
		}
	}
	slices.Sort(ids)
	return ids
}

// Round runs one round on a snapshot. It returns the same plan as
// Scheduler.Round on a scheduler with the same state.
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

// Round returns the jobs to start and to preempt at the given time, and why
// examined jobs wait.
func (s *Scheduler) Round(now time.Duration) Plan {
	s.refresh()
	r := newRound(s, now)
	r.resumeInterrupted()
	r.reserveGangs()
	r.placeGuaranteed()
	r.placeUrgent()
	r.startReserved()
	r.placeByFairShare()
	r.migrate()
	r.rollBack()
	return r.plan
}
