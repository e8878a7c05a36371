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

// TestMain sets the seed and the number of rapid checks, unless the command
// line sets them.
func TestMain(m *testing.M) {
	testflags.SetDefaults(map[string]string{"rapid.seed": "1", "rapid.checks": "1000"})
	os.Exit(m.Run())
}

// machine drives a Table with random calls and compares it with a model, which
// is a map of the leases.
type machine struct {
	table     *lease.Table
	now       time.Duration
	held      map[string]lease.Lease
	lastToken uint64
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
		t.Fatalf("grant to %s: error %v, already held %v", holder, err, held)
	}
	if err != nil {
		return
	}
	if l.Token <= m.lastToken || l.Expires != m.now+d {
		t.Fatalf("granted %+v after token %d, want a greater token and expiry at now plus duration", l, m.lastToken)
	}
	m.held[holder] = l
	m.lastToken = l.Token
}

func (m *machine) adopt(t *rapid.T) {
	holder, d := m.holder(t), m.duration(t)
	token := rapid.Uint64Range(1, m.lastToken+3).Draw(t, "token")
	_, held := m.held[holder]
	l, err := m.table.Adopt(m.now, holder, token, d)
	if (err != nil) != held {
		t.Fatalf("adopt lease of %s: error %v, already held %v", holder, err, held)
	}
	if err == nil {
		m.held[holder] = l
		m.lastToken = max(m.lastToken, token)
	}
}

func (m *machine) renew(t *rapid.T) {
	holder, d := m.holder(t), m.duration(t)
	token := m.token(t, holder)
	old, held := m.held[holder]
	want := held && old.Token == token && old.Expires >= m.now
	l, err := m.table.Renew(m.now, holder, token, d)
	if (err == nil) != want {
		t.Fatalf("renew lease of %s: error %v, want success %v", holder, err, want)
	}
	if err == nil {
		old.Expires = max(old.Expires, m.now+d)
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
		t.Fatalf("release lease of %s: error %v, want success %v", holder, err, want)
	}
	if want {
		delete(m.held, holder)
	}
}

func (m *machine) expire(t *rapid.T) {
	m.now += m.duration(t)
	var want []lease.Lease
	for holder, l := range m.held {
		if l.Expires < m.now {
			want = append(want, l)
			delete(m.held, holder)
		}
	}
	sort.Slice(want, func(i, j int) bool {
		return want[i].Expires < want[j].Expires || want[i].Expires == want[j].Expires && want[i].Holder < want[j].Holder
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
	if m.table.Len() != len(m.held) || m.table.LastToken() != m.lastToken {
		t.Fatalf("%d leases and last token %d, want %d and %d", m.table.Len(), m.table.LastToken(), len(m.held), m.lastToken)
	}
	for holder, want := range m.held {
		if got, ok := m.table.Get(m.now, holder); ok != (want.Expires >= m.now) || ok && got != want {
			t.Fatalf("got lease %+v, valid %v, want %+v", got, ok, want)
		}
	}
}

// Guards against tokens that do not increase, renewals of expired leases, and
// expired leases that are missed or returned out of order.
func TestTableMatchesModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &machine{table: lease.New(lease.FirstToken(0)), held: map[string]lease.Lease{}}
		t.Repeat(map[string]func(*rapid.T){
			"grant": m.grant, "adopt": m.adopt, "renew": m.renew,
			"release": m.release, "expire": m.expire, "": m.check,
			"pass": func(t *rapid.T) { m.now += m.duration(t) },
		})
	})
}
