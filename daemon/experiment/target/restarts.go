package target

import (
	"strconv"
	"time"

	"cranberrydrum.dev/scheduler/structs"
)

const (
	recoveryLimit = 90 * time.Second
	// recoveredShare of the accelerators in use before make a recovered deployment.
	recoveredShare = 0.99
)

// restarts restarts workers one after the other, as on an ordinary day, and
// waits until their jobs run again.
func (r *run) restarts() error {
	before, _ := r.fleet.tracker.total()
	start := time.Now()
	// Neighbours in the list are in different failure domains, and a step that
	// is no divisor of the workers spreads the restarts over the racks.
	const step = 7
	for i := range r.size.restarts {
		r.fleet.workers[(i*step)%len(r.fleet.workers)].restart()
		time.Sleep(r.size.restartDistance)
	}
	last := time.Now()
	wanted := int(recoveredShare * float64(before))
	recovered := within(recoveryLimit, func() bool { n, _ := r.fleet.tracker.total(); return n >= wanted })
	after, _ := r.fleet.tracker.total()
	note := strconv.Itoa(r.size.restarts) + " restarts in " + last.Sub(start).Round(time.Second).String()
	r.add(free("restarted workers, time from the last restart until 99 % run again", "s", time.Since(last).Seconds(), note+"; "+strconv.Itoa(after)+" of "+strconv.Itoa(before)+" accelerators in use"),
		bounded("restarted workers, runs not recovered in "+recoveryLimit.String(), "1", 0, truth(!recovered), note))
	return r.lostRows("restarted workers")
}

func truth(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// lostRows counts workers that the owners do not use and jobs that failed.
func (r *run) lostRows(name string) error {
	missing := r.size.workers
	for d := range r.size.domains {
		missing -= r.registered(domainName(d))
	}
	list, err := r.nextHost().client.Jobs("", structs.JobFailed)
	if err != nil {
		return &SetupError{What: "list of jobs", Cause: err}
	}
	note := ""
	if len(list.Jobs) > 0 {
		note = list.Jobs[0].Reason
	}
	r.add(bounded(name+", workers lost or in quarantine wrongly", "1", 0, float64(missing), ""),
		bounded(name+", failed jobs", "1", 0, float64(len(list.Jobs)), note))
	return nil
}
