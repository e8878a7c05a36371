package registry_test

import (
	"fmt"
	"reflect"
	"slices"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"pgregory.net/rapid"

	"cranberrydrum.dev/coord/registry"
)

const (
	hosts    = 3
	servers  = 3
	maxDelay = 200 * time.Millisecond
	ttl      = 500 * time.Millisecond
)

var bounds = registry.Config{
	MaxEntries:         10,
	MaxPayloadBytes:    64,
	MaxTTL:             ttl,
	TombstoneRetention: ttl + hosts*maxDelay,
}

type message struct {
	to   int
	sent time.Duration
	data []byte
}

// seen is what a host has shown about an id.
type seen struct {
	newest registry.Version
	dead   bool
}

// machine runs several registries with different clocks over a network that
// loses, repeats, delays and reorders messages.
type machine struct {
	now      time.Duration
	hosts    [hosts]*registry.Registry
	seen     [hosts]map[string]seen
	revision [hosts]uint64
	network  []message
	truth    map[string]registry.Entry
	// born is when each announcement was made.
	born map[registry.Version]time.Duration
}

func newMachine() *machine {
	m := &machine{truth: map[string]registry.Entry{}, born: map[registry.Version]time.Duration{}}
	for i := range m.hosts {
		m.hosts[i] = registry.New(bounds)
		m.seen[i] = map[string]seen{}
	}
	return m
}

// local is the clock of a host.
func (m *machine) local(host int) time.Duration {
	return m.now + time.Duration(host)*time.Hour
}

func (m *machine) announce(t *rapid.T) {
	id := fmt.Sprintf("server-%d", rapid.IntRange(1, servers).Draw(t, "server"))
	e := m.truth[id]
	e.ID, e.TTL = id, ttl
	e.Sequence++
	if e.Incarnation == 0 || rapid.IntRange(0, 3).Draw(t, "restart") == 0 {
		e.Incarnation++
		e.Sequence = uint64(rapid.IntRange(0, 2).Draw(t, "first sequence"))
		e.State = registry.Up
	}
	e.State = max(e.State, registry.State(rapid.IntRange(1, 3).Draw(t, "state")))
	e.Payload = []byte(fmt.Sprintf("payload %d", e.Incarnation))
	m.truth[id] = e
	copies := []registry.Entry{e}
	if e.State != registry.Up && rapid.Bool().Draw(t, "late up") {
		late := e
		late.State = registry.Up
		late.Sequence += 5
		copies = append(copies, late)
	}
	for _, c := range copies {
		m.born[c.Version()] = m.now
	}
	m.send(t, rapid.IntRange(0, hosts-1).Draw(t, "host"), copies)
}

func (m *machine) send(t *rapid.T, to int, entries []registry.Entry) {
	data, err := msgpack.Marshal(entries)
	if err != nil {
		t.Fatalf("encode: %v", err)
	}
	bound := 5
	for _, e := range entries {
		bound += e.EncodedBytes()
	}
	if len(data) > bound {
		t.Fatalf("%d encoded bytes, bound %d", len(data), bound)
	}
	m.network = append(m.network, message{to: to, sent: m.now, data: data})
}

// deliver takes any message, so that messages are reordered; it may lose or
// repeat it.
func (m *machine) deliver(t *rapid.T) {
	if len(m.network) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.network)-1).Draw(t, "message")
	msg := m.network[i]
	if rapid.IntRange(0, 3).Draw(t, "repeat") > 0 {
		m.network = slices.Delete(m.network, i, i+1)
	}
	if m.now-msg.sent > maxDelay || rapid.IntRange(0, 4).Draw(t, "lose") == 0 {
		return
	}
	m.receive(t, msg)
}

func (m *machine) receive(t *rapid.T, msg message) {
	var entries []registry.Entry
	if err := msgpack.Unmarshal(msg.data, &entries); err != nil {
		t.Fatalf("decode: %v", err)
	}
	if got := m.hosts[msg.to].Merge(m.local(msg.to), entries); got.Rejected > 0 {
		t.Fatalf("rejected valid entries: %+v", got)
	}
}

