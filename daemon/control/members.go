package control

import (
	"time"

	"cranberrydrum.dev/coord/raft"
	"cranberrydrum.dev/coord/reconfig"
	"cranberrydrum.dev/daemon/clock"
)

const (
	membershipChangeTimeout = 2 * time.Second
	// maxChangesPerRound bounds the changes that the leader makes in one round, so that
	// an alternation of changes cannot occupy it.
	maxChangesPerRound = 8
)

// newPlanner returns the planner of the membership. A log that bears no loss has a spare
// too, which takes over the vote of a host that is told to stop.
func newPlanner(cfg *Config) *reconfig.Planner {
	return reconfig.NewPlanner(reconfig.Config{
		Voters: 2*cfg.MaxFaults + 1, Spares: max(cfg.MaxFaults, 1), ReplaceWithin: cfg.ReplaceWithin,
		ElectionTimeout: electionTimeout, Interval: membershipInterval,
	})
}

// maintainMembership makes the membership changes that are due, if this host is the
// leader: periodically, and as soon as a host asks to join or to leave. On another host
// it asks to join: in every joinRounds-th round if the host is not a member, and in every
// seedRefreshRounds-th round if it is a learner or knows no leader. A learner is not told
// that it was removed, so it keeps asking.
func (n *Node) maintainMembership() {
	defer n.wg.Done()
	ticker := time.NewTicker(membershipInterval)
	defer ticker.Stop()
	log := newMembershipLog(n.log, n.cfg.Observer)
	for round := 0; ; round++ {
		select {
		case <-n.stop:
			return
		case <-ticker.C:
		case <-n.wake:
		}
		status := n.group.Status()
		if status.Role == raft.RoleLeader && n.group.IsReadyLeader() {
			n.changeMembership(log)
			continue
		}
		n.followMembership(status, round, log)
	}
}

// followMembership asks to join if that is due.
func (n *Node) followMembership(status raft.Status, round int, log *membershipLog) {
	log.observeFollower(clock.Boot(), status, n.leader(), n.connectedHosts())
	isVoter := status.Membership.IsVoter(n.member)
	isOutside := !status.Membership.IsMember(n.member)
	n.mu.Lock()
	n.isVoter = isVoter
	n.contacts.report(n.planner)
	n.planner.Follow(clock.Boot(), status)
	n.mu.Unlock()
	switch {
	case isOutside && round%joinRounds == 0:
		n.startJoinRequest()
	case (!isVoter || status.Leader == "") && round%seedRefreshRounds == 0:
		n.startJoinRequest()
	}
}

// startJoinRequest sends a join request unless the last one still waits for replies. It
// does not wait itself: a lost host does not answer, and rounds go on meanwhile, also if
// this host is elected.
func (n *Node) startJoinRequest() {
	if !n.requestsJoin.CompareAndSwap(false, true) {
		return
	}
	n.wg.Go(func() {
		defer n.requestsJoin.Store(false)
		n.requestJoin()
	})
}

// changeMembership makes the membership changes that are due, one after the other.
func (n *Node) changeMembership(log *membershipLog) {
	for range maxChangesPerRound {
		status, running := n.group.CurrentStatus()
		if !running || status.Role != raft.RoleLeader {
			return
		}
		n.mu.Lock()
		joining := n.planner.Joining()
		change, due := n.planner.Plan(clock.Boot(), status)
		lostAfter := n.planner.LostAfter()
		n.mu.Unlock()
		log.observeLeader(status, joining)
		if !due || !n.makeChange(change, status, lostAfter) {
			return
		}
	}
}

// makeChange makes a membership change and reports whether it was committed.
func (n *Node) makeChange(change reconfig.Change, status raft.Status, lostAfter time.Duration) bool {
	startedAt := clock.Boot()
	err := n.group.ChangeMembership(change.MemberChange, membershipChangeTimeout)
	took := clock.Boot() - startedAt
	n.cfg.Observer.CountMembershipChange(change.Op.String(), string(change.Reason), err == nil)
	n.log.Info("membership change", "operation", change.Op.String(), "member", change.ID, "reason", change.Reason, "replaced", change.Replaced,
		"done", err == nil, "took_ms", took.Milliseconds(), "lost_after_ms", lostAfter.Milliseconds(),
		"voters", status.Membership.Voters, "learners", status.Membership.Learners)
	n.mu.Lock()
	n.planner.RecordChange(took, err == nil)
	n.mu.Unlock()
	if err != nil {
		n.log.V(1).Info("membership change not made", "error", err.Error())
	}
	return err == nil
}

// wakeMembership starts a round of maintainMembership.
func (n *Node) wakeMembership() {
	select {
	case n.wake <- struct{}{}:
	default:
	}
}
