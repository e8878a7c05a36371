package raft

// Ready returns what is to be done, and whether there is anything. It returns
// the same again, and possibly more, until Advance is called.
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

// Advance reports that everything in a Ready was carried out. No other method
// may be called between Ready and Advance.
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

// Compact tells the node about a snapshot of applied state. Entries up to the
// snapshot are dropped, except for the last keep ones and those that follow a
// snapshot which is being sent.
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

// compactMemberships drops memberships that ended before the log begins.
func (n *Node) compactMemberships() {
	for len(n.memberships) > 1 && n.memberships[1].index <= n.log.offset {
		n.memberships = n.memberships[1:]
	}
}
