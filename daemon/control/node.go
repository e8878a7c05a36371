// Package control runs a control host: a member of the replication group that
// stores the configuration and the jobs. The leader of the group schedules the jobs
// and sends orders to the executors.
package control

import (
	"maps"
	"net"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"cranberrydrum.dev/coord/raft"
	"cranberrydrum.dev/coord/reconfig"
	"cranberrydrum.dev/coord/replica"
	"cranberrydrum.dev/daemon/clock"
	"cranberrydrum.dev/daemon/group"
	"cranberrydrum.dev/daemon/panics"
	"cranberrydrum.dev/daemon/transport"
	"cranberrydrum.dev/scheduler/admission"
	"cranberrydrum.dev/scheduler/fleet"
	"cranberrydrum.dev/scheduler/workload"
)

const (
	groupName = "workload"
	// electionTimeout allows for several round trips between regions and a slow disk
	// sync.
	electionTimeout   = 700 * time.Millisecond
	heartbeatInterval = 150 * time.Millisecond
	// roundTime bounds a round of the scheduler, which runs on the goroutine of the log: a heartbeat
	// that is due in a round is late by a part of the interval only.
	roundTime = heartbeatInterval / 5
	// clockError bounds the difference between the measurements of one election
	// timeout by two hosts.
	clockError = 100 * time.Millisecond
	// maxCommandBytes is enough for the largest configuration and fits into a frame
	// of the transport.
	maxCommandBytes = 640 << 10
	// maxEncodedBytes leaves room for what the log adds to a command. The log refuses
	// all commands that are proposed together with one that is too large.
	maxEncodedBytes    = maxCommandBytes - 1<<10
	snapshotChunkBytes = 64 << 10
	snapshotEntries    = 4096
	snapshotBytes      = 8 << 20
	// retainedEntries is the number of entries kept behind a snapshot, so that followers
	// that lag a little need no snapshot.
	retainedEntries                = 512
	proposalTimeout                = 2 * time.Second
	membershipInterval             = 250 * time.Millisecond
	leadershipTransferPollInterval = 50 * time.Millisecond
	// joinRounds is the number of membership rounds between two join requests of a host
	// that is not a member.
	joinRounds = 2
	// seedRefreshRounds is the number of membership rounds after which a learner, or a
	// voter without a leader, reads its settings and asks the other hosts again.
	seedRefreshRounds = 8
)

// Config describes a control host.
type Config struct {
	// Host is the address of this host without a port.
	Host string
	// PeerPort is the port on which all hosts listen for connections of other hosts.
	PeerPort int
	// ReportAddress is the address at which this host accepts reports of executors.
	ReportAddress string
	// AcceptLimit returns the number of connections that this host may accept. The
	// leader leaves the reports of further executors to the other hosts.
	AcceptLimit func() int
	DataDir     string
	Bootstrap   bool
	// Domains are the failure domains of the deployment.
	Domains []string
	// Seeds returns the control hosts in the current settings.
	Seeds func() []string
	// KnownHosts lists further hosts to ask for the leader, which a former Node in this
	// process knew: the settings may name hosts that are gone.
	KnownHosts []string
	// MaxFaults is the number of simultaneous failures of control hosts to tolerate; the
	// group has 2*MaxFaults+1 voters.
	MaxFaults int
	// ReplaceWithin is the time after its start in which a new host must have replaced
	// one that is gone.
	ReplaceWithin time.Duration
	// MaxCallBytes bounds the bodies of the calls of other hosts that run at the same time;
	// 0 is the default of the transport. Further calls are refused as not run.
	MaxCallBytes int
	// LowPriority is set on hosts that are far from the others, so that the leader is
	// preferably another host.
	LowPriority bool
	Fleet       fleet.Settings
	Executors   Executors
	// Admission decides the requests of customers.
	Admission admission.Policy
	Logger    logr.Logger
	Observer  Observer
}

