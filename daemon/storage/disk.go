// Package storage stores a replicated log in a folder, by joining the
// consensus types with the log files.
package storage

import (
	"github.com/vmihailenco/msgpack/v5"

	"cranberrydrum.dev/coord/codec"
	"cranberrydrum.dev/coord/raft"
	"cranberrydrum.dev/coord/wal"
)

// Options configure a Disk.
type Options struct {
	// StoreID is the identity of the data folder.
	StoreID string
	// LazyCommit leaves out saves that change nothing but the commit index. A
	// host that restarts then comes back with an earlier state until it hears
	// from its leader, so the configuration must not use it.
	LazyCommit bool
}

// Disk implements replica.Storage on a wal.Store.
type Disk struct {
	store *wal.Store
	opts  Options
	saved raft.HardState
}

// MembershipError reports a snapshot whose membership cannot be decoded.
type MembershipError struct{ Cause error }

// Error implements error.
func (e *MembershipError) Error() string {
	return "membership of the snapshot cannot be decoded: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *MembershipError) Unwrap() error { return e.Cause }

// Open opens or creates the log in a folder. It refuses a log that was created
// under another identity.
func Open(folder string, opts Options) (*Disk, error) {
	store, err := wal.Open(folder, wal.Options{StoreID: opts.StoreID})
	if err != nil {
		return nil, err
	}
	// A log of another data folder holds votes that this host has not given.
	if found := store.StoreID(); found != opts.StoreID {
		_ = store.Close()
		return nil, &wal.IdentityError{Dir: folder, Found: found, Expected: opts.StoreID}
	}
	return &Disk{store: store, opts: opts}, nil
}

// Recovery reports what was changed on disk when the log was opened.
func (d *Disk) Recovery() wal.Recovery { return d.store.Recovery }

// Stats counts the work done since Open.
func (d *Disk) Stats() wal.Stats { return d.store.Stats() }

// Load implements replica.Storage.
func (d *Disk) Load() (raft.Restored, []byte, error) {
	hard, meta, data, entries, err := d.store.Load()
	if err != nil {
		return raft.Restored{}, nil, err
	}
	restored := raft.Restored{HardState: raft.HardState(hard), Entries: make([]raft.Entry, len(entries))}
	for i, e := range entries {
		restored.Entries[i] = raft.Entry{Index: e.Index, Term: e.Term, Kind: raft.EntryKind(e.Kind), Data: e.Data}
	}
	d.saved = restored.HardState
	if meta.Index == 0 {
		return restored, data, nil
	}
	restored.Snapshot.Index = meta.Index
	restored.Snapshot.Term = meta.Term
	if err := codec.Unmarshal(meta.Membership, &restored.Snapshot.Membership); err != nil {
		return raft.Restored{}, nil, &MembershipError{Cause: err}
	}
	return restored, data, nil
}

// Save implements replica.Storage.
func (d *Disk) Save(hard raft.HardState, entries []raft.Entry) error {
	onlyCommit := len(entries) == 0 && hard.Term == d.saved.Term && hard.Vote == d.saved.Vote
	if onlyCommit && d.opts.LazyCommit {
		return nil
	}
	records := make([]wal.Entry, len(entries))
	for i, e := range entries {
		records[i] = wal.Entry{Index: e.Index, Term: e.Term, Kind: uint8(e.Kind), Data: e.Data}
	}
	if err := d.store.Save(wal.HardState(hard), records); err != nil {
		return err
	}
	d.saved = hard
	return nil
}

// SaveSnapshot implements replica.Storage.
func (d *Disk) SaveSnapshot(meta raft.SnapshotMeta, data []byte) error {
	membership, err := msgpack.Marshal(&meta.Membership)
	if err != nil {
		return &MembershipError{Cause: err}
	}
	return d.store.SaveSnapshot(wal.SnapshotMeta{Index: meta.Index, Term: meta.Term, Membership: membership}, data, meta.Index+1)
}

// Close implements replica.Storage.
func (d *Disk) Close() error { return d.store.Close() }
