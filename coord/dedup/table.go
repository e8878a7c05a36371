package dedup

import (
	"container/list"
	"crypto/sha256"
	"time"
)

const (
	// MaxNameBytes bounds the length of a key and of an owner.
	MaxNameBytes = 256
	// fullRecordBytes is the accounted size of a full record without key,
	// owner and body. BenchmarkBytesPerKey measures 205 heap bytes at 100,000
	// keys; a map that has just grown takes about 30 more.
	fullRecordBytes = 256
	// compactRecordBytes is the accounted size of a compact record, measured
	// as 88 heap bytes.
	compactRecordBytes = 96
	// hashBytes is the length of the hash in a compact record. A collision
	// refuses a new key; at 10 million records its chance is below 1e-24.
	hashBytes = 16
)

// sending is the state of a record without an outcome.
const sending OutcomeKind = 0

type keyHash [hashBytes]byte

func hashOf(key string) keyHash {
	sum := sha256.Sum256([]byte(key))
	return keyHash(sum[:hashBytes])
}

// record is the full record of a key.
type record struct {
	key     string
	digest  Digest
	owner   string
	term    uint64
	token   string
	outcome Outcome
	// changed is the logical time of the last change.
	changed time.Duration
}

func (r *record) bytes() int64 {
	return fullRecordBytes + int64(len(r.key)+len(r.owner)+len(r.token)+len(r.outcome.Body))
}

// expired is the compact record of a key without issue time.
type expired struct {
	hash keyHash
	// until is the logical time up to which the key is refused.
	until time.Duration
}

// Table holds the request keys of one replicated log.
type Table struct {
	cfg  Config
	now  time.Duration
	term uint64
	// records indexes order, which holds *record by time of last change.
	records map[string]*list.Element
	order   *list.List
	// compact indexes fading, which is sorted by until.
	compact map[keyHash]struct{}
	fading  []expired
	sending int
	bytes   int64
}

// New returns an empty table.
func New(cfg Config) *Table {
	return &Table{
		cfg:     cfg,
		records: map[string]*list.Element{},
		order:   list.New(),
		compact: map[keyHash]struct{}{},
	}
}

// SetConfig changes the bounds. All replicas must change them at the same
// command. Records beyond smaller bounds are kept and new keys are refused; a
// shorter retention takes effect with the next command.
func (t *Table) SetConfig(cfg Config) { t.cfg = cfg }

// Now returns the highest logical time seen.
func (t *Table) Now() time.Duration { return t.now }

// Begin decides about a request at logical time now. Within the limits stated
// in the package comment it returns Send again for a key only after the run
// before was recorded as not run.
func (t *Table) Begin(now time.Duration, r Request) Decision {
	t.Expire(now)
	if !validName(r.Key) || len(r.Owner) > MaxNameBytes || len(r.Token) > MaxNameBytes {
		return Decision{Kind: Invalid}
	}
	if element, ok := t.records[r.Key]; ok {
		return t.repeat(element, r)
	}
	if kind := t.refusal(r); kind != 0 {
		return Decision{Kind: kind}
	}
	t.insert(&record{key: r.Key, digest: r.Digest, owner: r.Owner, term: r.Term, token: r.Token, changed: t.now})
	return Decision{Kind: Send, Owner: r.Owner, Term: r.Term}
}

// repeat answers a Begin for a key that has a full record. A run that was not
// sent leaves the key free for another.
func (t *Table) repeat(element *list.Element, r Request) Decision {
	old := element.Value.(*record)
	if old.digest != r.Digest || old.outcome.Kind != NotRun {
		return known(old, r.Digest)
	}
	if r.Term < t.term {
		return Decision{Kind: StaleTerm}
	}
	t.drop(element)
	t.insert(&record{key: r.Key, digest: r.Digest, owner: r.Owner, term: r.Term, token: r.Token, changed: t.now})
	return Decision{Kind: Send, Owner: r.Owner, Term: r.Term}
}

// Lookup returns the decision about a key that has a full record, without
// changing anything. A key that may be sent again counts as not known.
func (t *Table) Lookup(key string, digest Digest) (Decision, bool) {
	element, ok := t.records[key]
	if !ok {
		return Decision{}, false
	}
	r := element.Value.(*record)
	if r.digest == digest && r.outcome.Kind == NotRun {
		return Decision{}, false
	}
	return known(r, digest), true
}

func validName(name string) bool { return name != "" && len(name) <= MaxNameBytes }

