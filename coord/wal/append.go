package wal

// maxEntryOverhead bounds the encoded bytes of an entry beside its data.
const maxEntryOverhead = 32

// appendRecord writes one record to the current segment and syncs it. The
// payload buffer is kept for the next record.
func (s *Store) appendRecord(payload []byte) error {
	current := &s.segments[len(s.segments)-1]
	seed := segmentSeed(s.id, current.number)
	frame := appendFrame(s.frame[:0], seed, s.nextSeq, payload)
	if err := s.writeSync(s.file, s.currentName(), frame); err != nil {
		return err
	}
	current.size += int64(len(frame))
	s.nextSeq++
	s.payload = keepBuffer(payload)
	s.frame = keepBuffer(frame)
	return nil
}

func keepBuffer(b []byte) []byte {
	if cap(b) > maxKeptBuffer {
		return nil
	}
	return b[:0]
}

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

// rolloverIfFull starts a new segment once the current one has reached its
// size. The new segment is durable before the old one is sealed, and the seal
// is durable before the new segment is used. Recovery can therefore tell an
// interrupted rollover from a lost segment.
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
	oldName := s.currentName()
	s.file = next.file
	s.segments = append(s.segments, next.info)
	s.nextSeq++
	if err := old.Close(); err != nil {
		return &IOError{Op: "close", File: oldName, Err: err}
	}
	return nil
}

// newSegment is a segment that exists durably but is not in use yet.
type newSegment struct {
	file File
	info segmentInfo
}

// createSegment writes a segment with its first record.
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

// segmentStart returns the header and the first record of a segment.
func (s *Store) segmentStart(number, firstSeq uint64) []byte {
	state := stateRecord{
		hard:         s.hard,
		snapIndex:    s.snap.index,
		snapTerm:     s.snap.term,
		last:         s.last,
		firstSegment: s.firstSegment,
	}
	seed := segmentSeed(s.id, number)
	b := appendSegmentHeader(nil, seed, number, firstSeq)
	return appendFrame(b, seed, firstSeq, appendState(nil, state))
}
