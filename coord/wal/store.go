package wal

import (
	"io"
	"path/filepath"
)

const (
	lockFile = "lock"
	// maxKeptBuffer bounds the encoding buffers kept between saves.
	maxKeptBuffer = 4 << 20
)

// Store is an open log folder.
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

	hard  HardState
	snap  snapshotName
	last  uint64
	terms termRuns

	// loaded is what Open read, until the first Load or change.
	loaded  *findings
	failed  error
	closed  bool
	stats   Stats
	payload []byte
	frame   []byte
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
func (s *Store) LastIndex() uint64 { return s.last }

// Load returns the hard state, the newest snapshot with its data and the
// entries above the snapshot index. Entries at or below the snapshot index
// are not returned even if their segment is still on disk. All of it is
// durable. The commit index of the hard state can be below the snapshot
// index if the process ended between SaveSnapshot and the next Save.
func (s *Store) Load() (HardState, SnapshotMeta, []byte, []Entry, error) {
	if err := s.usable(); err != nil {
		return HardState{}, SnapshotMeta{}, nil, nil, err
	}
	found := s.loaded
	s.loaded = nil
	if found == nil {
		var err error
		found, err = s.examine()
		if err != nil {
			return HardState{}, SnapshotMeta{}, nil, nil, s.fail(err)
		}
	}
	img := found.image
	return img.hard, found.snapshot, found.data, img.entries, nil
}

// Save appends the hard state and the entries in one record and syncs it.
// Either all of it or nothing survives a crash. The entries must be
// consecutive; a first index at or below the last one truncates the log. The
// hard state is always the complete one. Saving no entries and an unchanged
// hard state does nothing.
func (s *Store) Save(hs HardState, entries []Entry) error {
	if err := s.usable(); err != nil {
		return err
	}
	if err := s.checkSave(hs, entries); err != nil {
		return err
	}
	if len(entries) == 0 && hs == s.hard {
		return nil
	}
	s.loaded = nil
	if err := s.rolloverIfFull(); err != nil {
		return s.fail(err)
	}
	if err := s.appendRecord(appendBatch(s.payload[:0], hs, entries)); err != nil {
		return s.fail(err)
	}
	s.noteSave(hs, entries)
	return nil
}

func (s *Store) checkSave(hs HardState, entries []Entry) error {
	voteChanged := hs.Term == s.hard.Term && s.hard.Vote != "" && hs.Vote != s.hard.Vote
	if hs.Term < s.hard.Term || hs.Commit < s.hard.Commit || voteChanged {
		return &ArgumentError{Rule: MisuseHardState, Index: hs.Commit}
	}
	size := len(hs.Vote)
	for i := range entries {
		index := entries[i].Index
		if index <= s.snap.index {
			return &ArgumentError{Rule: MisuseBelowSnapshot, Index: index}
		}
		if index > s.last+1 && i == 0 || i > 0 && index != entries[i-1].Index+1 {
			return &ArgumentError{Rule: MisuseGap, Index: index}
		}
		size += maxEntryOverhead + len(entries[i].Data)
	}
	if size+maxEntryOverhead > MaxRecordBytes {
		return &ArgumentError{Rule: MisuseTooLarge, Index: uint64(size)}
	}
	return nil
}

func (s *Store) noteSave(hs HardState, entries []Entry) {
	s.hard = hs
	current := &s.segments[len(s.segments)-1]
	for i := range entries {
		s.terms.add(entries[i].Index, entries[i].Term)
		s.last = entries[i].Index
		current.maxIndex = max(current.maxIndex, s.last)
	}
}

// Close releases the folder. It does not sync, because Save already did.
func (s *Store) Close() error {
	if s.closed {
		return ClosedError{}
	}
	s.closed = true
	s.loaded = nil
	fileErr := s.file.Close()
	lockErr := s.lock.Close()
	if fileErr != nil {
		return &IOError{Op: "close", File: s.currentName(), Err: fileErr}
	}
	if lockErr != nil {
		return &IOError{Op: "unlock", File: filepath.Join(s.dir, lockFile), Err: lockErr}
	}
	return nil
}

func (s *Store) usable() error {
	if s.closed {
		return ClosedError{}
	}
	if s.failed != nil {
		return &FailedError{Cause: s.failed}
	}
	return nil
}

// fail makes the store unusable and returns the cause.
func (s *Store) fail(err error) error {
	s.failed = err
	return err
}

func (s *Store) currentName() string {
	return segmentName(s.dir, s.segments[len(s.segments)-1].number)
}
