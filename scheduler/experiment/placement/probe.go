package placement

import (
	"slices"
	"strconv"
	"time"

	"cranberrydrum.dev/scheduler/guarantee"
	sched "cranberrydrum.dev/scheduler/placement"
	"cranberrydrum.dev/scheduler/structs"
)

// probeGrace is how long a customer may wait for its free guaranteed shape: the
// grace of a victim and some seconds for the rounds.
const probeGrace = sched.DefaultReclaimGrace + 5*time.Second

// state is the input of the reclaim check.
func (s *sim) state() guarantee.State {
	state := guarantee.State{Topology: s.load.rules.Topology, Guarantees: s.load.rules.Guarantees}
	for _, w := range s.load.workers {
		w.Quarantined = len(s.failures[w.ID]) >= failuresToAvoid
		state.Workers = append(state.Workers, w)
	}
	for _, j := range s.sortedJobs() {
		if j.running == nil || j.running.Stopping {
			continue
		}
		state.Jobs = append(state.Jobs, guarantee.Job{
			ID: j.id, Customer: j.arrival.spec.Customer, Order: j.running.Order,
			Started: j.running.Started, Members: j.running.Members,
		})
	}
	return state
}

// probe lets a customer ask for its whole free guarantee.
func (s *sim) probe(n int) {
	customer := s.load.rules.Guarantees[n%len(s.load.rules.Guarantees)].Customer
	for i, size := range guarantee.Open(s.state(), customer) {
		id := "p" + strconv.Itoa(n) + "-" + strconv.Itoa(i)
		spec := structs.JobSpec{
			Customer: customer, Priority: structs.PriorityNormal, Accelerators: size, DeclaredRuntime: probeRun,
		}
		s.submit(id, arrival{at: s.now, spec: spec, run: probeRun}, true)
		s.watched = append(s.watched, watch{job: s.jobs[id], openSince: notOpen})
		s.metrics.probes++
	}
	s.schedule(event{at: s.now + probeGrace, kind: evVerify})
}

// watch follows a probe until it starts, gives way or counts as a violation.
type watch struct {
	job *simJob
	// openSince is since when the customer has had an open slot for the job
	// without interruption, or notOpen.
	openSince time.Duration
}

// notOpen marks a probe without an open slot.
const notOpen = time.Duration(-1)

// watchProbes counts a violation for each probe that waits although its
// customer has had an open guaranteed slot for it during the whole grace. Probes
// whose slots went to older jobs of the same customer give way.
func (s *sim) watchProbes() {
	open := map[string][]int{}
	s.watched = slices.DeleteFunc(s.watched, func(w watch) bool {
		return s.jobs[w.job.id] == nil || w.job.running != nil
	})
	for i := range s.watched {
		w := &s.watched[i]
		customer, n := w.job.arrival.spec.Customer, w.job.arrival.spec.Accelerators
		if _, known := open[customer]; !known {
			open[customer] = guarantee.Open(s.state(), customer)
		}
		at := slices.IndexFunc(open[customer], func(size int) bool { return size >= n })
		switch {
		case at < 0 || s.overQuota(customer, n):
			w.openSince = notOpen
			continue
		case w.openSince == notOpen:
			w.openSince = s.now
		}
		open[customer] = slices.Delete(open[customer], at, at+1)
	}
	s.watched = slices.DeleteFunc(s.watched, func(w watch) bool {
		if w.openSince != notOpen && s.now-w.openSince >= probeGrace {
			s.metrics.violations++
			return true
		}
		return w.openSince == notOpen && s.now-w.job.arrival.at >= probeGrace
	})
}

// overQuota reports whether the quota of a customer has no room for a gang.
func (s *sim) overQuota(customer string, n int) bool {
	held := 0
	for _, j := range s.jobs {
		if j.running != nil && j.arrival.spec.Customer == customer {
			held += j.arrival.spec.Accelerators
		}
	}
	for _, q := range s.load.rules.Quotas {
		if q.Customer == customer && held+n > q.Accelerators {
			return true
		}
	}
	return false
}
