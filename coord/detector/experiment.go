package detector

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Link describes a network link and the heartbeats sent over it.
type Link struct {
	Name     string
	Interval time.Duration
	// Delay is the minimum transit time. Jitter is the mean of the
	// exponentially distributed time added to it.
	Delay  time.Duration
	Jitter time.Duration
	// Loss is the probability that a heartbeat is lost.
	Loss float64
	// PauseEvery is the mean time between pauses of the sender. Their lengths
	// are distributed log-uniformly from PauseMin to PauseMax.
	PauseEvery time.Duration
	PauseMin   time.Duration
	PauseMax   time.Duration
}

// Links returns the links of the comparison: within a region and between
// regions, each with and without pauses of the sender.
func Links() []Link {
	var out []Link
	for _, pauses := range []bool{false, true} {
		sameRegion := Link{Name: "1.5ms", Delay: 1500 * time.Microsecond, Jitter: 500 * time.Microsecond}
		crossRegion := Link{Name: "30ms", Delay: 30 * time.Millisecond, Jitter: 10 * time.Millisecond}
		for _, l := range []Link{sameRegion, crossRegion} {
			l.Interval = HeartbeatInterval
			l.Loss = 0.01
			if pauses {
				l.Name += "+pauses"
				l.PauseEvery = 5 * time.Minute
				l.PauseMin = 200 * time.Millisecond
				l.PauseMax = 3 * time.Second
			}
			out = append(out, l)
		}
	}
	return out
}

// Candidate is a named detector configuration.
type Candidate struct {
	Name string
	New  func(now time.Duration) Detector
}

// Candidates returns the detectors of the comparison. Each kind of detector has
// configurations that suspect after one, two and three lost heartbeats. The
// fixed timeout of 1.75 s detects a crash about as fast as the slowest
// Predictive configuration.
func Candidates() []Candidate {
	bounds := Bounds{Initial: DefaultTimeout, Min: HeartbeatInterval, Max: 5 * time.Second}
	fixed := func(timeout time.Duration) func(time.Duration) Detector {
		return func(now time.Duration) Detector { return NewFixed(now, timeout) }
	}
	adaptive := func(factor float64, margin time.Duration) func(time.Duration) Detector {
		cfg := AdaptiveConfig{Bounds: bounds, Window: 128, Factor: factor, Margin: margin}
		return func(now time.Duration) Detector { return NewAdaptive(now, cfg) }
	}
	predictive := func(factor float64, margin time.Duration) func(time.Duration) Detector {
		cfg := PredictiveConfig{Bounds: bounds, Window: 128, Factor: factor, Margin: margin}
		return func(now time.Duration) Detector { return NewPredictive(now, cfg) }
	}
	return []Candidate{
		{Name: "fixed 0.9s", New: fixed(900 * time.Millisecond)},
		{Name: "fixed 1.2s", New: fixed(1200 * time.Millisecond)},
		{Name: "fixed 1.75s", New: fixed(1750 * time.Millisecond)},
		{Name: "fixed 2s", New: fixed(DefaultTimeout)},
		{Name: "adaptive 4sd+0.2s", New: adaptive(4, 200*time.Millisecond)},
		{Name: "adaptive 4sd+0.6s", New: adaptive(4, 600*time.Millisecond)},
		{Name: "adaptive 4sd+1.2s", New: adaptive(4, 1200*time.Millisecond)},
		{Name: "predictive 4mae+0.2s", New: predictive(4, 200*time.Millisecond)},
		{Name: "predictive 4mae+0.6s", New: predictive(4, 600*time.Millisecond)},
		{Name: "predictive 4mae+1.2s", New: predictive(4, 1200*time.Millisecond)},
	}
}

// Outcome is the result of one candidate on one link.
type Outcome struct {
	Candidate string
	Link      string
	// FalsePerHour is the rate of suspicions of a process that has not crashed.
	FalsePerHour float64
	// DetectMean and DetectP99 are the mean and the 99th percentile of the time
	// from a crash to the suspicion.
	DetectMean time.Duration
	DetectP99  time.Duration
}

