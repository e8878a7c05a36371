package target

import (
	"strconv"
	"time"

	"cranberrydrum.dev/scheduler/structs"
)

const (
	recoveryTimeout = 90 * time.Second
	// recoveredFraction of the accelerators in use before the restarts must be in
	// use again for the deployment to count as recovered.
	recoveredFraction = 0.99
)

// restarts restarts workers one after the other, as in ordinary operation, and
// waits until their jobs run again.
func (r *run) restarts() error {
	before, _ := r.fleet.tracker.total()
	start := time.Now()
	// Adjacent workers in the list are in different failure domains. A step that
	// does not divide the number of workers spreads the restarts over the racks.
	const step = 7
	for i := range r.size.restarts {
		r.fleet.workers[(i*step)%len(r.fleet.workers)].restart()
		time.Sleep(r.size.restartInterval)
	}
	last := time.Now()
	wanted := int(recoveredFraction * float64(before))
	recovered := pollUntil(recoveryTimeout, func() bool { n, _ := r.fleet.tracker.total(); return n >= wanted })
	after, _ := r.fleet.tracker.total()
	note := strconv.Itoa(r.size.restarts) + " restarts in " + last.Sub(start).Round(time.Second).String()
	r.add(unbounded("restarted workers, time from the last restart until 99 % run again", "s", time.Since(last).Seconds(), note+"; "+strconv.Itoa(after)+" of "+strconv.Itoa(before)+" accelerators in use"),
		bounded("restarted workers, runs not recovered in "+recoveryTimeout.String(), "1", 0, indicator(!recovered), note))
	return r.addLossRows("restarted workers")
}

// indicator returns 1 for true and 0 for false.
func indicator(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// addLossRows adds the number of workers that the owners do not consider healthy
// and the number of failed jobs.
func (r *run) addLossRows(name string) error {
	missing := r.size.workers
	for d := range r.size.domains {
		missing -= r.healthyWorkers(domainName(d))
	}
	list, err := r.nextHost().client.Jobs("", structs.JobFailed)
	if err != nil {
		return &SetupError{Step: "list of jobs", Cause: err}
	}
	note := ""
	if len(list.Jobs) > 0 {
		note = list.Jobs[0].Reason
	}
	r.add(bounded(name+", workers lost or in quarantine wrongly", "1", 0, float64(missing), ""),
		bounded(name+", failed jobs", "1", 0, float64(len(list.Jobs)), note))
	return nil
}
