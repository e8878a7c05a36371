package serving

import (
	"time"

	"cranberrydrum.dev/scheduler/structs"
)

// requestArrived admits or refuses a new request, or offers it to another
// failure domain. An arrival with the ID of a request that is still tracked is a
// duplicate delivery and is ignored.
func (d *Dispatcher) requestArrived(now time.Duration, ev RequestArrived) {
	if d.requests[ev.Request.ID] != nil {
		d.counters.Duplicates++
		return
	}
	d.counters.Requests++
	r := d.newRequest(now, ev)
	d.requests[r.id] = r
	d.wakes.Push(r)
	d.admit(now, r)
	d.rescheduleOrRemove(r)
}

func (d *Dispatcher) newRequest(now time.Duration, ev RequestArrived) *request {
	r := d.takePooledRequest()
	c := indexOf(ev.Request.Class)
	remaining := ev.Request.Remaining
	if remaining == 0 {
		remaining = d.rules[c].DefaultDeadline
	}
	f := d.flowOf(c, ev.Request.Customer)
	f.lastSeen = now
	r.id = ev.Request.ID
	r.class = c
	r.flow = f
	r.nonIdempotent = ev.Request.NonIdempotent
	r.affinity = ev.AttemptAffinity && ev.Request.NonIdempotent
	r.reportsStart = ev.ReportsStart
	r.forwarded = ev.Forwarded
	r.bytes = ev.BodyBytes
	r.arrived = now
	r.deadline = now + remaining
	r.cost = d.meanServiceTime(f).Seconds()
	// An attempt that runs past the bound of its tier is counted in the next
	// tier, so the demand uses the median and leaves that excess out.
	d.tiers.arrivedWork[c][f.tier] += d.expectedServiceTime(f).Seconds()
	r.wake = r.deadline
	r.key = ev.Request.Key
	d.recognise(now, r)
	return r
}

// takePooledRequest returns an empty request, reusing the memory of a finished
// one if the pool has any.
func (d *Dispatcher) takePooledRequest() *request {
	if len(d.requestPool) == 0 {
		return &request{}
	}
	last := len(d.requestPool) - 1
	r := d.requestPool[last]
	d.requestPool = d.requestPool[:last]
	*r = request{attempts: r.attempts[:0], avoid: r.avoid[:0]}
	return r
}

func (d *Dispatcher) flowOf(c classIndex, customer string) *flow {
	q := &d.queues[c]
	f := q.flows[customer]
	if f == nil {
		f = d.newFlow(c, customer)
		f.tier = d.tiers.tierOf(d.expectedServiceTime(f))
		if !d.tiers.valid {
			f.tier = short
		}
		q.flows[customer] = f
	}
	return f
}

func (d *Dispatcher) newFlow(c classIndex, customer string) *flow {
	return &flow{class: c, customer: customer, weight: d.weightOf(customer), waitCorrection: 1}
}

// admit queues a request, unless it cannot meet its deadline or no executor is
// available. In these cases it refuses the request or offers it to another
// failure domain.
func (d *Dispatcher) admit(now time.Duration, r *request) {
	if r.deadline <= now {
		d.refuse(r, structs.CodeDeadlineExpired)
		return
	}
	if d.executorsUp == 0 {
		d.forwardOrRefuse(now, r, structs.CodeNoBackend)
		return
	}
	ahead := r.flow.position(r)
	r.estimatedWait = d.uncorrectedWait(r.flow, ahead)
	wait := r.flow.correct(r.estimatedWait)
	if d.isTooLate(now+wait, r, ahead) {
		d.forwardOrRefuse(now, r, structs.CodeDeadlineUnreachable)
		return
	}
	d.enqueue(r, false)
	d.shed(r)
}

func (d *Dispatcher) enqueue(r *request, front bool) {
	r.phase = phaseQueued
	d.queues[r.class].add(r, front)
	d.queued++
	d.queuedBytes += r.bytes
}

// accountDequeued updates the queue totals after a request has left the queue
// of its flow.
func (d *Dispatcher) accountDequeued(r *request) {
	d.queues[r.class].accountRemoved(r)
	d.queued--
	d.queuedBytes -= r.bytes
}

// removeQueued removes a request from any position in its queue.
func (d *Dispatcher) removeQueued(r *request) {
	r.flow.remove(r)
	d.accountDequeued(r)
}

// shed refuses queued requests until all queues are within their bounds. A
// class over its own bound loses requests of its own. For the bounds on all
// classes together, the least important class loses requests first. Within a
// class, the newest request of the customer furthest above its fair share is
// refused.
func (d *Dispatcher) shed(arrived *request) {
	for d.queues[arrived.class].queued > d.rules[arrived.class].MaxQueue {
		d.shedFrom(arrived.class, arrived)
	}
	for d.queued > d.maxQueued() || d.queuedBytes > d.maxQueuedBytes() {
		c := bulk
		for d.queues[c].queued == 0 {
			c--
		}
		d.shedFrom(c, arrived)
	}
}

func (d *Dispatcher) shedFrom(c classIndex, arrived *request) {
	victim := d.queues[c].mostOverShare().popBack()
	d.accountDequeued(victim)
	code := structs.CodeShed
	if victim == arrived {
		code = structs.CodeQueueFull
	}
	d.refuse(victim, code)
	if victim != arrived {
		d.rescheduleOrRemove(victim)
	}
}

