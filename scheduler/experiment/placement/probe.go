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
	var ids []string
	for i, size := range guarantee.Open(s.state(), customer) {
		id := "p" + strconv.Itoa(n) + "-" + strconv.Itoa(i)
		spec := structs.JobSpec{
			Customer: customer, Priority: structs.PriorityNormal, Accelerators: size, DeclaredRuntime: probeRun,
		}
		s.submit(id, arrival{at: s.now, spec: spec, run: probeRun}, true)
		ids = append(ids, id)
	}
	s.metrics.probes += len(ids)
	s.probes = append(s.probes, ids)
	s.schedule(event{at: s.now + probeGrace, kind: evVerify, n: n})
}

// verify counts the jobs of a probe that still wait although the customer has
// an open guaranteed slot for them. The others gave way to older jobs of the
// same customer.
func (s *sim) verify(n int) {
	customer := s.load.rules.Guarantees[n%len(s.load.rules.Guarantees)].Customer
	open := guarantee.Open(s.state(), customer)
	for _, id := range s.probes[n] {
		j := s.jobs[id]
		if j == nil || j.running != nil {
			continue
		}
		at := slices.IndexFunc(open, func(size int) bool { return size >= j.arrival.spec.Accelerators })
		if at < 0 || s.overQuota(customer, j.arrival.spec.Accelerators) {
			continue
		}
		open = slices.Delete(open, at, at+1)
		s.metrics.violations++
	}
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
