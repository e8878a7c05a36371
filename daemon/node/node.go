// Package node implements a host of the system. It connects the replicated logs
// and the request dispatchers with the network connections to other hosts,
// executors, workers and callers. The decisions are made in the scheduler
// packages.
package node

import (
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"cranberrydrum.dev/coord/raft"
	"cranberrydrum.dev/daemon/clock"
	"cranberrydrum.dev/daemon/group"
	"cranberrydrum.dev/daemon/metrics"
	"cranberrydrum.dev/daemon/settings"
	"cranberrydrum.dev/daemon/transport"
	"cranberrydrum.dev/daemon/upstream"
	"cranberrydrum.dev/scheduler/configstate"
	"cranberrydrum.dev/scheduler/structs"
)

// Node is one running host.
type Node struct {
	cfg     settings.Settings
	log     logr.Logger
	metrics *metrics.Metrics
	start   time.Time
	// booted is the time of the start on clock.Boot.
	booted time.Duration

	identity  identity
	stores    *peerStores
	transport *transport.Transport
	handlers  map[string]callHandler
	hosts     *hostTable
	statuses  *statusSource
	backends  *backendDirectory
	pool      *upstream.Pool
	router    *router

	config      *configStore
	configState *configstate.State
	// configChangeMu serializes configChanged.
	configChangeMu sync.Mutex
	// fetching and confirming are set while a fetch or a confirmation of the
	// configuration is in progress, so that no second one starts.
	fetching   atomic.Bool
	confirming atomic.Bool

	// joinMu serializes the opening of logs that other hosts have added this host
	// to.
	joinMu sync.Mutex
	// mu guards the three maps.
	mu            sync.Mutex
	groups        map[string]*group.Group
	hostedDomains map[string]*hostedDomain
	services      map[string]*service

	inFlight *inFlight
	// stopping is set at the start of Stop: the host reports that it is not ready.
	// refusing is set once the load balancer has had time to notice: the host then
	// joins no log and refuses new requests, except those that are sent to it as the
	// owner of a key.
	stopping atomic.Bool
	refusing atomic.Bool
	refusals refusalCounts
	// tokens is the number of tokens that newToken has returned.
	tokens     atomic.Uint64
	keyedSends keyedSends

	stop   chan struct{}
	wg     sync.WaitGroup
	failed chan error
}

// New opens the data directory of a host and its replicated logs. The host sends
// and receives nothing before Start.
func New(cfg settings.Settings, log logr.Logger) (*Node, error) {
	n := &Node{
		cfg:           cfg,
		log:           log.WithValues("host", cfg.HostID),
		metrics:       metrics.New(),
		start:         time.Now(),
		booted:        clock.Boot(),
		hosts:         newHostTable(cfg.Peers),
		statuses:      newStatusSource(),
		backends:      newBackendDirectory(cfg.Domain, cfg.Timeouts.BackendTTL),
		pool:          upstream.NewPool(),
		config:        newConfigStore(),
		groups:        map[string]*group.Group{},
		hostedDomains: map[string]*hostedDomain{},
		services:      map[string]*service{},
		inFlight:      newInFlight(),
		refusals:      refusalCounts{counts: map[structs.Code]uint64{}},
		stop:          make(chan struct{}),
		failed:        make(chan error, 1),
	}
	n.router = newRouter(n.now(), n.routingConfig())
	n.handlers = n.allHandlers()
	n.config.onChange = n.configChanged
	n.config.onFailure = n.reportFailure
	if err := n.openIdentity(); err != nil {
		return nil, err
	}
	n.configState = configstate.New(CheckGuarantees)
	if err := n.openGroups(); err != nil {
		n.closeGroups()
		return nil, err
	}
	if err := n.openConfig(); err != nil {
		n.closeGroups()
		return nil, err
	}
	n.transport = transport.New(n.transportConfig(), n)
	return n, nil
}

// openConfig loads the configuration in force. A host with a disk starts with the
// stored version that it last had in force, even if it has since become a learner
// of the configuration's log, which may lag. A host without a disk does not know
// that version and has to confirm it with other hosts.
func (n *Node) openConfig() error {
	if n.cfg.DataDir == "" {
		n.config.requiresConfirmation = true
		return nil
	}
	n.config.file = filepath.Join(n.cfg.DataDir, configFile)
	return n.config.load()
}

