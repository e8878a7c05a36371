package fleet

import (
	"cmp"
	"slices"
	"time"

	"cranberrydrum.dev/scheduler/workload"
)

const (
	// adviceBatch is how many executors one call for advice names: as many as
	// the objective of a job counts.
	adviceBatch = 30
	// adviceTimeout is added to the time that the service says it takes.
	adviceTimeout = 3 * time.Second
	// adviceRetry is the pause after a call without an answer.
	adviceRetry = 500 * time.Millisecond
	// ticketMargin is what has to be left of a ticket's time when it is used.
	ticketMargin = 1 * time.Second
)

// Ticket allows a step on an executor.
type Ticket struct {
	Executor string
	Value    string
}

// advice is what the advice service has said about a step.
type advice struct {
	asked map[workload.ExecutorKey]bool
	good  map[workload.ExecutorKey]grant
}

type grant struct {
	ticket string
	until  time.Duration
}

// adviceOn returns what is known about a step of an advised queue, or nil for
// other queues.
func (c *Controller) adviceOn(u *unit) *advice {
	q := c.state.QueueNamed(u.job.Queue)
	if q == nil || q.Advice == nil {
		return nil
	}
	a := c.advices[u.key]
	if a == nil {
		a = &advice{asked: map[workload.ExecutorKey]bool{}, good: map[workload.ExecutorKey]grant{}}
		c.advices[u.key] = a
	}
	return a
}

// ticket returns the ticket for a step on an executor, if it is still valid.
func (a *advice) ticket(now time.Duration, e workload.ExecutorKey) (string, bool) {
	g, granted := a.good[e]
	return g.ticket, granted && now+ticketMargin < g.until
}

// ticketFor returns the ticket that a start needs; other queues need none.
func (c *Controller) ticketFor(now time.Duration, key workload.TaskKey, e workload.ExecutorKey) string {
	a := c.advices[unitOf(key)]
	if a == nil {
		return ""
	}
	ticket, _ := a.ticket(now, e)
	return ticket
}

// withdrawTicket forgets a ticket that an executor did not take.
func (c *Controller) withdrawTicket(call Call) {
	if a := c.advices[unitOf(call.Task)]; a != nil {
		a.good[call.Executor] = grant{}
	}
}

// seek asks about executors for the most urgent step that did not find enough
// of them. The service answers one call at a time.
func (c *Controller) seek(now time.Duration, r *room, short []*unit) {
	if c.advising || now < c.nextAdvice {
		return
	}
	for _, u := range short {
		a := c.adviceOn(u)
		if a == nil {
			continue
		}
		workers := c.unknown(now, r, u, a)
		if len(workers) == 0 {
			continue
		}
		c.advising = true
		q := c.state.QueueNamed(u.job.Queue)
		c.out.Calls = append(c.out.Calls, Call{
			Kind: CallAdvise, IssuedAt: now, Token: c.term, Workers: workers,
			Task:    u.key.task(0),
			Timeout: adviceTimeout + q.Advice.Decide + time.Duration(len(workers))*q.Advice.Each,
		})
		return
	}
}

// unknown returns executors that a step could use and has no valid word about,
// those with free room first.
func (c *Controller) unknown(now time.Duration, r *room, u *unit, a *advice) []string {
	var open []*executor
	for _, e := range r.executors {
		_, granted := a.good[e.key]
		_, valid := a.ticket(now, e.key)
		if r.constraints(u, e) && !valid && (granted || !a.asked[e.key]) {
			open = append(open, e)
		}
	}
	need := u.step.Room()
	slices.SortStableFunc(open, func(x, y *executor) int {
		return cmp.Compare(slots(r.free[y], need), slots(r.free[x], need))
	})
	var ids []string
	for _, e := range open[:min(len(open), adviceBatch)] {
		ids = append(ids, e.key.ID)
	}
	return ids
}

// advised takes the answer of the advice service.
func (c *Controller) advised(now time.Duration, call Call, answer Answer) {
	c.advising = false
	c.dirty = true
	key := unitOf(call.Task)
	a := c.advices[key]
	j := c.state.Job(key.job)
	if a == nil || j == nil {
		return
	}
	q := c.state.QueueNamed(j.Queue)
	if answer.Verdict != VerdictAccepted || q == nil || q.Advice == nil {
		c.nextAdvice = now + adviceRetry
		c.log.Info("no advice", "job", key.job, "step", key.step, "verdict", answer.Verdict.String(), "reason", answer.Reason)
		return
	}
	for _, id := range call.Workers {
		if e := c.executors[id]; e != nil {
			a.asked[e.key] = true
		}
	}
	for _, t := range answer.Tickets {
		if e := c.executors[t.Executor]; e != nil {
			a.good[e.key] = grant{ticket: t.Value, until: call.IssuedAt + q.Advice.Valid}
		}
	}
	c.log.Info("advice", "job", key.job, "step", key.step, "asked", len(call.Workers), "good", len(answer.Tickets), "took_ms", (now - call.IssuedAt).Milliseconds())
}
