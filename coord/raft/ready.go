package raft

// Ready returns the pending work and whether there is any. Until Advance or Accept is
// called, it returns the same work again and possibly more. While a write is in
// progress, it returns nothing to store.
func (n *Node) Ready() (Ready, bool) {
	if n.role == RoleLeader && n.started {
		n.replicate()
	}
	n.releaseDeferred()
	rd := Ready{Messages: n.messages, Committed: n.log.between(n.applied, n.applicable())}
	if !n.write.inProgress {
		n.addWrite(&rd)
	}
	return rd, rd.HasWrite() || len(rd.Messages) > 0 || len(rd.Committed) > 0
}

// applicable returns the index of the last entry that may be applied.
func (n *Node) applicable() uint64 {
	if n.cfg.DurableCommit {
		return n.write.durableCommit
	}
	return n.commit
}

// HasWrite reports whether there is anything to store.
func (rd Ready) HasWrite() bool { return rd.Snapshot != nil || rd.HardState != nil }

func (n *Node) addWrite(rd *Ready) {
	rd.Snapshot = n.pendingSnapshot
	rd.Entries = n.log.between(n.log.handed, n.log.lastIndex())
	hard := HardState{Term: n.term, Vote: n.vote, Commit: n.commit}
	if hard == n.savedState && len(rd.Entries) == 0 {
		return
	}
	rd.HardState = &hard
	rd.MustSync = n.isVoteChanged() || len(rd.Entries) > 0
}

// Advance tells the node that the caller has completed all work in rd, its write
// included. The caller must call no other method between Ready and Advance.
func (n *Node) Advance(rd Ready) {
	n.Accept(rd)
	n.completeWrite(rd)
}

// Accept tells the node that the caller has completed all work in rd but its write,
// which it reports with WriteDone. The caller must call no other method between Ready
// and Accept.
func (n *Node) Accept(rd Ready) {
	n.messages = n.messages[len(rd.Messages):]
	if rd.Snapshot != nil {
		n.pendingSnapshot = nil
	}
	if rd.HardState != nil {
		n.savedState = *rd.HardState
	}
	if count := len(rd.Entries); count > 0 {
		n.log.handed = rd.Entries[count-1].Index
	}
	if count := len(rd.Committed); count > 0 {
		n.applied = rd.Committed[count-1].Index
	}
	if rd.HasWrite() {
		n.beginWrite()
	}
}

// HandedIndex returns the index of the last entry that was given to the caller to be
// stored.
func (n *Node) HandedIndex() uint64 { return n.log.handed }

// SnapshotIndex returns the index of the latest snapshot that was taken or received. The
// caller may not have stored it yet.
func (n *Node) SnapshotIndex() uint64 { return n.snapshot.Meta.Index }

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