func (n *Node) openIdentity() error {
	n.identity = identity{Host: n.cfg.HostID, Store: storeIDAbsent}
	if n.cfg.DataDir != "" {
		id, err := openIdentity(n.cfg.DataDir, n.cfg.HostID)
		if err != nil {
			return err
		}
		n.identity = id
	}
	stores, err := openPeerStores(n.cfg.DataDir)
	n.stores = stores
	return err
}

func (n *Node) transportConfig() transport.Config {
	peers := make([]transport.Peer, len(n.cfg.Peers))
	for i, p := range n.cfg.Peers {
		peers[i] = transport.Peer{Host: p.ID, Address: p.Address}
	}
	return transport.Config{
		Host:              n.cfg.HostID,
		StoreID:           n.identity.Store,
		Listen:            n.cfg.PeerListen,
		Peers:             peers,
		Key:               []byte(n.cfg.PeerKey.Reveal()),
		CheckPeer:         n.stores.checkPeer,
		HeartbeatInterval: n.cfg.Timeouts.PeerHeartbeat,
		SilenceTimeout:    n.cfg.Timeouts.PeerSilence,
		IsBulkMethod:      hasBulkReply,
		Logger:            n.log,
		Observer:          &observer{node: n},
		Panics:            n.metrics,
	}
}

// now returns the time since the host started. It includes the time for which the
// machine was suspended, so that a lease that expired meanwhile does not appear valid.
func (n *Node) now() time.Duration { return clock.Boot() - n.booted }

// wait sleeps for d. It returns false at once if the host stops.
func (n *Node) wait(d time.Duration) bool {
	return clock.Wait(d, n.stop)
}

// Start connects the host to its peers and starts its replicated logs.
func (n *Node) Start() error {
	if err := n.transport.Start(); err != nil {
		return err
	}
	for _, g := range n.allGroups() {
		g.Start()
	}
	n.configChanged()
	n.backends.startAccepting(n.now())
	n.wg.Add(1)
	go n.maintain()
	return nil
}

// Failure returns the channel that delivers the first error after which the host
// cannot continue.
func (n *Node) Failure() <-chan error { return n.failed }

func (n *Node) reportFailure(err error) {
	select {
	case n.failed <- err:
	default:
	}
}

// PeerAddress returns the address on which the host accepts other hosts.
func (n *Node) PeerAddress() string { return n.transport.Address() }

// Metrics returns the metrics of the host.
func (n *Node) Metrics() *metrics.Metrics { return n.metrics }

// Settings returns the settings of the host.
func (n *Node) Settings() settings.Settings { return n.cfg }

// Config returns the configuration in force and its version, or nil and 0 if
// there is none.
func (n *Node) Config() (*structs.Config, uint64) {
	current := n.config.current()
	return current.Config, current.Version
}

// RulesText returns the text of the rules in force with its version and digest.
func (n *Node) RulesText() (version uint64, digest string, text []byte) {
	current := n.config.current()
	return current.Version, current.Digest, current.Text
}

// NotReadyReason returns the reason why the host must get no requests, or an empty
// string if it is ready.
func (n *Node) NotReadyReason() string {
	if n.stopping.Load() {
		return "stopping"
	}
	if n.config.version() == 0 && n.config.knownVersion() > 0 {
		return "the latest configuration is not confirmed"
	}
	if n.config.version() == 0 {
		return "no configuration is in force"
	}
	if !n.backends.isSynced(n.now()) {
		return "the backend servers are not yet known"
	}
	return ""
}

// maintain periodically sends the host status, synchronises the backend servers,
// confirms the configuration and updates the metrics.
func (n *Node) maintain() {
	defer n.wg.Done()
	ticker := time.NewTicker(hostStatusInterval)
	defer ticker.Stop()
	for {
		select {
		case <-n.stop:
			return
		case <-ticker.C:
			n.guard("maintenance", n.broadcastStatus)
			n.guard("maintenance", n.syncBackends)
			n.guard("maintenance", n.confirmConfig)
			n.guard("maintenance", n.publishMetrics)
		}
	}
}

