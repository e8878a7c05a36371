package serving

import (
	"math"
	"time"
)

const (
	// The buckets grow by a factor of 2^(1/4) from 1 ms, so that a quantile is
	// at most 19 % too high, and reach past four hours.
	estimateBuckets    = 96
	bucketsPerDoubling = 4
	// estimateWindow is the weight at which old samples are halved. It makes
	// the estimate follow a change within a few hundred requests.
	estimateWindow = 256
	// minSamples is the number of samples before an estimate may cause a
	// refusal or a hedge.
	minSamples = 8
)

// estimator learns the distribution of service times. Quantiles of a decayed
// histogram are not moved by a few stragglers, unlike a mean.
type estimator struct {
	counts  [estimateBuckets]float32
	total   float32
	samples int
	mean    time.Duration
	median  time.Duration
	p95     time.Duration
}

func (e *estimator) observe(d time.Duration) {
	e.counts[bucketOf(d)]++
	e.total++
	e.samples++
	if e.total >= estimateWindow {
		e.decay()
	}
	e.median, e.p95 = e.quantiles()
	e.mean = e.average()
}

// average is the mean of the window. It includes stragglers, which a queue has
// to wait for, but the decay bounds how long one of them counts.
func (e *estimator) average() time.Duration {
	// The middle of a bucket is half a bucket below its top.
	const middle = 0.917
	sum := 0.0
	for i, count := range e.counts {
		if count > 0 {
			sum += float64(count) * float64(bucketTops[i])
		}
	}
	return time.Duration(middle * sum / float64(e.total))
}

func (e *estimator) decay() {
	e.total = 0
	for i := range e.counts {
		e.counts[i] /= 2
		e.total += e.counts[i]
	}
}

func (e *estimator) quantiles() (median, p95 time.Duration) {
	var sum float32
	half, most := e.total*0.5, e.total*0.95
	for i := range e.counts {
		sum += e.counts[i]
		if median == 0 && sum >= half {
			median = bucketTop(i)
		}
		if sum >= most {
			return median, bucketTop(i)
		}
	}
	return median, bucketTop(estimateBuckets - 1)
}

func bucketOf(d time.Duration) int {
	if d <= time.Millisecond {
		return 0
	}
	doublings := math.Log2(float64(d) / float64(time.Millisecond))
	return min(estimateBuckets-1, int(math.Ceil(doublings*bucketsPerDoubling-1e-9)))
}

var bucketTops = func() (tops [estimateBuckets]time.Duration) {
	for i := range tops {
		tops[i] = time.Duration(float64(time.Millisecond) * math.Exp2(float64(i)/bucketsPerDoubling))
	}
	return tops
}()

func bucketTop(i int) time.Duration { return bucketTops[i] }

// Estimates used before anything was measured. They never cause a refusal.
var priorMedian = [classCount]time.Duration{
	urgent: 50 * time.Millisecond,
	normal: 200 * time.Millisecond,
	bulk:   2 * time.Second,
}
