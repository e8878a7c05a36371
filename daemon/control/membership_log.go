package control

import (
	"slices"
	"time"

	"github.com/go-logr/logr"

	"cranberrydrum.dev/coord/raft"
)

const (
	// silenceNotice is the silence of a member that is logged: by then a leader
	// without a majority has stepped down.
	silenceNotice = electionTimeout
	// noLeaderNotice is the interval of log lines of a host that knows no leader.
	noLeaderNotice = 2 * time.Second
)

// MemberCounts describes the members of the replication group as its leader sees
// them.
type MemberCounts struct {
	VotersUp, VotersSilent, LearnersUp, LearnersSilent int
	// FurtherLosses is the number of voters that may be lost now without the group
	// losing its majority.
	FurtherLosses int
}

// countMembers returns the counts for the status of a leader.
func countMembers(status raft.Status) MemberCounts {
	c := MemberCounts{VotersUp: 1}
	for _, p := range status.Peers {
		silent := p.SinceLastReply >= silenceNotice
		switch {
		case p.Voter && silent:
			c.VotersSilent++
		case p.Voter:
			c.VotersUp++
		case silent:
			c.LearnersSilent++
		default:
			c.LearnersUp++
		}
	}
	quorum := len(status.Membership.Voters)/2 + 1
	c.FurtherLosses = c.VotersUp - quorum
	return c
}

// membershipLog writes a line for each change of what this host knows about the
// members, and counts them for metrics. It is not safe for concurrent use.
type membershipLog struct {
	log      logr.Logger
	observer Observer
	// silent holds the members whose silence has been logged, asking the other hosts
	// whose join requests have.
	silent, asking map[string]bool
	// leaderlessSince is the time since which this host knows no leader; it is valid
	// if leaderless is set. noticed is the time of the last line about it.
	leaderless               bool
	leaderlessSince, noticed time.Duration
}

func newMembershipLog(log logr.Logger, observer Observer) *membershipLog {
	return &membershipLog{log: log, observer: observer, silent: map[string]bool{}, asking: map[string]bool{}}
}

// observeLeader logs what has changed since the last call on a leader.
func (l *membershipLog) observeLeader(status raft.Status, asking []string) {
	l.leaderless = false
	l.observer.SetMembers(countMembers(status))
	for _, p := range status.Peers {
		l.observePeer(p)
	}
	outside := map[string]bool{}
	for _, member := range asking {
		if status.Membership.IsMember(member) {
			continue
		}
		outside[member] = true
		if !l.asking[member] {
			l.log.Info("member asks to join", "member", member)
		}
	}
	l.asking = outside
}

func (l *membershipLog) observePeer(p raft.PeerStatus) {
	silent := p.SinceLastReply >= silenceNotice
	if silent == l.silent[p.ID] {
		return
	}
	l.silent[p.ID] = silent
	if silent {
		l.log.Info("member is silent", "member", p.ID, "voter", p.Voter, "silent_ms", p.SinceLastReply.Milliseconds(), "match", p.Match)
		return
	}
	l.log.Info("member replies again", "member", p.ID, "voter", p.Voter, "match", p.Match)
}

// observeFollower logs at intervals that this host knows no leader, with the voters
// that it needs and the hosts that it reaches. A host that waits to be added knows the
// leader from another host.
func (l *membershipLog) observeFollower(now time.Duration, status raft.Status, leader string, connected []string) {
	l.observer.SetMembers(MemberCounts{})
	clear(l.silent)
	clear(l.asking)
	if leader != "" {
		l.leaderless = false
		return
	}
	if !l.leaderless {
		l.leaderless, l.leaderlessSince, l.noticed = true, now, now
		return
	}
	if now-l.noticed < noLeaderNotice {
		return
	}
	l.noticed = now
	l.log.Info("no leader", "for_ms", (now - l.leaderlessSince).Milliseconds(), "role", status.Role.String(), "term", status.Term,
		"voters", status.Membership.Voters, "learners", status.Membership.Learners, "connected", connected, "last_index", status.LastIndex)
}

// connectedHosts returns the known hosts with a connection, sorted.
func (n *Node) connectedHosts() []string {
	n.mu.Lock()
	hosts := make([]string, 0, len(n.knownHosts))
	for host := range n.knownHosts {
		hosts = append(hosts, host)
	}
	n.mu.Unlock()
	slices.Sort(hosts)
	return slices.DeleteFunc(hosts, func(host string) bool { return !n.transport.Connected(host) })
}
