package detector

import (
	"math"
	"time"
)

// minIntervals is the number of intervals after which a learning detector
// trusts them.
const minIntervals = 8

// AdaptiveConfig describes an adaptive detector.
type AdaptiveConfig struct {
	Bounds
	// Window is the number of recent intervals used.
	Window int
	// Factor is how many standard deviations the timeout lies above the mean.
	Factor float64
	// Margin is added to the timeout.
	Margin time.Duration
}

// Adaptive suspects when the time since the last heartbeat exceeds the mean of
// recent intervals by a multiple of their standard deviation.
type Adaptive struct {
	cfg       AdaptiveConfig
	last      time.Duration
	intervals window
	timeout   time.Duration
}

// NewAdaptive returns a detector that counts from now on.
func NewAdaptive(now time.Duration, cfg AdaptiveConfig) *Adaptive {
	return &Adaptive{cfg: cfg, last: now, intervals: newWindow(cfg.Window), timeout: cfg.clamp(cfg.Initial)}
}

// Observe implements Detector. An interval counts as Max at most, so that one
// long failure does not blind the detector afterwards.
func (a *Adaptive) Observe(now time.Duration) {
	if now < a.last {
		return
	}
	interval := min(now-a.last, a.cfg.Max)
	a.last = now
	a.intervals.add(interval.Seconds())
	if len(a.intervals.values) < minIntervals {
		return
	}
	seconds := a.intervals.mean() + a.cfg.Factor*math.Sqrt(a.intervals.variance())
	a.timeout = a.cfg.clamp(fromSeconds(seconds) + a.cfg.Margin)
}

// Suspect implements Detector.
func (a *Adaptive) Suspect(now time.Duration) bool { return now-a.last > a.timeout }

// Timeout returns the current timeout.
func (a *Adaptive) Timeout() time.Duration { return a.timeout }

func fromSeconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
