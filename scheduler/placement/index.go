package placement

import (
	"cmp"
	"slices"
	"strings"

	"cranberrydrum.dev/scheduler/guarantee"
	"cranberrydrum.dev/scheduler/structs"
)

// refresh brings the indexes and the claims up to date.
func (s *Scheduler) refresh() {
	if s.isStale {
		s.rebuild()
	} else if len(s.updatedWorkers) > 0 {
		s.applyWorkerUpdates()
	}
	s.evaluateClaims()
}

// applyWorkerUpdates applies changes of workers whose place and size stayed the
// same. The indexes of workers and jobs remain valid, and only the claims are
// evaluated again.
func (s *Scheduler) applyWorkerUpdates() {
	for _, id := range s.updatedWorkers {
		at := s.workerIndex[id]
		s.sortedSpecs[at] = s.specs[id]
		w := &s.workers[at]
		wasWhole := s.isWhole(w.usable)
		w.usable = usableOf(s.sortedSpecs[at])
		k := &s.racks[w.rack]
		if isWhole := s.isWhole(w.usable); isWhole && !wasWhole {
			k.healthy++
		} else if wasWhole && !isWhole {
			k.healthy--
		}
		s.updateFree(w)
	}
	s.updatedWorkers = s.updatedWorkers[:0]
	s.ledger = guarantee.NewLedger(s.topology, s.sortedSpecs, s.rules.Guarantees)
	s.ledgerMarks = s.ledgerMarks[:0]
}

// usableOf returns the accelerators of a worker that jobs may use: none while it
// is quarantined.
func usableOf(w structs.Worker) guarantee.Mask {
	if w.Quarantined {
		return 0
	}
	return guarantee.FullMask(w.Accelerators)
}

// rebuild derives all indexes from the rules, the workers and the jobs.
func (s *Scheduler) rebuild() {
	s.isStale = false
	s.updatedWorkers = s.updatedWorkers[:0]
	s.sortedCustomers = slices.DeleteFunc(s.sortedCustomers, func(c *customer) bool { return s.dropCustomer(c) })
	s.sortedSpecs = s.sortedWorkers()
	specs := s.sortedSpecs
	s.topology = s.deriveTopology(specs)
	s.perWorker = min(max(s.topology.AcceleratorsPerWorker, 1), guarantee.MaxAccelerators)
	configured := s.topology.Racks * s.topology.WorkersPerRack * s.topology.AcceleratorsPerWorker
	s.capacity = max(configured, s.addWorkers(specs))
	s.ledger = guarantee.NewLedger(s.topology, specs, s.rules.Guarantees)
	for _, c := range s.sortedCustomers {
		s.applyRules(c)
		c.inside = 0
	}
	s.addJobs()
}

// dropCustomer deletes a customer that has no jobs. It reports whether it did.
func (s *Scheduler) dropCustomer(c *customer) bool {
	if c.jobs > 0 {
		return false
	}
	delete(s.customers, c.name)
	return true
}

// sortedWorkers returns the workers sorted by rack and ID.
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

// deriveTopology returns the configured topology, or one derived from the
// registered workers if none is configured.
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

// addWorkers builds the workers and racks and returns their total number of
// accelerators. It records the new index of each worker of the last rebuild.
func (s *Scheduler) addWorkers(specs []structs.Worker) int {
	total := 0
	s.racks = s.racks[:0]
	before, known := s.workers, s.workerIndex
	s.newIndex = slices.Grow(s.newIndex[:0], len(before))[:len(before)]
	for i := range s.newIndex {
		s.newIndex[i] = noWorker
	}
	s.workers = make([]worker, len(specs))
	s.workerIndex = make(map[string]int, len(specs))
	for i, spec := range specs {
		if i == 0 || spec.Rack != specs[i-1].Rack {
			s.racks = append(s.racks, rack{})
		}
		w := &s.workers[i]
		w.id = spec.ID
		if at, ok := known[spec.ID]; ok {
			s.newIndex[at] = i
			w.jobs = before[at].jobs[:0]
		}
		w.rack = len(s.racks) - 1
		total += spec.Accelerators
		w.usable = usableOf(spec)
		w.free = w.usable
		s.workerIndex[spec.ID] = i
		k := &s.racks[w.rack]
		k.workers = append(k.workers, i)
		if s.isWhole(w.usable) {
			k.healthy++
		}
		s.addToRackCounts(w)
	}
	return total
}

