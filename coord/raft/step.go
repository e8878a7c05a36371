package raft

import "time"

// Step processes a received message. It returns a typed error for a message
// that violates the protocol. Such a message changes nothing but the time.
func (n *Node) Step(now time.Duration, m Message) error {
	n.advanceClock(now)
	if err := n.validateMessage(m); err != nil {
		return err
	}
	switch m.Kind {
	case KindPreVote:
		n.handlePreVote(m)
		return nil
	case KindPreVoteReply:
		n.handlePreVoteReply(m)
		return nil
	}
	if m.Term < n.term {
		n.rejectStaleTerm(m)
		return nil
	}
	if m.Term > n.term && !n.adoptTerm(m) {
		return nil
	}
	return n.dispatch(m)
}

func (n *Node) dispatch(m Message) error {
	switch m.Kind {
	case KindVote:
		n.handleVote(m)
	case KindVoteReply:
		n.handleVoteReply(m)
	case KindAppend, KindHeartbeat, KindSnapshot:
		return n.handleFromLeader(m)
	case KindAppendReply, KindHeartbeatReply, KindSnapshotReply:
		return n.handleReply(m)
	case KindTimeoutNow:
		n.handleTimeoutNow(m)
	}
	return nil
}

// adoptTerm becomes a follower in the newer term of a message. It reports false
// and changes nothing for a vote request while a leader may hold a lease.
func (n *Node) adoptTerm(m Message) bool {
	if m.Kind == KindVote && !m.Force && n.inLeaderLease() {
		return false
	}
	n.becomeFollower(m.Term, "")
	return true
}

// rejectStaleTerm rejects a request with an old term, so that its sender learns
// the newer term.
func (n *Node) rejectStaleTerm(m Message) {
	switch m.Kind {
	case KindAppend, KindHeartbeat, KindSnapshot:
		n.reply(m, Message{Kind: KindAppendReply, Reject: true, Index: m.Index})
	case KindVote:
		n.reply(m, Message{Kind: KindVoteReply, Reject: true})
	}
}

// handleFromLeader processes a message that only the leader of a term sends.
func (n *Node) handleFromLeader(m Message) error {
	if n.role == RoleLeader || (n.leader != "" && n.leader != m.From) {
		return &ConflictError{From: m.From, Term: m.Term, Index: m.Index, Reason: "another host is already leader in this term"}
	}
	if n.leader == "" {
		n.becomeFollower(m.Term, m.From)
	}
	n.election.lastLeaderContact = n.now
	n.resetElectionDeadline()
	switch m.Kind {
	case KindAppend:
		return n.handleAppend(m)
	case KindHeartbeat:
		n.acknowledgeStable(m, KindHeartbeatReply, n.commit)
	case KindSnapshot:
		n.handleChunk(m)
	}
	return nil
}

// reply sends m as the reply to a received message and sets the fields that all
// replies have.
func (n *Node) reply(to, m Message) {
	m.To = to.From
	m.Sent = to.Sent
	m.LowPriority = n.cfg.LowPriority
	n.send(m)
}

// send queues a message, which waits for a write if it depends on state that is not
// durable yet. It uses the node's term if the message has none.
func (n *Node) send(m Message) {
	m.Group = n.cfg.Group
	m.From = n.cfg.ID
	if m.Term == 0 {
		m.Term = n.term
	}
	if m.Term == 0 {
		// A node in term zero knows of no term that it could tell others. It
		// only grants requests or ignores them.
		return
	}
	if n.dependsOnWrite(m) {
		n.deferMessage(m)
		return
	}
	n.messages = append(n.messages, m)
}

func (n *Node) becomeFollower(term uint64, leader string) {
	if term > n.term {
		n.term = term
		n.vote = ""
	}
	if n.role != RoleFollower {
		n.resetElectionDeadline()
	}
	if leader != "" {
		n.election.transferDelay = n.cfg.ElectionTimeout
	}
	n.role = RoleFollower
	n.leader = leader
	n.leadership = leaderState{}
}
