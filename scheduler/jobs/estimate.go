package jobs

import (
	"slices"
	"time"

	"cranberrydrum.dev/scheduler/structs"
)

const (
	// estimateSamples is the number of latest run times kept per customer.
	estimateSamples = 31
	// estimateMinimum is the number of run times below which the declared one
	// is taken as it is.
	estimateMinimum = 3
	// estimateStep is the relative change of a ratio that is passed on.
	estimateStep = 0.2
)

// estimator learns per customer how far declared run times are off. It uses
// medians, so that a few stragglers do not move it.
type estimator struct {
	customers map[string]*history
}

// history is the latest run times of one customer.
type history struct {
	ratios    []float64
	durations []float64
	// ratio and duration are the medians that were last passed on.
	ratio    float64
	duration float64
}

// newEstimator returns an estimator without measurements.
func newEstimator() *estimator {
	return &estimator{customers: map[string]*history{}}
}

// add records a run time and reports whether the estimates changed notably.
func (e *estimator) add(spec structs.JobSpec, ran time.Duration) bool {
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
	changedRatio := update(&h.ratio, h.ratios)
	changedDuration := update(&h.duration, h.durations)
	return changedRatio || changedDuration
}

// estimate returns the expected run time of a job, 0 if unknown.
func (e *estimator) estimate(spec structs.JobSpec) time.Duration {
	h := e.customers[spec.Customer]
	switch {
	case spec.DeclaredRuntime > 0 && h != nil && h.ratio > 0:
		return time.Duration(float64(spec.DeclaredRuntime) * h.ratio)
	case spec.DeclaredRuntime == 0 && h != nil && h.duration > 0:
		return time.Duration(h.duration)
	}
	return spec.DeclaredRuntime
}

// appendBounded adds a sample and drops the oldest beyond the bound.
func appendBounded(samples []float64, x float64) []float64 {
	samples = append(samples, x)
	if len(samples) > estimateSamples {
		samples = slices.Delete(samples, 0, 1)
	}
	return samples
}

// update replaces a published median if the samples moved it notably.
func update(published *float64, samples []float64) bool {
	if len(samples) < estimateMinimum {
		return false
	}
	sorted := slices.Sorted(slices.Values(samples))
	median := sorted[len(sorted)/2]
	if *published > 0 && median > *published*(1-estimateStep) && median < *published*(1+estimateStep) {
		return false
	}
	*published = median
	return true
}
