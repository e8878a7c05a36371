package node

import (
	"errors"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"cranberrydrum.dev/coord/raft"
	"cranberrydrum.dev/coord/replica"
	"cranberrydrum.dev/daemon/clock"
	"cranberrydrum.dev/daemon/group"
	"cranberrydrum.dev/daemon/storage"
	"cranberrydrum.dev/scheduler/domain"
	"cranberrydrum.dev/scheduler/routing"
)

const (
	groupsFolder    = "groups"
	snapshotEntries = 4096
	snapshotBytes   = 8 << 20
	// keepEntries is the number of log entries kept behind a snapshot for
	// followers that lag.
	keepEntries = 1024
	// raftBatchBytes is large enough for a command with the largest rules file
	// (512 KiB) and small enough for one frame between hosts.
	raftBatchBytes             = 640 << 10
	raftSnapshotChunk          = 64 << 10
	leadershipTransferTimeout  = 3 * time.Second
	leadershipTransferInterval = 20 * time.Millisecond
)

// deploymentHosts returns all configured hosts, this one included.
func (n *Node) deploymentHosts() []routing.Host {
	hosts := []routing.Host{{ID: n.cfg.HostID, Domain: n.cfg.Domain, Region: n.cfg.Region, Disk: n.cfg.DataDir != ""}}
	for _, p := range n.cfg.Peers {
		hosts = append(hosts, routing.Host{ID: p.ID, Domain: p.Domain, Region: p.Region, Disk: p.Disk})
	}
	return hosts
}

// bootstrapMembers returns the initial members of a log, or nil if this host is
// not one of them.
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

// openGroups opens the logs that this host has on disk and, when it bootstraps
// the deployment, those that it is an initial member of.
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
	if !n.cfg.Bootstrap || n.identity.Bootstrapped {
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
	n.identity.Bootstrapped = true
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

// storedGroups returns the names of the logs in the data directory.
func (n *Node) storedGroups() ([]string, error) {
	paths, err := filepath.Glob(filepath.Join(n.cfg.DataDir, groupsFolder, "*"))
	if err != nil {
		return nil, &DataDirError{Dir: n.cfg.DataDir, Cause: err}
	}
	names := make([]string, len(paths))
	for i, path := range paths {
		names[i] = strings.ReplaceAll(filepath.Base(path), "+", "/")
	}
	return names, nil
}

// groupDir returns the directory of a log. It writes "/" as "+", which does not
// occur in the names of failure domains.
func (n *Node) groupDir(name string) string {
	return filepath.Join(n.cfg.DataDir, groupsFolder, strings.ReplaceAll(name, "/", "+"))
}

func (n *Node) openGroup(name string, bootstrap raft.Membership) error {
	startedAt := n.now()
	disk, err := storage.Open(n.groupDir(name), storage.Options{
		StoreID: n.identity.Store,
		// A restarted host must not have an earlier configuration in force than
		// before, so the commit index of the configuration's log is durable.
		SkipCommitOnlySaves: name != groupConfig,
	})
	if err != nil {
		return err
	}
	n.log.Info("opened a replicated log", "group", name, "took_ms", (n.now() - startedAt).Milliseconds())
	if recovery := disk.Recovery(); recovery.TornTail {
		n.log.Info("truncated an incomplete record at the end of the log", "group", name, "file", recovery.File, "offset", recovery.Offset, "bytes", recovery.Bytes)
	}
	owner, machine := n.newGroupState(name)
	r, err := replica.Open(n.replicaConfig(name, bootstrap), disk, machine)
	if err != nil {
		_ = disk.Close()
		return err
	}
	g := group.New(group.Config{
		Name:      name,
		Replica:   r,
		Send:      n.sendRaft,
		Owner:     owner,
		Now:       n.now,
		Logger:    n.log,
		Panics:    n.metrics,
		OnFailure: n.reportFailure,
	})
	n.mu.Lock()
	defer n.mu.Unlock()
	n.groups[name] = g
	if o, ok := owner.(*domainOwner); ok {
		n.hostedDomains[o.domain] = &hostedDomain{owner: o, state: o.state}
	}
	return nil
}

// newGroupState returns the state machine of a log and the owner that acts on it.
func (n *Node) newGroupState(name string) (group.Owner, replica.StateMachine) {
	if name == groupConfig {
		return &configOwner{state: n.configState, config: n.config}, n.configState
	}
	state := domain.New()
	owner := &domainOwner{
		domain:  strings.TrimPrefix(name, domainGroupPrefix),
		state:   state,
		config:  n.config,
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
			LowPriority:        n.isLowPriority(name),
			// An accepted version must be in force everywhere within seconds, and two
			// elections in a row take longer.
			AnnounceCommit: name == groupConfig,
		},
		Bootstrap:       bootstrap,
		SnapshotEntries: snapshotEntries,
		SnapshotBytes:   snapshotBytes,
		KeepEntries:     keepEntries,
	}
}

// isLowPriority reports whether this host is a low-priority candidate for the
// leadership of a log: the log of a failure domain should be led inside the
// domain.
func (n *Node) isLowPriority(name string) bool {
	return name != groupConfig && name != domainGroup(n.cfg.Domain)
}

// joinGroup opens a log that another host has added this host to. The log is
// empty and does not vote until its leader has replicated the entries to it and
// promoted it.
func (n *Node) joinGroup(name string) *group.Group {
	if n.cfg.DataDir == "" || n.refusing.Load() || !n.isKnownGroup(name) {
		return nil
	}
	n.joinMu.Lock()
	defer n.joinMu.Unlock()
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

// isKnownGroup reports whether the log belongs to the configuration or to a known
// failure domain.
func (n *Node) isKnownGroup(name string) bool {
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

// transferLeadership transfers the leadership of all logs that this host leads, all
// at once, and gives up at a time on clock.Boot.
func (n *Node) transferLeadership(end time.Duration) {
	var transfers sync.WaitGroup
	for _, g := range n.allGroups() {
		transfers.Go(func() { n.transferGroupLeadership(g, end) })
	}
	transfers.Wait()
}

// transferLeadershipUntil transfers the leadership whenever this host leads a
// log, until done is closed.
func (n *Node) transferLeadershipUntil(done <-chan struct{}, end time.Duration) {
	ticker := time.NewTicker(leadershipTransferInterval)
	defer ticker.Stop()
	for {
		select {
		case <-done:
			return
		case <-ticker.C:
			n.transferLeadership(min(clock.Boot()+leadershipTransferTimeout, end))
		}
	}
}

// transferGroupLeadership requests a transfer until this host no longer leads
// the log, the host is closed or the time on clock.Boot has come.
func (n *Node) transferGroupLeadership(g *group.Group, end time.Duration) {
	for clock.Boot() < end {
		if g.Status().Role != raft.RoleLeader {
			return
		}
		if err := g.TransferLeadership(); err != nil && !isTransferInProgress(err) {
			n.log.V(1).Info("leadership transfer refused", "group", g.Name(), "error", err.Error())
		}
		if !n.wait(leadershipTransferInterval) {
			return
		}
	}
	n.log.Info("leadership transfer timed out", "group", g.Name())
}

// isTransferInProgress reports whether a transfer was refused because another is
// in progress.
func isTransferInProgress(err error) bool {
	var inProgress *raft.TransferInProgressError
	return errors.As(err, &inProgress)
}

func (n *Node) closeGroups() {
	for _, g := range n.allGroups() {
		g.Stop()
	}
	n.config.close()
}
