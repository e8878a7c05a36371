package placement_test

import (
	"math/bits"
	"reflect"
	"slices"
	"time"

	"cranberrydrum.dev/scheduler/guarantee"
	"cranberrydrum.dev/scheduler/placement"
	"cranberrydrum.dev/scheduler/structs"
	"pgregory.net/rapid"
)

// round runs a round, checks that the stateless function returns the same plan,
// checks the plan and applies it.
func (m *model) round(t *rapid.T) placement.Plan {
	m.now += time.Second
	plan := m.s.Round(m.now)
	if stateless := placement.Round(m.snapshot()); !reflect.DeepEqual(plan, stateless) {
		t.Fatalf("incremental plan %+v differs from stateless plan %+v", plan, stateless)
	}
	m.checkPreempts(t, plan)
	for _, s := range plan.Starts {
		m.start(t, s)
	}
	for _, p := range plan.Preempts {
		r := m.running[p.Job]
		r.Stopping = true
		m.run(r)
	}
	return plan
}

// checkPreempts checks that victims run, are outside their guarantee and stop
// within the grace period, and that no victim is preempted needlessly.
func (m *model) checkPreempts(t *rapid.T, plan placement.Plan) {
	inside := guarantee.Inside(m.state())
	victims := map[string][]string{}
	for _, p := range plan.Preempts {
		r, ok := m.running[p.Job]
		if !ok || r.Stopping || slices.Contains(inside, p.Job) {
			t.Fatalf("victim %s is not running, stops already or is inside its guarantee", p.Job)
		}
		if m.queued[p.Requester].Spec.Priority == structs.PriorityUrgent && p.Grace > 2*time.Second {
			t.Fatalf("grace %v of a victim of an urgent job exceeds 2 s", p.Grace)
		}
		victims[p.Requester] = append(victims[p.Requester], p.Job)
	}
	preempting := 0 // jobs that wait for victims to stop
	for _, w := range plan.Waiting {
		if w.Code == placement.WaitPreempting {
			preempting++
		}
	}
	for id, list := range victims {
		n := m.queued[id].Spec.Accelerators
		alone := preempting == 1 && len(plan.Starts) == 0
		if alone && n&(n-1) == 0 && len(inside) == 0 && !m.guaranteed() && !minimalVictims(m, m.queued[id], list) {
			t.Fatalf("job %s could run with fewer victims than %v", id, list)
		}
	}
}

// guaranteed reports whether the rules hold any guarantee.
func (m *model) guaranteed() bool {
	for _, g := range m.rules.Guarantees {
		if g.Shape != (structs.Shape{}) {
			return true
		}
	}
	return false
}

// start checks and applies one start.
func (m *model) start(t *rapid.T, s placement.Start) {
	q, ok := m.queued[s.Job]
	if !ok {
		t.Fatalf("start of job %s, which is not queued", s.Job)
	}
	racks := map[string]bool{}
	size := 0
	for _, member := range s.Members {
		mask := guarantee.MaskOf(member.Accelerators)
		w, known := m.workers[member.Worker]
		if !known || w.Quarantined || slices.Contains(q.Avoid, w.ID) || mask&^0xf != 0 {
			t.Fatalf("job %s placed on unusable worker %s", s.Job, member.Worker)
		}
		if m.busy(w.ID, nil)&mask != 0 {
			t.Fatalf("accelerators of worker %s assigned to job %s are in use", w.ID, s.Job)
		}
		size += bits.OnesCount64(mask)
		racks[w.Rack] = true
	}
	n := q.Spec.Accelerators
	if size != n || (n <= 4 && len(s.Members) != 1) {
		t.Fatalf("gang of %d placed as %+v", n, s.Members)
	}
	if n <= 4 && n&(n-1) == 0 && s.Members[0].Accelerators[0]%n != 0 {
		t.Fatalf("gang of %d is not aligned: %+v", n, s.Members)
	}
	if len(racks) > 1 && n <= m.largestRack(q.Avoid) {
		t.Fatalf("gang of %d spread over racks: %+v", n, s.Members)
	}
	m.order++
	m.run(placement.Running{
		ID: s.Job, Spec: q.Spec, Members: s.Members, ReservedIndex: m.order, Started: m.now, Estimate: q.Estimate,
	})
	m.checkQuota(t, q.Spec.Customer)
}

// largestRack returns the number of healthy accelerators of the largest rack, not
// counting workers that a job avoids.
func (m *model) largestRack(avoid []string) int {
	sizes := map[string]int{}
	for id, w := range m.workers {
		if !w.Quarantined && !slices.Contains(avoid, id) {
			sizes[id[:2]] += 4
		}
	}
	return max(sizes["r0"], sizes["r1"])
}

// checkQuota checks the quota of the customer whose job was just started.
func (m *model) checkQuota(t *rapid.T, customer string) {
	held := 0
	for _, r := range m.running {
		if r.Spec.Customer == customer {
			held += r.Spec.Accelerators
		}
	}
	for _, q := range m.rules.Quotas {
		if customer == q.Customer && held > q.Accelerators {
			t.Fatalf("customer %s holds %d accelerators, quota %d", customer, held, q.Accelerators)
		}
	}
}

// check compares the IDs of the jobs inside their guarantee with those that package
// guarantee computes.
// If all workers are healthy, it also checks by brute force that all guarantees
// can be reclaimed.
func (m *model) check(t *rapid.T) {
	inside := guarantee.Inside(m.state())
	if got := m.s.Inside(); !slices.Equal(got, inside) {
		t.Fatalf("jobs inside their guarantee: %v, want %v", got, inside)
	}
	set := map[string]bool{}
	for _, id := range inside {
		set[id] = true
	}
	if len(m.workers) < 4 || slices.ContainsFunc(keys(m.workers), func(id string) bool { return m.workers[id].Quarantined }) {
		return
	}
	if !reclaimable(m, set) {
		t.Fatalf("guarantees %+v cannot be reclaimed while %+v run", m.rules.Guarantees, m.running)
	}
}
