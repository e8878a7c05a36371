package placement

import (
	"cmp"
	"slices"
	"strings"

	"cranberrydrum.dev/scheduler/guarantee"
	"cranberrydrum.dev/scheduler/structs"
)

// flush brings the indexes and the claims up to date.
func (s *Scheduler) flush() {
	if s.stale {
		s.rebuild()
	} else if len(s.requalified) > 0 {
		s.requalify()
	}
	s.evaluate()
}

// requalify takes over workers that changed in nothing that moves others. The
// jobs stay where they are, and only their claims are evaluated again.
func (s *Scheduler) requalify() {
	for _, id := range s.requalified {
		at := s.index[id]
		s.sorted[at] = s.specs[id]
		w := &s.workers[at]
		wasWhole := s.isWhole(w.usable)
		w.usable = usableOf(s.sorted[at])
		k := &s.racks[w.rack]
		if isWhole := s.isWhole(w.usable); isWhole && !wasWhole {
			k.healthy++
		} else if wasWhole && !isWhole {
			k.healthy--
		}
		s.refree(w)
	}
	s.requalified = s.requalified[:0]
	s.ledger = guarantee.NewLedger(s.topology, s.sorted, s.rules.Guarantees)
	s.marks = s.marks[:0]
}

// usableOf returns the accelerators of a worker that jobs may use.
func usableOf(w structs.Worker) guarantee.Mask {
	if w.Quarantined {
		return 0
	}
	return guarantee.FullMask(w.Accelerators)
}

// rebuild derives all indexes from the rules, the workers and the jobs.
func (s *Scheduler) rebuild() {
	s.stale = false
	s.requalified = s.requalified[:0]
	s.names = slices.DeleteFunc(s.names, func(c *customer) bool { return s.dropCustomer(c) })
	s.sorted = s.sortedWorkers()
	specs := s.sorted
	s.topology = s.deriveTopology(specs)
	s.perWorker = min(max(s.topology.AcceleratorsPerWorker, 1), guarantee.MaxAccelerators)
	stated := s.topology.Racks * s.topology.WorkersPerRack * s.topology.AcceleratorsPerWorker
	s.capacity = max(stated, s.addWorkers(specs))
	s.ledger = guarantee.NewLedger(s.topology, specs, s.rules.Guarantees)
	for _, c := range s.names {
		s.applyRules(c)
		c.inside = 0
	}
	s.addJobs()
}

// dropCustomer forgets a customer without jobs.
func (s *Scheduler) dropCustomer(c *customer) bool {
	if c.jobs > 0 {
		return false
	}
	delete(s.customers, c.name)
	return true
}

// sortedWorkers returns the workers by rack and ID.
func (s *Scheduler) sortedWorkers() []structs.Worker {
	specs := make([]structs.Worker, 0, len(s.specs))
	for _, w := range s.specs {
		specs = append(specs, w)
	}
	slices.SortFunc(specs, func(a, b structs.Worker) int {
		return cmp.Or(strings.Compare(a.Rack, b.Rack), strings.Compare(a.ID, b.ID))
	})
	return specs
}

// deriveTopology returns the stated topology, or the shape of the registered
// workers if none is stated.
func (s *Scheduler) deriveTopology(specs []structs.Worker) structs.FailureDomain {
	t := s.rules.Topology
	t.Name = s.rules.Domain
	if t.WorkersPerRack > 0 && t.AcceleratorsPerWorker > 0 {
		return t
	}
	perRack := 0
	for i, w := range specs {
		if i == 0 || w.Rack != specs[i-1].Rack {
			t.Racks++
			perRack = 0
		}
		perRack++
		t.WorkersPerRack = max(t.WorkersPerRack, perRack)
		t.AcceleratorsPerWorker = max(t.AcceleratorsPerWorker, w.Accelerators)
	}
	return t
}

// addWorkers builds the workers and racks and returns their accelerators.
func (s *Scheduler) addWorkers(specs []structs.Worker) int {
	total := 0
	s.racks = s.racks[:0]
	before, known := s.workers, s.index
	s.moved = slices.Grow(s.moved[:0], len(before))[:len(before)]
	for i := range s.moved {
		s.moved[i] = noWorker
	}
	s.workers = make([]worker, len(specs))
	s.index = make(map[string]int, len(specs))
	for i, spec := range specs {
		if i == 0 || spec.Rack != specs[i-1].Rack {
			s.racks = append(s.racks, rack{})
		}
		w := &s.workers[i]
		w.id = spec.ID
		if at, ok := known[spec.ID]; ok {
			s.moved[at] = i
			w.jobs = before[at].jobs[:0]
		}
		w.rack = len(s.racks) - 1
		total += spec.Accelerators
		w.usable = usableOf(spec)
		w.free = w.usable
		s.index[spec.ID] = i
		r := &s.racks[w.rack]
		r.workers = append(r.workers, i)
		if s.isWhole(w.usable) {
			r.healthy++
		}
		s.count(w)
	}
	return total
}

