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
	leaseWatch = 7500 * time.Millisecond
)

// failover kills the leaders of the logs of the failure domains in turn and
// starts each host again before the next one.
func (r *run) failover() error {
	var took []time.Duration
	for i := range r.size.failovers {
		t, err := r.loseLeader(domainName(i % r.size.domains))
		if err != nil {
			return err
		}
		took = append(took, t)
	}
	r.times("loss of a leader, time until the new owner gives orders", took, ownerBound)
	return r.lostRows("loss of a leader")
}

// loseLeader kills the host that leads the log of a failure domain and starts
// it again at the end.
func (r *run) loseLeader(domain string) (time.Duration, error) {
	leader := r.cluster.leader(domain)
	if leader == nil {
		return 0, StateError("no leader of the log of " + domain + " is known")
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
	time.Sleep(leaseWatch)
	_, stoppedAfter, forcedAfter := r.fleet.tracker.counts(domain)
	r.add(bounded("loss of the leader of "+domain+", tasks stopped", "1", 0, float64(stoppedAfter-stopped), strconv.Itoa(forcedAfter-forced)+" of them at the end of a lease"))
	if err := r.startAfterLoss(domain); err != nil {
		return took, err
	}
	if err := leader.start(r.cluster.daemon, r.cluster.folder); err != nil {
		return took, err
	}
	time.Sleep(settleTime)
	return took, nil
}

// startAfterLoss shows that the new owner starts jobs.
func (r *run) startAfterLoss(domain string) error {
	request := api.JobSubmitRequest{
		Name: domain + "-after-loss", Customer: customerName(0), FailureDomain: domain, Priority: "urgent", Accelerators: 1,
		DeclaredRuntimeMS: time.Second.Milliseconds(), Command: []string{"run", "1s", "100ms"},
	}
	job, err := r.submitWithin(request, ownerLimit)
	if err != nil {
		return err
	}
	started := within(ownerLimit, func() bool {
		_, ok := r.fleet.tracker.complete(job.ID, 1)
		return ok
	})
	r.add(bounded("loss of the leader of "+domain+", jobs not started by the new owner", "1", 0, truth(!started), ""))
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
