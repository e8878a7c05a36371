package wal

import (
	"path/filepath"
	"sort"
)

// diskState is the state of the store read from disk, with the interrupted
// operations that Open must complete or undo.
type diskState struct {
	logState     *logState
	snapshot     SnapshotMeta
	snapshotData []byte
	// tornSegment is the last segment if its tail must be truncated.
	tornSegment *segmentScan
	// unusedSegment is the file of a segment left by an interrupted rollover,
	// or empty.
	unusedSegment string
	// hasUnloggedSnapshot is true if the log has no record of the snapshot yet.
	// snapshotRecord is then the record to append.
	hasUnloggedSnapshot bool
	snapshotRecord      stateRecord
}

// dirListing is the sorted content of the store directory.
type dirListing struct {
	segments    []uint64
	snapshots   []snapshotName
	temporary   []string
	hasIdentity bool
}

func listDir(fs FS, dir string) (*dirListing, error) {
	names, err := fs.List(dir)
	if err != nil {
		return nil, &IOError{Op: "list", File: dir, Err: err}
	}
	listing := &dirListing{}
	for _, name := range names {
		listing.addFile(dir, name)
	}
	sort.Slice(listing.segments, func(i, j int) bool { return listing.segments[i] < listing.segments[j] })
	sort.Slice(listing.snapshots, func(i, j int) bool { return listing.snapshots[i].index < listing.snapshots[j].index })
	return listing, nil
}

func (l *dirListing) addFile(dir, name string) {
	if number, ok := parseSegmentName(name); ok {
		l.segments = append(l.segments, number)
	}
	if s, ok := parseSnapshotName(name); ok {
		l.snapshots = append(l.snapshots, s)
	}
	if filepath.Ext(name) == temporarySuffix {
		l.temporary = append(l.temporary, filepath.Join(dir, name))
	}
	if name == identityFile {
		l.hasIdentity = true
	}
}

// contiguousSegments returns the segments up to the last one without a gap in
// their numbers. A gap is either left by an interrupted removal of old segments
// or is damage. The firstSegment field of the log records decides which
// (reconcileSnapshot checks it).
func (l *dirListing) contiguousSegments() []uint64 {
	start := len(l.segments) - 1
	for start > 0 && l.segments[start-1]+1 == l.segments[start] {
		start--
	}
	return l.segments[max(start, 0):]
}

// readStore reads the whole store without changing it.
func (s *Store) readStore() (*diskState, error) {
	listing, err := listDir(s.fs, s.dir)
	if err != nil {
		return nil, err
	}
	out := &diskState{logState: &logState{}}
	if err := s.readLog(listing.contiguousSegments(), out); err != nil {
		return nil, err
	}
	if err := s.readNewestSnapshot(listing, out); err != nil {
		return nil, err
	}
	return out, s.reconcileSnapshot(out)
}

// readLog reads and replays the segments.
func (s *Store) readLog(numbers []uint64, out *diskState) error {
	if len(numbers) == 0 {
		return &DamageError{File: segmentName(s.dir, 1), Reason: ReasonMissingSegment}
	}
	last, err := s.readSegment(numbers[len(numbers)-1])
	if err != nil {
		return err
	}
	for i, number := range numbers[:len(numbers)-1] {
		scan, err := s.readSegment(number)
		if err != nil {
			return err
		}
		if i == len(numbers)-2 && !scan.sealed {
			return s.replayUnsealed(scan, last, out)
		}
		if err := checkSealed(scan); err != nil {
			return err
		}
		if err := out.logState.replay(scan); err != nil {
			return err
		}
	}
	return s.replayLast(last, out)
}

// checkSealed returns damage unless the segment is valid and sealed, as every
// segment with a successor must be.
func checkSealed(scan *segmentScan) error {
	if scan.damage != "" {
		return &DamageError{File: scan.file, Offset: scan.end, Reason: scan.damage}
	}
	if !scan.sealed {
		return &DamageError{File: scan.file, Offset: scan.end, Reason: ReasonNotSealed}
	}
	return nil
}

// replayUnsealed handles a last segment whose predecessor has no seal, as an
// interrupted rollover leaves it. The seal is synced before the first entry is
// written to the new segment, so the new segment may hold at most its first
// record.
func (s *Store) replayUnsealed(previous, last *segmentScan, out *diskState) error {
	used, err := s.isSegmentUsed(last, previous.nextSeq()+2)
	if err != nil {
		return err
	}
	if used {
		return checkSealed(previous)
	}
	out.unusedSegment = last.file
	return s.replayLast(previous, out)
}

