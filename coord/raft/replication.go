package raft

// entryWrites is the number of writes of a member until an entry is stored: the one in
// progress when the entry arrives, and its own.
const entryWrites = 2

// replicate queues the next messages for each member, according to its state.
func (n *Node) replicate() {
	n.eachPeer(func(id string, p *peer) {
		if p.state != PeerSnapshot && p.next <= n.log.offset {
			n.startSnapshot(p)
		}
		switch p.state {
		case PeerProbe:
			n.sendProbe(id, p)
		case PeerReplicate:
			n.sendBatches(id, p)
		case PeerSnapshot:
			n.sendSnapshot(id, p)
		}
	})
}

// heartbeatDue reports whether a heartbeat interval has passed since the last
// message that renewed the lease with the member.
func (n *Node) heartbeatDue(p *peer) bool {
	return !p.hasSent || n.now-p.lastSend >= n.cfg.HeartbeatInterval
}

// sendProbe sends an append message without entries. With entries, an
// unreachable member would cost the bytes of a batch per heartbeat.
func (n *Node) sendProbe(id string, p *peer) {
	if p.probePending && !n.heartbeatDue(p) {
		return
	}
	p.probePending = true
	n.sendAppend(id, p, nil)
}

func (n *Node) sendBatches(id string, p *peer) {
	limit := n.sendLimit(p)
	for p.next <= limit && n.hasInflightCapacity(p) {
		entries := n.log.batch(p.next-1, limit, n.cfg.MaxBatchBytes)
		n.sendAppend(id, p, entries)
		p.addInflight(entries)
	}
	if n.heartbeatDue(p) || n.hasUnannouncedCommit(p) {
		// The message carries the index of the last entry sent, so that the
		// member rejects it if a batch was lost.
		n.sendAppend(id, p, nil)
	}
}

// hasUnannouncedCommit reports whether a member has to be told of a commit index now.
func (n *Node) hasUnannouncedCommit(p *peer) bool {
	return n.cfg.AnnounceCommit && p.sentCommit < n.commit
}

// sendLimit returns the index of the last entry that may be sent to a member now.
// Entries that wait for the next write of this node are sent together with it, so that
// the members store them in one write, too. They wait no longer than a heartbeat, so
// that a slow disk of the leader does not delay the others.
func (n *Node) sendLimit(p *peer) uint64 {
	if n.write.inProgress && !n.heartbeatDue(p) {
		return n.log.handed
	}
	return n.log.lastIndex()
}

func (n *Node) hasInflightCapacity(p *peer) bool {
	return len(p.inflight) < n.cfg.MaxInflight && p.inflightBytes < n.cfg.MaxInflightBytes
}

// sendAppend sends entries, which start at p.next, and may send none.
func (n *Node) sendAppend(id string, p *peer, entries []Entry) {
	prev := p.next - 1
	term, ok := n.log.term(prev)
	if !ok {
		return
	}
	p.lastSend, p.hasSent = n.now, true
	p.sentCommit = n.commit
	p.round.start(n.now, n.commit)
	n.send(Message{
		Kind: KindAppend, To: id, Index: prev, LogTerm: term,
		Entries: entries, Commit: n.commit, Sent: n.now,
	})
}

// handleReply processes a member's reply to an append, heartbeat or snapshot
// message of the leader.
func (n *Node) handleReply(m Message) error {
	p := n.leadership.peers[m.From]
	if n.role != RoleLeader || p == nil {
		return nil
	}
	if m.Sent > n.now {
		return &MalformedMessageError{Kind: m.Kind, From: m.From, Reason: "echoed send time is in the future"}
	}
	if !m.Reject && m.Kind != KindSnapshotReply && m.Index > n.log.lastIndex() {
		return &ConflictError{From: m.From, Term: m.Term, Index: m.Index, Reason: "acknowledges entries beyond the leader's log"}
	}
	match, acked := p.match, p.outgoing.acked
	p.recordReply(n.now, m)
	switch {
	case m.Kind == KindSnapshotReply:
		n.handleSnapshotReply(p, m)
	case m.Reject:
		n.handleReject(p, m)
	default:
		n.handleAccept(p, m)
	}
	p.recordProgress(n.now, m, match, acked, n.commit, entryWrites*n.write.duration(n.now))
	if n.leadership.transfer.to == m.From {
		n.continueTransfer()
	}
	return nil
}

