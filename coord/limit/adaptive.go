package limit

import (
	"slices"
	"time"
)

// AdaptiveConfig configures an Adaptive limit.
type AdaptiveConfig struct {
	// Min and Max bound the limit. Initial is its first value.
	Min, Max, Initial int
	// Tolerance is the ratio of the median latency of a window to the baseline
	// above which the window counts as congested.
	Tolerance float64
	// Decrease is the factor applied to the limit after a congested window.
	Decrease float64
	// Window and MinSamples are the minimum length of a window and the minimum
	// number of results in it. A window ends when both are reached.
	Window     time.Duration
	MinSamples int
	// BaselineMaxAge is the time after which the baseline is measured again if
	// no smoothed median was at or below it.
	BaselineMaxAge time.Duration
}

// DefaultAdaptive returns a configuration with default control parameters and
// the given bounds and initial limit.
func DefaultAdaptive(minimum, maximum, initial int) AdaptiveConfig {
	return AdaptiveConfig{
		Min:            minimum,
		Max:            maximum,
		Initial:        initial,
		Tolerance:      2,
		Decrease:       0.8,
		Window:         100 * time.Millisecond,
		MinSamples:     20,
		BaselineMaxAge: 20 * time.Second,
	}
}

// probeDivisor divides the limit while the baseline is measured. In simulations
// of 8 slots with one to three hosts, a half and a third of the limit let the
// queue grow to hundreds of requests when several hosts shared the backend
// server, because each host measured latencies that included the queue of the
// others. A quarter did not.
const probeDivisor = 4

const (
	// maxSamples bounds the number of latencies stored for one window.
	maxSamples = 256
	// probeSampleFactor multiplies MinSamples for a measurement of the baseline.
	// It takes more samples than another window because its median is not
	// smoothed.
	probeSampleFactor = 2
	// smoothingDivisor is the reciprocal of the weight of a new median in the
	// smoothed median.
	smoothingDivisor = 8
)

// Result is the outcome of a unit of work.
type Result uint8

// Results of Release.
const (
	// Finished means that the latency is a valid measurement.
	Finished Result = iota + 1
	// Dropped indicates overload: a timeout or a refusal for lack of capacity.
	Dropped
	// Ignored means that the latency is not a valid measurement, for example
	// after a cancellation by the caller.
	Ignored
)

// probePhase is the phase of a measurement of the baseline.
type probePhase uint8

const (
	probeNone probePhase = iota
	// probeDrain is a window in which the work admitted before the measurement
	// finishes.
	probeDrain
	// probeMeasure is a window whose median becomes the baseline.
	probeMeasure
)

// Adaptive limits concurrency by additive increase and multiplicative decrease
// (AIMD). It compares the median latency of short windows with a measured
// baseline, which estimates the latency of the backend server without a queue.
//
// AIMD was preferred to a gradient limit because service times are mixed, with
// stragglers. A gradient limit changes in proportion to a noisy latency ratio,
// while AIMD only compares a median with a threshold.
//
// The baseline is the lowest smoothed median. Without smoothing it would be far
// below the true median, since it is the lowest of many medians of few samples.
// If the smoothed median has not been at or below the baseline for
// BaselineMaxAge, the limit is reduced for two windows and the baseline is
// measured again. The baseline thus follows a lasting change of the service
// time, and one that was measured under congestion is corrected.
//
// The measurement of one host lowers the latency for the other hosts that share
// the backend server, so that their smoothed medians reach their baselines at
// the same time. Their next measurements then coincide and find the backend
// server without a queue.
//
// The hosts do not get equal shares: in simulations of three hosts the largest
// share was up to five times the smallest. If the shares matter, the capacity
// must be divided among the hosts beforehand.
type Adaptive struct {
	cfg      AdaptiveConfig
	limit    float64
	inFlight int
	baseline time.Duration
	// baselineReached is the last time at which the smoothed median was at or
	// below the baseline.
	baselineReached time.Duration
	// smoothedMedian is the exponentially smoothed median latency of windows.
	smoothedMedian time.Duration
	phase          probePhase
	// The fields below describe the current window.
	windowStart time.Duration
	samples     []time.Duration
	sampleCount int
	dropped     int
	// peakInFlight is the highest number of units in progress in the window.
	peakInFlight int
}

