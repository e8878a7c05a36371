package control

import (
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"cranberrydrum.dev/coord/codec"
	"cranberrydrum.dev/coord/raft"
	"cranberrydrum.dev/coord/reconfig"
	"cranberrydrum.dev/daemon/clock"
)

const (
	// joinTimeout bounds a call about the membership. A leader that is up answers within
	// an election timeout.
	joinTimeout = electionTimeout
	// handOverInterval is the time between two requests of a host that hands its vote
	// over.
	handOverInterval = 100 * time.Millisecond
)

// MemberRemovedError reports that this member was removed from the group while its
// host was unavailable, so that its log must not be used any more.
type MemberRemovedError struct{ Member string }

// Error implements error.
func (e *MemberRemovedError) Error() string {
	return "member " + e.Member + " was removed from the replication group"
}

// requestJoin reads the settings again, asks the connected hosts for the leader and
// sends it a join request. The hosts are asked at the same time, so that one that does
// not answer delays no other.
func (n *Node) requestJoin() {
	for _, host := range n.cfg.Seeds() {
		n.addPeer(host)
	}
	body, err := msgpack.Marshal(&JoinRequest{Member: n.member})
	if err != nil {
		n.log.Error(err, "failed to encode a join request")
		return
	}
	var calls sync.WaitGroup
	for _, host := range n.connectedHosts() {
		calls.Go(func() { n.requestJoinFrom(host, body) })
	}
	calls.Wait()
}

// requestJoinFrom asks a host for the leader and the members, and sends it the join
// request if it is the leader itself.
func (n *Node) requestJoinFrom(host string, join []byte) {
	data, err := n.transport.Call(host, MethodHello, nil, joinTimeout)
	if err != nil {
		return
	}
	var hello Hello
	if err := codec.Unmarshal(data, &hello); err != nil {
		return
	}
	if hello.Leader != "" {
		n.mu.Lock()
		n.leaderHint = hello.Leader
		n.mu.Unlock()
	}
	for _, other := range hello.Hosts {
		n.addPeer(other)
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
		n.discardIdentity()
	}
}

// discardIdentity clears the stored identity of a removed member and reports
// MemberRemovedError. After a restart the host joins under a new identity.
func (n *Node) discardIdentity() {
	n.log.Info("member was removed; the host rejoins under a new identity after a restart", "member", n.member)
	if err := saveIdentity(n.cfg.DataDir, ""); err != nil {
		n.log.Error(err, "failed to clear the stored identity")
		return
	}
	n.reportFailure(&MemberRemovedError{Member: n.member})
}

// join records the join request of a host.
func (n *Node) join(r *JoinRequest) (*JoinReply, error) {
	status, err := n.leaderStatus()
	if err != nil {
		return nil, err
	}
	n.addPeer(reconfig.HostOf(r.Member))
	if !status.Membership.IsRemoved(r.Member) {
		n.mu.Lock()
		n.planner.Join(clock.Boot(), r.Member)
		n.mu.Unlock()
	}
	if !status.Membership.IsMember(r.Member) {
		n.wakeMembership()
	}
	return &JoinReply{Removed: reconfig.IsRemovalCommitted(status, r.Member)}, nil
}

// leaderStatus returns the present status of the log, if this host leads it with the
// lease and a current state.
func (n *Node) leaderStatus() (raft.Status, error) {
	if !n.group.IsReadyLeaderNow() {
		return raft.Status{}, notLeader(n.leader())
	}
	status, running := n.group.CurrentStatus()
	if !running || status.Role != raft.RoleLeader {
		return raft.Status{}, notLeader(n.leader())
	}
	return status, nil
}

// handOver records that a host is about to stop, so that a spare takes over its vote.
func (n *Node) handOver(r *HandOverRequest) (*HandOverReply, error) {
	status, err := n.leaderStatus()
	if err != nil {
		return nil, err
	}
	n.mu.Lock()
	n.planner.Leave(clock.Boot(), r.Member)
	pending := n.planner.CanReplace(status, r.Member)
	n.mu.Unlock()
	n.wakeMembership()
	return &HandOverReply{Removed: reconfig.IsRemovalCommitted(status, r.Member), Pending: pending}, nil
}

// HandOverVote asks the leader to pass the vote of this host to a spare that has the
// log, before this host stops: a host that does not come back then costs the log no
// voter. It returns when that is done, when no spare can take over, or at the deadline on
// clock.Boot.
//
// A spare only tells the leader that it takes over no vote, until it has stopped.
func (n *Node) HandOverVote(deadline time.Duration) {
	status := n.group.Status()
	if status.Membership.IsLearner(n.member) {
		_, _ = n.requestHandOver(min(joinTimeout, deadline-clock.Boot()))
		n.wg.Go(n.repeatHandOver)
	}
	if !status.Membership.IsVoter(n.member) {
		return
	}
	for ; clock.Boot() < deadline; time.Sleep(handOverInterval) {
		reply, err := n.requestHandOver(min(joinTimeout, deadline-clock.Boot()))
		switch {
		case n.group.Status().Role == raft.RoleLeader:
			n.passLeadership()
		case err != nil:
			n.log.V(1).Info("vote not handed over", "error", err.Error())
		case reply.Removed:
			n.log.Info("vote handed over to a spare", "member", n.member)
			n.discardIdentity()
			return
		case !reply.Pending:
			n.log.Info("no spare takes over the vote", "member", n.member)
			return
		}
	}
	n.log.Info("vote not handed over in time", "member", n.member)
}

// passLeadership transfers the leadership again: the host that took it over may have
// passed it back. A single voter has no other one to pass it to, so it replaces itself by a
// spare, which leads after that.
func (n *Node) passLeadership() {
	if status := n.group.Status(); len(status.Membership.Voters) > 1 {
		if err := n.group.TransferLeadership(); err != nil {
			n.log.V(1).Info("leadership transfer refused", "error", err.Error())
		}
		return
	}
	n.mu.Lock()
	n.planner.Leave(clock.Boot(), n.member)
	n.mu.Unlock()
	n.wakeMembership()
}

// repeatHandOver repeats the request until the host stops, because the leader forgets a
// request that is not repeated.
func (n *Node) repeatHandOver() {
	for clock.Wait(handOverInterval, n.stop) {
		_, _ = n.requestHandOver(joinTimeout)
	}
}

// requestHandOver sends a request to hand the vote over to the leader.
func (n *Node) requestHandOver(timeout time.Duration) (*HandOverReply, error) {
	leader := n.leader()
	if leader == "" || leader == n.cfg.Host {
		return nil, notLeader(leader)
	}
	body, err := msgpack.Marshal(&HandOverRequest{Member: n.member})
	if err != nil {
		return nil, err
	}
	data, err := n.transport.Call(leader, MethodHandOver, body, timeout)
	if err != nil {
		return nil, err
	}
	var reply HandOverReply
	if err := codec.Unmarshal(data, &reply); err != nil {
		return nil, err
	}
	return &reply, nil
}
