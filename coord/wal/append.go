package wal

// maxEntryOverheadBytes is the upper bound of the encoded size of an entry
// without its data. It also covers the record type and hard state without the
// vote.
const maxEntryOverheadBytes = 32

// appendRecord writes one record to the current segment and syncs it. It keeps
// the payload buffer for the next record.
func (s *Store) appendRecord(payload []byte) error {
	current := &s.segments[len(s.segments)-1]
	seed := segmentSeed(s.id, current.number)
	frame := appendFrame(s.frame[:0], seed, s.nextSeq, payload)
	if err := s.writeSync(s.file, s.currentSegmentName(), frame); err != nil {
		return err
	}
	current.size += int64(len(frame))
	s.nextSeq++
	s.payload = reuseBuffer(payload)
	s.frame = reuseBuffer(frame)
	return nil
}

// reuseBuffer returns an empty buffer with the memory of b, or nil if b is too
// large to be kept.
func reuseBuffer(b []byte) []byte {
	if cap(b) > maxReusedBufferBytes {
		return nil
	}
	return b[:0]
}

// writeSync writes data and syncs the file.
func (s *Store) writeSync(f File, name string, data []byte) error {
	n, err := f.Write(data)
	s.stats.BytesWritten += int64(n)
	if err != nil {
		return &IOError{Op: "write", File: name, Err: err}
	}
	if err := f.Sync(); err != nil {
		return &IOError{Op: "sync", File: name, Err: err}
	}
	s.stats.FileSyncs++
	return nil
}

func (s *Store) syncDir() error {
	if err := s.fs.SyncDir(s.dir); err != nil {
		return &IOError{Op: "sync", File: s.dir, Err: err}
	}
	s.stats.DirSyncs++
	return nil
}

func (s *Store) remove(name string) error {
	if err := s.fs.Remove(name); err != nil {
		return &IOError{Op: "remove", File: name, Err: err}
	}
	return nil
}

// rolloverIfFull starts a new segment once the current one has reached
// segmentBytes. The new segment is durable before the old one is sealed, and
// the seal is durable before the new segment is used. Recovery can therefore
// distinguish an interrupted rollover from a lost segment.
func (s *Store) rolloverIfFull() error {
	current := s.segments[len(s.segments)-1]
	if current.size < s.segmentBytes {
		return nil
	}
	next, err := s.createSegment(current.number+1, s.nextSeq+1)
	if err != nil {
		return err
	}
	if err := s.appendRecord(append(s.payload[:0], recordSeal)); err != nil {
		_ = next.file.Close()
		return err
	}
	old := s.file
	oldName := s.currentSegmentName()
	s.file = next.file
	s.segments = append(s.segments, next.info)
	s.nextSeq++
	if err := old.Close(); err != nil {
		return &IOError{Op: "close", File: oldName, Err: err}
	}
	return nil
}

// newSegment is a durable segment that is not the current one yet.
type newSegment struct {
	file File
	info segmentInfo
}

// createSegment creates a segment file with its header and first record and
// makes it durable.
func (s *Store) createSegment(number, firstSeq uint64) (newSegment, error) {
	name := segmentName(s.dir, number)
	f, err := s.fs.Create(name)
	if err != nil {
		return newSegment{}, &IOError{Op: "create", File: name, Err: err}
	}
	content := s.segmentStart(number, firstSeq)
	if err := s.writeSync(f, name, content); err != nil {
		_ = f.Close()
		return newSegment{}, err
	}
	if err := s.syncDir(); err != nil {
		_ = f.Close()
		return newSegment{}, err
	}
	info := segmentInfo{number: number, size: int64(len(content))}
	return newSegment{file: f, info: info}, nil
}

// segmentStart returns the encoded header and first record of a segment.
func (s *Store) segmentStart(number, firstSeq uint64) []byte {
	state := stateRecord{
		hardState:     s.hardState,
		snapshotIndex: s.snapshot.index,
		snapshotTerm:  s.snapshot.term,
		lastIndex:     s.lastIndex,
		firstSegment:  s.firstSegment,
	}
	seed := segmentSeed(s.id, number)
	b := appendSegmentHeader(nil, seed, number, firstSeq)
	return appendFrame(b, seed, firstSeq, appendState(nil, state))
}
