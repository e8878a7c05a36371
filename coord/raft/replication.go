package raft

// replicate queues what each member needs next.
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

// heartbeatDue reports whether the member must hear from the leader again.
func (n *Node) heartbeatDue(p *peer) bool {
	return !p.hasSent || n.now-p.lastSend >= n.cfg.HeartbeatInterval
}

// sendProbe sends no entries: a member that is away would cost a batch of
// bytes with each heartbeat.
func (n *Node) sendProbe(id string, p *peer) {
	if p.probePending && !n.heartbeatDue(p) {
		return
	}
	p.probePending = true
	n.sendAppend(id, p, nil)
}

func (n *Node) sendBatches(id string, p *peer) {
	for p.next <= n.log.lastIndex() && n.hasInflightCapacity(p) {
		entries := n.log.batch(p.next-1, n.cfg.MaxBatchBytes)
		n.sendAppend(id, p, entries)
		p.addInflight(entries)
	}
	if n.heartbeatDue(p) {
		// A heartbeat names the last entry sent, so that a loss is noticed.
		n.sendAppend(id, p, nil)
	}
}

func (n *Node) hasInflightCapacity(p *peer) bool {
	return len(p.inflight) < n.cfg.MaxInflight && p.inflightBytes < n.cfg.MaxInflightBytes
}

// sendAppend sends entries that begin with the next one.
func (n *Node) sendAppend(id string, p *peer, entries []Entry) {
	prev := p.next - 1
	term, ok := n.log.term(prev)
	if !ok {
		return
	}
	p.lastSend, p.hasSent = n.now, true
	n.send(Message{
		Kind: KindAppend, To: id, Index: prev, LogTerm: term,
		Entries: entries, Commit: n.commit, Sent: n.now,
	})
}

// handleReply processes the replies to a leader.
func (n *Node) handleReply(m Message) error {
	p := n.leading.peers[m.From]
	if n.role != RoleLeader || p == nil {
		return nil
	}
	if m.Sent > n.now {
		return &MalformedMessageError{Kind: m.Kind, From: m.From, Reason: "reply to a later time"}
	}
	if !m.Reject && m.Kind != KindSnapshotReply && m.Index > n.log.lastIndex() {
		return &ConflictError{From: m.From, Term: m.Term, Index: m.Index, Reason: "acknowledges unknown entries"}
	}
	p.recordReply(n.now, m)
	switch {
	case m.Kind == KindSnapshotReply:
		n.handleSnapshotReply(p, m)
	case m.Reject:
		n.handleReject(p, m)
	default:
		n.handleAccept(p, m)
	}
	if n.leading.transfer.to == m.From {
		n.continueTransfer()
	}
	return nil
}

func (n *Node) handleAccept(p *peer, m Message) {
	p.recordMatch(m.Index)
	switch {
	case p.state == PeerProbe && m.Kind == KindAppendReply:
		p.startReplicating()
	case p.state == PeerSnapshot && p.match >= n.log.offset:
		p.startReplicating()
	case p.state == PeerSnapshot && p.match >= p.outgoing.snapshot.Meta.Index:
		// The log behind this snapshot is gone, because the member was not
		// heard for a while; it needs a newer one.
		p.startProbing(p.match+1, n.now)
	}
	n.advanceCommit()
}

// handleReject finds the next entry to try. The member names the last index at
// which the logs may match and its term, which skips a whole term at a time.
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

// handleAppend stores the entries that follow the own log.
func (n *Node) handleAppend(m Message) error {
	if m.Index+uint64(len(m.Entries)) <= n.commit {
		n.reply(m, Message{Kind: KindAppendReply, Index: n.commit})
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
	n.reply(m, Message{Kind: KindAppendReply, Index: last})
	return nil
}

// skipCommitted drops the entries that are committed here already.
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

func (n *Node) rejectAppend(m Message) {
	hint := min(m.Index-1, n.log.lastIndex())
	hint = max(n.log.lastIndexWithTermAtMost(hint, m.LogTerm), n.commit)
	term, _ := n.log.term(hint)
	n.reply(m, Message{Kind: KindAppendReply, Reject: true, Index: m.Index, Hint: hint, HintTerm: term})
}

// storeEntries appends entries and replaces those that conflict.
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
