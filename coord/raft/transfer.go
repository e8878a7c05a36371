package raft

import "time"

const (
	// handOverBackoff is the factor by which a leader of low priority waits
	// longer after each attempt to hand over.
	handOverBackoff = 2
	// handOverMaxTimeouts bounds that wait, in election timeouts.
	handOverMaxTimeouts = 32
	// successorSilence is the number of heartbeat intervals within which a
	// successor must have been heard.
	successorSilence = 3
)

// TransferLeadership stops accepting proposals, brings the target up to date
// and lets it campaign. If the target does not take over within an election
// timeout, the node continues to lead, in a new term if the target may still
// campaign.
func (n *Node) TransferLeadership(now time.Duration, to string) error {
	n.advanceClock(now)
	if n.role == RoleLeader && n.lead.transfer.to == to && to != "" {
		return nil
	}
	if err := n.acceptsProposals(); err != nil {
		return err
	}
	if to == n.cfg.ID || !n.membership().IsVoter(to) {
		return &TransferRefusedError{To: to}
	}
	n.startTransfer(to)
	return nil
}

// HandOverLeadership transfers leadership to the voter that can take over
// soonest, one of normal priority if there is one.
func (n *Node) HandOverLeadership(now time.Duration) error {
	n.advanceClock(now)
	if err := n.acceptsProposals(); err != nil {
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
	n.lead.transfer = transfer{to: to, deadline: n.now + n.cfg.ElectionTimeout}
	n.continueTransfer()
}

// continueTransfer sends TimeoutNow when the target has every entry, and
// repeats it in case it was lost.
func (n *Node) continueTransfer() {
	t := &n.lead.transfer
	p := n.lead.peers[t.to]
	if p == nil || p.match != n.log.lastIndex() {
		return
	}
	if n.lead.ceded && n.now-t.sent < n.cfg.HeartbeatInterval {
		return
	}
	n.lead.ceded = true
	t.sent = n.now
	n.send(Message{Kind: KindTimeoutNow, To: t.to})
}

// checkTransfer ends a transfer that takes too long. A TimeoutNow that is
// still on its way would break a lease of this term, so the leader then
// continues in a new term, with its own consent.
func (n *Node) checkTransfer() {
	switch {
	case n.lead.transfer.to == "":
	case n.now < n.lead.transfer.deadline:
		n.continueTransfer()
	case !n.lead.ceded:
		n.lead.transfer = transfer{}
	case n.membership().IsVoter(n.cfg.ID):
		n.campaign(RoleCandidate, true)
	default:
		n.becomeFollower(n.term, "")
	}
}

// handOver transfers leadership from a node of low priority.
func (n *Node) handOver() {
	if !n.cfg.LowPriority || n.lead.transfer.to != "" || n.now < n.lead.handOver {
		return
	}
	to := n.bestSuccessor(true)
	if to == "" || n.commit < n.lead.noop {
		return
	}
	longest := handOverMaxTimeouts * n.cfg.ElectionTimeout
	n.election.handOverDelay = min(n.election.handOverDelay*handOverBackoff, longest)
	n.lead.handOver = n.now + n.election.handOverDelay
	n.startTransfer(to)
}

// bestSuccessor returns the voter with the longest log that was heard recently
// and has every committed entry. It prefers, or only accepts, normal priority.
func (n *Node) bestSuccessor(onlyNormal bool) string {
	best := ""
	recent := n.now - successorSilence*n.cfg.HeartbeatInterval
	n.eachPeer(func(id string, p *peer) {
		if !n.membership().IsVoter(id) || !p.hasAck {
			return
		}
		if p.heard < recent || p.match < n.commit || (onlyNormal && p.lowPriority) {
			return
		}
		if best == "" || n.lead.peers[best].worseThan(p) {
			best = id
		}
	})
	return best
}
