package node

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"
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
	// mustConfirm holds a configuration back until the host knows that no later
	// one is committed. A host without a replica of the configuration may have
	// had a later version in force before its restart.
	mustConfirm bool
	// file keeps the configuration of a host that has a disk but no replica.
	file string
}

func newConfigKeeper() *configKeeper {
	return &configKeeper{follower: configstate.NewFollower(), changed: func() {}}
}

// held reports whether the known configuration is not yet in force. The caller
// holds the lock.
func (k *configKeeper) held() bool { return k.mustConfirm && !k.follower.Readiness().Ready }

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
	if k.held() {
		return accepted{}
	}
	return k.content()
}

// content returns what the follower has. The caller holds the lock.
func (k *configKeeper) content() accepted {
	f := k.follower
	return accepted{Version: f.Version(), Digest: f.Digest(), Text: f.Text(), Config: f.Config()}
}

// version returns the version in force, or 0.
func (k *configKeeper) version() uint64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.held() {
		return 0
	}
	return k.follower.Version()
}

// latest returns the configuration that this host has, in force or held back.
func (k *configKeeper) latest() accepted {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.content()
}

// known returns the highest version that this host has, in force or held back.
func (k *configKeeper) known() uint64 {
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
	inForce := taken && !k.held()
	if err == nil && taken {
		err = k.save()
	}
	k.mu.Unlock()
	if inForce {
		k.changed()
	}
	return err
}

// save makes the configuration durable before it is used. The caller holds the lock.
func (k *configKeeper) save() error {
	if k.file == "" {
		return nil
	}
	content := k.content()
	data, err := encodeMessage(&content)
	if err != nil {
		return err
	}
	if err := writeFileSync(k.file, data); err != nil {
		return &FolderError{Folder: filepath.Dir(k.file), Cause: err}
	}
	return nil
}

// load reads the configuration that save kept.
func (k *configKeeper) load() error {
	data, err := os.ReadFile(k.file)
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	if err != nil {
		return &FolderError{Folder: filepath.Dir(k.file), Cause: err}
	}
	var kept accepted
	if err := decodeMessage("kept configuration", data, &kept); err != nil {
		return err
	}
	_, err = k.follower.Offer(kept.Version, kept.Digest, kept.Text)
	return err
}

// confirm records which version is the latest, as far as the source knows.
func (k *configKeeper) confirm(source configstate.Source, version uint64) {
	k.mu.Lock()
	before := k.held()
	k.follower.Confirm(source, version)
	released := before && !k.held()
	k.mu.Unlock()
	if released {
		k.changed()
	}
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
	if version > o.keeper.known() {
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
	kept := n.config.latest()
	return &kept, nil
}

func (n *Node) handleConfigLatest(string, *empty, time.Duration) (any, error) {
	reply := &configVersionReply{Version: n.config.known()}
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
	if version <= n.config.known() || !n.fetching.CompareAndSwap(false, true) {
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

// confirmConfig puts the configuration of a host without a replica of it in
// force after a start: it asks the leader of the configuration for the latest
// version or, when cut off from it, the owner of its own failure domain.
func (n *Node) confirmConfig() {
	if !n.config.mustConfirm || n.config.readiness().Ready || !n.confirming.CompareAndSwap(false, true) {
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
	latest, err := callLeader[configVersionReply](n, domainGroup(n.cfg.Domain), methodConfigLatest, &empty{}, n.cfg.Timeouts.Call, true)
	if err != nil || latest.Version == 0 {
		return
	}
	n.config.confirm(configstate.SourceDomain, latest.Version)
}
