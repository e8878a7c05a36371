package fleet

import (
	"cmp"
	"slices"
	"time"

	"cranberrydrum.dev/scheduler/workload"
)

const (
	// maxAdviceExecutors is the largest number of executors in one call for
	// advice. Job objectives account for this many.
	maxAdviceExecutors = 30
	// adviceTimeoutMargin is added to the processing time that the advice
	// service declares.
	adviceTimeoutMargin = 3 * time.Second
	// adviceRetryDelay is the pause after a failed call to the advice service.
	adviceRetryDelay = 500 * time.Millisecond
	// ticketMargin is the minimum remaining validity of a ticket when it is
	// used.
	ticketMargin = 1 * time.Second
)

// Ticket authorizes a step to run on an executor.
type Ticket struct {
	Executor string
	Value    string
}

// stepAdvice holds the responses of the advice service about one step.
type stepAdvice struct {
	asked   map[workload.ExecutorKey]bool
	tickets map[workload.ExecutorKey]issuedTicket
}

type issuedTicket struct {
	value     string
	expiresAt time.Duration
}

// adviceFor returns the advice held for a task set, which is empty before the first call for it.
// It returns nil if the queue does not require advice.
func (c *Controller) adviceFor(ts *taskSet) *stepAdvice {
	if ts.job.Advice == nil {
		return nil
	}
	if a := c.advices[ts.key]; a != nil {
		return a
	}
	return &stepAdvice{}
}

// ticket returns the ticket for an executor and reports whether it is still
// valid.
func (a *stepAdvice) ticket(now time.Duration, e workload.ExecutorKey) (string, bool) {
	issued, granted := a.tickets[e]
	return issued.value, granted && now+ticketMargin < issued.expiresAt
}

// ticketFor returns the ticket for starting a task, or "" if its queue does not
// require advice.
func (c *Controller) ticketFor(now time.Duration, key workload.TaskKey, e workload.ExecutorKey) string {
	advice := c.advices[stepKeyOf(key)]
	if advice == nil {
		return ""
	}
	ticket, _ := advice.ticket(now, e)
	return ticket
}

// discardTicket replaces a ticket that an executor rejected by an expired one,
// so that the advice service is asked about the executor again.
func (c *Controller) discardTicket(call Call) {
	if a := c.advices[stepKeyOf(call.Task)]; a != nil {
		a.tickets[call.Executor] = issuedTicket{}
	}
}

// requestAdvice calls the advice service for the first of the unplaced task
// sets, in order of urgency, that has executors to ask about. The service
// answers one call at a time, so at most one call is in flight.
func (c *Controller) requestAdvice(now time.Duration, rs *roundState, unplaced []*taskSet) {
	if c.adviceInFlight || now < c.nextAdviceAt {
		return
	}
	for _, ts := range unplaced {
		if rs.isUsedUp() {
			return
		}
		a := c.adviceFor(ts)
		if a == nil {
			continue
		}
		workers := c.adviceCandidates(now, rs, ts, a)
		if len(workers) == 0 {
			continue
		}
		c.adviceInFlight = true
		if c.advices[ts.key] == nil {
			c.advices[ts.key] = &stepAdvice{asked: map[workload.ExecutorKey]bool{}, tickets: map[workload.ExecutorKey]issuedTicket{}}
		}
		needed := ts.job.Advice
		c.out.Calls = append(c.out.Calls, Call{
			Kind: CallAdvise, IssuedAt: now, Token: c.term, Workers: workers,
			Task:    ts.key.task(0),
			Timeout: adviceTimeoutMargin + needed.BaseLatency + time.Duration(len(workers))*needed.LatencyPerExecutor,
		})
		return
	}
}

// adviceCandidates returns the IDs of executors that satisfy the constraints of
// a task set and for which there is no valid ticket. It omits executors for
// which the service was asked and issued no ticket. Executors with the most free
// capacity come first.
func (c *Controller) adviceCandidates(now time.Duration, rs *roundState, ts *taskSet, a *stepAdvice) []string {
	var candidates []*executor
	rs.work += len(rs.executors)
	for _, e := range rs.executors {
		_, granted := a.tickets[e.key]
		_, valid := a.ticket(now, e.key)
		if rs.satisfiesConstraints(ts, e) && !valid && (granted || !a.asked[e.key]) {
			candidates = append(candidates, e)
		}
	}
	need := ts.step.Allocation()
	slices.SortStableFunc(candidates, func(x, y *executor) int {
		return cmp.Compare(fitCount(rs.slot(y).free, need), fitCount(rs.slot(x).free, need))
	})
	var ids []string
	for _, e := range candidates[:min(len(candidates), maxAdviceExecutors)] {
		ids = append(ids, e.key.ID)
	}
	return ids
}

// handleAdvice processes the response of the advice service.
func (c *Controller) handleAdvice(now time.Duration, call Call, response Response) {
	c.adviceInFlight = false
	c.dirty = true
	key := stepKeyOf(call.Task)
	a := c.advices[key]
	j := c.state.Job(key.job)
	if a == nil || j == nil {
		return
	}
	if response.Verdict != VerdictAccepted || j.Advice == nil {
		c.nextAdviceAt = now + adviceRetryDelay
		c.log.Info("advice request failed", "job", key.job, "step", key.step, "verdict", response.Verdict.String(), "reason", response.Reason)
		return
	}
	for _, id := range call.Workers {
		if e := c.executors[id]; e != nil {
			a.asked[e.key] = true
		}
	}
	for _, t := range response.Tickets {
		if e := c.executors[t.Executor]; e != nil {
			a.tickets[e.key] = issuedTicket{value: t.Value, expiresAt: call.IssuedAt + j.Advice.TicketTTL}
		}
	}
	c.log.Info("advice received", "job", key.job, "step", key.step, "asked", len(call.Workers), "good", len(response.Tickets), "took_ms", (now - call.IssuedAt).Milliseconds())
}
