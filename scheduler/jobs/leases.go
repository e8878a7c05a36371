package jobs

import (
	"container/list"
	"maps"
	"slices"
	"time"

	"cranberrydrum.dev/scheduler/structs"
)

// maxTickGap is the longest gap between ticks that is not taken for a pause of
// the process. Renewals may have been lost during a pause.
const maxTickGap = time.Second

// workerLease is the lease of a registered worker.
type workerLease struct {
	worker  string
	epoch   uint64
	expires time.Duration
	element *list.Element
	// declared is set once the worker is to be declared lost. From then on it
	// gets no lease until the state has taken note of it.
	declared bool
	lostAt   attempt
}

// grant starts or extends the lease of a worker.
func (c *Controller) grant(now time.Duration, id string, epoch uint64) {
	l := c.leases[id]
	if l == nil || l.epoch != epoch {
		c.dropLease(id)
		l = &workerLease{worker: id, epoch: epoch}
		l.element = c.expiry.PushBack(l)
		c.leases[id] = l
	}
	l.expires = now + c.cfg.Lease + c.cfg.Margin
	c.expiry.MoveToBack(l.element)
}

// dropLease forgets the lease of a worker that is lost or gone.
func (c *Controller) dropLease(id string) {
	if l := c.leases[id]; l != nil {
		c.expiry.Remove(l.element)
		delete(c.leases, id)
	}
}

// noticePause grants all leases again after a pause of this process.
func (c *Controller) noticePause(now time.Duration) {
	paused := now-c.lastTick > maxTickGap
	c.lastTick = now
	if paused {
		c.grantAll(now)
	}
}

// Resume goes on after a time in which renewals were refused. The leader is in
// the same term, so that only its leases need care.
func (c *Controller) Resume(now time.Duration) { c.grantAll(now) }

func (c *Controller) grantAll(now time.Duration) {
	for _, id := range slices.Sorted(maps.Keys(c.leases)) {
		if l := c.leases[id]; !l.declared {
			c.grant(now, id, l.epoch)
		}
	}
}

// expireLeases declares workers lost whose lease is over.
func (c *Controller) expireLeases(now time.Duration, out []Command) []Command {
	for e := c.expiry.Front(); e != nil; e = e.Next() {
		l := e.Value.(*workerLease)
		if now < l.expires {
			break
		}
		l.declared = true
		if l.lostAt.due(now, c.cfg.Retry) {
			out = append(out, c.command(now, &WorkerLost{Worker: l.worker, Epoch: l.epoch}))
		}
	}
	return out
}

// Renew handles the renewal of a worker. holdsLease says whether this host
// holds the leader lease now; without it no orders are given, because another
// leader may have been elected.
func (c *Controller) Renew(now time.Duration, r structs.WorkerReport, holdsLease bool) (structs.WorkerOrders, *structs.Refusal) {
	c.Applied(now)
	if !holdsLease || !c.leading() {
		return structs.WorkerOrders{}, structs.NotRun(structs.CodeNotLeader, "this host does not lead the failure domain")
	}
	if refusal := c.state.checkWorker(r.Worker); refusal != nil {
		return structs.WorkerOrders{}, refusal
	}
	w := c.state.workers[r.Worker.ID]
	if w != nil && r.Incarnation < w.incarnation {
		return structs.WorkerOrders{}, structs.NotRun(structs.CodeInvalid, "a later incarnation of the worker is registered")
	}
	orders := structs.WorkerOrders{Term: c.term}
	current := w != nil && r.Incarnation == w.incarnation && !w.lost
	if !current || !sameHardware(w.Worker, r.Worker) {
		c.wantRegistration(now, r)
	}
	if !current {
		return orders, nil
	}
	if l := c.leases[w.ID]; l == nil || l.declared {
		return orders, nil
	}
	c.grant(now, w.ID, w.epoch)
	c.merge(now, w, r)
	orders.Lease = c.cfg.Lease
	orders.Tasks = c.ordersFor(w, r)
	return orders, nil
}

// wantRegistration notes that the state must learn about a worker.
func (c *Controller) wantRegistration(now time.Duration, r structs.WorkerReport) {
	p := c.registers[r.Worker.ID]
	if p == nil {
		p = &registration{}
		c.registers[r.Worker.ID] = p
	}
	body := RegisterWorker{Worker: r.Worker, Incarnation: r.Incarnation}
	if body != p.body {
		p.body, p.at = body, attempt{}
	}
	p.wanted = now
}

// proposeRegistrations proposes the workers that the state does not know.
func (c *Controller) proposeRegistrations(now time.Duration, out []Command) []Command {
	for _, id := range slices.Sorted(maps.Keys(c.registers)) {
		p := c.registers[id]
		w := c.state.workers[id]
		if w != nil && !w.lost && w.incarnation >= p.body.Incarnation && sameHardware(w.Worker, p.body.Worker) {
			delete(c.registers, id)
			continue
		}
		if now-p.wanted >= c.cfg.Lease {
			delete(c.registers, id)
			continue
		}
		if p.at.due(now, c.cfg.Retry) {
			body := p.body
			out = append(out, c.command(now, &body))
		}
	}
	return out
}

// proposeDepartures proposes the workers that leave.
func (c *Controller) proposeDepartures(now time.Duration, out []Command) []Command {
	for _, id := range slices.Sorted(maps.Keys(c.leaving)) {
		p := c.leaving[id]
		if w := c.state.workers[id]; w == nil || w.leaving {
			delete(c.leaving, id)
			continue
		}
		if p.at.due(now, c.cfg.Retry) {
			body := p.body
			out = append(out, c.command(now, &body))
		}
	}
	return out
}