// configChanged applies the configuration in force to the router and the
// dispatchers and sends the host status without waiting for the next interval.
// Concurrent calls run one after the other, so that the last one applies the latest
// version.
func (n *Node) configChanged() {
	n.configChangeMu.Lock()
	defer n.configChangeMu.Unlock()
	current := n.config.current()
	n.metrics.SetConfigVersion(current.Version)
	if current.Config == nil {
		return
	}
	n.log.Info("configuration in force", "version", current.Version, "digest", current.Digest)
	if n.transport != nil {
		n.connectConfiguredHosts(current.Config)
	}
	n.router.setConfig(n.now(), n.routingConfig())
	n.updateServices(current.Config)
	if n.transport != nil {
		n.broadcastStatus()
	}
}

func (n *Node) group(name string) *group.Group {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.groups[name]
}

func (n *Node) hosted(domain string) *hostedDomain {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.hostedDomains[domain]
}

func (n *Node) service(name string) *service {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.services[name]
}

func (n *Node) allGroups() []*group.Group {
	n.mu.Lock()
	defer n.mu.Unlock()
	groups := make([]*group.Group, 0, len(n.groups))
	for _, g := range n.groups {
		groups = append(groups, g)
	}
	slices.SortFunc(groups, func(a, b *group.Group) int { return strings.Compare(a.Name(), b.Name()) })
	return groups
}

// leaderOf returns the leader of a log as known to this host, or an empty string.
// The highest term decides.
func (n *Node) leaderOf(name string) string {
	leader, term := n.hosts.leader(n.now(), name)
	g := n.group(name)
	if g == nil {
		return leader
	}
	status := g.Status()
	if status.Leader != "" && status.Term >= term {
		return status.Leader
	}
	return leader
}

// domains returns the failure domains of the configuration.
func (n *Node) domains() []string {
	cfg := n.config.current().Config
	if cfg == nil {
		return nil
	}
	names := make([]string, len(cfg.Domains))
	for i, d := range cfg.Domains {
		names[i] = d.Name
	}
	return names
}

func (n *Node) checkDomain(name string) *structs.Refusal {
	if slices.Contains(n.domains(), name) {
		return nil
	}
	return structs.RefuseNotRun(structs.CodeNotFound, "no failure domain "+name)
}

// keyHomes returns the failure domains whose logs record request keys.
func (n *Node) keyHomes() []string {
	cfg := n.config.current().Config
	if cfg == nil {
		return nil
	}
	var homes []string
	for _, d := range cfg.Domains {
		if d.KeyHome {
			homes = append(homes, d.Name)
		}
	}
	return homes
}

// domainOfJob returns the failure domain in a job id: "<domain>-<number>".
func domainOfJob(id string) string {
	end := strings.LastIndexByte(id, '-')
	if end < 0 {
		return ""
	}
	return id[:end]
}

// HandleMessage implements transport.Handler.
func (n *Node) HandleMessage(from string, kind transport.Kind, body []byte) {
	switch kind {
	case transport.KindRaft:
		n.receiveRaft(from, body)
	case transport.KindHostStatus:
		n.receiveStatus(from, body)
	case transport.KindRegistry:
		n.receiveRegistry(from, body)
	case transport.KindSlots:
		n.receiveSlots(from, body)
	}
}

func (n *Node) receiveRaft(from string, body []byte) {
	var m raft.Message
	if err := decodeMessage("raft message", body, &m); err != nil || m.From != from {
		n.metrics.FrameDropped(transport.KindRaft.String(), "malformed")
		return
	}
	g := n.group(m.Group)
	if g == nil {
		g = n.joinGroup(m.Group)
	}
	if g == nil || !g.Deliver(m) {
		n.metrics.FrameDropped(transport.KindRaft.String(), "not delivered")
	}
}

// sendRaft sends a message of a replicated log. A message that cannot be sent is
// dropped; Raft repeats it.
func (n *Node) sendRaft(m raft.Message) {
	body, err := encodeMessage(&m)
	if err != nil {
		n.log.Error(err, "encoding a Raft message failed", "group", m.Group)
		return
	}
	_ = n.transport.Send(m.To, transport.KindRaft, body)
}
