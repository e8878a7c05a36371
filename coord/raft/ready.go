package raft

// Ready returns the pending work and whether there is any. Until Advance is
// called, it returns the same work again and possibly more.
func (n *Node) Ready() (Ready, bool) {
	if n.role == RoleLeader && n.started {
		n.replicate()
	}
	rd := Ready{
		Snapshot:  n.pendingSnapshot,
		Entries:   n.log.between(n.log.stable, n.log.lastIndex()),
		Messages:  n.messages,
		Committed: n.log.between(n.applied, n.commit),
	}
	n.addHardState(&rd)
	hasWork := rd.Snapshot != nil || rd.HardState != nil
	hasWork = hasWork || len(rd.Entries) > 0 || len(rd.Messages) > 0 || len(rd.Committed) > 0
	return rd, hasWork
}

func (n *Node) addHardState(rd *Ready) {
	hard := HardState{Term: n.term, Vote: n.vote, Commit: n.commit}
	if hard == n.savedState && len(rd.Entries) == 0 {
		return
	}
	rd.HardState = &hard
	sameVote := hard.Term == n.savedState.Term && hard.Vote == n.savedState.Vote
	rd.MustSync = !sameVote || len(rd.Entries) > 0
}

// Advance tells the node that the caller has completed all work in rd. The
// caller must call no other method between Ready and Advance.
func (n *Node) Advance(rd Ready) {
	n.messages = n.messages[len(rd.Messages):]
	if rd.Snapshot == n.pendingSnapshot {
		n.pendingSnapshot = nil
	}
	if rd.HardState != nil {
		n.savedState = *rd.HardState
	}
	if count := len(rd.Entries); count > 0 {
		n.log.stable = rd.Entries[count-1].Index
	}
	if count := len(rd.Committed); count > 0 {
		n.applied = rd.Committed[count-1].Index
	}
	if n.role == RoleLeader {
		n.advanceCommit()
	}
}

// Compact replaces the node's snapshot by a newer one of applied state. It drops
// the entries up to the snapshot, except for the last keep entries and the
// entries after a snapshot that is being sent to a member.
func (n *Node) Compact(meta SnapshotMeta, data []byte, keep uint64) {
	if meta.Index <= n.snapshot.Meta.Index || meta.Index > n.applied {
		return
	}
	n.snapshot = Snapshot{Meta: meta, Data: data}
	if meta.Index <= keep {
		return
	}
	cut := min(meta.Index-keep, n.oldestOutgoingSnapshot())
	n.log.compact(cut)
	n.compactMemberships()
}

// compactMemberships drops memberships that were replaced before the first entry
// of the log.
func (n *Node) compactMemberships() {
	for len(n.memberships) > 1 && n.memberships[1].index <= n.log.offset {
		n.memberships = n.memberships[1:]
	}
}
