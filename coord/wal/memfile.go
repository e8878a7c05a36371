package wal

// memFile is an open file of a MemFS. It is stale once epoch differs from that
// of the MemFS.
type memFile struct {
	fs    *MemFS
	name  string
	inode *memInode
	epoch int
}

// Write implements File.
func (f *memFile) Write(p []byte) (int, error) {
	f.fs.mu.Lock()
	defer f.fs.mu.Unlock()
	if f.epoch != f.fs.epoch {
		return 0, StaleHandleError{}
	}
	if err := f.fs.injectedFault(OpWrite, f.name); err != nil {
		return f.write(p, len(p)/2), err
	}
	free := f.fs.freeBytes()
	if free < int64(len(p)) {
		return f.write(p, int(free)), DiskFullError{}
	}
	return f.write(p, len(p)), nil
}

// write appends the first n bytes of p.
func (f *memFile) write(p []byte, n int) int {
	f.inode.data = append(f.inode.data, p[:n]...)
	return n
}

// freeBytes returns the free capacity in bytes.
func (m *MemFS) freeBytes() int64 {
	if m.capacity == 0 {
		return 1 << 62
	}
	free := m.capacity
	for _, inode := range m.files {
		free -= int64(len(inode.data))
	}
	return max(free, 0)
}

// Sync implements File.
func (f *memFile) Sync() error {
	f.fs.mu.Lock()
	defer f.fs.mu.Unlock()
	if f.epoch != f.fs.epoch {
		return StaleHandleError{}
	}
	if err := f.fs.injectedFault(OpSync, f.name); err != nil {
		f.inode.syncFailed = true
		return err
	}
	if !f.inode.syncFailed {
		f.inode.syncedBytes = len(f.inode.data)
	}
	return nil
}

// Close implements File.
func (f *memFile) Close() error { return nil }

// memLock is a held lock of a MemFS.
type memLock struct {
	fs    *MemFS
	name  string
	epoch int
}

// Close releases the lock, unless Kill or Crash has already released it.
func (l *memLock) Close() error {
	l.fs.mu.Lock()
	defer l.fs.mu.Unlock()
	if l.epoch == l.fs.epoch {
		delete(l.fs.locks, l.name)
	}
	return nil
}
