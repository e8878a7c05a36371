package raft

import "time"

// Shares of the election timeout.
const (
	// electionJitterDivisor is the divisor of the random part of the timeout. Half
	// a timeout keeps failover within two timeouts.
	electionJitterDivisor = 2
	// campaignRetryDivisor is the divisor of the fixed part of the time after which a
	// campaign is repeated. The last leader is not protected any more then, so
	// that a split vote need not cost a whole timeout.
	campaignRetryDivisor = 4
	// lowPriorityFactor is the number of timeouts a node of low priority
	// waits, so that a node of normal priority campaigns first.
	lowPriorityFactor = 2
)

// electionState is the state of elections.
type electionState struct {
	// lastLeaderContact is when a leader was last heard.
	lastLeaderContact time.Duration
	// deadline is when the node campaigns.
	deadline time.Duration
	// campaignStart and requestsSent are when the campaign began and when its requests were
	// last requestsSent.
	campaignStart, requestsSent time.Duration
	// votes holds the answers to the campaign; true is a granted vote.
	votes map[string]bool
	// consented marks a campaign that the previous leader has consented to.
	consented bool
	// transferDelay is the time a leader of low priority waits before it
	// hands over; it grows with failed attempts.
	transferDelay time.Duration
}

// inLeaderLease reports whether a leader may rely on this node not to vote.
func (n *Node) inLeaderLease() bool {
	if n.role == RoleLeader {
		return true
	}
	return n.now-n.election.lastLeaderContact < n.cfg.ElectionTimeout
}

func (n *Node) resetElectionDeadline() {
	n.setElectionDeadline(n.cfg.ElectionTimeout)
}

// scheduleCampaignRetry sets the deadline of a campaign that may fail. A leader
// that is heard meanwhile resets it.
func (n *Node) scheduleCampaignRetry() {
	n.setElectionDeadline(n.cfg.ElectionTimeout / campaignRetryDivisor)
}

// setElectionDeadline adds a random time to the given one.
func (n *Node) setElectionDeadline(wait time.Duration) {
	if n.cfg.LowPriority {
		wait *= lowPriorityFactor
	}
	maxJitter := int64(n.cfg.ElectionTimeout / electionJitterDivisor)
	wait += time.Duration(n.rand.Int64N(maxJitter + 1))
	n.election.deadline = n.now + wait
}

func (n *Node) tickElection() {
	if !n.membership().IsVoter(n.cfg.ID) {
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

// campaign asks for votes, or for the promise of votes as a pre-candidate,
// which keeps its term so that a failed campaign disturbs no one.
func (n *Node) campaign(role Role, force bool) {
	n.role = role
	n.leader = ""
	n.leading = leaderState{}
	n.election.consented = force
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

// requestVotes asks the voters that have not answered yet.
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

// countVotes acts on a majority of granted or of refused votes.
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

// handlePreVote never changes the own state. It stays silent while it hears a
// leader, so that a member that was cut off disturbs no one.
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
		// Two campaigns at the same time would split the votes. If the other
		// one fails, this node tries again soon.
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
		// A host without state may have lost its disk and with it a vote.
		return
	}
	if !m.Force && n.inLeaderLease() {
		// The term may be equal already if a late pre-vote reply raised it,
		// while a leader of the term before relies on this node.
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

// handleTimeoutNow campaigns with the consent of the current leader.
func (n *Node) handleTimeoutNow(m Message) {
	consented := n.role == RoleFollower && n.leader == m.From
	if !consented || !n.membership().IsVoter(n.cfg.ID) {
		return
	}
	n.campaign(RoleCandidate, true)
}
