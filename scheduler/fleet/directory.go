package fleet

import (
	"time"

	"cranberrydrum.dev/scheduler/workload"
)

// recall takes over the executors that earlier leaders knew. They are asked what
// they run at once, and get new runs as soon as they have answered.
func (c *Controller) recall(now time.Duration) {
	c.state.Executors(func(entry *workload.Executor) {
		if other := c.at[entry.Address]; other != nil {
			// The later life at an address is the present one.
			if other.key.Born > entry.Key.Born {
				c.dismissed = append(c.dismissed, entry.Key)
				return
			}
			c.bury(now, other, "address_reused")
		}
		e := c.newExecutor(entry.Key)
		e.restore(now, entry, &c.cfg)
		c.executors[entry.Key.ID] = e
		c.at[entry.Address] = e
	})
}

// restore fills in what the directory says of an executor.
func (e *executor) restore(now time.Duration, entry *workload.Executor, cfg *Settings) {
	e.describe(entry.Service, entry.Address, entry.Labels, entry.Capacity)
	e.draining = entry.Draining
	e.heard = now
	// How long it stays is in its next report; until then its runs are left alone.
	e.leaves = now + cfg.ReportInterval + cfg.StopTime + evacuationTime
}

// entry is what the directory should say of an executor.
func (e *executor) entry() *workload.Executor {
	return &workload.Executor{
		Key: e.key, Service: e.service, Address: e.address, Labels: e.labels, Capacity: e.capacity, Draining: e.draining,
	}
}

// enrollment returns the entry of an executor if the directory says otherwise.
func (c *Controller) enrollment(e *executor) *workload.Executor {
	entry := e.entry()
	if known := c.state.Executor(e.key.ID); known != nil && known.Same(entry) {
		return nil
	}
	return entry
}

// dismiss removes lives that are over from the directory.
func (c *Controller) dismiss(unix time.Duration) {
	if len(c.dismissed) == 0 {
		return
	}
	c.out.Commands = append(c.out.Commands, &workload.Command{At: unix, Dismiss: c.dismissed})
	c.dismissed = nil
}
