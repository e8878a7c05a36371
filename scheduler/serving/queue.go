package serving

import (
	"slices"
	"time"

	"cranberrydrum.dev/scheduler/retryafter"
)

// flow is the queue of one customer within one class, with estimates of its
// service and wait times.
type flow struct {
	class    classIndex
	customer string
	weight   float64
	estimate estimator
	tier     tier
	lastSeen time.Duration
	// running is the number of attempts that hold a slot, lastMeasured the time of
	// the last service time in estimate.
	running      int
	lastMeasured time.Duration

	// items[head:] are the queued requests.
	items []*request
	head  int
	// work is the expected service time of all queued requests, in seconds.
	work float64
	// virtualTime is the service time received so far in seconds, divided by the
	// weight.
	virtualTime float64
	active      bool
	// waitCorrection is the moving average of the ratio of the measured to the
	// estimated wait.
	waitCorrection float64
	// skipRound is the last dispatch round in which no slot was found for the
	// head.
	skipRound uint64
	// lane assigns the return times of refused requests, and promises remembers them;
	// it is nil until the first.
	lane     retryafter.Lane
	promises *retryafter.Promises
}

func (f *flow) len() int { return len(f.items) - f.head }

func (f *flow) first() *request { return f.items[f.head] }

// position returns the number of queued requests that are served before a request that
// has had no attempt: those that first arrived before it, and retries.
func (f *flow) position(r *request) int {
	at := len(f.items)
	for at > f.head && f.items[at-1].firstArrived > r.firstArrived && f.items[at-1].sends == 0 {
		at--
	}
	return at - f.head
}

// insert adds a request that has had no attempt in the order of first arrivals.
func (f *flow) insert(r *request) {
	f.items = slices.Insert(f.items, f.head+f.position(r), r)
	f.work += r.cost
}

// pushFront inserts a retry before the requests that have not had an attempt.
func (f *flow) pushFront(r *request) {
	if f.head > 0 {
		f.head--
		f.items[f.head] = r
	} else {
		f.items = append(f.items, nil)
		copy(f.items[1:], f.items)
		f.items[0] = r
	}
	f.work += r.cost
}

func (f *flow) popFront() *request {
	r := f.items[f.head]
	f.items[f.head] = nil
	f.head++
	f.accountRemoval(r)
	return r
}

func (f *flow) popBack() *request {
	last := len(f.items) - 1
	r := f.items[last]
	f.items[last] = nil
	f.items = f.items[:last]
	f.accountRemoval(r)
	return r
}

// remove removes a request from any position.
func (f *flow) remove(r *request) {
	for i := f.head; i < len(f.items); i++ {
		if f.items[i] != r {
			continue
		}
		copy(f.items[i:], f.items[i+1:])
		f.items[len(f.items)-1] = nil
		f.items = f.items[:len(f.items)-1]
		f.accountRemoval(r)
		return
	}
}

// accountRemoval updates the expected work and reclaims the space before the
// head.
func (f *flow) accountRemoval(r *request) {
	f.work = max(0, f.work-r.cost)
	if f.head == len(f.items) {
		f.items = f.items[:0]
		f.head = 0
		f.work = 0
		return
	}
	const compactAt = 64
	if f.head >= compactAt && f.head*2 >= len(f.items) {
		kept := copy(f.items, f.items[f.head:])
		clear(f.items[kept:])
		f.items = f.items[:kept]
		f.head = 0
	}
}

// classQueue holds the flows of one class. It schedules customers by weighted
// fair queueing over service time, so that a customer with long requests does
// not get more than its share.
type classQueue struct {
	flows  map[string]*flow
	active []*flow
	// systemVirtualTime is the highest virtual time at which a flow was
	// dispatched. A flow that becomes active starts at this time or later, so that
	// it gets no credit for the time without requests.
	systemVirtualTime float64
	queued            int
	work              float64
	running           int
	activeWeight      float64
}

func (q *classQueue) add(r *request, front bool) {
	f := r.flow
	if !f.active {
		f.active = true
		f.virtualTime = max(f.virtualTime, q.systemVirtualTime)
		q.active = append(q.active, f)
		q.activeWeight += f.weight
	}
	if front {
		f.pushFront(r)
	} else {
		f.insert(r)
	}
	q.queued++
	q.work += r.cost
}

// accountRemoved updates the totals after a request has left its flow.
func (q *classQueue) accountRemoved(r *request) {
	q.queued--
	q.work = max(0, q.work-r.cost)
	f := r.flow
	if f.len() > 0 {
		return
	}
	f.active = false
	for i, other := range q.active {
		if other == f {
			last := len(q.active) - 1
			q.active[i] = q.active[last]
			q.active[last] = nil
			q.active = q.active[:last]
			break
		}
	}
	q.activeWeight -= f.weight
	if len(q.active) == 0 {
		q.activeWeight = 0
		q.work = 0
	}
}

// next returns the backlogged flow that has received the least service time for
// its weight, among those that were not skipped in this round and whose tier is
// not blocked.
func (q *classQueue) next(round uint64, blocked *blockedTiers) *flow {
	var best *flow
	for _, f := range q.active {
		if f.skipRound == round || blocked[f.class][f.tier] {
			continue
		}
		if best == nil || f.before(best) {
			best = f
		}
	}
	return best
}

func (f *flow) before(other *flow) bool {
	if f.virtualTime != other.virtualTime {
		return f.virtualTime < other.virtualTime
	}
	return f.customer < other.customer
}

// charge adds the cost of a dispatched request to the virtual time of its flow.
func (q *classQueue) charge(r *request) {
	q.systemVirtualTime = max(q.systemVirtualTime, r.flow.virtualTime)
	r.flow.virtualTime += r.cost / r.flow.weight
}

// mostOverShare returns the flow that is furthest above its fair share of the
// queue.
func (q *classQueue) mostOverShare() *flow {
	var worst *flow
	for _, f := range q.active {
		if worst == nil || f.moreOverShare(worst) {
			worst = f
		}
	}
	return worst
}

func (f *flow) moreOverShare(other *flow) bool {
	mine, theirs := float64(f.len())/f.weight, float64(other.len())/other.weight
	if mine != theirs {
		return mine > theirs
	}
	return f.customer > other.customer
}
