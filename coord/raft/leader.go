package raft

import (
	"slices"
	"time"
)

// leaderState is the state of a node while it leads.
type leaderState struct {
	peers map[string]*peer
	// noop is the index of the first entry of the own term.
	noop uint64
	// uncommitted is the size of the entries after the commit index.
	uncommitted int
	transfer    transfer
	// ceded is set when a TimeoutNow was sent. The message may arrive at any
	// later time, so the lease is given up for the rest of the term.
	ceded bool
	// handOver is when a leader of low priority next looks for a successor.
	handOver time.Duration
}

// transfer is a leadership transfer in progress.
type transfer struct {
	to       string
	deadline time.Duration
	// sent is when TimeoutNow was last sent; it is valid if the leader ceded.
	sent time.Duration
}

func (n *Node) becomeLeader() {
	n.role = RoleLeader
	n.leader = n.cfg.ID
	n.incoming = nil
	n.lead = leaderState{peers: map[string]*peer{}}
	n.lead.handOver = n.now + n.election.handOverDelay
	for _, e := range n.log.between(n.commit, n.log.lastIndex()) {
		n.lead.uncommitted += e.Size()
	}
	n.updatePeers()
	noop := n.nextEntry(EntryNoop, nil)
	n.lead.noop = noop.Index
	n.appendOwn(noop)
}

// updatePeers makes the tracked members match the membership.
func (n *Node) updatePeers() {
	members := n.membership().Members()
	for _, id := range members {
		if id != n.cfg.ID && n.lead.peers[id] == nil {
			n.lead.peers[id] = newPeer(n.log.lastIndex()+1, n.now)
		}
	}
	for id := range n.lead.peers {
		if !contains(members, id) {
			delete(n.lead.peers, id)
		}
	}
}

// eachPeer visits the tracked members in the order of their identifiers.
func (n *Node) eachPeer(visit func(id string, p *peer)) {
	for _, id := range n.membership().Members() {
		if p := n.lead.peers[id]; p != nil {
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
		matches = append(matches, n.lead.peers[id].match)
	}
	index := quorumValue(matches)
	if index <= n.commit || !n.log.matches(index, n.term) {
		return
	}
	for _, e := range n.log.between(n.commit, index) {
		n.lead.uncommitted -= e.Size()
	}
	n.commit = index
	n.leaveIfRemoved()
}

// leaveIfRemoved steps down once the leader's own removal is committed. The
// voter with the longest log campaigns at once, to shorten the interruption.
func (n *Node) leaveIfRemoved() {
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
	heard := make([]time.Duration, 0, len(n.membership().Voters))
	for _, id := range n.membership().Voters {
		if id == n.cfg.ID {
			heard = append(heard, n.now)
			continue
		}
		heard = append(heard, n.lead.peers[id].heard)
	}
	if n.now-quorumValue(heard) >= n.cfg.ElectionTimeout {
		n.becomeFollower(n.term, "")
	}
}

// HoldsLease reports whether the node leads and no other node can lead at the
// time now, which must have been read just before the call.
func (n *Node) HoldsLease(now time.Duration) bool {
	if n.role != RoleLeader || n.lead.ceded || n.commit < n.lead.noop {
		return false
	}
	now = max(now, n.now)
	renewed := make([]time.Duration, 0, len(n.membership().Voters))
	for _, id := range n.membership().Voters {
		switch {
		case id == n.cfg.ID:
			renewed = append(renewed, now)
		case !n.lead.peers[id].hasAck:
			renewed = append(renewed, now-n.cfg.ElectionTimeout)
		default:
			renewed = append(renewed, n.lead.peers[id].acked)
		}
	}
	return now < quorumValue(renewed)+n.cfg.Lease()
}

// ProposeChange appends a membership change if the node leads. The change
// takes effect at once, and succeeded when it is committed.
func (n *Node) ProposeChange(now time.Duration, c MemberChange) (index, term uint64, err error) {
	n.advanceClock(now)
	if err := n.acceptsProposals(); err != nil {
		return 0, 0, err
	}
	if n.commit < n.lead.noop {
		return 0, 0, &NotReadyError{Term: n.term}
	}
	if n.changeIndex() > n.commit {
		return 0, 0, &ChangeInProgressError{Index: n.changeIndex()}
	}
	if reason := n.refuseChange(c); reason != "" {
		return 0, 0, &ChangeRefusedError{Change: c, Reason: reason}
	}
	entry := n.nextEntry(EntryChange, c.encode())
	n.appendOwn(entry)
	n.updatePeers()
	return entry.Index, entry.Term, nil
}

func (n *Node) refuseChange(c MemberChange) ChangeReason {
	if _, reason := n.membership().apply(c); reason != "" {
		return reason
	}
	if c.Op == Promote && n.lead.peers[c.ID].match+n.cfg.PromoteLag < n.commit {
		return ReasonNotCaughtUp
	}
	return ""
}
