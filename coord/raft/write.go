package raft

import (
	"slices"
	"time"
)

// A node goes on while its caller stores state, so that a slow disk delays what has to
// be durable and nothing else: heartbeats, their replies and pre-votes are sent, and
// entries are committed by the other voters. At most one write is in progress.
//
// Invariants:
//   - A message of a term is sent only once that term is durable. Otherwise a node that
//     crashes could act in the same term again with another log. Pre-votes are exempt,
//     since they bind nobody.
//   - A vote is granted, and an entry acknowledged, only once it is durable.
//   - An entry counts as stored by this node only once it is durable, also for its own
//     quorum.

// tookDivisor is the inverse of the part by which the time of a slow write decreases with
// each later one.
const tookDivisor = 8

// writeState is the state of the writes to the storage.
type writeState struct {
	inProgress bool
	// started is the time at which the write in progress started.
	started time.Duration
	// took is the time that the slowest of the last synced writes took.
	took time.Duration
	// durableTerm and durableCommit are the latest term and commit index known to be
	// durable.
	durableTerm, durableCommit uint64
	// covered holds the messages that wait for the write in progress, and deferred
	// those that wait for the next one.
	covered, deferred []Message
}

// dependsOnWrite reports whether a message depends on state that may not be durable.
func (n *Node) dependsOnWrite(m Message) bool {
	switch {
	case m.Kind == KindPreVote || m.Kind == KindPreVoteReply:
		return false
	case m.Kind == KindVoteReply || m.Term > n.write.durableTerm:
		return true
	}
	return m.Kind == KindAppendReply && !m.Reject && m.Index > n.log.stable
}

// deferMessage keeps a message for the time after a write. It drops the replies that m
// replaces, so that a write that hangs keeps back few of them.
func (n *Node) deferMessage(m Message) {
	n.write.deferred = append(slices.DeleteFunc(n.write.deferred, m.replaces), m)
}

// replaces reports whether the receiver needs no earlier reply besides this one. An
// acknowledgement replaces one for fewer entries.
func (m Message) replaces(earlier Message) bool {
	if earlier.Kind != m.Kind || earlier.To != m.To || earlier.Reject != m.Reject {
		return false
	}
	switch m.Kind {
	case KindAppendReply:
		return m.Reject || earlier.Index <= m.Index
	case KindVoteReply, KindHeartbeatReply, KindSnapshotReply:
		return true
	}
	return false
}

// releaseDeferred queues the deferred messages if all that they depend on is durable.
func (n *Node) releaseDeferred() {
	unsaved := n.pendingSnapshot != nil || n.isVoteChanged() || n.log.handed < n.log.lastIndex()
	if n.write.inProgress || unsaved {
		return
	}
	n.queueCurrent(n.write.deferred)
	n.write.deferred = nil
}

// queueCurrent queues the messages of the current term. Nobody needs those of earlier
// terms any more.
func (n *Node) queueCurrent(messages []Message) {
	for _, m := range messages {
		if m.Term == n.term {
			n.messages = append(n.messages, m)
		}
	}
}

func (n *Node) isVoteChanged() bool {
	return n.term != n.savedState.Term || n.vote != n.savedState.Vote
}

// isVoteUnsaved reports whether the node is a candidate whose own vote is not durable
// yet, so that it has not asked for votes.
func (n *Node) isVoteUnsaved() bool {
	return n.role == RoleCandidate && n.write.durableTerm < n.term
}

// isWriteSlow reports whether the write in progress has taken longer than a heartbeat
// interval.
func (n *Node) isWriteSlow() bool {
	return n.write.inProgress && n.now-n.write.started >= n.cfg.HeartbeatInterval
}

// duration returns how long writes of this node take: the slowest of the last ones, or the
// one in progress if it has taken longer.
func (w *writeState) duration(now time.Duration) time.Duration {
	if w.inProgress {
		return max(w.took, now-w.started)
	}
	return w.took
}

func (n *Node) beginWrite() {
	n.write.inProgress = true
	n.write.started = n.now
	n.write.covered, n.write.deferred = n.write.deferred, nil
}

// WriteDone tells the node that the write in rd, which was accepted before, is durable,
// and that its snapshot has replaced the state of the state machine.
func (n *Node) WriteDone(now time.Duration, rd Ready) {
	n.advanceClock(now)
	n.completeWrite(rd)
}

func (n *Node) completeWrite(rd Ready) {
	if !rd.HasWrite() {
		return
	}
	n.write.inProgress = false
	if rd.MustSync || rd.Snapshot != nil {
		n.write.took = max(n.now-n.write.started, n.write.took-n.write.took/tookDivisor)
	}
	if rd.HardState != nil {
		n.saveTerm(rd.HardState.Term)
		n.write.durableCommit = rd.HardState.Commit
	}
	if rd.Snapshot != nil {
		n.applied = rd.Snapshot.Meta.Index
		n.log.stableTo(rd.Snapshot.Meta.Index, rd.Snapshot.Meta.Term)
	}
	if count := len(rd.Entries); count > 0 {
		n.log.stableTo(rd.Entries[count-1].Index, rd.Entries[count-1].Term)
	}
	n.queueCurrent(n.write.covered)
	n.write.covered = nil
	if n.role == RoleLeader {
		n.advanceCommit()
	}
}

// saveTerm records that a term is durable. A candidate asks for votes from then on, and
// its voters may take as long to store theirs. If its deadline did not move by both, it
// would start a new campaign before it can win this one, again and again while disks
// are slow.
func (n *Node) saveTerm(term uint64) {
	wasUnsaved := n.isVoteUnsaved()
	n.write.durableTerm = term
	if wasUnsaved && !n.isVoteUnsaved() {
		n.election.deadline += n.now - n.election.campaignStart + n.now - n.write.started
	}
}
