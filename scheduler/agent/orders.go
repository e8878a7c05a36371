package agent

import (
	"time"

	"cranberrydrum.dev/scheduler/structs"
)

// ordersReceived checks that orders are valid and carries them out.
func (a *Agent) ordersReceived(now time.Duration, e OrdersReceived) []Effect {
	sent, ok := a.answer(e.Seq)
	if !ok || e.Orders.Term < a.term {
		return nil
	}
	if e.Orders.Lease > 0 && now >= sent+e.Orders.Lease {
		return nil
	}
	a.term = e.Orders.Term
	a.answered = e.Seq
	if e.Orders.Lease > 0 {
		a.lease = e.Orders.Lease
		a.leaseEnd = max(a.leaseEnd, sent+e.Orders.Lease)
	}
	return a.obey(now, e.Orders)
}

// answer returns when the renewal was sent, unless a later one was answered
// already or the renewal is unknown. It drops the renewal and older ones.
func (a *Agent) answer(seq uint64) (time.Duration, bool) {
	if seq <= a.answered {
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

// obey carries out orders. Without a lease only stops are carried out.
func (a *Agent) obey(now time.Duration, orders structs.WorkerOrders) []Effect {
	listed := make(map[taskKey]bool, len(orders.Tasks))
	var effects []Effect
	for _, o := range orders.Tasks {
		listed[taskKey{o.Job, o.Run}] = true
	}
	for _, t := range a.sorted() {
		if !listed[t.key] {
			effects = append(effects, a.omit(now, t, orders.Lease > 0)...)
		}
	}
	leased := now < a.leaseEnd
	for _, o := range orders.Tasks {
		effects = append(effects, a.order(o, leased)...)
	}
	return effects
}

// omit stops a task that the orders do not list. An ended run is kept for one
// more lease: an answer that lists it may be on its way, but no answer to a
// renewal sent from now on can list it. Orders without a lease do not tell
// whether the owner knows the result, so it is reported again.
func (a *Agent) omit(now time.Duration, t *task, leased bool) []Effect {
	if t.phase == phaseEnded && !t.omitted && leased {
		t.omitted = true
		t.forgetAt = now + a.lease
	}
	return t.stop(false)
}

// order carries out one order.
func (a *Agent) order(o structs.TaskOrder, leased bool) []Effect {
	t := a.tasks[taskKey{o.Job, o.Run}]
	if t == nil {
		return a.unknown(o, leased)
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

// unknown handles an order for a run that this process does not hold. Anything
// but a preparation finds the run over here, and it is reported as stopped.
func (a *Agent) unknown(o structs.TaskOrder, leased bool) []Effect {
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
