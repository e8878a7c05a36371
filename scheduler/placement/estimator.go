package placement

import (
	"slices"
	"time"

	"cranberrydrum.dev/scheduler/structs"
)

const (
	// estimateSamples is the number of latest run times kept per customer.
	estimateSamples = 31
	// estimateMinSamples is the number of run times that a customer needs before
	// they correct its declared run times.
	estimateMinSamples = 3
	// estimateMinChange is the relative change of a median that replaces the one
	// in use; smaller changes would update all estimates of the customer for
	// little gain.
	estimateMinChange = 0.2
)

// Estimator predicts run times from the ratio of actual to declared run times of
// each customer. It uses medians, because single very long runs would distort a
// mean.
type Estimator struct {
	customers map[string]*history
}

// history holds the latest run times of one customer.
type history struct {
	ratios    []float64
	durations []float64
	// ratio and duration are the medians that estimates use at present.
	ratio    float64
	duration float64
}

// NewEstimator returns an estimator without samples, which returns declared run
// times unchanged.
func NewEstimator() *Estimator {
	return &Estimator{customers: make(map[string]*history)}
}

// Observe records the run time of a job that ran to its end without being
// stopped. It reports whether this changed the customer's estimates, which is
// only so if a median moved by estimateMinChange or more.
func (e *Estimator) Observe(spec structs.JobSpec, ran time.Duration) bool {
	if ran <= 0 {
		return false
	}
	h := e.customers[spec.Customer]
	if h == nil {
		h = &history{}
		e.customers[spec.Customer] = h
	}
	h.durations = appendBounded(h.durations, float64(ran))
	if spec.DeclaredRuntime > 0 {
		h.ratios = appendBounded(h.ratios, float64(ran)/float64(spec.DeclaredRuntime))
	}
	changedRatio := updateMedian(&h.ratio, h.ratios)
	changedDuration := updateMedian(&h.duration, h.durations)
	return changedRatio || changedDuration
}

// Estimate returns the expected run time of a job, or 0 if it is unknown.
func (e *Estimator) Estimate(spec structs.JobSpec) time.Duration {
	h := e.customers[spec.Customer]
	switch {
	case spec.DeclaredRuntime > 0 && h != nil && h.ratio > 0:
		return time.Duration(float64(spec.DeclaredRuntime) * h.ratio)
	case spec.DeclaredRuntime == 0 && h != nil && h.duration > 0:
		return time.Duration(h.duration)
	}
	return spec.DeclaredRuntime
}

// appendBounded adds a sample and drops the oldest one if there are more than
// estimateSamples.
func appendBounded(samples []float64, x float64) []float64 {
	samples = append(samples, x)
	if len(samples) > estimateSamples {
		samples = slices.Delete(samples, 0, 1)
	}
	return samples
}

// updateMedian replaces the median in use if the samples' median differs from it
// by estimateMinChange or more. It reports whether it did.
func updateMedian(current *float64, samples []float64) bool {
	if len(samples) < estimateMinSamples {
		return false
	}
	sorted := slices.Sorted(slices.Values(samples))
	median := sorted[len(sorted)/2]
	if *current > 0 && median > *current*(1-estimateMinChange) && median < *current*(1+estimateMinChange) {
		return false
	}
	*current = median
	return true
}
