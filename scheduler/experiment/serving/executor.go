package serving

import (
	"math/rand/v2"
	"time"

	"cranberrydrum.dev/scheduler/serving"
)

// attempt is one sending of a request to an executor.
type attempt struct {
	request  *request
	number   int
	host     *host
	executor *executor
	work     time.Duration
	sent     time.Duration
	started  time.Duration
	// closed marks an attempt whose connection is closed. The executor still
	// completes it.
	closed bool
	done   bool
}

// executor runs as many attempts at once as it has slots. It queues further
// attempts in order of arrival, up to its number of connections.
type executor struct {
	id      string
	fault   Fault
	running int
	queue   []*attempt
	// open counts the attempts that the executor has accepted and not finished,
	// including attempts that the hosts have abandoned. maxOpen is the maximum of
	// open.
	maxOpen int
	open    int
	// live counts the attempts whose hosts still wait for the result, and
	// maxLive is the maximum of live.
	live, maxLive int
}

// accept handles an attempt that arrives over the network. It rejects the attempt
// if the executor has no free connection.
func (s *simulation) accept(e *executor, x *attempt) {
	e.open++
	e.maxOpen = max(e.maxOpen, e.open)
	if e.open > executorConnections {
		e.open--
		s.after(networkDelay, func() { s.reportResult(x, serving.ResultNotSent) })
		return
	}
	switch s.activeFault(e) {
	case FaultFailing:
		s.after(failAfter, func() { e.open--; x.done = true; s.reportResult(x, serving.ResultBackendError) })
		return
	case FaultSilent:
		return
	}
	e.queue = append(e.queue, x)
	s.startQueued(e)
}

func (s *simulation) activeFault(e *executor) Fault {
	if s.now < faultStart {
		return FaultNone
	}
	return e.fault
}

func (s *simulation) startQueued(e *executor) {
	for e.running < executorSlots && len(e.queue) > 0 {
		x := e.queue[0]
		e.queue = e.queue[1:]
		e.running++
		x.started = s.now
		x.request.runs++
		x.request.markStarted(s.now)
		work := time.Duration(float64(x.work) * drawStragglerFactor(s.attemptRand(x)))
		if s.activeFault(e) == FaultSlow {
			work *= slowFactor
		}
		s.after(work, func() { s.complete(e, x) })
	}
}

// attemptRand returns the random source of one attempt. It depends only on the
// request and the attempt number. With one source for all attempts, a single
// changed decision would change the stragglers among all later requests, and the
// result of one seed would vary by as much as most rules gain.
func (s *simulation) attemptRand(x *attempt) *rand.Rand {
	const oddMultiplier = 0x9e3779b97f4a7c15 // odd, so that different attempts get different sources
	attemptIndex := uint64(x.request.index)*(maxAttempts+1) + uint64(x.number)
	return rand.New(rand.NewPCG(s.options.Seed, attemptIndex*oddMultiplier))
}

func (s *simulation) complete(e *executor, x *attempt) {
	e.running--
	e.open--
	x.done = true
	s.startQueued(e)
	s.after(networkDelay, func() { s.reportResult(x, serving.ResultOK) })
}

// markClosed marks an attempt for whose result the host no longer waits.
func (x *attempt) markClosed() {
	x.closed = true
	x.executor.live--
	delete(x.host.live, attemptKey{x.request.id, x.number})
}

// reportResult passes a result to the host, unless the connection is closed.
func (s *simulation) reportResult(x *attempt, result serving.Result) {
	if x.closed {
		return
	}
	x.markClosed()
	if result == serving.ResultOK {
		x.request.completed[x.number] = true
	}
	s.step(x.host, serving.AttemptFinished{
		RequestID:   x.request.id,
		Attempt:     x.number,
		Result:      result,
		ServiceTime: s.now - x.sent,
	})
}
