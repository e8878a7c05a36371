package serving

import "time"

// flow is the queue of one customer within one class, with what has been
// learned about its service times.
type flow struct {
	class    classIndex
	customer string
	weight   float64
	estimate estimator
	tier     tier
	lastSeen time.Duration

	items []*request
	head  int
	// work is the expected service time of all queued requests, in seconds.
	work float64
	// virtual is the service time received so far, divided by the weight.
	virtual float64
	active  bool
	// correction is the measured over the estimated wait.
	correction float64
	// skipRound is the dispatch round in which the head could not be placed.
	skipRound uint64
}

func (f *flow) len() int { return len(f.items) - f.head }

func (f *flow) first() *request { return f.items[f.head] }

func (f *flow) pushBack(r *request) {
	f.items = append(f.items, r)
	f.work += r.cost
}

// pushFront puts a retry before the requests that have not had an attempt.
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
	f.leave(r)
	return r
}

func (f *flow) popBack() *request {
	last := len(f.items) - 1
	r := f.items[last]
	f.items[last] = nil
	f.items = f.items[:last]
	f.leave(r)
	return r
}

// remove takes out a request at any place.
func (f *flow) remove(r *request) {
	for i := f.head; i < len(f.items); i++ {
		if f.items[i] != r {
			continue
		}
		copy(f.items[i:], f.items[i+1:])
		f.items[len(f.items)-1] = nil
		f.items = f.items[:len(f.items)-1]
		f.leave(r)
		return
	}
}

// leave updates the sums and reclaims the space before the head.
func (f *flow) leave(r *request) {
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

// classQueue holds the flows of one class. Between customers it is a weighted
// fair queue over service time, so that a customer with long requests does not
// get more than its share.
type classQueue struct {
	flows   map[string]*flow
	active  []*flow
	clock   float64
	queued  int
	work    float64
	running int
	weights float64
}

func (q *classQueue) add(r *request, front bool) {
	f := r.flow
	if !f.active {
		f.active = true
		f.virtual = max(f.virtual, q.clock)
		q.active = append(q.active, f)
		q.weights += f.weight
	}
	if front {
		f.pushFront(r)
	} else {
		f.pushBack(r)
	}
	q.queued++
	q.work += r.cost
}

// removed updates the sums after a request has left its flow.
func (q *classQueue) removed(r *request) {
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
	q.weights -= f.weight
	if len(q.active) == 0 {
		q.weights = 0
		q.work = 0
	}
}

// next returns the backlogged flow that has received the least, among those
// that were not skipped in this round and whose size is not blocked.
func (q *classQueue) next(round uint64, blocked *sizeBlocks) *flow {
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
	if f.virtual != other.virtual {
		return f.virtual < other.virtual
	}
	return f.customer < other.customer
}

// charge accounts the expected service time of a request that is dispatched.
func (q *classQueue) charge(r *request) {
	q.clock = max(q.clock, r.flow.virtual)
	r.flow.virtual += r.cost / r.flow.weight
}

// worst returns the flow that is furthest above its fair share of the queue.
func (q *classQueue) worst() *flow {
	var worst *flow
	for _, f := range q.active {
		if worst == nil || f.above(worst) {
			worst = f
		}
	}
	return worst
}

func (f *flow) above(other *flow) bool {
	mine, theirs := float64(f.len())/f.weight, float64(other.len())/other.weight
	if mine != theirs {
		return mine > theirs
	}
	return f.customer > other.customer
}
