package wal

import (
	"io"
	"path/filepath"
)

const (
	lockFile = "lock"
	// maxReusedBufferBytes is the maximum size of an encoding buffer that is
	// kept for the next save.
	maxReusedBufferBytes = 4 << 20
)

// Store is an open store directory. Use Open.
type Store struct {
	// Recovery reports what Open changed on disk.
	Recovery Recovery

	dir          string
	id           string
	fs           FS
	segmentBytes int64
	lock         io.Closer
	file         File
	segments     []segmentInfo
	firstSegment uint64
	nextSeq      uint64

	hardState HardState
	snapshot  snapshotName
	lastIndex uint64
	terms     termRuns

	// cachedState is the state read by Open. It is released by the first Load,
	// Save or SaveSnapshot.
	cachedState *diskState
	failed      error
	closed      bool
	stats       Stats
	payload     []byte
	frame       []byte
}

// StoreID returns the identity of the store.
func (s *Store) StoreID() string { return s.id }

// Stats returns counters of the work done since Open.
func (s *Store) Stats() Stats {
	out := s.stats
	out.Segments = len(s.segments)
	return out
}

// LastIndex returns the index of the last entry, or of the snapshot if no
// entry follows it.
func (s *Store) LastIndex() uint64 { return s.lastIndex }

// Load returns the hard state, the newest snapshot with its data and the
// entries above the snapshot index. Entries at or below the snapshot index are
// not returned, even if their segment is still on disk. Everything returned is
// durable. The commit index of the hard state can be below the snapshot index
// if the process ended between SaveSnapshot and the next Save.
func (s *Store) Load() (HardState, SnapshotMeta, []byte, []Entry, error) {
	if err := s.checkUsable(); err != nil {
		return HardState{}, SnapshotMeta{}, nil, nil, err
	}
	disk := s.cachedState
	s.cachedState = nil
	if disk == nil {
		var err error
		disk, err = s.readStore()
		if err != nil {
			return HardState{}, SnapshotMeta{}, nil, nil, s.fail(err)
		}
	}
	log := disk.logState
	return log.hardState, disk.snapshot, disk.snapshotData, log.entries, nil
}

// Save appends the hard state and the entries in one record and syncs it. After
// a crash either all or none of it is present. The entries must be consecutive;
// if the first index is at or below LastIndex, the log is truncated before that
// index. All fields of the hard state must be set. Saving no entries with an
// unchanged hard state does nothing.
func (s *Store) Save(hs HardState, entries []Entry) error {
	if err := s.checkUsable(); err != nil {
		return err
	}
	if err := s.checkSave(hs, entries); err != nil {
		return err
	}
	if len(entries) == 0 && hs == s.hardState {
		return nil
	}
	s.cachedState = nil
	if err := s.rolloverIfFull(); err != nil {
		return s.fail(err)
	}
	if err := s.appendRecord(appendBatch(s.payload[:0], hs, entries)); err != nil {
		return s.fail(err)
	}
	s.updateAfterSave(hs, entries)
	return nil
}

func (s *Store) checkSave(hs HardState, entries []Entry) error {
	voteChanged := hs.Term == s.hardState.Term && s.hardState.Vote != "" && hs.Vote != s.hardState.Vote
	if hs.Term < s.hardState.Term || hs.Commit < s.hardState.Commit || voteChanged {
		return &ArgumentError{Rule: RuleHardState, Index: hs.Commit}
	}
	size := len(hs.Vote)
	for i := range entries {
		index := entries[i].Index
		if index <= s.snapshot.index {
			return &ArgumentError{Rule: RuleBelowSnapshot, Index: index}
		}
		if index > s.lastIndex+1 && i == 0 || i > 0 && index != entries[i-1].Index+1 {
			return &ArgumentError{Rule: RuleGap, Index: index}
		}
		size += maxEntryOverheadBytes + len(entries[i].Data)
	}
	if size+maxEntryOverheadBytes > MaxRecordBytes {
		return &ArgumentError{Rule: RuleTooLarge, Index: uint64(size)}
	}
	return nil
}

// updateAfterSave updates the fields of the store from a durable Save.
func (s *Store) updateAfterSave(hs HardState, entries []Entry) {
	s.hardState = hs
	current := &s.segments[len(s.segments)-1]
	for i := range entries {
		s.terms.add(entries[i].Index, entries[i].Term)
		s.lastIndex = entries[i].Index
		current.maxIndex = max(current.maxIndex, s.lastIndex)
	}
}

// Close closes the files and releases the lock. It does not sync, because Save
// and SaveSnapshot have already synced.
func (s *Store) Close() error {
	if s.closed {
		return ClosedError{}
	}
	s.closed = true
	s.cachedState = nil
	fileErr := s.file.Close()
	lockErr := s.lock.Close()
	if fileErr != nil {
		return &IOError{Op: "close", File: s.currentSegmentName(), Err: fileErr}
	}
	if lockErr != nil {
		return &IOError{Op: "unlock", File: filepath.Join(s.dir, lockFile), Err: lockErr}
	}
	return nil
}

// checkUsable returns an error if the store is closed or has failed.
func (s *Store) checkUsable() error {
	if s.closed {
		return ClosedError{}
	}
	if s.failed != nil {
		return &FailedError{Cause: s.failed}
	}
	return nil
}

// fail makes the store unusable and returns err.
func (s *Store) fail(err error) error {
	s.failed = err
	return err
}

func (s *Store) currentSegmentName() string {
	return segmentName(s.dir, s.segments[len(s.segments)-1].number)
}
