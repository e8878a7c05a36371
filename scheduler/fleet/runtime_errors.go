package fleet

import "time"

// PredictionError classifies the run time of a finished task by its prediction.
type PredictionError uint8

// Classes of run times.
const (
	// PredictionHeld means that the run took about as long as expected.
	PredictionHeld PredictionError = iota
	// PredictionOver means that it was much shorter than expected.
	PredictionOver
	// PredictionUnder means that it was longer than its bound.
	PredictionUnder
	predictionErrors
)

// String returns the name used in metrics.
func (e PredictionError) String() string { return [...]string{"held", "over", "under"}[e] }

// overFactor is how many times shorter than expected a run is that counts as predicted too
// long. It is the factor between expected run time and bound without measurements.
const overFactor = 1.5

func classifyPrediction(took, expected, bound time.Duration) PredictionError {
	switch {
	case took > bound:
		return PredictionUnder
	case float64(took)*overFactor < float64(expected):
		return PredictionOver
	}
	return PredictionHeld
}

// PredictionCounts counts finished tasks by queue and error of their prediction.
type PredictionCounts map[string]*[predictionErrors]int

// Each calls f for each queue and class with at least one task.
func (c PredictionCounts) Each(f func(queue, result string, tasks int)) {
	for queue, counts := range c {
		for class, tasks := range counts {
			if tasks > 0 {
				f(queue, PredictionError(class).String(), tasks)
			}
		}
	}
}

// countPrediction compares a measured run time with its prediction.
func (c *Controller) countPrediction(queue string, took, expected, bound time.Duration) {
	if c.out.Predictions == nil {
		c.out.Predictions = PredictionCounts{}
	}
	if c.out.Predictions[queue] == nil {
		c.out.Predictions[queue] = &[predictionErrors]int{}
	}
	c.out.Predictions[queue][classifyPrediction(took, expected, bound)]++
}
