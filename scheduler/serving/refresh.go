package serving

import (
	"slices"
	"time"

	"cranberrydrum.dev/scheduler/structs"
)

// refresh recomputes the limits of the executors, the usable capacity and the
// bounds of the tiers, at intervals and after a change of executors.
func (d *Dispatcher) refresh(now time.Duration) {
	if !d.needsRefresh && now-d.lastRefresh < refreshInterval {
		return
	}
	d.tiers.updateDemand(now - d.lastRefresh)
	d.needsRefresh = false
	d.lastRefresh = now
	d.medianSlowness = d.computeMedianSlowness(now)
	d.countOverdue(now)
	d.capacity = 0
	d.excessRunning = 0
	d.executorsUp = 0
	d.executorsClosed = 0
	for _, e := range d.sortedExecutors {
		d.refreshExecutor(now, e)
	}
	d.returns.observe(now, d.capacity)
	d.computeTiers(now)
	d.tiers.updateHeadroom(d.tuning, d.capacity)
	for c := range classCount {
		for t := medium; t < tierCount; t++ {
			d.tierLimits[c][t] = d.excessRunning + d.tiers.tierLimit(d.capacity, c, t)
		}
	}
}

func (d *Dispatcher) refreshExecutor(now time.Duration, e *executor) {
	baseline := d.medianSlowness
	if d.cfg.DisableAdaptiveLimits {
		// No slowness exceeds this baseline, so no limit is reduced.
		baseline = maxRatio
	}
	e.updateLimit(now, baseline)
	if conns := d.connections(e); conns > 0 {
		e.limit = min(e.limit, conns)
	}
	d.checkSilent(now, e)
	counted := d.countedSlots(now, e)
	d.capacity += counted
	d.excessRunning += max(0, e.running-counted)
}

// countedSlots returns the slots that an executor adds to the capacity.
func (d *Dispatcher) countedSlots(now time.Duration, e *executor) int {
	if e.backend.State != structs.BackendUp || e.limit == 0 {
		return 0
	}
	d.executorsUp++
	usable := e.usable(now)
	if e.breaker == breakerHalfOpen {
		return 1
	}
	if !usable {
		return 0
	}
	d.executorsClosed++
	return e.limit
}

// free returns the number of free slots. Attempts beyond the capacity, such as
// those on draining executors, do not reduce it.
func (d *Dispatcher) free() int { return d.capacity + d.excessRunning - d.running }

