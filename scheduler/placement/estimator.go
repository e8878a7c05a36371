package placement

import (
	"time"

	"cranberrydrum.dev/scheduler/structs"
)

// Estimator corrects declared run times by the ratio of measured to declared
// run time of each customer's finished jobs. It follows a high quantile
// instead of the mean, because the ratios are heavy-tailed and an estimate
// that is too short lets a backfilled job delay a reservation.
type Estimator struct {
	ratios map[string]float64
}

// Quantile tracking: a job that ran longer than estimated raises the ratio by
// estimatorStep*estimatorQuantile, one that ran shorter lowers it by
// estimatorStep*(1-estimatorQuantile).
const (
	estimatorQuantile = 0.8
	estimatorStep     = 0.25
	minRatio          = 0.05
	maxRatio          = 50
)

// NewEstimator returns an estimator that trusts declared run times.
func NewEstimator() *Estimator {
	return &Estimator{ratios: make(map[string]float64)}
}

// Observe learns from a job that finished without being stopped.
func (e *Estimator) Observe(customer string, declared, measured time.Duration) {
	if declared <= 0 || measured <= 0 {
		return
	}
	ratio := e.ratio(customer)
	if float64(measured) > ratio*float64(declared) {
		ratio *= 1 + estimatorStep*estimatorQuantile
	} else {
		ratio *= 1 - estimatorStep*(1-estimatorQuantile)
	}
	e.ratios[customer] = min(max(ratio, minRatio), maxRatio)
}

// Estimate returns the expected run time of a job, 0 if none was declared.
func (e *Estimator) Estimate(spec structs.JobSpec) time.Duration {
	return time.Duration(float64(spec.DeclaredRuntime) * e.ratio(spec.Customer))
}

// ratio returns the learned ratio of a customer, 1 if nothing was learned.
func (e *Estimator) ratio(customer string) float64 {
	ratio, ok := e.ratios[customer]
	if !ok {
		return 1
	}
	return ratio
}