// isSegmentUsed reports whether a segment holds more than its first record.
// secondSeq is the sequence number of its second record. The header can be
// invalid although the first record is valid, because a crash can persist the
// parts of an unsynced write out of order; a segment with only that record is
// unused.
func (s *Store) isSegmentUsed(scan *segmentScan, secondSeq uint64) (bool, error) {
	if scan.headerValid {
		more := len(scan.frames) == 1 && scan.size > scan.end
		return more || len(scan.frames) > 1 || scan.validRecordFollows, nil
	}
	data, err := s.fs.ReadFile(scan.file)
	if err != nil {
		return false, &IOError{Op: "read", File: scan.file, Err: err}
	}
	seed := segmentSeed(s.id, scan.number)
	return hasFrameFrom(data, 0, seed, secondSeq), nil
}

// replayLast replays the last segment, whose tail may be torn.
func (s *Store) replayLast(scan *segmentScan, out *diskState) error {
	if scan.sealed {
		next := segmentName(s.dir, scan.number+1)
		return &DamageError{File: next, Reason: ReasonMissingSegment}
	}
	// The header and the first record are synced before the segment is used,
	// so damage in them is not a torn tail.
	tornPossible := len(scan.frames) > 0 && !scan.validRecordFollows
	if scan.damage != "" && !tornPossible {
		return &DamageError{File: scan.file, Offset: scan.end, Reason: scan.damage}
	}
	if len(scan.frames) == 0 {
		return &DamageError{File: scan.file, Offset: scan.end, Reason: ReasonHeader}
	}
	if scan.damage != "" {
		out.tornSegment = scan
	}
	return out.logState.replay(scan)
}

func (s *Store) readSegment(number uint64) (*segmentScan, error) {
	file := segmentName(s.dir, number)
	data, err := s.fs.ReadFile(file)
	if err != nil {
		return nil, &IOError{Op: "read", File: file, Err: err}
	}
	scan := scanSegment(data, file, s.id, number)
	return &scan, nil
}

// readNewestSnapshot reads the newest snapshot and compares it with the one in
// the log state.
func (s *Store) readNewestSnapshot(listing *dirListing, out *diskState) error {
	log := out.logState
	var newest snapshotName
	if len(listing.snapshots) > 0 {
		newest = listing.snapshots[len(listing.snapshots)-1]
	}
	logged := snapshotName{index: log.snapshotIndex, term: log.snapshotTerm}
	if newest.index < logged.index || (newest.index == logged.index && newest != logged) {
		return &DamageError{File: logged.path(s.dir), Reason: ReasonMissingSnapshot}
	}
	if newest.index == 0 {
		return nil
	}
	var err error
	out.snapshot, out.snapshotData, err = s.readSnapshot(newest)
	if err != nil {
		return err
	}
	if newest != logged {
		out.hasUnloggedSnapshot = true
	}
	return nil
}

// reconcileSnapshot applies a snapshot that the log has no record of to the log
// state. It checks that no segment is missing and that no entry is missing
// between the snapshot and the log.
func (s *Store) reconcileSnapshot(out *diskState) error {
	log := out.logState
	if log.segments[0].number > log.firstSegment {
		file := segmentName(s.dir, log.firstSegment)
		return &DamageError{File: file, Reason: ReasonMissingSegment}
	}
	if out.hasUnloggedSnapshot {
		out.snapshotRecord = log.snapshotRecord(out.snapshot)
		log.applySnapshot(out.snapshotRecord)
	}
	if log.baseIndex > log.snapshotIndex {
		file := segmentName(s.dir, log.segments[0].number)
		return &DamageError{File: file, Reason: ReasonGap}
	}
	return nil
}

// snapshotRecord returns the record for a snapshot newer than that of the log
// state. The entries after the snapshot are kept only if the log holds the last
// entry of the snapshot with the same term.
func (m *logState) snapshotRecord(meta SnapshotMeta) stateRecord {
	term, ok := m.termAt(meta.Index)
	r := stateRecord{
		hardState:     m.hardState,
		snapshotIndex: meta.Index,
		snapshotTerm:  meta.Term,
		lastIndex:     m.lastIndex(),
		firstSegment:  m.firstSegment,
		reset:         !ok || term != meta.Term,
	}
	if r.reset {
		r.lastIndex = meta.Index
	}
	return r
}
