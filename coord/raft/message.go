package raft

import "time"

// Kind is the kind of a Message.
type Kind uint8

// Kinds of messages.
const (
	// KindPreVote asks whether a campaign in Term would succeed.
	KindPreVote Kind = iota + 1
	// KindPreVoteReply answers KindPreVote.
	KindPreVoteReply
	// KindVote asks for a vote in Term.
	KindVote
	// KindVoteReply answers KindVote.
	KindVoteReply
	// KindAppend carries entries that follow Index; without entries it is a
	// heartbeat that also verifies the log.
	KindAppend
	// KindAppendReply answers KindAppend and a complete snapshot.
	KindAppendReply
	// KindHeartbeat renews the lease with a member that awaits a snapshot.
	KindHeartbeat
	// KindHeartbeatReply answers KindHeartbeat.
	KindHeartbeatReply
	// KindSnapshot carries one chunk of a snapshot.
	KindSnapshot
	// KindSnapshotReply names the offset that the receiver expects next.
	KindSnapshotReply
	// KindTimeoutNow makes the receiver campaign at once.
	KindTimeoutNow

	kindEnd
)

// String returns the name of the kind.
func (k Kind) String() string {
	names := [...]string{
		"invalid", "pre-vote", "pre-vote-reply", "vote", "vote-reply",
		"append", "append-reply", "heartbeat", "heartbeat-reply",
		"snapshot", "snapshot-reply", "timeout-now",
	}
	if int(k) >= len(names) {
		return names[0]
	}
	return names[k]
}

// Message is exchanged between the members of a group.
type Message struct {
	Kind  Kind   `msgpack:"k"`
	Group string `msgpack:"g"`
	From  string `msgpack:"f"`
	To    string `msgpack:"t"`
	// Term is the sender's term, but the term to campaign in for KindPreVote
	// and for replies that grant it.
	Term uint64 `msgpack:"n"`
	// Index is the entry before Entries, the candidate's last entry, the last
	// entry known to match (accepting reply), the rejected entry, or the
	// index of the snapshot that a KindSnapshotReply is about.
	Index uint64 `msgpack:"i,omitempty"`
	// LogTerm is the term of the entry at Index in requests.
	LogTerm uint64 `msgpack:"l,omitempty"`
	// Entries follow Index without gaps.
	Entries []Entry `msgpack:"e,omitempty"`
	// Commit is the leader's commit index.
	Commit uint64 `msgpack:"c,omitempty"`
	// Sent is the sender's clock at the request; replies return it unchanged.
	Sent time.Duration `msgpack:"s,omitempty"`
	// Reject is set in replies that refuse.
	Reject bool `msgpack:"r,omitempty"`
	// Hint is the index up to which the logs may match (rejected append) or
	// the snapshot offset expected next.
	Hint uint64 `msgpack:"h,omitempty"`
	// HintTerm is the term of the entry at Hint.
	HintTerm uint64 `msgpack:"m,omitempty"`
	// Force marks a vote that the current leader has consented to.
	Force bool `msgpack:"o,omitempty"`
	// LowPriority tells the leader about the replying member.
	LowPriority bool `msgpack:"p,omitempty"`
	// Chunk is set for KindSnapshot.
	Chunk *SnapshotChunk `msgpack:"x,omitempty"`
}

// SnapshotChunk is a piece of a snapshot.
type SnapshotChunk struct {
	Meta   SnapshotMeta `msgpack:"m"`
	Offset uint64       `msgpack:"o"`
	Total  uint64       `msgpack:"t"`
	// Checksum covers the whole snapshot (CRC-32, Castagnoli polynomial).
	Checksum uint32 `msgpack:"c"`
	Data     []byte `msgpack:"d"`
}

// Size returns the approximate encoded size of the message in bytes.
func (m Message) Size() int {
	size := messageOverheadBytes + len(m.Group) + len(m.From) + len(m.To)
	for i := range m.Entries {
		size += m.Entries[i].Size()
	}
	if m.Chunk != nil {
		size += len(m.Chunk.Data) + m.Chunk.Meta.Membership.size()
	}
	return size
}

// messageOverheadBytes approximates the encoded fixed fields of a message.
const messageOverheadBytes = 64
