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

// groupConfig is the name of the replicated log of the configuration.
const groupConfig = "config"

// configStore holds the configuration in force on this host. It never reverts
// to an earlier version. A version is stored before it is in force, and the store is
// not locked meanwhile: each request and each replicated log reads it, and a log that
// waits for a slow disk loses its leader.
type configStore struct {
	mu       sync.Mutex
	follower *configstate.Follower
	onChange func()
	// onFailure is called if a version cannot be installed in the background.
	onFailure func(error)
	// installing is held while a version is stored and put in force.
	installing sync.Mutex
	// wanted is the latest version to install in the background, and isInstalling is set
	// while a goroutine of background does so.
	wanted       configVersion
	isInstalling bool
	background   sync.WaitGroup
	// requiresConfirmation keeps a configuration out of force until the host
	// knows that no later one is committed. A host without a replica of the
	// configuration may have had a later version in force before its restart.
	requiresConfirmation bool
	// file is the path of the stored configuration, empty on a host without a
	// disk. A host with a disk but without a replica of the log needs it.
	file string
	// write stores a file durably.
	write func(path string, data []byte) error
}

func newConfigStore() *configStore {
	return &configStore{follower: configstate.NewFollower(), onChange: func() {}, onFailure: func(error) {}, write: writeFileSync}
}

// isUnconfirmed reports whether the known configuration is not yet in force
// because it still has to be confirmed. The caller holds the lock.
func (s *configStore) isUnconfirmed() bool {
	return s.requiresConfirmation && !s.follower.Readiness().Ready
}

// configVersion is one version of the configuration.
type configVersion struct {
	Version uint64          `msgpack:"v"`
	Digest  string          `msgpack:"d"`
	Text    []byte          `msgpack:"t"`
	Config  *structs.Config `msgpack:"-"`
}

// current returns the configuration in force; Version is 0 if there is none.
func (s *configStore) current() configVersion {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isUnconfirmed() {
		return configVersion{}
	}
	return s.content()
}

// content returns the latest version that the follower has. The caller holds
// the lock.
func (s *configStore) content() configVersion { return contentOf(s.follower) }

func contentOf(f *configstate.Follower) configVersion {
	return configVersion{Version: f.Version(), Digest: f.Digest(), Text: f.Text(), Config: f.Config()}
}

// version returns the version in force, or 0.
func (s *configStore) version() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isUnconfirmed() {
		return 0
	}
	return s.follower.Version()
}

// latest returns the latest configuration that this host has, confirmed or not.
func (s *configStore) latest() configVersion {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.content()
}

// knownVersion returns the highest version that this host has, confirmed or not.
func (s *configStore) knownVersion() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.follower.Version()
}

func (s *configStore) readiness() configstate.Readiness {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.follower.Readiness()
}

// install stores a committed version if it is newer than the known one, and puts
// it in force if it needs no confirmation. It blocks until the version is durable.
func (s *configStore) install(version uint64, digest string, text []byte) error {
	s.installing.Lock()
	defer s.installing.Unlock()
	s.mu.Lock()
	next := *s.follower
	s.mu.Unlock()
	accepted, err := next.Offer(version, digest, text)
	if err != nil || !accepted {
		return err
	}
	if err := s.save(contentOf(&next)); err != nil {
		return err
	}
	s.mu.Lock()
	confirmed := s.follower.Readiness()
	next.Confirm(confirmed.Source, confirmed.Required)
	s.follower = &next
	inForce := !s.isUnconfirmed()
	s.mu.Unlock()
	if inForce {
		s.onChange()
	}
	return nil
}

// installInBackground installs a committed version without blocking. Versions that
// become obsolete before they are stored are skipped.
func (s *configStore) installInBackground(v configVersion) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if v.Version <= s.wanted.Version {
		return
	}
	s.wanted = v
	if !s.isInstalling {
		s.isInstalling = true
		s.background.Go(s.installWanted)
	}
}

// installWanted installs the wanted versions until there is no newer one.
func (s *configStore) installWanted() {
	installed := uint64(0)
	for {
		s.mu.Lock()
		v := s.wanted
		s.isInstalling = v.Version > installed
		s.mu.Unlock()
		if v.Version <= installed {
			return
		}
		if err := s.install(v.Version, v.Digest, v.Text); err != nil {
			s.onFailure(err)
		}
		installed = v.Version
	}
}

// close waits for the versions that are being installed in the background.
func (s *configStore) close() { s.background.Wait() }

// save makes a version durable before it is in force.
func (s *configStore) save(content configVersion) error {
	if s.file == "" {
		return nil
	}
	data, err := encodeMessage(&content)
	if err != nil {
		return err
	}
	if err := s.write(s.file, data); err != nil {
		return &DataDirError{Dir: filepath.Dir(s.file), Cause: err}
	}
	return nil
}