// Observer counts calls to executors, refused calls of peers, and members, for metrics.
type Observer interface {
	Call(kind, verdict string, took time.Duration)
	CountRefusal(method, code string)
	// SetMembers sets the counts of members; they are all 0 on a host that does not
	// lead.
	SetMembers(MemberCounts)
	CountMembershipChange(operation, reason string, done bool)
	// ObserveGangs sets the number of waiting gangs and counts dropped reservations.
	ObserveGangs(fleet.GangCounts)
	// ObserveOverload sets the gauges of a round and counts decisions under overload.
	ObserveOverload(fleet.OverloadCounts)
	// ObserveEnds counts the runs that ended, by the evidence for it.
	ObserveEnds(fleet.EndCounts)
	// ObserveRound records a round of the scheduler and the time that its step took.
	ObserveRound(c fleet.RoundCounts, took time.Duration)
	// SetEvacuations sets the number of evacuated failure domains, and for how long the
	// first of them has been.
	SetEvacuations(domains int, oldest time.Duration)
	CountEvacuationOrder(active bool, result string)
	// ObserveAdmissions counts decisions about submissions and their errors.
	ObserveAdmissions(fleet.AdmissionCounts)
	// ObservePredictions counts measured run times by the error of their prediction.
	ObservePredictions(fleet.PredictionCounts)
	panics.Observer
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
	// wake starts a round of maintainMembership.
	wake     chan struct{}
	contacts contacts
	// requestsJoin is set while a join request waits for replies.
	requestsJoin atomic.Bool

	mu      sync.Mutex
	planner *reconfig.Planner
	// knownHosts holds the control hosts that the transport connects to.
	knownHosts map[string]bool
	// leaderHint is the leader that another host named.
	leaderHint string
	// isVoter is set while this host is known to be a voter.
	isVoter bool
}

// New loads the identity and opens the log of a control host.
func New(cfg Config) (*Node, error) {
	n := &Node{
		cfg: cfg, log: cfg.Logger, state: workload.New(), founders: cfg.Seeds(),
		failed: make(chan error, 1), stop: make(chan struct{}),
		wake: make(chan struct{}, 1), planner: newPlanner(&cfg), knownHosts: map[string]bool{},
	}
	member, found, err := loadIdentity(cfg.DataDir, cfg.Host, n.founders, cfg.Bootstrap)
	if err != nil {
		return nil, err
	}
	n.member = member
	n.log.Info("member identity", "member", member, "found", found, "bootstrap", cfg.Bootstrap)
	if err := n.open(); err != nil {
		return nil, err
	}
	n.transport = transport.New(transport.Config{
		Host: cfg.Host, StoreID: member, Listen: n.peerAddress(cfg.Host),
		HeartbeatInterval: PeerHeartbeatInterval, SilenceTimeout: PeerSilenceTimeout, Logger: n.log, Panics: n.cfg.Observer,
		Observer: &n.contacts, MaxCallBytes: n.cfg.MaxCallBytes,
	}, n)
	return n, nil
}

// open opens the log and creates the replica, its owner and the group.
func (n *Node) open() error {
	store, err := openLog(n.cfg.DataDir, n.member)
	if err != nil {
		return err
	}
	if recovery := store.Recovery(); recovery.TornTail {
		n.log.Info("truncated an incomplete record at the end of the log", "file", recovery.File, "bytes", recovery.Bytes)
	}
	r, err := replica.Open(n.replicaConfig(), store, n.state)
	if err != nil {
		_ = store.Close()
		return err
	}
	settings := n.cfg.Fleet
	settings.RoundTime, settings.Elapsed = roundTime, clock.Boot
	n.owner = &owner{cfg: settings, state: n.state, executors: n.cfg.Executors, log: n.log, panics: n.cfg.Observer, now: clock.Boot}
	n.group = group.New(group.Config{
		Name: groupName, Replica: r, Send: n.sendRaft, Owner: n.owner, Now: clock.Boot, Logger: n.log, Panics: n.cfg.Observer,
		OnFailure: n.reportFailure,
	})
	n.owner.runInGroup = n.group.RunOnLoop
	n.owner.leaseEnd = n.group.LeaseEnd
	n.owner.observeGangs = n.cfg.Observer.ObserveGangs
	n.owner.observeOverload = n.cfg.Observer.ObserveOverload
	n.owner.observeEnds = n.cfg.Observer.ObserveEnds
	n.owner.observeRound = n.cfg.Observer.ObserveRound
	n.owner.observeEvacuations = n.cfg.Observer.SetEvacuations
	n.owner.observeAdmissions = n.cfg.Observer.ObserveAdmissions
	n.owner.observePredictions = n.cfg.Observer.ObservePredictions
	n.owner.observeCall = func(call fleet.Call, a fleet.Response, took time.Duration) {
		n.cfg.Observer.Call(call.Kind.String(), a.Verdict.String(), took)
	}
	return nil
}

