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

// Storage keeps the durable state of a Replica. Every method that writes must
// sync before it returns.
type Storage interface {
	// Load returns the stored state and the content of the snapshot. It
	// returns zero values if nothing was stored. Entries up to the snapshot's
	// index may be included or not.
	Load() (raft.Restored, []byte, error)
	// Save stores the hard state and appends entries. Stored entries from the
	// first given index on are replaced. A call without entries that changes
	// nothing but HardState.Commit need not be synced.
	Save(raft.HardState, []raft.Entry) error
	// SaveSnapshot stores a snapshot in place of the previous one and drops
	// the entries up to its index. If the stored entry at its index is
	// missing or has another term, all stored entries are dropped.
	SaveSnapshot(raft.SnapshotMeta, []byte) error
	// Close releases the storage.
	Close() error
}

// Config holds the parameters of a Replica.
type Config struct {
	// Raft configures consensus.
	Raft raft.Config
	// Bootstrap is the membership that a fresh storage starts with. It must be
	// equal on all hosts that form a new group, and empty on hosts that join.
	// A host that lost its disk must not bootstrap again under its old ID.
	Bootstrap raft.Membership
	// SnapshotEntries is the number of applied entries after which a snapshot
	// is taken.
	SnapshotEntries uint64
	// SnapshotBytes is the size of applied entries after which a snapshot is
	// taken.
	SnapshotBytes int
	// KeepEntries is the number of entries kept in memory behind a snapshot,
	// so that followers that lag a little need no snapshot.
	KeepEntries uint64
}

// Ticket identifies a proposal. It succeeded only if an Applied carries both
// Index and Term. It failed for good if an Applied carries Index with another
// Term. Its outcome is unknown if Output.Restored reaches Index.
type Ticket struct{ Index, Term uint64 }

// Applied is the result of a committed command or membership change.
type Applied struct {
	Index, Term uint64
	Kind        raft.EntryKind
	Result      []byte
}

// Output is what a call of a Replica asks for and reports.
type Output struct {
	// Messages are to be sent; the state they depend on is durable.
	Messages []raft.Message
	// Applied are the results of entries applied by this call.
	Applied []Applied
	// Restored is the index of a snapshot that replaced the state machine's
	// state in this call, or zero.
	Restored uint64
}
