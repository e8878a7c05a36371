package serving

import (
	"slices"
	"time"

	"cranberrydrum.dev/scheduler/structs"
)

// refresh computes the limits of the executors, the usable capacity and the
// boundaries between the sizes, at intervals and after a change of executors.
func (d *Dispatcher) refresh(now time.Duration) {
	if !d.stale && now-d.refreshed < sizeInterval {
		return
	}
	d.sizes.updateDemand(now - d.refreshed)
	d.stale = false
	d.refreshed = now
	d.usual = d.usualSlowness(now)
	d.countOverdue(now)
	d.capacity = 0
	d.overhang = 0
	d.up = 0
	for _, e := range d.order {
		d.refreshExecutor(now, e)
	}
	d.computeSizes(now)
	d.sizes.updateKeep(d.tuning, d.capacity)
	for c := range classCount {
		for t := medium; t < tierCount; t++ {
			d.pools[c][t] = d.overhang + d.sizes.pool(d.capacity, c, t)
		}
	}
}

func (d *Dispatcher) refreshExecutor(now time.Duration, e *executor) {
	usual := d.usual
	if d.cfg.DisableAdaptiveLimits {
		usual = maxRatio
	}
	e.adapt(now, usual)
	if conns := d.connections(e); conns > 0 {
		e.limit = min(e.limit, conns)
	}
	d.checkSilent(now, e)
	counted := d.countedSlots(now, e)
	d.capacity += counted
	d.overhang += max(0, e.running-counted)
}

// countedSlots returns what an executor adds to the capacity.
func (d *Dispatcher) countedSlots(now time.Duration, e *executor) int {
	if e.backend.State != structs.BackendUp || e.limit == 0 {
		return 0
	}
	d.up++
	usable := e.usable(now)
	if e.breaker == breakerHalfOpen {
		return 1
	}
	if !usable {
		return 0
	}
	return e.limit
}

// free returns the slots that may be taken. Attempts beyond the capacity, such
// as those on executors that are draining, do not count against it.
func (d *Dispatcher) free() int { return d.capacity + d.overhang - d.running }

// usualSlowness is the median over the executors, which a minority of slow
// executors does not move.
func (d *Dispatcher) usualSlowness(now time.Duration) float64 {
	values := make([]float64, 0, len(d.order))
	for _, e := range d.order {
		e.fade(now)
		if e.backend.State == structs.BackendUp {
			values = append(values, e.slowness)
		}
	}
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return max(0, values[len(values)/2])
}

// countOverdue counts, per executor, the attempts that are far beyond their p95
// while the executor has answered nothing since they were sent.
func (d *Dispatcher) countOverdue(now time.Duration) {
	for _, e := range d.order {
		e.overdue = 0
	}
	for r := range d.wakes.All() {
		if r.flow.estimate.samples < minSamples {
			continue
		}
		limit := max(silentFloor, silentFactor*r.flow.estimate.p95)
		for i := range r.attempts {
			a := &r.attempts[i]
			if a.sent >= a.executor.lastAnswer && now-a.sent > limit {
				a.executor.overdue++
			}
		}
	}
}

// checkSilent opens the breaker of an executor that seems to be silent, which
// would otherwise keep its slots until the timeouts. If many executors look
// silent, they have all become slow, and closing them would stop the service.
func (d *Dispatcher) checkSilent(now time.Duration, e *executor) {
	if e.breaker != breakerClosed || e.overdue < silentAttempts {
		return
	}
	if d.suspects() > max(1, len(d.order)/silentShare) {
		return
	}
	e.open(now)
	d.counters.BreakersOpened++
}

// suspects counts the executors that look silent now or have an open breaker.
func (d *Dispatcher) suspects() int {
	count := 0
	for _, e := range d.order {
		if e.breaker != breakerClosed || e.overdue >= silentAttempts {
			count++
		}
	}
	return count
}

// computeSizes sets the boundaries from the shortest median of current flows.
func (d *Dispatcher) computeSizes(now time.Duration) {
	shortest := never
	d.eachCurrent(now, func(f *flow) {
		if f.estimate.samples >= minSamples {
			shortest = min(shortest, f.estimate.median)
		}
	})
	d.sizes.valid = shortest != never && !d.cfg.DisableSizeSeparation
	if !d.sizes.valid {
		d.sizes.bounds = [tierCount]time.Duration{never, never, never}
	} else {
		shortest = max(shortest, shortestFloor)
		d.sizes.bounds = [tierCount]time.Duration{mediumFactor * shortest, longFactor * shortest, never}
	}
	d.sizes.shortest = shortest
	d.sizes.current = [classCount][tierCount]bool{}
	d.sizes.mean = [tierCount]time.Duration{}
	d.eachCurrent(now, func(f *flow) {
		f.tier = d.sizes.tierOf(d.expected(f))
		d.sizes.current[f.class][f.tier] = true
		d.sizes.mean[f.tier] = max(d.sizes.mean[f.tier], d.meanTime(f))
	})
}

