package wal

// memFile is an open file of a MemFS.
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
	if err := f.fs.check(OpWrite, f.name); err != nil {
		return f.write(p, len(p)/2), err
	}
	room := f.fs.room()
	if room < int64(len(p)) {
		return f.write(p, int(room)), DiskFullError{}
	}
	return f.write(p, len(p)), nil
}

// write appends the first n bytes of p.
func (f *memFile) write(p []byte, n int) int {
	f.inode.data = append(f.inode.data, p[:n]...)
	return n
}

// room returns the free capacity.
func (m *MemFS) room() int64 {
	if m.capacity == 0 {
		return 1 << 62
	}
	room := m.capacity
	for _, inode := range m.names {
		room -= int64(len(inode.data))
	}
	return max(room, 0)
}

// Sync implements File.
func (f *memFile) Sync() error {
	f.fs.mu.Lock()
	defer f.fs.mu.Unlock()
	if f.epoch != f.fs.epoch {
		return StaleHandleError{}
	}
	if err := f.fs.check(OpSync, f.name); err != nil {
		f.inode.failed = true
		return err
	}
	if !f.inode.failed {
		f.inode.synced = len(f.inode.data)
	}
	return nil
}

// Close implements File.
func (f *memFile) Close() error { return nil }

// memLock is a lock of a MemFS.
type memLock struct {
	fs    *MemFS
	name  string
	epoch int
}

// Close releases the lock unless a crash already did.
func (l *memLock) Close() error {
	l.fs.mu.Lock()
	defer l.fs.mu.Unlock()
	if l.epoch == l.fs.epoch {
		delete(l.fs.locks, l.name)
	}
	return nil
}
