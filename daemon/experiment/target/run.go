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
	turn    atomic.Int64
	resent  atomic.Int64
	mu      sync.Mutex
	table   Table
}

// Run starts the deployment, makes all measurements and stops it.
func Run(o Options) (Table, error) {
	parts, err := o.parts()
	if err != nil {
		return Table{}, err
	}
	s := o.size()
	o.progress("load of the machine: " + machineLoad())
	c, err := newCluster(o.Daemon, s)
	if err != nil {
		return Table{}, err
	}
	defer c.close()
	if err := c.applyFirst(); err != nil {
		return Table{}, err
	}
	r := &run{options: o, size: s, cluster: c, fleet: newFleet(c)}
	defer r.fleet.close()
	err = r.phases(parts)
	return r.table, err
}

// timed runs one phase and reports how long it took.
func (r *run) timed(name string, phase func() error) error {
	start := time.Now()
	stopped := r.fleet.tracker.allStopped()
	err := phase()
	stopped = r.fleet.tracker.allStopped() - stopped
	accelerators, _ := r.fleet.tracker.total()
	r.options.progress(name + ": " + time.Since(start).Round(time.Millisecond).String() + ", load " + machineLoad() + ", accelerators in use " + number(float64(accelerators)))
	if calm[Part(name)] {
		r.add(bounded("tasks stopped during part "+name, "1", 0, float64(stopped), "no job or worker changed"))
	}
	return err
}

// calm are the parts in which nothing may stop a task.
var calm = map[Part]bool{PartIdle: true, PartConfig: true, PartLink: true}

func (r *run) measure(p Part) error {
	switch p {
	case PartIdle:
		return r.idle()
	case PartConfig:
		return r.changes("configuration change")
	case PartLink:
		return r.forwarded()
	case PartUrgent:
		return r.urgent()
	case PartRestarts:
		return r.restarts()
	}
	return r.failover()
}

func (r *run) phases(parts []Part) error {
	if err := r.awaitWorkers(); err != nil {
		return err
	}
	if err := r.timed("fill", r.fill); err != nil {
		return err
	}
	for _, p := range parts {
		if err := r.timed(string(p), func() error { return r.measure(p) }); err != nil {
			return err
		}
	}
	r.add(free("take-overs of failure domains", "1", float64(r.cluster.takeOvers()), "from the logs of the hosts, starts included"))
	r.add(free("submissions and readings sent again", "1", float64(r.resent.Load()), ""),
		free("renewals without an answer", "1", float64(r.fleet.failed.Load()), number(float64(r.fleet.renewals.Load()))+" renewals"))
	return nil
}

// awaitWorkers waits until all workers have received orders.
func (r *run) awaitWorkers() error {
	start := time.Now()
	ok := within(startTimeout, func() bool {
		n := 0
		for d := range r.size.domains {
			n += r.registered(domainName(d))
		}
		return n == r.size.workers
	})
	if !ok {
		return StateError("not all workers were registered in time")
	}
	r.add(free("time until all workers are registered", "s", time.Since(start).Seconds(), ""))
	return nil
}

// reportTimeout bounds the wait for a host that has the report of the owner.
const reportTimeout = 5 * time.Second

// registered returns how many workers of a failure domain its owner knows as
// healthy. A status without the report of the owner, as from a host that has
// just started and knows no leader, says nothing about the workers.
func (r *run) registered(domain string) int {
	n := 0
	within(reportTimeout, func() bool {
		for _, h := range r.cluster.inDomain(domain) {
			status, err := h.client.Status(true)
			if err != nil || !reports(status, domain) {
				continue
			}
			n = healthy(status, domain)
			return true
		}
		return false
	})
	return n
}

// reports tells whether a status holds the report of the owner of a domain.
func reports(status api.StatusResponse, domain string) bool {
	return slices.ContainsFunc(status.Fragmentation, func(f api.Fragmentation) bool { return f.FailureDomain == domain })
}

// healthy counts the workers that are neither lost nor quarantined.
func healthy(status api.StatusResponse, domain string) int {
	n := 0
	for _, w := range status.Workers {
		if w.Domain == domain && !w.Quarantined && w.Reason == "" {
			n++
		}
	}
	return n
}
