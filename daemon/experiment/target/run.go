package target

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"cranberrydrum.dev/daemon/api"
)

// run is the state of one run.
type run struct {
	options Options
	size    size
	cluster *cluster
	fleet   *fleet
	// hostCounter selects the next host in round-robin order.
	hostCounter atomic.Int64
	retries     atomic.Int64
	// mu guards the table.
	mu    sync.Mutex
	table Table
}

// Run starts the deployment, makes all measurements and stops it.
func Run(o Options) (Table, error) {
	parts, err := o.parts()
	if err != nil {
		return Table{}, err
	}
	s := o.size()
	o.progress("machine load averages: " + machineLoad())
	c, err := newCluster(o.Daemon, o.LogDir, s)
	if err != nil {
		return Table{}, err
	}
	defer c.close()
	if err := c.applyInitialRules(); err != nil {
		return Table{}, err
	}
	r := &run{options: o, size: s, cluster: c, fleet: newFleet(c)}
	defer r.fleet.close()
	err = r.runPhases(parts)
	return r.table, err
}

// runPhase runs one phase and reports its duration. In a steady part, it also adds
// the number of tasks stopped.
func (r *run) runPhase(name string, phase func() error) error {
	start := time.Now()
	stopped := r.fleet.tracker.totalStopped()
	err := phase()
	stopped = r.fleet.tracker.totalStopped() - stopped
	accelerators, _ := r.fleet.tracker.total()
	r.options.progress(name + ": " + time.Since(start).Round(time.Millisecond).String() + ", load " + machineLoad() + ", accelerators in use " + number(float64(accelerators)))
	if steadyParts[Part(name)] {
		r.add(bounded("tasks stopped during part "+name, "1", 0, float64(stopped), "no job or worker changed"))
	}
	return err
}

// steadyParts are the parts in which no task may be stopped, because no job or
// worker changes.
var steadyParts = map[Part]bool{PartIdle: true, PartConfig: true, PartLink: true}

// measure runs one part.
func (r *run) measure(p Part) error {
	switch p {
	case PartIdle:
		return r.idle()
	case PartConfig:
		return r.measureChanges("configuration change")
	case PartLink:
		return r.forwarded()
	case PartUrgent:
		return r.urgent()
	case PartRestarts:
		return r.restarts()
	}
	return r.failover()
}

// runPhases fills the failure domains and runs the parts.
func (r *run) runPhases(parts []Part) error {
	if err := r.awaitWorkers(); err != nil {
		return err
	}
	if err := r.runPhase("fill", r.fill); err != nil {
		return err
	}
	for _, p := range parts {
		if err := r.runPhase(string(p), func() error { return r.measure(p) }); err != nil {
			return err
		}
	}
	r.add(unbounded("take-overs of failure domains", "1", float64(r.cluster.takeovers()), "from the logs of the hosts, starts included"))
	r.add(unbounded("submissions and readings sent again", "1", float64(r.retries.Load()), ""),
		unbounded("renewals without an answer", "1", float64(r.fleet.failedRenewals.Load()), number(float64(r.fleet.renewals.Load()))+" renewals"))
	return nil
}

// awaitWorkers waits until the owners report all workers as healthy.
func (r *run) awaitWorkers() error {
	start := time.Now()
	ok := pollUntil(startTimeout, func() bool {
		n := 0
		for d := range r.size.domains {
			n += r.healthyWorkers(domainName(d))
		}
		return n == r.size.workers
	})
	if !ok {
		return StateError("not all workers registered within the start timeout")
	}
	r.add(unbounded("time until all workers are registered", "s", time.Since(start).Seconds(), ""))
	return nil
}

// ownerReportTimeout bounds the wait for a status that contains the report of the
// owner.
const ownerReportTimeout = 5 * time.Second

// healthyWorkers returns the number of workers of a failure domain that its owner
// reports as healthy. It ignores a status without the report of the owner, for
// example from a host that has just started and knows no leader, because the
// workers are missing from it.
func (r *run) healthyWorkers(domain string) int {
	n := 0
	pollUntil(ownerReportTimeout, func() bool {
		for _, h := range r.cluster.inDomain(domain) {
			status, err := h.client.Status(true)
			if err != nil || !hasOwnerReport(status, domain) {
				continue
			}
			n = countHealthy(status, domain)
			return true
		}
		return false
	})
	return n
}

// hasOwnerReport reports whether a status contains the report of the owner of a
// failure domain.
func hasOwnerReport(status api.StatusResponse, domain string) bool {
	return slices.ContainsFunc(status.Fragmentation, func(f api.Fragmentation) bool { return f.FailureDomain == domain })
}

// countHealthy counts the workers of a failure domain that are neither lost nor
// quarantined.
func countHealthy(status api.StatusResponse, domain string) int {
	n := 0
	for _, w := range status.Workers {
		if w.Domain == domain && !w.Quarantined && w.Reason == "" {
			n++
		}
	}
	return n
}
