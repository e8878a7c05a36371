package target

import (
	"strconv"
	"time"

	"cranberrydrum.dev/daemon/api"
)

const (
	// ownerBound is two election timeouts and one renewal: a local voter leads
	// within the former, and the next renewal brings its orders.
	ownerBound = 3 * time.Second
	ownerLimit = 30 * time.Second
	// leaseWatch is longer than a lease, after which a new owner declares
	// workers lost that it has not heard.
	leaseWatch = 10 * time.Second
)

// failover kills the host that leads the log of a failure domain.
func (r *run) failover() error {
	domain := domainName(0)
	leader := r.cluster.leader(domain)
	if leader == nil {
		return StateError("no leader of the log of " + domain + " is known")
	}
	_, stopped, forced := r.fleet.tracker.counts(domain)
	term, _ := r.fleet.tracker.term(domain)
	killed := time.Now()
	leader.kill()
	took := ownerLimit
	within(ownerLimit, func() bool {
		now, at := r.fleet.tracker.term(domain)
		if now > term {
			took = at.Sub(killed)
		}
		return now > term
	})
	r.add(bounded("loss of a leader, time until the new owner gives orders", "s", ownerBound.Seconds(), took.Seconds(), "two election timeouts and one renewal"))
	if err := r.startAfterLoss(domain, killed); err != nil {
		return err
	}
	time.Sleep(leaseWatch)
	_, stoppedAfter, forcedAfter := r.fleet.tracker.counts(domain)
	r.add(bounded("loss of a leader, tasks stopped", "1", 0, float64(stoppedAfter-stopped), strconv.Itoa(forcedAfter-forced)+" of them at the end of a lease"))
	return r.lostRows("loss of a leader")
}

// startAfterLoss measures when a job of one accelerator runs after the loss.
func (r *run) startAfterLoss(domain string, killed time.Time) error {
	request := api.JobSubmitRequest{
		Name: "after-loss", Customer: customerName(0), FailureDomain: domain, Priority: "urgent", Accelerators: 1,
		DeclaredRuntimeMS: time.Second.Milliseconds(), Command: []string{"run", "1s", "100ms"},
	}
	job, err := r.submitWithin(request, ownerLimit)
	if err != nil {
		return err
	}
	took := ownerLimit
	within(ownerLimit, func() bool {
		at, ok := r.fleet.tracker.complete(job.ID, 1)
		if ok {
			took = at.Sub(killed)
		}
		return ok
	})
	r.add(free("loss of a leader, time until a new job runs", "s", took.Seconds(), ""))
	return nil
}

// submitWithin resends a job until a host accepts it.
func (r *run) submitWithin(request api.JobSubmitRequest, limit time.Duration) (api.Job, error) {
	var job api.Job
	var failure error
	within(limit, func() bool {
		job, failure = r.nextHost().client.SubmitJob(request)
		return failure == nil
	})
	if failure != nil {
		return job, &SetupError{What: "job " + request.Name, Cause: failure}
	}
	return job, nil
}
