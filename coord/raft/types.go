package raft

// EntryKind is the kind of an Entry.
type EntryKind uint8

// Kinds of entries.
const (
	// EntryCommand carries a command for the state machine.
	EntryCommand EntryKind = iota + 1
	// EntryNoop is appended by each new leader, as the first entry of its term.
	EntryNoop
	// EntryChange carries an encoded MemberChange.
	EntryChange

	entryKindEnd
)

// entryOverheadBytes approximates the encoded size of an entry's fixed fields.
const entryOverheadBytes = 24

// Entry is an element of the replicated log.
type Entry struct {
	Index uint64    `msgpack:"i"`
	Term  uint64    `msgpack:"t"`
	Kind  EntryKind `msgpack:"k"`
	Data  []byte    `msgpack:"d,omitempty"`
}

// Size returns the approximate encoded size of the entry in bytes.
func (e Entry) Size() int {
	return entryOverheadBytes + len(e.Data)
}

// HardState is the state that must be durable before messages are sent. Losing
// the latest value of Commit is safe: a restarted host applies the log up to the
// stored Commit.
type HardState struct {
	Term   uint64 `msgpack:"t"`
	Vote   string `msgpack:"v,omitempty"`
	Commit uint64 `msgpack:"c"`
}

// SnapshotMeta describes a snapshot of the state machine.
type SnapshotMeta struct {
	// Index and Term are those of the last entry that the snapshot contains.
	Index uint64 `msgpack:"i"`
	Term  uint64 `msgpack:"t"`
	// Membership is the membership as of Index.
	Membership Membership `msgpack:"m"`
}

// Snapshot is a snapshot of the state machine with its description.
type Snapshot struct {
	Meta SnapshotMeta
	Data []byte
}

// RestoredState is the durable state that a Node starts from.
type RestoredState struct {
	HardState HardState
	// Membership is used if there is no snapshot, so that a node can start
	// with an empty log. The membership of a snapshot takes precedence.
	Membership Membership
	// Snapshot has index zero if there is no snapshot.
	Snapshot SnapshotMeta
	// SnapshotData is the content of Snapshot. The storage returns it
	// separately, and the replica sets it here.
	SnapshotData []byte
	// Entries are the stored log entries without gaps. The first index is at
	// most one after that of Snapshot.
	Entries []Entry
}

// Empty reports whether the storage held no state.
func (r RestoredState) Empty() bool {
	noState := r.HardState.Term == 0 && r.HardState.Vote == ""
	return noState && r.Snapshot.Index == 0 && len(r.Entries) == 0
}

// Ready is the work that the caller must do. The first four fields are one write to
// the storage, which may be in progress while the caller does the rest.
type Ready struct {
	// Snapshot, if not nil, must be stored before HardState and Entries. Once it is
	// durable, it must replace the state of the state machine.
	Snapshot *Snapshot
	// HardState, if not nil, must be stored together with Entries.
	HardState *HardState
	// Entries must be stored. They replace the stored entries from the index
	// of the first one on.
	Entries []Entry
	// MustSync is false if only HardState.Commit has changed.
	MustSync bool
	// Messages must be sent. The state that they depend on is durable already.
	Messages []Message
	// Committed entries must be applied in this order.
	Committed []Entry
}
