package fleet

import (
	"cmp"
	"slices"
	"time"

	"cranberrydrum.dev/scheduler/runtimes"
	"cranberrydrum.dev/scheduler/workload"
)

// runTimes predicts run times from those that this leader measured and those that the log
// holds of earlier ones.
type runTimes struct{ model *runtimes.Model }

// jobStep identifies a step in all occurrences of a job.
type jobStep struct {
	job  string
	step int
}

// loadRunTimes returns a model of the run times in the state.
func loadRunTimes(state *workload.State, now time.Duration) *runTimes {
	t := &runTimes{model: runtimes.New()}
	var jobs []*workload.Job
	state.Jobs(func(j *workload.Job) {
		if j.Started {
			jobs = append(jobs, j)
		}
	})
	slices.SortFunc(jobs, func(a, b *workload.Job) int {
		return cmp.Or(cmp.Compare(a.EndedAt, b.EndedAt), cmp.Compare(a.Sequence, b.Sequence))
	})
	for _, j := range jobs {
		t.load(j, now)
	}
	return t
}

// load adds the measured steps of a job.
func (t *runTimes) load(j *workload.Job, now time.Duration) {
	for i := range j.Spec.Steps {
		finished, sum := j.MeasuredRuns(i)
		if finished == 0 {
			continue
		}
		s := stepOf(j, i)
		t.model.Load(now, &s, finished, sum/time.Duration(finished))
		if j.Phase.Ended() {
			t.model.Forget(s.ID)
		}
	}
}

func stepOf(j *workload.Job, step int) runtimes.Step {
	spec := &j.Spec.Steps[step]
	return runtimes.Step{
		ID: runtimes.StepID{Job: j.ID, Step: step}, Queue: j.Place(), Customer: j.Customer, Shape: runtimes.ShapeOf(spec),
		Tasks: spec.Count, Estimate: spec.Estimate,
	}
}

// record adds the measured run time of one task.
func (t *runTimes) record(now time.Duration, j *workload.Job, step int, executor string, took time.Duration) {
	s := stepOf(j, step)
	t.model.Record(now, &s, executor, took)
}

// predict returns the expected run time of a task and a bound that it rarely
// exceeds.
func (t *runTimes) predict(j *workload.Job, step int) (expected, bound time.Duration) {
	s := stepOf(j, step)
	p := t.model.Predict(&s)
	return p.Expected, p.Bound
}

// isMeasured reports whether finished runs of a queue support the prediction of its run
// times.
func (t *runTimes) isMeasured(place workload.Place) bool { return t.model.IsMeasured(place) }

// forget drops what is known of one step. Its queue keeps the sample.
func (t *runTimes) forget(key jobStep) {
	t.model.Forget(runtimes.StepID{Job: key.job, Step: key.step})
}