// gossip sends a delta against the digest of another host.
func (m *machine) gossip(t *rapid.T) {
	from := rapid.IntRange(0, hosts-1).Draw(t, "from")
	to := (from + rapid.IntRange(1, hosts-1).Draw(t, "to")) % hosts
	limit := rapid.IntRange(70, 400).Draw(t, "bytes")
	entries, _ := m.hosts[from].Delta(m.local(from), m.hosts[to].Digest(), limit)
	m.send(t, to, entries)
}

// push sends what changed since the last push to everyone.
func (m *machine) push(t *rapid.T) {
	from := rapid.IntRange(0, hosts-1).Draw(t, "from")
	changes, revision := m.hosts[from].Changes(m.local(from), m.revision[from])
	m.revision[from] = revision
	var entries []registry.Entry
	for _, c := range changes {
		if c.State == registry.Left || !c.Expired {
			entries = append(entries, c.Entry)
		}
	}
	for to := range m.hosts {
		if to != from {
			m.send(t, to, entries)
		}
	}
}

func (m *machine) pass(t *rapid.T) {
	m.now += time.Duration(rapid.IntRange(0, 150).Draw(t, "time")) * time.Millisecond
	host := rapid.IntRange(0, hosts-1).Draw(t, "host")
	for _, e := range m.hosts[host].Expire(m.local(host)) {
		if e.Age <= e.TTL {
			t.Fatalf("%s expired at age %v", e.ID, e.Age)
		}
	}
}

// check verifies on each host that versions never go back, that what was dead
// stays dead until a newer version arrives, and that ages are right, so that
// nothing outlives its announcement by more than time to live and transit.
func (m *machine) check(t *rapid.T) {
	for h, r := range m.hosts {
		for _, v := range r.Digest() {
			old := m.seen[h][v.ID]
			if old.newest.ID != "" && v.Compare(old.newest) < 0 {
				t.Fatalf("host %d: %v after %v", h, v, old.newest)
			}
			e, live := r.Get(m.local(h), v.ID)
			if live && old.dead && v.Compare(old.newest) <= 0 {
				t.Fatalf("host %d: %v is live again", h, v)
			}
			// Copies look too young by their time in transit only, and too old
			// by a rounded millisecond for each hop only.
			hidden := m.now - m.born[v] - e.Age
			if live && (hidden > hosts*maxDelay || hidden < -hosts*time.Millisecond) {
				t.Fatalf("host %d: %v has age %v, announced %v ago", h, v, e.Age, m.now-m.born[v])
			}
			m.seen[h][v.ID] = seen{newest: v, dead: !live}
		}
	}
}

// converge announces every server once more and exchanges deltas without
// faults. All hosts must then hold the last announcement of each server.
func (m *machine) converge(t *rapid.T) {
	for i := 1; i <= servers; i++ {
		id := fmt.Sprintf("server-%d", i)
		if e, ok := m.truth[id]; ok {
			e.Sequence += 10
			m.truth[id] = e
			m.hosts[i%hosts].Merge(m.local(i%hosts), []registry.Entry{e})
		}
	}
	for range hosts {
		for from := range hosts {
			to := (from + 1) % hosts
			entries, _ := m.hosts[from].Delta(m.local(from), m.hosts[to].Digest(), 1<<20)
			m.hosts[to].Merge(m.local(to), entries)
		}
	}
	for h := range hosts {
		for id, want := range m.truth {
			got, live := m.hosts[h].Get(m.local(h), id)
			if live != (want.State != registry.Left) {
				t.Fatalf("host %d: %s live %v, state %v", h, id, live, want.State)
			}
			got.Age = 0
			if live && !reflect.DeepEqual(got, want) {
				t.Fatalf("host %d: got %+v, want %+v", h, got, want)
			}
		}
	}
}

// Guards against servers that come back after leaving, entries kept alive by
// circulating copies, and hosts that disagree for good.
func TestRegistriesConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine()
		t.Repeat(map[string]func(*rapid.T){
			"announce": m.announce,
			"deliver":  m.deliver,
			"receive":  m.deliver,
			"gossip":   m.gossip,
			"push":     m.push,
			"pass":     m.pass,
			"":         m.check,
		})
		m.converge(t)
	})
}
