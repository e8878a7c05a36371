package node

import (
	"errors"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"cranberrydrum.dev/coord/raft"
	"cranberrydrum.dev/coord/replica"
	"cranberrydrum.dev/daemon/group"
	"cranberrydrum.dev/daemon/storage"
	"cranberrydrum.dev/scheduler/domain"
	"cranberrydrum.dev/scheduler/routing"
)

const (
	groupsFolder    = "groups"
	snapshotEntries = 4096
	snapshotBytes   = 8 << 20
	keepEntries     = 1024
	// raftBatchBytes holds the largest rules file (512 KiB) in one command and
	// fits a frame between hosts.
	raftBatchBytes    = 640 << 10
	raftSnapshotChunk = 64 << 10
	handOverTimeout   = 3 * time.Second
	handOverPoll      = 20 * time.Millisecond
)

// deploymentHosts returns all configured hosts, this one included.
func (n *Node) deploymentHosts() []routing.Host {
	hosts := []routing.Host{{ID: n.cfg.HostID, Domain: n.cfg.Domain, Region: n.cfg.Region, Disk: n.cfg.DataDir != ""}}
	for _, p := range n.cfg.Peers {
		hosts = append(hosts, routing.Host{ID: p.ID, Domain: p.Domain, Region: p.Region, Disk: p.Disk})
	}
	return hosts
}

// bootstrapMembers returns the initial members of a log, or none if this host
// does not take part.
func (n *Node) bootstrapMembers(name string) []string {
	hosts := n.deploymentHosts()
	var members []string
	if name == groupConfig {
		members = routing.ConfigHosts(hosts)
	} else {
		members, _ = routing.ReplicaHosts(strings.TrimPrefix(name, domainGroupPrefix), hosts)
	}
	if !slices.Contains(members, n.cfg.HostID) {
		return nil
	}
	slices.Sort(members)
	return members
}

// openGroups opens the logs that this host has on disk and, when it forms the
// deployment, those that it is an initial member of.
func (n *Node) openGroups() error {
	if n.cfg.DataDir == "" {
		return nil
	}
	stored, err := n.storedGroups()
	if err != nil {
		return err
	}
	for _, name := range stored {
		if err := n.openGroup(name, raft.Membership{}); err != nil {
			return err
		}
	}
	if !n.cfg.Bootstrap || n.identity.Formed {
		return nil
	}
	for _, name := range n.initialGroups() {
		if slices.Contains(stored, name) {
			continue
		}
		if err := n.openGroup(name, raft.Membership{Voters: n.bootstrapMembers(name)}); err != nil {
			return err
		}
	}
	n.identity.Formed = true
	return n.identity.save(n.cfg.DataDir)
}

// initialGroups returns the logs that this host is an initial member of.
func (n *Node) initialGroups() []string {
	names := []string{groupConfig}
	for _, h := range n.deploymentHosts() {
		if name := domainGroup(h.Domain); !slices.Contains(names, name) {
			names = append(names, name)
		}
	}
	return slices.DeleteFunc(names, func(name string) bool { return n.bootstrapMembers(name) == nil })
}

// storedGroups returns the names of the logs in the data folder.
func (n *Node) storedGroups() ([]string, error) {
	paths, err := filepath.Glob(filepath.Join(n.cfg.DataDir, groupsFolder, "*"))
	if err != nil {
		return nil, &FolderError{Folder: n.cfg.DataDir, Cause: err}
	}
	names := make([]string, len(paths))
	for i, path := range paths {
		names[i] = strings.ReplaceAll(filepath.Base(path), "+", "/")
	}
	return names, nil
}

// folderOf returns the folder of a log. Names of failure domains have no "+".
func (n *Node) folderOf(name string) string {
	return filepath.Join(n.cfg.DataDir, groupsFolder, strings.ReplaceAll(name, "/", "+"))
}

func (n *Node) openGroup(name string, bootstrap raft.Membership) error {
	disk, err := storage.Open(n.folderOf(name), storage.Options{
		StoreID: n.identity.Store,
		// A host must not come back with an earlier configuration than it had
		// in force, so the commit index of the configuration is kept on disk.
		LazyCommit: name != groupConfig,
	})
	if err != nil {
		return err
	}
	if recovery := disk.Recovery(); recovery.TornTail {
		n.log.Info("truncated an incomplete record at the end of the log", "group", name, "file", recovery.File, "offset", recovery.Offset, "bytes", recovery.Bytes)
	}
	owner, machine := n.stateOf(name)
	r, err := replica.Open(n.replicaConfig(name, bootstrap), disk, machine)
	if err != nil {
		_ = disk.Close()
		return err
	}
	g := group.New(group.Config{
		Name:    name,
		Replica: r,
		Send:    n.sendRaft,
		Owner:   owner,
		Now:     n.now,
		Logger:  n.log,
		Failed:  n.fail,
	})
	n.mu.Lock()
	defer n.mu.Unlock()
	n.groups[name] = g
	if o, ok := owner.(*domainOwner); ok {
		n.domainOf[o.domain] = &hostedDomain{owner: o, state: o.state}
	}
	return nil
}

