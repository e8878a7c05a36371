package target

import (
	"strconv"
	"sync"
	"time"

	"cranberrydrum.dev/daemon/api"
)

const (
	urgentBound = 4800 * time.Millisecond
	urgentLimit = 30 * time.Second
	// settleTime passes after an urgent gang until its victims have resumed.
	settleTime = 500 * time.Millisecond
)

// urgent measures urgent gangs in all failure domains at once: the logs and
// the workers of the domains are separate.
func (r *run) urgent() error {
	var wait sync.WaitGroup
	var first failures
	for d := range min(r.size.domains, len(checkpoints)-1) {
		wait.Go(func() { first.note(r.urgentIn(d)) })
	}
	wait.Wait()
	return first.err
}

func (r *run) urgentIn(d int) error {
	for _, inside := range []bool{true, false} {
		for _, n := range r.size.gangs {
			if err := r.urgentGangs(d, n, inside); err != nil {
				return err
			}
		}
	}
	return nil
}

func (r *run) urgentGangs(d, n int, inside bool) error {
	name := "urgent gang of " + strconv.Itoa(n) + ", " + checkpoints[d].label + ", outside the guarantee"
	customer := r.size.customers - 1
	if inside {
		name = "urgent gang of " + strconv.Itoa(n) + ", " + checkpoints[d].label + ", inside the guarantee"
		customer = 0
	}
	var took []time.Duration
	for i := range r.size.repeats {
		t, err := r.urgentOnce(api.JobSubmitRequest{
			Name: domainName(d) + "-urgent-" + strconv.Itoa(n) + "-" + strconv.FormatBool(inside) + "-" + strconv.Itoa(i), Customer: customerName(customer),
			FailureDomain: domainName(d), Priority: "urgent", Accelerators: n,
			DeclaredRuntimeMS: time.Minute.Milliseconds(), CheckpointTimeMS: 100, Command: []string{"run", "1m", "100ms"},
		})
		if err != nil {
			return err
		}
		took = append(took, t)
	}
	r.times(name, took, urgentBound)
	return nil
}

// urgentOnce returns the time from the submission until the last member has
// started; the limit if it did not start in time.
func (r *run) urgentOnce(request api.JobSubmitRequest) (time.Duration, error) {
	submitted := time.Now()
	job, err := r.submit(request)
	if err != nil {
		return 0, err
	}
	took := urgentLimit
	within(urgentLimit, func() bool {
		at, ok := r.fleet.tracker.complete(job.ID, request.Accelerators)
		if ok {
			took = at.Sub(submitted)
		}
		return ok
	})
	if took == urgentLimit {
		r.explain(job.ID)
	}
	if _, err := r.nextHost().client.CancelJob(job.ID); err != nil {
		return took, &SetupError{What: "cancel", Cause: err}
	}
	time.Sleep(settleTime)
	return took, nil
}

// explain reports why a job has not started.
func (r *run) explain(id string) {
	if job, err := r.nextHost().client.Job(id); err == nil {
		r.options.progress("job " + id + " did not start: " + string(job.Status) + " " + job.Reason)
	}
}
