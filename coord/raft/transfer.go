package raft

import "time"

const (
	// transferBackoffFactor is the factor by which a leader of low priority waits
	// longer after each attempt to hand over.
	transferBackoffFactor = 2
	// maxTransferDelayTimeouts bounds that wait, in election timeouts.
	maxTransferDelayTimeouts = 32
	// successorReplyIntervals is the number of heartbeat intervals within which a
	// successor must have been heard.
	successorReplyIntervals = 3
)

// TransferLeadership stops accepting proposals, brings the target up to date
// and lets it campaign. If the target does not take over within an election
// timeout, the node continues to lead, in a new term if the target may still
// campaign.
func (n *Node) TransferLeadership(now time.Duration, to string) error {
	n.advanceClock(now)
	if n.role == RoleLeader && n.leading.transfer.to == to && to != "" {
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

// TransferToBestVoter transfers leadership to the voter that can take over
// soonest, one of normal priority if there is one.
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
	n.leading.transfer = transfer{to: to, deadline: n.now + n.cfg.ElectionTimeout}
	n.continueTransfer()
}

// continueTransfer sends TimeoutNow when the target has every entry, and
// repeats it in case it was lost.
func (n *Node) continueTransfer() {
	t := &n.leading.transfer
	p := n.leading.peers[t.to]
	if p == nil || p.match != n.log.lastIndex() {
		return
	}
	if n.leading.sentTimeoutNow && n.now-t.timeoutNowSent < n.cfg.HeartbeatInterval {
		return
	}
	n.leading.sentTimeoutNow = true
	t.timeoutNowSent = n.now
	n.send(Message{Kind: KindTimeoutNow, To: t.to})
}

// checkTransfer ends a transfer that takes too long. A TimeoutNow that is
// still on its way would break a lease of this term, so the leader then
// continues in a new term, with its own consent.
func (n *Node) checkTransfer() {
	switch {
	case n.leading.transfer.to == "":
	case n.now < n.leading.transfer.deadline:
		n.continueTransfer()
	case !n.leading.sentTimeoutNow:
		n.leading.transfer = transfer{}
	case n.membership().IsVoter(n.cfg.ID):
		n.campaign(RoleCandidate, true)
	default:
		n.becomeFollower(n.term, "")
	}
}

// transferFromLowPriority transfers leadership from a node of low priority.
func (n *Node) transferFromLowPriority() {
	if !n.cfg.LowPriority || n.leading.transfer.to != "" || n.now < n.leading.nextTransfer {
		return
	}
	to := n.bestSuccessor(true)
	if to == "" || n.commit < n.leading.noopIndex {
		return
	}
	longest := maxTransferDelayTimeouts * n.cfg.ElectionTimeout
	n.election.transferDelay = min(n.election.transferDelay*transferBackoffFactor, longest)
	n.leading.nextTransfer = n.now + n.election.transferDelay
	n.startTransfer(to)
}

// bestSuccessor returns the voter with the longest log that was heard recently
// and has every committed entry. It prefers, or only accepts, normal priority.
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
		if best == "" || n.leading.peers[best].isWorseSuccessorThan(p) {
			best = id
		}
	})
	return best
}
