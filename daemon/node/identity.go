package node

import (
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"sync"
)

const (
	identityFile  = "identity.json"
	peersFile     = "peers.json"
	configFile    = "config.msgpack"
	storeIDBytes  = 16
	dirMode       = 0o700
	fileMode      = 0o600
	storeIDAbsent = "none"
)

// identity identifies the data directory of a host. A host that lost its disk
// gets a new store id, by which its peers detect the loss.
type identity struct {
	Host  string `json:"host"`
	Store string `json:"store"`
	// Bootstrapped is set once the host has created the logs that it is an
	// initial member of. After that it creates none, because a log that it does
	// not have may already exist on other hosts.
	Bootstrapped bool `json:"formed,omitempty"`
}

// openIdentity reads the identity of a data directory, or creates one if the
// directory has none.
func openIdentity(dir, host string) (identity, error) {
	if err := os.MkdirAll(dir, dirMode); err != nil {
		return identity{}, &DataDirError{Dir: dir, Cause: err}
	}
	path := filepath.Join(dir, identityFile)
	data, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return newIdentity(path, host)
	}
	if err != nil {
		return identity{}, &DataDirError{Dir: dir, Cause: err}
	}
	var id identity
	if err := json.Unmarshal(data, &id); err != nil {
		return identity{}, &DataDirError{Dir: dir, Cause: err}
	}
	if id.Host != host {
		return identity{}, &IdentityError{Dir: dir, Found: id.Host, Expected: host}
	}
	return id, nil
}

func newIdentity(path, host string) (identity, error) {
	raw := make([]byte, storeIDBytes)
	if _, err := rand.Read(raw); err != nil {
		return identity{}, &DataDirError{Dir: filepath.Dir(path), Cause: err}
	}
	id := identity{Host: host, Store: hex.EncodeToString(raw)}
	return id, id.save(filepath.Dir(path))
}

// save makes the identity durable.
func (id identity) save(dir string) error {
	data, err := json.Marshal(id)
	if err != nil {
		return &DataDirError{Dir: dir, Cause: err}
	}
	if err := writeFileSync(filepath.Join(dir, identityFile), data); err != nil {
		return &DataDirError{Dir: dir, Cause: err}
	}
	return nil
}

// peerStores records the store id of each peer at its first connection, so that
// a peer that lost its disk cannot vote twice in a term.
type peerStores struct {
	path string

	mu     sync.Mutex
	stores map[string]string
}

// openPeerStores reads the recorded store ids. If dir is empty, they are kept
// in memory only.
func openPeerStores(dir string) (*peerStores, error) {
	p := &peerStores{stores: map[string]string{}}
	if dir == "" {
		return p, nil
	}
	p.path = filepath.Join(dir, peersFile)
	data, err := os.ReadFile(p.path)
	if errors.Is(err, fs.ErrNotExist) {
		return p, nil
	}
	if err != nil {
		return nil, &DataDirError{Dir: dir, Cause: err}
	}
	if err := json.Unmarshal(data, &p.stores); err != nil {
		return nil, &DataDirError{Dir: dir, Cause: err}
	}
	return p, nil
}

// checkPeer returns the reason to refuse a peer, or an empty string. The store
// of a host without a disk needs no check, because such a host never votes.
func (p *peerStores) checkPeer(host, store string) string {
	if store == storeIDAbsent {
		return ""
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	known := p.stores[host]
	if known == store {
		return ""
	}
	if known != "" {
		return "host " + host + " lost its data folder; it must join under a new id"
	}
	p.stores[host] = store
	if err := p.save(); err != nil {
		delete(p.stores, host)
		return "the store of the peer cannot be recorded: " + err.Error()
	}
	return ""
}

func (p *peerStores) save() error {
	if p.path == "" {
		return nil
	}
	data, err := json.Marshal(p.stores)
	if err != nil {
		return err
	}
	return writeFileSync(p.path, data)
}

// writeFileSync replaces a file atomically and durably: it syncs the content
// before the rename and the directory after it.
func writeFileSync(path string, data []byte) error {
	temporary := path + ".tmp"
	file, err := os.OpenFile(temporary, os.O_CREATE|os.O_WRONLY|os.O_TRUNC, fileMode)
	if err != nil {
		return err
	}
	_, err = file.Write(data)
	if err == nil {
		err = file.Sync()
	}
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return err
	}
	if err := os.Rename(temporary, path); err != nil {
		return err
	}
	return syncDir(filepath.Dir(path))
}

func syncDir(dir string) error {
	file, err := os.Open(dir)
	if err != nil {
		return err
	}
	err = file.Sync()
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	return err
}
