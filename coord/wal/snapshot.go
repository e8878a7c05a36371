package wal

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"path/filepath"
)

const (
	snapshotMagic  = "CDSNAP01"
	snapshotSuffix = ".snap"
	// snapshotHeaderBytes is the size of magic, index, term, membership length
	// and data length.
	snapshotHeaderBytes = 8 + 8 + 8 + 4 + 8
	checksumBytes       = 4
	temporarySuffix     = ".tmp"
	temporarySnapshot   = "snapshot" + temporarySuffix
)

// snapshotName identifies a snapshot by the index and term in its file name.
type snapshotName struct {
	index uint64
	term  uint64
}

func (n snapshotName) path(dir string) string {
	return filepath.Join(dir, fmt.Sprintf("%016x-%016x%s", n.index, n.term, snapshotSuffix))
}

func parseSnapshotName(name string) (snapshotName, bool) {
	var n snapshotName
	if len(name) != 16+1+16+len(snapshotSuffix) || filepath.Ext(name) != snapshotSuffix {
		return n, false
	}
	_, err := fmt.Sscanf(name, "%016x-%016x", &n.index, &n.term)
	return n, err == nil && n.index > 0
}

func encodeSnapshot(storeID string, meta SnapshotMeta, data []byte) []byte {
	size := snapshotHeaderBytes + len(meta.Membership) + len(data) + checksumBytes
	b := make([]byte, 0, size)
	b = append(b, snapshotMagic...)
	b = binary.BigEndian.AppendUint64(b, meta.Index)
	b = binary.BigEndian.AppendUint64(b, meta.Term)
	b = binary.BigEndian.AppendUint32(b, uint32(len(meta.Membership)))
	b = binary.BigEndian.AppendUint64(b, uint64(len(data)))
	b = append(b, meta.Membership...)
	b = append(b, data...)
	crc := crc32.Update(segmentSeed(storeID, 0), castagnoli, b)
	return binary.BigEndian.AppendUint32(b, crc)
}

// decodeSnapshot decodes a snapshot file. ok is false if a length or the
// checksum is wrong.
func decodeSnapshot(storeID string, b []byte) (meta SnapshotMeta, data []byte, ok bool) {
	if len(b) < snapshotHeaderBytes+checksumBytes || string(b[:8]) != snapshotMagic {
		return meta, nil, false
	}
	content := b[:len(b)-checksumBytes]
	crc := crc32.Update(segmentSeed(storeID, 0), castagnoli, content)
	if crc != binary.BigEndian.Uint32(b[len(content):]) {
		return meta, nil, false
	}
	members := uint64(binary.BigEndian.Uint32(b[24:]))
	length := binary.BigEndian.Uint64(b[28:])
	body := content[snapshotHeaderBytes:]
	if members > uint64(len(body)) || length != uint64(len(body))-members {
		return meta, nil, false
	}
	meta.Index = binary.BigEndian.Uint64(b[8:])
	meta.Term = binary.BigEndian.Uint64(b[16:])
	meta.Membership = body[:members:members]
	return meta, body[members:], true
}

func (s *Store) readSnapshot(name snapshotName) (SnapshotMeta, []byte, error) {
	file := name.path(s.dir)
	raw, err := s.fs.ReadFile(file)
	if err != nil {
		return SnapshotMeta{}, nil, &IOError{Op: "read", File: file, Err: err}
	}
	meta, data, ok := decodeSnapshot(s.id, raw)
	if !ok || meta.Index != name.index || meta.Term != name.term {
		return SnapshotMeta{}, nil, &DamageError{File: file, Reason: ReasonSnapshotChecksum}
	}
	return meta, data, nil
}