// known answers a request whose key has a full record.
func known(r *record, digest Digest) Decision {
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

// refusal returns the reason for which a key without full record must not be
// sent, or zero.
func (t *Table) refusal(r Request) DecisionKind {
	issued, hasIssue := IssueTime(r.Key)
	if hasIssue && issued > t.now {
		return Invalid
	}
	if hasIssue && t.now-issued > t.cfg.Retention {
		return Expired
	}
	if _, ok := t.compact[hashOf(r.Key)]; ok && !hasIssue {
		return Expired
	}
	if r.Term < t.term {
		return StaleTerm
	}
	size := fullRecordBytes + int64(len(r.Key)+len(r.Owner)+len(r.Token))
	full := len(t.records) >= t.cfg.MaxKeys
	full = full || len(t.records)+len(t.compact) >= t.cfg.MaxRecords
	if full || t.bytes+size > t.cfg.MaxBytes {
		return Capacity
	}
	return 0
}

// Finish records the outcome of the run of a key that began with the token.
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
	t.store(element, t.bounded(o))
	return Stored
}

// mayReplace reports whether an outcome may replace a recorded one.
func mayReplace(old, next OutcomeKind) bool {
	switch next {
	case Answered, NotRun:
		return old == sending || old == Unknown
	case Unknown:
		return old == sending
	}
	return false
}

// bounded drops a response body that is too large. A part of a response is
// never kept, because it could be taken for the whole.
func (t *Table) bounded(o Outcome) Outcome {
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

// MarkUnknown marks every key in state sending that was begun under a term
// below the given one as unknown, and refuses later Begins under such a term.
// It returns the number of changed keys. A new leader calls it first.
func (t *Table) MarkUnknown(now time.Duration, term uint64) int {
	t.Expire(now)
	t.term = max(t.term, term)
	var found []*list.Element
	for e := t.order.Front(); e != nil; e = e.Next() {
		r := e.Value.(*record)
		if r.outcome.Kind == sending && r.term < term {
			found = append(found, e)
		}
	}
	for _, e := range found {
		t.store(e, Outcome{Kind: Unknown})
	}
	return len(found)
}

// Expire removes what is past its retention. It returns the number of full
// records removed. All other commands expire as well, so a decision does not
// depend on when Expire was last called.
func (t *Table) Expire(now time.Duration) int {
	t.now = max(t.now, now)
	removed := 0
	for e := t.order.Front(); e != nil; e = t.order.Front() {
		r := e.Value.(*record)
		if t.now-r.changed <= t.cfg.Retention {
			break
		}
		t.remove(e)
		removed++
	}
	for len(t.fading) > 0 && t.fading[0].until < t.now {
		delete(t.compact, t.fading[0].hash)
		t.fading = t.fading[1:]
		t.bytes -= compactRecordBytes
	}
	return removed
}

func (t *Table) insert(r *record) {
	t.records[r.key] = t.order.PushBack(r)
	t.bytes += r.bytes()
	if r.outcome.Kind == sending {
		t.sending++
	}
}

// store replaces the outcome of a record.
func (t *Table) store(e *list.Element, o Outcome) {
	r := e.Value.(*record)
	if r.outcome.Kind == sending {
		t.sending--
	}
	t.bytes -= r.bytes()
	r.outcome = o
	r.changed = t.now
	t.bytes += r.bytes()
	t.order.MoveToBack(e)
}

// remove deletes a full record and leaves a compact one if the key has no
// issue time.
func (t *Table) remove(e *list.Element) {
	r := e.Value.(*record)
	t.drop(e)
	if _, hasIssue := IssueTime(r.key); hasIssue {
		return
	}
	until := r.changed + t.cfg.Retention + t.cfg.ExpiredRetention
	t.fade(expired{hash: hashOf(r.key), until: until})
}

// drop deletes a full record without a trace.
func (t *Table) drop(e *list.Element) {
	r := e.Value.(*record)
	t.order.Remove(e)
	delete(t.records, r.key)
	t.bytes -= r.bytes()
	if r.outcome.Kind == sending {
		t.sending--
	}
}

func (t *Table) fade(x expired) {
	t.compact[x.hash] = struct{}{}
	t.fading = append(t.fading, x)
	t.bytes += compactRecordBytes
}

// Usage returns the current size.
func (t *Table) Usage() Usage {
	return Usage{
		Keys:    len(t.records),
		Sending: t.sending,
		Compact: len(t.fading),
		Bytes:   t.bytes,
	}
}
