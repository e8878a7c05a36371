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

// sentKey is the expected state of a key that was sent.
type sentKey struct {
	digest  dedup.Digest
	term    uint64
	token   string
	changed time.Duration
	outcome dedup.Outcome
}

// mayRunAgain reports whether the key may be sent again, because its run ended
// as not run.
func (f sentKey) mayRunAgain(digest dedup.Digest) bool {
	return f.outcome.Kind == dedup.NotRun && f.digest == digest
}

// model compares a table with a map that keeps every key that was sent.
type model struct {
	table *dedup.Table
	now   time.Duration
	// minTerm is the highest term passed to MarkUnknown.
	minTerm uint64
	sent    map[string]sentKey
	keys    []string
	begins  int
}

// live returns the expected state of a key and whether its full record exists.
func (m *model) live(key string) (sentKey, bool) {
	f, ok := m.sent[key]
	return f, ok && m.now-f.changed <= bounds.Retention
}

// counts returns the expected numbers of full and compact records.
func (m *model) counts() (full, compact int) {
	for key, f := range m.sent {
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

// expectedDecision returns the expected decision for a key without a live full
// record.
func (m *model) expectedDecision(key string, term uint64) dedup.DecisionKind {
	f, seen := m.sent[key]
	issue, issued := dedup.IssueTime(key)
	full, compact := m.counts()
	switch {
	case issued && issue > m.now:
		return dedup.Invalid
	case issued && (seen || m.now-issue > bounds.Retention):
		return dedup.Expired
	case !issued && seen && m.now-f.changed <= bounds.Retention+bounds.ExpiredRetention:
		return dedup.Expired
	case term < m.minTerm:
		return dedup.StaleTerm
	case full >= bounds.MaxKeys || full+compact >= bounds.MaxRecords:
		return dedup.Capacity
	}
	return dedup.Send
}

func (m *model) drawKey(t *rapid.T) string {
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

func (m *model) begin(t *rapid.T) {
	key := m.drawKey(t)
	digest := dedup.Digest{byte(rapid.IntRange(0, 9).Draw(t, "digest") / 9)}
	term := m.minTerm + uint64(rapid.IntRange(0, 2).Draw(t, "term"))
	if m.minTerm > 0 {
		term--
	}
	m.begins++
	token := fmt.Sprintf("run-%d", m.begins)
	d := m.table.Begin(m.now, dedup.Request{Key: key, Digest: digest, Owner: "host-1", Term: term, Token: token})
	f, ok := m.live(key)
	if ok && f.mayRunAgain(digest) {
		m.checkRepeat(t, key, term, d, sentKey{digest: digest, term: term, token: token, changed: m.now})
		return
	}
	if ok {
		m.checkKnown(t, f, digest, d)
		return
	}
	want := m.expectedDecision(key, term)
	bytesFull := d.Kind == dedup.Capacity && m.table.Usage().Bytes+600 > bounds.MaxBytes
	if d.Kind != want && (want != dedup.Send || !bytesFull) {
		t.Fatalf("begin %s: decision %d, want %d", key, d.Kind, want)
	}
	if d.Kind == dedup.Send {
		m.recordSend(t, key, sentKey{digest: digest, term: term, token: token, changed: m.now})
	}
}

// checkRepeat expects Send for a key whose earlier run ended as not run, unless
// the request comes from a replaced leader.
func (m *model) checkRepeat(t *rapid.T, key string, term uint64, d dedup.Decision, f sentKey) {
	want := dedup.Send
	if term < m.minTerm {
		want = dedup.StaleTerm
	}
	if d.Kind != want {
		t.Fatalf("begin %s after not run: decision %d, want %d", key, d.Kind, want)
	}
	if d.Kind == dedup.Send {
		m.sent[key] = f
	}
}

// recordSend fails if the key must not be sent again, and records the send.
func (m *model) recordSend(t *rapid.T, key string, f sentKey) {
	old, seen := m.sent[key]
	_, issued := dedup.IssueTime(key)
	if seen && (issued || m.now-old.changed <= bounds.Retention+bounds.ExpiredRetention) {
		t.Fatalf("key %s sent twice", key)
	}
	m.sent[key] = f
}

// checkKnown checks the decision for a key that has a full record and may not
// be sent again.
func (m *model) checkKnown(t *rapid.T, f sentKey, digest dedup.Digest, d dedup.Decision) {
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

func (m *model) finish(t *rapid.T) {
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
	m.sent[key] = f
}

// changeLeader advances the term and marks the keys of earlier terms as
// unknown.
func (m *model) changeLeader(t *rapid.T) {
	m.minTerm += uint64(rapid.IntRange(0, 2).Draw(t, "terms"))
	changed := 0
	for key := range m.sent {
		if f, ok := m.live(key); ok && f.outcome.Kind == 0 && f.term < m.minTerm {
			f.outcome, f.changed = dedup.Outcome{Kind: dedup.Unknown}, m.now
			m.sent[key] = f
			changed++
		}
	}
	if got := m.table.MarkUnknown(m.now, m.minTerm); got != changed {
		t.Fatalf("marked %d unknown, want %d", got, changed)
	}
}

// restore replaces the table by one restored from its snapshot.
func (m *model) restore(t *rapid.T) {
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

// check verifies that the table stays within its configured limits.
func (m *model) check(t *rapid.T) {
	u := m.table.Usage()
	if u.Keys > bounds.MaxKeys || u.Keys+u.Compact > bounds.MaxRecords || u.Bytes > bounds.MaxBytes {
		t.Fatalf("bounds exceeded: %+v", u)
	}
}

// Guards against sending a key twice, changing a recorded outcome and growing
// beyond the limits, across expiry, leader changes and snapshots.
func TestTableMatchesModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{table: dedup.New(bounds), sent: map[string]sentKey{}}
		t.Repeat(map[string]func(*rapid.T){
			"begin":   m.begin,
			"finish":  m.finish,
			"lead":    m.changeLeader,
			"restore": m.restore,
			"pass time": func(t *rapid.T) {
				m.now += time.Duration(rapid.IntRange(0, 80).Draw(t, "time")) * time.Millisecond
				m.table.Expire(m.now - 5*time.Millisecond)
			},
			"": m.check,
		})
	})
}
