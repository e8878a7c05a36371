package wal

import (
	"encoding/binary"
	"hash/crc32"
	"path/filepath"
)

const (
	identityMagic      = "CDIDENT1"
	identityFile       = "identity"
	temporaryIdentity  = "identity" + temporarySuffix
	temporarySegment   = "segment" + temporarySuffix
	maxStoreIDBytes    = 255
	firstSegmentNumber = 1
)

// Open opens the store in dir and recovers its content. It creates a store if
// the directory holds none.
func Open(dir string, opts Options) (*Store, error) {
	s := newStore(dir, opts)
	if err := s.fs.MkdirAll(dir); err != nil {
		return nil, &IOError{Op: "create", File: dir, Err: err}
	}
	lock, err := s.fs.Lock(filepath.Join(dir, lockFile))
	if err != nil {
		return nil, lockError(dir, err)
	}
	s.lock = lock
	if err := s.open(opts); err != nil {
		s.closeFiles()
		return nil, err
	}
	return s, nil
}

func newStore(dir string, opts Options) *Store {
	s := &Store{dir: dir, fs: opts.FS, segmentBytes: opts.SegmentBytes}
	if s.fs == nil {
		s.fs = OSFS{}
	}
	if s.segmentBytes <= 0 {
		s.segmentBytes = DefaultSegmentBytes
	}
	return s
}

// lockError returns a *LockedError as it is and any other error as an *IOError.
func lockError(dir string, err error) error {
	if locked, ok := err.(*LockedError); ok {
		return locked
	}
	return &IOError{Op: "lock", File: filepath.Join(dir, lockFile), Err: err}
}

// closeFiles closes the current segment and releases the lock after a failed
// Open.
func (s *Store) closeFiles() {
	if s.file != nil {
		_ = s.file.Close()
	}
	_ = s.lock.Close()
}

func (s *Store) open(opts Options) error {
	listing, err := listDir(s.fs, s.dir)
	if err != nil {
		return err
	}
	if !listing.hasIdentity {
		if err := s.createStore(listing, opts); err != nil {
			return err
		}
	}
	if err := s.readIdentity(opts.ExpectStoreID); err != nil {
		return err
	}
	disk, err := s.readStore()
	if err != nil {
		return err
	}
	if err := s.restore(disk); err != nil {
		return err
	}
	s.cachedState = disk
	return s.removeObsolete()
}

// createStore creates a new store. The identity is written last, so a directory
// with an identity always holds a segment.
func (s *Store) createStore(listing *dirListing, opts Options) error {
	if err := s.checkNoData(listing); err != nil {
		return err
	}
	if opts.ExpectStoreID != "" {
		return &IdentityError{Dir: s.dir, Expected: opts.ExpectStoreID}
	}
	if len(opts.StoreID) == 0 || len(opts.StoreID) > maxStoreIDBytes {
		return &ArgumentError{Rule: RuleStoreID, Index: uint64(len(opts.StoreID))}
	}
	s.id = opts.StoreID
	s.firstSegment = firstSegmentNumber
	segment, err := s.createSegment(firstSegmentNumber, 1)
	if err != nil {
		return err
	}
	if err := segment.file.Close(); err != nil {
		return &IOError{Op: "close", File: segmentName(s.dir, firstSegmentNumber), Err: err}
	}
	final := filepath.Join(s.dir, identityFile)
	if err := s.writeFile(temporaryIdentity, final, encodeIdentity(s.id)); err != nil {
		return err
	}
	parent := filepath.Dir(s.dir)
	if err := s.fs.SyncDir(parent); err != nil {
		return &IOError{Op: "sync", File: parent, Err: err}
	}
	s.Recovery.Created = true
	return nil
}

// checkNoData returns damage if the directory holds data although it has no
// identity. An interrupted createStore leaves at most the header and first
// record of the first segment.
func (s *Store) checkNoData(listing *dirListing) error {
	damage := &DamageError{File: filepath.Join(s.dir, identityFile), Reason: ReasonMissingIdentity}
	if len(listing.snapshots) > 0 || len(listing.segments) > 1 {
		return damage
	}
	if len(listing.segments) == 0 {
		return nil
	}
	file := segmentName(s.dir, listing.segments[0])
	data, err := s.fs.ReadFile(file)
	if err != nil {
		return &IOError{Op: "read", File: file, Err: err}
	}
	s.firstSegment = firstSegmentNumber
	if listing.segments[0] != firstSegmentNumber || len(data) > len(s.segmentStart(1, 1)) {
		return damage
	}
	return nil
}