// NewAdaptive returns a limit without a baseline.
func NewAdaptive(now time.Duration, cfg AdaptiveConfig) *Adaptive {
	a := &Adaptive{cfg: cfg, windowStart: now, baselineReached: now}
	a.setLimit(float64(cfg.Initial))
	return a
}

// Limit returns the current limit.
func (a *Adaptive) Limit() int {
	if a.phase != probeNone {
		return max(a.cfg.Min, int(a.limit/probeDivisor))
	}
	return int(a.limit)
}

// InFlight returns the number of units of work in progress.
func (a *Adaptive) InFlight() int { return a.inFlight }

// Baseline returns the baseline latency, or zero before the first window has
// ended.
func (a *Adaptive) Baseline() time.Duration { return a.baseline }

// Acquire starts a unit of work if the limit permits it, and reports whether it
// did.
func (a *Adaptive) Acquire() bool {
	if a.inFlight >= a.Limit() {
		return false
	}
	a.inFlight++
	a.peakInFlight = max(a.peakInFlight, a.inFlight)
	return true
}

// Release ends a unit of work that Acquire started.
func (a *Adaptive) Release(now, latency time.Duration, result Result) {
	a.inFlight = max(0, a.inFlight-1)
	switch result {
	case Finished:
		a.addSample(latency)
	case Dropped:
		a.dropped++
	}
	if a.windowEnded(now) {
		a.adjust(now)
		a.startWindow(now)
	}
}

// addSample stores a latency. After maxSamples latencies it overwrites the
// oldest one.
func (a *Adaptive) addSample(latency time.Duration) {
	if len(a.samples) < maxSamples {
		a.samples = append(a.samples, latency)
	} else {
		a.samples[a.sampleCount%maxSamples] = latency
	}
	a.sampleCount++
}

func (a *Adaptive) windowEnded(now time.Duration) bool {
	required := a.cfg.MinSamples
	if a.phase == probeMeasure {
		required *= probeSampleFactor
	}
	enough := a.sampleCount+a.dropped >= required
	return enough && now-a.windowStart >= a.cfg.Window
}

// adjust updates the baseline and the limit at the end of a window.
func (a *Adaptive) adjust(now time.Duration) {
	if a.phase != probeNone {
		a.advanceProbe(now)
		return
	}
	congested := a.dropped > 0
	if len(a.samples) > 0 {
		median := a.median()
		a.updateBaseline(now, median)
		congested = congested || float64(median) > float64(a.baseline)*a.cfg.Tolerance
	}
	switch {
	case congested:
		a.setLimit(a.limit * a.cfg.Decrease)
	case 2*a.peakInFlight >= a.Limit():
		// The limit increases only if at least half of it was used. The
		// latency at a lower concurrency does not show that a higher limit is
		// safe.
		a.setLimit(a.limit + 1)
	}
	if now-a.baselineReached >= a.cfg.BaselineMaxAge {
		a.phase = probeDrain
	}
}

// advanceProbe enters the next phase of a measurement at the end of a window.
func (a *Adaptive) advanceProbe(now time.Duration) {
	if a.phase == probeDrain || len(a.samples) == 0 {
		a.phase = probeMeasure
		return
	}
	a.phase = probeNone
	a.baseline = max(a.median(), 1)
	a.smoothedMedian = a.baseline
	a.baselineReached = now
}

func (a *Adaptive) median() time.Duration {
	slices.Sort(a.samples)
	return a.samples[len(a.samples)/2]
}

// updateBaseline adds a median to the smoothed median. If the result is at or
// below the baseline, it becomes the baseline.
func (a *Adaptive) updateBaseline(now, median time.Duration) {
	if a.baseline == 0 {
		a.smoothedMedian = median
	}
	a.smoothedMedian += (median - a.smoothedMedian) / smoothingDivisor
	if a.baseline == 0 || a.smoothedMedian <= a.baseline {
		a.baseline = max(a.smoothedMedian, 1)
		a.baselineReached = now
	}
}

func (a *Adaptive) setLimit(limit float64) {
	a.limit = min(max(limit, float64(a.cfg.Min)), float64(a.cfg.Max))
}

func (a *Adaptive) startWindow(now time.Duration) {
	a.windowStart = now
	a.samples = a.samples[:0]
	a.sampleCount = 0
	a.dropped = 0
	a.peakInFlight = a.inFlight
}
