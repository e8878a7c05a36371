package raft

import (
	"slices"
	"time"
)

// leaderState is the state of a node while it leads.
type leaderState struct {
	peers map[string]*peer
	// noopIndex is the index of the first entry of the own term.
	noopIndex uint64
	// uncommitted is the size of the entries after the commit index.
	uncommitted int
	transfer    transfer
	// sentTimeoutNow is set when a TimeoutNow was sent. The message may arrive at any
	// later time, so the lease is given up for the rest of the term.
	sentTimeoutNow bool
	// nextTransfer is when a leader of low priority next looks for a successor.
	nextTransfer time.Duration
}

// transfer is a leadership transfer in progress.
type transfer struct {
	to       string
	deadline time.Duration
	// timeoutNowSent is when TimeoutNow was last timeoutNowSent; it is valid if the leader ceded.
	timeoutNowSent time.Duration
}

func (n *Node) becomeLeader() {
	n.role = RoleLeader
	n.leader = n.cfg.ID
	n.incoming = nil
	n.leading = leaderState{peers: map[string]*peer{}}
	n.leading.nextTransfer = n.now + n.election.transferDelay
	for _, e := range n.log.between(n.commit, n.log.lastIndex()) {
		n.leading.uncommitted += e.Size()
	}
	n.updatePeers()
	noop := n.nextEntry(EntryNoop, nil)
	n.leading.noopIndex = noop.Index
	n.appendAsLeader(noop)
}

// updatePeers makes the tracked members match the membership.
func (n *Node) updatePeers() {
	members := n.membership().Members()
	for _, id := range members {
		if id != n.cfg.ID && n.leading.peers[id] == nil {
			n.leading.peers[id] = newPeer(n.log.lastIndex()+1, n.now)
		}
	}
	for id := range n.leading.peers {
		if !contains(members, id) {
			delete(n.leading.peers, id)
		}
	}
}

// eachPeer visits the tracked members in the order of their identifiers.
func (n *Node) eachPeer(visit func(id string, p *peer)) {
	for _, id := range n.membership().Members() {
		if p := n.leading.peers[id]; p != nil {
			visit(id, p)
		}
	}
}

// advanceCommit commits what a majority has stored. Only an entry of the own
// term is committed by counting; earlier ones are committed with it.
func (n *Node) advanceCommit() {
	matches := make([]uint64, 0, len(n.membership().Voters))
	for _, id := range n.membership().Voters {
		if id == n.cfg.ID {
			matches = append(matches, n.log.stable)
			continue
		}
		matches = append(matches, n.leading.peers[id].match)
	}
	index := quorumValue(matches)
	if index <= n.commit || !n.log.matches(index, n.term) {
		return
	}
	for _, e := range n.log.between(n.commit, index) {
		n.leading.uncommitted -= e.Size()
	}
	n.commit = index
	n.stepDownIfRemoved()
}

// stepDownIfRemoved steps down once the leader's own removal is committed. The
// voter with the longest log campaigns at once, to shorten the interruption.
func (n *Node) stepDownIfRemoved() {
	if n.membership().IsMember(n.cfg.ID) || n.changeIndex() > n.commit {
		return
	}
	n.eachPeer(func(id string, p *peer) { n.sendAppend(id, p, nil) })
	if to := n.bestSuccessor(false); to != "" {
		n.send(Message{Kind: KindTimeoutNow, To: to})
	}
	n.becomeFollower(n.term, "")
}

// quorumValue returns the highest value that a majority has reached.
func quorumValue[T uint64 | time.Duration](values []T) T {
	slices.Sort(values)
	return values[(len(values)-1)/2]
}

// checkQuorum makes the leader step down when it has not heard a majority for
// an election timeout.
func (n *Node) checkQuorum() {
	replyTimes := make([]time.Duration, 0, len(n.membership().Voters))
	for _, id := range n.membership().Voters {
		if id == n.cfg.ID {
			replyTimes = append(replyTimes, n.now)
			continue
		}
		replyTimes = append(replyTimes, n.leading.peers[id].lastReply)
	}
	if n.now-quorumValue(replyTimes) >= n.cfg.ElectionTimeout {
		n.becomeFollower(n.term, "")
	}
}

// HoldsLease reports whether the node leads and no other node can lead at the
// time now, which must have been read just before the call.
func (n *Node) HoldsLease(now time.Duration) bool {
	if n.role != RoleLeader || n.leading.sentTimeoutNow || n.commit < n.leading.noopIndex {
		return false
	}
	now = max(now, n.now)
	ackTimes := make([]time.Duration, 0, len(n.membership().Voters))
	for _, id := range n.membership().Voters {
		switch {
		case id == n.cfg.ID:
			ackTimes = append(ackTimes, now)
		case !n.leading.peers[id].hasAck:
			ackTimes = append(ackTimes, now-n.cfg.ElectionTimeout)
		default:
			ackTimes = append(ackTimes, n.leading.peers[id].lastAckedSend)
		}
	}
	return now < quorumValue(ackTimes)+n.cfg.Lease()
}

// ProposeChange appends a membership change if the node leads. The change
// takes effect at once, and succeeded when it is committed.
func (n *Node) ProposeChange(now time.Duration, c MemberChange) (index, term uint64, err error) {
	n.advanceClock(now)
	if err := n.checkAcceptsProposals(); err != nil {
		return 0, 0, err
	}
	if n.commit < n.leading.noopIndex {
		return 0, 0, &NotReadyError{Term: n.term}
	}
	if n.changeIndex() > n.commit {
		return 0, 0, &ChangeInProgressError{Index: n.changeIndex()}
	}
	if reason := n.checkChange(c); reason != "" {
		return 0, 0, &ChangeRefusedError{Change: c, Reason: reason}
	}
	entry := n.nextEntry(EntryChange, c.encode())
	n.appendAsLeader(entry)
	n.updatePeers()
	return entry.Index, entry.Term, nil
}

func (n *Node) checkChange(c MemberChange) ChangeReason {
	if _, reason := n.membership().apply(c); reason != "" {
		return reason
	}
	if c.Op == Promote && n.leading.peers[c.ID].match+n.cfg.PromoteLag < n.commit {
		return ReasonNotCaughtUp
	}
	return ""
}
