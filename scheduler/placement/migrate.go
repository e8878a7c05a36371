package placement

import (
	"time"

	"cranberrydrum.dev/scheduler/guarantee"
	"cranberrydrum.dev/scheduler/structs"
)

// migrationOverhead is the time that a job is assumed to lose by a migration
// beyond its checkpoint: it stops, waits for a round and restores the checkpoint.
const migrationOverhead = time.Minute

// migrate stops running jobs by checkpoint to vacate reserved accelerators, if
// the reserved gang gains more accelerator-hours than the jobs lose. It runs
// last in a round, so that no job goes to accelerators that a waiting one takes.
func (r *round) migrate() {
	for i := range r.reservations {
		v := &r.reservations[i]
		if !v.started && !r.anyTaken(v.parts) {
			r.vacate(v)
		}
	}
}

// anyTaken reports whether a job of this round was given some accelerators.
func (r *round) anyTaken(parts []guarantee.Part) bool {
	for _, p := range parts {
		if r.s.workers[p.Worker].taken&p.Mask != 0 {
			return true
		}
	}
	return false
}

// vacate migrates the jobs that keep a reserved gang waiting.
func (r *round) vacate(v *reservation) {
	movers, before, after := r.movers(v)
	if len(movers) == 0 {
		return
	}
	lost := 0.0
	for _, j := range movers {
		lost += r.assess(v.job, j, r.s.cfg.ReclaimGrace).Cost.Lost + migrationOverhead.Hours()*float64(j.held)
	}
	gained := (before - after).Hours() * float64(v.job.spec.Accelerators)
	if gained <= lost || !r.placeMovers(v.job, movers) {
		return
	}
	for _, j := range movers {
		r.stop(j, v.job, r.s.cfg.ReclaimGrace)
	}
}

// movers lists the jobs that would have to migrate, and when the reserved
// accelerators are expected to be free if they stay and if they leave. Jobs
// that end before the last one that cannot migrate are not listed.
func (r *round) movers(v *reservation) (movers []*job, before, after time.Duration) {
	before, after = r.now, r.now+migrationOverhead
	var movable []*job
	seen := make(map[*job]bool)
	for _, p := range v.parts {
		for _, o := range r.s.workers[p.Worker].jobs {
			if o.mask&p.Mask == 0 || seen[o.job] {
				continue
			}
			seen[o.job] = true
			before = max(before, r.expectedEnd(o.job))
			if r.movable(o.job) {
				movable = append(movable, o.job)
				continue
			}
			after = max(after, r.expectedEnd(o.job))
		}
	}
	for _, j := range movable {
		if r.expectedEnd(j) > after {
			movers = append(movers, j)
		}
	}
	return movers, before, after
}

// movable reports whether a job can migrate. One that has started only lately
// stays, so that it makes progress between two migrations.
func (r *round) movable(j *job) bool {
	if j.inside || r.leaving(j) || j.spec.Priority >= structs.PriorityUrgent {
		return false
	}
	checkpoint := j.spec.CheckpointTime
	return checkpoint > 0 && checkpoint <= r.s.cfg.ReclaimGrace &&
		j.started > 0 && r.now-j.started >= r.s.cfg.MigrateAfter
}

// vacatedAt returns when a running job is expected to free its accelerators if
// it is migrated whenever it can be.
func (r *round) vacatedAt(j *job) time.Duration {
	end := r.expectedEnd(j)
	if r.movable(j) {
		return min(end, r.now+migrationOverhead)
	}
	return end
}

// placeMovers looks for accelerators elsewhere for jobs that migrate. A job for
// which there are none may be stopped only if it started while the gang was
// waiting already; then it waits in turn.
func (r *round) placeMovers(gang *job, movers []*job) bool {
	var held []guarantee.Part
	for _, j := range movers {
		parts := r.findFreeMemo(j)
		if parts == nil && j.started <= gang.since {
			r.giveBack(held)
			return false
		}
		for _, p := range parts {
			w := r.touch(p.Worker)
			r.s.recount(w, func() { w.taken |= p.Mask })
		}
		held = append(held, parts...)
	}
	return true
}

// giveBack releases accelerators held for jobs that do not migrate.
func (r *round) giveBack(parts []guarantee.Part) {
	for _, p := range parts {
		w := &r.s.workers[p.Worker]
		r.s.recount(w, func() { w.taken &^= p.Mask })
	}
}
