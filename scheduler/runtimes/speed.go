package runtimes

import "math"

// decayRuns is the number of runs of an executor after which the weight of an earlier one has
// fallen to 1/e. A new machine under the same identifier is known after some ten runs.
const decayRuns = 32

// recordSpeed adds the ratio of a run time on an executor to that of the other tasks of its
// step, as a logarithm.
func (m *Model) recordSpeed(executor string, relative float64) {
	speed := m.executors[executor]
	if speed == nil {
		speed = &mean{}
		m.executors[executor] = speed
	}
	speed.decay(math.Exp(-1.0 / decayRuns))
	speed.add(relative, 1)
}

// Slowness returns the factor by which tasks take longer on an executor than on the others
// that ran tasks of the same steps, or 1 if that is not known.
func (m *Model) Slowness(executor string) float64 {
	return math.Exp(m.executors[executor].shrunk())
}

// ForgetExecutor drops what is known of an executor that is gone.
func (m *Model) ForgetExecutor(executor string) { delete(m.executors, executor) }
