package serving

import (
	"math/rand/v2"
	"time"

	"cranberrydrum.dev/scheduler/serving"
)

// execution is one attempt as the executor sees it.
type execution struct {
	request *request
	number  int
	host    *host
	on      *executor
	work    time.Duration
	sent    time.Duration
	started time.Duration
	// closed marks an attempt whose connection has ended; it still runs.
	closed bool
	done   bool
}

// executor runs up to its slots at once and queues the rest in order, up to
// its connections.
type executor struct {
	id      string
	fault   Fault
	running int
	queue   []*execution
	// maxOpen is the highest number of attempts at one time, which includes
	// those that the hosts have given up.
	maxOpen int
	open    int
	// live counts the attempts whose hosts still wait for the result.
	live, maxLive int
}

// accept takes an attempt that has arrived over the network.
func (s *simulation) accept(e *executor, x *execution) {
	e.open++
	e.maxOpen = max(e.maxOpen, e.open)
	if e.open > executorConnections {
		e.open--
		s.at(networkDelay, func() { s.report(x, serving.ResultNotSent) })
		return
	}
	switch s.faultOf(e) {
	case FaultFailing:
		s.at(failAfter, func() { e.open--; x.done = true; s.report(x, serving.ResultBackendError) })
		return
	case FaultSilent:
		return
	}
	e.queue = append(e.queue, x)
	s.startNext(e)
}

func (s *simulation) faultOf(e *executor) Fault {
	if s.now < faultStart {
		return FaultNone
	}
	return e.fault
}

func (s *simulation) startNext(e *executor) {
	for e.running < executorSlots && len(e.queue) > 0 {
		x := e.queue[0]
		e.queue = e.queue[1:]
		e.running++
		x.started = s.now
		x.request.runs++
		x.request.markStarted(s.now)
		work := time.Duration(float64(x.work) * straggle(s.attemptSource(x)))
		if s.faultOf(e) == FaultSlow {
			work *= slowFactor
		}
		s.at(work, func() { s.complete(e, x) })
	}
}

// attemptSource is the random source of one attempt. It depends on the request
// and the number of the attempt only. With one source for all attempts, a single
// changed decision gave other stragglers to all later requests, and the result
// of one seed moved by as much as most rules gain.
func (s *simulation) attemptSource(x *execution) *rand.Rand {
	const oddConstant = 0x9e3779b97f4a7c15
	attempt := uint64(x.request.index)*(maxAttempts+1) + uint64(x.number)
	return rand.New(rand.NewPCG(s.options.Seed, attempt*oddConstant))
}

func (s *simulation) complete(e *executor, x *execution) {
	e.running--
	e.open--
	x.done = true
	s.startNext(e)
	s.at(networkDelay, func() { s.report(x, serving.ResultOK) })
}

// end marks an attempt whose host no longer waits for it.
func (x *execution) end() {
	x.closed = true
	x.on.live--
	delete(x.host.live, attemptKey{x.request.id, x.number})
}

// report hands a result to the host, unless the connection has been closed.
func (s *simulation) report(x *execution, result serving.Result) {
	if x.closed {
		return
	}
	x.end()
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
