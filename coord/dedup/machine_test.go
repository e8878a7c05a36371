package dedup_test

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cranberrydrum.dev/coord/dedup"
)

var bounds = dedup.Config{
	MaxKeys:          4,
	MaxRecords:       5,
	MaxBytes:         3000,
	MaxResponseBytes: 1500,
	Retention:        100 * time.Millisecond,
	ExpiredRetention: 200 * time.Millisecond,
}

// fact is what the oracle knows about a key that was sent.
type fact struct {
	digest  dedup.Digest
	term    uint64
	token   string
	changed time.Duration
	outcome dedup.Outcome
}

// free reports whether the key may be sent again, because nothing has run.
func (f fact) free(digest dedup.Digest) bool {
	return f.outcome.Kind == dedup.NotRun && f.digest == digest
}

// machine compares a table with a map that forgets nothing. Dead keys are
// those that must never be sent again.
type machine struct {
	table *dedup.Table
	now   time.Duration
	fence uint64
	facts map[string]fact
	keys  []string
	sends int
}

func (m *machine) live(key string) (fact, bool) {
	f, ok := m.facts[key]
	return f, ok && m.now-f.changed <= bounds.Retention
}

// counts returns the numbers of full and compact records that must exist.
func (m *machine) counts() (full, compact int) {
	for key, f := range m.facts {
		_, issued := dedup.IssueTime(key)
		switch age := m.now - f.changed; {
		case age <= bounds.Retention:
			full++
		case age <= bounds.Retention+bounds.ExpiredRetention && !issued:
			compact++
		}
	}
	return full, compact
}

// want returns the decision that the oracle expects for a new or expired key.
func (m *machine) want(key string, term uint64) dedup.DecisionKind {
	f, seen := m.facts[key]
	issue, issued := dedup.IssueTime(key)
	full, compact := m.counts()
	switch {
	case issued && issue > m.now:
		return dedup.Invalid
	case issued && (seen || m.now-issue > bounds.Retention):
		return dedup.Expired
	case !issued && seen && m.now-f.changed <= bounds.Retention+bounds.ExpiredRetention:
		return dedup.Expired
	case term < m.fence:
		return dedup.StaleTerm
	case full >= bounds.MaxKeys || full+compact >= bounds.MaxRecords:
		return dedup.Capacity
	}
	return dedup.Send
}

func (m *machine) drawKey(t *rapid.T) string {
	if len(m.keys) > 0 && rapid.IntRange(0, 2).Draw(t, "reuse") > 0 {
		return rapid.SampledFrom(m.keys).Draw(t, "key")
	}
	key := fmt.Sprintf("key-%d", len(m.keys))
	if rapid.Bool().Draw(t, "issued") {
		offset := time.Duration(rapid.IntRange(-120, 5).Draw(t, "issue offset")) * time.Millisecond
		key = dedup.NewKey(max(0, m.now+offset), key)
	}
	m.keys = append(m.keys, key)
	return key
}

func (m *machine) begin(t *rapid.T) {
	key := m.drawKey(t)
	digest := dedup.Digest{byte(rapid.IntRange(0, 9).Draw(t, "digest") / 9)}
	term := m.fence + uint64(rapid.IntRange(0, 2).Draw(t, "term"))
	if m.fence > 0 {
		term--
	}
	m.sends++
	token := fmt.Sprintf("run-%d", m.sends)
	d := m.table.Begin(m.now, dedup.Request{Key: key, Digest: digest, Owner: "host-1", Term: term, Token: token})
	f, ok := m.live(key)
	if ok && f.free(digest) {
		m.checkRepeat(t, key, term, d, fact{digest: digest, term: term, token: token, changed: m.now})
		return
	}
	if ok {
		m.checkKnown(t, f, digest, d)
		return
	}
	want := m.want(key, term)
	bytesFull := d.Kind == dedup.Capacity && m.table.Usage().Bytes+600 > bounds.MaxBytes
	if d.Kind != want && (want != dedup.Send || !bytesFull) {
		t.Fatalf("begin %s: decision %d, want %d", key, d.Kind, want)
	}
	if d.Kind == dedup.Send {
		m.noteSend(t, key, fact{digest: digest, term: term, token: token, changed: m.now})
	}
}

// checkRepeat expects a key whose earlier run was not sent to be sent again,
// unless the request comes from a leader that was replaced.
func (m *machine) checkRepeat(t *rapid.T, key string, term uint64, d dedup.Decision, f fact) {
	want := dedup.Send
	if term < m.fence {
		want = dedup.StaleTerm
	}
	if d.Kind != want {
		t.Fatalf("begin %s after not run: decision %d, want %d", key, d.Kind, want)
	}
	if d.Kind == dedup.Send {
		m.facts[key] = f
	}
}