func (n *Node) replicaConfig() replica.Config {
	return replica.Config{
		Raft: raft.Config{
			ID: n.member, Group: groupName, ElectionTimeout: electionTimeout, HeartbeatInterval: heartbeatInterval,
			ClockError: clockError, MaxBatchBytes: maxCommandBytes, SnapshotChunkBytes: snapshotChunkBytes,
			Seed: uint64(time.Now().UnixNano()), LowPriority: n.cfg.LowPriority,
		},
		Bootstrap: n.foundingMembers(), SnapshotEntries: snapshotEntries, SnapshotBytes: snapshotBytes, KeepEntries: retainedEntries,
	}
}

// foundingMembers returns the initial members of the group, or none if this host
// joins an existing group.
func (n *Node) foundingMembers() raft.Membership {
	if n.member != n.cfg.Host+reconfig.IdentitySeparator+founderNumber {
		return raft.Membership{}
	}
	var m raft.Membership
	for _, host := range n.founders {
		m.Voters = append(m.Voters, host+reconfig.IdentitySeparator+founderNumber)
	}
	return m.Clone()
}

// Start starts the transport, the group and the maintenance of its membership.
func (n *Node) Start() error {
	if err := n.transport.Start(); err != nil {
		return err
	}
	for _, host := range slices.Concat(n.founders, n.cfg.KnownHosts) {
		n.addPeer(host)
	}
	n.group.Start()
	n.wg.Add(1)
	go n.maintainMembership()
	return nil
}

// Failed returns the channel on which the error is sent that stopped the group, or
// MemberRemovedError.
func (n *Node) Failed() <-chan error { return n.failed }

// reportFailure passes the first failure on to Failed.
func (n *Node) reportFailure(err error) {
	select {
	case n.failed <- err:
	default:
	}
}

// Stop stops the host and waits until its goroutines have returned. It may be called
// more than once.
func (n *Node) Stop() {
	n.stopOnce.Do(func() {
		close(n.stop)
		n.transport.Close()
		n.group.Stop()
		n.transport.WaitCalls()
		n.wg.Wait()
	})
}

// TransferLeadership transfers the leadership to another host if this host is the leader, and
// waits until it no longer is, at most until the deadline on clock.Boot.
func (n *Node) TransferLeadership(deadline time.Duration) {
	for n.group.Status().Role == raft.RoleLeader && clock.Boot() < deadline {
		if err := n.group.TransferLeadership(); err != nil {
			n.log.V(1).Info("leadership transfer refused", "error", err.Error())
		}
		time.Sleep(leadershipTransferPollInterval)
	}
}

// KnownHosts returns the control hosts that this host has learned of.
func (n *Node) KnownHosts() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.Sorted(maps.Keys(n.knownHosts))
}

// PeerConnections returns the number of connections with other hosts.
func (n *Node) PeerConnections() int { return n.transport.OpenConnections() }

func (n *Node) peerAddress(host string) string {
	return net.JoinHostPort(host, strconv.Itoa(n.cfg.PeerPort))
}

// addPeer makes the transport connect to a control host, unless it does already.
func (n *Node) addPeer(host string) {
	if host == "" || host == n.cfg.Host {
		return
	}
	n.mu.Lock()
	known := n.knownHosts[host]
	n.knownHosts[host] = true
	n.mu.Unlock()
	if !known {
		n.transport.AddPeer(transport.Peer{Host: host, Address: n.peerAddress(host)})
	}
}

// leader returns the host of the leader, as far as this host knows, or an empty
// string. The leader that another host named is used only while this host is not a
// voter.
func (n *Node) leader() string {
	status := n.group.Status()
	if status.Leader != "" {
		return reconfig.HostOf(status.Leader)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.isVoter {
		return ""
	}
	return n.leaderHint
}
