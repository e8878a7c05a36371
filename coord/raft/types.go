package raft

// EntryKind is the kind of an Entry.
type EntryKind uint8

// Kinds of entries.
const (
	// EntryCommand carries a command for the state machine.
	EntryCommand EntryKind = iota + 1
	// EntryNoop is appended by each new leader.
	EntryNoop
	// EntryChange carries an encoded MemberChange.
	EntryChange

	entryKindEnd
)

// entryOverheadBytes approximates the encoded fixed fields of an entry.
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

// HardState is the state that must be durable before messages are sent.
// Commit is a hint: losing its latest value is safe, but a host restarts with
// the state up to the Commit that it finds.
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

// Snapshot is a snapshot with its content.
type Snapshot struct {
	Meta SnapshotMeta
	Data []byte
}

// Restored is the durable state that a Node starts from.
type Restored struct {
	HardState HardState
	// Membership is used if there is no snapshot, so that a node can start
	// with an empty log; the membership of a snapshot takes precedence.
	Membership Membership
	// Snapshot has index zero if there is none.
	Snapshot SnapshotMeta
	// SnapshotData is the content of Snapshot. Storage returns it apart, and
	// the replica fills it in.
	SnapshotData []byte
	// Entries follow each other without gaps, and follow Snapshot.
	Entries []Entry
}

// Empty reports whether nothing was stored yet.
func (r Restored) Empty() bool {
	noState := r.HardState.Term == 0 && r.HardState.Vote == ""
	return noState && r.Snapshot.Index == 0 && len(r.Entries) == 0
}

// Ready lists what the caller must do, in the order of the fields.
type Ready struct {
	// Snapshot is to be stored and to replace the state machine's state.
	Snapshot *Snapshot
	// HardState is to be stored together with Entries if it is not nil.
	HardState *HardState
	// Entries are to be stored; they replace stored entries from the first
	// one's index on.
	Entries []Entry
	// MustSync is false if only HardState.Commit has changed.
	MustSync bool
	// Messages are to be sent after all of the above is durable.
	Messages []Message
	// Committed entries are to be applied in this order.
	Committed []Entry
}
