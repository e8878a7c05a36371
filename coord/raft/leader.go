package raft

import (
	"slices"
	"time"
)

// leaderState is the state that a node keeps only while it is leader.
type leaderState struct {
	peers map[string]*peer
	// noopIndex is the index of the first entry of the leader's own term.
	noopIndex uint64
	// uncommitted is the size in bytes of the entries after the commit index.
	uncommitted int
	transfer    transfer
	// sentTimeoutNow is set once a TimeoutNow was sent in this term. The
	// message may arrive at any later time, so the leader gives up its lease
	// for the rest of the term.
	sentTimeoutNow bool
	// behindSince is the time since which the others have stored committed entries that
	// this node has not.
	behindSince time.Duration
	// nextTransfer is the time from which a leader that is less fit than others tries to
	// transfer leadership.
	nextTransfer time.Duration
}

// transfer is a leadership transfer in progress.
type transfer struct {
	to       string
	deadline time.Duration
	// timeoutNowSent is the time at which TimeoutNow was last sent. It is valid
	// if sentTimeoutNow is set.
	timeoutNowSent time.Duration
}

func (n *Node) becomeLeader() {
	n.role = RoleLeader
	n.leader = n.cfg.ID
	n.incoming = nil
	n.leadership = leaderState{peers: map[string]*peer{}}
	n.leadership.nextTransfer = n.now + n.election.transferDelay
	for _, e := range n.log.between(n.commit, n.log.lastIndex()) {
		n.leadership.uncommitted += e.Size()
	}
	n.updatePeers()
	noop := n.nextEntry(EntryNoop, nil)
	n.leadership.noopIndex = noop.Index
	n.appendAsLeader(noop)
}

// updatePeers adds and removes peers so that they match the latest membership.
func (n *Node) updatePeers() {
	members := n.membership().Members()
	for _, id := range members {
		if id != n.cfg.ID && n.leadership.peers[id] == nil {
			n.leadership.peers[id] = newPeer(n.log.lastIndex()+1, n.now)
		}
	}
	for id := range n.leadership.peers {
		if !contains(members, id) {
			delete(n.leadership.peers, id)
		}
	}
}

// eachPeer calls visit for each peer in the order of the identifiers.
func (n *Node) eachPeer(visit func(id string, p *peer)) {
	for _, id := range n.membership().Members() {
		if p := n.leadership.peers[id]; p != nil {
			visit(id, p)
		}
	}
}

// advanceCommit raises the commit index to the highest entry that a majority
// has stored. Only an entry of the current term is committed by counting
// replicas; entries of earlier terms are committed with it.
func (n *Node) advanceCommit() {
	matches := make([]uint64, 0, len(n.membership().Voters))
	for _, id := range n.membership().Voters {
		if id == n.cfg.ID {
			matches = append(matches, n.log.stable)
			continue
		}
		matches = append(matches, n.leadership.peers[id].match)
	}
	index := quorumValue(matches)
	if index <= n.commit || !n.log.matches(index, n.term) {
		return
	}
	for _, e := range n.log.between(n.commit, index) {
		n.leadership.uncommitted -= e.Size()
	}
	n.commit = index
	n.stepDownIfRemoved()
}

// stepDownIfRemoved steps down once the leader's own removal is committed. It
// first makes the voter with the longest log campaign at once, to shorten the
// time without a leader.
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

// quorumValue returns the highest value that a majority has reached. It sorts
// values in place.
func quorumValue[T uint64 | time.Duration](values []T) T {
	slices.Sort(values)
	return values[(len(values)-1)/2]
}

// checkQuorum makes the leader step down when a majority has not replied within
// an election timeout. A voter has that time from its promotion on, since the leader may
// not have needed its replies before.
func (n *Node) checkQuorum() {
	replyTimes := make([]time.Duration, 0, len(n.membership().Voters))
	for _, id := range n.membership().Voters {
		if id == n.cfg.ID {
			replyTimes = append(replyTimes, n.now)
			continue
		}
		p := n.leadership.peers[id]
		replyTimes = append(replyTimes, max(p.lastReply, p.voterSince))
	}
	if n.now-quorumValue(replyTimes) >= n.cfg.ElectionTimeout {
		n.becomeFollower(n.term, "")
	}
}

// FirstOfTerm returns the index of the first entry of this leader's term. A state with
// that entry contains every command that earlier leaders acknowledged.
func (n *Node) FirstOfTerm() uint64 { return n.leadership.noopIndex }

// HoldsLease reports whether the node is leader and no other node can be leader
// at the time now. The caller must read now immediately before the call.
func (n *Node) HoldsLease(now time.Duration) bool {
	now = max(now, n.now)
	return now < n.LeaseEnd(now)
}

// LeaseEnd returns the time until which no other node can be leader, as far as
// the node knows at the time now, or 0 if it holds no lease.
func (n *Node) LeaseEnd(now time.Duration) time.Duration {
	if n.role != RoleLeader || n.leadership.sentTimeoutNow || n.commit < n.leadership.noopIndex {
		return 0
	}
	now = max(now, n.now)
	ackTimes := make([]time.Duration, 0, len(n.membership().Voters))
	for _, id := range n.membership().Voters {
		switch {
		case id == n.cfg.ID:
			ackTimes = append(ackTimes, now)
		case !n.leadership.peers[id].hasAck:
			ackTimes = append(ackTimes, now-n.cfg.ElectionTimeout)
		default:
			ackTimes = append(ackTimes, n.leadership.peers[id].lastAckedSend)
		}
	}
	return quorumValue(ackTimes) + n.cfg.Lease()
}

// ProposeChange appends a membership change if the node is leader. The change
// takes effect when it is appended, and has succeeded when it is committed. It is
// refused if too few of the new voters are live to commit it.
func (n *Node) ProposeChange(now time.Duration, c MemberChange) (index, term uint64, err error) {
	n.advanceClock(now)
	if err := n.checkAcceptsProposals(); err != nil {
		return 0, 0, err
	}
	if n.commit < n.leadership.noopIndex {
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
	if c.Op == Promote {
		n.leadership.peers[c.ID].voterSince = n.now
	}
	return entry.Index, entry.Term, nil
}

// checkChange returns the reason why a membership change is not allowed, or an
// empty string.
func (n *Node) checkChange(c MemberChange) ChangeReason {
	next, reason := n.membership().apply(c)
	if reason != "" {
		return reason
	}
	if c.Op == Promote && !n.leadership.peers[c.ID].isCaughtUp(n.commit) {
		return ReasonNotCaughtUp
	}
	if c.Op == Promote && !n.isLive(c.ID) {
		return ReasonSilent
	}
	if len(next.Voters) != len(n.membership().Voters) && n.countLive(next.Voters) < next.quorum() {
		return ReasonNoLiveQuorum
	}
	return ""
}

// countLive returns the number of the given members that are live.
func (n *Node) countLive(ids []string) int {
	live := 0
	for _, id := range ids {
		if n.isLive(id) {
			live++
		}
	}
	return live
}

// isLive reports whether a member is this leader, or showed it within an election timeout
// that it replies and stores what it is sent.
func (n *Node) isLive(id string) bool {
	if id == n.cfg.ID {
		return true
	}
	p := n.leadership.peers[id]
	return p != nil && p.hasAck && n.now-p.lastUseful < n.cfg.ElectionTimeout
}
