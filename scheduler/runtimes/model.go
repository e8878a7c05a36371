package runtimes

import (
	"math"
	"time"

	"cranberrydrum.dev/scheduler/workload"
)

const (
	// minSteps is the weight of measured steps of a queue from which its regression is used:
	// two parameters and a spread need more than two. Four steps weigh a little less than 4.
	minSteps = 3.5
	// siblingFactor multiplies the measured run time of other tasks of a step to get a bound,
	// and the estimate while nothing has been measured.
	siblingFactor = 1.5
	// boundQuantile is the share of tasks that end within the bound.
	boundQuantile = 0.9
	// boundDeviations is that quantile of a normal distribution in standard deviations. It is
	// used while too few errors are measured.
	boundDeviations = 1.28
	// minErrors is the weight of measured errors from which their quantiles are used: with
	// fewer, the quantile of the bound is that of the one or two largest errors.
	minErrors = 20
)

// StepID identifies a step in all occurrences of a job.
type StepID struct {
	Job  string
	Step int
}

// Shape is what steps of similar run times have in common beside their queue.
type Shape struct {
	// Width is the number of tasks as a power of two, rounded down.
	Width        int
	Accelerators int64
	Gang         bool
}

// ShapeOf returns the shape of a step.
func ShapeOf(step *workload.Step) Shape {
	return Shape{Width: int(math.Log2(float64(max(step.Count, 1)))), Accelerators: step.Demand.GPU, Gang: step.Gang}
}

// Step describes a step to be predicted.
type Step struct {
	ID       StepID
	Queue    workload.Place
	Customer string
	Shape    Shape
	// Tasks is the number of tasks, Estimate the run time as the customer estimates it.
	Tasks    int
	Estimate time.Duration
}

// Prediction is what is expected of a task. Bound is a time within which nine of ten tasks
// end.
type Prediction struct{ Expected, Bound time.Duration }

// Model predicts run times.
type Model struct {
	steps     map[StepID]*mean
	queues    map[workload.Place]*queue
	executors map[string]*mean
}

// New returns a model without observations.
func New() *Model {
	return &Model{steps: map[StepID]*mean{}, queues: map[workload.Place]*queue{}, executors: map[string]*mean{}}
}

// queue is what is known of the jobs of a queue.
type queue struct {
	regression regression
	shapes     map[Shape]*mean
	customers  map[string]*mean
	errors     histogram
	// upper is the quantile of the errors for the bound.
	upper float64
	at    time.Duration
}

// Record adds the run time of one finished task, on an executor.
func (m *Model) Record(at time.Duration, s *Step, executor string, took time.Duration) {
	if took <= 0 || s.Estimate <= 0 {
		return
	}
	y := logSeconds(took)
	siblings := m.steps[s.ID]
	if siblings == nil {
		siblings = &mean{}
		m.steps[s.ID] = siblings
	} else {
		m.recordSpeed(executor, y-siblings.value())
	}
	siblings.add(y, 1)
	m.queueOf(s.Queue).add(at, s, y, 1/float64(max(s.Tasks, 1)))
}

// Load adds the mean run time of the finished tasks of a step that an earlier leader
// recorded. It is called in the order of their ends.
func (m *Model) Load(at time.Duration, s *Step, finished int, took time.Duration) {
	if took <= 0 || finished <= 0 || s.Estimate <= 0 {
		return
	}
	y := logSeconds(took)
	siblings := &mean{}
	siblings.add(y, float64(finished))
	m.steps[s.ID] = siblings
	m.queueOf(s.Queue).add(at, s, y, min(1, float64(finished)/float64(max(s.Tasks, 1))))
}

// Predict returns the prediction for a task of a step.
func (m *Model) Predict(s *Step) Prediction {
	if siblings := m.steps[s.ID]; siblings != nil {
		return scaled(fromLogSeconds(siblings.value()), siblingFactor)
	}
	if q := m.queues[s.Queue]; q != nil && q.isMeasured() && s.Estimate > 0 {
		expected := q.predict(s)
		return Prediction{Expected: fromLogSeconds(expected), Bound: fromLogSeconds(expected + q.upper)}
	}
	return scaled(s.Estimate, siblingFactor)
}

// Quantile returns the time within which a share of the tasks of a step end, and reports false
// if too few errors of its queue are measured.
func (m *Model) Quantile(s *Step, share float64) (time.Duration, bool) {
	q := m.queues[s.Queue]
	if q == nil || !q.isMeasured() || q.errors.total < minErrors || s.Estimate <= 0 {
		return 0, false
	}
	return fromLogSeconds(q.predict(s) + q.errors.quantile(share)), true
}

// IsMeasured reports whether finished runs of a queue support its predictions.
func (m *Model) IsMeasured(place workload.Place) bool {
	q := m.queues[place]
	return q != nil && q.isMeasured()
}

// Forget drops what is known of one step. Its queue keeps the sample.
func (m *Model) Forget(id StepID) { delete(m.steps, id) }

func (m *Model) queueOf(place workload.Place) *queue {
	q := m.queues[place]
	if q == nil {
		q = &queue{shapes: map[Shape]*mean{}, customers: map[string]*mean{}}
		m.queues[place] = q
	}
	return q
}

func (q *queue) isMeasured() bool { return q.regression.n >= minSteps }

// add adds the logarithm of a run time. The errors are those of the prediction before it, so
// that the quantiles are those of predictions and not of a fit.
func (q *queue) add(at time.Duration, s *Step, y, weight float64) {
	x := logSeconds(s.Estimate)
	q.regression.decay(decayOf(at-q.at, weight))
	q.at = max(q.at, at)
	if q.isMeasured() {
		left := y - q.regression.mean(x)
		left -= correct(q.shapes, s.Shape, left, weight)
		left -= correct(q.customers, s.Customer, left, weight)
		q.errors.add(left, weight)
	}
	q.regression.add(x, y, weight)
	q.upper = boundDeviations * q.regression.deviation()
	if q.errors.total >= minErrors {
		q.upper = max(0, q.errors.quantile(boundQuantile))
	}
}

// predict returns the logarithm of the expected run time.
func (q *queue) predict(s *Step) float64 {
	return q.regression.mean(logSeconds(s.Estimate)) + q.shapes[s.Shape].shrunk() + q.customers[s.Customer].shrunk()
}

// correct returns the correction of a group and adds an error to it.
func correct[K comparable](groups map[K]*mean, key K, left, weight float64) float64 {
	group := groups[key]
	if group == nil {
		group = &mean{}
		groups[key] = group
	}
	correction := group.shrunk()
	group.decay(decayOf(0, weight))
	group.add(left, weight)
	return correction
}

func scaled(expected time.Duration, factor float64) Prediction {
	return Prediction{Expected: expected, Bound: time.Duration(factor * float64(expected))}
}

func logSeconds(d time.Duration) float64 { return math.Log(d.Seconds()) }

func fromLogSeconds(x float64) time.Duration {
	return time.Duration(min(math.Exp(x)*float64(time.Second), math.MaxInt64/2))
}