func (d *Dispatcher) maxQueued() int {
	if d.cfg.MaxQueued > 0 {
		return d.cfg.MaxQueued
	}
	sum := 0
	for c := range d.rules {
		sum += d.rules[c].MaxQueue
	}
	return sum
}

func (d *Dispatcher) maxQueuedBytes() int {
	if d.cfg.MaxQueuedBytes > 0 {
		return d.cfg.MaxQueuedBytes
	}
	return defaultMaxQueuedBytes
}

// forwardOrRefuse offers a request that cannot be served here to another
// failure domain. A request that was already forwarded is refused instead, so
// that it is forwarded at most once.
func (d *Dispatcher) forwardOrRefuse(now time.Duration, r *request, code structs.Code) {
	if !d.cfg.Forwarding || r.forwarded {
		d.refuse(r, code)
		return
	}
	r.phase = phaseForwarded
	r.reason = code
	d.pendingForwards++
	d.emit(Forward{RequestID: r.id, BodyBytes: r.bytes, Remaining: r.deadline - now, Reason: code})
}

func (d *Dispatcher) forwardFinished(now time.Duration, ev ForwardFinished) {
	r := d.requests[ev.RequestID]
	if r == nil || r.phase != phaseForwarded {
		d.counters.LateResults++
		return
	}
	d.pendingForwards--
	switch {
	case ev.Result == ResultOK:
		d.markFinished(r)
		d.countAnswer(r)
		d.emit(Answer{RequestID: r.id})
	case ev.Refusal != nil:
		r.mayHaveBeenSent = r.mayHaveBeenSent || !ev.Result.certainlyNotRun()
		d.markFinished(r)
		d.emitRefusal(r, *ev.Refusal)
	case ev.Result.certainlyNotRun():
		r.phase = phaseQueued
		d.refuse(r, r.reason)
	default:
		r.mayHaveBeenSent = true
		d.refuse(r, structs.CodeOutcomeUnknown)
	}
	d.rescheduleOrRemove(r)
}

var refusalMessages = map[structs.Code]string{
	structs.CodeDeadlineExpired:      "the deadline passed",
	structs.CodeDeadlineUnreachable:  "the estimated wait and service time pass the deadline",
	structs.CodeNoBackend:            "no backend server of the service is available",
	structs.CodeShed:                 "dropped from the queue for more important work",
	structs.CodeQueueFull:            "the queue is full",
	structs.CodeRetryBudgetExhausted: "the attempt failed and the retry budget is used up",
	structs.CodeBackendFailed:        "the backend servers failed the request",
	structs.CodeOutcomeUnknown:       "the attempt may have run and is not repeated",
	structs.CodeCancelled:            "the request was cancelled",
}

// refuse ends a request with a refusal. The outcome is not_run only if it is
// certain that no attempt reached an executor.
func (d *Dispatcher) refuse(r *request, code structs.Code) {
	outcome := structs.OutcomeNotRun
	if r.mayHaveRun() {
		outcome = structs.OutcomeUnknown
	}
	if outcome == structs.OutcomeUnknown && r.nonIdempotent {
		code = structs.CodeOutcomeUnknown
	}
	d.markFinished(r)
	d.emitRefusal(r, structs.Refusal{Code: code, Outcome: outcome, Message: refusalMessages[code], RetryAfter: d.returnTime(r, code)})
}

// emitRefusal refuses a finished request. A refusal of another host, or of the log of
// the key, holds for one try and not for the others.
func (d *Dispatcher) emitRefusal(r *request, refusal structs.Refusal) {
	if refusal.Outcome == structs.OutcomeNotRun && r.mayHaveRun() {
		refusal = *structs.RefuseUnknown(structs.CodeOutcomeUnknown, "an earlier try may have run; the last one was refused: "+refusal.Message)
	}
	d.counters.Refusals[refusal.Code]++
	d.emit(Refuse{RequestID: r.id, Refusal: refusal})
}

// markFinished marks a request whose final effect (Answer or Refuse) is emitted.
func (d *Dispatcher) markFinished(r *request) { r.phase = phaseFinished }

// requestCancelled ends a request whose caller no longer waits. A running
// non-idempotent attempt continues, so that its result can be recorded under the
// key of the request.
func (d *Dispatcher) requestCancelled(now time.Duration, ev RequestCancelled) {
	r := d.requests[ev.RequestID]
	if r == nil || r.phase == phaseFinished {
		return
	}
	if r.phase == phaseRunning && r.nonIdempotent {
		return
	}
	switch r.phase {
	case phaseQueued:
		d.removeQueued(r)
	case phaseForwarded:
		d.pendingForwards--
	}
	d.refuse(r, structs.CodeCancelled)
	d.abandonAttempts(now, r)
	d.rescheduleOrRemove(r)
}

// expire ends a request whose deadline has passed.
func (d *Dispatcher) expire(now time.Duration, r *request) {
	switch r.phase {
	case phaseQueued:
		d.updateWaitCorrection(now, r)
		d.removeQueued(r)
	case phaseForwarded:
		d.pendingForwards--
		r.mayHaveBeenSent = true
	}
	d.refuse(r, structs.CodeDeadlineExpired)
	d.abandonAttempts(now, r)
}
