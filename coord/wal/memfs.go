package wal

import (
	"io"
	"io/fs"
	"math/rand/v2"
	"path/filepath"
	"sort"
	"sync"
)

// Op is a file operation for fault injection.
type Op string

// Operations that a function set by SetFault can make fail.
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

// StaleHandleError is returned by files that were opened before Kill or Crash.
type StaleHandleError struct{}

// Error implements error.
func (StaleHandleError) Error() string { return "memfs: handle belongs to a crashed process" }

// memInode is the content of a file. The first syncedBytes bytes are durable.
// After a failed sync the other bytes stay readable, but later syncs do not
// make them durable, as in operating systems that mark pages clean after a
// write error.
type memInode struct {
	data        []byte
	syncedBytes int
	syncFailed  bool
}

// dirOp is a change to a directory. A nil inode removes name. A non-empty from
// is removed as well, which makes the change a rename.
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

// MemFS is an in-memory file system for tests. It distinguishes durable from
// unsynced content and injects faults.
type MemFS struct {
	mu sync.Mutex
	// files is the content seen by the process, by path. durableFiles is the
	// content of the directories after a power loss.
	files        map[string]*memInode
	durableFiles map[string]*memInode
	// unsyncedOps are the directory changes since the last SyncDir.
	unsyncedOps []dirOp
	locks       map[string]bool
	// epoch counts the calls of Kill and Crash. Files and locks of an earlier
	// epoch are stale.
	epoch int
	// capacity is the maximum total size of all files in bytes; zero means
	// unlimited.
	capacity int64
	fault    func(op Op, name string) error
}

// NewMemFS returns an empty file system of unlimited capacity.
func NewMemFS() *MemFS {
	return &MemFS{
		files:        map[string]*memInode{},
		durableFiles: map[string]*memInode{},
		locks:        map[string]bool{},
	}
}

// SetFault sets a function that is called before each operation that has an Op.
// If it returns an error, the operation fails with that error. A failed write
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

// FlipBits inverts the bits of mask in one byte of a file. It returns false if
// the file does not have that byte.
func (m *MemFS) FlipBits(name string, offset int64, mask byte) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	inode := m.files[name]
	if inode == nil || offset < 0 || offset >= int64(len(inode.data)) {
		return false
	}
	inode.data[offset] ^= mask
	return true
}

// Truncate durably shortens a file. It returns false if the file is shorter
// than size.
func (m *MemFS) Truncate(name string, size int64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	inode := m.files[name]
	if inode == nil || size > int64(len(inode.data)) {
		return false
	}
	inode.data = inode.data[:size]
	inode.syncedBytes = min(inode.syncedBytes, int(size))
	return true
}

// Kill simulates the end of the process that uses the file system. Locks are
// released and open files become stale. Unsynced content survives, as in the
// page cache.
func (m *MemFS) Kill() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.locks = map[string]bool{}
	m.epoch++
}

// Crash simulates a power loss. A random prefix of the unsynced bytes of each
// file survives, sometimes with a part overwritten by zeros, and each unsynced
// change of a directory survives with probability one half.
func (m *MemFS) Crash(seed uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	rng := rand.New(rand.NewPCG(seed, 0))
	for _, op := range m.unsyncedOps {
		if rng.IntN(2) == 0 {
			op.apply(m.durableFiles)
		}
	}
	m.unsyncedOps = nil
	m.files = map[string]*memInode{}
	for _, name := range sortedNames(m.durableFiles) {
		loseUnsynced(m.durableFiles[name], rng)
		m.files[name] = m.durableFiles[name]
	}
	m.locks = map[string]bool{}
	m.epoch++
}

// loseUnsynced removes or zeroes unsynced bytes of a file. The remaining ones
// become durable.
func loseUnsynced(inode *memInode, rng *rand.Rand) {
	unsynced := len(inode.data) - inode.syncedBytes
	if unsynced > 0 {
		kept := rng.IntN(unsynced + 1)
		inode.data = inode.data[:inode.syncedBytes+kept]
	}
	tail := inode.data[inode.syncedBytes:]
	if len(tail) > 0 && rng.IntN(2) == 0 {
		from := rng.IntN(len(tail))
		clear(tail[from : from+1+rng.IntN(len(tail)-from)])
	}
	inode.syncedBytes = len(inode.data)
	inode.syncFailed = false
}

func sortedNames(names map[string]*memInode) []string {
	var out []string
	for name := range names {
		out = append(out, name)
	}
	sort.Strings(out)
	return out
}

// injectedFault returns the injected fault of an operation, if any. The caller
// must hold m.mu.
func (m *MemFS) injectedFault(op Op, name string) error {
	if m.fault == nil {
		return nil
	}
	return m.fault(op, name)
}

func notExist(op Op, name string) error {
	return &fs.PathError{Op: string(op), Path: name, Err: fs.ErrNotExist}
}

// applyDirOp applies a directory change, which becomes durable at the next
// SyncDir. The caller must hold m.mu.
func (m *MemFS) applyDirOp(op dirOp) {
	op.apply(m.files)
	m.unsyncedOps = append(m.unsyncedOps, op)
}

// MkdirAll implements FS.
func (m *MemFS) MkdirAll(string) error { return nil }

// List implements FS.
func (m *MemFS) List(dir string) ([]string, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []string
	for _, name := range sortedNames(m.files) {
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
	if err := m.injectedFault(OpRead, name); err != nil {
		return nil, err
	}
	inode := m.files[name]
	if inode == nil {
		return nil, notExist(OpRead, name)
	}
	return append([]byte(nil), inode.data...), nil
}

// Create implements FS.
func (m *MemFS) Create(name string) (File, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.injectedFault(OpCreate, name); err != nil {
		return nil, err
	}
	inode := &memInode{}
	m.applyDirOp(dirOp{name: name, inode: inode})
	return &memFile{fs: m, name: name, inode: inode, epoch: m.epoch}, nil
}

// Append implements FS.
func (m *MemFS) Append(name string) (File, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.injectedFault(OpAppend, name); err != nil {
		return nil, err
	}
	inode := m.files[name]
	if inode == nil {
		return nil, notExist(OpAppend, name)
	}
	return &memFile{fs: m, name: name, inode: inode, epoch: m.epoch}, nil
}

// Rename implements FS.
func (m *MemFS) Rename(from, to string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.injectedFault(OpRename, to); err != nil {
		return err
	}
	inode := m.files[from]
	if inode == nil {
		return notExist(OpRename, from)
	}
	m.applyDirOp(dirOp{from: from, name: to, inode: inode})
	return nil
}

// Remove implements FS.
func (m *MemFS) Remove(name string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.injectedFault(OpRemove, name); err != nil {
		return err
	}
	if m.files[name] == nil {
		return notExist(OpRemove, name)
	}
	m.applyDirOp(dirOp{name: name})
	return nil
}

// SyncDir implements FS.
func (m *MemFS) SyncDir(dir string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.injectedFault(OpSyncDir, dir); err != nil {
		return err
	}
	var rest []dirOp
	for _, op := range m.unsyncedOps {
		if filepath.Dir(op.name) != filepath.Clean(dir) {
			rest = append(rest, op)
			continue
		}
		op.apply(m.durableFiles)
	}
	m.unsyncedOps = rest
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
