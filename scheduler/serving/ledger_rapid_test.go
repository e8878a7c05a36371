package serving_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cranberrydrum.dev/scheduler/serving"
	"cranberrydrum.dev/scheduler/structs"
)

const (
	ledgerExecutor = "executor-1"
	ledgerSlots    = 8
)

// ledgerHost is one host of the simulated failure domain. Its clock has an
// origin and a rate of its own.
type ledgerHost struct {
	name        string
	ledger      *serving.SlotLedger
	incarnation uint64
	origin      time.Duration
	rate        float64
	own         int
	ownRunning  int
	leases      []serving.Lease
	busy        map[string]int
	// over is how long attempts have run beyond a share that became smaller.
	over time.Duration
}

// longestAttempt is the attempt timeout that DefaultShareDelay allows for.
const longestAttempt = 10 * time.Second

type ledgerMessage struct {
	to    string
	due   time.Duration
	event serving.LedgerEvent
}

type ledgerNet struct {
	now      time.Duration
	hosts    []*ledgerHost
	names    []string
	changed  time.Duration
	messages []ledgerMessage
	lent     int
}

func newLedgerNet(t *rapid.T) *ledgerNet {
	n := &ledgerNet{changed: -time.Hour}
	for i := range 3 {
		n.names = append(n.names, fmt.Sprintf("host-%d", i))
	}
	for i, name := range n.names {
		h := &ledgerHost{name: name, origin: time.Duration(i) * 1000 * time.Hour, rate: 1 + 0.01*float64(i-1)}
		n.hosts = append(n.hosts, h)
		n.start(t, h)
	}
	return n
}

func (h *ledgerHost) clock(now time.Duration) time.Duration {
	return h.origin + time.Duration(float64(now)*h.rate)
}

func (n *ledgerNet) start(t *rapid.T, h *ledgerHost) {
	h.incarnation++
	h.own, h.ownRunning, h.leases, h.busy = 0, 0, nil, map[string]int{}
	cfg := serving.LedgerConfig{Self: h.name, Hosts: n.names, Incarnation: h.incarnation}
	if n.now-n.changed < serving.DefaultShareDelay {
		cfg.ShareFrom = h.clock(n.now) + 2*serving.DefaultShareDelay
	}
	h.ledger = serving.NewSlotLedger(h.clock(n.now), cfg)
	n.step(t, h, serving.ExecutorSlots{Executor: ledgerExecutor, Slots: ledgerSlots})
}

func (n *ledgerNet) step(t *rapid.T, h *ledgerHost, ev serving.LedgerEvent) {
	for _, effect := range h.ledger.Step(h.clock(n.now), ev) {
		switch effect := effect.(type) {
		case serving.SlotsChanged:
			h.own, h.leases = effect.Update.Own, effect.Update.Leases
		case serving.AskSlots:
			n.post(t, effect.To, serving.RequestSlots{From: h.name, Executor: effect.Executor, Count: effect.Count, Lease: effect.Lease, Waiting: effect.Waiting, Sequence: effect.Sequence})
		case serving.LendSlots:
			n.lent++
			n.post(t, effect.To, serving.Lend{From: h.name, Executor: effect.Executor, Lease: effect.Lease, Count: effect.Count, Duration: effect.Duration, Sequence: effect.Sequence})
		case serving.ReturnSlots:
			n.post(t, effect.To, serving.Return{From: h.name, Executor: effect.Executor, Lease: effect.Lease})
		}
	}
	n.check(t)
}

// post sends a message that may be lost, late or repeated.
func (n *ledgerNet) post(t *rapid.T, to string, ev serving.LedgerEvent) {
	copies := rapid.SampledFrom([]int{1, 1, 1, 1, 2, 0}).Draw(t, "copies")
	for range copies {
		delay := rapid.SampledFrom([]int{1, 5, 100, 1500, 7000}).Draw(t, "delay")
		n.messages = append(n.messages, ledgerMessage{to: to, due: n.now + time.Duration(delay)*time.Millisecond, event: ev})
	}
}

// check counts what all hosts run and what they would be allowed to run.
func (n *ledgerNet) check(t *rapid.T) {
	running, allowed := 0, 0
	for _, h := range n.hosts {
		running += h.ownRunning
		allowed += max(h.own, h.ownRunning)
		for _, l := range h.leases {
			if l.Until > h.clock(n.now) {
				running += h.busy[l.ID]
				allowed += l.Count
			}
		}
	}
	if running > ledgerSlots || (allowed > ledgerSlots && n.now-n.changed > serving.DefaultShareDelay) {
		t.Fatalf("at %v: %d slots in use, %d usable, of %d", n.now, running, allowed, ledgerSlots)
	}
}

