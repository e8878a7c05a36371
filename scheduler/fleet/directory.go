package fleet

import (
	"time"

	"cranberrydrum.dev/scheduler/workload"
)

// loadDirectory adds the executors known to earlier leaders. They are polled at
// once, and receive new runs as soon as they have answered. An entry that an earlier
// version stored and that cannot be used is removed.
func (c *Controller) loadDirectory(now time.Duration) {
	c.state.Executors(func(entry *workload.Executor) {
		if err := entry.Validate(); err != nil {
			c.log.Info("entry of the directory not used", "executor", entry.Key.ID, "born", entry.Key.Incarnation, "address", entry.Address, "error", err.Error())
			c.departed = append(c.departed, entry.Key)
			return
		}
		if other := c.byAddress[entry.Address]; other != nil {
			// Of two incarnations at one address, the later one is current.
			if other.key.Incarnation > entry.Key.Incarnation {
				c.departed = append(c.departed, entry.Key)
				return
			}
			c.removeExecutor(now, other, "address_reused")
		}
		e := c.newExecutor(entry.Key)
		e.applyEntry(now, entry, &c.cfg)
		c.executors[entry.Key.ID], c.ordered = e, nil
		c.byAddress[entry.Address] = e
	})
}

// applyEntry copies the directory entry of an executor.
func (e *executor) applyEntry(now time.Duration, entry *workload.Executor, cfg *Settings) {
	e.setDescription(entry.Service, entry.Address, entry.Domain, entry.Labels, entry.Capacity)
	e.draining, e.domainUnclear = entry.Draining, entry.DomainUnclear
	e.lastHeard = now
	// The next report says how long the executor stays. Until then its runs are
	// not moved.
	e.leavesAt = now + cfg.ReportInterval + cfg.StopTime + stopOverhead
}

// entry returns the directory entry that matches the state of an executor.
func (e *executor) entry() *workload.Executor {
	return &workload.Executor{
		Key: e.key, Service: e.service, Address: e.address, Domain: e.domain, DomainUnclear: e.domainUnclear, Labels: e.labels, Capacity: e.capacity, Draining: e.draining,
	}
}

// directoryUpdate returns the entry of an executor if it differs from the one
// in the directory, otherwise nil.
func (c *Controller) directoryUpdate(e *executor) *workload.Executor {
	entry := e.entry()
	known := c.state.Executor(e.key.ID)
	if known != nil && known.Equal(entry) {
		return nil
	}
	if known != nil && known.Key.Incarnation > e.key.Incarnation {
		// A later incarnation was reported, but this one still answers.
		c.departed = append(c.departed, known.Key)
	}
	return entry
}

// deregisterDeparted removes departed incarnations from the directory.
func (c *Controller) deregisterDeparted(unix time.Duration) {
	if len(c.departed) == 0 {
		return
	}
	c.out.Commands = append(c.out.Commands, &workload.Command{At: unix, Deregister: c.departed})
	c.departed = nil
}
