package replica

import (
	"fmt"
	"slices"

	"cranberrydrum.dev/coord/raft"
)

// MemoryStorage is a Storage in memory that simulates a disk in tests. It
// outlives the Replica that uses it, so that a test can restart the Replica.
type MemoryStorage struct {
	current memoryState
	// durable is the state that Crash restores, or nil if current is durable.
	durable      *memoryState
	syncDisabled bool
	// powerLossArmed makes the next write fail without becoming durable.
	powerLossArmed bool
	injectedErr    error
	syncs          int
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

// SetSync enables or disables the sync at the end of each write. While it is
// disabled, Crash drops the writes made since the last call of Sync.
func (s *MemoryStorage) SetSync(on bool) { s.syncDisabled = !on }

// Sync makes all writes durable.
func (s *MemoryStorage) Sync() {
	s.durable = nil
	s.syncs++
}

// Syncs returns the number of syncs.
func (s *MemoryStorage) Syncs() int { return s.syncs }

// Crash drops the writes that were not synced, and disarms a power loss.
func (s *MemoryStorage) Crash() {
	s.powerLossArmed = false
	if s.durable != nil {
		s.current = *s.durable
		s.durable = nil
	}
}

// InjectPowerLoss simulates a power loss during the next write. That write
// returns a PowerLossError, and Crash drops it.
func (s *MemoryStorage) InjectPowerLoss() { s.powerLossArmed = true }

// PowerLossError reports a write that InjectPowerLoss interrupted.
type PowerLossError struct{}

func (e *PowerLossError) Error() string { return "replica: power loss during a write" }

// OldSnapshotError reports a snapshot that is not newer than the stored one.
type OldSnapshotError struct{ Index, Stored uint64 }

func (e *OldSnapshotError) Error() string {
	return fmt.Sprintf("replica: snapshot at index %d is not newer than the stored one at index %d", e.Index, e.Stored)
}

// InjectError makes every later storage call fail with err. A nil error ends the
// failure.
func (s *MemoryStorage) InjectError(err error) { s.injectedErr = err }

// Load implements Storage.
func (s *MemoryStorage) Load() (raft.RestoredState, []byte, error) {
	if s.injectedErr != nil {
		return raft.RestoredState{}, nil, s.injectedErr
	}
	restored := raft.RestoredState{
		HardState: s.current.hard,
		Snapshot:  s.current.meta,
		Entries:   slices.Clone(s.current.entries),
	}
	return restored, s.current.data, nil
}

// Save implements Storage.
func (s *MemoryStorage) Save(hard raft.HardState, entries []raft.Entry) error {
	if s.injectedErr != nil {
		return s.injectedErr
	}
	s.beginWrite()
	s.current.hard = hard
	if len(entries) > 0 {
		s.current.replaceSuffix(entries)
	}
	return s.endWrite()
}

// SaveSnapshot implements Storage.
func (s *MemoryStorage) SaveSnapshot(meta raft.SnapshotMeta, data []byte) error {
	if s.injectedErr != nil {
		return s.injectedErr
	}
	if meta.Index <= s.current.meta.Index {
		return &OldSnapshotError{Index: meta.Index, Stored: s.current.meta.Index}
	}
	s.beginWrite()
	s.current.dropThrough(meta)
	s.current.meta = meta
	s.current.data = data
	return s.endWrite()
}

// Close implements Storage. The storage can be used again.
func (s *MemoryStorage) Close() error { return s.injectedErr }

// beginWrite saves the durable state if the write may be lost.
func (s *MemoryStorage) beginWrite() {
	mayBeLost := s.syncDisabled || s.powerLossArmed
	if mayBeLost && s.durable == nil {
		s.durable = s.current.clone()
	}
}

func (s *MemoryStorage) endWrite() error {
	if s.powerLossArmed {
		return &PowerLossError{}
	}
	if !s.syncDisabled {
		s.Sync()
	}
	return nil
}

// replaceSuffix replaces the stored entries from the index of the first given
// entry on.
func (s *memoryState) replaceSuffix(entries []raft.Entry) {
	at, _ := s.search(entries[0].Index)
	s.entries = append(s.entries[:at], entries...)
}

// dropThrough drops the entries up to a snapshot. It drops all entries if the
// log does not contain the snapshot's last entry.
func (s *memoryState) dropThrough(meta raft.SnapshotMeta) {
	at, found := s.search(meta.Index)
	if !found || s.entries[at].Term != meta.Term {
		s.entries = nil
		return
	}
	s.entries = slices.Clone(s.entries[at+1:])
}

func (s *memoryState) search(index uint64) (int, bool) {
	byIndex := func(e raft.Entry, index uint64) int {
		return int(e.Index) - int(index)
	}
	return slices.BinarySearchFunc(s.entries, index, byIndex)
}
