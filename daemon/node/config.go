package node

import (
	"sync"
	"time"

	"cranberrydrum.dev/daemon/group"
	"cranberrydrum.dev/scheduler/configstate"
	"cranberrydrum.dev/scheduler/structs"
)

// groupConfig is the replicated log of the configuration.
const groupConfig = "config"

// configKeeper holds the configuration in force on this host. It never goes
// back to an earlier version.
type configKeeper struct {
	mu       sync.Mutex
	follower *configstate.Follower
	changed  func()
}

func newConfigKeeper() *configKeeper {
	return &configKeeper{follower: configstate.NewFollower(), changed: func() {}}
}

// accepted is a configuration in force.
type accepted struct {
	Version uint64          `msgpack:"v"`
	Digest  string          `msgpack:"d"`
	Text    []byte          `msgpack:"t"`
	Config  *structs.Config `msgpack:"-"`
}

// current returns the configuration in force; Version is 0 if there is none.
func (k *configKeeper) current() accepted {
	k.mu.Lock()
	defer k.mu.Unlock()
	f := k.follower
	return accepted{Version: f.Version(), Digest: f.Digest(), Text: f.Text(), Config: f.Config()}
}

func (k *configKeeper) version() uint64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.follower.Version()
}

func (k *configKeeper) readiness() configstate.Readiness {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.follower.Readiness()
}

// offer puts a committed version in force if it is newer.
func (k *configKeeper) offer(version uint64, digest string, text []byte) error {
	k.mu.Lock()
	taken, err := k.follower.Offer(version, digest, text)
	k.mu.Unlock()
	if taken {
		k.changed()
	}
	return err
}

// confirm records which version is the latest, as far as the source knows.
func (k *configKeeper) confirm(source configstate.Source, version uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.follower.Confirm(source, version)
}

// configOwner puts in force what the replicated log has accepted.
type configOwner struct {
	state  *configstate.State
	keeper *configKeeper
	failed func(error)
}

// Step implements group.Owner.
func (o *configOwner) Step(_ time.Duration, view group.View) [][]byte {
	version := o.state.Version()
	if version > o.keeper.version() {
		if err := o.keeper.offer(version, o.state.Digest(), o.state.Text()); err != nil {
			o.failed(err)
		}
	}
	if view.Lease && view.Ready {
		o.keeper.confirm(configstate.SourceQuorum, version)
	}
	return nil
}

// configVersionReply answers config.latest.
type configVersionReply struct {
	Version uint64 `msgpack:"v"`
	// Quorum is true if a quorum confirmed that no later version is committed.
	Quorum bool `msgpack:"q"`
}

type empty struct{}

func (n *Node) handleConfigGet(string, *empty, time.Duration) (any, error) {
	current := n.config.current()
	return &current, nil
}

func (n *Node) handleConfigLatest(string, *empty, time.Duration) (any, error) {
	reply := &configVersionReply{Version: n.config.version()}
	g := n.group(groupConfig)
	if g == nil || !g.Barrier() {
		return reply, nil
	}
	g.Do(func(time.Duration) { reply.Version = n.configState.Version() })
	reply.Quorum = true
	return reply, nil
}

func (n *Node) handleConfigApply(_ string, c *configstate.Command, remaining time.Duration) (any, error) {
	g := n.group(groupConfig)
	if g == nil {
		return nil, structs.NotRun(structs.CodeNotLeader, "this host has no replica of the configuration")
	}
	command, err := configstate.EncodeCommand(*c)
	if err != nil {
		return nil, err
	}
	data, err := g.Propose(command, remaining)
	if err != nil {
		return nil, err
	}
	result, err := configstate.DecodeResult(data)
	if err != nil {
		return nil, err
	}
	return &result, nil
}

// configHistory is the list of accepted versions.
type configHistory struct {
	Entries []configstate.Entry `msgpack:"e"`
}

func (n *Node) handleConfigHistory(string, *empty, time.Duration) (any, error) {
	g := n.group(groupConfig)
	if g == nil {
		return nil, structs.NotRun(structs.CodeNotLeader, "this host has no replica of the configuration")
	}
	history := &configHistory{}
	if !g.Do(func(time.Duration) { history.Entries = n.configState.History() }) {
		return nil, structs.NotRun(structs.CodeStopping, "this host is stopping")
	}
	return history, nil
}

// ApplyRules proposes a configuration to the deployment.
func (n *Node) ApplyRules(c configstate.Command, timeout time.Duration) (*configstate.Result, error) {
	return callLeader[configstate.Result](n, groupConfig, methodConfigApply, &c, timeout, true)
}

// RulesHistory returns the accepted versions, oldest first.
func (n *Node) RulesHistory(timeout time.Duration) ([]configstate.Entry, error) {
	if n.group(groupConfig) != nil {
		history, err := call[configHistory](n, n.cfg.HostID, methodConfigHistory, &empty{}, timeout)
		if err != nil {
			return nil, err
		}
		return history.Entries, nil
	}
	history, err := callLeader[configHistory](n, groupConfig, methodConfigHistory, &empty{}, timeout, true)
	if err != nil {
		return nil, err
	}
	return history.Entries, nil
}

// followConfig fetches a newer configuration that another host has reported.
func (n *Node) followConfig(from string, version uint64) {
	if version <= n.config.version() || !n.fetching.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer n.fetching.Store(false)
		current, err := call[accepted](n, from, methodConfigGet, &empty{}, n.cfg.Timeouts.Call)
		if err != nil {
			n.log.V(1).Info("fetching the configuration failed", "from", from, "error", err.Error())
			return
		}
		if err := n.config.offer(current.Version, current.Digest, current.Text); err != nil {
			n.log.Error(err, "a host offered a contradicting configuration", "from", from)
		}
	}()
}

// confirmConfig makes a host without a disk ready: it asks the leader of the
// configuration for the latest version or, when cut off from it, the hosts of
// its own failure domain.
func (n *Node) confirmConfig() {
	if n.config.readiness().Ready || !n.confirming.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer n.confirming.Store(false)
		latest, err := callLeader[configVersionReply](n, groupConfig, methodConfigLatest, &empty{}, n.cfg.Timeouts.Call, true)
		if err == nil && latest.Quorum {
			n.config.confirm(configstate.SourceQuorum, latest.Version)
			return
		}
		n.confirmFromDomain()
	}()
}

func (n *Node) confirmFromDomain() {
	highest := uint64(0)
	for _, h := range n.hosts.inDomain(n.cfg.Domain) {
		latest, err := call[configVersionReply](n, h.ID, methodConfigLatest, &empty{}, n.cfg.Timeouts.Call)
		if err != nil {
			return
		}
		highest = max(highest, latest.Version)
	}
	if highest > 0 {
		n.config.confirm(configstate.SourceDomain, highest)
	}
}
