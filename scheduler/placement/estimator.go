package placement

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

// Estimator learns per customer how far declared run times are off. It uses
// medians, so that a few stragglers do not move it.
type Estimator struct {
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

// NewEstimator returns an estimator that trusts declared run times.
func NewEstimator() *Estimator {
	return &Estimator{customers: make(map[string]*history)}
}

// Observe learns from a job that ran to its end without being stopped. It
// reports whether the estimates of the customer changed notably.
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
	changedRatio := publish(&h.ratio, h.ratios)
	changedDuration := publish(&h.duration, h.durations)
	return changedRatio || changedDuration
}

// Estimate returns the expected run time of a job, 0 if unknown.
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

// appendBounded adds a sample and drops the oldest beyond the bound.
func appendBounded(samples []float64, x float64) []float64 {
	samples = append(samples, x)
	if len(samples) > estimateSamples {
		samples = slices.Delete(samples, 0, 1)
	}
	return samples
}

// publish replaces a published median if the samples moved it notably.
func publish(published *float64, samples []float64) bool {
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