func (n *Node) handleAccept(p *peer, m Message) {
	p.recordMatch(m.Index)
	p.round.finish(n.now, m.Sent, p.match, n.cfg.ElectionTimeout)
	switch {
	case p.state == PeerProbe && m.Kind == KindAppendReply:
		p.startReplicating()
	case p.state == PeerSnapshot && p.match >= n.log.offset:
		p.startReplicating()
	case p.state == PeerSnapshot && p.match >= p.outgoing.snapshot.Meta.Index:
		// The entries after this snapshot were compacted, because the member
		// did not reply for an election timeout. It needs a newer snapshot.
		p.startProbing(p.match+1, n.now)
	}
	n.advanceCommit()
}

// handleReject chooses the next entry to probe. The rejection carries the last
// index at which the logs may match and the term there, so that each round trip
// skips a whole term of conflicting entries.
func (n *Node) handleReject(p *peer, m Message) {
	stale := m.Index <= p.match || m.Index >= p.next
	if stale || m.Sent < p.probingSince || p.state == PeerSnapshot {
		return
	}
	if p.state == PeerProbe && m.Index != p.next-1 {
		return
	}
	hint := min(m.Hint, m.Index-1)
	p.startProbing(n.log.lastIndexWithTermAtMost(hint, m.HintTerm)+1, n.now)
}

// handleAppend appends the leader's entries if the log contains the entry before
// them, and rejects them otherwise.
func (n *Node) handleAppend(m Message) error {
	if m.Index+uint64(len(m.Entries)) <= n.commit {
		n.acknowledgeStable(m, KindAppendReply, n.commit)
		return nil
	}
	m = n.skipCommitted(m)
	if m.Index == n.commit && !n.log.matches(m.Index, m.LogTerm) {
		return &ConflictError{From: m.From, Term: m.Term, Index: m.Index, Reason: "contradicts a committed entry"}
	}
	if !n.log.matches(m.Index, m.LogTerm) {
		n.rejectAppend(m)
		return nil
	}
	n.storeEntries(m.Entries)
	last := m.Index + uint64(len(m.Entries))
	n.commit = max(n.commit, min(m.Commit, last))
	n.acknowledgeAppend(m, last)
	return nil
}

// acknowledgeAppend replies to an append message whose entries, up to last, are in the
// log. Entries are acknowledged once they are durable. A message without entries, or
// one that waits for a slow write, is answered at once for the part that is durable, so
// that the leader does not take a slow disk for a lost member.
func (n *Node) acknowledgeAppend(m Message, last uint64) {
	if last > n.log.stable && (len(m.Entries) == 0 || n.isWriteSlow()) {
		n.acknowledgeStable(m, KindAppendReply, last)
	}
	if last <= n.log.stable || len(m.Entries) > 0 {
		n.reply(m, Message{Kind: KindAppendReply, Index: last})
	}
}

// acknowledgeStable replies at once for the entries up to index that are durable.
func (n *Node) acknowledgeStable(m Message, kind Kind, index uint64) {
	n.reply(m, Message{Kind: kind, Index: min(index, n.log.stable)})
}

// skipCommitted returns m without the entries that this node has already
// committed.
func (n *Node) skipCommitted(m Message) Message {
	if m.Index >= n.commit {
		return m
	}
	skip := n.commit - m.Index
	m.LogTerm = m.Entries[skip-1].Term
	m.Index = n.commit
	m.Entries = m.Entries[skip:]
	return m
}

// rejectAppend replies with the last index at which the logs may match.
func (n *Node) rejectAppend(m Message) {
	hint := min(m.Index-1, n.log.lastIndex())
	hint = max(n.log.lastIndexWithTermAtMost(hint, m.LogTerm), n.commit)
	term, _ := n.log.term(hint)
	n.reply(m, Message{Kind: KindAppendReply, Reject: true, Index: m.Index, Hint: hint, HintTerm: term})
}

// storeEntries appends the entries that the log lacks. If one conflicts with a
// stored entry, the log is truncated there first.
func (n *Node) storeEntries(entries []Entry) {
	for i, e := range entries {
		if n.log.matches(e.Index, e.Term) {
			continue
		}
		if e.Index <= n.log.lastIndex() {
			n.truncate(e.Index)
		}
		for _, added := range entries[i:] {
			n.appendEntry(added)
		}
		return
	}
}
