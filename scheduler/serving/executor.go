package serving

import (
	"math"
	"time"

	"cranberrydrum.dev/scheduler/structs"
)

type breaker int

const (
	breakerClosed breaker = iota
	breakerOpen
	breakerHalfOpen
)

var breakerNames = [...]string{"closed", "open", "half_open"}

const (
	// breakerFailures consecutive failures open the breaker.
	breakerFailures = 3
	breakerMin      = time.Second
	breakerMax      = 10 * time.Second
	// Weight of one sample in the slowness of an executor, and its half-life
	// without samples, after which the executor is measured again.
	slownessWeight   = 0.08
	slownessHalfLife = 5 * time.Second
	// maxRatio bounds what one sample can say, so that a straggler does not
	// pass for a slow executor.
	maxRatio = 8
	// slownessTolerance is the excess over the other executors that costs no slots.
	slownessTolerance = 0.5
	// silentAttempts attempts beyond silentFactor times their p95, with no
	// answer since the first of them was sent, mark an executor as silent.
	silentAttempts = 2
	silentFactor   = 6
	// silentShare is the inverse of the share of executors that may be taken
	// for silent at one time.
	silentShare = 3
	silentFloor = 200 * time.Millisecond
)

// lease is a borrowed amount of slots and how many are in use.
type lease struct {
	Lease
	running int
}

// executor is a backend server as seen by this host.
type executor struct {
	backend    structs.Backend
	own        int
	leases     []lease
	running    int
	ownRunning int
	byTier     [tierCount]int
	limit      int

	slowness   float64
	factor     float64
	measuredAt time.Duration

	failures   int
	breaker    breaker
	openFor    time.Duration
	openUntil  time.Duration
	probing    bool
	lastAnswer time.Duration
	overdue    int
	removed    bool
}

// usable reports whether new attempts may be sent at all.
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

// slots returns the slots that this host may use now.
func (e *executor) slots(now time.Duration) int {
	total := e.own
	for i := range e.leases {
		if e.leases[i].Until > now {
			total += e.leases[i].Count
		}
	}
	return total
}

// setLeases replaces the leases and keeps the use of those that continue.
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

// borrowed returns a lease with a free slot until the given time, or -1.
func (e *executor) borrowed(until time.Duration) int {
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

// succeeded closes the breaker.
func (e *executor) succeeded(now time.Duration) {
	e.failures = 0
	e.breaker = breakerClosed
	e.openFor = 0
	e.lastAnswer = now
}

// failed counts a failure and reports whether it opened the breaker.
func (e *executor) failed(now time.Duration) bool {
	e.failures++
	if e.breaker == breakerOpen || (e.breaker == breakerClosed && e.failures < breakerFailures) {
		return false
	}
	e.open(now)
	return true
}

// open opens the breaker for a time that doubles up to a bound.
func (e *executor) open(now time.Duration) {
	e.breaker = breakerOpen
	e.openFor = min(breakerMax, max(breakerMin, 2*e.openFor))
	e.openUntil = now + e.openFor
}

// measure adds the ratio of a measured to the expected service time.
func (e *executor) measure(now time.Duration, ratio float64) {
	e.fade(now)
	sample := math.Log2(min(max(ratio, 1.0/maxRatio), maxRatio))
	e.slowness += slownessWeight * (sample - e.slowness)
	e.factor = math.Exp2(max(0, e.slowness))
}

// fade lets an old measurement count less, so that an executor that gets few
// requests because it was slow is tried again.
func (e *executor) fade(now time.Duration) {
	if elapsed := now - e.measuredAt; elapsed > time.Second {
		e.slowness *= math.Exp2(-elapsed.Seconds() / slownessHalfLife.Seconds())
		e.factor = math.Exp2(max(0, e.slowness))
	}
	e.measuredAt = now
}

// adapt sets the limit from the excess of the executor's slowness over the
// usual one: half the slots at twice the time, and never less than one.
func (e *executor) adapt(now time.Duration, usual float64) {
	slots := e.slots(now)
	e.limit = slots
	excess := e.slowness - usual - slownessTolerance
	if excess <= 0 || slots <= 1 {
		return
	}
	e.limit = max(1, int(math.Round(float64(slots)/math.Exp2(excess))))
}