// stateOf returns the state machine of a log and what acts on it.
func (n *Node) stateOf(name string) (group.Owner, replica.StateMachine) {
	if name == groupConfig {
		return &configOwner{state: n.configState, keeper: n.config, failed: n.fail}, n.configState
	}
	state := domain.New()
	owner := &domainOwner{
		domain:  strings.TrimPrefix(name, domainGroupPrefix),
		state:   state,
		keeper:  n.config,
		lease:   n.cfg.Timeouts.WorkerLease,
		metrics: n.metrics,
		log:     n.log,
	}
	return owner, state
}

func (n *Node) replicaConfig(name string, bootstrap raft.Membership) replica.Config {
	return replica.Config{
		Raft: raft.Config{
			ID:                 n.cfg.HostID,
			Group:              name,
			ElectionTimeout:    n.cfg.Timeouts.Election,
			HeartbeatInterval:  n.cfg.Timeouts.RaftHeartbeat,
			ClockError:         n.cfg.Timeouts.ClockError,
			MaxBatchBytes:      raftBatchBytes,
			SnapshotChunkBytes: raftSnapshotChunk,
			Seed:               uint64(time.Now().UnixNano()),
			LowPriority:        n.lowPriority(name),
		},
		Bootstrap:       bootstrap,
		SnapshotEntries: snapshotEntries,
		SnapshotBytes:   snapshotBytes,
		KeepEntries:     keepEntries,
	}
}

// lowPriority keeps the leader of a failure domain's log inside the domain.
func (n *Node) lowPriority(name string) bool {
	return name != groupConfig && name != domainGroup(n.cfg.Domain)
}

// joinGroup opens a log that another host has added this host to. The log is
// empty and takes part in no vote until its leader has filled and promoted it.
func (n *Node) joinGroup(name string) *group.Group {
	if n.cfg.DataDir == "" || n.refusing.Load() || !n.knownGroup(name) {
		return nil
	}
	n.joining.Lock()
	defer n.joining.Unlock()
	if g := n.group(name); g != nil {
		return g
	}
	if err := n.openGroup(name, raft.Membership{}); err != nil {
		n.log.Error(err, "joining a replicated log failed", "group", name)
		return nil
	}
	g := n.group(name)
	g.Start()
	n.log.Info("joined a replicated log", "group", name)
	return g
}

func (n *Node) knownGroup(name string) bool {
	if name == groupConfig {
		return true
	}
	domainName, found := strings.CutPrefix(name, domainGroupPrefix)
	if !found {
		return false
	}
	return slices.Contains(n.domains(), domainName) ||
		slices.ContainsFunc(n.deploymentHosts(), func(h routing.Host) bool { return h.Domain == domainName })
}

// handOver transfers the leadership of all logs that this host leads.
func (n *Node) handOver() {
	for _, g := range n.allGroups() {
		n.handOverGroup(g)
	}
}

// handOverUntil hands over again whenever this host leads a log, until done is
// closed.
func (n *Node) handOverUntil(done <-chan struct{}) {
	ticker := time.NewTicker(handOverPoll)
	defer ticker.Stop()
	for {
		select {
		case <-done:
			return
		case <-ticker.C:
			n.handOver()
		}
	}
}

func (n *Node) handOverGroup(g *group.Group) {
	deadline := n.now() + handOverTimeout
	for n.now() < deadline {
		if g.Status().Role != raft.RoleLeader {
			return
		}
		if err := g.HandOver(); err != nil && !transferring(err) {
			n.log.V(1).Info("leadership transfer refused", "group", g.Name(), "error", err.Error())
		}
		n.wait(handOverPoll)
	}
	n.log.Info("leadership was not handed over in time", "group", g.Name())
}

// transferring reports whether the refusal says that a transfer goes on.
func transferring(refused error) bool {
	var inProgress *raft.TransferInProgressError
	return errors.As(refused, &inProgress)
}

func (n *Node) closeGroups() {
	for _, g := range n.allGroups() {
		g.Stop()
	}
}