// addJobs puts the running jobs on the workers and into the claims.
func (s *Scheduler) addJobs() {
	s.keepClaims()
	s.marks = s.marks[:0]
	for _, j := range s.jobs {
		if !j.running {
			continue
		}
		j.inside = false
		s.move(j)
		for _, p := range j.parts {
			w := &s.workers[p.Worker]
			w.jobs = append(w.jobs, occupant{job: j, mask: p.Mask})
		}
		if !j.claims && j.mayClaim() {
			j.claims = true
			s.claims = append(s.claims, j)
		}
	}
	for i := range s.workers {
		w := &s.workers[i]
		slices.SortFunc(w.jobs, func(a, b occupant) int { return strings.Compare(a.job.id, b.job.id) })
		s.refree(w)
	}
	slices.SortFunc(s.claims, compareClaims)
}

// keepClaims drops the claims that are over. Those that stay are in order, which
// makes sorting them with the new ones cheap.
func (s *Scheduler) keepClaims() {
	s.claims = slices.DeleteFunc(s.claims, func(j *job) bool {
		j.claims = j.mayClaim() && s.jobs[j.id] == j
		return !j.claims
	})
}

// mayClaim reports whether a running job may be inside a guarantee.
func (j *job) mayClaim() bool {
	return j.customer.account != noAccount && !j.stopping
}

// move adjusts the accelerators of a job to the new positions of the workers.
func (s *Scheduler) move(j *job) {
	if len(j.parts) == 0 || len(j.parts) != len(j.members) {
		s.resolve(j)
		return
	}
	for i := range j.parts {
		at := s.moved[j.parts[i].Worker]
		if at == noWorker {
			s.resolve(j)
			return
		}
		j.parts[i].Worker = at
	}
}

// isWhole reports whether a mask holds a whole worker.
func (s *Scheduler) isWhole(mask guarantee.Mask) bool {
	full := guarantee.FullMask(s.perWorker)
	return mask&full == full
}

// count adds a worker to the counts of its rack.
func (s *Scheduler) count(w *worker) {
	avail := w.avail()
	w.level = guarantee.LargestCell(avail)
	r := &s.racks[w.rack]
	if s.isWhole(avail) {
		r.whole++
	}
	r.levels[w.level+1]++
}

// recount changes a worker and adjusts the counts of its rack.
func (s *Scheduler) recount(w *worker, change func()) {
	r := &s.racks[w.rack]
	if s.isWhole(w.avail()) {
		r.whole--
	}
	r.levels[w.level+1]--
	change()
	s.count(w)
}

// occupy enters a running job that is new.
func (s *Scheduler) occupy(j *job) {
	s.place(j)
	if j.mayClaim() {
		s.addClaim(j)
	}
}

// vacate removes a running job.
func (s *Scheduler) vacate(j *job) {
	for _, p := range j.parts {
		w := &s.workers[p.Worker]
		w.jobs = slices.DeleteFunc(w.jobs, func(o occupant) bool { return o.job == j })
		s.refree(w)
	}
	if j.mayClaim() {
		s.removeClaim(j)
	}
}

// place resolves the members of a job and occupies their accelerators.
func (s *Scheduler) place(j *job) {
	s.resolve(j)
	for _, p := range j.parts {
		w := &s.workers[p.Worker]
		at, _ := slices.BinarySearchFunc(w.jobs, j, func(o occupant, j *job) int {
			return strings.Compare(o.job.id, j.id)
		})
		w.jobs = slices.Insert(w.jobs, at, occupant{job: j, mask: p.Mask})
		s.refree(w)
	}
}

// resolve translates the members of a job.
func (s *Scheduler) resolve(j *job) {
	j.parts = j.parts[:0]
	j.complete = true
	for _, m := range j.members {
		at, ok := s.index[m.Worker]
		if !ok {
			j.complete = false
			continue
		}
		j.parts = append(j.parts, guarantee.Part{Worker: at, Mask: guarantee.MaskOf(m.Accelerators)})
	}
}

// refree recomputes the free accelerators of a worker from its jobs.
func (s *Scheduler) refree(w *worker) {
	s.recount(w, func() {
		w.free = w.usable
		for _, o := range w.jobs {
			w.free &^= o.mask
		}
	})
	w.refix()
}

// refix recomputes the accelerators that cannot be reclaimed.
func (w *worker) refix() {
	w.fixed = 0
	for _, o := range w.jobs {
		if o.job.inside && !o.job.stopping {
			w.fixed |= o.mask
		}
	}
}
