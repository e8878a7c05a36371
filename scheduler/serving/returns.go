package serving

import (
	"math"
	"math/rand/v2"
	"time"

	"cranberrydrum.dev/scheduler/retryafter"
	"cranberrydrum.dev/scheduler/structs"
)

const (
	// maxPromises bounds the refused requests of a flow that are recognised when they
	// return.
	maxPromises = 1024
	// returnDeadlines bounds the return time of a refused request in multiples of its
	// deadline, which tells how urgent it is to its caller, and maxReturnTime bounds it
	// in any case.
	returnDeadlines = 6
	maxReturnTime   = 60 * time.Second
	// minReturnShare is the share of the slots that returns may use while new requests
	// need all of them, and outageReturnShare the share they may use after a time
	// without executors, in which no request is served and the queues are empty.
	minReturnShare    = 0.1
	outageReturnShare = 0.5
	// failureWait is the least return time after a failure of executors. Executors
	// announce themselves once a second, and the retry budget grows by
	// retryFloorPerSecond.
	failureWait = 1 * time.Second
)

// returns holds what the return times of refused requests are computed from.
type returns struct {
	rng *rand.Rand
	// capacity is the highest recent capacity. It decays with longTermTimeConstant.
	capacity float64
	observed time.Duration
}

func newReturns(seed uint64) returns {
	const stream = 1
	return returns{rng: rand.New(rand.NewPCG(seed, stream))}
}

// observe records the capacity of the executors.
func (t *returns) observe(now time.Duration, capacity int) {
	elapsed := now - t.observed
	t.observed = now
	kept := math.Exp(-elapsed.Seconds() / longTermTimeConstant.Seconds())
	t.capacity = max(float64(capacity), kept*t.capacity)
}

// recognise looks up whether a request that arrives was refused before. If it returns
// when it was told to, it takes its place among the requests of its flow by its first
// arrival. If it returns earlier, it counts as new and keeps its promise.
func (d *Dispatcher) recognise(now time.Duration, r *request) {
	r.firstArrived = now
	if r.key == "" || r.flow.promises == nil {
		return
	}
	promise, found := r.flow.promises.Take(now, r.key)
	switch {
	case !found:
	case now < promise.Due:
		r.promise = promise
	default:
		r.firstArrived = promise.First
		r.returned = true
		d.counters.Returned++
	}
}

// leastWait returns the least time after which a request that was refused for a reason
// may be served when it is sent again, and whether that helps at all.
func leastWait(code structs.Code) (time.Duration, bool) {
	switch code {
	case structs.CodeDeadlineUnreachable, structs.CodeDeadlineExpired, structs.CodeQueueFull, structs.CodeShed:
		return 0, true
	case structs.CodeNoBackend, structs.CodeRetryBudgetExhausted, structs.CodeBackendFailed:
		return failureWait, true
	}
	return 0, false
}

// returnTime returns the time after which a refused request should be sent again, or 0
// if no time is known at which it could be served.
func (d *Dispatcher) returnTime(r *request, code structs.Code) time.Duration {
	isEarly := r.promise.Due > d.now
	if isEarly {
		r.flow.keepPromise(r.key, r.promise)
	}
	least, helps := leastWait(code)
	if !helps || r.arrived+d.requiredServiceTime(r) > r.deadline {
		return 0
	}
	if isEarly {
		return r.promise.Due - d.now
	}
	wait := max(least, d.estimateWait(r.flow))
	limit := min(returnDeadlines*(r.deadline-r.arrived), maxReturnTime)
	after, inTurn := r.flow.lane.Assign(d.now, wait, d.returnSpacing(r.flow), limit, d.returns.rng.Float64())
	// Callers are told whole milliseconds.
	after = after.Truncate(time.Millisecond) + time.Millisecond
	if inTurn && r.key != "" {
		r.flow.keepPromise(r.key, retryafter.Promise{First: r.firstArrived, Due: d.now + after})
		d.counters.Promised++
	}
	return after
}

func (f *flow) keepPromise(key string, p retryafter.Promise) {
	if f.promises == nil {
		f.promises = retryafter.NewPromises(maxPromises)
	}
	f.promises.Put(key, p)
}

// returnSpacing returns the time between two returns to a flow: its mean service time
// divided by its share of the slots that returns may use.
func (d *Dispatcher) returnSpacing(f *flow) time.Duration {
	q := &d.queues[f.class]
	weights := q.activeWeight
	if !f.active {
		weights += f.weight
	}
	share := f.weight / weights
	return time.Duration(float64(d.meanServiceTime(f)) / (d.returnSlots(f.class) * share))
}

// returnSlots returns the number of slots that returns to a class may use: those that
// arriving requests of this and more important classes leave, so that returns do not
// make new requests late, which would then return in turn.
func (d *Dispatcher) returnSlots(c classIndex) float64 {
	slots, least := float64(d.capacity), minReturnShare
	if d.capacity == 0 {
		slots, least = max(1, d.returns.capacity), outageReturnShare
	}
	spare := slots
	for other := urgent; other <= c; other++ {
		for _, demand := range d.tiers.demand[other] {
			spare -= demand
		}
	}
	return max(spare, least*slots)
}
