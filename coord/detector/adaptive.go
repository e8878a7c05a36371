package detector

import (
	"math"
	"time"
)

// minIntervals is the number of observed intervals after which Adaptive and
// Predictive replace the initial timeout by a computed one.
const minIntervals = 8

// AdaptiveConfig configures an Adaptive detector.
type AdaptiveConfig struct {
	Bounds
	// Window is the number of recent intervals in the mean and deviation.
	Window int
	// Factor is the distance of the timeout from the mean interval, in
	// standard deviations.
	Factor float64
	// Margin is added to the timeout.
	Margin time.Duration
}

// Adaptive suspects the process when the time since the last heartbeat exceeds
// the mean of recent intervals by Factor standard deviations plus Margin.
type Adaptive struct {
	cfg       AdaptiveConfig
	last      time.Duration
	intervals window
	timeout   time.Duration
}

// NewAdaptive returns a detector that measures the first interval from now.
func NewAdaptive(now time.Duration, cfg AdaptiveConfig) *Adaptive {
	return &Adaptive{cfg: cfg, last: now, intervals: newWindow(cfg.Window), timeout: cfg.clamp(cfg.Initial)}
}

// Observe implements Detector. An interval is counted as at most Max, so that
// one long outage does not raise the timeout for the whole window after it.
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
