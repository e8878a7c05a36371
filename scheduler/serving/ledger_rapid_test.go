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

// ledgerHost is one host of the simulated failure domain. Its clock has its own
// origin and rate.
type ledgerHost struct {
	name         string
	ledger       *serving.SlotLedger
	incarnation  uint64
	origin       time.Duration
	rate         float64
	own          int
	ownRunning   int
	leases       []serving.Lease
	leaseRunning map[string]int
	// overrun is how long more attempts have run than the share allows after it
	// became smaller.
	overrun time.Duration
}

// longestAttempt is the longest attempt timeout that DefaultShareDelay covers.
const longestAttempt = 10 * time.Second

type ledgerMessage struct {
	to    string
	due   time.Duration
	event serving.LedgerEvent
}

type ledgerSimulation struct {
	now            time.Duration
	hosts          []*ledgerHost
	hostNames      []string
	hostsChangedAt time.Duration
	messages       []ledgerMessage
	lendCount      int
}

func newLedgerSimulation(t *rapid.T) *ledgerSimulation {
	n := &ledgerSimulation{hostsChangedAt: -time.Hour}
	for i := range 3 {
		n.hostNames = append(n.hostNames, fmt.Sprintf("host-%d", i))
	}
	for i, name := range n.hostNames {
		h := &ledgerHost{name: name, origin: time.Duration(i) * 1000 * time.Hour, rate: 1 + 0.01*float64(i-1)}
		n.hosts = append(n.hosts, h)
		n.start(t, h)
	}
	return n
}

func (h *ledgerHost) clock(now time.Duration) time.Duration {
	return h.origin + time.Duration(float64(now)*h.rate)
}

func (n *ledgerSimulation) start(t *rapid.T, h *ledgerHost) {
	h.incarnation++
	h.own, h.ownRunning, h.leases, h.leaseRunning = 0, 0, nil, map[string]int{}
	cfg := serving.LedgerConfig{Self: h.name, Hosts: n.hostNames, Incarnation: h.incarnation}
	if n.now-n.hostsChangedAt < serving.DefaultShareDelay {
		cfg.ShareFrom = h.clock(n.now) + 2*serving.DefaultShareDelay
	}
	h.ledger = serving.NewSlotLedger(h.clock(n.now), cfg)
	n.step(t, h, serving.ExecutorSlots{Executor: ledgerExecutor, Slots: ledgerSlots})
}

func (n *ledgerSimulation) step(t *rapid.T, h *ledgerHost, ev serving.LedgerEvent) {
	for _, effect := range h.ledger.Step(h.clock(n.now), ev) {
		switch effect := effect.(type) {
		case serving.SlotsChanged:
			h.own, h.leases = effect.Update.Own, effect.Update.Leases
		case serving.RequestSlots:
			n.sendMessage(t, effect.To, serving.SlotsRequested{From: h.name, Executor: effect.Executor, Count: effect.Count, Lease: effect.Lease, Waiting: effect.Waiting, Sequence: effect.Sequence})
		case serving.LendSlots:
			n.lendCount++
			n.sendMessage(t, effect.To, serving.SlotsLent{From: h.name, Executor: effect.Executor, Lease: effect.Lease, Count: effect.Count, Duration: effect.Duration, Sequence: effect.Sequence})
		case serving.ReturnSlots:
			n.sendMessage(t, effect.To, serving.SlotsReturned{From: h.name, Executor: effect.Executor, Lease: effect.Lease})
		}
	}
	n.check(t)
}

// sendMessage sends a message that may be lost, delayed or repeated.
func (n *ledgerSimulation) sendMessage(t *rapid.T, to string, ev serving.LedgerEvent) {
	copyCount := rapid.SampledFrom([]int{1, 1, 1, 1, 2, 0}).Draw(t, "copies")
	for range copyCount {
		delay := rapid.SampledFrom([]int{1, 5, 100, 1500, 7000}).Draw(t, "delay")
		n.messages = append(n.messages, ledgerMessage{to: to, due: n.now + time.Duration(delay)*time.Millisecond, event: ev})
	}
}

