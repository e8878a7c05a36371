package node

import (
	"time"

	"cranberrydrum.dev/coord/raft"
	"cranberrydrum.dev/daemon/api"
	"cranberrydrum.dev/scheduler/structs"
)

// memberChange asks the leader of a log to add or remove a host.
type memberChange struct {
	Group  string `msgpack:"g"`
	Host   string `msgpack:"h"`
	Remove bool   `msgpack:"r,omitempty"`
}

const (
	// promoteTimeout bounds the time for a new member to catch up.
	promoteTimeout       = 30 * time.Second
	promoteRetryInterval = 100 * time.Millisecond
)

// AddMember adds a host to a log: first as a learner, and as a voter once it
// has caught up.
func (n *Node) AddMember(groupName, host string, timeout time.Duration) error {
	_, err := callLeader[emptyMessage](n, groupName, methodMemberChange, &memberChange{Group: groupName, Host: host}, timeout, true)
	return err
}

// RemoveMember removes a host from a log.
func (n *Node) RemoveMember(groupName, host string, timeout time.Duration) error {
	change := &memberChange{Group: groupName, Host: host, Remove: true}
	_, err := callLeader[emptyMessage](n, groupName, methodMemberChange, change, timeout, true)
	return err
}

func (n *Node) handleMemberChange(_ string, c *memberChange, remaining time.Duration) (any, error) {
	g := n.group(c.Group)
	if g == nil || !g.IsReadyLeader() {
		return nil, structs.RefuseNotRun(structs.CodeNotLeader, "this host does not lead "+c.Group)
	}
	membership := g.Status().Membership
	if c.Remove {
		if membership.IsRemoved(c.Host) {
			return &emptyMessage{}, nil
		}
		return &emptyMessage{}, g.ChangeMembership(raft.MemberChange{Op: raft.Remove, ID: c.Host}, remaining)
	}
	if membership.IsVoter(c.Host) {
		return &emptyMessage{}, nil
	}
	if !n.isKnownHost(c.Host) {
		return nil, structs.RefuseNotRun(structs.CodeNotFound, "host "+c.Host+" is neither in the rules nor in the settings of "+n.cfg.HostID)
	}
	if !membership.IsLearner(c.Host) {
		if err := g.ChangeMembership(raft.MemberChange{Op: raft.AddLearner, ID: c.Host}, remaining); err != nil {
			return nil, err
		}
	}
	return &emptyMessage{}, n.promote(c, min(remaining, promoteTimeout))
}

// promote makes a learner a voter as soon as it has caught up.
func (n *Node) promote(c *memberChange, timeout time.Duration) error {
	deadline := n.now() + timeout
	g := n.group(c.Group)
	for {
		err := g.ChangeMembership(raft.MemberChange{Op: raft.Promote, ID: c.Host}, timeout)
		if err == nil {
			return nil
		}
		if n.now() >= deadline || !n.wait(promoteRetryInterval) {
			return structs.RefuseNotRun(structs.CodeMembershipChange, "host "+c.Host+" is a learner and was not promoted: "+err.Error())
		}
	}
}

// isKnownHost reports whether a host is listed in the rules or the settings.
func (n *Node) isKnownHost(id string) bool {
	if id == n.cfg.HostID {
		return true
	}
	_, known := n.hosts.get(id)
	return known
}

// groupReport is the status of a log as reported by its leader.
type groupReport struct {
	Group api.GroupStatus `msgpack:"g"`
	Found bool            `msgpack:"f"`
}

type groupQuery struct {
	Group string `msgpack:"g"`
}

func (n *Node) handleMembers(_ string, q *groupQuery, _ time.Duration) (any, error) {
	g := n.group(q.Group)
	if g == nil || !g.IsReadyLeader() {
		return nil, structs.RefuseNotRun(structs.CodeNotLeader, "this host does not lead "+q.Group)
	}
	return &groupReport{Group: groupStatusOf(g.Status()), Found: true}, nil
}

// groupStatusOf converts the status of a replica. Only a leader knows the lag of
// the other replicas; unknown values are -1.
func groupStatusOf(s raft.Status) api.GroupStatus {
	status := api.GroupStatus{Group: s.Group, Leader: s.Leader, Term: s.Term, Commit: s.Commit}
	for _, id := range s.Membership.Members() {
		replica := api.ReplicaStatus{Host: id, Voter: s.Membership.IsVoter(id), Lag: -1, SeenMS: -1}
		if id == s.ID {
			replica.Lag, replica.SeenMS = 0, 0
		}
		if p, ok := s.Peer(id); ok {
			replica.Lag = int64(s.Commit) - int64(min(p.Match, s.Commit))
			replica.SeenMS = p.SinceLastReply.Milliseconds()
		}
		status.Replicas = append(status.Replicas, replica)
	}
	return status
}

// Members returns the status of all logs, each from its leader if reachable.
func (n *Node) Members(timeout time.Duration) []api.GroupStatus {
	names := []string{groupConfig}
	for _, d := range n.domains() {
		names = append(names, domainGroup(d))
	}
	groups := make([]api.GroupStatus, 0, len(names))
	for _, name := range names {
		groups = append(groups, n.GroupStatus(name, timeout))
	}
	return groups
}

// GroupStatus returns the status of a log, from its leader if reachable and from
// the local replica otherwise.
func (n *Node) GroupStatus(name string, timeout time.Duration) api.GroupStatus {
	report, err := callCurrentLeader[groupReport](n, name, methodMembers, &groupQuery{Group: name}, timeout)
	if err == nil && report.Found {
		return report.Group
	}
	if g := n.group(name); g != nil {
		return groupStatusOf(g.Status())
	}
	return api.GroupStatus{Group: name, Leader: n.leaderOf(name)}
}
