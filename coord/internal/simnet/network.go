package simnet

import (
	"container/heap"
	"math/rand/v2"
	"time"
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

// Network carries messages of type M between hosts. All times are true times,
// in contrast to the readings of the hosts' clocks.
type Network[M any] struct {
	rand     *rand.Rand
	standard Conditions
	links    map[link]Conditions
	cut      map[link]bool
	queue    deliveryQueue[M]
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
	heap.Push(&n.queue, queued[M]{delivery: d, sequence: n.sequence})
}

// Next returns the time of the next delivery, if there is any.
func (n *Network[M]) Next() (at time.Duration, ok bool) {
	if len(n.queue) == 0 {
		return 0, false
	}
	return n.queue[0].delivery.At, true
}

// Deliver removes and returns the next message that arrives until now.
func (n *Network[M]) Deliver(now time.Duration) (d Delivery[M], ok bool) {
	at, ok := n.Next()
	if !ok || at > now {
		return d, false
	}
	n.stats.Delivered++
	return heap.Pop(&n.queue).(queued[M]).delivery, true
}

// Discard removes the messages on their way to a host, as when its
// connections break.
func (n *Network[M]) Discard(to string) {
	kept := n.queue[:0]
	for _, q := range n.queue {
		if q.delivery.To != to {
			kept = append(kept, q)
		}
	}
	n.stats.Lost += uint64(len(n.queue) - len(kept))
	n.queue = kept
	heap.Init(&n.queue)
}

// Stats returns the counters.
func (n *Network[M]) Stats() Stats { return n.stats }
