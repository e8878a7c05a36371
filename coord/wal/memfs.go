package wal

import (
	"io"
	"io/fs"
	"math/rand/v2"
	"path/filepath"
	"sort"
	"sync"
)

// Op names a file operation for fault injection.
type Op string

// Operations that MemFS can be told to fail.
const (
	OpWrite   Op = "write"
	OpSync    Op = "sync"
	OpCreate  Op = "create"
	OpAppend  Op = "append"
	OpRename  Op = "rename"
	OpRemove  Op = "remove"
	OpSyncDir Op = "syncdir"
	OpRead    Op = "read"
)

// DiskFullError is returned by MemFS when its capacity is exceeded.
type DiskFullError struct{}

// Error implements error.
func (DiskFullError) Error() string { return "memfs: disk full" }

// StaleHandleError is returned by handles that were opened before a crash.
type StaleHandleError struct{}

// Error implements error.
func (StaleHandleError) Error() string { return "memfs: handle belongs to a crashed process" }

// memInode is the content of a file. The first synced bytes are durable. After
// a failed sync the other bytes are readable but later syncs do not write them,
// as in operating systems that mark pages clean after a write error.
type memInode struct {
	data   []byte
	synced int
	failed bool
}

// dirOp is a change to a directory that is not durable yet. A nil inode
// removes the name; a non-empty from is removed as well.
type dirOp struct {
	from  string
	name  string
	inode *memInode
}

func (op dirOp) apply(names map[string]*memInode) {
	if op.from != "" {
		delete(names, op.from)
	}
	if op.inode == nil {
		delete(names, op.name)
		return
	}
	names[op.name] = op.inode
}

// MemFS is a file system in memory for tests. It distinguishes durable from
// unsynced content and injects faults.
type MemFS struct {
	mu       sync.Mutex
	names    map[string]*memInode
	durable  map[string]*memInode
	pending  []dirOp
	locks    map[string]bool
	epoch    int
	capacity int64
	fault    func(op Op, name string) error
}

// NewMemFS returns an empty file system of unlimited capacity.
func NewMemFS() *MemFS {
	return &MemFS{
		names:   map[string]*memInode{},
		durable: map[string]*memInode{},
		locks:   map[string]bool{},
	}
}

// SetFault installs a function that may fail operations. A failed write
// leaves half of its bytes in the file. Nil removes the function.
func (m *MemFS) SetFault(fault func(op Op, name string) error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.fault = fault
}

// SetCapacity limits the total bytes of all files; zero means unlimited.
func (m *MemFS) SetCapacity(bytes int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.capacity = bytes
}

// Flip inverts the bits of mask in one byte of a file. It reports whether the
// file has that byte.
func (m *MemFS) Flip(name string, offset int64, mask byte) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	inode := m.names[name]
	if inode == nil || offset < 0 || offset >= int64(len(inode.data)) {
		return false
	}
	inode.data[offset] ^= mask
	return true
}

// Cut shortens a file durably. It reports whether the file was that long.
func (m *MemFS) Cut(name string, size int64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	inode := m.names[name]
	if inode == nil || size > int64(len(inode.data)) {
		return false
	}
	inode.data = inode.data[:size]
	inode.synced = min(inode.synced, int(size))
	return true
}

// Kill ends the process that uses the file system: locks are released and
// handles become stale. Unsynced content survives in the page cache.
func (m *MemFS) Kill() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.locks = map[string]bool{}
	m.epoch++
}

// Crash simulates a power loss. Of each file a random part of the unsynced
// bytes survives, sometimes with wrong content, and each unsynced change of a
// directory survives with probability one half.
func (m *MemFS) Crash(seed uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	rng := rand.New(rand.NewPCG(seed, 0))
	for _, op := range m.pending {
		if rng.IntN(2) == 0 {
			op.apply(m.durable)
		}
	}
	m.pending = nil
	m.names = map[string]*memInode{}
	for _, name := range sortedNames(m.durable) {
		tear(m.durable[name], rng)
		m.names[name] = m.durable[name]
	}
	m.locks = map[string]bool{}
	m.epoch++
}

