package retryafter

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Promise is a return that was assigned to a refused request.
type Promise struct {
	// First is when the request first arrived, and Due when it should return.
	First, Due time.Duration
}

// validAfterDue is how long after its due time a promise counts.
const validAfterDue = 10 * time.Second

// Promises remembers the promises of refused requests by the key that a request carries
// each time it is sent. The number of promises is bounded; the oldest is forgotten
// first, and its request then counts as new. The zero value has no room for promises.
type Promises struct {
	limit int
	byKey map[uint64]numbered
	// order lists the promises from the oldest on, and among them some that were
	// taken or replaced meanwhile.
	order  []keyNumber
	number uint64
}

type numbered struct {
	Promise
	number uint64
}

type keyNumber struct{ key, number uint64 }

// NewPromises returns an empty table of at most limit promises.
func NewPromises(limit int) *Promises {
	return &Promises{limit: limit, byKey: map[uint64]numbered{}}
}

// Len returns the number of promises.
func (p *Promises) Len() int { return len(p.byKey) }

// Put remembers the promise of a request.
func (p *Promises) Put(key string, promise Promise) {
	hash := xxhash.Sum64String(key)
	p.number++
	p.byKey[hash] = numbered{Promise: promise, number: p.number}
	p.order = append(p.order, keyNumber{key: hash, number: p.number})
	if len(p.order) > 2*p.limit {
		p.order = slices.DeleteFunc(p.order, func(k keyNumber) bool { return !p.isCurrent(k) })
	}
	for len(p.byKey) > p.limit {
		p.dropOldest()
	}
}

// Take returns the promise of a request and forgets it, so that one refusal counts for
// one return.
func (p *Promises) Take(now time.Duration, key string) (Promise, bool) {
	hash := xxhash.Sum64String(key)
	found, ok := p.byKey[hash]
	delete(p.byKey, hash)
	return found.Promise, ok && now <= found.Due+validAfterDue
}

func (p *Promises) isCurrent(k keyNumber) bool { return p.byKey[k.key].number == k.number }

// dropOldest removes the first entry of the order, with its promise if it is current.
func (p *Promises) dropOldest() {
	oldest := p.order[0]
	p.order = p.order[1:]
	if p.isCurrent(oldest) {
		delete(p.byKey, oldest.key)
	}
}
