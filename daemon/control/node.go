// Package control runs a control host: a member of the replicated log of
// configuration and jobs, whose leader gives the orders to the executors.
package control

import (
	"net"
	"path/filepath"
	"strconv"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"cranberrydrum.dev/coord/raft"
	"cranberrydrum.dev/coord/replica"
	"cranberrydrum.dev/daemon/clock"
	"cranberrydrum.dev/daemon/group"
	"cranberrydrum.dev/daemon/storage"
	"cranberrydrum.dev/daemon/transport"
	"cranberrydrum.dev/scheduler/fleet"
	"cranberrydrum.dev/scheduler/workload"
)

const (
	logName = "workload"
	// electionTimeout is several round trips between regions and a slow sync.
	electionTimeout   = 700 * time.Millisecond
	heartbeatInterval = 150 * time.Millisecond
	clockError        = 100 * time.Millisecond
	// maxCommandBytes holds the largest configuration and fits a frame.
	maxCommandBytes   = 640 << 10
	snapshotChunk     = 64 << 10
	snapshotEntries   = 4096
	snapshotBytes     = 8 << 20
	keepEntries       = 512
	proposalTimeout   = 2 * time.Second
	membershipPeriod  = 500 * time.Millisecond
	handOverTimeout   = 2 * time.Second
	handOverPoll      = 50 * time.Millisecond
	settingsPollCount = 4
)

// Config describes a control host.
type Config struct {
	// Host is the address of this host without a port.
	Host string
	// PeerPort is the port that all hosts use between them.
	PeerPort int
	// ReportAddress is where executors report to this host.
	ReportAddress string
	DataDir       string
	Bootstrap     bool
	// Seeds returns the hosts known from the settings as they are now.
	Seeds func() []string
	// Faults is the number of control hosts that may be lost at once.
	Faults int
	// LowPriority keeps leadership away from hosts that are far from the others.
	LowPriority bool
	Fleet       fleet.Settings
	Executors   Executors
	// Advised is set if there is an advice service.
	Advised  bool
	Logger   logr.Logger
	Observer Observer
}

// Observer counts what a control host does.
type Observer interface {
	Call(kind, verdict string, took time.Duration)
	Refused(method, code string)
}

// Node is a control host.
type Node struct {
	cfg       Config
	member    string
	founders  []string
	log       logr.Logger
	state     *workload.State
	owner     *owner
	group     *group.Group
	transport *transport.Transport
	failed    chan error
	stop      chan struct{}
	stopOnce  sync.Once
	wg        sync.WaitGroup

	mu sync.Mutex
	// joining holds the members that asked to join, with the time they did.
	joining map[string]time.Duration
	hosts   map[string]bool
	// hint is the leader that another host named.
	hint string
	// listed is false while this host is not known to be a member.
	listed bool
}

// New opens the state of a control host.
func New(cfg Config) (*Node, error) {
	n := &Node{
		cfg: cfg, log: cfg.Logger, state: workload.New(), founders: cfg.Seeds(),
		failed: make(chan error, 1), stop: make(chan struct{}),
		joining: map[string]time.Duration{}, hosts: map[string]bool{},
	}
	member, found, err := loadIdentity(cfg.DataDir, cfg.Host, n.founders, cfg.Bootstrap)
	if err != nil {
		return nil, err
	}
	n.member = member
	n.log.Info("identity", "member", member, "found", found, "bootstrap", cfg.Bootstrap)
	if err := n.open(); err != nil {
		return nil, err
	}
	n.transport = transport.New(transport.Config{
		Host: cfg.Host, StoreID: member, Listen: n.peerAddress(cfg.Host),
		HeartbeatInterval: LinkHeartbeat, SilenceTimeout: LinkSilence, Logger: n.log,
	}, n)
	return n, nil
}