// computeMedianSlowness returns the median slowness of the executors, which a
// minority of slow executors does not shift.
func (d *Dispatcher) computeMedianSlowness(now time.Duration) float64 {
	values := make([]float64, 0, len(d.sortedExecutors))
	for _, e := range d.sortedExecutors {
		e.decaySlowness(now)
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

// countOverdue counts, per executor, the attempts that have run far longer than
// their p95 while the executor has returned no successful response since they were
// sent.
func (d *Dispatcher) countOverdue(now time.Duration) {
	for _, e := range d.sortedExecutors {
		e.overdue = 0
	}
	for r := range d.wakes.All() {
		if r.flow.estimate.samples < minSamples {
			continue
		}
		limit := max(minSilentTime, silentP95Factor*r.flow.estimate.p95)
		for i := range r.attempts {
			a := &r.attempts[i]
			if a.isAtExecutor() && a.startedAt >= a.executor.lastSuccess && now-a.startedAt > limit {
				a.executor.overdue++
			}
		}
	}
}

// checkSilent opens the breaker of an executor that seems to be silent. Without
// this, requests would occupy its slots until their timeouts. If many executors
// look silent, all of them have probably become slow, and opening their breakers
// would stop the service.
func (d *Dispatcher) checkSilent(now time.Duration, e *executor) {
	if e.breaker != breakerClosed || e.overdue < silentAttempts {
		return
	}
	if d.countSuspects() > max(1, len(d.sortedExecutors)/silentExecutorsDivisor) {
		return
	}
	e.openBreaker(now)
	d.counters.BreakersOpened++
}

// countSuspects returns the number of executors that look silent now or whose
// breaker is not closed.
func (d *Dispatcher) countSuspects() int {
	count := 0
	for _, e := range d.sortedExecutors {
		if e.breaker != breakerClosed || e.overdue >= silentAttempts {
			count++
		}
	}
	return count
}

// computeTiers sets the tier bounds from the shortest median of current flows,
// and the tier of each current flow.
func (d *Dispatcher) computeTiers(now time.Duration) {
	shortest := never
	d.forEachCurrentFlow(now, func(f *flow) {
		if f.estimate.samples >= minSamples {
			shortest = min(shortest, f.estimate.median)
		}
	})
	d.tiers.valid = shortest != never && !d.cfg.DisableSizeSeparation
	if !d.tiers.valid {
		d.tiers.bounds = [tierCount]time.Duration{never, never, never}
	} else {
		shortest = max(shortest, minShortest)
		d.tiers.bounds = [tierCount]time.Duration{mediumFactor * shortest, longFactor * shortest, never}
	}
	d.tiers.shortest = shortest
	d.tiers.current = [classCount][tierCount]bool{}
	d.tiers.mean = [tierCount]time.Duration{}
	d.forEachCurrentFlow(now, func(f *flow) {
		f.tier = d.tiers.tierOf(d.expectedServiceTime(f))
		d.tiers.current[f.class][f.tier] = true
		d.tiers.mean[f.tier] = max(d.tiers.mean[f.tier], d.meanServiceTime(f))
	})
}

// forEachCurrentFlow calls visit for the flows with queued or recent requests.
// The order is that of a map iteration, so the result of visit must not depend
// on it.
func (d *Dispatcher) forEachCurrentFlow(now time.Duration, visit func(*flow)) {
	for c := range d.queues {
		for _, f := range d.queues[c].flows {
			if f.len() > 0 || now-f.lastSeen < currentFlowWindow {
				visit(f)
			}
		}
	}
}

// expectedServiceTime returns the expected service time of a request of the flow:
// the median of the flow, else that of its class, else a prior.
func (d *Dispatcher) expectedServiceTime(f *flow) time.Duration {
	if f.estimate.samples >= minSamples {
		return f.estimate.median
	}
	if classEstimate := &d.classEstimates[f.class]; classEstimate.samples >= minSamples {
		return classEstimate.median
	}
	return priorMedian[f.class]
}

// requiredServiceTime returns the service time that must fit before the deadline.
// For a non-idempotent request it is the p95 if that is longer, because an
// attempt that the deadline cuts short leaves the outcome unknown.
func (d *Dispatcher) requiredServiceTime(r *request) time.Duration {
	expected := d.expectedServiceTime(r.flow)
	if r.nonIdempotent {
		return max(expected, r.flow.estimate.p95)
	}
	return expected
}

// staleMeasurements is the time without a measurement after which an estimate no
// longer keeps a request from testing it.
const staleMeasurements = 10 * time.Second

// isTooLate reports whether a request that starts at a time, behind other queued
// requests of its flow, cannot be expected to complete before its deadline.
// Refused requests give no measurements, so an estimate that alone exceeds the time
// of every request, for example after a pause of this host or while all executors
// were slow, would refuse the flow for ever. One request at a time may therefore
// test such an estimate, a non-idempotent one only if the median fits or the last
// measurement is old.
func (d *Dispatcher) isTooLate(start time.Duration, r *request, ahead int) bool {
	required := d.requiredServiceTime(r)
	if !d.hasMeasurements(r.flow) || start+required <= r.deadline {
		return false
	}
	isDelayed := r.arrived+required <= r.deadline
	if isDelayed || r.flow.running+ahead > 0 || start >= r.deadline {
		return true
	}
	fitsMedian := start+d.expectedServiceTime(r.flow) <= r.deadline
	return r.nonIdempotent && !fitsMedian && start-r.flow.lastMeasured < staleMeasurements
}

// meanServiceTime returns the mean time for which a request of the flow uses a
// slot.
func (d *Dispatcher) meanServiceTime(f *flow) time.Duration {
	if f.estimate.samples >= minSamples {
		return f.estimate.mean
	}
	if classEstimate := &d.classEstimates[f.class]; classEstimate.samples >= minSamples {
		return classEstimate.mean
	}
	return priorMedian[f.class]
}

// hasMeasurements reports whether the expected service time is based on
// measurements instead of a prior.
func (d *Dispatcher) hasMeasurements(f *flow) bool {
	return f.estimate.samples >= minSamples || d.classEstimates[f.class].samples >= minSamples
}

// reservedSlots returns the number of slots reserved for a class.
func (d *Dispatcher) reservedSlots(c classIndex) int {
	share := d.rules[c].ReservedSlots
	if share <= 0 || d.capacity <= 1 {
		return 0
	}
	slots := int(share*float64(d.capacity) + 0.5)
	return max(1, min(slots, d.capacity-1))
}

// mayStart reports whether a request of the class may take a slot without using
// those reserved for other classes.
func (d *Dispatcher) mayStart(c classIndex) bool {
	free := d.free()
	for other := range classCount {
		if other != c {
			free -= max(0, d.reservedSlots(other)-d.queues[other].running)
		}
	}
	return free > 0
}

// estimateWait estimates how long a new request of the flow would be queued. It is
// the queued work that is served before the request, divided by the slots that
// its class and tier may use, times the wait correction of the flow. Served
// before it are all more important classes and the part of its own class that
// fair sharing serves first.
func (d *Dispatcher) estimateWait(f *flow) time.Duration {
	return f.correct(d.uncorrectedWait(f, f.len()))
}

// correct applies the wait correction to an estimated wait.
func (f *flow) correct(wait time.Duration) time.Duration {
	return time.Duration(float64(wait) * f.waitCorrection)
}

const (
	// correctionWeight is the weight of one request in the wait correction, and
	// correctionMin the lower bound of the correction.
	correctionWeight = 0.02
	correctionMin    = 0.5
	// shortWait is the estimated wait below which the wait of a request does not
	// update the correction.
	shortWait = 20 * time.Millisecond
)

// correctionMax bounds the correction of waits that are longer than estimated.
// The wait of less important work shrinks again when a peak ends, so a higher
// bound would refuse requests that could be served after the peak.
var correctionMax = [classCount]float64{urgent: 4, normal: 1.5, bulk: 1.5}

// updateWaitCorrection updates the correction from the ratio of the measured to
// the estimated wait of a request. The estimate does not include delays that are
// hard to predict, such as more important work that arrives later and slots held
// by stragglers.
func (d *Dispatcher) updateWaitCorrection(now time.Duration, r *request) {
	if r.sends > 0 || r.estimatedWait < shortWait {
		return
	}
	f := r.flow
	ratio := float64(now-r.arrived) / float64(r.estimatedWait)
	ratio = min(max(ratio, correctionMin), correctionMax[r.class])
	f.waitCorrection += correctionWeight * (ratio - f.waitCorrection)
}

// uncorrectedWait returns the estimated wait at a position of the queue of the flow,
// without the correction.
func (d *Dispatcher) uncorrectedWait(f *flow, position int) time.Duration {
	work := f.work
	if position < f.len() {
		work *= float64(position) / float64(f.len())
	}
	q := &d.queues[f.class]
	ahead := 0.0
	for c := range f.class {
		ahead += d.queues[c].work
	}
	weights := q.activeWeight
	if !f.active {
		weights += f.weight
	}
	ahead += min(q.work, work*weights/f.weight)
	if ahead == 0 {
		return 0
	}
	return time.Duration(ahead / d.slotsFor(f) * float64(time.Second))
}

// EstimateWait returns the expected wait and service time of a new request and the
// number of executors that are up with slots for this host. The caller uses them
// to choose the failure domain that serves a request.
func (d *Dispatcher) EstimateWait(class structs.Class, customer string) (wait, service time.Duration, executors int) {
	c := indexOf(class)
	f := d.queues[c].flows[customer]
	if f == nil {
		f = d.newFlow(c, customer)
	}
	return d.estimateWait(f), d.expectedServiceTime(f), d.executorsUp
}

// slotsFor returns the number of slots on which the class and tier of the flow
// can count over a longer time, at least one.
func (d *Dispatcher) slotsFor(f *flow) float64 {
	slots := d.capacity
	for other := range classCount {
		if other != f.class {
			slots -= d.reservedSlots(other)
		}
	}
	return max(1, float64(slots)*(1-d.tiers.longTermHeadroom[f.class][f.tier]))
}
