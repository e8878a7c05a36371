package control

import (
	"slices"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"cranberrydrum.dev/coord/codec"
	"cranberrydrum.dev/coord/raft"
	"cranberrydrum.dev/daemon/clock"
)

const (
	// joinMemory is how long a request to join counts; it is repeated.
	joinMemory = 3 * time.Second
	// lostVoter is the silence after which a voter may be replaced by another
	// host, longer than a restart takes.
	lostVoter     = 8 * time.Second
	changeTimeout = 2 * time.Second
	// promoteLag is more than the entries of one round trip between regions and
	// a sync at the target size.
	promoteLag  = 64
	joinTimeout = 1 * time.Second
)

// RetiredError reports that this host was replaced while it was away, so that
// its log is void.
type RetiredError struct{ Member string }

// Error implements error.
func (e *RetiredError) Error() string { return "member " + e.Member + " was removed from the log" }

// attend keeps the membership of the log in order and, on a host that is not a
// member, asks to become one.
func (n *Node) attend() {
	defer n.wg.Done()
	ticker := time.NewTicker(membershipPeriod)
	defer ticker.Stop()
	for round := 0; ; round++ {
		select {
		case <-n.stop:
			return
		case <-ticker.C:
		}
		status := n.group.Status()
		if status.Role == raft.RoleLeader && n.group.Leads() {
			n.tend(status)
			continue
		}
		n.mu.Lock()
		n.listed = status.Membership.IsVoter(n.member)
		alone := status.Leader == "" && round%settingsPollCount == 0
		n.mu.Unlock()
		if !status.Membership.IsVoter(n.member) || alone {
			n.askToJoin()
		}
	}
}

// askToJoin looks for the leader and asks it for membership.
func (n *Node) askToJoin() {
	for _, host := range n.cfg.Seeds() {
		n.know(host)
	}
	n.mu.Lock()
	var hosts []string
	for host := range n.hosts {
		hosts = append(hosts, host)
	}
	n.mu.Unlock()
	slices.Sort(hosts)
	body, err := msgpack.Marshal(&JoinRequest{Member: n.member})
	if err != nil {
		n.log.Error(err, "a request to join cannot be encoded")
		return
	}
	for _, host := range hosts {
		if !n.transport.Connected(host) {
			continue
		}
		n.askHost(host, body)
	}
}

func (n *Node) askHost(host string, join []byte) {
	data, err := n.transport.Call(host, MethodHello, nil, joinTimeout)
	if err != nil {
		return
	}
	var hello Hello
	if err := codec.Unmarshal(data, &hello); err != nil {
		return
	}
	n.mu.Lock()
	n.hint = hello.Leader
	n.mu.Unlock()
	for _, other := range hello.Hosts {
		n.know(other)
	}
	if hello.Leader != host {
		return
	}
	data, err = n.transport.Call(host, MethodJoin, join, joinTimeout)
	if err != nil {
		return
	}
	var reply JoinReply
	if err := codec.Unmarshal(data, &reply); err == nil && reply.Removed {
		n.retire()
	}
}

// retire makes this host a stranger to the log; it comes back under a new
// identity after a restart.
func (n *Node) retire() {
	n.log.Info("this member was removed; the host rejoins under a new identity", "member", n.member)
	if err := saveIdentity(n.cfg.DataDir, ""); err != nil {
		n.log.Error(err, "the identity cannot be cleared")
		return
	}
	select {
	case n.failed <- &RetiredError{Member: n.member}:
	default:
	}
}

// join takes note of a host that wants to be a member.
func (n *Node) join(r *JoinRequest) (*JoinReply, error) {
	status := n.group.Status()
	if status.Role != raft.RoleLeader || !n.group.Leads() {
		return nil, notLeader(n.leader())
	}
	n.know(hostOf(r.Member))
	n.mu.Lock()
	defer n.mu.Unlock()
	if !status.Membership.IsRemoved(r.Member) {
		n.joining[r.Member] = clock.Boot()
	}
	return &JoinReply{Removed: status.Membership.IsRemoved(r.Member)}, nil
}

// tend makes the next change of the membership, if one is due.
func (n *Node) tend(status raft.Status) {
	if status.ChangeIndex > status.Commit {
		return
	}
	change, due := nextChange(status, n.candidates(), 2*n.cfg.Faults+1)
	if !due {
		return
	}
	err := n.group.Change(change, changeTimeout)
	n.log.Info("membership change", "operation", change.Op.String(), "member", change.ID, "done", err == nil)
}

// candidates returns the members that have asked to join lately.
func (n *Node) candidates() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	var list []string
	for member, asked := range n.joining {
		if clock.Boot()-asked > joinMemory {
			delete(n.joining, member)
			continue
		}
		list = append(list, member)
	}
	slices.Sort(list)
	return list
}

// nextChange decides the next change of the membership. A host that came back
// without its disk is added under its new identity and promoted before the old
// one is removed, so that at no time fewer hosts hold what was stored.
func nextChange(status raft.Status, candidates []string, wanted int) (raft.MemberChange, bool) {
	m := status.Membership
	for _, v := range m.Voters {
		if superseded(m, v) || (len(m.Voters) > wanted && silent(status, v)) {
			return raft.MemberChange{Op: raft.Remove, ID: v}, true
		}
	}
	for _, l := range m.Learners {
		if supersededLearner(m, candidates, l) {
			return raft.MemberChange{Op: raft.Remove, ID: l}, true
		}
		if wantedVoter(status, l, wanted) && caughtUp(status, l) {
			return raft.MemberChange{Op: raft.Promote, ID: l}, true
		}
	}
	for _, c := range candidates {
		if !m.IsMember(c) && !m.IsRemoved(c) && wantedVoter(status, c, wanted) {
			return raft.MemberChange{Op: raft.AddLearner, ID: c}, true
		}
	}
	return raft.MemberChange{}, false
}

// superseded reports whether a later identity of the same host votes.
func superseded(m raft.Membership, voter string) bool {
	return slices.ContainsFunc(m.Voters, func(v string) bool {
		return v != voter && hostOf(v) == hostOf(voter) && later(v, voter)
	})
}

// supersededLearner reports whether the host of a learner asks to join as
// another one.
func supersededLearner(m raft.Membership, candidates []string, learner string) bool {
	return slices.ContainsFunc(candidates, func(c string) bool {
		return c != learner && hostOf(c) == hostOf(learner) && !m.IsMember(c) && later(c, learner)
	})
}

// later compares the numbers of two identities of one host, which count time.
func later(a, b string) bool {
	return len(a) > len(b) || (len(a) == len(b) && a > b)
}

// wantedVoter reports whether a host is to become a voter: if there are too few,
// if it voted under an earlier identity, or in place of one that is lost.
func wantedVoter(status raft.Status, member string, wanted int) bool {
	m := status.Membership
	if len(m.Voters) < wanted {
		return true
	}
	for _, v := range m.Voters {
		if hostOf(v) == hostOf(member) && v != member {
			return true
		}
	}
	return len(m.Voters) == wanted && slices.ContainsFunc(m.Voters, func(v string) bool { return silent(status, v) })
}

func silent(status raft.Status, voter string) bool {
	peer, listed := status.Peer(voter)
	return listed && peer.Silence > lostVoter
}

func caughtUp(status raft.Status, learner string) bool {
	peer, listed := status.Peer(learner)
	return listed && peer.Match+promoteLag >= status.Commit && peer.Silence < membershipPeriod
}
