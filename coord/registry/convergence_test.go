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

// observed is the state of an id on one host at the last check.
type observed struct {
	newest registry.Version
	ended  bool
}

// cluster runs several registries with different clocks. Its network loses,
// duplicates, delays and reorders messages.
type cluster struct {
	now      time.Duration
	hosts    [hosts]*registry.Registry
	observed [hosts]map[string]observed
	// revision is the revision up to which push has sent the changes of a host.
	revision [hosts]uint64
	// network holds the messages in transit.
	network []message
	// announced is the newest announcement of each server.
	announced map[string]registry.Entry
	// announcedAt is the time at which each announcement was made.
	announcedAt map[registry.Version]time.Duration
}

func newCluster() *cluster {
	m := &cluster{announced: map[string]registry.Entry{}, announcedAt: map[registry.Version]time.Duration{}}
	for i := range m.hosts {
		m.hosts[i] = registry.New(bounds)
		m.observed[i] = map[string]observed{}
	}
	return m
}

// localTime returns the time on the clock of a host. The clocks differ by an
// hour from host to host.
func (m *cluster) localTime(host int) time.Duration {
	return m.now + time.Duration(host)*time.Hour
}

// announce makes a new announcement of a server and sends it to one host. For a
// draining or left server it may add a late up announcement of the same
// incarnation with a higher sequence, which must have no effect.
func (m *cluster) announce(t *rapid.T) {
	id := fmt.Sprintf("server-%d", rapid.IntRange(1, servers).Draw(t, "server"))
	e := m.announced[id]
	e.ID, e.TTL = id, ttl
	e.Sequence++
	if e.Incarnation == 0 || rapid.IntRange(0, 3).Draw(t, "restart") == 0 {
		e.Incarnation++
		e.Sequence = uint64(rapid.IntRange(0, 2).Draw(t, "first sequence"))
		e.State = registry.Up
	}
	e.State = max(e.State, registry.State(rapid.IntRange(1, 3).Draw(t, "state")))
	e.Payload = []byte(fmt.Sprintf("payload %d", e.Incarnation))
	m.announced[id] = e
	copies := []registry.Entry{e}
	if e.State != registry.Up && rapid.Bool().Draw(t, "late up") {
		late := e
		late.State = registry.Up
		late.Sequence += 5
		copies = append(copies, late)
	}
	for _, c := range copies {
		m.announcedAt[c.Version()] = m.now
	}
	m.send(t, rapid.IntRange(0, hosts-1).Draw(t, "host"), copies)
}

func (m *cluster) send(t *rapid.T, to int, entries []registry.Entry) {
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

// deliver picks any message, so that messages are reordered. It may lose the
// message or leave it in the network for a second delivery.
func (m *cluster) deliver(t *rapid.T) {
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

func (m *cluster) receive(t *rapid.T, msg message) {
	var entries []registry.Entry
	if err := msgpack.Unmarshal(msg.data, &entries); err != nil {
		t.Fatalf("decode: %v", err)
	}
	if got := m.hosts[msg.to].Merge(m.localTime(msg.to), entries); got.Rejected > 0 {
		t.Fatalf("rejected valid entries: %+v", got)
	}
}

// gossip sends a host the entries that its digest lacks.
func (m *cluster) gossip(t *rapid.T) {
	from := rapid.IntRange(0, hosts-1).Draw(t, "from")
	to := (from + rapid.IntRange(1, hosts-1).Draw(t, "to")) % hosts
	limit := rapid.IntRange(70, 400).Draw(t, "bytes")
	entries, _ := m.hosts[from].Delta(m.localTime(from), m.hosts[to].Digest(), limit)
	m.send(t, to, entries)
}

// push sends the entries changed since the last push to all other hosts.
func (m *cluster) push(t *rapid.T) {
	from := rapid.IntRange(0, hosts-1).Draw(t, "from")
	changes, revision := m.hosts[from].Changes(m.localTime(from), m.revision[from])
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

// advance moves time forward and expires entries on one host.
func (m *cluster) advance(t *rapid.T) {
	m.now += time.Duration(rapid.IntRange(0, 150).Draw(t, "time")) * time.Millisecond
	host := rapid.IntRange(0, hosts-1).Draw(t, "host")
	for _, e := range m.hosts[host].Expire(m.localTime(host)) {
		if e.Age <= e.TTL {
			t.Fatalf("%s expired at age %v", e.ID, e.Age)
		}
	}
}

// checkInvariants verifies on each host that versions never go back, that an
// expired or left entry becomes live again only with a newer version, and that
// ages are right, so that no entry stays live for longer than its time to live
// plus the time in transit.
func (m *cluster) checkInvariants(t *rapid.T) {
	for h, r := range m.hosts {
		for _, v := range r.Digest() {
			old := m.observed[h][v.ID]
			if old.newest.ID != "" && v.Compare(old.newest) < 0 {
				t.Fatalf("host %d: %v after %v", h, v, old.newest)
			}
			e, live := r.Get(m.localTime(h), v.ID)
			if live && old.ended && v.Compare(old.newest) <= 0 {
				t.Fatalf("host %d: %v is live again", h, v)
			}
			// The age of a copy may be too small by its time in transit, and
			// too large by one millisecond of rounding for each hop.
			missingAge := m.now - m.announcedAt[v] - e.Age
			if live && (missingAge > hosts*maxDelay || missingAge < -hosts*time.Millisecond) {
				t.Fatalf("host %d: %v has age %v, announced %v ago", h, v, e.Age, m.now-m.announcedAt[v])
			}
			m.observed[h][v.ID] = observed{newest: v, ended: !live}
		}
	}
}

// checkConvergence announces every server once more and exchanges deltas
// without faults. All hosts must then hold the last announcement of each
// server.
func (m *cluster) checkConvergence(t *rapid.T) {
	for i := 1; i <= servers; i++ {
		id := fmt.Sprintf("server-%d", i)
		if e, ok := m.announced[id]; ok {
			e.Sequence += 10
			m.announced[id] = e
			m.hosts[i%hosts].Merge(m.localTime(i%hosts), []registry.Entry{e})
		}
	}
	for range hosts {
		for from := range hosts {
			to := (from + 1) % hosts
			entries, _ := m.hosts[from].Delta(m.localTime(from), m.hosts[to].Digest(), 1<<20)
			m.hosts[to].Merge(m.localTime(to), entries)
		}
	}
	for h := range hosts {
		for id, want := range m.announced {
			got, live := m.hosts[h].Get(m.localTime(h), id)
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

// Guards against servers that become live again after leaving, entries that
// circulating copies keep alive past their time to live, and hosts that never
// agree.
func TestRegistriesConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newCluster()
		t.Repeat(map[string]func(*rapid.T){
			"announce":  m.announce,
			"deliver":   m.deliver,
			"receive":   m.deliver,
			"gossip":    m.gossip,
			"push":      m.push,
			"pass time": m.advance,
			"":          m.checkInvariants,
		})
		m.checkConvergence(t)
	})
}