// SaveSnapshot stores a snapshot durably and then removes the leading log
// segments that hold only entries below keepFrom. If the log does not hold the
// last entry of the snapshot with the same term, all entries of the log are
// discarded. The older snapshot is removed only after the new one and its log
// record are durable.
func (s *Store) SaveSnapshot(meta SnapshotMeta, data []byte, keepFrom uint64) error {
	if err := s.checkUsable(); err != nil {
		return err
	}
	if meta.Index <= s.snapshot.index {
		return &ArgumentError{Rule: RuleOldSnapshot, Index: meta.Index}
	}
	if keepFrom > meta.Index+1 {
		return &ArgumentError{Rule: RuleKeepFrom, Index: keepFrom}
	}
	older := s.snapshot
	s.cachedState = nil
	if err := s.writeSnapshot(meta, data); err != nil {
		return s.fail(err)
	}
	if err := s.appendSnapshotRecord(meta, keepFrom); err != nil {
		return s.fail(err)
	}
	if err := s.removeOld(older); err != nil {
		return s.fail(err)
	}
	return nil
}

// writeSnapshot writes the snapshot file and makes it durable under its final
// name.
func (s *Store) writeSnapshot(meta SnapshotMeta, data []byte) error {
	name := snapshotName{index: meta.Index, term: meta.Term}
	content := encodeSnapshot(s.id, meta, data)
	return s.writeFile(temporarySnapshot, name.path(s.dir), content)
}

// writeFile writes a file under a temporary name, syncs it, renames it and
// syncs the directory.
func (s *Store) writeFile(temporary, final string, content []byte) error {
	temporary = filepath.Join(s.dir, temporary)
	f, err := s.fs.Create(temporary)
	if err != nil {
		return &IOError{Op: "create", File: temporary, Err: err}
	}
	err = s.writeSync(f, temporary, content)
	closeErr := f.Close()
	if err != nil {
		return err
	}
	if closeErr != nil {
		return &IOError{Op: "close", File: temporary, Err: closeErr}
	}
	if err := s.fs.Rename(temporary, final); err != nil {
		return &IOError{Op: "rename", File: final, Err: err}
	}
	return s.syncDir()
}

// appendSnapshotRecord appends the log record of a snapshot. Once the record is
// durable, segments below its firstSegment may be missing.
func (s *Store) appendSnapshotRecord(meta SnapshotMeta, keepFrom uint64) error {
	reset := meta.Index > s.lastIndex || s.terms.at(meta.Index) != meta.Term
	last := s.lastIndex
	if reset {
		last = meta.Index
	}
	r := stateRecord{
		hardState:     s.hardState,
		snapshotIndex: meta.Index,
		snapshotTerm:  meta.Term,
		lastIndex:     last,
		firstSegment:  s.firstNeededSegment(keepFrom, reset),
		reset:         reset,
	}
	if err := s.appendRecord(appendState(s.payload[:0], r)); err != nil {
		return err
	}
	s.updateAfterSnapshot(r)
	return nil
}

// firstNeededSegment returns the number of the first segment that holds an
// entry at or above keepFrom, or of the current segment if there is none or the
// snapshot replaces all entries.
func (s *Store) firstNeededSegment(keepFrom uint64, reset bool) uint64 {
	current := len(s.segments) - 1
	for i := range s.segments[:current] {
		if !reset && s.segments[i].maxIndex >= keepFrom {
			return s.segments[i].number
		}
	}
	return s.segments[current].number
}

// updateAfterSnapshot updates the fields of the store from a durable snapshot
// record.
func (s *Store) updateAfterSnapshot(r stateRecord) {
	s.snapshot = snapshotName{index: r.snapshotIndex, term: r.snapshotTerm}
	s.firstSegment = r.firstSegment
	s.lastIndex = r.lastIndex
	if r.reset {
		s.terms = nil
		for i := range s.segments {
			s.segments[i].maxIndex = 0
		}
		return
	}
	s.terms.dropBelow(r.snapshotIndex)
}

// removeOld removes the segments below firstSegment and the older snapshot.
func (s *Store) removeOld(older snapshotName) error {
	for s.segments[0].number < s.firstSegment {
		if err := s.remove(segmentName(s.dir, s.segments[0].number)); err != nil {
			return err
		}
		s.segments = s.segments[1:]
	}
	if older.index > 0 {
		if err := s.remove(older.path(s.dir)); err != nil {
			return err
		}
	}
	return s.syncDir()
}