// addJobs enters the running jobs into the workers and the claims.
func (s *Scheduler) addJobs() {
	s.dropEndedClaims()
	s.ledgerMarks = s.ledgerMarks[:0]
	for _, j := range s.jobs {
		if !j.running {
			continue
		}
		j.inside = false
		s.remapParts(j)
		for _, p := range j.parts {
			w := &s.workers[p.Worker]
			w.jobs = append(w.jobs, occupant{job: j, mask: p.Mask})
		}
		if !j.isClaimant && j.mayClaim() {
			j.isClaimant = true
			s.claims = append(s.claims, j)
		}
	}
	for i := range s.workers {
		w := &s.workers[i]
		slices.SortFunc(w.jobs, func(a, b occupant) int { return strings.Compare(a.job.id, b.job.id) })
		s.updateFree(w)
	}
	slices.SortFunc(s.claims, compareClaims)
}

// dropEndedClaims removes claims of jobs that have ended or can no longer claim.
// The others stay sorted, which makes sorting them with the new ones cheap.
func (s *Scheduler) dropEndedClaims() {
	s.claims = slices.DeleteFunc(s.claims, func(j *job) bool {
		j.isClaimant = j.mayClaim() && s.jobs[j.id] == j
		return !j.isClaimant
	})
}

// mayClaim reports whether a running job may be inside a guarantee.
func (j *job) mayClaim() bool {
	return j.customer.account != noAccount && !j.stopping
}

// remapParts replaces the worker indexes of a job's parts by the new ones.
func (s *Scheduler) remapParts(j *job) {
	if len(j.parts) == 0 || len(j.parts) != len(j.members) {
		s.resolveMembers(j)
		return
	}
	for i := range j.parts {
		at := s.newIndex[j.parts[i].Worker]
		if at == noWorker {
			s.resolveMembers(j)
			return
		}
		j.parts[i].Worker = at
	}
}

// isWhole reports whether a mask contains all accelerators of a whole worker.
func (s *Scheduler) isWhole(mask guarantee.Mask) bool {
	full := guarantee.FullMask(s.perWorker)
	return mask&full == full
}

// addToRackCounts adds a worker to the counts of its rack.
func (s *Scheduler) addToRackCounts(w *worker) {
	avail := w.available()
	w.level = guarantee.LargestCell(avail)
	k := &s.racks[w.rack]
	if s.isWhole(avail) {
		k.whole++
	}
	k.levels[w.level+1]++
}

// recount applies a change to a worker and updates the counts of its rack.
func (s *Scheduler) recount(w *worker, change func()) {
	k := &s.racks[w.rack]
	if s.isWhole(w.available()) {
		k.whole--
	}
	k.levels[w.level+1]--
	change()
	s.addToRackCounts(w)
}

// addRunning adds a running job to the workers and the claims.
func (s *Scheduler) addRunning(j *job) {
	s.occupyMembers(j)
	if j.mayClaim() {
		s.addClaim(j)
	}
}

// removeRunning removes a running job from the workers and the claims.
func (s *Scheduler) removeRunning(j *job) {
	for _, p := range j.parts {
		w := &s.workers[p.Worker]
		w.jobs = slices.DeleteFunc(w.jobs, func(o occupant) bool { return o.job == j })
		s.updateFree(w)
	}
	if j.mayClaim() {
		s.removeClaim(j)
	}
}

// occupyMembers resolves the members of a job and marks their accelerators as
// occupied.
func (s *Scheduler) occupyMembers(j *job) {
	s.resolveMembers(j)
	for _, p := range j.parts {
		w := &s.workers[p.Worker]
		at, _ := slices.BinarySearchFunc(w.jobs, j, func(o occupant, j *job) int {
			return strings.Compare(o.job.id, j.id)
		})
		w.jobs = slices.Insert(w.jobs, at, occupant{job: j, mask: p.Mask})
		s.updateFree(w)
	}
}

// resolveMembers translates the members of a job to worker indexes and masks.
// Members on unknown workers are left out.
func (s *Scheduler) resolveMembers(j *job) {
	j.parts = j.parts[:0]
	j.complete = true
	for _, m := range j.members {
		at, ok := s.workerIndex[m.Worker]
		if !ok {
			j.complete = false
			continue
		}
		j.parts = append(j.parts, guarantee.Part{Worker: at, Mask: guarantee.MaskOf(m.Accelerators)})
	}
}

// updateFree recomputes the free and the protected accelerators of a worker from
// its jobs.
func (s *Scheduler) updateFree(w *worker) {
	s.recount(w, func() {
		w.free = w.usable
		for _, o := range w.jobs {
			w.free &^= o.mask
		}
	})
	w.updateProtected()
}

// updateProtected recomputes the accelerators that must not be preempted.
func (w *worker) updateProtected() {
	w.protected = 0
	for _, o := range w.jobs {
		if o.job.inside && !o.job.stopping {
			w.protected |= o.mask
		}
	}
}
