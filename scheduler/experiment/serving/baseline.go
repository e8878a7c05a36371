package serving

import (
	"time"

	"cranberrydrum.dev/scheduler/serving"
	"cranberrydrum.dev/scheduler/structs"
)

// baseline is a simple dispatcher: a FIFO queue, round-robin choice of executors,
// and up to three attempts per request without retry budget or back-off. With
// slots 0 it ignores slots and sends each request at once.
type baseline struct {
	slots     int
	executors []string
	running   map[string]int
	next      int
	queue     []*baselineRequest
	requests  map[string]*baselineRequest
	effects   []serving.Effect
}

type baselineRequest struct {
	id            string
	nonIdempotent bool
	deadline      time.Duration
	attempts      int
	executor      string
	sent          bool
	possiblySent  bool
	ended         bool
}

func newBaseline(slots int) *baseline {
	return &baseline{slots: slots, running: map[string]int{}, requests: map[string]*baselineRequest{}}
}

// NextWake implements dispatcher. The baseline has no timers.
func (b *baseline) NextWake() (time.Duration, bool) { return 0, false }

// Step implements dispatcher.
func (b *baseline) Step(now time.Duration, ev serving.Event) []serving.Effect {
	b.effects = nil
	switch ev := ev.(type) {
	case serving.BackendUpdated:
		b.executors = append(b.executors, ev.Backend.ID)
	case serving.RequestArrived:
		r := &baselineRequest{id: ev.Request.ID, nonIdempotent: ev.Request.NonIdempotent, deadline: now + ev.Request.Remaining}
		b.requests[r.id] = r
		b.queue = append(b.queue, r)
	case serving.RequestCancelled:
		b.cancel(ev.RequestID)
	case serving.AttemptFinished:
		b.handleFinished(now, ev)
	}
	b.dispatch(now)
	return b.effects
}

func (b *baseline) cancel(id string) {
	r := b.requests[id]
	if r.ended {
		return
	}
	b.refuse(r, structs.CodeDeadlineExpired)
	if r.sent {
		b.effects = append(b.effects, serving.CloseConnection{RequestID: r.id, Attempt: r.attempts, Backend: r.executor})
		b.release(r)
	}
}

func (b *baseline) release(r *baselineRequest) {
	r.sent = false
	b.running[r.executor]--
}

func (b *baseline) handleFinished(now time.Duration, ev serving.AttemptFinished) {
	r := b.requests[ev.RequestID]
	if r.ended || ev.Attempt != r.attempts {
		return
	}
	b.release(r)
	if ev.Result == serving.ResultOK {
		r.ended = true
		b.effects = append(b.effects, serving.Answer{RequestID: r.id, Attempt: ev.Attempt, Backend: r.executor})
		return
	}
	r.possiblySent = r.possiblySent || ev.Result != serving.ResultNotSent
	if r.attempts >= maxAttempts || (r.nonIdempotent && r.possiblySent) {
		b.refuse(r, structs.CodeBackendFailed)
		return
	}
	b.queue = append(b.queue, r)
}

func (b *baseline) refuse(r *baselineRequest, code structs.Code) {
	r.ended = true
	refusal := structs.RefuseNotRun(code, "")
	if r.possiblySent || r.sent {
		refusal = structs.RefuseUnknown(code, "")
	}
	b.effects = append(b.effects, serving.Refuse{RequestID: r.id, Refusal: *refusal})
}

func (b *baseline) dispatch(now time.Duration) {
	for len(b.queue) > 0 {
		r := b.queue[0]
		if r.ended {
			b.queue = b.queue[1:]
			continue
		}
		id, found := b.pickExecutor()
		if !found {
			return
		}
		b.queue = b.queue[1:]
		r.attempts++
		r.executor = id
		r.sent = true
		b.running[id]++
		timeout := min(attemptTimeout, r.deadline-now)
		b.effects = append(b.effects, serving.Send{RequestID: r.id, Attempt: r.attempts, Backend: id, Address: id, Timeout: timeout})
	}
}

func (b *baseline) pickExecutor() (string, bool) {
	for range b.executors {
		id := b.executors[b.next]
		b.next = (b.next + 1) % len(b.executors)
		if b.slots == 0 || b.running[id] < b.slots {
			return id, true
		}
	}
	return "", false
}
