package runtimes

import (
	"math"
	"time"
)

const (
	// decaySteps is the number of steps after which the weight of an earlier one has fallen
	// to 1/e: enough for quantiles, and few enough that a queue whose work changes is
	// predicted well after as many.
	decaySteps = 64
	// halfLife is the time after which the weight of a step is halved, so that after a night
	// without jobs a few new steps outweigh all of the day before.
	halfLife = 2 * time.Hour
	// shrinkage is the weight of the assumption that a group does not differ from its queue.
	// A customer or a shape with less than that is predicted mostly like the others.
	shrinkage = 4
)

// decayOf returns the factor for the weights of earlier observations.
func decayOf(elapsed time.Duration, weight float64) float64 {
	return math.Exp2(-max(0, elapsed.Seconds())/halfLife.Seconds()) * math.Exp(-weight/decaySteps)
}

// mean is a weighted mean.
type mean struct{ sum, weight float64 }

func (m *mean) add(value, weight float64) {
	m.sum += value * weight
	m.weight += weight
}

func (m *mean) decay(factor float64) {
	m.sum *= factor
	m.weight *= factor
}

func (m *mean) value() float64 { return m.sum / m.weight }

// shrunk returns the mean drawn towards 0, the more the smaller its weight is. That of no
// observations is 0.
func (m *mean) shrunk() float64 {
	if m == nil {
		return 0
	}
	return m.sum / (m.weight + shrinkage)
}

// minVariation is the variance below which estimates count as equal.
const minVariation = 1e-6

// regression is a weighted linear regression.
type regression struct{ n, x, y, xx, xy, yy float64 }

func (r *regression) add(x, y, weight float64) {
	r.n += weight
	r.x += weight * x
	r.y += weight * y
	r.xx += weight * x * x
	r.xy += weight * x * y
	r.yy += weight * y * y
}

func (r *regression) decay(factor float64) {
	for _, sum := range []*float64{&r.n, &r.x, &r.y, &r.xx, &r.xy, &r.yy} {
		*sum *= factor
	}
}

// slope lies between 0, for estimates that say nothing, and 1, for run times in proportion to
// them.
func (r *regression) slope() float64 {
	if varX := r.xx - r.x*r.x/r.n; varX > minVariation*r.n {
		return min(max((r.xy-r.x*r.y/r.n)/varX, 0), 1)
	}
	return 0
}

// mean returns the mean at x.
func (r *regression) mean(x float64) float64 { return r.y/r.n + r.slope()*(x-r.x/r.n) }

// deviation returns the standard deviation of the residuals.
func (r *regression) deviation() float64 {
	if r.n <= 2 {
		return 0
	}
	slope := r.slope()
	varX, varY, covariance := r.xx-r.x*r.x/r.n, r.yy-r.y*r.y/r.n, r.xy-r.x*r.y/r.n
	return math.Sqrt(max(0, varY-2*slope*covariance+slope*slope*varX) / (r.n - 2))
}

const (
	// binsPerDoubling is the resolution of errors: a bin is 9 % wide.
	binsPerDoubling = 8
	// maxErrorDoublings bounds the errors that are told apart, as a power of two.
	maxErrorDoublings = 5
	bins              = 2 * maxErrorDoublings * binsPerDoubling
)

// histogram counts errors of logarithms, with decaying weights.
type histogram struct {
	weights [bins]float64
	total   float64
}

func (h *histogram) add(err, weight float64) {
	decay := decayOf(0, weight)
	for i := range h.weights {
		h.weights[i] *= decay
	}
	h.total = h.total*decay + weight
	bin := math.Floor(binsPerDoubling * (err/math.Ln2 + maxErrorDoublings))
	h.weights[int(min(max(bin, 0), bins-1))] += weight
}

// quantile returns the upper end of the bin with a quantile.
func (h *histogram) quantile(share float64) float64 {
	sum := 0.0
	for i, weight := range h.weights {
		if sum += weight; sum >= share*h.total {
			return (float64(i+1)/binsPerDoubling - maxErrorDoublings) * math.Ln2
		}
	}
	return maxErrorDoublings * math.Ln2
}