func (n *Node) open() error {
	disk, err := storage.Open(filepath.Join(n.cfg.DataDir, logFolder), storage.Options{StoreID: n.member, LazyCommit: true})
	if err != nil {
		return err
	}
	if recovery := disk.Recovery(); recovery.TornTail {
		n.log.Info("truncated an incomplete record at the end of the log", "file", recovery.File, "bytes", recovery.Bytes)
	}
	r, err := replica.Open(n.replicaConfig(), disk, n.state)
	if err != nil {
		_ = disk.Close()
		return err
	}
	n.owner = &owner{cfg: n.cfg.Fleet, state: n.state, executors: n.cfg.Executors, log: n.log}
	n.group = group.New(group.Config{
		Name: logName, Replica: r, Send: n.sendRaft, Owner: n.owner, Now: clock.Boot, Logger: n.log,
		Failed: func(err error) { n.failed <- err },
	})
	n.owner.do = n.group.Do
	n.owner.observe = func(call fleet.Call, a fleet.Answer, took time.Duration) {
		n.cfg.Observer.Call(call.Kind.String(), a.Verdict.String(), took)
	}
	return nil
}

func (n *Node) replicaConfig() replica.Config {
	return replica.Config{
		Raft: raft.Config{
			ID: n.member, Group: logName, ElectionTimeout: electionTimeout, HeartbeatInterval: heartbeatInterval,
			ClockError: clockError, MaxBatchBytes: maxCommandBytes, SnapshotChunkBytes: snapshotChunk,
			Seed: uint64(time.Now().UnixNano()), LowPriority: n.cfg.LowPriority, PromoteLag: promoteLag,
		},
		Bootstrap: n.foundingMembers(), SnapshotEntries: snapshotEntries, SnapshotBytes: snapshotBytes, KeepEntries: keepEntries,
	}
}

// foundingMembers returns the first members of the log, or none if this host
// joins one that exists.
func (n *Node) foundingMembers() raft.Membership {
	if n.member != n.cfg.Host+identityMark+firstNumber {
		return raft.Membership{}
	}
	var m raft.Membership
	for _, host := range n.founders {
		m.Voters = append(m.Voters, host+identityMark+firstNumber)
	}
	return m.Clone()
}

// Start begins to serve.
func (n *Node) Start() error {
	if err := n.transport.Start(); err != nil {
		return err
	}
	for _, host := range n.founders {
		n.know(host)
	}
	n.group.Start()
	n.wg.Add(1)
	go n.attend()
	return nil
}

// Failed delivers the error that ended the log.
func (n *Node) Failed() <-chan error { return n.failed }

// Stop ends the host.
func (n *Node) Stop() {
	n.stopOnce.Do(func() {
		close(n.stop)
		n.transport.Close()
		n.group.Stop()
		n.transport.Wait()
		n.wg.Wait()
	})
}

// HandOver gives the leadership to another host, if this one leads.
func (n *Node) HandOver() {
	deadline := clock.Boot() + handOverTimeout
	for n.group.Status().Role == raft.RoleLeader && clock.Boot() < deadline {
		if err := n.group.HandOver(); err != nil {
			n.log.V(1).Info("leadership transfer refused", "error", err.Error())
		}
		time.Sleep(handOverPoll)
	}
}

func (n *Node) peerAddress(host string) string {
	return net.JoinHostPort(host, strconv.Itoa(n.cfg.PeerPort))
}

// know begins to dial a control host.
func (n *Node) know(host string) {
	if host == "" || host == n.cfg.Host {
		return
	}
	n.mu.Lock()
	known := n.hosts[host]
	n.hosts[host] = true
	n.mu.Unlock()
	if !known {
		n.transport.AddPeer(transport.Peer{Host: host, Address: n.peerAddress(host)})
	}
}

// leader returns the host that leads as far as this one knows, or nothing.
func (n *Node) leader() string {
	status := n.group.Status()
	if status.Leader != "" {
		return hostOf(status.Leader)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listed {
		return ""
	}
	return n.hint
}
