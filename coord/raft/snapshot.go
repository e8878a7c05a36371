package raft

import (
	"hash/crc32"
	"math"
	"time"
)

// chunkRetryDivisor divides the election timeout to give the time after which an
// unacknowledged chunk is sent again.
const chunkRetryDivisor = 2

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// outgoingSnapshot is a snapshot that is being sent to a member. It does not
// change when the leader takes a newer snapshot.
type outgoingSnapshot struct {
	snapshot Snapshot
	checksum uint32
	offset   uint64
	// chunkSize is the size of the chunk in flight in bytes; sent is the time at
	// which it was sent.
	chunkSize uint64
	inFlight  bool
	sent      time.Duration
}

// incomingSnapshot is a snapshot of which some chunks have been received.
type incomingSnapshot struct {
	from string
	term uint64
	// chunk is the first chunk, with which continues compares the later ones.
	chunk SnapshotChunk
	// data is the content received so far.
	data []byte
}

func (n *Node) startSnapshot(p *peer) {
	p.startProbing(p.next, n.now)
	p.state = PeerSnapshot
	p.outgoing = outgoingSnapshot{
		snapshot: n.snapshot,
		checksum: crc32.Checksum(n.snapshot.Data, castagnoli),
	}
}

// sendSnapshot keeps one chunk in flight, so that a snapshot uses little of a
// slow link, and sends the heartbeats that are due in between.
func (n *Node) sendSnapshot(id string, p *peer) {
	o := &p.outgoing
	retryInterval := n.cfg.ElectionTimeout / chunkRetryDivisor
	if !o.inFlight || n.now-o.sent >= retryInterval {
		n.sendChunk(id, p)
	}
	if n.heartbeatDue(p) {
		p.lastSend, p.hasSent = n.now, true
		n.send(Message{Kind: KindHeartbeat, To: id, Sent: n.now})
	}
}

func (n *Node) sendChunk(id string, p *peer) {
	o := &p.outgoing
	total := uint64(len(o.snapshot.Data))
	end := min(o.offset+uint64(n.cfg.SnapshotChunkBytes), total)
	o.chunkSize = end - o.offset
	o.inFlight = true
	o.sent = n.now
	p.lastSend, p.hasSent = n.now, true
	n.send(Message{Kind: KindSnapshot, To: id, Sent: n.now, Chunk: &SnapshotChunk{
		Meta: o.snapshot.Meta, Offset: o.offset, Total: total,
		Checksum: o.checksum, Data: o.snapshot.Data[o.offset:end],
	}})
}

// handleSnapshotReply continues at the offset that the member requests, which is
// zero if the member was restarted. A reply that does not acknowledge the chunk
// in flight is used only if it answers the latest transmission, so that a
// duplicated reply does not put a second chunk in flight.
func (n *Node) handleSnapshotReply(p *peer, m Message) {
	o := &p.outgoing
	current := p.state == PeerSnapshot && m.Index == o.snapshot.Meta.Index
	if !current || !o.inFlight || m.Hint >= uint64(len(o.snapshot.Data)) {
		return
	}
	confirms := m.Hint == o.offset+o.chunkSize
	if !confirms && m.Sent != o.sent {
		return
	}
	o.offset = m.Hint
	o.inFlight = false
}

// oldestOutgoingSnapshot returns the lowest index of the snapshots that are
// being sent to members that replied within an election timeout, or the maximum
// if there is none. The log after that index is kept, because these members
// need it next.
func (n *Node) oldestOutgoingSnapshot() uint64 {
	oldest := uint64(math.MaxUint64)
	n.eachPeer(func(_ string, p *peer) {
		active := n.now-p.lastReply < n.cfg.ElectionTimeout
		if p.state == PeerSnapshot && active {
			oldest = min(oldest, p.outgoing.snapshot.Meta.Index)
		}
	})
	return oldest
}

// handleChunk stores a chunk of a snapshot and installs the snapshot when it is
// complete.
func (n *Node) handleChunk(m Message) {
	c := m.Chunk
	if c.Meta.Index <= n.commit {
		n.incoming = nil
		n.reply(m, Message{Kind: KindAppendReply, Index: n.commit})
		return
	}
	if !n.incoming.continues(m) {
		if c.Offset > 0 {
			n.reply(m, Message{Kind: KindSnapshotReply, Index: c.Meta.Index})
			return
		}
		n.incoming = &incomingSnapshot{from: m.From, term: m.Term, chunk: *c}
	}
	in := n.incoming
	if c.Offset == uint64(len(in.data)) {
		in.data = append(in.data, c.Data...)
	}
	if uint64(len(in.data)) == c.Total && in.checksumMatches() {
		n.installSnapshot(m)
		return
	}
	if uint64(len(in.data)) == c.Total {
		in.data = nil
	}
	n.reply(m, Message{Kind: KindSnapshotReply, Index: c.Meta.Index, Hint: uint64(len(in.data))})
}

// continues reports whether a chunk belongs to the snapshot being received.
func (s *incomingSnapshot) continues(m Message) bool {
	if s == nil || s.from != m.From || s.term != m.Term {
		return false
	}
	c := m.Chunk
	sameMeta := s.chunk.Meta.Index == c.Meta.Index && s.chunk.Meta.Term == c.Meta.Term
	return sameMeta && s.chunk.Total == c.Total && s.chunk.Checksum == c.Checksum
}

func (s *incomingSnapshot) checksumMatches() bool {
	return crc32.Checksum(s.data, castagnoli) == s.chunk.Checksum
}

// installSnapshot commits up to the received snapshot. It replaces the log by the
// snapshot unless the log contains the snapshot's last entry.
func (n *Node) installSnapshot(m Message) {
	in := n.incoming
	n.incoming = nil
	meta := in.chunk.Meta
	meta.Membership = meta.Membership.Clone()
	n.commit = meta.Index
	if !n.log.matches(meta.Index, meta.Term) {
		n.snapshot = Snapshot{Meta: meta, Data: in.data}
		n.log.reset(meta)
		n.applied = meta.Index
		n.memberships = []membershipAt{{index: meta.Index, membership: meta.Membership}}
		n.pendingSnapshot = &Snapshot{Meta: meta, Data: in.data}
	}
	n.reply(m, Message{Kind: KindAppendReply, Index: meta.Index})
}
