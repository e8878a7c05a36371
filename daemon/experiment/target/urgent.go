package target

import (
	"strconv"
	"sync"
	"time"

	"cranberrydrum.dev/daemon/api"
)

const (
	// urgentBound is the allowed time from submission to the start of all members.
	urgentBound   = 4800 * time.Millisecond
	urgentTimeout = 30 * time.Second
	// settleTime is the wait after an urgent gang for its preempted jobs to resume,
	// and after the restart of a killed leader.
	settleTime = 500 * time.Millisecond
)

// urgent measures urgent gangs in several failure domains concurrently, because each
// domain has its own log and workers. It leaves out the domain with the last entry of
// checkpoints, which repeats the first entry.
func (r *run) urgent() error {
	var wait sync.WaitGroup
	var first firstError
	for d := range min(r.size.domains, len(checkpoints)-1) {
		wait.Go(func() { first.record(r.urgentInDomain(d)) })
	}
	wait.Wait()
	return first.err
}

func (r *run) urgentInDomain(d int) error {
	for _, guaranteed := range []bool{true, false} {
		for _, n := range r.size.urgentGangs {
			if err := r.measureUrgentGangs(d, n, guaranteed); err != nil {
				return err
			}
		}
	}
	return nil
}

// measureUrgentGangs measures urgent gangs of one size, one after the other.
func (r *run) measureUrgentGangs(d, n int, guaranteed bool) error {
	name := "urgent gang of " + strconv.Itoa(n) + ", " + checkpoints[d].label + ", outside the guarantee"
	customer := r.size.customers - 1
	if guaranteed {
		name = "urgent gang of " + strconv.Itoa(n) + ", " + checkpoints[d].label + ", inside the guarantee"
		customer = 0
	}
	var elapsed []time.Duration
	for i := range r.size.repeats {
		t, err := r.timeUrgentGang(api.JobSubmitRequest{
			Name: domainName(d) + "-urgent-" + strconv.Itoa(n) + "-" + strconv.FormatBool(guaranteed) + "-" + strconv.Itoa(i), Customer: customerName(customer),
			FailureDomain: domainName(d), Priority: "urgent", Accelerators: n,
			DeclaredRuntimeMS: time.Minute.Milliseconds(), CheckpointTimeMS: 100, Command: []string{"run", "1m", "100ms"},
		})
		if err != nil {
			return err
		}
		elapsed = append(elapsed, t)
	}
	r.addPercentiles(name, elapsed, urgentBound)
	return nil
}

// timeUrgentGang returns the time from the submission until the last member has
// started, or urgentTimeout if the gang did not start by then.
func (r *run) timeUrgentGang(request api.JobSubmitRequest) (time.Duration, error) {
	submitted := time.Now()
	job, err := r.submit(request)
	if err != nil {
		return 0, err
	}
	elapsed := urgentTimeout
	pollUntil(urgentTimeout, func() bool {
		at, ok := r.fleet.tracker.gangStartedAt(job.ID, request.Accelerators)
		if ok {
			elapsed = at.Sub(submitted)
		}
		return ok
	})
	if elapsed == urgentTimeout {
		r.reportPending(job.ID)
	}
	if _, err := r.nextHost().client.CancelJob(job.ID); err != nil {
		return elapsed, &SetupError{Step: "cancel", Cause: err}
	}
	time.Sleep(settleTime)
	return elapsed, nil
}

// reportPending reports the status of a job that has not started.
func (r *run) reportPending(id string) {
	if job, err := r.nextHost().client.Job(id); err == nil {
		r.options.progress("job " + id + " did not start: " + string(job.Status) + " " + job.Reason)
	}
}
