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

// Open opens the store in dir and recovers its content. It creates the store
// if the folder holds none.
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
		s.abandon()
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

func lockError(dir string, err error) error {
	if locked, ok := err.(*LockedError); ok {
		return locked
	}
	return &IOError{Op: "lock", File: filepath.Join(dir, lockFile), Err: err}
}

// abandon releases what a failed Open holds.
func (s *Store) abandon() {
	if s.file != nil {
		_ = s.file.Close()
	}
	_ = s.lock.Close()
}

func (s *Store) open(opts Options) error {
	folder, err := readFolder(s.fs, s.dir)
	if err != nil {
		return err
	}
	if !folder.identity {
		if err := s.create(folder, opts); err != nil {
			return err
		}
	}
	if err := s.readIdentity(opts.ExpectStoreID); err != nil {
		return err
	}
	found, err := s.examine()
	if err != nil {
		return err
	}
	if err := s.adopt(found); err != nil {
		return err
	}
	s.loaded = found
	return s.clean()
}

// create makes a new store. The identity is written last, so a folder with an
// identity always holds a segment.
func (s *Store) create(f *folder, opts Options) error {
	if err := s.checkEmpty(f); err != nil {
		return err
	}
	if opts.ExpectStoreID != "" {
		return &IdentityError{Dir: s.dir, Expected: opts.ExpectStoreID}
	}
	if len(opts.StoreID) == 0 || len(opts.StoreID) > maxStoreIDBytes {
		return &ArgumentError{Rule: MisuseStoreID, Index: uint64(len(opts.StoreID))}
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

// checkEmpty refuses a folder that lost its identity but holds data. Only the
// first record of the first segment may exist.
func (s *Store) checkEmpty(f *folder) error {
	damage := &DamageError{File: filepath.Join(s.dir, identityFile), Reason: ReasonMissingIdentity}
	if len(f.snapshots) > 0 || len(f.segments) > 1 {
		return damage
	}
	if len(f.segments) == 0 {
		return nil
	}
	file := segmentName(s.dir, f.segments[0])
	data, err := s.fs.ReadFile(file)
	if err != nil {
		return &IOError{Op: "read", File: file, Err: err}
	}
	s.firstSegment = firstSegmentNumber
	if f.segments[0] != firstSegmentNumber || len(data) > len(s.segmentStart(1, 1)) {
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

// adopt takes over what was read, after finishing what a crash interrupted.
// Everything that Load will return is made durable here, because a process
// that ended between write and sync leaves records that only the page cache
// holds.
func (s *Store) adopt(found *findings) error {
	img := found.image
	s.hard = img.hard
	s.snap = snapshotName{index: img.snapIndex, term: img.snapTerm}
	s.firstSegment = img.firstSegment
	s.segments = img.segments
	s.nextSeq = img.nextSeq
	s.last = img.last()
	for i := range img.entries {
		s.terms.add(img.entries[i].Index, img.entries[i].Term)
	}
	if err := s.repairTail(found); err != nil {
		return err
	}
	if !found.unfinished {
		return nil
	}
	s.Recovery.UnfinishedSnapshot = true
	return s.finishSnapshot(found)
}

// repairTail removes an unused segment, drops a torn tail and opens the last
// segment for appending.
func (s *Store) repairTail(found *findings) error {
	if found.rollover != "" {
		s.Recovery.UnfinishedRollover = true
		if err := s.remove(found.rollover); err != nil {
			return err
		}
	}
	name := s.currentName()
	if torn := found.torn; torn != nil {
		s.Recovery.TornTail = true
		s.Recovery.File = name
		s.Recovery.Offset = torn.end
		s.Recovery.Bytes = torn.size - torn.end
	}
	for _, info := range s.segments[max(0, len(s.segments)-2):] {
		if err := s.rewrite(info); err != nil {
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

// rewrite makes the valid part of a segment durable by writing it again. A
// sync would not be enough: after a failed sync the operating system can keep
// records readable that it never writes, and report the next sync as done. The
// last segment and, for its seal, the one before it can hold such records.
func (s *Store) rewrite(info segmentInfo) error {
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

// finishSnapshot names in the log a snapshot that it does not name yet.
func (s *Store) finishSnapshot(found *findings) error {
	r := found.marker
	if err := s.appendRecord(appendState(nil, r)); err != nil {
		return err
	}
	s.noteSnapshot(r)
	return nil
}

// clean removes files that an interrupted SaveSnapshot left.
func (s *Store) clean() error {
	folder, err := readFolder(s.fs, s.dir)
	if err != nil {
		return err
	}
	old := folder.temporary
	for _, number := range folder.segments {
		if number < s.firstSegment {
			old = append(old, segmentName(s.dir, number))
		}
	}
	for _, name := range folder.snapshots {
		if name.index < s.snap.index {
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
