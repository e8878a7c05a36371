package serving

import (
	"time"

	"cranberrydrum.dev/scheduler/structs"
)

// arrived admits, refuses or offers to forward a new request. An identifier
// that is still known is a duplicate delivery and is ignored.
func (d *Dispatcher) arrived(now time.Duration, ev RequestArrived) {
	if d.requests[ev.Request.ID] != nil {
		d.counters.Duplicates++
		return
	}
	d.counters.Requests++
	r := d.newRequest(now, ev)
	d.requests[r.id] = r
	d.wakes.Push(r)
	d.admit(now, r)
	d.settle(r)
}

func (d *Dispatcher) newRequest(now time.Duration, ev RequestArrived) *request {
	r := d.takeSpare()
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
	r.forwarded = ev.Forwarded
	r.bytes = ev.BodyBytes
	r.arrived = now
	r.deadline = now + remaining
	r.cost = d.meanTime(f).Seconds()
	// The rest of a straggler counts as longer work, so the demand leaves it out.
	d.sizes.arrived[c][f.tier] += d.expected(f).Seconds()
	r.wake = r.deadline
	return r
}

// takeSpare returns an empty request, reusing the memory of a finished one.
func (d *Dispatcher) takeSpare() *request {
	if len(d.spare) == 0 {
		return &request{}
	}
	last := len(d.spare) - 1
	r := d.spare[last]
	d.spare = d.spare[:last]
	*r = request{attempts: r.attempts[:0], avoid: r.avoid[:0]}
	return r
}

func (d *Dispatcher) flowOf(c classIndex, customer string) *flow {
	q := &d.queues[c]
	f := q.flows[customer]
	if f == nil {
		f = d.newFlow(c, customer)
		f.tier = d.sizes.tierOf(d.expected(f))
		if !d.sizes.valid {
			f.tier = short
		}
		q.flows[customer] = f
	}
	return f
}

func (d *Dispatcher) newFlow(c classIndex, customer string) *flow {
	return &flow{class: c, customer: customer, weight: d.weightOf(customer), correction: 1}
}

func (d *Dispatcher) admit(now time.Duration, r *request) {
	if r.deadline <= now {
		d.refuse(r, structs.CodeExpired, 0)
		return
	}
	if d.up == 0 {
		d.forwardOrRefuse(now, r, structs.CodeNoBackend, time.Second)
		return
	}
	r.predicted = d.plainWait(r.flow)
	wait := d.waitFor(r.flow)
	if d.measured(r.flow) && now+wait+d.needed(r) > r.deadline {
		d.forwardOrRefuse(now, r, structs.CodeDeadline, wait)
		return
	}
	d.enqueue(r, false)
	d.shed(r)
}

func (d *Dispatcher) enqueue(r *request, front bool) {
	r.phase = phaseQueued
	d.queues[r.class].add(r, front)
	d.queued++
	d.bytes += r.bytes
}

// dequeued updates the sums after a request has left its flow's queue.
func (d *Dispatcher) dequeued(r *request) {
	d.queues[r.class].removed(r)
	d.queued--
	d.bytes -= r.bytes
}

// unqueue takes a request out of the middle of its queue.
func (d *Dispatcher) unqueue(r *request) {
	r.flow.remove(r)
	d.dequeued(r)
}

// shed refuses queued requests until all queues are within their bounds. A
// class over its own bound gives up its own requests; the bounds for all
// classes are met from the least important class first. Within a class the
// customer furthest above its fair share gives up its newest request.
func (d *Dispatcher) shed(arrived *request) {
	for d.queues[arrived.class].queued > d.rules[arrived.class].MaxQueue {
		d.shedFrom(arrived.class, arrived)
	}
	for d.queued > d.maxQueued() || d.bytes > d.maxQueuedBytes() {
		c := bulk
		for d.queues[c].queued == 0 {
			c--
		}
		d.shedFrom(c, arrived)
	}
}

