package node

import (
	"time"

	"cranberrydrum.dev/coord/raft"
	"cranberrydrum.dev/daemon/api"
	"cranberrydrum.dev/scheduler/structs"
)

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
	status := api.GroupStatus{Group: s.Group, Leader: s.Leader, Term: s.Term, Commit: s.Commit, ToleratedLosses: -1}
	if s.Role == raft.RoleLeader {
		status.ToleratedLosses = s.ToleratedLosses()
	}
	for _, id := range s.Membership.Members() {
		replica := api.ReplicaStatus{Host: id, Voter: s.Membership.IsVoter(id), Lag: -1, SeenMS: -1}
		if id == s.ID {
			replica.Lag, replica.SeenMS = 0, 0
		}
		if p, ok := s.Peer(id); ok {
			replica.Lag = int64(s.Commit) - int64(min(p.Match, s.Commit))
			replica.SeenMS = p.SinceLastReply.Milliseconds()
			replica.Silent = !p.Live
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
	return api.GroupStatus{Group: name, Leader: n.leaderOf(name), ToleratedLosses: -1}
}
