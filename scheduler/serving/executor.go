package serving

import (
	"math"
	"time"

	"cranberrydrum.dev/scheduler/structs"
)

// breaker is the state of a circuit breaker.
type breaker int

const (
	breakerClosed breaker = iota
	breakerOpen
	breakerHalfOpen
)

// BreakerClosed is the state of a breaker in a Snapshot that lets all attempts
// pass.
const BreakerClosed = "closed"

var breakerNames = [...]string{BreakerClosed, "open", "half_open"}

const (
	// breakerFailures consecutive failures open the breaker. The time for which
	// it stays open doubles from breakerMinOpen to breakerMaxOpen.
	breakerFailures = 3
	breakerMinOpen  = time.Second
	breakerMaxOpen  = 10 * time.Second
	// slownessWeight is the weight of one sample in the slowness of an executor.
	// slownessHalfLife is the half-life of the slowness without samples, so that
	// an executor that was slow receives requests again.
	slownessWeight   = 0.08
	slownessHalfLife = 5 * time.Second
	// maxRatio bounds the ratio of one sample, so that a single straggler does
	// not make an executor look slow.
	maxRatio = 8
	// slownessTolerance is the excess over the median slowness, as a binary
	// logarithm, that does not reduce the slots.
	slownessTolerance = 0.5
	// An executor counts as silent if at least silentAttempts attempts have run
	// longer than silentP95Factor times their p95, and it has returned no successful
	// response since they were sent.
	silentAttempts  = 2
	silentP95Factor = 6
	// silentExecutorsDivisor is the inverse of the share of executors that may be
	// treated as silent at the same time.
	silentExecutorsDivisor = 3
	// minSilentTime is the shortest run time after which an attempt is overdue.
	minSilentTime = 200 * time.Millisecond
)

// lease is a set of borrowed slots and the number of them in use.
type lease struct {
	Lease
	running int
}

// executor is a backend server as seen by this host.
type executor struct {
	backend structs.Backend
	// own is the number of slots that this host owns, and limit the adaptive limit
	// of own and leased slots together.
	own        int
	leases     []lease
	running    int
	ownRunning int
	byTier     [tierCount]int
	limit      int

	// slowness is the moving average of the binary logarithm of the ratio of the
	// measured to the expected service time. slowdown is that ratio, at least 1.
	slowness   float64
	slowdown   float64
	measuredAt time.Duration

	// failures counts consecutive failures, and overdue the attempts that make the
	// executor look silent. probing is set while the attempt that tests a half-open
	// breaker runs.
	failures    int
	breaker     breaker
	openFor     time.Duration
	openUntil   time.Duration
	probing     bool
	lastSuccess time.Duration
	overdue     int
	removed     bool
}

// usable reports whether the executor may receive new attempts. It moves an open
// breaker to half-open when its open time has passed.
func (e *executor) usable(now time.Duration) bool {
	if e.backend.State != structs.BackendUp {
		return false
	}
	if e.breaker == breakerOpen && now >= e.openUntil {
		e.breaker = breakerHalfOpen
	}
	switch e.breaker {
	case breakerOpen:
		return false
	case breakerHalfOpen:
		return !e.probing
	}
	return true
}

// slots returns the number of own and leased slots that this host may use now.
func (e *executor) slots(now time.Duration) int {
	total := e.own
	for i := range e.leases {
		if e.leases[i].Until > now {
			total += e.leases[i].Count
		}
	}
	return total
}

// setLeases replaces the leases and keeps the running counts of those that
// continue.
func (e *executor) setLeases(leases []Lease) {
	old := e.leases
	e.leases = make([]lease, 0, len(leases))
	for _, l := range leases {
		running := 0
		for i := range old {
			if old[i].ID == l.ID {
				running = old[i].running
			}
		}
		e.leases = append(e.leases, lease{Lease: l, running: running})
	}
}

// findLease returns the index of a lease that has a free slot and lasts until the
// given time, or -1.
func (e *executor) findLease(until time.Duration) int {
	for i := range e.leases {
		l := &e.leases[i]
		if l.running < l.Count && l.Until >= until {
			return i
		}
	}
	return -1
}

// acquire takes a slot for an attempt.
func (e *executor) acquire(a *attempt) {
	e.running++
	e.byTier[a.tier]++
	if a.lease == "" {
		e.ownRunning++
	} else {
		e.useLease(a.lease, 1)
	}
	if e.breaker == breakerHalfOpen {
		a.probe = true
		e.probing = true
	}
}

// release returns the slot of an attempt.
func (e *executor) release(a *attempt) {
	e.running--
	e.byTier[a.tier]--
	if a.lease == "" {
		e.ownRunning--
	} else {
		e.useLease(a.lease, -1)
	}
	if a.probe {
		e.probing = false
	}
}

func (e *executor) useLease(id string, delta int) {
	for i := range e.leases {
		if e.leases[i].ID == id {
			e.leases[i].running += delta
		}
	}
}

// recordSuccess closes the breaker.
func (e *executor) recordSuccess(now time.Duration) {
	e.failures = 0
	e.breaker = breakerClosed
	e.openFor = 0
	e.lastSuccess = now
}

// recordFailure counts a failure and reports whether it opened the breaker.
func (e *executor) recordFailure(now time.Duration) bool {
	e.failures++
	if e.breaker == breakerOpen || (e.breaker == breakerClosed && e.failures < breakerFailures) {
		return false
	}
	e.openBreaker(now)
	return true
}

// openBreaker opens the breaker for a time that doubles up to a bound.
func (e *executor) openBreaker(now time.Duration) {
	e.breaker = breakerOpen
	e.openFor = min(breakerMaxOpen, max(breakerMinOpen, 2*e.openFor))
	e.openUntil = now + e.openFor
}

// recordRatio adds a sample: the ratio of a measured to the expected service time.
func (e *executor) recordRatio(now time.Duration, ratio float64) {
	e.decaySlowness(now)
	sample := math.Log2(min(max(ratio, 1.0/maxRatio), maxRatio))
	e.slowness += slownessWeight * (sample - e.slowness)
	e.slowdown = math.Exp2(max(0, e.slowness))
}

// decaySlowness reduces the weight of old samples, so that an executor that gets
// few requests because it was slow is tried again.
func (e *executor) decaySlowness(now time.Duration) {
	if elapsed := now - e.measuredAt; elapsed > time.Second {
		e.slowness *= math.Exp2(-elapsed.Seconds() / slownessHalfLife.Seconds())
		e.slowdown = math.Exp2(max(0, e.slowness))
	}
	e.measuredAt = now
}

// updateLimit sets the limit from the excess of the executor's slowness over the
// baseline and the tolerance. Each doubling of the service time beyond them
// halves the slots, but at least one slot remains.
func (e *executor) updateLimit(now time.Duration, baseline float64) {
	slots := e.slots(now)
	e.limit = slots
	excess := e.slowness - baseline - slownessTolerance
	if excess <= 0 || slots <= 1 {
		return
	}
	e.limit = max(1, int(math.Round(float64(slots)/math.Exp2(excess))))
}