func (m *machine) noteSend(t *rapid.T, key string, f fact) {
	old, seen := m.facts[key]
	_, issued := dedup.IssueTime(key)
	if seen && (issued || m.now-old.changed <= bounds.Retention+bounds.ExpiredRetention) {
		t.Fatalf("key %s sent twice", key)
	}
	m.facts[key] = f
}

func (m *machine) checkKnown(t *rapid.T, f fact, digest dedup.Digest, d dedup.Decision) {
	want := dedup.Recorded
	switch {
	case f.digest != digest:
		want = dedup.Conflict
	case f.outcome.Kind == 0:
		want = dedup.InProgress
	case f.outcome.Kind == dedup.Unknown:
		want = dedup.UnknownOutcome
	}
	if d.Kind != want {
		t.Fatalf("decision %d for a known key, want %d", d.Kind, want)
	}
	if want == dedup.Recorded && !sameOutcome(d.Outcome, f.outcome) {
		t.Fatalf("recorded outcome changed: %v, was %v", d.Outcome, f.outcome)
	}
}

func sameOutcome(a, b dedup.Outcome) bool {
	same := a.Kind == b.Kind && a.Status == b.Status && a.BodyDropped == b.BodyDropped
	return same && bytes.Equal(a.Body, b.Body)
}

func (m *machine) finish(t *rapid.T) {
	if len(m.keys) == 0 {
		return
	}
	key := rapid.SampledFrom(m.keys).Draw(t, "key")
	o := dedup.Outcome{
		Kind:   dedup.OutcomeKind(rapid.IntRange(1, 3).Draw(t, "outcome")),
		Status: rapid.IntRange(200, 599).Draw(t, "status"),
		Body:   bytes.Repeat([]byte{byte(len(m.keys))}, rapid.IntRange(0, 1600).Draw(t, "body")),
	}
	m.table.Expire(m.now)
	usage := m.table.Usage().Bytes
	f, ok := m.live(key)
	token := f.token
	stale := rapid.IntRange(0, 3).Draw(t, "token") == 0
	if stale {
		token = "run-of-another-begin"
	}
	got := m.table.Finish(m.now, key, token, o)
	want := dedup.Unchanged
	switch {
	case !ok:
		want = dedup.NoRecord
	case stale:
	case f.outcome.Kind == 0, f.outcome.Kind == dedup.Unknown && o.Kind != dedup.Unknown:
		want = dedup.Stored
	}
	if got != want {
		t.Fatalf("finish %s: result %d, want %d", key, got, want)
	}
	if got != dedup.Stored {
		return
	}
	f.outcome, f.changed = o, m.now
	f.outcome.BodyDropped = len(o.Body) > bounds.MaxResponseBytes || usage+int64(len(o.Body)) > bounds.MaxBytes
	if f.outcome.BodyDropped {
		f.outcome.Body = nil
	}
	m.facts[key] = f
}

func (m *machine) lead(t *rapid.T) {
	m.fence += uint64(rapid.IntRange(0, 2).Draw(t, "terms"))
	changed := 0
	for key := range m.facts {
		if f, ok := m.live(key); ok && f.outcome.Kind == 0 && f.term < m.fence {
			f.outcome, f.changed = dedup.Outcome{Kind: dedup.Unknown}, m.now
			m.facts[key] = f
			changed++
		}
	}
	if got := m.table.MarkUnknown(m.now, m.fence); got != changed {
		t.Fatalf("marked %d unknown, want %d", got, changed)
	}
}

func (m *machine) restore(t *rapid.T) {
	data, err := m.table.Snapshot()
	if err != nil {
		t.Fatalf("snapshot: %v", err)
	}
	restored := dedup.New(bounds)
	if err := restored.Restore(data); err != nil {
		t.Fatalf("restore: %v", err)
	}
	again, err := restored.Snapshot()
	if err != nil || !bytes.Equal(data, again) {
		t.Fatalf("snapshot of the restored table differs (%v)", err)
	}
	if restored.Usage() != m.table.Usage() {
		t.Fatalf("usage %v after restore, want %v", restored.Usage(), m.table.Usage())
	}
	m.table = restored
}

func (m *machine) check(t *rapid.T) {
	u := m.table.Usage()
	if u.Keys > bounds.MaxKeys || u.Keys+u.Compact > bounds.MaxRecords || u.Bytes > bounds.MaxBytes {
		t.Fatalf("bounds exceeded: %+v", u)
	}
}

// Guards against a second send of a key, changed answers and unbounded
// growth, across expiry, leader changes and snapshots.
func TestTableMatchesOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &machine{table: dedup.New(bounds), facts: map[string]fact{}}
		t.Repeat(map[string]func(*rapid.T){
			"begin":   m.begin,
			"finish":  m.finish,
			"lead":    m.lead,
			"restore": m.restore,
			"pass": func(t *rapid.T) {
				m.now += time.Duration(rapid.IntRange(0, 80).Draw(t, "time")) * time.Millisecond
				m.table.Expire(m.now - 5*time.Millisecond)
			},
			"": m.check,
		})
	})
}
