package limit

import (
	"slices"
	"time"
)

// AdaptiveConfig describes an adaptive concurrency limit.
type AdaptiveConfig struct {
	// Min, Max and Initial bound and start the limit.
	Min, Max, Initial int
	// Tolerance is the ratio of the latency of a window to the floor above
	// which the window counts as congested.
	Tolerance float64
	// Decrease multiplies the limit after a congested window.
	Decrease float64
	// Window and MinSamples say when a window ends: both must be reached.
	Window     time.Duration
	MinSamples int
	// FloorAge is how long the floor may go without being met by a window
	// before it is measured again.
	FloorAge time.Duration
}

// DefaultAdaptive returns the configuration for a limit between bounds.
func DefaultAdaptive(minimum, maximum, initial int) AdaptiveConfig {
	return AdaptiveConfig{
		Min:        minimum,
		Max:        maximum,
		Initial:    initial,
		Tolerance:  2,
		Decrease:   0.8,
		Window:     100 * time.Millisecond,
		MinSamples: 20,
		FloorAge:   20 * time.Second,
	}
}

// probeDivisor is the divisor of the limit while the floor is measured. In
// simulations of 8 slots with one to three hosts, a half and a third let the
// queue grow to hundreds when several hosts shared the backend server, because
// each of them measured the queue of the others; a quarter did not.
const probeDivisor = 4

const (
	// maxSamples bounds the latencies kept for one window.
	maxSamples = 256
	// probeSamples is the number of windows' samples that a measurement of
	// the floor takes, because it is not smoothed.
	probeSamples = 2
	// smoothing is the divisor of the weight of a new median.
	smoothing = 8
)

// Result says how a unit of work ended.
type Result uint8

// Results of Release.
const (
	// Finished means that the latency is a valid measurement.
	Finished Result = iota + 1
	// Dropped means overload: a timeout or a refusal for lack of capacity.
	Dropped
	// Ignored means that the latency says nothing, for example after a
	// cancellation by the caller.
	Ignored
)

// probe is the progress of a measurement of the floor.
type probe uint8

const (
	probeNone probe = iota
	// probeDrain is a window in which work admitted earlier ends.
	probeDrain
	// probeMeasure is a window whose median becomes the floor.
	probeMeasure
)

// Adaptive limits concurrency by additive increase and multiplicative
// decrease on the median latency of short windows against a learned floor.
//
// AIMD was preferred to a gradient limit because service times are mixed, with
// stragglers: a gradient limit moves in proportion to a noisy latency ratio,
// AIMD needs only the comparison of a median with a threshold.
//
// The floor is the lowest smoothed median. Smoothing matters, because the
// lowest of many medians of few samples is far below the true one. If the
// smoothed median has not met the floor for FloorAge, the limit is reduced for two windows and the floor is measured
// again, so that it follows a lasting change of the service time and a floor
// learned under congestion is corrected. A measurement of one host lowers the
// latency for the others that share the backend server, which sets their
// floors at the same time; their next measurements then coincide and see the
// backend server without a queue. Shares of hosts are not equal: in simulations
// of three hosts the largest was up to five times the smallest. Where shares
// matter, capacity must be divided beforehand.
type Adaptive struct {
	cfg      AdaptiveConfig
	limit    float64
	inFlight int
	floor    time.Duration
	// floorMet is when the smoothed median last met the floor.
	floorMet time.Duration
	// smooth is the smoothed median of windows.
	smooth  time.Duration
	probing probe
	// State of the current window.
	started time.Duration
	samples []time.Duration
	count   int
	dropped int
	// peak is the highest concurrency in the window.
	peak int
}

// NewAdaptive returns a limit that has learned nothing.
func NewAdaptive(now time.Duration, cfg AdaptiveConfig) *Adaptive {
	a := &Adaptive{cfg: cfg, started: now, floorMet: now}
	a.setLimit(float64(cfg.Initial))
	return a
}

// Limit returns the current limit.
func (a *Adaptive) Limit() int {
	if a.probing != probeNone {
		return max(a.cfg.Min, int(a.limit/probeDivisor))
	}
	return int(a.limit)
}

// InFlight returns the units of work in progress.
func (a *Adaptive) InFlight() int { return a.inFlight }

// Floor returns the learned latency floor, zero before the first window ends.
func (a *Adaptive) Floor() time.Duration { return a.floor }

// Acquire starts a unit of work if the limit permits it.
func (a *Adaptive) Acquire() bool {
	if a.inFlight >= a.Limit() {
		return false
	}
	a.inFlight++
	a.peak = max(a.peak, a.inFlight)
	return true
}

// Release ends a unit of work that Acquire permitted.
func (a *Adaptive) Release(now, latency time.Duration, result Result) {
	a.inFlight = max(0, a.inFlight-1)
	switch result {
	case Finished:
		a.sample(latency)
	case Dropped:
		a.dropped++
	}
	if a.windowEnded(now) {
		a.adjust(now)
		a.reset(now)
	}
}

// sample keeps a latency; beyond maxSamples it replaces older ones.
func (a *Adaptive) sample(latency time.Duration) {
	if len(a.samples) < maxSamples {
		a.samples = append(a.samples, latency)
	} else {
		a.samples[a.count%maxSamples] = latency
	}
	a.count++
}

func (a *Adaptive) windowEnded(now time.Duration) bool {
	need := a.cfg.MinSamples
	if a.probing == probeMeasure {
		need *= probeSamples
	}
	enough := a.count+a.dropped >= need
	return enough && now-a.started >= a.cfg.Window
}

// adjust sets the limit at the end of a window.
func (a *Adaptive) adjust(now time.Duration) {
	if a.probing != probeNone {
		a.continueProbe(now)
		return
	}
	congested := a.dropped > 0
	if len(a.samples) > 0 {
		median := a.median()
		a.meet(now, median)
		congested = congested || float64(median) > float64(a.floor)*a.cfg.Tolerance
	}
	switch {
	case congested:
		a.setLimit(a.limit * a.cfg.Decrease)
	case 2*a.peak >= a.Limit():
		// A limit that is not used says nothing about a higher one.
		a.setLimit(a.limit + 1)
	}
	if now-a.floorMet >= a.cfg.FloorAge {
		a.probing = probeDrain
	}
}

// continueProbe ends a window of a measurement.
func (a *Adaptive) continueProbe(now time.Duration) {
	if a.probing == probeDrain || len(a.samples) == 0 {
		a.probing = probeMeasure
		return
	}
	a.probing = probeNone
	a.floor = max(a.median(), 1)
	a.smooth = a.floor
	a.floorMet = now
}

func (a *Adaptive) median() time.Duration {
	slices.Sort(a.samples)
	return a.samples[len(a.samples)/2]
}

// meet smooths a median and lowers the floor to it or notes that it was met.
func (a *Adaptive) meet(now, median time.Duration) {
	if a.floor == 0 {
		a.smooth = median
	}
	a.smooth += (median - a.smooth) / smoothing
	if a.floor == 0 || a.smooth <= a.floor {
		a.floor = max(a.smooth, 1)
		a.floorMet = now
	}
}

func (a *Adaptive) setLimit(limit float64) {
	a.limit = min(max(limit, float64(a.cfg.Min)), float64(a.cfg.Max))
}

func (a *Adaptive) reset(now time.Duration) {
	a.started = now
	a.samples = a.samples[:0]
	a.count = 0
	a.dropped = 0
	a.peak = a.inFlight
}
