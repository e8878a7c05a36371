package target

import (
	"strconv"
	"time"

	"cranberrydrum.dev/daemon/api"
)

const (
	// failoverBound is two election timeouts and one renewal interval. A voter of
	// the domain becomes leader within two election timeouts, and its orders reach
	// the workers with the next renewal.
	failoverBound   = 3 * time.Second
	failoverTimeout = 30 * time.Second
	// leaseWait is longer than a lease. A new owner declares workers lost if they
	// have not renewed within a lease.
	leaseWait = 7500 * time.Millisecond
)

// failover kills the leaders of the failure domains one after the other and
// restarts each host before the next kill.
func (r *run) failover() error {
	var elapsed []time.Duration
	for i := range r.size.failovers {
		t, err := r.failLeader(domainName(i % r.size.domains))
		if err != nil {
			return err
		}
		elapsed = append(elapsed, t)
	}
	r.addPercentiles("loss of a leader, time until the new owner gives orders", elapsed, failoverBound)
	return r.addLossRows("loss of a leader")
}

// failLeader kills the host that leads the log of a failure domain, measures the
// time until a new owner gives orders, and restarts the host.
func (r *run) failLeader(domain string) (time.Duration, error) {
	leader := r.cluster.leader(domain)
	if leader == nil {
		return 0, StateError("no leader of the log of " + domain + " is known")
	}
	_, stopped, forced := r.fleet.tracker.counts(domain)
	term, _ := r.fleet.tracker.term(domain)
	killed := time.Now()
	leader.kill()
	elapsed := failoverTimeout
	pollUntil(failoverTimeout, func() bool {
		now, at := r.fleet.tracker.term(domain)
		if now > term {
			elapsed = at.Sub(killed)
		}
		return now > term
	})
	time.Sleep(leaseWait)
	_, stoppedAfter, forcedAfter := r.fleet.tracker.counts(domain)
	r.add(bounded("loss of the leader of "+domain+", tasks stopped", "1", 0, float64(stoppedAfter-stopped), strconv.Itoa(forcedAfter-forced)+" of them at the end of a lease"))
	if err := r.startJobAfterFailover(domain); err != nil {
		return elapsed, err
	}
	if err := leader.start(r.cluster.daemon, r.cluster.logDir); err != nil {
		return elapsed, err
	}
	time.Sleep(settleTime)
	return elapsed, nil
}

// startJobAfterFailover checks that the new owner starts jobs.
func (r *run) startJobAfterFailover(domain string) error {
	request := api.JobSubmitRequest{
		Name: domain + "-after-loss", Customer: customerName(0), FailureDomain: domain, Priority: "urgent", Accelerators: 1,
		DeclaredRuntimeMS: time.Second.Milliseconds(), Command: []string{"run", "1s", "100ms"},
	}
	job, err := r.submitWithin(request, failoverTimeout)
	if err != nil {
		return err
	}
	started := pollUntil(failoverTimeout, func() bool {
		_, ok := r.fleet.tracker.gangStartedAt(job.ID, 1)
		return ok
	})
	r.add(bounded("loss of the leader of "+domain+", jobs not started by the new owner", "1", 0, indicator(!started), ""))
	return nil
}

// submitWithin submits a job through the hosts in turn until one accepts it or the
// limit has passed.
func (r *run) submitWithin(request api.JobSubmitRequest, limit time.Duration) (api.Job, error) {
	var job api.Job
	var failure error
	pollUntil(limit, func() bool {
		job, failure = r.nextHost().client.SubmitJob(request)
		return failure == nil
	})
	if failure != nil {
		return job, &SetupError{Step: "job " + request.Name, Cause: failure}
	}
	return job, nil
}