const (
	// crashWarmUp is the minimum time that a process runs before it crashes.
	crashWarmUp = 2 * time.Minute
	// detectionLimit is the longest time from a crash to the suspicion that the
	// search covers.
	detectionLimit = time.Minute
)

// Compare runs every candidate on every link: for the given length without a
// crash, and for the given number of crashes. It is deterministic, and all
// candidates receive the same heartbeats.
func Compare(seed uint64, length time.Duration, crashes int, links []Link, candidates []Candidate) []Outcome {
	var out []Outcome
	for _, c := range candidates {
		for i, l := range links {
			o := Outcome{Candidate: c.Name, Link: l.Name}
			o.FalsePerHour = falsePerHour(seed+uint64(i), length, l, c)
			o.DetectMean, o.DetectP99 = detectionTimes(seed+uint64(i), crashes, l, c)
			out = append(out, o)
		}
	}
	return out
}

// falsePerHour returns the rate of suspicions of a process that never crashes.
// A suspicion lasts until the next heartbeat, so it is enough to query the
// detector just before each heartbeat.
func falsePerHour(seed uint64, length time.Duration, l Link, c Candidate) float64 {
	rng := rand.New(rand.NewPCG(seed, 1))
	d := c.New(0)
	count := 0
	for _, at := range l.arrivals(rng, length) {
		if d.Suspect(at) {
			count++
		}
		d.Observe(at)
	}
	return float64(count) / length.Hours()
}

// detectionTimes returns the mean and the 99th percentile of the time from a
// crash to the suspicion.
func detectionTimes(seed uint64, crashes int, l Link, c Candidate) (mean, p99 time.Duration) {
	rng := rand.New(rand.NewPCG(seed, 2))
	var times []time.Duration
	sum := time.Duration(0)
	for range crashes {
		crash := crashWarmUp + time.Duration(rng.Int64N(int64(l.Interval)))
		d := c.New(0)
		for _, at := range l.arrivals(rng, crash) {
			d.Observe(at)
		}
		elapsed := suspicionTime(d, crash) - crash
		times = append(times, elapsed)
		sum += elapsed
	}
	slices.Sort(times)
	return sum / time.Duration(crashes), times[len(times)*99/100]
}

// suspicionTime returns the first time from start on at which the detector
// suspects the process, with a resolution of 1 ms.
func suspicionTime(d Detector, start time.Duration) time.Duration {
	low, high := start, start+detectionLimit
	for high-low > time.Millisecond {
		middle := low + (high-low)/2
		if d.Suspect(middle) {
			high = middle
		} else {
			low = middle
		}
	}
	return high
}

// arrivals returns the arrival times, in order, of the heartbeats sent before
// the end.
func (l Link) arrivals(rng *rand.Rand, end time.Duration) []time.Duration {
	var out []time.Duration
	last := time.Duration(0)
	pause := l.nextPause(rng, 0)
	for sent := time.Duration(0); sent < end; sent += l.Interval {
		if sent >= pause {
			sent += l.pauseLength(rng)
			pause = l.nextPause(rng, sent)
		}
		at := sent + l.Delay + time.Duration(rng.ExpFloat64()*float64(l.Jitter))
		lost := rng.Float64() < l.Loss
		if !lost && sent < end {
			last = max(last, at)
			out = append(out, last)
		}
	}
	return out
}

func (l Link) nextPause(rng *rand.Rand, now time.Duration) time.Duration {
	if l.PauseEvery == 0 {
		return math.MaxInt64
	}
	return now + time.Duration(rng.ExpFloat64()*float64(l.PauseEvery))
}

func (l Link) pauseLength(rng *rand.Rand) time.Duration {
	ratio := float64(l.PauseMax) / float64(l.PauseMin)
	return time.Duration(float64(l.PauseMin) * math.Pow(ratio, rng.Float64()))
}
