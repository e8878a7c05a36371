package agent

import (
	"time"

	"cranberrydrum.dev/scheduler/structs"
)

// ordersReceived applies orders that answer an outstanding renewal, are not of a
// lower term and, if they grant a lease, arrive before it expires.
func (a *Agent) ordersReceived(now time.Duration, e OrdersReceived) []Effect {
	sent, ok := a.takeOutstanding(e.Seq)
	if !ok || e.Orders.Term < a.term {
		return nil
	}
	if e.Orders.Lease > 0 && now >= sent+e.Orders.Lease {
		return nil
	}
	a.term = e.Orders.Term
	a.lastUsedSeq = e.Seq
	if e.Orders.Lease > 0 {
		a.lease = e.Orders.Lease
		a.leaseEnd = max(a.leaseEnd, sent+e.Orders.Lease)
	}
	return a.applyOrders(now, e.Orders)
}

// takeOutstanding removes a renewal and all older ones and returns when it was
// sent. It returns false if the orders of a later renewal were used already or
// the renewal is unknown.
func (a *Agent) takeOutstanding(seq uint64) (time.Duration, bool) {
	if seq <= a.lastUsedSeq {
		return 0, false
	}
	for i, r := range a.outstanding {
		if r.seq == seq {
			a.outstanding = a.outstanding[i+1:]
			return r.sent, true
		}
	}
	return 0, false
}

// applyOrders carries out orders. It prepares and starts tasks only with a valid lease
// and on orders that grant one: others may arrive at any time after their renewal.
func (a *Agent) applyOrders(now time.Duration, orders structs.WorkerOrders) []Effect {
	listed := make(map[taskKey]bool, len(orders.Tasks))
	var effects []Effect
	for _, o := range orders.Tasks {
		listed[taskKey{o.Job, o.Run}] = true
	}
	for _, t := range a.sortedTasks() {
		if !listed[t.key] {
			effects = append(effects, a.handleUnlisted(now, t, orders.Lease > 0)...)
		}
	}
	leased := orders.Lease > 0 && now < a.leaseEnd
	for _, o := range orders.Tasks {
		effects = append(effects, a.applyOrder(o, leased)...)
	}
	return effects
}

// handleUnlisted stops a task that the orders do not list. An ended run is kept
// for one more lease, because a response that lists it may still be in transit;
// no response to a renewal sent from now on can list it. Orders without a lease do
// not show whether the owner has received the result, so it is reported again.
func (a *Agent) handleUnlisted(now time.Duration, t *task, leased bool) []Effect {
	if t.phase == phaseEnded && !t.omitted && leased {
		t.omitted = true
		t.removeAt = now + a.lease
	}
	return t.stop(false)
}

// applyOrder carries out the order for one task.
func (a *Agent) applyOrder(o structs.TaskOrder, leased bool) []Effect {
	t := a.tasks[taskKey{o.Job, o.Run}]
	if t == nil {
		return a.handleUnknownRun(o, leased)
	}
	if t.phase == phaseEnded {
		t.omitted = false
		return nil
	}
	switch o.Action {
	case structs.ActionStop:
		return t.stop(false)
	case structs.ActionStart:
		if leased {
			return t.start()
		}
	case structs.ActionCheckpoint:
		return t.checkpoint()
	case structs.ActionThrottle:
		return t.throttle(true)
	}
	return nil
}

// handleUnknownRun handles an order for a run that this process does not know. A
// prepare order creates the task; for any other order the run has already ended
// on this worker and is reported as stopped.
func (a *Agent) handleUnknownRun(o structs.TaskOrder, leased bool) []Effect {
	if o.Action == structs.ActionPrepare && (!leased || len(o.Accelerators) == 0) {
		return nil
	}
	key := taskKey{o.Job, o.Run}
	t := &task{key: key, accelerators: o.Accelerators, command: o.Command}
	if o.Limits != nil {
		t.limits = *o.Limits
	}
	a.tasks[key] = t
	if o.Action != structs.ActionPrepare {
		t.end(structs.TaskStopped, "")
	}
	return nil
}
