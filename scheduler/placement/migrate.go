package placement

import (
	"time"

	"cranberrydrum.dev/scheduler/guarantee"
	"cranberrydrum.dev/scheduler/structs"
)

// migrationOverhead is the run time that a migrated job is assumed to lose in
// addition to its checkpoint: it stops, waits for the next round and restores the
// checkpoint.
const migrationOverhead = time.Minute

// migrate stops running jobs with a checkpoint to free reserved accelerators, if
// the reserved gang gains more accelerator-hours than the jobs lose. It runs last
// in a round, so that no job is migrated for accelerators that a waiting job
// takes in the same round.
func (r *round) migrate() {
	for i := range r.reservations {
		v := &r.reservations[i]
		if !v.started && !r.anyAssigned(v.parts) {
			r.migrateFor(v)
		}
	}
}

// anyAssigned reports whether some of the accelerators were assigned in this
// round.
func (r *round) anyAssigned(parts []guarantee.Part) bool {
	for _, p := range parts {
		if r.s.workers[p.Worker].assigned&p.Mask != 0 {
			return true
		}
	}
	return false
}

// migrateFor migrates the jobs that delay a reserved gang.
func (r *round) migrateFor(v *reservation) {
	migrating, before, after := r.jobsToMigrate(v)
	if len(migrating) == 0 {
		return
	}
	lost := 0.0
	for _, j := range migrating {
		lost += r.assess(v.job, j, r.s.cfg.ReclaimGrace).Cost.LostAcceleratorHours + migrationOverhead.Hours()*float64(j.held)
	}
	gained := (before - after).Hours() * float64(v.job.spec.Accelerators)
	if gained <= lost || !r.placeMigrating(v.job, migrating) {
		return
	}
	for _, j := range migrating {
		r.preempt(j, v.job, r.s.cfg.ReclaimGrace)
	}
}

// jobsToMigrate lists the jobs that would have to migrate for a reservation. It
// also returns when the reserved accelerators are expected to be free without
// (before) and with (after) the migration. A job that ends before the last one
// that cannot migrate is not listed, because its migration would gain nothing.
func (r *round) jobsToMigrate(v *reservation) (migrating []*job, before, after time.Duration) {
	before, after = r.now, r.now+migrationOverhead
	var migratable []*job
	seen := make(map[*job]bool)
	for _, p := range v.parts {
		for _, o := range r.s.workers[p.Worker].jobs {
			if o.mask&p.Mask == 0 || seen[o.job] {
				continue
			}
			seen[o.job] = true
			before = max(before, r.expectedEnd(o.job))
			if r.canMigrate(o.job) {
				migratable = append(migratable, o.job)
				continue
			}
			after = max(after, r.expectedEnd(o.job))
		}
	}
	for _, j := range migratable {
		if r.expectedEnd(j) > after {
			migrating = append(migrating, j)
		}
	}
	return migrating, before, after
}

// canMigrate reports whether a job may be migrated. A job that has run for less
// than MigrateAfter is not, so that it makes progress between two migrations.
func (r *round) canMigrate(j *job) bool {
	if j.inside || r.isStopping(j) || j.spec.Priority >= structs.PriorityUrgent {
		return false
	}
	checkpoint := j.spec.CheckpointTime
	return checkpoint > 0 && checkpoint <= r.s.cfg.ReclaimGrace &&
		j.started > 0 && r.now-j.started >= r.s.cfg.MigrateAfter
}

// expectedVacancy returns when a running job is expected to free its
// accelerators, assuming that it is migrated if canMigrate allows it.
func (r *round) expectedVacancy(j *job) time.Duration {
	end := r.expectedEnd(j)
	if r.canMigrate(j) {
		return min(end, r.now+migrationOverhead)
	}
	return end
}

// placeMigrating finds other accelerators for the jobs that are to migrate and
// assigns them for the remainder of the round. It fails if there are none for a job
// that started before the gang was queued. A job that started later is stopped even
// if there are none, and waits in the queue.
func (r *round) placeMigrating(gang *job, migrating []*job) bool {
	var held []guarantee.Part
	for _, j := range migrating {
		parts := r.findFreeMemo(j)
		if parts == nil && j.started <= gang.queuedAt {
			r.releaseAssigned(held)
			return false
		}
		for _, p := range parts {
			w := r.markModified(p.Worker)
			r.s.recount(w, func() { w.assigned |= p.Mask })
		}
		held = append(held, parts...)
	}
	return true
}

// releaseAssigned releases accelerators that were held for a migration.
func (r *round) releaseAssigned(parts []guarantee.Part) {
	for _, p := range parts {
		w := &r.s.workers[p.Worker]
		r.s.recount(w, func() { w.assigned &^= p.Mask })
	}
}
