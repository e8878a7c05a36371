// Package detector implements failure detectors: they decide from the arrival
// times of heartbeats whether to suspect that a remote process has failed. The
// package reads no clock; the caller passes the current time. A suspicion may
// be wrong, and the next heartbeat clears it.
//
// Fixed, Adaptive and Predictive implement Detector. Compare measures them on
// simulated heartbeat delays. NewDefault returns the detector that this
// comparison recommends.
package detector

import "time"

// Detector monitors one remote process.
type Detector interface {
	// Observe records the arrival of a heartbeat.
	Observe(now time.Duration)
	// Suspect reports whether the next heartbeat is overdue. Between two
	// observations it changes at most once, from false to true.
	Suspect(now time.Duration) bool
}

const (
	// HeartbeatInterval is the heartbeat interval that NewDefault expects.
	HeartbeatInterval = 500 * time.Millisecond
	// DefaultTimeout is 2 s. It tolerates the loss of two consecutive
	// heartbeats and pauses of the sender of up to 1.5 s.
	DefaultTimeout = 4 * HeartbeatInterval
)

// NewDefault returns the recommended detector, which has a fixed timeout.
// Adaptive and Predictive are no better if the heartbeat interval is known:
// Compare (200 hours, 1.5 ms link, 1 % loss, pauses) gives 3.9 false suspicions
// per hour and 1.5 s to detection both for a fixed timeout of 1.75 s and for
// the Predictive configuration with the same detection time. They are intended
// for links whose heartbeat interval is unknown.
func NewDefault(now time.Duration) Detector { return NewFixed(now, DefaultTimeout) }

// Fixed suspects the process after a constant time without a heartbeat.
type Fixed struct {
	timeout time.Duration
	last    time.Duration
}

// NewFixed returns a detector that counts the time without a heartbeat from
// now.
func NewFixed(now, timeout time.Duration) *Fixed { return &Fixed{timeout: timeout, last: now} }

// Observe implements Detector.
func (f *Fixed) Observe(now time.Duration) { f.last = max(f.last, now) }

// Suspect implements Detector.
func (f *Fixed) Suspect(now time.Duration) bool { return now-f.last > f.timeout }

// Bounds limits the timeout that Adaptive and Predictive compute.
type Bounds struct {
	// Initial is the timeout until enough intervals have been observed.
	Initial time.Duration
	// Min and Max bound the timeout.
	Min time.Duration
	Max time.Duration
}

func (b Bounds) clamp(timeout time.Duration) time.Duration {
	return min(max(timeout, b.Min), b.Max)
}

// window is a ring buffer of recent values with their running sums.
type window struct {
	values     []float64
	next       int
	sum        float64
	sumSquares float64
}

func newWindow(size int) window { return window{values: make([]float64, 0, max(size, 1))} }

// add inserts a value and drops the oldest one if the window is full.
func (w *window) add(v float64) {
	if len(w.values) < cap(w.values) {
		w.values = append(w.values, v)
	} else {
		old := w.values[w.next]
		w.sum -= old
		w.sumSquares -= old * old
		w.values[w.next] = v
	}
	w.sum += v
	w.sumSquares += v * v
	w.next = (w.next + 1) % cap(w.values)
	if w.next == 0 {
		w.recompute()
	}
}

// recompute sums the values anew. The running sums accumulate rounding errors.
func (w *window) recompute() {
	w.sum = 0
	w.sumSquares = 0
	for _, v := range w.values {
		w.sum += v
		w.sumSquares += v * v
	}
}

func (w *window) mean() float64 {
	if len(w.values) == 0 {
		return 0
	}
	return w.sum / float64(len(w.values))
}

func (w *window) variance() float64 {
	if len(w.values) == 0 {
		return 0
	}
	mean := w.mean()
	return max(0, w.sumSquares/float64(len(w.values))-mean*mean)
}
