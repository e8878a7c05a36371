package replica

import "cranberrydrum.dev/coord/raft"

// StateMachine is the replicated state.
type StateMachine interface {
	// Apply executes a committed command. It must be deterministic.
	Apply(index, term uint64, command []byte) (result []byte)
	// Snapshot encodes the state. The result must not be changed afterwards.
	Snapshot() ([]byte, error)
	// Restore replaces the state by a snapshot.
	Restore([]byte) error
}

// Storage stores the durable state of a Replica. Every method that writes must
// sync before it returns.
type Storage interface {
	// Load returns the stored state and the content of the snapshot, or zero
	// values if nothing was stored. The result may include entries up to the
	// snapshot's index.
	Load() (raft.RestoredState, []byte, error)
	// Save stores the hard state and appends entries. It replaces stored
	// entries from the index of the first given entry on. A call without
	// entries that changes only HardState.Commit need not sync.
	Save(raft.HardState, []raft.Entry) error
	// SaveSnapshot replaces the stored snapshot and drops the entries up to
	// the index of the new one. If the entry at that index is missing or has
	// another term, it drops all stored entries.
	SaveSnapshot(raft.SnapshotMeta, []byte) error
	// Close releases the storage.
	Close() error
}

// Config holds the parameters of a Replica.
type Config struct {
	// Raft is the configuration of the raft.Node.
	Raft raft.Config
	// Bootstrap is the initial membership for an empty storage. It must be
	// equal on all hosts that form a new group, and empty on hosts that join.
	// A host that lost its disk must not bootstrap again under its old ID.
	Bootstrap raft.Membership
	// SnapshotEntries is the number of applied entries after which a snapshot
	// is taken.
	SnapshotEntries uint64
	// SnapshotBytes is the total size of applied entries after which a snapshot
	// is taken.
	SnapshotBytes int
	// KeepEntries is the number of entries before a snapshot that are kept in
	// memory, so that slightly lagging followers need no snapshot.
	KeepEntries uint64
}

// ProposalID identifies a proposal. The proposal has succeeded if an Applied has
// the same Index and Term. It has failed permanently if an Applied has the same
// Index and another Term. Its outcome is unknown if Output.Restored is at least
// Index.
type ProposalID struct{ Index, Term uint64 }

// Applied is the result of a committed command or membership change.
type Applied struct {
	Index, Term uint64
	Kind        raft.EntryKind
	Result      []byte
}

// Output is the result of a call to a Replica.
type Output struct {
	// Messages must be sent by the caller. The state that they depend on is
	// durable.
	Messages []raft.Message
	// Applied holds the results of the entries that this call applied.
	Applied []Applied
	// Restored is the index of a snapshot that replaced the state of the state
	// machine in this call, or zero.
	Restored uint64
}