// check compares the slots that all hosts use, and those they may use, with the
// slots of the executor.
func (n *ledgerSimulation) check(t *rapid.T) {
	running, allowed := 0, 0
	for _, h := range n.hosts {
		running += h.ownRunning
		allowed += max(h.own, h.ownRunning)
		for _, l := range h.leases {
			if l.Until > h.clock(n.now) {
				running += h.leaseRunning[l.ID]
				allowed += l.Count
			}
		}
	}
	if running > ledgerSlots || (allowed > ledgerSlots && n.now-n.hostsChangedAt > serving.DefaultShareDelay) {
		t.Fatalf("at %v: %d slots in use, %d usable, of %d", n.now, running, allowed, ledgerSlots)
	}
}

func (n *ledgerSimulation) advance(t *rapid.T, by time.Duration) {
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
		h.overrun = 0
		return
	}
	h.overrun += interval
	if h.overrun >= longestAttempt {
		h.ownRunning = h.own
	}
}

func (n *ledgerSimulation) deliver(t *rapid.T) {
	pending := n.messages
	n.messages = nil
	for _, m := range pending {
		if m.due > n.now {
			n.messages = append(n.messages, m)
			continue
		}
		h := n.host(m.to)
		if request, isRequest := m.event.(serving.SlotsRequested); isRequest {
			request.OwnRunning = h.ownRunning
			m.event = request
		}
		n.step(t, h, m.event)
	}
}

func (n *ledgerSimulation) host(name string) *ledgerHost {
	for _, h := range n.hosts {
		if h.name == name {
			return h
		}
	}
	return nil
}

func (n *ledgerSimulation) anyHost(t *rapid.T) *ledgerHost {
	return n.hosts[rapid.IntRange(0, len(n.hosts)-1).Draw(t, "host")]
}

// changeUse changes the number of attempts that a host runs, within its slots,
// and reports it.
func (n *ledgerSimulation) changeUse(t *rapid.T) {
	h := n.anyHost(t)
	if h.ownRunning <= h.own {
		h.ownRunning = rapid.IntRange(0, h.own).Draw(t, "running")
	} else {
		h.ownRunning--
	}
	for _, l := range h.leases {
		h.leaseRunning[l.ID] = rapid.SampledFrom([]int{0, l.Count}).Draw(t, "busy")
	}
	wanted := rapid.IntRange(0, 3).Draw(t, "wanted")
	waiting := rapid.SampledFrom([]structs.Class{"", structs.ClassUrgent, structs.ClassNormal, structs.ClassBulk}).Draw(t, "waiting")
	n.step(t, h, serving.SlotUseReported{Use: []serving.SlotUse{{Executor: ledgerExecutor, OwnRunning: h.ownRunning, Leases: h.leaseRunning, Wanted: wanted, Waiting: waiting}}})
}

// changeHosts changes the list of hosts that share the slots. All hosts receive
// the change within 3 s.
func (n *ledgerSimulation) changeHosts(t *rapid.T) {
	all := []string{"host-0", "host-1", "host-2"}
	n.hostNames = all[:rapid.IntRange(1, 3).Draw(t, "hosts")]
	n.hostsChangedAt = n.now
	for _, h := range n.hosts {
		delay := time.Duration(rapid.IntRange(0, 3000).Draw(t, "delay")) * time.Millisecond
		n.messages = append(n.messages, ledgerMessage{to: h.name, due: n.now + delay, event: serving.HostsChanged{Hosts: n.hostNames}})
	}
}

// TestSlotLedgerNeverExceedsTotal guards against two hosts using the same slot when
// messages are lost, delayed or repeated, clocks drift, hosts restart, or the list
// of hosts changes.
func TestSlotLedgerNeverExceedsTotal(t *testing.T) {
	lent := 0
	rapid.Check(t, func(t *rapid.T) {
		n := newLedgerSimulation(t)
		n.advance(t, 7*time.Second)
		t.Repeat(map[string]func(*rapid.T){
			"use": n.changeUse, "use2": n.changeUse, "use3": n.changeUse, "use4": n.changeUse,
			"advance": func(t *rapid.T) {
				n.advance(t, time.Duration(rapid.IntRange(1, 2000).Draw(t, "ms"))*time.Millisecond)
			},
			"restart": func(t *rapid.T) {
				if rapid.IntRange(0, 3).Draw(t, "really") == 0 {
					n.start(t, n.anyHost(t))
				}
			},
			"hosts": func(t *rapid.T) {
				if rapid.IntRange(0, 9).Draw(t, "really") == 0 && n.now-n.hostsChangedAt > 2*serving.DefaultShareDelay {
					n.changeHosts(t)
				}
			},
		})
		lent += n.lendCount
	})
	if lent == 0 {
		t.Fatal("no slot was lent in any run")
	}
}
