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
	}
	s.evaluate()
}

// rebuild derives all indexes from the rules, the workers and the jobs.
func (s *Scheduler) rebuild() {
	s.stale = false
	s.names = slices.DeleteFunc(s.names, func(c *customer) bool { return s.dropCustomer(c) })
	specs := s.sortedWorkers()
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
	s.workers = make([]worker, len(specs))
	s.index = make(map[string]int, len(specs))
	for i, spec := range specs {
		if i == 0 || spec.Rack != specs[i-1].Rack {
			s.racks = append(s.racks, rack{})
		}
		w := &s.workers[i]
		w.id = spec.ID
		w.rack = len(s.racks) - 1
		total += spec.Accelerators
		if !spec.Quarantined {
			w.usable = guarantee.FullMask(spec.Accelerators)
		}
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
	s.claims = s.claims[:0]
	s.marks = s.marks[:0]
	for _, j := range s.jobs {
		if !j.running {
			continue
		}
		j.inside = false
		s.resolve(j)
		for _, p := range j.parts {
			w := &s.workers[p.Worker]
			w.jobs = append(w.jobs, occupant{job: j, mask: p.Mask})
		}
		if j.customer.account != noAccount && !j.stopping {
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
	if j.customer.account != noAccount && !j.stopping {
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
	if j.customer.account != noAccount && !j.stopping {
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
