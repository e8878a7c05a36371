package raft

import (
	"hash/crc32"
	"math"
	"time"
)

const (
	// chunkRetryDivisor divides the election timeout to give the time without
	// progress after which the unacknowledged chunks are sent again.
	chunkRetryDivisor = 2
	// chunkDelayDivisor divides the election timeout to give the longest time from
	// sending a chunk to its acknowledgement for which more chunks are kept in
	// flight. Heartbeats to all members may wait behind these chunks.
	chunkDelayDivisor = 4
	// windowDecreaseDivisor divides the window after a late acknowledgement.
	windowDecreaseDivisor = 2
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// outgoingSnapshot is a snapshot that is being sent to a member. It does not
// change when the leader takes a newer snapshot.
type outgoingSnapshot struct {
	snapshot Snapshot
	checksum uint32
	// acked is the number of bytes that the member has confirmed, and sent the end
	// of the last chunk sent.
	acked, sent uint64
	// window limits sent - acked. It is at least one chunk.
	window uint64
	// since is the time at which sending last started from acked. Replies to chunks
	// sent before it are ignored as outdated.
	since time.Duration
	// started is set once a chunk was sent after since, and synced once one of them
	// was answered.
	started, synced bool
	// progress is the time of the last acknowledgement of new bytes, or since.
	progress time.Duration
	// latestReply is the latest send time that a reply has returned.
	latestReply time.Duration
	// resized is the time at which the window was last decreased. Replies to chunks
	// sent before it do not decrease the window again.
	resized time.Duration
}

// incomingSnapshot is a snapshot of which some chunks have been received.
type incomingSnapshot struct {
	from string
	term uint64
	// first is the first chunk received, with which continues compares the others.
	first SnapshotChunk
	// data is the content received so far without gaps.
	data []byte
	// ahead holds the chunks after a gap by offset; aheadBytes is their size.
	ahead      map[uint64][]byte
	aheadBytes int
}

func (n *Node) startSnapshot(p *peer) {
	p.startProbing(p.next, n.now)
	p.state = PeerSnapshot
	p.outgoing = outgoingSnapshot{
		snapshot: n.snapshot,
		checksum: crc32.Checksum(n.snapshot.Data, castagnoli),
	}
	n.restartSnapshot(&p.outgoing, 0)
}

// restartSnapshot sends the content from an offset on again, at first one chunk.
func (n *Node) restartSnapshot(o *outgoingSnapshot, offset uint64) {
	o.acked, o.sent = offset, offset
	o.window = uint64(n.cfg.SnapshotChunkBytes)
	o.since, o.progress = n.now, n.now
	o.started, o.synced = false, false
}

// sendSnapshot sends the chunks that fit the window and the heartbeats that are
// due in between.
func (n *Node) sendSnapshot(id string, p *peer) {
	o := &p.outgoing
	retryInterval := n.cfg.ElectionTimeout / chunkRetryDivisor
	if o.started && n.now-o.progress >= retryInterval {
		n.restartSnapshot(o, o.acked)
	}
	for o.hasCapacity(n.cfg.SnapshotChunkBytes) {
		n.sendChunk(id, p)
	}
	if n.heartbeatDue(p) {
		p.lastSend, p.hasSent = n.now, true
		n.send(Message{Kind: KindHeartbeat, To: id, Sent: n.now})
	}
}

// hasCapacity reports whether there is another chunk and it fits the window. An
// empty snapshot has one empty chunk.
func (o *outgoingSnapshot) hasCapacity(chunkBytes int) bool {
	if len(o.snapshot.Data) == 0 {
		return !o.started
	}
	next := min(o.sent+uint64(chunkBytes), uint64(len(o.snapshot.Data)))
	return next > o.sent && next-o.acked <= o.window
}

func (n *Node) sendChunk(id string, p *peer) {
	o := &p.outgoing
	total := uint64(len(o.snapshot.Data))
	offset := o.sent
	o.sent = min(offset+uint64(n.cfg.SnapshotChunkBytes), total)
	o.started = true
	p.lastSend, p.hasSent = n.now, true
	n.send(Message{Kind: KindSnapshot, To: id, Sent: n.now, Chunk: &SnapshotChunk{
		Meta: o.snapshot.Meta, Offset: offset, Total: total,
		Checksum: o.checksum, Data: o.snapshot.Data[offset:o.sent],
	}})
}

// handleSnapshotReply records how much of the snapshot the member has.
func (n *Node) handleSnapshotReply(p *peer, m Message) {
	o := &p.outgoing
	current := p.state == PeerSnapshot && m.Index == o.snapshot.Meta.Index && m.Sent >= o.since
	if !current || m.Hint >= uint64(len(o.snapshot.Data)) {
		return
	}
	switch {
	case o.isLost(m):
		n.restartSnapshot(o, m.Hint)
	case m.Hint > o.acked:
		n.resizeWindow(o, m)
		o.acked = m.Hint
		o.sent = max(o.sent, o.acked)
		o.progress = n.now
		o.synced = true
	default:
		o.synced = true
	}
	o.latestReply = max(o.latestReply, m.Sent)
}

// isLost reports whether the member has lost acknowledged bytes, as after a restart.
// With several chunks in flight, a reply that was overtaken returns a lower offset,
// too. It is not zero, because the first chunk is sent alone.
func (o *outgoingSnapshot) isLost(m Message) bool {
	return m.Hint < o.acked && (!o.synced || (m.Hint == 0 && m.Sent > o.latestReply))
}

// resizeWindow adapts the window to the time that the acknowledged chunk took. The
// window grows by the acknowledged bytes, which doubles it in a round trip.
func (n *Node) resizeWindow(o *outgoingSnapshot, m Message) {
	if n.now-m.Sent <= n.cfg.ElectionTimeout/chunkDelayDivisor {
		limit := max(n.cfg.MaxInflightBytes, n.cfg.SnapshotChunkBytes)
		o.window = min(o.window+m.Hint-o.acked, uint64(limit))
		return
	}
	if m.Sent >= o.resized {
		o.resized = n.now
		o.window = max(o.window/windowDecreaseDivisor, uint64(n.cfg.SnapshotChunkBytes))
	}
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
		n.acknowledgeStable(m, KindAppendReply, n.commit)
		return
	}
	if !n.incoming.continues(m) {
		if c.Offset > 0 {
			n.reply(m, Message{Kind: KindSnapshotReply, Index: c.Meta.Index})
			return
		}
		n.incoming = &incomingSnapshot{from: m.From, term: m.Term, first: *c, ahead: map[uint64][]byte{}}
	}
	in := n.incoming
	in.store(c, n.cfg.MaxInflightBytes)
	if uint64(len(in.data)) == c.Total && in.checksumMatches() {
		n.installSnapshot(m)
		return
	}
	if uint64(len(in.data)) == c.Total {
		n.incoming, in.data = nil, nil
	}
	n.reply(m, Message{Kind: KindSnapshotReply, Index: c.Meta.Index, Hint: uint64(len(in.data))})
}

