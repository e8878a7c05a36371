package simnet

import (
	"math/rand/v2"
	"time"

	"cranberrydrum.dev/coord/pqueue"
)

// seedStream is the second half of the generator's seed. It makes the random
// numbers of the network independent of other generators with the same seed.
const seedStream = 0x5eed

// Conditions are the properties of a link in one direction.
type Conditions struct {
	// MinDelay and MaxDelay bound the delay, which is uniformly distributed
	// between them. A message overtakes an earlier one if its delay is
	// sufficiently shorter.
	MinDelay, MaxDelay time.Duration
	// Loss and Duplicate are probabilities between 0 and 1.
	Loss, Duplicate float64
}

// Delivery is a message with its arrival time.
type Delivery[M any] struct {
	At       time.Duration
	From, To string
	Message  M
}

// Stats counts messages since the network was created.
type Stats struct{ Sent, Lost, Duplicated, Delivered uint64 }

type link struct{ from, to string }

// queued is a delivery with a sequence number, which orders deliveries with the
// same arrival time.
type queued[M any] struct {
	delivery Delivery[M]
	sequence uint64
}

func (q queued[M]) arrivesBefore(other queued[M]) bool {
	if q.delivery.At != other.delivery.At {
		return q.delivery.At < other.delivery.At
	}
	return q.sequence < other.sequence
}

// Network carries messages of type M between hosts. All times are true times,
// not readings of the clocks of the hosts.
type Network[M any] struct {
	rng      *rand.Rand
	defaults Conditions
	links    map[link]Conditions
	cut      map[link]bool
	queue    *pqueue.Queue[queued[M]]
	sequence uint64
	stats    Stats
}

// New returns a network in which all links have the given default conditions.
func New[M any](seed uint64, defaults Conditions) *Network[M] {
	return &Network[M]{
		rng:      rand.New(rand.NewPCG(seed, seedStream)),
		defaults: defaults,
		links:    map[link]Conditions{},
		cut:      map[link]bool{},
		queue:    pqueue.New(queued[M].arrivesBefore, nil),
	}
}

// SetDefaultConditions changes the default conditions, which apply to all links
// without conditions set by SetLink.
func (n *Network[M]) SetDefaultConditions(c Conditions) { n.defaults = c }

// SetLink sets the conditions of the link from one host to another.
func (n *Network[M]) SetLink(from, to string, c Conditions) { n.links[link{from, to}] = c }

// ResetLinks removes the conditions set by SetLink.
func (n *Network[M]) ResetLinks() { clear(n.links) }

// Cut drops messages sent from one host to another until Heal. Messages already
// in transit still arrive.
func (n *Network[M]) Cut(from, to string) { n.cut[link{from, to}] = true }

// Partition cuts the links between hosts of different groups in both directions.
// It does not change links within a group.
func (n *Network[M]) Partition(groups ...[]string) {
	for i, group := range groups {
		for j, other := range groups {
			if i != j {
				n.cutAll(group, other)
			}
		}
	}
}

func (n *Network[M]) cutAll(group, other []string) {
	for _, from := range group {
		for _, to := range other {
			n.Cut(from, to)
		}
	}
}

// Heal restores all links that were cut.
func (n *Network[M]) Heal() { clear(n.cut) }

// Connected reports whether the link from one host to another is not cut.
func (n *Network[M]) Connected(from, to string) bool { return !n.cut[link{from, to}] }

// Send sends a message at the time now.
func (n *Network[M]) Send(now time.Duration, from, to string, m M) {
	n.stats.Sent++
	c := n.conditions(from, to)
	if n.cut[link{from, to}] || n.rng.Float64() < c.Loss {
		n.stats.Lost++
		return
	}
	n.enqueue(now, c, Delivery[M]{From: from, To: to, Message: m})
	if n.rng.Float64() < c.Duplicate {
		n.stats.Duplicated++
		n.enqueue(now, c, Delivery[M]{From: from, To: to, Message: m})
	}
}

func (n *Network[M]) conditions(from, to string) Conditions {
	if c, ok := n.links[link{from, to}]; ok {
		return c
	}
	return n.defaults
}

func (n *Network[M]) enqueue(now time.Duration, c Conditions, d Delivery[M]) {
	d.At = now + c.MinDelay
	if c.MaxDelay > c.MinDelay {
		d.At += time.Duration(n.rng.Int64N(int64(c.MaxDelay - c.MinDelay + 1)))
	}
	n.sequence++
	n.queue.Push(queued[M]{delivery: d, sequence: n.sequence})
}

// Next returns the time of the next delivery, if there is any.
func (n *Network[M]) Next() (at time.Duration, ok bool) {
	first, ok := n.queue.First()
	return first.delivery.At, ok
}

// Deliver removes and returns the next message if it arrives no later than now.
func (n *Network[M]) Deliver(now time.Duration) (d Delivery[M], ok bool) {
	at, ok := n.Next()
	if !ok || at > now {
		return d, false
	}
	n.stats.Delivered++
	next, _ := n.queue.Pop()
	return next.delivery, true
}

// Discard drops the messages in transit to a host, as if its connections were
// closed.
func (n *Network[M]) Discard(to string) {
	lost := n.queue.RemoveIf(func(q queued[M]) bool { return q.delivery.To == to })
	n.stats.Lost += uint64(lost)
}

// Stats returns the message counters.
func (n *Network[M]) Stats() Stats { return n.stats }
