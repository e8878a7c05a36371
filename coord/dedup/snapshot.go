package dedup

import (
	"fmt"
	"time"

	"cranberrydrum.dev/coord/codec"
)

// snapshotVersion is the version of the snapshot format. Restore accepts only
// this version.
const snapshotVersion = 1

// SnapshotError reports that a snapshot could not be encoded or restored. The
// table stays unchanged.
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

// Snapshot encodes the table without its configuration. Equal tables give equal
// bytes.
func (t *Table) Snapshot() ([]byte, error) {
	w := wireTable{Version: snapshotVersion, Now: t.now, Term: t.minTerm}
	for e := t.byChange.Front(); e != nil; e = e.Next() {
		w.Records = append(w.Records, toWire(e.Value.(*record)))
	}
	for i := range t.compactRecords {
		x := wireExpired{Hash: t.compactRecords[i].hash[:], Until: t.compactRecords[i].until}
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
		Changed: r.changedAt,
		Token:   r.token,
	}
}

// Restore replaces the content of the table and keeps its configuration. If the
// snapshot exceeds the configured limits, all records are kept and new keys are
// refused.
func (t *Table) Restore(data []byte) error {
	var w wireTable
	if err := codec.Unmarshal(data, &w); err != nil {
		return &SnapshotError{Reason: "snapshot cannot be decoded", Err: err}
	}
	if w.Version != snapshotVersion {
		return &SnapshotError{Reason: "snapshot has an unsupported version"}
	}
	restored := New(t.cfg)
	restored.now = w.Now
	restored.minTerm = w.Term
	if err := restored.insertAll(&w); err != nil {
		return err
	}
	*t = *restored
	return nil
}

// insertAll adds the records of a snapshot to an empty table.
func (t *Table) insertAll(w *wireTable) error {
	for i := range w.Records {
		r, ok := fromWire(&w.Records[i])
		if _, known := t.records[r.key]; known || !ok || r.changedAt > w.Now {
			return &SnapshotError{Reason: "snapshot has an invalid full record"}
		}
		t.insert(r)
	}
	for i := range w.Expired {
		x := &w.Expired[i]
		if len(x.Hash) != hashBytes {
			return &SnapshotError{Reason: "snapshot has an invalid compact record"}
		}
		t.addCompact(compactRecord{hash: keyHash(x.Hash), until: x.Until})
	}
	return nil
}

// fromWire returns false if the record is invalid.
func fromWire(w *wireRecord) (*record, bool) {
	r := &record{key: w.Key, owner: w.Owner, term: w.Term, token: w.Token, changedAt: w.Changed}
	r.outcome = Outcome{Kind: w.Kind, Status: w.Status, Body: w.Body, BodyDropped: w.Dropped}
	copy(r.digest[:], w.Digest)
	valid := validName(w.Key) && w.Kind <= Unknown && len(w.Digest) == len(r.digest)
	return r, valid
}
