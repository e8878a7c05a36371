package replica

import (
	"slices"

	"cranberrydrum.dev/coord/raft"
)

// MemoryStorage is a Storage in memory that behaves like one on disk. It is
// meant for tests and survives the Replica that uses it.
type MemoryStorage struct {
	current memoryState
	// durable is the state that a crash goes back to, or nil if everything
	// is durable.
	durable *memoryState
	noSync  bool
	// powerLoss makes the next write fail without being durable.
	powerLoss bool
	failure   error
	syncs     int
}

type memoryState struct {
	hard    raft.HardState
	meta    raft.SnapshotMeta
	data    []byte
	entries []raft.Entry
}

func (s memoryState) clone() *memoryState {
	s.entries = slices.Clone(s.entries)
	return &s
}

// NewMemoryStorage returns an empty storage.
func NewMemoryStorage() *MemoryStorage { return &MemoryStorage{} }

// SetSync switches the sync at the end of each write on or off. Without it,
// writes are lost in Crash until Sync is called.
func (s *MemoryStorage) SetSync(on bool) { s.noSync = !on }

// Sync makes all writes durable.
func (s *MemoryStorage) Sync() {
	s.durable = nil
	s.syncs++
}

// Syncs returns how often writes were made durable.
func (s *MemoryStorage) Syncs() int { return s.syncs }

// Crash drops the writes that were not synced, and ends a loss of power.
func (s *MemoryStorage) Crash() {
	s.powerLoss = false
	if s.durable != nil {
		s.current = *s.durable
		s.durable = nil
	}
}

// LosePower arms a loss of power in the middle of the next write. That write
// returns a PowerLossError, and Crash drops it.
func (s *MemoryStorage) LosePower() { s.powerLoss = true }

// PowerLossError reports a write that LosePower interrupted.
type PowerLossError struct{}

func (e *PowerLossError) Error() string { return "replica: power loss during a write" }

// SetFailure makes every later call fail with err, unless err is nil.
func (s *MemoryStorage) SetFailure(err error) { s.failure = err }

// Load implements Storage.
func (s *MemoryStorage) Load() (raft.Restored, []byte, error) {
	if s.failure != nil {
		return raft.Restored{}, nil, s.failure
	}
	restored := raft.Restored{
		HardState: s.current.hard,
		Snapshot:  s.current.meta,
		Entries:   slices.Clone(s.current.entries),
	}
	return restored, s.current.data, nil
}

// Save implements Storage.
func (s *MemoryStorage) Save(hard raft.HardState, entries []raft.Entry) error {
	if s.failure != nil {
		return s.failure
	}
	s.beginWrite()
	s.current.hard = hard
	if len(entries) > 0 {
		s.current.replaceFrom(entries)
	}
	return s.endWrite()
}

// SaveSnapshot implements Storage.
func (s *MemoryStorage) SaveSnapshot(meta raft.SnapshotMeta, data []byte) error {
	if s.failure != nil {
		return s.failure
	}
	s.beginWrite()
	s.current.dropThrough(meta)
	s.current.meta = meta
	s.current.data = data
	return s.endWrite()
}

// Close implements Storage. The storage can be used again.
func (s *MemoryStorage) Close() error { return s.failure }

// beginWrite remembers the durable state if the write may be lost.
func (s *MemoryStorage) beginWrite() {
	mayBeLost := s.noSync || s.powerLoss
	if mayBeLost && s.durable == nil {
		s.durable = s.current.clone()
	}
}

func (s *MemoryStorage) endWrite() error {
	if s.powerLoss {
		return &PowerLossError{}
	}
	if !s.noSync {
		s.Sync()
	}
	return nil
}

// replaceFrom appends entries in place of those from the first index on.
func (s *memoryState) replaceFrom(entries []raft.Entry) {
	at, _ := s.find(entries[0].Index)
	s.entries = append(s.entries[:at], entries...)
}

// dropThrough drops the entries up to a snapshot, and all of them if the log
// does not contain the snapshot's last entry.
func (s *memoryState) dropThrough(meta raft.SnapshotMeta) {
	at, found := s.find(meta.Index)
	if !found || s.entries[at].Term != meta.Term {
		s.entries = nil
		return
	}
	s.entries = slices.Clone(s.entries[at+1:])
}

func (s *memoryState) find(index uint64) (int, bool) {
	byIndex := func(e raft.Entry, index uint64) int {
		return int(e.Index) - int(index)
	}
	return slices.BinarySearchFunc(s.entries, index, byIndex)
}
