package simnet

import (
	"math/rand/v2"
	"time"

	"cranberrydrum.dev/coord/pqueue"
)

// seedStream separates the random numbers of the network from those of other
// users of the same seed.
const seedStream = 0x5eed

// Conditions are the properties of a link in one direction.
type Conditions struct {
	// MinDelay and MaxDelay bound the delay, which is uniformly distributed
	// between them. Messages are reordered if their delays differ enough.
	MinDelay, MaxDelay time.Duration
	// Loss and Duplicate are probabilities between 0 and 1.
	Loss, Duplicate float64
}

// Delivery is a message that arrives.
type Delivery[M any] struct {
	At       time.Duration
	From, To string
	Message  M
}

// Stats counts messages since the network was created.
type Stats struct{ Sent, Lost, Duplicated, Delivered uint64 }

type link struct{ from, to string }

// queued is a delivery with its number, which orders those of one time.
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
// in contrast to the readings of the hosts' clocks.
type Network[M any] struct {
	rand     *rand.Rand
	standard Conditions
	links    map[link]Conditions
	cut      map[link]bool
	queue    *pqueue.Queue[queued[M]]
	sequence uint64
	stats    Stats
}

// New returns a network in which all links have the given conditions.
func New[M any](seed uint64, standard Conditions) *Network[M] {
	return &Network[M]{
		rand:     rand.New(rand.NewPCG(seed, seedStream)),
		standard: standard,
		links:    map[link]Conditions{},
		cut:      map[link]bool{},
		queue:    pqueue.New(queued[M].arrivesBefore, nil),
	}
}

// SetConditions changes the conditions of all links without own ones.
func (n *Network[M]) SetConditions(c Conditions) { n.standard = c }

// SetLink changes the conditions from one host to another.
func (n *Network[M]) SetLink(from, to string, c Conditions) { n.links[link{from, to}] = c }

// ResetLinks removes the conditions set by SetLink.
func (n *Network[M]) ResetLinks() { clear(n.links) }

// Cut drops messages from one host to another until Heal. Messages that are
// on their way still arrive.
func (n *Network[M]) Cut(from, to string) { n.cut[link{from, to}] = true }

// Partition cuts the links, in both directions, between hosts of different
// groups. Links within a group are not changed.
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

// Connected reports whether messages pass from one host to another.
func (n *Network[M]) Connected(from, to string) bool { return !n.cut[link{from, to}] }

// Send hands a message to the network at the time now.
func (n *Network[M]) Send(now time.Duration, from, to string, m M) {
	n.stats.Sent++
	c := n.conditions(from, to)
	if n.cut[link{from, to}] || n.rand.Float64() < c.Loss {
		n.stats.Lost++
		return
	}
	n.enqueue(now, c, Delivery[M]{From: from, To: to, Message: m})
	if n.rand.Float64() < c.Duplicate {
		n.stats.Duplicated++
		n.enqueue(now, c, Delivery[M]{From: from, To: to, Message: m})
	}
}

func (n *Network[M]) conditions(from, to string) Conditions {
	if c, ok := n.links[link{from, to}]; ok {
		return c
	}
	return n.standard
}

func (n *Network[M]) enqueue(now time.Duration, c Conditions, d Delivery[M]) {
	d.At = now + c.MinDelay
	if c.MaxDelay > c.MinDelay {
		d.At += time.Duration(n.rand.Int64N(int64(c.MaxDelay - c.MinDelay + 1)))
	}
	n.sequence++
	n.queue.Push(queued[M]{delivery: d, sequence: n.sequence})
}

// Next returns the time of the next delivery, if there is any.
func (n *Network[M]) Next() (at time.Duration, ok bool) {
	first, ok := n.queue.First()
	return first.delivery.At, ok
}

// Deliver removes and returns the next message that arrives until now.
func (n *Network[M]) Deliver(now time.Duration) (d Delivery[M], ok bool) {
	at, ok := n.Next()
	if !ok || at > now {
		return d, false
	}
	n.stats.Delivered++
	next, _ := n.queue.Pop()
	return next.delivery, true
}

// Discard removes the messages on their way to a host, as when its
// connections break.
func (n *Network[M]) Discard(to string) {
	lost := n.queue.RemoveIf(func(q queued[M]) bool { return q.delivery.To == to })
	n.stats.Lost += uint64(lost)
}

// Stats returns the counters.
func (n *Network[M]) Stats() Stats { return n.stats }
