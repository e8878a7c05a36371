package jobs

import (
	"container/list"
	"maps"
	"slices"
	"time"

	"cranberrydrum.dev/scheduler/structs"
)

// maxTickGap is the longest gap between ticks that does not count as a pause of
// the process. Renewals may have been lost during a pause.
const maxTickGap = time.Second

// workerLease is the lease of a registered worker.
type workerLease struct {
	worker  string
	epoch   uint64
	expires time.Duration
	element *list.Element
	// declaredLost means that WorkerLost has been proposed for the worker. From
	// then on its lease is not extended; the worker needs a new registration.
	declaredLost bool
	lostProposal pendingProposal
}

// grantLease starts or extends the lease of a worker.
func (c *Controller) grantLease(now time.Duration, id string, epoch uint64) {
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

// dropLease removes the lease of a worker that is lost or removed.
func (c *Controller) dropLease(id string) {
	if l := c.leases[id]; l != nil {
		c.expiry.Remove(l.element)
		delete(c.leases, id)
	}
}

// detectPause extends all leases after a pause of this process.
func (c *Controller) detectPause(now time.Duration) {
	if now-c.lastTick > maxTickGap {
		c.ExtendLeases(now)
	}
	c.lastTick = now
}

// ExtendLeases extends all leases by the time since the last Tick, in which renewals
// were refused or lost. A new grant would keep the lease of a silent worker for ever
// if such times come again and again. Nothing else needs to be restored, because the
// leader is still in the same term.
func (c *Controller) ExtendLeases(now time.Duration) {
	missed := now - c.lastTick
	c.lastTick = now
	newest := now + c.cfg.Lease + c.cfg.Margin
	for e := c.expiry.Front(); e != nil; e = e.Next() {
		if l := e.Value.(*workerLease); !l.declaredLost {
			l.expires = min(l.expires+missed, newest)
		}
	}
}

// expireLeases proposes to declare workers lost whose lease and margin have
// expired.
func (c *Controller) expireLeases(now time.Duration, out []Command) []Command {
	for e := c.expiry.Front(); e != nil; e = e.Next() {
		l := e.Value.(*workerLease)
		if now < l.expires {
			break
		}
		l.declaredLost = true
		if l.lostProposal.tryBegin(now, c.cfg.Retry) {
			out = append(out, c.command(now, &WorkerLost{Worker: l.worker, Epoch: l.epoch}))
		}
	}
	return out
}

// Renew handles a worker's lease renewal and returns its orders. holdsLease
// tells whether this host holds the leader lease now. Without it the renewal is
// refused, because another leader may have been elected.
func (c *Controller) Renew(now time.Duration, r structs.WorkerReport, holdsLease bool) (structs.WorkerOrders, *structs.Refusal) {
	return c.respond(now, r, holdsLease, func(w *worker) {
		c.grantLease(now, w.ID, w.epoch)
		c.mergeReports(now, w, r)
	})
}

// Orders returns the orders for a renewal that Renew has handled before. It does not
// extend the lease, because the worker may have failed since.
func (c *Controller) Orders(now time.Duration, r structs.WorkerReport, holdsLease bool) (structs.WorkerOrders, *structs.Refusal) {
	return c.respond(now, r, holdsLease, func(*worker) {})
}

// respond returns the orders of a worker. It calls renew first if the worker has a
// lease.
func (c *Controller) respond(now time.Duration, r structs.WorkerReport, holdsLease bool, renew func(*worker)) (structs.WorkerOrders, *structs.Refusal) {
	c.Sync(now)
	if !holdsLease || !c.isLeading() {
		return structs.WorkerOrders{}, structs.RefuseNotRun(structs.CodeNotLeader, "this host does not lead the failure domain")
	}
	if refusal := c.state.checkWorker(r.Worker); refusal != nil {
		return structs.WorkerOrders{}, refusal
	}
	w := c.state.workers[r.Worker.ID]
	if w != nil && r.Incarnation < w.incarnation {
		return structs.WorkerOrders{}, structs.RefuseNotRun(structs.CodeInvalid, "a later incarnation of the worker is registered")
	}
	orders := structs.WorkerOrders{Term: c.term}
	current := w != nil && r.Incarnation == w.incarnation && !w.lost
	if !current || !sameHardware(w.Worker, r.Worker) {
		c.requestRegistration(now, r)
	}
	if !current {
		return orders, nil
	}
	if l := c.leases[w.ID]; l == nil || l.declaredLost {
		return orders, nil
	}
	renew(w)
	orders.Lease = c.cfg.Lease
	orders.Tasks = c.ordersFor(w, r)
	return orders, nil
}

// requestRegistration records that RegisterWorker must be proposed for a worker.
func (c *Controller) requestRegistration(now time.Duration, r structs.WorkerReport) {
	p := c.registrations[r.Worker.ID]
	if p == nil {
		p = &registration{}
		c.registrations[r.Worker.ID] = p
	}
	body := RegisterWorker{Worker: r.Worker, Incarnation: r.Incarnation}
	if body != p.body {
		p.body, p.proposal = body, pendingProposal{}
	}
	p.lastRenewal = now
}

// proposeRegistrations proposes the registrations that the state does not have
// yet. Workers that stopped renewing are dropped after one lease length.
func (c *Controller) proposeRegistrations(now time.Duration, out []Command) []Command {
	for _, id := range slices.Sorted(maps.Keys(c.registrations)) {
		p := c.registrations[id]
		w := c.state.workers[id]
		if w != nil && !w.lost && w.incarnation >= p.body.Incarnation && sameHardware(w.Worker, p.body.Worker) {
			delete(c.registrations, id)
			continue
		}
		if now-p.lastRenewal >= c.cfg.Lease {
			delete(c.registrations, id)
			continue
		}
		if p.proposal.tryBegin(now, c.cfg.Retry) {
			body := p.body
			out = append(out, c.command(now, &body))
		}
	}
	return out
}

// proposeDepartures proposes the removal of the workers that are leaving.
func (c *Controller) proposeDepartures(now time.Duration, out []Command) []Command {
	for _, id := range slices.Sorted(maps.Keys(c.departures)) {
		p := c.departures[id]
		if w := c.state.workers[id]; w == nil || w.leaving {
			delete(c.departures, id)
			continue
		}
		if p.proposal.tryBegin(now, c.cfg.Retry) {
			body := p.body
			out = append(out, c.command(now, &body))
		}
	}
	return out
}
