package raft

import "time"

// Step processes a received message. It returns a typed error for a message
// that violates the protocol; such a message changes nothing but the time.
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

// adoptTerm moves to the newer term of a message. It refuses if the message
// asks for a vote while a leader may hold a lease.
func (n *Node) adoptTerm(m Message) bool {
	if m.Kind == KindVote && !m.Force && n.inLeaderLease() {
		return false
	}
	n.becomeFollower(m.Term, "")
	return true
}

// rejectStaleTerm tells the sender of a request about the newer term.
func (n *Node) rejectStaleTerm(m Message) {
	switch m.Kind {
	case KindAppend, KindHeartbeat, KindSnapshot:
		n.reply(m, Message{Kind: KindAppendReply, Reject: true, Index: m.Index})
	case KindVote:
		n.reply(m, Message{Kind: KindVoteReply, Reject: true})
	}
}

// handleFromLeader processes messages that only the leader of a term sends.
func (n *Node) handleFromLeader(m Message) error {
	if n.role == RoleLeader || (n.leader != "" && n.leader != m.From) {
		return &ConflictError{From: m.From, Term: m.Term, Index: m.Index, Reason: "second leader in a term"}
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
		n.reply(m, Message{Kind: KindHeartbeatReply, Index: n.commit})
	case KindSnapshot:
		n.handleChunk(m)
	}
	return nil
}

// reply fills in the fields that all replies share.
func (n *Node) reply(to, m Message) {
	m.To = to.From
	m.Sent = to.Sent
	m.LowPriority = n.cfg.LowPriority
	n.send(m)
}

// send queues a message. Term is kept if it is set.
func (n *Node) send(m Message) {
	m.Group = n.cfg.Group
	m.From = n.cfg.ID
	if m.Term == 0 {
		m.Term = n.term
	}
	if m.Term == 0 {
		// A node in term zero has nothing to tell; it only grants or ignores.
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
	n.leading = leaderState{}
}