func encodeIdentity(id string) []byte {
	b := append([]byte(identityMagic), byte(len(id)))
	b = append(b, id...)
	return binary.BigEndian.AppendUint32(b, crc32.Checksum(b, castagnoli))
}

func (s *Store) readIdentity(expected string) error {
	file := filepath.Join(s.dir, identityFile)
	b, err := s.fs.ReadFile(file)
	if err != nil {
		return &IOError{Op: "read", File: file, Err: err}
	}
	const fixed = len(identityMagic) + 1 + checksumBytes
	if len(b) <= fixed || len(b)-fixed > maxStoreIDBytes {
		return &DamageError{File: file, Reason: ReasonIdentity}
	}
	id := string(b[len(identityMagic)+1 : len(b)-checksumBytes])
	if string(encodeIdentity(id)) != string(b) {
		return &DamageError{File: file, Reason: ReasonIdentity}
	}
	if expected != "" && expected != id {
		return &IdentityError{Dir: s.dir, Found: id, Expected: expected}
	}
	s.id = id
	return nil
}

// restore initializes the store from the state read from disk and completes
// interrupted operations. It makes everything that Load returns durable,
// because a process that ended between write and sync leaves records that exist
// only in the page cache.
func (s *Store) restore(disk *diskState) error {
	log := disk.logState
	s.hardState = log.hardState
	s.snapshot = snapshotName{index: log.snapshotIndex, term: log.snapshotTerm}
	s.firstSegment = log.firstSegment
	s.segments = log.segments
	s.nextSeq = log.nextSeq
	s.lastIndex = log.lastIndex()
	for i := range log.entries {
		s.terms.add(log.entries[i].Index, log.entries[i].Term)
	}
	if err := s.repairTail(disk); err != nil {
		return err
	}
	if !disk.hasUnloggedSnapshot {
		return nil
	}
	s.Recovery.UnfinishedSnapshot = true
	return s.logSnapshot(disk)
}

// repairTail removes an unused segment, truncates a torn tail and opens the
// last segment for appending.
func (s *Store) repairTail(disk *diskState) error {
	if disk.unusedSegment != "" {
		s.Recovery.UnfinishedRollover = true
		if err := s.remove(disk.unusedSegment); err != nil {
			return err
		}
	}
	name := s.currentSegmentName()
	if torn := disk.tornSegment; torn != nil {
		s.Recovery.TornTail = true
		s.Recovery.File = name
		s.Recovery.Offset = torn.end
		s.Recovery.Bytes = torn.size - torn.end
	}
	for _, info := range s.segments[max(0, len(s.segments)-2):] {
		if err := s.rewriteSegment(info); err != nil {
			return err
		}
	}
	file, err := s.fs.Append(name)
	if err != nil {
		return &IOError{Op: "open", File: name, Err: err}
	}
	s.file = file
	return s.syncDir()
}

// rewriteSegment makes the valid part of a segment durable by writing it to a
// new file. A sync is not enough: after a failed sync the operating system can
// keep records readable that it never writes to disk, and report success for
// the next sync. The last segment can hold such records, and the one before it
// can hold such a seal.
func (s *Store) rewriteSegment(info segmentInfo) error {
	name := segmentName(s.dir, info.number)
	data, err := s.fs.ReadFile(name)
	if err != nil {
		return &IOError{Op: "read", File: name, Err: err}
	}
	if int64(len(data)) < info.size {
		return &DamageError{File: name, Offset: int64(len(data)), Reason: ReasonChecksum}
	}
	return s.writeFile(temporarySegment, name, data[:info.size])
}

// logSnapshot appends the record of a snapshot that the log does not refer to
// yet.
func (s *Store) logSnapshot(disk *diskState) error {
	r := disk.snapshotRecord
	if err := s.appendRecord(appendState(nil, r)); err != nil {
		return err
	}
	s.updateAfterSnapshot(r)
	return nil
}

// removeObsolete removes temporary files and the segments and snapshots that an
// interrupted SaveSnapshot did not remove.
func (s *Store) removeObsolete() error {
	listing, err := listDir(s.fs, s.dir)
	if err != nil {
		return err
	}
	old := listing.temporary
	for _, number := range listing.segments {
		if number < s.firstSegment {
			old = append(old, segmentName(s.dir, number))
		}
	}
	for _, name := range listing.snapshots {
		if name.index < s.snapshot.index {
			old = append(old, name.path(s.dir))
		}
	}
	for _, name := range old {
		if err := s.remove(name); err != nil {
			return err
		}
	}
	for s.segments[0].number < s.firstSegment {
		s.segments = s.segments[1:]
	}
	return s.syncDir()
}