// eachCurrent visits the flows with requests in the recent past. The order is
// that of a map, so visit must not depend on it.
func (d *Dispatcher) eachCurrent(now time.Duration, visit func(*flow)) {
	for c := range d.queues {
		for _, f := range d.queues[c].flows {
			if f.len() > 0 || now-f.lastSeen < sizeMemory {
				visit(f)
			}
		}
	}
}

// expected returns the expected service time of a request of the flow: the
// flow's own median, else that of its class, else a prior.
func (d *Dispatcher) expected(f *flow) time.Duration {
	if f.estimate.samples >= minSamples {
		return f.estimate.median
	}
	if total := &d.classTotal[f.class]; total.samples >= minSamples {
		return total.median
	}
	return priorMedian[f.class]
}

// needed is the service time that must fit before the deadline. An attempt that
// is cut off there leaves the outcome of a non-idempotent request unknown, so
// nearly all of them must fit.
func (d *Dispatcher) needed(r *request) time.Duration {
	expected := d.expected(r.flow)
	if r.nonIdempotent {
		return max(expected, r.flow.estimate.p95)
	}
	return expected
}

// meanTime is the expected use of a slot by a request of the flow.
func (d *Dispatcher) meanTime(f *flow) time.Duration {
	if f.estimate.samples >= minSamples {
		return f.estimate.mean
	}
	if total := &d.classTotal[f.class]; total.samples >= minSamples {
		return total.mean
	}
	return priorMedian[f.class]
}

// measured reports whether the expected service time rests on measurements.
func (d *Dispatcher) measured(f *flow) bool {
	return f.estimate.samples >= minSamples || d.classTotal[f.class].samples >= minSamples
}

// reserve returns the slots that are kept back for a class.
func (d *Dispatcher) reserve(c classIndex) int {
	share := d.rules[c].ReservedSlots
	if share <= 0 || d.capacity <= 1 {
		return 0
	}
	slots := int(share*float64(d.capacity) + 0.5)
	return max(1, min(slots, d.capacity-1))
}

// mayStart reports whether a request of the class may take a slot without
// touching what is kept back for other classes.
func (d *Dispatcher) mayStart(c classIndex) bool {
	free := d.free()
	for other := range classCount {
		if other != c {
			free -= max(0, d.reserve(other)-d.queues[other].running)
		}
	}
	return free > 0
}

// waitFor estimates how long a new request of the flow would be queued: the
// more important work, and the part of its own class that fair sharing lets
// pass before it, over the slots that its class and size may use.
func (d *Dispatcher) waitFor(f *flow) time.Duration {
	return time.Duration(float64(d.plainWait(f)) * f.correction)
}

const (
	// Weight of one request in the correction of estimated waits, and its bound.
	correctionWeight = 0.02
	correctionMin    = 0.5
	// shortWait is a wait too short to be compared with its estimate.
	shortWait = 20 * time.Millisecond
)

// correctionMax bounds the correction of waits that are longer than estimated.
// The wait of less important work shrinks again when a crest ends, so that a
// higher bound would refuse requests that could be served after it.
var correctionMax = [classCount]float64{urgent: 4, normal: 1.5, bulk: 1.5}

// learnWait compares the wait of a request with its estimate. The estimate
// leaves out what is hard to foresee, such as more important work that arrives
// later and slots held by stragglers.
func (d *Dispatcher) learnWait(now time.Duration, r *request) {
	if r.sends > 0 || r.predicted < shortWait {
		return
	}
	f := r.flow
	ratio := float64(now-r.arrived) / float64(r.predicted)
	ratio = min(max(ratio, correctionMin), correctionMax[r.class])
	f.correction += correctionWeight * (ratio - f.correction)
}

// plainWait is the estimate without the correction.
func (d *Dispatcher) plainWait(f *flow) time.Duration {
	q := &d.queues[f.class]
	ahead := 0.0
	for c := range f.class {
		ahead += d.queues[c].work
	}
	weights := q.weights
	if !f.active {
		weights += f.weight
	}
	ahead += min(q.work, f.work*weights/f.weight)
	if ahead == 0 {
		return 0
	}
	return time.Duration(ahead / d.slotsFor(f) * float64(time.Second))
}

// Outlook returns what a new request would meet here, for the choice of the
// failure domain: the expected wait and service time, and the executors that
// are up with slots for this host.
func (d *Dispatcher) Outlook(class structs.Class, customer string) (wait, service time.Duration, executors int) {
	c := indexOf(class)
	f := d.queues[c].flows[customer]
	if f == nil {
		f = d.newFlow(c, customer)
	}
	return d.waitFor(f), d.expected(f), d.up
}

func (d *Dispatcher) slotsFor(f *flow) float64 {
	slots := d.capacity
	for other := range classCount {
		if other != f.class {
			slots -= d.reserve(other)
		}
	}
	return max(1, float64(slots)*(1-d.sizes.usualKeep[f.class][f.tier]))
}
