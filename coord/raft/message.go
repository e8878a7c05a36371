package raft

import "time"

// Kind is the kind of a Message.
type Kind uint8

// Kinds of messages.
const (
	// KindPreVote asks whether the receiver would grant a vote in Term.
	KindPreVote Kind = iota + 1
	// KindPreVoteReply answers KindPreVote.
	KindPreVoteReply
	// KindVote requests a vote in Term.
	KindVote
	// KindVoteReply answers KindVote.
	KindVoteReply
	// KindAppend carries entries that follow Index; without entries it is a
	// heartbeat that also verifies the log.
	KindAppend
	// KindAppendReply answers KindAppend and a complete snapshot.
	KindAppendReply
	// KindHeartbeat renews the lease with a member that is receiving a snapshot.
	KindHeartbeat
	// KindHeartbeatReply answers KindHeartbeat.
	KindHeartbeatReply
	// KindSnapshot carries one chunk of a snapshot.
	KindSnapshot
	// KindSnapshotReply answers KindSnapshot with the offset that the receiver
	// expects next.
	KindSnapshotReply
	// KindTimeoutNow makes the receiver campaign at once during a leadership
	// transfer.
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
	// Term is the sender's term. In KindPreVote and in replies that grant it,
	// it is the term of the proposed campaign.
	Term uint64 `msgpack:"n"`
	// Index is a log index. In KindAppend it is the entry before Entries, in
	// vote requests the candidate's last entry, in an accepting append reply
	// the last entry known to match, in a rejecting append reply the rejected
	// entry, and in KindSnapshotReply the index of the snapshot.
	Index uint64 `msgpack:"i,omitempty"`
	// LogTerm is the term of the entry at Index. It is set in requests.
	LogTerm uint64 `msgpack:"l,omitempty"`
	// Entries are the log entries after Index, without gaps.
	Entries []Entry `msgpack:"e,omitempty"`
	// Commit is the leader's commit index.
	Commit uint64 `msgpack:"c,omitempty"`
	// Sent is the sender's clock reading when the request was sent; replies
	// return it unchanged.
	Sent time.Duration `msgpack:"s,omitempty"`
	// Reject is set in replies that reject the request.
	Reject bool `msgpack:"r,omitempty"`
	// Hint is the last index at which the logs may match (rejected append) or
	// the snapshot offset expected next.
	Hint uint64 `msgpack:"h,omitempty"`
	// HintTerm is the term of the entry at Hint.
	HintTerm uint64 `msgpack:"m,omitempty"`
	// Force is set in a vote request that the current leader has allowed. The
	// receiver then ignores the lease of that leader.
	Force bool `msgpack:"o,omitempty"`
	// LowPriority is set in replies of a member of low priority.
	LowPriority bool `msgpack:"p,omitempty"`
	// Chunk is set for KindSnapshot.
	Chunk *SnapshotChunk `msgpack:"x,omitempty"`
}

// SnapshotChunk is a part of a snapshot.
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

// messageOverheadBytes approximates the encoded size of a message's fixed
// fields.
const messageOverheadBytes = 64
