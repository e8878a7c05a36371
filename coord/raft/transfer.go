package raft

import "time"

const (
	// transferBackoffFactor is the factor by which the delay before a
	// low-priority leader transfers leadership grows after each attempt.
	transferBackoffFactor = 2
	// maxTransferDelayTimeouts is the largest such delay, in election timeouts.
	maxTransferDelayTimeouts = 32
	// hungWriteTimeouts is the duration of a write, in election timeouts, from which a
	// leader's disk counts as hung. An election takes no longer.
	hungWriteTimeouts = 2
	// successorReplyIntervals is the number of heartbeat intervals within which
	// a successor must have replied.
	successorReplyIntervals = 3
)

// TransferLeadership stops accepting proposals, brings the target up to date
// and makes it campaign. If the target does not take over within an election
// timeout, the node resumes leadership. If the target may still campaign, the
// node first starts a new term.
func (n *Node) TransferLeadership(now time.Duration, to string) error {
	n.advanceClock(now)
	if n.role == RoleLeader && n.leadership.transfer.to == to && to != "" {
		return nil
	}
	if err := n.checkAcceptsProposals(); err != nil {
		return err
	}
	if to == n.cfg.ID || !n.membership().IsVoter(to) {
		return &TransferRefusedError{To: to}
	}
	n.startTransfer(to)
	return nil
}

// TransferToBestVoter transfers leadership to the most suitable voter that
// replied recently, and prefers a voter of normal priority.
func (n *Node) TransferToBestVoter(now time.Duration) error {
	n.advanceClock(now)
	if err := n.checkAcceptsProposals(); err != nil {
		return err
	}
	to := n.bestSuccessor(false)
	if to == "" {
		return &NoSuccessorError{}
	}
	n.startTransfer(to)
	return nil
}

func (n *Node) startTransfer(to string) {
	n.leadership.transfer = transfer{to: to, deadline: n.now + n.cfg.ElectionTimeout}
	n.continueTransfer()
}

// continueTransfer sends TimeoutNow once the target has every entry, and repeats
// it every heartbeat interval in case it was lost.
func (n *Node) continueTransfer() {
	t := &n.leadership.transfer
	p := n.leadership.peers[t.to]
	if p == nil || p.match != n.log.lastIndex() {
		return
	}
	if n.leadership.sentTimeoutNow && n.now-t.timeoutNowSent < n.cfg.HeartbeatInterval {
		return
	}
	n.leadership.sentTimeoutNow = true
	t.timeoutNowSent = n.now
	n.send(Message{Kind: KindTimeoutNow, To: t.to})
}

// checkTransfer continues a transfer and ends it after its deadline. A
// TimeoutNow that is still in flight would violate a lease of this term. If one
// was sent, the leader therefore campaigns for a new term, with its own consent.
func (n *Node) checkTransfer() {
	switch {
	case n.leadership.transfer.to == "":
	case n.now < n.leadership.transfer.deadline:
		n.continueTransfer()
	case !n.leadership.sentTimeoutNow:
		n.leadership.transfer = transfer{}
	case n.membership().IsVoter(n.cfg.ID):
		n.campaign(RoleCandidate, true)
	default:
		n.becomeFollower(n.term, "")
	}
}

// transferIfUnfit makes a low-priority leader transfer leadership to a voter of normal
// priority, and one whose disk hangs to any other voter, with exponential back-off between
// attempts.
func (n *Node) transferIfUnfit() {
	diskHangs := n.diskHangs()
	if !n.cfg.LowPriority && !diskHangs {
		return
	}
	if n.leadership.transfer.to != "" || n.now < n.leadership.nextTransfer {
		return
	}
	to := n.bestSuccessor(!diskHangs)
	if to == "" || n.commit < n.leadership.noopIndex {
		return
	}
	maxDelay := maxTransferDelayTimeouts * n.cfg.ElectionTimeout
	n.election.transferDelay = min(n.election.transferDelay*transferBackoffFactor, maxDelay)
	n.leadership.nextTransfer = n.now + n.election.transferDelay
	n.startTransfer(to)
}

// diskHangs reports whether a write has been in progress for longer than an election, and
// for far longer than the last ones took, since the others stored what this node has not.
// The node cannot apply that if it needs a durable commit index, and the group bears a loss
// less as long as it leads.
func (n *Node) diskHangs() bool {
	if !n.write.inProgress || min(n.log.stable, n.applicable()) >= n.commit {
		n.leadership.behindSince = n.now
		return false
	}
	behind := n.now - max(n.write.started, n.leadership.behindSince)
	return behind >= max(hungWriteTimeouts*n.cfg.ElectionTimeout, entryWrites*n.write.took)
}

// bestSuccessor returns the voter with the longest log among those that replied
// recently and have every committed entry, or an empty string. It prefers voters
// of normal priority; with normalPriorityOnly it considers no others.
func (n *Node) bestSuccessor(normalPriorityOnly bool) string {
	best := ""
	recent := n.now - successorReplyIntervals*n.cfg.HeartbeatInterval
	n.eachPeer(func(id string, p *peer) {
		if !n.membership().IsVoter(id) || !p.hasAck {
			return
		}
		if p.lastReply < recent || p.match < n.commit || (normalPriorityOnly && p.lowPriority) {
			return
		}
		if best == "" || n.leadership.peers[best].isWorseSuccessorThan(p) {
			best = id
		}
	})
	return best
}