// store adds a chunk to the content. It keeps a chunk after a gap until the gap is
// filled, up to a limit in bytes.
func (s *incomingSnapshot) store(c *SnapshotChunk, limit int) {
	end := uint64(len(s.data))
	if c.Offset > end && s.ahead[c.Offset] == nil && s.aheadBytes+len(c.Data) <= limit {
		s.ahead[c.Offset] = c.Data
		s.aheadBytes += len(c.Data)
	}
	if c.Offset != end {
		return
	}
	for next := c.Data; len(next) > 0; next = s.takeAhead() {
		s.data = append(s.data, next...)
	}
}

// takeAhead removes and returns the chunk that follows the content, if it is there.
func (s *incomingSnapshot) takeAhead() []byte {
	next := s.ahead[uint64(len(s.data))]
	delete(s.ahead, uint64(len(s.data)))
	s.aheadBytes -= len(next)
	return next
}

// continues reports whether a chunk belongs to the snapshot being received.
func (s *incomingSnapshot) continues(m Message) bool {
	if s == nil || s.from != m.From || s.term != m.Term {
		return false
	}
	c := m.Chunk
	sameMeta := s.first.Meta.Index == c.Meta.Index && s.first.Meta.Term == c.Meta.Term
	return sameMeta && s.first.Total == c.Total && s.first.Checksum == c.Checksum
}

func (s *incomingSnapshot) checksumMatches() bool {
	return crc32.Checksum(s.data, castagnoli) == s.first.Checksum
}

// installSnapshot commits up to the received snapshot. It replaces the log by the
// snapshot unless the log contains the snapshot's last entry.
func (n *Node) installSnapshot(m Message) {
	in := n.incoming
	n.incoming = nil
	meta := in.first.Meta
	meta.Membership = meta.Membership.Clone()
	n.commit = meta.Index
	if !n.log.matches(meta.Index, meta.Term) {
		n.snapshot = Snapshot{Meta: meta, Data: in.data}
		n.log.reset(meta)
		n.memberships = []membershipAt{{index: meta.Index, membership: meta.Membership}}
		n.pendingSnapshot = &Snapshot{Meta: meta, Data: in.data}
	}
	n.reply(m, Message{Kind: KindAppendReply, Index: meta.Index})
}
