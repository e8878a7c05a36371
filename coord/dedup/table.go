package dedup

import (
	"container/list"
	"crypto/sha256"
	"time"
)

const (
	// MaxNameBytes is the maximum length of a key, an owner or a token in bytes.
	MaxNameBytes = 256
	// fullRecordBytes is the accounted size of a full record without key,
	// owner, token and body. It covers the heap size of 205 bytes at 100,000
	// keys (BenchmarkBytesPerKey) and about 30 bytes more right after the map
	// has grown.
	fullRecordBytes = 256
	// compactRecordBytes is the accounted size of a compact record. It covers
	// the heap size of 88 bytes (BenchmarkBytesPerKey).
	compactRecordBytes = 96
	// hashBytes is the length of the hash in a compact record. A collision
	// makes Begin refuse a new key; with 10 million records its probability is
	// below 1e-24.
	hashBytes = 16
)

// sending is the outcome kind of a record whose run has no outcome yet.
const sending OutcomeKind = 0

type keyHash [hashBytes]byte

func hashOf(key string) keyHash {
	sum := sha256.Sum256([]byte(key))
	return keyHash(sum[:hashBytes])
}

// record is the full record of a key. It holds the latest Begin and its
// outcome.
type record struct {
	key     string
	digest  Digest
	owner   string
	term    uint64
	token   string
	outcome Outcome
	// changedAt is the logical time of the last change.
	changedAt time.Duration
}

func (r *record) bytes() int64 {
	return fullRecordBytes + int64(len(r.key)+len(r.owner)+len(r.token)+len(r.outcome.Body))
}

// compactRecord replaces the full record of a key without issue time after the
// full record has expired.
type compactRecord struct {
	hash keyHash
	// until is the logical time until which the key is refused.
	until time.Duration
}

// Table holds the request keys of one replicated log. Use New.
type Table struct {
	cfg Config
	// now is the highest logical time seen.
	now time.Duration
	// minTerm is the lowest term under which Begin accepts a new run.
	minTerm uint64
	// records maps each key to its element of byChange, which holds *record
	// in order of last change.
	records  map[string]*list.Element
	byChange *list.List
	// compactHashes holds the hashes of compactRecords, which is sorted by
	// until.
	compactHashes  map[keyHash]struct{}
	compactRecords []compactRecord
	// sending is the number of records in state sending.
	sending int
	// bytes is the accounted size of all records.
	bytes int64
}

// New returns an empty table.
func New(cfg Config) *Table {
	return &Table{
		cfg:           cfg,
		records:       map[string]*list.Element{},
		byChange:      list.New(),
		compactHashes: map[keyHash]struct{}{},
	}
}

// SetConfig changes the limits and retention periods. All replicas must change
// them at the same log index. If the table exceeds the new limits, all records
// are kept and new keys are refused; a shorter retention takes effect with the
// next command.
func (t *Table) SetConfig(cfg Config) { t.cfg = cfg }

// Now returns the highest logical time seen.
func (t *Table) Now() time.Duration { return t.now }

// Begin decides whether a request may be sent at logical time now. It returns
// Send for a key a second time only if the earlier run was recorded as not run,
// or if the key was removed as described under Expiry in the package comment.
func (t *Table) Begin(now time.Duration, r Request) Decision {
	t.Expire(now)
	if !validName(r.Key) || len(r.Owner) > MaxNameBytes || len(r.Token) > MaxNameBytes {
		return Decision{Kind: Invalid}
	}
	if element, ok := t.records[r.Key]; ok {
		return t.beginKnown(element, r)
	}
	if kind := t.refusalKind(r); kind != 0 {
		return Decision{Kind: kind}
	}
	t.insert(&record{key: r.Key, digest: r.Digest, owner: r.Owner, term: r.Term, token: r.Token, changedAt: t.now})
	return Decision{Kind: Send, Owner: r.Owner, Term: r.Term}
}

// beginKnown decides about a key that has a full record. If the earlier run was
// recorded as not run, the key may be sent again.
func (t *Table) beginKnown(element *list.Element, r Request) Decision {
	old := element.Value.(*record)
	if old.digest != r.Digest || old.outcome.Kind != NotRun {
		return decisionFor(old, r.Digest)
	}
	if r.Term < t.minTerm {
		return Decision{Kind: StaleTerm}
	}
	t.removeRecord(element)
	t.insert(&record{key: r.Key, digest: r.Digest, owner: r.Owner, term: r.Term, token: r.Token, changedAt: t.now})
	return Decision{Kind: Send, Owner: r.Owner, Term: r.Term}
}

// Lookup returns the decision about a key that has a full record, without
// changing the table. It returns false if the key has no full record or may be
// sent again.
func (t *Table) Lookup(key string, digest Digest) (Decision, bool) {
	element, ok := t.records[key]
	if !ok {
		return Decision{}, false
	}
	r := element.Value.(*record)
	if r.digest == digest && r.outcome.Kind == NotRun {
		return Decision{}, false
	}
	return decisionFor(r, digest), true
}

func validName(name string) bool { return name != "" && len(name) <= MaxNameBytes }

// decisionFor returns the decision about a request whose key has a full record
// and may not be sent again.
func decisionFor(r *record, digest Digest) Decision {
	d := Decision{Outcome: r.outcome, Owner: r.owner, Term: r.term}
	switch {
	case r.digest != digest:
		return Decision{Kind: Conflict}
	case r.outcome.Kind == sending:
		d.Kind = InProgress
	case r.outcome.Kind == Unknown:
		d.Kind = UnknownOutcome
	default:
		d.Kind = Recorded
	}
	return d
}

