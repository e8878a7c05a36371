package placement

import (
	"slices"
	"strconv"
	"time"

	"cranberrydrum.dev/scheduler/guarantee"
	sched "cranberrydrum.dev/scheduler/placement"
	"cranberrydrum.dev/scheduler/structs"
)

// probeGrace is the longest time that a customer may wait for its free guaranteed
// shape: the grace period of a preempted job and 5 s for the scheduling rounds.
const probeGrace = sched.DefaultReclaimGrace + 5*time.Second

// guaranteeState returns the input of the reclaim check.
func (s *sim) guaranteeState() guarantee.State {
	state := guarantee.State{Topology: s.workload.rules.Topology, Guarantees: s.workload.rules.Guarantees}
	for _, w := range s.workload.workers {
		w.Quarantined = len(s.failures[w.ID]) >= quarantineFailures
		state.Workers = append(state.Workers, w)
	}
	for _, j := range s.sortedJobs() {
		if j.running == nil || j.running.Stopping {
			continue
		}
		state.Jobs = append(state.Jobs, guarantee.Job{
			ID: j.id, Customer: j.arrival.spec.Customer, Order: j.running.ReservedIndex,
			Started: j.running.Started, Members: j.running.Members,
		})
	}
	return state
}

// submitProbes submits one job for each slot of a customer's guarantee that is
// free, so that the customer requests all of it at once.
func (s *sim) submitProbes(n int) {
	customer := s.workload.rules.Guarantees[n%len(s.workload.rules.Guarantees)].Customer
	for i, size := range guarantee.OpenSlotSizes(s.guaranteeState(), customer) {
		id := "p" + strconv.Itoa(n) + "-" + strconv.Itoa(i)
		spec := structs.JobSpec{
			Customer: customer, Priority: structs.PriorityNormal, Accelerators: size, DeclaredRuntime: probeRuntime,
		}
		s.submit(id, arrival{at: s.now, spec: spec, runtime: probeRuntime}, true)
		s.pendingProbes = append(s.pendingProbes, pendingProbe{job: s.jobs[id], openSince: notOpen})
		s.metrics.probes++
	}
	s.schedule(event{at: s.now + probeGrace, kind: evVerify})
}

// pendingProbe is a waiting probe that has been neither dropped nor counted as a
// violation.
type pendingProbe struct {
	job *simJob
	// openSince is the time from which the customer has had an open slot for
	// the job without interruption, or notOpen.
	openSince time.Duration
}

// notOpen marks a probe without an open slot.
const notOpen = time.Duration(-1)

// checkProbes counts a violation for each probe that still waits although its
// customer has had an open guaranteed slot for it for probeGrace. A probe whose
// slot is used by an older job of the same customer is dropped after probeGrace.
func (s *sim) checkProbes() {
	open := map[string][]int{}
	s.pendingProbes = slices.DeleteFunc(s.pendingProbes, func(probe pendingProbe) bool {
		return s.jobs[probe.job.id] == nil || probe.job.running != nil
	})
	for i := range s.pendingProbes {
		probe := &s.pendingProbes[i]
		customer, n := probe.job.arrival.spec.Customer, probe.job.arrival.spec.Accelerators
		if _, known := open[customer]; !known {
			open[customer] = guarantee.OpenSlotSizes(s.guaranteeState(), customer)
		}
		at := slices.IndexFunc(open[customer], func(size int) bool { return size >= n })
		switch {
		case at < 0 || s.exceedsQuota(customer, n):
			probe.openSince = notOpen
			continue
		case probe.openSince == notOpen:
			probe.openSince = s.now
		}
		open[customer] = slices.Delete(open[customer], at, at+1)
	}
	s.pendingProbes = slices.DeleteFunc(s.pendingProbes, func(probe pendingProbe) bool {
		if probe.openSince != notOpen && s.now-probe.openSince >= probeGrace {
			s.metrics.violations++
			return true
		}
		return probe.openSince == notOpen && s.now-probe.job.arrival.at >= probeGrace
	})
}

// exceedsQuota reports whether a gang of n accelerators would exceed the quota of
// the customer.
func (s *sim) exceedsQuota(customer string, n int) bool {
	held := 0
	for _, j := range s.jobs {
		if j.running != nil && j.arrival.spec.Customer == customer {
			held += j.arrival.spec.Accelerators
		}
	}
	for _, q := range s.workload.rules.Quotas {
		if q.Customer == customer && held+n > q.Accelerators {
			return true
		}
	}
	return false
}
