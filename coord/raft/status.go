package raft

import (
	"slices"
	"time"
)

// Role is the role of a node in its group.
type Role uint8

// Roles of nodes.
const (
	RoleFollower Role = iota
	RolePreCandidate
	RoleCandidate
	RoleLeader
)

// String returns the name of the role.
func (r Role) String() string {
	names := [...]string{"follower", "pre-candidate", "candidate", "leader"}
	if int(r) >= len(names) {
		return "invalid"
	}
	return names[r]
}

// PeerState is the mode in which a leader replicates to a member.
type PeerState uint8

// Replication modes.
const (
	// PeerProbe sends one message without entries at a time, to find where the
	// logs match.
	PeerProbe PeerState = iota
	// PeerReplicate sends batches without waiting for replies.
	PeerReplicate
	// PeerSnapshot sends a snapshot in chunks.
	PeerSnapshot
)

// String returns the name of the state.
func (s PeerState) String() string {
	names := [...]string{"probe", "replicate", "snapshot"}
	if int(s) >= len(names) {
		return "invalid"
	}
	return names[s]
}

// PeerStatus is the leader's view of another member.
type PeerStatus struct {
	ID    string
	Voter bool
	State PeerState
	Match uint64
	Next  uint64
	// HasReplied reports whether the member has replied to this leader. A member that
	// receives a snapshot replies without a Match.
	HasReplied bool
	// SinceLastReply is the time since the last reply of the member, or since this leader
	// was elected or added it. Replies of a member that stores nothing, although it lacks
	// committed entries, do not count.
	SinceLastReply time.Duration
	// Live reports whether the member replied within an election timeout, as far as its
	// replies count.
	Live bool
	// CaughtUp reports whether the member may be promoted: it stores every committed
	// entry, or those that were committed when the leader sent it something not longer than
	// an election timeout before its reply.
	CaughtUp bool
	// LowPriority is false until the member has replied.
	LowPriority bool
	// SnapshotSent and SnapshotTotal are in bytes.
	SnapshotSent, SnapshotTotal uint64
}

// BasicStatus is the part of Status that is cheap to read after each step, because
// it copies no lists.
type BasicStatus struct {
	Role      Role
	Term      uint64
	Leader    string
	Commit    uint64
	Applied   uint64
	LastIndex uint64
}

// BasicStatus returns the node's role, term, leader and log positions.
func (n *Node) BasicStatus() BasicStatus {
	return BasicStatus{
		Role: n.role, Term: n.term, Leader: n.leader,
		Commit: n.commit, Applied: n.applied, LastIndex: n.log.lastIndex(),
	}
}

// Status is a copy of a node's state for monitoring and membership decisions.
type Status struct {
	ID, Group     string
	Role          Role
	Term          uint64
	Vote          string
	Leader        string
	Commit        uint64
	Applied       uint64
	FirstIndex    uint64
	LastIndex     uint64
	SnapshotIndex uint64
	Membership    Membership
	// ChangeIndex is the index of the latest membership change; the change is
	// in flight while ChangeIndex exceeds Commit.
	ChangeIndex uint64
	// LastLeaderContact is the time of the last message from a leader, by the clock of
	// the node.
	LastLeaderContact time.Duration
	// TransferTo is the target of the leadership transfer in progress, or empty.
	TransferTo string
	// UncommittedBytes is the size of the entries after Commit. It is set only
	// on a leader.
	UncommittedBytes int
	// Peers lists the other members sorted by ID. It is set only on a leader.
	Peers []PeerStatus
}

// Peer returns the status of the member with this ID and whether it is listed.
func (s Status) Peer(id string) (PeerStatus, bool) {
	for _, p := range s.Peers {
		if p.ID == id {
			return p, true
		}
	}
	return PeerStatus{}, false
}

// ToleratedLosses returns the number of live voters that may be lost now without the
// group losing its majority. Only the leader knows it.
func (s Status) ToleratedLosses() int { return s.toleratedLosses(s.Membership.Voters) }

// ToleratedLossesWithout returns ToleratedLosses after the removal of a member.
func (s Status) ToleratedLossesWithout(id string) int {
	return s.toleratedLosses(without(slices.Clone(s.Membership.Voters), id))
}

func (s Status) toleratedLosses(voters []string) int {
	live := 0
	for _, id := range voters {
		if p, _ := s.Peer(id); id == s.ID || p.Live {
			live++
		}
	}
	return max(0, live-Membership{Voters: voters}.quorum())
}

// Status returns the state of the node.
func (n *Node) Status() Status {
	s := Status{
		ID: n.cfg.ID, Group: n.cfg.Group,
		Role: n.role, Term: n.term, Vote: n.vote, Leader: n.leader,
		Commit: n.commit, Applied: n.applied,
		FirstIndex: n.log.offset + 1, LastIndex: n.log.lastIndex(),
		SnapshotIndex: n.snapshot.Meta.Index,
		Membership:    n.membership().Clone(),
		ChangeIndex:   n.changeIndex(),
		TransferTo:    n.leadership.transfer.to,

		LastLeaderContact: n.election.lastLeaderContact,
	}
	if n.role != RoleLeader {
		return s
	}
	s.UncommittedBytes = n.leadership.uncommitted
	n.eachPeer(func(id string, p *peer) {
		s.Peers = append(s.Peers, n.peerStatus(id, p))
	})
	return s
}

func (n *Node) peerStatus(id string, p *peer) PeerStatus {
	return PeerStatus{
		ID: id, Voter: n.membership().IsVoter(id), State: p.state,
		Match: p.match, Next: p.next,
		HasReplied: p.hasAck, SinceLastReply: n.now - p.lastUseful, Live: n.isLive(id), CaughtUp: p.isCaughtUp(n.commit), LowPriority: p.lowPriority,
		SnapshotSent:  p.outgoing.acked,
		SnapshotTotal: uint64(len(p.outgoing.snapshot.Data)),
	}
}