// refusalKind returns the decision that refuses a key without a full record, or
// zero if the key may be sent.
func (t *Table) refusalKind(r Request) DecisionKind {
	issued, hasIssue := IssueTime(r.Key)
	if hasIssue && issued > t.now {
		return Invalid
	}
	if hasIssue && t.now-issued > t.cfg.Retention {
		return Expired
	}
	if _, ok := t.compactHashes[hashOf(r.Key)]; ok && !hasIssue {
		return Expired
	}
	if r.Term < t.minTerm {
		return StaleTerm
	}
	size := fullRecordBytes + int64(len(r.Key)+len(r.Owner)+len(r.Token))
	full := len(t.records) >= t.cfg.MaxKeys
	full = full || len(t.records)+len(t.compactHashes) >= t.cfg.MaxRecords
	if full || t.bytes+size > t.cfg.MaxBytes {
		return Capacity
	}
	return 0
}

// Finish records the outcome of the run of key whose Begin had the same token.
// It does not replace a known outcome, nor an unknown one by another unknown.
func (t *Table) Finish(now time.Duration, key, token string, o Outcome) FinishResult {
	t.Expire(now)
	element, ok := t.records[key]
	if !ok {
		return NoRecord
	}
	r := element.Value.(*record)
	if r.token != token || !mayReplace(r.outcome.Kind, o.Kind) {
		return Unchanged
	}
	t.setOutcome(element, t.dropLargeBody(o))
	return Stored
}

// mayReplace reports whether an outcome of kind next may replace one of kind
// old.
func mayReplace(old, next OutcomeKind) bool {
	switch next {
	case Answered, NotRun:
		return old == sending || old == Unknown
	case Unknown:
		return old == sending
	}
	return false
}

// dropLargeBody returns the outcome without its response body if the body is
// too large. A part of a body is never kept, because a caller could take it for
// the complete response.
func (t *Table) dropLargeBody(o Outcome) Outcome {
	size := int64(len(o.Body))
	tooLarge := len(o.Body) > t.cfg.MaxResponseBytes || t.bytes+size > t.cfg.MaxBytes
	if tooLarge || o.BodyDropped {
		o.Body = nil
		o.BodyDropped = true
		return o
	}
	o.Body = append([]byte(nil), o.Body...)
	return o
}

// MarkUnknown sets the outcome of every key in state sending that was begun
// under an earlier term to unknown, and makes Begin refuse new runs under an
// earlier term. It returns the number of changed keys. A new leader calls it
// before any other method.
func (t *Table) MarkUnknown(now time.Duration, term uint64) int {
	t.Expire(now)
	t.minTerm = max(t.minTerm, term)
	var found []*list.Element
	for e := t.byChange.Front(); e != nil; e = e.Next() {
		r := e.Value.(*record)
		if r.outcome.Kind == sending && r.term < term {
			found = append(found, e)
		}
	}
	for _, e := range found {
		t.setOutcome(e, Outcome{Kind: Unknown})
	}
	return len(found)
}

// Expire removes full and compact records past their retention. It returns the
// number of full records removed. Begin, Finish and MarkUnknown call it first,
// so their results do not depend on the time of the last Expire command.
func (t *Table) Expire(now time.Duration) int {
	t.now = max(t.now, now)
	removed := 0
	for e := t.byChange.Front(); e != nil; e = t.byChange.Front() {
		r := e.Value.(*record)
		if t.now-r.changedAt <= t.cfg.Retention {
			break
		}
		t.expireRecord(e)
		removed++
	}
	for len(t.compactRecords) > 0 && t.compactRecords[0].until < t.now {
		delete(t.compactHashes, t.compactRecords[0].hash)
		t.compactRecords = t.compactRecords[1:]
		t.bytes -= compactRecordBytes
	}
	return removed
}

func (t *Table) insert(r *record) {
	t.records[r.key] = t.byChange.PushBack(r)
	t.bytes += r.bytes()
	if r.outcome.Kind == sending {
		t.sending++
	}
}

// setOutcome replaces the outcome of a record and restarts its retention.
func (t *Table) setOutcome(e *list.Element, o Outcome) {
	r := e.Value.(*record)
	if r.outcome.Kind == sending {
		t.sending--
	}
	t.bytes -= r.bytes()
	r.outcome = o
	r.changedAt = t.now
	t.bytes += r.bytes()
	t.byChange.MoveToBack(e)
}

// expireRecord removes a full record and adds a compact one if the key has no
// issue time.
func (t *Table) expireRecord(e *list.Element) {
	r := e.Value.(*record)
	t.removeRecord(e)
	if _, hasIssue := IssueTime(r.key); hasIssue {
		return
	}
	until := r.changedAt + t.cfg.Retention + t.cfg.ExpiredRetention
	t.addCompact(compactRecord{hash: hashOf(r.key), until: until})
}

// removeRecord removes a full record without adding a compact one.
func (t *Table) removeRecord(e *list.Element) {
	r := e.Value.(*record)
	t.byChange.Remove(e)
	delete(t.records, r.key)
	t.bytes -= r.bytes()
	if r.outcome.Kind == sending {
		t.sending--
	}
}

func (t *Table) addCompact(x compactRecord) {
	t.compactHashes[x.hash] = struct{}{}
	t.compactRecords = append(t.compactRecords, x)
	t.bytes += compactRecordBytes
}

// Usage returns the current size of the table.
func (t *Table) Usage() Usage {
	return Usage{
		Keys:    len(t.records),
		Sending: t.sending,
		Compact: len(t.compactRecords),
		Bytes:   t.bytes,
	}
}
