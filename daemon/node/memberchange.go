package node

import (
	"errors"
	"strconv"
	"time"

	"cranberrydrum.dev/coord/raft"
	"cranberrydrum.dev/daemon/group"
	"cranberrydrum.dev/scheduler/structs"
)

// memberChange asks the leader of a log to add or remove a host.
type memberChange struct {
	Group  string `msgpack:"g"`
	Host   string `msgpack:"h"`
	Remove bool   `msgpack:"r,omitempty"`
	// AllowFewerLosses permits a removal after which the log tolerates fewer losses.
	AllowFewerLosses bool `msgpack:"a,omitempty"`
}

const (
	// memberChangeTimeout bounds the time for a new member to catch up. A repeated
	// request continues where the last one ended.
	memberChangeTimeout = 30 * time.Second
	memberRetryInterval = 100 * time.Millisecond
)

// AddMember adds a host to a log: first as a learner, and as a voter once it
// has caught up.
func (n *Node) AddMember(groupName, host string, timeout time.Duration) error {
	return n.requestMemberChange(&memberChange{Group: groupName, Host: host}, timeout)
}

// RemoveMember removes a host from a log. Unless allowFewerLosses is set, it refuses
// a removal after which the log tolerates fewer losses than before.
func (n *Node) RemoveMember(groupName, host string, allowFewerLosses bool, timeout time.Duration) error {
	change := &memberChange{Group: groupName, Host: host, Remove: true, AllowFewerLosses: allowFewerLosses}
	return n.requestMemberChange(change, timeout)
}

func (n *Node) requestMemberChange(change *memberChange, timeout time.Duration) error {
	_, err := callLeader[emptyMessage](n, change.Group, methodMemberChange, change, timeout, true)
	return err
}

func (n *Node) handleMemberChange(_ string, c *memberChange, remaining time.Duration) (any, error) {
	g := n.group(c.Group)
	if g == nil {
		return nil, notLeaderOf(c.Group)
	}
	return &emptyMessage{}, n.changeMember(g, c, n.now()+min(remaining, memberChangeTimeout))
}

func notLeaderOf(groupName string) *structs.Refusal {
	return structs.RefuseNotRun(structs.CodeNotLeader, "this host does not lead "+groupName)
}

// changeMember takes the steps of a change until it is committed, this host no
// longer leads, or the deadline passes. It waits at most an election timeout for a
// step before it checks whether it still leads. The error of a change that was begun
// has an unknown outcome if the next leader may continue it.
func (n *Node) changeMember(g *group.Group, c *memberChange, deadline time.Duration) error {
	begun := false
	var refused *structs.Refusal
	for {
		if !g.IsReadyLeader() {
			return refusalOfBegun(notLeaderOf(c.Group), begun)
		}
		op, done, err := c.nextStep(g.Status())
		if err != nil || done {
			return err
		}
		if op == raft.AddLearner && !n.isKnownHost(c.Host) {
			return structs.RefuseNotRun(structs.CodeNotFound, "host "+c.Host+" is neither in the rules nor in the settings of "+n.cfg.HostID)
		}
		if n.now() >= deadline {
			return c.timeoutRefusal(g.Status(), refused)
		}
		if op != noStep {
			refused = nil
			err := g.ChangeMembershipIf(c.check, raft.MemberChange{Op: op, ID: c.Host}, min(deadline-n.now(), n.cfg.Timeouts.Election))
			errors.As(err, &refused)
			begun = begun || refused == nil || refused.Outcome == structs.OutcomeUnknown
			if refused != nil && isFinalRefusal(refused, c.Remove && !begun) {
				return refusalOfBegun(refused, begun)
			}
		}
		if (op == noStep || refused != nil) && !n.wait(memberRetryInterval) {
			return refusalOfBegun(structs.RefuseNotRun(structs.CodeStopping, "this host is stopping"), begun)
		}
	}
}

// isFinalRefusal reports whether a refused step is not tried again. A learner that is
// refused as a voter may still catch up, and a step with an unknown outcome may still
// be committed.
func isFinalRefusal(r *structs.Refusal, isFirstRemoval bool) bool {
	if r.Outcome == structs.OutcomeUnknown && r.Code != structs.CodeStopping {
		return false
	}
	return r.Code != structs.CodeMembershipChange || isFirstRemoval
}

// refusalOfBegun returns a refusal of a change, with an unknown outcome if an
// earlier step of the change was proposed.
func refusalOfBegun(r *structs.Refusal, begun bool) *structs.Refusal {
	if begun {
		return structs.RefuseUnknown(r.Code, r.Message)
	}
	return r
}

// noStep is the operation while an earlier change is not committed yet.
const noStep raft.ChangeOp = 0

// nextStep returns the operation that the change needs next, and whether the change
// is committed.
func (c *memberChange) nextStep(s raft.Status) (op raft.ChangeOp, done bool, err error) {
	m := s.Membership
	switch {
	case !c.Remove && m.IsRemoved(c.Host):
		return noStep, false, c.refuse("host " + c.Host + " was removed from " + c.Group + ", and its name is never used again; add the host under a new name")
	case s.ChangeIndex > s.Commit:
		return noStep, false, nil
	case c.Remove:
		return raft.Remove, m.IsRemoved(c.Host), nil
	case m.IsLearner(c.Host):
		return raft.Promote, false, nil
	}
	return raft.AddLearner, m.IsVoter(c.Host), nil
}

// check refuses a removal after which the log tolerates fewer losses than before.
func (c *memberChange) check(s raft.Status) error {
	if !c.Remove || c.AllowFewerLosses || s.Role != raft.RoleLeader || !s.Membership.IsVoter(c.Host) {
		return nil
	}
	before, after := s.ToleratedLosses(), s.ToleratedLossesWithout(c.Host)
	if after >= before {
		return nil
	}
	return c.refuse("without host " + c.Host + " the log " + c.Group + " would tolerate " + strconv.Itoa(after) + " further losses instead of " +
		strconv.Itoa(before) + "; add its replacement first, or state that fewer are allowed")
}

// timeoutRefusal returns the refusal of a change that is not complete in time.
// reason is the refusal of the last step, or nil.
func (c *memberChange) timeoutRefusal(s raft.Status, reason *structs.Refusal) *structs.Refusal {
	if reason != nil && reason.Outcome == structs.OutcomeUnknown {
		return reason
	}
	if c.Remove || !s.Membership.IsLearner(c.Host) {
		return c.refuse("a membership change of " + c.Group + " is not committed yet; repeat the request")
	}
	message := "host " + c.Host + " is a learner of " + c.Group + " without a vote"
	if p, found := s.Peer(c.Host); found {
		message += "; " + catchUpProgress(s, p)
	}
	if reason != nil {
		message += "; " + reason.Message
	}
	return c.refuse(message + "; repeat the request to continue, or remove the host")
}

// catchUpProgress describes how far a learner has caught up.
func catchUpProgress(s raft.Status, p raft.PeerStatus) string {
	switch {
	case !p.Live:
		return "it does not reply"
	case p.SnapshotTotal > 0:
		return "it has " + formatCount(p.SnapshotSent) + " of " + formatCount(p.SnapshotTotal) + " bytes of the snapshot"
	}
	return "it lacks " + formatCount(s.Commit-min(p.Match, s.Commit)) + " of " + formatCount(s.Commit) + " entries"
}

func formatCount(n uint64) string { return strconv.FormatUint(n, 10) }

func (c *memberChange) refuse(message string) *structs.Refusal {
	return structs.RefuseNotRun(structs.CodeMembershipChange, message)
}