// tear drops or damages unsynced bytes of a file.
func tear(inode *memInode, rng *rand.Rand) {
	unsynced := len(inode.data) - inode.synced
	if unsynced > 0 {
		kept := rng.IntN(unsynced + 1)
		inode.data = inode.data[:inode.synced+kept]
	}
	tail := inode.data[inode.synced:]
	if len(tail) > 0 && rng.IntN(2) == 0 {
		from := rng.IntN(len(tail))
		clear(tail[from : from+1+rng.IntN(len(tail)-from)])
	}
	inode.synced = len(inode.data)
	inode.failed = false
}

func sortedNames(names map[string]*memInode) []string {
	var out []string
	for name := range names {
		out = append(out, name)
	}
	sort.Strings(out)
	return out
}

// check returns the injected fault of an operation. The lock must be held.
func (m *MemFS) check(op Op, name string) error {
	if m.fault == nil {
		return nil
	}
	return m.fault(op, name)
}

func notExist(op Op, name string) error {
	return &fs.PathError{Op: string(op), Path: name, Err: fs.ErrNotExist}
}

// change applies a directory change now and remembers it as not durable.
func (m *MemFS) change(op dirOp) {
	op.apply(m.names)
	m.pending = append(m.pending, op)
}

// MkdirAll implements FS.
func (m *MemFS) MkdirAll(string) error { return nil }

// List implements FS.
func (m *MemFS) List(dir string) ([]string, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []string
	for _, name := range sortedNames(m.names) {
		if filepath.Dir(name) == filepath.Clean(dir) {
			out = append(out, filepath.Base(name))
		}
	}
	return out, nil
}

// ReadFile implements FS.
func (m *MemFS) ReadFile(name string) ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.check(OpRead, name); err != nil {
		return nil, err
	}
	inode := m.names[name]
	if inode == nil {
		return nil, notExist(OpRead, name)
	}
	return append([]byte(nil), inode.data...), nil
}

// Create implements FS.
func (m *MemFS) Create(name string) (File, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.check(OpCreate, name); err != nil {
		return nil, err
	}
	inode := &memInode{}
	m.change(dirOp{name: name, inode: inode})
	return &memFile{fs: m, name: name, inode: inode, epoch: m.epoch}, nil
}

// Append implements FS.
func (m *MemFS) Append(name string) (File, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.check(OpAppend, name); err != nil {
		return nil, err
	}
	inode := m.names[name]
	if inode == nil {
		return nil, notExist(OpAppend, name)
	}
	return &memFile{fs: m, name: name, inode: inode, epoch: m.epoch}, nil
}

// Rename implements FS.
func (m *MemFS) Rename(from, to string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.check(OpRename, to); err != nil {
		return err
	}
	inode := m.names[from]
	if inode == nil {
		return notExist(OpRename, from)
	}
	m.change(dirOp{from: from, name: to, inode: inode})
	return nil
}

// Remove implements FS.
func (m *MemFS) Remove(name string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.check(OpRemove, name); err != nil {
		return err
	}
	if m.names[name] == nil {
		return notExist(OpRemove, name)
	}
	m.change(dirOp{name: name})
	return nil
}

// SyncDir implements FS.
func (m *MemFS) SyncDir(dir string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.check(OpSyncDir, dir); err != nil {
		return err
	}
	var rest []dirOp
	for _, op := range m.pending {
		if filepath.Dir(op.name) != filepath.Clean(dir) {
			rest = append(rest, op)
			continue
		}
		op.apply(m.durable)
	}
	m.pending = rest
	return nil
}

// Lock implements FS.
func (m *MemFS) Lock(name string) (io.Closer, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.locks[name] {
		return nil, &LockedError{File: name}
	}
	m.locks[name] = true
	return &memLock{fs: m, name: name, epoch: m.epoch}, nil
}
