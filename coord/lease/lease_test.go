package lease_test

import (
	"os"
	"sort"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cranberrydrum.dev/coord/lease"
	"cranberrydrum.dev/coord/testflags"
)

// TestMain fixes the seed and the number of runs of the stateful tests unless
// they are given on the command line.
func TestMain(m *testing.M) {
	testflags.SetDefaults(map[string]string{"rapid.seed": "1", "rapid.checks": "1000"})
	os.Exit(m.Run())
}

type machine struct {
	table *lease.Table
	now   time.Duration
	held  map[string]lease.Lease
	last  uint64
}

func (m *machine) holder(t *rapid.T) string {
	return rapid.SampledFrom([]string{"a", "b", "c", "d", "e"}).Draw(t, "holder")
}

func (m *machine) duration(t *rapid.T) time.Duration {
	return time.Duration(rapid.IntRange(0, 50).Draw(t, "duration"))
}

func (m *machine) token(t *rapid.T, holder string) uint64 {
	return m.held[holder].Token + rapid.SampledFrom([]uint64{0, 0, 0, 1}).Draw(t, "wrong token")
}

func (m *machine) grant(t *rapid.T) {
	holder, d := m.holder(t), m.duration(t)
	_, held := m.held[holder]
	l, err := m.table.Grant(m.now, holder, d)
	if (err != nil) != held {
		t.Fatalf("grant to %s: %v, held %v", holder, err, held)
	}
	if err != nil {
		return
	}
	if l.Token <= m.last || l.Ends != m.now+d {
		t.Fatalf("granted %+v after token %d", l, m.last)
	}
	m.held[holder] = l
	m.last = l.Token
}

func (m *machine) adopt(t *rapid.T) {
	holder, d := m.holder(t), m.duration(t)
	token := rapid.Uint64Range(1, m.last+3).Draw(t, "token")
	_, held := m.held[holder]
	l, err := m.table.Adopt(m.now, holder, token, d)
	if (err != nil) != held {
		t.Fatalf("adopt %s: %v, held %v", holder, err, held)
	}
	if err == nil {
		m.held[holder] = l
		m.last = max(m.last, token)
	}
}

func (m *machine) renew(t *rapid.T) {
	holder, d := m.holder(t), m.duration(t)
	token := m.token(t, holder)
	old, held := m.held[holder]
	want := held && old.Token == token && old.Ends >= m.now
	l, err := m.table.Renew(m.now, holder, token, d)
	if (err == nil) != want {
		t.Fatalf("renew %s: %v, want success %v", holder, err, want)
	}
	if err == nil {
		old.Ends = max(old.Ends, m.now+d)
		if l != old {
			t.Fatalf("renewed %+v, want %+v", l, old)
		}
		m.held[holder] = l
	}
}

func (m *machine) release(t *rapid.T) {
	holder := m.holder(t)
	token := m.token(t, holder)
	old, held := m.held[holder]
	want := held && old.Token == token
	if err := m.table.Release(holder, token); (err == nil) != want {
		t.Fatalf("release %s: %v, want success %v", holder, err, want)
	}
	if want {
		delete(m.held, holder)
	}
}

func (m *machine) expire(t *rapid.T) {
	m.now += m.duration(t)
	var want []lease.Lease
	for holder, l := range m.held {
		if l.Ends < m.now {
			want = append(want, l)
			delete(m.held, holder)
		}
	}
	sort.Slice(want, func(i, j int) bool {
		return want[i].Ends < want[j].Ends || want[i].Ends == want[j].Ends && want[i].Holder < want[j].Holder
	})
	got := m.table.Expired(m.now)
	if len(got) != len(want) {
		t.Fatalf("expired %v, want %v", got, want)
	}
	for i := range got {
		if got[i] != want[i] {
			t.Fatalf("expired %v, want %v", got, want)
		}
	}
}

func (m *machine) check(t *rapid.T) {
	if m.table.Len() != len(m.held) || m.table.LastToken() != m.last {
		t.Fatalf("%d leases and token %d, want %d and %d", m.table.Len(), m.table.LastToken(), len(m.held), m.last)
	}
	for holder, want := range m.held {
		if got, ok := m.table.Get(m.now, holder); ok != (want.Ends >= m.now) || ok && got != want {
			t.Fatalf("got %+v %v, want %+v", got, ok, want)
		}
	}
}

// Guards against tokens that do not grow, renewals of ended leases and missed
// or unordered expiry.
func TestTableMatchesOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &machine{table: lease.New(lease.FirstToken(0)), held: map[string]lease.Lease{}}
		t.Repeat(map[string]func(*rapid.T){
			"grant": m.grant, "adopt": m.adopt, "renew": m.renew,
			"release": m.release, "expire": m.expire, "": m.check,
			"pass": func(t *rapid.T) { m.now += m.duration(t) },
		})
	})
}