func (n *ledgerNet) advance(t *rapid.T, by time.Duration) {
	const interval = 50 * time.Millisecond
	for end := n.now + by; n.now < end; {
		n.now += interval
		n.deliver(t)
		for _, h := range n.hosts {
			h.endLongAttempts(interval)
			n.step(t, h, serving.LedgerTick{})
		}
	}
}

func (h *ledgerHost) endLongAttempts(interval time.Duration) {
	if h.ownRunning <= h.own {
		h.over = 0
		return
	}
	h.over += interval
	if h.over >= longestAttempt {
		h.ownRunning = h.own
	}
}

func (n *ledgerNet) deliver(t *rapid.T) {
	pending := n.messages
	n.messages = nil
	for _, m := range pending {
		if m.due > n.now {
			n.messages = append(n.messages, m)
			continue
		}
		h := n.host(m.to)
		if ask, isAsk := m.event.(serving.RequestSlots); isAsk {
			ask.OwnRunning = h.ownRunning
			m.event = ask
		}
		n.step(t, h, m.event)
	}
}

func (n *ledgerNet) host(name string) *ledgerHost {
	for _, h := range n.hosts {
		if h.name == name {
			return h
		}
	}
	return nil
}

func (n *ledgerNet) anyHost(t *rapid.T) *ledgerHost {
	return n.hosts[rapid.IntRange(0, len(n.hosts)-1).Draw(t, "host")]
}

// use changes what a host runs, within what it may, and reports it.
func (n *ledgerNet) use(t *rapid.T) {
	h := n.anyHost(t)
	if h.ownRunning <= h.own {
		h.ownRunning = rapid.IntRange(0, h.own).Draw(t, "running")
	} else {
		h.ownRunning--
	}
	for _, l := range h.leases {
		h.busy[l.ID] = rapid.SampledFrom([]int{0, l.Count}).Draw(t, "busy")
	}
	wanted := rapid.IntRange(0, 3).Draw(t, "wanted")
	waiting := rapid.SampledFrom([]structs.Class{"", structs.ClassUrgent, structs.ClassNormal, structs.ClassBulk}).Draw(t, "waiting")
	n.step(t, h, serving.UseReported{Use: []serving.SlotUse{{Executor: ledgerExecutor, OwnRunning: h.ownRunning, Leases: h.busy, Wanted: wanted, Waiting: waiting}}})
}

// changeHosts removes or adds the last host of the division. The others learn
// of it within 3 s.
func (n *ledgerNet) changeHosts(t *rapid.T) {
	all := []string{"host-0", "host-1", "host-2"}
	n.names = all[:rapid.IntRange(1, 3).Draw(t, "hosts")]
	n.changed = n.now
	for _, h := range n.hosts {
		delay := time.Duration(rapid.IntRange(0, 3000).Draw(t, "delay")) * time.Millisecond
		n.messages = append(n.messages, ledgerMessage{to: h.name, due: n.now + delay, event: serving.HostsChanged{Hosts: n.names}})
	}
}

// TestSlotLedgerNeverExceedsTotal guards against two hosts using one slot under
// loss, delay, repetition, drifting clocks, restarts and changes of the hosts.
func TestSlotLedgerNeverExceedsTotal(t *testing.T) {
	lent := 0
	rapid.Check(t, func(t *rapid.T) {
		n := newLedgerNet(t)
		n.advance(t, 7*time.Second)
		t.Repeat(map[string]func(*rapid.T){
			"use": n.use, "use2": n.use, "use3": n.use, "use4": n.use,
			"advance": func(t *rapid.T) {
				n.advance(t, time.Duration(rapid.IntRange(1, 2000).Draw(t, "ms"))*time.Millisecond)
			},
			"restart": func(t *rapid.T) {
				if rapid.IntRange(0, 3).Draw(t, "really") == 0 {
					n.start(t, n.anyHost(t))
				}
			},
			"hosts": func(t *rapid.T) {
				if rapid.IntRange(0, 9).Draw(t, "really") == 0 && n.now-n.changed > 2*serving.DefaultShareDelay {
					n.changeHosts(t)
				}
			},
		})
		lent += n.lent
	})
	if lent == 0 {
		t.Fatal("the test never lent a slot")
	}
}
