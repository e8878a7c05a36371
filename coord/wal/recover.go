package wal

import (
	"path/filepath"
	"sort"
)

// findings is what reading the folder yields, and what Open must finish or
// clean up.
type findings struct {
	image    *image
	snapshot SnapshotMeta
	data     []byte
	// torn is the last segment if its tail must be truncated.
	torn *segmentScan
	// rollover is a segment whose start was interrupted.
	rollover string
	// unfinished is true if the log does not name the snapshot yet; marker is
	// then the record that names it.
	unfinished bool
	marker     stateRecord
}

// folder is the sorted content of the store's folder.
type folder struct {
	segments  []uint64
	snapshots []snapshotName
	temporary []string
	identity  bool
}

func readFolder(fs FS, dir string) (*folder, error) {
	names, err := fs.List(dir)
	if err != nil {
		return nil, &IOError{Op: "list", File: dir, Err: err}
	}
	f := &folder{}
	for _, name := range names {
		f.add(dir, name)
	}
	sort.Slice(f.segments, func(i, j int) bool { return f.segments[i] < f.segments[j] })
	sort.Slice(f.snapshots, func(i, j int) bool { return f.snapshots[i].index < f.snapshots[j].index })
	return f, nil
}

func (f *folder) add(dir, name string) {
	if number, ok := parseSegmentName(name); ok {
		f.segments = append(f.segments, number)
	}
	if s, ok := parseSnapshotName(name); ok {
		f.snapshots = append(f.snapshots, s)
	}
	if filepath.Ext(name) == temporarySuffix {
		f.temporary = append(f.temporary, filepath.Join(dir, name))
	}
	if name == identityFile {
		f.identity = true
	}
}

// run returns the consecutive segments up to the last one. Segments before a
// hole are remains of an interrupted removal, or the hole is damage, which
// the first segment named by the log tells.
func (f *folder) run() []uint64 {
	start := len(f.segments) - 1
	for start > 0 && f.segments[start-1]+1 == f.segments[start] {
		start--
	}
	return f.segments[max(start, 0):]
}

// examine reads the whole store without changing it.
func (s *Store) examine() (*findings, error) {
	folder, err := readFolder(s.fs, s.dir)
	if err != nil {
		return nil, err
	}
	out := &findings{image: &image{}}
	if err := s.examineLog(folder.run(), out); err != nil {
		return nil, err
	}
	if err := s.examineSnapshot(folder, out); err != nil {
		return nil, err
	}
	return out, s.trim(out)
}

func (s *Store) examineLog(run []uint64, out *findings) error {
	if len(run) == 0 {
		return &DamageError{File: segmentName(s.dir, 1), Reason: ReasonMissingSegment}
	}
	last, err := s.readSegment(run[len(run)-1])
	if err != nil {
		return err
	}
	for i, number := range run[:len(run)-1] {
		scan, err := s.readSegment(number)
		if err != nil {
			return err
		}
		if i == len(run)-2 && !scan.sealed {
			return s.examineRollover(scan, last, out)
		}
		if err := intact(scan); err != nil {
			return err
		}
		if err := out.image.replay(scan); err != nil {
			return err
		}
	}
	return s.examineLast(last, out)
}

// intact checks a segment that has a successor.
func intact(scan *segmentScan) error {
	if scan.problem != "" {
		return &DamageError{File: scan.file, Offset: scan.end, Reason: scan.problem}
	}
	if !scan.sealed {
		return &DamageError{File: scan.file, Offset: scan.end, Reason: ReasonNotSealed}
	}
	return nil
}

// examineRollover handles a last segment whose predecessor has no seal. The
// seal is synced before the first entry goes to the new segment, so the new
// one may hold its first record at most.
func (s *Store) examineRollover(previous, last *segmentScan, out *findings) error {
	used, err := s.segmentUsed(last, previous.nextSeq()+2)
	if err != nil {
		return err
	}
	if used {
		return intact(previous)
	}
	out.rollover = last.file
	return s.examineLast(previous, out)
}

// segmentUsed reports whether a segment holds more than its first record.
// Its header can be unreadable although the first record is readable, because
// a crash can persist parts of an unsynced write out of order.
func (s *Store) segmentUsed(scan *segmentScan, secondSeq uint64) (bool, error) {
	if scan.headerOK {
		more := len(scan.frames) == 1 && scan.size > scan.end
		return more || len(scan.frames) > 1 || scan.validAfter, nil
	}
	data, err := s.fs.ReadFile(scan.file)
	if err != nil {
		return false, &IOError{Op: "read", File: scan.file, Err: err}
	}
	seed := segmentSeed(s.id, scan.number)
	return anyFrameAfter(data, 0, seed, secondSeq), nil
}

// examineLast replays the last segment, whose tail may be torn.
func (s *Store) examineLast(scan *segmentScan, out *findings) error {
	if scan.sealed {
		next := segmentName(s.dir, scan.number+1)
		return &DamageError{File: next, Reason: ReasonMissingSegment}
	}
	// The header and the first record are synced before the segment is used.
	tornPossible := len(scan.frames) > 0 && !scan.validAfter
	if scan.problem != "" && !tornPossible {
		return &DamageError{File: scan.file, Offset: scan.end, Reason: scan.problem}
	}
	if len(scan.frames) == 0 {
		return &DamageError{File: scan.file, Offset: scan.end, Reason: ReasonHeader}
	}
	if scan.problem != "" {
		out.torn = scan
	}
	return out.image.replay(scan)
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

// examineSnapshot reads the newest snapshot and compares it with the log.
func (s *Store) examineSnapshot(f *folder, out *findings) error {
	img := out.image
	var newest snapshotName
	if len(f.snapshots) > 0 {
		newest = f.snapshots[len(f.snapshots)-1]
	}
	named := snapshotName{index: img.snapIndex, term: img.snapTerm}
	if newest.index < named.index || (newest.index == named.index && newest != named) {
		return &DamageError{File: named.path(s.dir), Reason: ReasonMissingSnapshot}
	}
	if newest.index == 0 {
		return nil
	}
	var err error
	out.snapshot, out.data, err = s.readSnapshot(newest)
	if err != nil {
		return err
	}
	if newest != named {
		out.unfinished = true
	}
	return nil
}

// trim applies an unfinished snapshot to the image and checks that the log
// continues the snapshot and that no segment is missing.
func (s *Store) trim(out *findings) error {
	img := out.image
	if img.segments[0].number > img.firstSegment {
		file := segmentName(s.dir, img.firstSegment)
		return &DamageError{File: file, Reason: ReasonMissingSegment}
	}
	if out.unfinished {
		out.marker = img.marker(out.snapshot)
		img.snapshot(out.marker)
	}
	if img.base > img.snapIndex {
		file := segmentName(s.dir, img.segments[0].number)
		return &DamageError{File: file, Reason: ReasonGap}
	}
	return nil
}

// marker returns the record for a snapshot that is newer than the log's. The
// log continues the snapshot only if it holds the snapshot's last entry.
func (m *image) marker(meta SnapshotMeta) stateRecord {
	term, ok := m.termAt(meta.Index)
	r := stateRecord{
		hard:         m.hard,
		snapIndex:    meta.Index,
		snapTerm:     meta.Term,
		last:         m.last(),
		firstSegment: m.firstSegment,
		reset:        !ok || term != meta.Term,
	}
	if r.reset {
		r.last = meta.Index
	}
	return r
}