func (d *Dispatcher) shedFrom(c classIndex, arrived *request) {
	victim := d.queues[c].worst().popBack()
	d.dequeued(victim)
	code := structs.CodeShed
	if victim == arrived {
		code = structs.CodeQueueFull
	}
	d.refuse(victim, code, d.waitFor(victim.flow))
	if victim != arrived {
		d.settle(victim)
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
// failure domain, once.
func (d *Dispatcher) forwardOrRefuse(now time.Duration, r *request, code structs.Code, retryAfter time.Duration) {
	if !d.cfg.Forwarding || r.forwarded {
		d.refuse(r, code, retryAfter)
		return
	}
	r.phase = phaseForwarded
	r.reason = code
	d.forwards++
	d.emit(Forward{RequestID: r.id, BodyBytes: r.bytes, Remaining: r.deadline - now, Reason: code})
}

func (d *Dispatcher) forwardFinished(now time.Duration, ev ForwardFinished) {
	r := d.requests[ev.RequestID]
	if r == nil || r.phase != phaseForwarded {
		d.counters.LateResults++
		return
	}
	d.forwards--
	switch {
	case ev.Result == ResultOK:
		d.finish(r)
		d.counters.Answers++
		d.emit(Answer{RequestID: r.id})
	case ev.Refusal != nil:
		d.finish(r)
		d.emitRefusal(r, *ev.Refusal)
	case ev.Result.certainlyNotRun():
		r.phase = phaseQueued
		d.refuse(r, r.reason, 0)
	default:
		r.maySent = true
		d.refuse(r, structs.CodeOutcomeUnknown, 0)
	}
	d.settle(r)
}

var messages = map[structs.Code]string{
	structs.CodeExpired:        "the deadline passed",
	structs.CodeDeadline:       "the estimated wait and service time pass the deadline",
	structs.CodeNoBackend:      "no backend server of the service is available",
	structs.CodeShed:           "dropped from the queue for more important work",
	structs.CodeQueueFull:      "the queue is full",
	structs.CodeRetryBudget:    "the attempt failed and the retry budget is used up",
	structs.CodeBackendFailed:  "the backend servers failed the request",
	structs.CodeOutcomeUnknown: "the attempt may have run and is not repeated",
	structs.CodeCancelled:      "the request was cancelled",
}

// refuse gives a request its final refusal. The outcome is not_run only if no
// attempt may have reached an executor.
func (d *Dispatcher) refuse(r *request, code structs.Code, retryAfter time.Duration) {
	outcome := structs.OutcomeNotRun
	if r.mayHaveRun() {
		outcome = structs.OutcomeUnknown
	}
	if outcome == structs.OutcomeUnknown && r.nonIdempotent {
		code = structs.CodeOutcomeUnknown
	}
	d.finish(r)
	d.emitRefusal(r, structs.Refusal{Code: code, Outcome: outcome, Message: messages[code], RetryAfter: retryAfter})
}

func (d *Dispatcher) emitRefusal(r *request, refusal structs.Refusal) {
	d.counters.Refusals[refusal.Code]++
	d.emit(Refuse{RequestID: r.id, Refusal: refusal})
}

// finish marks a request as having had its final effect.
func (d *Dispatcher) finish(r *request) { r.phase = phaseFinished }

// cancelled ends a request whose caller is gone. A non-idempotent attempt goes
// on, so that its result can be recorded under the request's key.
func (d *Dispatcher) cancelled(now time.Duration, ev RequestCancelled) {
	r := d.requests[ev.RequestID]
	if r == nil || r.phase == phaseFinished {
		return
	}
	if r.phase == phaseRunning && r.nonIdempotent {
		return
	}
	switch r.phase {
	case phaseQueued:
		d.unqueue(r)
	case phaseForwarded:
		d.forwards--
	}
	d.refuse(r, structs.CodeCancelled, 0)
	d.abandon(now, r)
	d.settle(r)
}

// expire ends a request whose deadline has passed.
func (d *Dispatcher) expire(now time.Duration, r *request) {
	switch r.phase {
	case phaseQueued:
		d.learnWait(now, r)
		d.unqueue(r)
	case phaseForwarded:
		d.forwards--
		r.maySent = true
	}
	d.refuse(r, structs.CodeExpired, 0)
	d.abandon(now, r)
}
