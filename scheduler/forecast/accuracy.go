package forecast

import (
	"math"
	"time"
)

const (
	// bucketsPerDoubling is the resolution of the ratios: a bucket is 19 % wide.
	bucketsPerDoubling = 4
	// maxDoublings is the largest measured ratio, and the inverse of the smallest, as a
	// power of two.
	maxDoublings = 4
	buckets      = 2*maxDoublings*bucketsPerDoubling + 2
	// sampleWindow is the number of samples after which the weight of an earlier one has
	// fallen to 1/e. The load of a pool changes within minutes, and an overloaded pool
	// yields several samples a second.
	sampleWindow = 256
	// minSamples is the weight of samples from which the low quantile is known: below,
	// it would be that of the first two samples.
	minSamples = 20
	// lowShare is the share of jobs whose wait is shorter than corrected. A refusal of a job
	// that could have been in time costs the whole job, and the acceptance of a useless one
	// about a tenth of that in capacity, so the cost is equal if one refusal in ten is wrong.
	lowShare = 0.1
)

// Accuracy measures the ratio of real to modelled waits. The zero value has no samples.
type Accuracy struct {
	weights [buckets]float64
	total   float64
}

// Record adds the outcome of a forecast.
func (a *Accuracy) Record(modelled, actual time.Duration) {
	if modelled > 0 {
		a.add(bucketOf(float64(actual) / float64(modelled)))
	}
}

// RecordAtLeast adds the outcome of a forecast of which only the least wait is known. It does
// not lower the factor: a long wait that was observed for a short time would look like a
// short one.
func (a *Accuracy) RecordAtLeast(modelled, least time.Duration) {
	if modelled > 0 {
		a.add(max(bucketOf(float64(least)/float64(modelled)), a.lowBucket()))
	}
}

func (a *Accuracy) add(bucket int) {
	const decay = 1 - 1.0/sampleWindow
	for i := range a.weights {
		a.weights[i] *= decay
	}
	a.total = a.total*decay + 1
	a.weights[bucket]++
}

// bucketOf returns the bucket of a ratio. The first one holds all that are smaller than
// measured, the last one all that are larger.
func bucketOf(ratio float64) int {
	if ratio <= 0 {
		return 0
	}
	position := math.Floor(bucketsPerDoubling * (math.Log2(ratio) + maxDoublings))
	return int(min(max(position+1, 0), buckets-1))
}

// Factor returns a factor that, times a modelled wait, gives a wait that nine of ten jobs
// exceed. It reports false while there are too few samples.
func (a *Accuracy) Factor() (factor float64, supported bool) {
	if a.total < minSamples {
		return 0, false
	}
	return lowerBound(a.lowBucket()), true
}

// Typical returns the factor that half of the jobs exceed, or 1 without samples.
func (a *Accuracy) Typical() float64 {
	if a.total == 0 {
		return 1
	}
	return lowerBound(a.quantile(0.5))
}

// lowBucket returns the bucket of the ratio that nine of ten samples exceed.
func (a *Accuracy) lowBucket() int { return a.quantile(lowShare) }

// quantile returns the bucket of a quantile, or the first one without samples.
func (a *Accuracy) quantile(share float64) int {
	sum := 0.0
	for i, weight := range a.weights {
		if sum += weight; sum >= share*a.total {
			return i
		}
	}
	return 0
}

// lowerBound returns the smallest ratio in a bucket.
func lowerBound(bucket int) float64 {
	if bucket == 0 {
		return 0
	}
	return math.Exp2(float64(bucket-1)/bucketsPerDoubling - maxDoublings)
}
