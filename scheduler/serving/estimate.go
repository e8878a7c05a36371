package serving

import (
	"math"
	"time"
)

const (
	// The upper bounds of the buckets start at 1 ms and grow by a factor of
	// 2^(1/4), so a quantile is at most 19 % too high. The bound of the last bucket
	// is 3.9 h; longer times are counted in it as well.
	estimateBuckets    = 96
	bucketsPerDoubling = 4
	// estimateWindow is the total weight at which the weight of all samples is
	// halved, so that the estimate follows a change within a few hundred requests.
	estimateWindow = 256
	// minSamples is the number of samples that an estimate needs before it is used.
	// Until then the estimate of the class or a prior applies.
	minSamples = 8
)

// estimator estimates the distribution of service times with a decaying
// histogram. Unlike a mean, its quantiles are not shifted by a few stragglers.
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
	e.mean = e.decayedMean()
}

// decayedMean returns the mean of the weighted samples. It includes stragglers,
// because queued requests wait for them, but the decay bounds how long one of
// them counts.
func (e *estimator) decayedMean() time.Duration {
	// The geometric middle of a bucket is half a bucket below its upper bound:
	// 2^(-1/8) = 0.917.
	const midpointFactor = 0.917
	sum := 0.0
	for i, count := range e.counts {
		if count > 0 {
			sum += float64(count) * float64(bucketUpperBounds[i])
		}
	}
	return time.Duration(midpointFactor * sum / float64(e.total))
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
			median = bucketUpperBound(i)
		}
		if sum >= most {
			return median, bucketUpperBound(i)
		}
	}
	return median, bucketUpperBound(estimateBuckets - 1)
}

func bucketOf(d time.Duration) int {
	if d <= time.Millisecond {
		return 0
	}
	doublings := math.Log2(float64(d) / float64(time.Millisecond))
	return min(estimateBuckets-1, int(math.Ceil(doublings*bucketsPerDoubling-1e-9)))
}

var bucketUpperBounds = func() (bounds [estimateBuckets]time.Duration) {
	for i := range bounds {
		bounds[i] = time.Duration(float64(time.Millisecond) * math.Exp2(float64(i)/bucketsPerDoubling))
	}
	return bounds
}()

func bucketUpperBound(i int) time.Duration { return bucketUpperBounds[i] }

// priorMedian holds the service time estimates that are used before there are
// enough samples. They never cause a refusal.
var priorMedian = [classCount]time.Duration{
	urgent: 50 * time.Millisecond,
	normal: 200 * time.Millisecond,
	bulk:   2 * time.Second,
}
