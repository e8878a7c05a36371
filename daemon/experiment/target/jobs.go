package target

import (
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"cranberrydrum.dev/daemon/api"
)

// gangSizes are the sizes, in accelerators, from which the jobs that fill the
// failure domains are drawn at random.
var gangSizes = []int{1, 2, 4, 8, 8, 16, 16, 32, 64}

const (
	longRunTime = 12 * time.Hour
	fillTimeout = 120 * time.Second
	// fullFraction of the requested accelerators must be in use for the domains to
	// count as full.
	fullFraction = 0.97
	// submitters is the number of concurrent submitters per failure domain.
	submitters = 8
	// backlog is the number of jobs of one accelerator that are queued beyond the
	// capacity of a failure domain, so that no accelerator stays free. It exceeds
	// the largest gang: if that gang comes last and does not fit, the small jobs
	// take its place.
	backlog = 80
	// backlogRunTime is short enough for backfill. A gang that cannot start has a
	// reservation for the time at which the long jobs end, and jobs that would run
	// beyond it are correctly not started on free accelerators.
	backlogRunTime = longRunTime / 2
	// fillSteps is the number of progress lines while the domains fill.
	fillSteps = 10
)

// checkpoints are the actual and the declared checkpoint times of the jobs that
// fill each failure domain, by the index of the domain.
var checkpoints = []struct {
	command  string
	declared time.Duration
	label    string
}{
	{"100ms", 100 * time.Millisecond, "checkpoint in 0.1 s"},
	{"1s", time.Second, "checkpoint in 1 s"},
	{neverCompletes, 100 * time.Millisecond, "checkpoint never done"},
	{"100ms", 100 * time.Millisecond, "checkpoint in 0.1 s"},
}

// fill submits jobs to all failure domains and waits until the domains are full.
func (r *run) fill() error {
	start := time.Now()
	var wait sync.WaitGroup
	var first firstError
	for d := range r.size.domains {
		requests := r.fillRequests(d)
		for submitter := range submitters {
			wait.Go(func() {
				for i := submitter; i < len(requests); i += submitters {
					first.record(r.submitAnywhere(requests[i]))
				}
			})
		}
	}
	wait.Wait()
	if first.err != nil {
		return first.err
	}
	wanted := int(fullFraction * float64(r.size.fillAccelerators*r.size.domains))
	r.options.progress("all jobs submitted after " + time.Since(start).Round(time.Millisecond).String())
	last := 0
	full := pollUntil(fillTimeout, func() bool {
		n, _ := r.fleet.tracker.total()
		if n >= last+wanted/fillSteps {
			last = n
			r.options.progress(strconv.Itoa(n) + " accelerators in use after " + time.Since(start).Round(time.Millisecond).String())
		}
		return n >= wanted
	})
	accelerators, tasks := r.fleet.tracker.total()
	if !full {
		return StateError("only " + strconv.Itoa(accelerators) + " accelerators of " + strconv.Itoa(wanted) + " were in use within the fill timeout")
	}
	note := strconv.Itoa(tasks) + " members of gangs"
	r.add(unbounded("accelerators in use when full", "1", float64(accelerators), note), unbounded("time to fill the failure domains", "s", time.Since(start).Seconds(), ""))
	return nil
}

// firstError keeps the first error of several goroutines.
type firstError struct {
	mu  sync.Mutex
	err error
}

func (f *firstError) record(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.err == nil {
		f.err = err
	}
}

// fillRequests returns the jobs that fill a failure domain: bulk and normal jobs of
// customers without a guarantee, followed by the backlog.
func (r *run) fillRequests(d int) []api.JobSubmitRequest {
	random := rand.New(rand.NewPCG(r.options.Seed, uint64(d)))
	checkpoint := checkpoints[d]
	var list []api.JobSubmitRequest
	for left := r.size.fillAccelerators + backlog; left > 0; {
		n := min(left, gangSizes[random.IntN(len(gangSizes))])
		declared := longRunTime
		if left <= backlog {
			n, declared = 1, backlogRunTime
		}
		left -= n
		customer := r.size.guaranteed + len(list)%(r.size.customers-r.size.guaranteed)
		list = append(list, api.JobSubmitRequest{
			Name: "fill-" + strconv.Itoa(len(list)), Customer: customerName(customer), FailureDomain: domainName(d),
			Priority: []string{"bulk", "normal"}[len(list)%2], Accelerators: n,
			DeclaredRuntimeMS: declared.Milliseconds(), CheckpointTimeMS: checkpoint.declared.Milliseconds(),
			Command: []string{"run", longRunTime.String(), checkpoint.command},
		})
	}
	for i := range list {
		list[i].Name = list[i].FailureDomain + "-" + list[i].Name
	}
	return list
}

// submitAnywhere submits a job through the next host and ignores its ID.
func (r *run) submitAnywhere(request api.JobSubmitRequest) error {
	_, err := r.submit(request)
	return err
}

const submitAttempts = 5

// submit submits a job through the next host. It resubmits a job that was refused
// with the outcome "not run", as callers do.
func (r *run) submit(request api.JobSubmitRequest) (api.Job, error) {
	var failure error
	for range submitAttempts {
		job, err := r.nextHost().client.SubmitJob(request)
		if err == nil {
			return job, nil
		}
		failure = err
		r.retries.Add(1)
		time.Sleep(100 * time.Millisecond)
	}
	return api.Job{}, &SetupError{Step: "job " + request.Name, Cause: failure}
}

// nextHost returns the running hosts in round-robin order.
func (r *run) nextHost() *host {
	for {
		h := r.cluster.hosts[int(r.hostCounter.Add(1))%len(r.cluster.hosts)]
		if h.cmd != nil {
			return h
		}
	}
}