// load reads the configuration that save has stored.
func (s *configStore) load() error {
	data, err := os.ReadFile(s.file)
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	if err != nil {
		return &DataDirError{Dir: filepath.Dir(s.file), Cause: err}
	}
	var stored configVersion
	if err := decodeMessage("stored configuration", data, &stored); err != nil {
		return err
	}
	_, err = s.follower.Offer(stored.Version, stored.Digest, stored.Text)
	return err
}

// confirm records the latest committed version as reported by a source.
func (s *configStore) confirm(source configstate.Source, version uint64) {
	s.mu.Lock()
	wasUnconfirmed := s.isUnconfirmed()
	s.follower.Confirm(source, version)
	confirmed := wasUnconfirmed && !s.isUnconfirmed()
	s.mu.Unlock()
	if confirmed {
		s.onChange()
	}
}

// configOwner installs the versions that the replicated log has committed.
type configOwner struct {
	state  *configstate.State
	config *configStore
}

// Step implements group.Owner.
func (o *configOwner) Step(_ time.Duration, view group.View) [][]byte {
	version := o.state.Version()
	if version > o.config.knownVersion() {
		o.config.installInBackground(configVersion{Version: version, Digest: o.state.Digest(), Text: o.state.Text()})
	}
	if view.HoldsLease && view.Ready {
		o.config.confirm(configstate.SourceQuorum, version)
	}
	return nil
}

// configVersionReply answers config.latest.
type configVersionReply struct {
	Version uint64 `msgpack:"v"`
	// Quorum is true if a quorum confirmed that no later version is committed.
	Quorum bool `msgpack:"q"`
}

// emptyMessage is the request or reply of a method without arguments or result.
type emptyMessage struct{}

func (n *Node) handleConfigGet(string, *emptyMessage, time.Duration) (any, error) {
	latest := n.config.latest()
	return &latest, nil
}

func (n *Node) handleConfigLatest(string, *emptyMessage, time.Duration) (any, error) {
	reply := &configVersionReply{Version: n.config.knownVersion()}
	g := n.group(groupConfig)
	if g == nil || !g.IsReadyLeaderNow() {
		return reply, nil
	}
	g.RunOnLoop(func(time.Duration) { reply.Version = n.configState.Version() })
	reply.Quorum = true
	return reply, nil
}

func (n *Node) handleConfigApply(_ string, c *configstate.Command, remaining time.Duration) (any, error) {
	g := n.group(groupConfig)
	if g == nil {
		return nil, structs.RefuseNotRun(structs.CodeNotLeader, "this host has no replica of the configuration")
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

func (n *Node) handleConfigHistory(string, *emptyMessage, time.Duration) (any, error) {
	g := n.group(groupConfig)
	if g == nil {
		return nil, structs.RefuseNotRun(structs.CodeNotLeader, "this host has no replica of the configuration")
	}
	history := &configHistory{}
	if !g.RunOnLoop(func(time.Duration) { history.Entries = n.configState.History() }) {
		return nil, structs.RefuseNotRun(structs.CodeStopping, "this host is stopping")
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
		history, err := call[configHistory](n, n.cfg.HostID, methodConfigHistory, &emptyMessage{}, timeout)
		if err != nil {
			return nil, err
		}
		return history.Entries, nil
	}
	history, err := callLeader[configHistory](n, groupConfig, methodConfigHistory, &emptyMessage{}, timeout, true)
	if err != nil {
		return nil, err
	}
	return history.Entries, nil
}

// fetchNewerConfig fetches a newer configuration that another host has reported.
func (n *Node) fetchNewerConfig(from string, version uint64) {
	if version <= n.config.knownVersion() || !n.fetching.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer n.fetching.Store(false)
		current, err := call[configVersion](n, from, methodConfigGet, &emptyMessage{}, n.cfg.Timeouts.Call)
		if err != nil {
			n.log.V(1).Info("fetching the configuration failed", "from", from, "error", err.Error())
			return
		}
		if err := n.config.install(current.Version, current.Digest, current.Text); err != nil {
			n.log.Error(err, "installing the configuration of another host failed", "from", from)
		}
	}()
}

// confirmConfig confirms the configuration of a host without a disk after a
// start. It asks the leader of the configuration's log for the latest version
// or, if partitioned from that, the owner of its own failure domain.
func (n *Node) confirmConfig() {
	if !n.config.requiresConfirmation || n.config.readiness().Ready || !n.confirming.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer n.confirming.Store(false)
		latest, err := callLeader[configVersionReply](n, groupConfig, methodConfigLatest, &emptyMessage{}, n.cfg.Timeouts.Call, true)
		if err == nil && latest.Quorum {
			n.config.confirm(configstate.SourceQuorum, latest.Version)
			return
		}
		n.confirmFromDomain()
	}()
}

func (n *Node) confirmFromDomain() {
	latest, err := callLeader[configVersionReply](n, domainGroup(n.cfg.Domain), methodConfigLatest, &emptyMessage{}, n.cfg.Timeouts.Call, true)
	if err != nil || latest.Version == 0 {
		return
	}
	n.config.confirm(configstate.SourceDomain, latest.Version)
}
