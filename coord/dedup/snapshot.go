package dedup

import (
	"fmt"
	"time"

	"cranberrydrum.dev/coord/codec"
)

// snapshotVersion is the format written by Snapshot.
const snapshotVersion = 1

// SnapshotError reports that a snapshot could not be encoded or restored. The
// table is then unchanged.
type SnapshotError struct {
	Reason string
	Err    error
}

// Error implements error.
func (e *SnapshotError) Error() string {
	if e.Err == nil {
		return "dedup: " + e.Reason
	}
	return fmt.Sprintf("dedup: %s: %v", e.Reason, e.Err)
}

// Unwrap returns the cause.
func (e *SnapshotError) Unwrap() error { return e.Err }

type wireRecord struct {
	Key     string
	Digest  []byte
	Owner   string
	Term    uint64
	Kind    OutcomeKind
	Status  int
	Body    []byte
	Dropped bool
	Changed time.Duration
	Token   string
}

type wireExpired struct {
	Hash  []byte
	Until time.Duration
}

type wireTable struct {
	Version int
	Now     time.Duration
	Term    uint64
	Records []wireRecord
	Expired []wireExpired
}

// Snapshot encodes the table. Equal tables have equal snapshots.
func (t *Table) Snapshot() ([]byte, error) {
	w := wireTable{Version: snapshotVersion, Now: t.now, Term: t.term}
	for e := t.order.Front(); e != nil; e = e.Next() {
		w.Records = append(w.Records, toWire(e.Value.(*record)))
	}
	for i := range t.fading {
		x := wireExpired{Hash: t.fading[i].hash[:], Until: t.fading[i].until}
		w.Expired = append(w.Expired, x)
	}
	data, err := codec.MarshalCompact(&w)
	if err != nil {
		return nil, &SnapshotError{Reason: "snapshot cannot be encoded", Err: err}
	}
	return data, nil
}

func toWire(r *record) wireRecord {
	return wireRecord{
		Key:     r.key,
		Digest:  r.digest[:],
		Owner:   r.owner,
		Term:    r.term,
		Kind:    r.outcome.Kind,
		Status:  r.outcome.Status,
		Body:    r.outcome.Body,
		Dropped: r.outcome.BodyDropped,
		Changed: r.changed,
		Token:   r.token,
	}
}

// Restore replaces the content of the table. The configuration stays; if it
// is smaller than the snapshot, all records are kept and new keys are refused.
func (t *Table) Restore(data []byte) error {
	var w wireTable
	if err := codec.Unmarshal(data, &w); err != nil {
		return &SnapshotError{Reason: "snapshot cannot be decoded", Err: err}
	}
	if w.Version != snapshotVersion {
		return &SnapshotError{Reason: "snapshot has an unknown version"}
	}
	restored := New(t.cfg)
	restored.now = w.Now
	restored.term = w.Term
	if err := restored.fill(&w); err != nil {
		return err
	}
	*t = *restored
	return nil
}

func (t *Table) fill(w *wireTable) error {
	for i := range w.Records {
		r, ok := fromWire(&w.Records[i])
		if _, known := t.records[r.key]; known || !ok || r.changed > w.Now {
			return &SnapshotError{Reason: "snapshot holds an invalid record"}
		}
		t.insert(r)
	}
	for i := range w.Expired {
		x := &w.Expired[i]
		if len(x.Hash) != hashBytes {
			return &SnapshotError{Reason: "snapshot holds an invalid compact record"}
		}
		t.fade(expired{hash: keyHash(x.Hash), until: x.Until})
	}
	return nil
}

func fromWire(w *wireRecord) (*record, bool) {
	r := &record{key: w.Key, owner: w.Owner, term: w.Term, token: w.Token, changed: w.Changed}
	r.outcome = Outcome{Kind: w.Kind, Status: w.Status, Body: w.Body, BodyDropped: w.Dropped}
	copy(r.digest[:], w.Digest)
	valid := validName(w.Key) && w.Kind <= Unknown && len(w.Digest) == len(r.digest)
	return r, valid
}
