// Package storage stores a replicated log in a directory. It adapts the write-ahead
// log of package wal to the storage interface of package replica.
package storage

import (
	"github.com/vmihailenco/msgpack/v5"

	"cranberrydrum.dev/coord/codec"
	"cranberrydrum.dev/coord/raft"
	"cranberrydrum.dev/coord/wal"
)

// Options configures a Disk.
type Options struct {
	// StoreID is the identity of the data directory.
	StoreID string
	// SkipCommitOnlySaves skips saves that change only the commit index. After a
	// restart the host then has an earlier state until it receives a message
	// from its leader, so the log of the configuration must not use it.
	SkipCommitOnlySaves bool
}

// Disk implements replica.Storage on a wal.Store.
type Disk struct {
	store *wal.Store
	opts  Options
	saved raft.HardState
}

// MembershipError reports a snapshot whose membership cannot be decoded or
// encoded.
type MembershipError struct{ Cause error }

// Error implements error.
func (e *MembershipError) Error() string {
	return "membership of the snapshot cannot be decoded: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *MembershipError) Unwrap() error { return e.Cause }

// Open opens or creates the log in a directory. It returns a *wal.IdentityError for
// a log that was created with another StoreID.
func Open(dir string, opts Options) (*Disk, error) {
	store, err := wal.Open(dir, wal.Options{StoreID: opts.StoreID})
	if err != nil {
		return nil, err
	}
	// The log of another data directory contains votes that this host did not
	// cast.
	if storedID := store.StoreID(); storedID != opts.StoreID {
		_ = store.Close()
		return nil, &wal.IdentityError{Dir: dir, Found: storedID, Expected: opts.StoreID}
	}
	return &Disk{store: store, opts: opts}, nil
}

// Recovery reports the changes made on disk when the log was opened.
func (d *Disk) Recovery() wal.Recovery { return d.store.Recovery }

// Stats returns the counters of disk operations since Open.
func (d *Disk) Stats() wal.Stats { return d.store.Stats() }

// Load implements replica.Storage.
func (d *Disk) Load() (raft.RestoredState, []byte, error) {
	hardState, meta, snapshot, entries, err := d.store.Load()
	if err != nil {
		return raft.RestoredState{}, nil, err
	}
	restored := raft.RestoredState{HardState: raft.HardState(hardState), Entries: make([]raft.Entry, len(entries))}
	for i, e := range entries {
		restored.Entries[i] = raft.Entry{Index: e.Index, Term: e.Term, Kind: raft.EntryKind(e.Kind), Data: e.Data}
	}
	d.saved = restored.HardState
	if meta.Index == 0 {
		return restored, snapshot, nil
	}
	restored.Snapshot.Index = meta.Index
	restored.Snapshot.Term = meta.Term
	if err := codec.Unmarshal(meta.Membership, &restored.Snapshot.Membership); err != nil {
		return raft.RestoredState{}, nil, &MembershipError{Cause: err}
	}
	return restored, snapshot, nil
}

// SkipsCommitOnlySaves implements replica.CommitSkipper.
func (d *Disk) SkipsCommitOnlySaves() bool { return d.opts.SkipCommitOnlySaves }

// Save implements replica.Storage.
func (d *Disk) Save(hardState raft.HardState, entries []raft.Entry) error {
	commitOnly := len(entries) == 0 && hardState.Term == d.saved.Term && hardState.Vote == d.saved.Vote
	if commitOnly && d.opts.SkipCommitOnlySaves {
		return nil
	}
	walEntries := make([]wal.Entry, len(entries))
	for i, e := range entries {
		walEntries[i] = wal.Entry{Index: e.Index, Term: e.Term, Kind: uint8(e.Kind), Data: e.Data}
	}
	if err := d.store.Save(wal.HardState(hardState), walEntries); err != nil {
		return err
	}
	d.saved = hardState
	return nil
}

// SaveSnapshot implements replica.Storage.
func (d *Disk) SaveSnapshot(meta raft.SnapshotMeta, snapshot []byte) error {
	membership, err := msgpack.Marshal(&meta.Membership)
	if err != nil {
		return &MembershipError{Cause: err}
	}
	return d.store.SaveSnapshot(wal.SnapshotMeta{Index: meta.Index, Term: meta.Term, Membership: membership}, snapshot, meta.Index+1)
}

// Close implements replica.Storage.
func (d *Disk) Close() error { return d.store.Close() }
