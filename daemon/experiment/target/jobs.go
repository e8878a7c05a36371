package target

import (
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"cranberrydrum.dev/daemon/api"
)

// gangSizes are the sizes of the jobs that fill the failure domains.
var gangSizes = []int{1, 2, 4, 8, 8, 16, 16, 32, 64}

const (
	longRun     = 12 * time.Hour
	fillTimeout = 120 * time.Second
	// fullShare of the accelerators asked for make a domain full.
	fullShare  = 0.97
	submitters = 8
	// backlog is the number of jobs of one accelerator that wait when the
	// failure domain is full, so that none of its accelerators stays free. It is
	// larger than the largest gang: if that one comes last and does not fit, the
	// small jobs must fill its place.
	backlog = 80
	// backlogRun is short enough for backfill: a gang that cannot start any more
	// gets a reservation for when the long jobs end, and jobs that would run
	// beyond it rightly leave accelerators free.
	backlogRun = longRun / 2
	// fillSteps is the number of progress lines while the domains fill.
	fillSteps = 10
)

// checkpoints are the checkpoint times of the jobs that fill each failure
// domain, in turn, and those that the jobs declare.
var checkpoints = []struct {
	command  string
	declared time.Duration
	label    string
}{
	{"100ms", 100 * time.Millisecond, "checkpoint in 0.1 s"},
	{"1s", time.Second, "checkpoint in 1 s"},
	{neverDone, 100 * time.Millisecond, "checkpoint never done"},
	{"100ms", 100 * time.Millisecond, "checkpoint in 0.1 s"},
}

// fill submits jobs to all failure domains and waits until these are full.
func (r *run) fill() error {
	start := time.Now()
	var wait sync.WaitGroup
	var first failures
	for d := range r.size.domains {
		requests := r.fillRequests(d)
		for part := range submitters {
			wait.Go(func() {
				for i := part; i < len(requests); i += submitters {
					first.note(r.submitAnywhere(requests[i]))
				}
			})
		}
	}
	wait.Wait()
	if first.err != nil {
		return first.err
	}
	wanted := int(fullShare * float64(r.size.fill*r.size.domains))
	r.options.progress("all jobs submitted after " + time.Since(start).Round(time.Millisecond).String())
	last := 0
	full := within(fillTimeout, func() bool {
		n, _ := r.fleet.tracker.total()
		if n >= last+wanted/fillSteps {
			last = n
			r.options.progress(strconv.Itoa(n) + " accelerators in use after " + time.Since(start).Round(time.Millisecond).String())
		}
		return n >= wanted
	})
	accelerators, tasks := r.fleet.tracker.total()
	if !full {
		return StateError("only " + strconv.Itoa(accelerators) + " accelerators of " + strconv.Itoa(wanted) + " were in use in time")
	}
	note := strconv.Itoa(tasks) + " members of gangs"
	r.add(free("accelerators in use when full", "1", float64(accelerators), note), free("time to fill the failure domains", "s", time.Since(start).Seconds(), ""))
	return nil
}

// failures keeps the first error.
type failures struct {
	mu  sync.Mutex
	err error
}

func (f *failures) note(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.err == nil {
		f.err = err
	}
}

// fillRequests returns bulk and normal jobs of customers without a guarantee.
func (r *run) fillRequests(d int) []api.JobSubmitRequest {
	random := rand.New(rand.NewPCG(r.options.Seed, uint64(d)))
	checkpoint := checkpoints[d]
	var list []api.JobSubmitRequest
	for left := r.size.fill + backlog; left > 0; {
		n := min(left, gangSizes[random.IntN(len(gangSizes))])
		declared := longRun
		if left <= backlog {
			n, declared = 1, backlogRun
		}
		left -= n
		customer := r.size.guaranteed + len(list)%(r.size.customers-r.size.guaranteed)
		list = append(list, api.JobSubmitRequest{
			Name: "fill-" + strconv.Itoa(len(list)), Customer: customerName(customer), FailureDomain: domainName(d),
			Priority: []string{"bulk", "normal"}[len(list)%2], Accelerators: n,
			DeclaredRuntimeMS: declared.Milliseconds(), CheckpointTimeMS: checkpoint.declared.Milliseconds(),
			Command: []string{"run", longRun.String(), checkpoint.command},
		})
	}
	for i := range list {
		list[i].Name = list[i].FailureDomain + "-" + list[i].Name
	}
	return list
}

// submitAnywhere submits through different hosts in turn.
func (r *run) submitAnywhere(request api.JobSubmitRequest) error {
	_, err := r.submit(request)
	return err
}

const submitAttempts = 5

// submit resends a job that was refused as not run, as callers do.
func (r *run) submit(request api.JobSubmitRequest) (api.Job, error) {
	var failure error
	for range submitAttempts {
		job, err := r.nextHost().client.SubmitJob(request)
		if err == nil {
			return job, nil
		}
		failure = err
		r.resent.Add(1)
		time.Sleep(100 * time.Millisecond)
	}
	return api.Job{}, &SetupError{What: "job " + request.Name, Cause: failure}
}

// nextHost returns the running hosts in turn.
func (r *run) nextHost() *host {
	for {
		h := r.cluster.hosts[int(r.turn.Add(1))%len(r.cluster.hosts)]
		if h.cmd != nil {
			return h
		}
	}
}
