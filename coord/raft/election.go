package raft

import "time"

// Fractions and multiples of the election timeout.
const (
	// electionJitterDivisor divides the election timeout to give the largest
	// random addition to it. With half a timeout, failover completes within two
	// timeouts.
	electionJitterDivisor = 2
	// campaignRetryDivisor divides the election timeout to give the fixed part
	// of the delay before a campaign is repeated. It may be short, so that a
	// split vote need not cost a whole timeout: the nodes no longer protect the
	// previous leader's lease by then.
	campaignRetryDivisor = 4
	// lowPriorityFactor multiplies the delay before a low-priority node
	// campaigns, so that a node of normal priority campaigns first.
	lowPriorityFactor = 2
)

// electionState holds a node's timers and votes for elections.
type electionState struct {
	// lastLeaderContact is the time of the last message from a leader.
	lastLeaderContact time.Duration
	// deadline is the time at which the node starts a campaign.
	deadline time.Duration
	// campaignStart is the time at which the campaign started, and requestsSent
	// the time at which its vote requests were last sent.
	campaignStart, requestsSent time.Duration
	// votes holds the replies to the campaign by voter; true is a granted vote.
	votes map[string]bool
	// consented is set for a campaign that the previous leader has allowed.
	consented bool
	// transferDelay is the time that a leader of low priority, or with a disk that
	// hangs, waits before it transfers leadership. It grows with each attempt until
	// the node follows another leader.
	transferDelay time.Duration
}

// inLeaderLease reports whether a leader may hold a lease that relies on this
// node not to vote. That is so while the node leads, and for one election
// timeout after its last contact with a leader.
func (n *Node) inLeaderLease() bool {
	if n.role == RoleLeader {
		return true
	}
	return n.now-n.election.lastLeaderContact < n.cfg.ElectionTimeout
}

func (n *Node) resetElectionDeadline() {
	n.setElectionDeadline(n.cfg.ElectionTimeout)
}

// scheduleCampaignRetry sets the deadline for repeating a campaign that fails. A
// message from a leader resets it.
func (n *Node) scheduleCampaignRetry() {
	n.setElectionDeadline(n.cfg.ElectionTimeout / campaignRetryDivisor)
}

// setElectionDeadline sets the deadline to the end of wait plus a random time,
// which makes simultaneous campaigns unlikely.
func (n *Node) setElectionDeadline(wait time.Duration) {
	if n.cfg.LowPriority {
		wait *= lowPriorityFactor
	}
	maxJitter := int64(n.cfg.ElectionTimeout / electionJitterDivisor)
	wait += time.Duration(n.rand.Int64N(maxJitter + 1))
	n.election.deadline = n.now + wait
}

func (n *Node) tickElection() {
	if !n.membership().IsVoter(n.cfg.ID) || n.isVoteUnsaved() {
		return
	}
	if n.now >= n.election.deadline {
		n.campaign(RolePreCandidate, false)
		return
	}
	campaigning := n.role == RolePreCandidate || n.role == RoleCandidate
	if campaigning && n.now-n.election.requestsSent >= n.cfg.HeartbeatInterval {
		n.requestVotes()
	}
}

// campaign starts an election as a candidate or a pre-vote as a pre-candidate.
// A pre-candidate keeps its term, so a failed pre-vote does not make a leader
// step down.
func (n *Node) campaign(role Role, consented bool) {
	n.role = role
	n.leader = ""
	n.leadership = leaderState{}
	n.election.consented = consented
	n.election.campaignStart = n.now
	n.election.votes = map[string]bool{n.cfg.ID: true}
	n.scheduleCampaignRetry()
	if role == RoleCandidate {
		n.term++
		n.vote = n.cfg.ID
	}
	n.requestVotes()
	n.countVotes()
}

// requestVotes sends vote requests to the voters that have not replied yet.
func (n *Node) requestVotes() {
	n.election.requestsSent = n.now
	request := Message{
		Kind: KindVote, Term: n.term, Force: n.election.consented, Sent: n.now,
		Index: n.log.lastIndex(), LogTerm: n.log.lastTerm(),
	}
	if n.role == RolePreCandidate {
		request.Kind = KindPreVote
		request.Term = n.term + 1
	}
	for _, id := range n.membership().Voters {
		if _, answered := n.election.votes[id]; answered {
			continue
		}
		request.To = id
		n.send(request)
	}
}

// countVotes advances the campaign on a majority of granted votes and ends it on
// a majority of refused ones.
func (n *Node) countVotes() {
	granted, refused := 0, 0
	for _, id := range n.membership().Voters {
		vote, answered := n.election.votes[id]
		switch {
		case answered && vote:
			granted++
		case answered:
			refused++
		}
	}
	quorum := n.membership().quorum()
	switch {
	case granted >= quorum && n.role == RolePreCandidate:
		n.campaign(RoleCandidate, false)
	case granted >= quorum:
		n.becomeLeader()
	case refused >= quorum:
		n.becomeFollower(n.term, "")
		n.scheduleCampaignRetry()
	}
}

// handlePreVote answers a pre-vote request; it changes neither term nor vote. It
// sends no reply while this node is in contact with a leader, so that a member
// returning from a partition cannot depose that leader.
func (n *Node) handlePreVote(m Message) {
	if n.inLeaderLease() || n.membership().Empty() {
		return
	}
	if m.Term <= n.term || !n.log.isUpToDate(m.Index, m.LogTerm) {
		n.reply(m, Message{Kind: KindPreVoteReply, Reject: true})
		return
	}
	n.reply(m, Message{Kind: KindPreVoteReply, Term: m.Term})
	if n.role == RolePreCandidate && m.From < n.cfg.ID {
		// Two concurrent campaigns would split the votes, so the node with the
		// higher ID yields. It retries soon in case the other campaign fails.
		n.becomeFollower(n.term, "")
		n.scheduleCampaignRetry()
	}
}

func (n *Node) handlePreVoteReply(m Message) {
	if m.Reject && m.Term > n.term {
		n.becomeFollower(m.Term, "")
		return
	}
	if n.role != RolePreCandidate || m.Sent < n.election.campaignStart {
		return
	}
	if !m.Reject && m.Term != n.term+1 {
		return
	}
	n.election.votes[m.From] = !m.Reject
	n.countVotes()
}

func (n *Node) handleVote(m Message) {
	if n.membership().Empty() {
		// A host without state may have lost its disk, and with it the record
		// of a vote in this term.
		return
	}
	if !m.Force && n.inLeaderLease() {
		// adoptTerm makes this check only for a newer term. The terms may
		// already be equal if a late pre-vote reply raised this node's term,
		// while a leader of the previous term holds a lease that relies on this
		// node.
		return
	}
	voteAvailable := n.vote == m.From || (n.vote == "" && n.leader == "")
	if !voteAvailable || !n.log.isUpToDate(m.Index, m.LogTerm) {
		n.reply(m, Message{Kind: KindVoteReply, Reject: true})
		return
	}
	n.vote = m.From
	n.resetElectionDeadline()
	n.reply(m, Message{Kind: KindVoteReply})
}

func (n *Node) handleVoteReply(m Message) {
	if n.role != RoleCandidate {
		return
	}
	n.election.votes[m.From] = !m.Reject
	n.countVotes()
}

// handleTimeoutNow starts a campaign with the consent of the current leader.
func (n *Node) handleTimeoutNow(m Message) {
	consented := n.role == RoleFollower && n.leader == m.From
	if !consented || !n.membership().IsVoter(n.cfg.ID) {
		return
	}
	n.campaign(RoleCandidate, true)
}
