package wal

// segmentInfo describes a valid segment on disk. Its size does not include a
// torn tail.
type segmentInfo struct {
	number uint64
	size   int64
	// maxIndex is the highest index of an entry in the segment.
	maxIndex uint64
}

// logState is the state reached by replaying the log.
type logState struct {
	hardState     HardState
	snapshotIndex uint64
	snapshotTerm  uint64
	firstSegment  uint64
	// entries start at index baseIndex+1.
	baseIndex uint64
	entries   []Entry
	segments  []segmentInfo
	nextSeq   uint64
}

func (m *logState) lastIndex() uint64 { return m.baseIndex + uint64(len(m.entries)) }

// termAt returns the term of an entry, if the log holds the entry.
func (m *logState) termAt(index uint64) (uint64, bool) {
	if index <= m.baseIndex || index > m.lastIndex() {
		return 0, false
	}
	return m.entries[index-m.baseIndex-1].Term, true
}

// replay applies the records of the next segment.
func (m *logState) replay(s *segmentScan) error {
	if len(m.segments) > 0 && s.firstSeq != m.nextSeq {
		return &DamageError{File: s.file, Offset: 0, Reason: ReasonSequence}
	}
	isFirstSegment := len(m.segments) == 0
	m.segments = append(m.segments, segmentInfo{number: s.number, size: s.end})
	m.nextSeq = s.firstSeq
	for i := range s.frames {
		f := &s.frames[i]
		if reason := m.apply(f.payload, i == 0, isFirstSegment); reason != "" {
			return &DamageError{File: s.file, Offset: f.offset, Reason: reason}
		}
		m.nextSeq = f.seq + 1
	}
	return nil
}

// apply applies one record. It returns the kind of damage if the record is
// invalid.
func (m *logState) apply(payload []byte, isFirstRecord, isFirstSegment bool) Reason {
	d := decoder{buf: payload}
	kind := d.byte()
	switch {
	case kind == recordState && isFirstRecord:
		return m.applySegmentStart(&d, isFirstSegment)
	case kind == recordState:
		return m.applySnapshotRecord(&d)
	case kind == recordBatch && !isFirstRecord:
		return m.applyBatch(&d)
	case kind == recordSeal && !isFirstRecord && d.isComplete():
		return ""
	}
	return ReasonRecord
}

// applySegmentStart applies the first record of a segment. In the first segment
// the record sets the state; in later segments it must equal the replayed
// state.
func (m *logState) applySegmentStart(d *decoder, isFirstSegment bool) Reason {
	s := d.state()
	if !d.isComplete() || s.reset {
		return ReasonRecord
	}
	if isFirstSegment {
		m.hardState = s.hardState
		m.snapshotIndex = s.snapshotIndex
		m.snapshotTerm = s.snapshotTerm
		m.firstSegment = s.firstSegment
		m.baseIndex = s.lastIndex
		return ""
	}
	same := s.hardState == m.hardState && s.snapshotIndex == m.snapshotIndex && s.snapshotTerm == m.snapshotTerm
	if !same || s.lastIndex != m.lastIndex() || s.firstSegment != m.firstSegment {
		return ReasonRecord
	}
	return ""
}

// applySnapshotRecord applies the record that was appended for a snapshot.
func (m *logState) applySnapshotRecord(d *decoder) Reason {
	s := d.state()
	if !d.isComplete() || s.snapshotIndex <= m.snapshotIndex || s.hardState != m.hardState {
		return ReasonRecord
	}
	if !s.reset && s.snapshotIndex > m.lastIndex() {
		return ReasonRecord
	}
	m.applySnapshot(s)
	if s.lastIndex != m.lastIndex() {
		return ReasonRecord
	}
	return ""
}

// applySnapshot removes the entries covered by a snapshot, or all entries if
// the record says so.
func (m *logState) applySnapshot(s stateRecord) {
	m.snapshotIndex = s.snapshotIndex
	m.snapshotTerm = s.snapshotTerm
	m.firstSegment = s.firstSegment
	if s.reset {
		m.baseIndex = s.snapshotIndex
		m.entries = nil
		for i := range m.segments {
			m.segments[i].maxIndex = 0
		}
		return
	}
	if s.snapshotIndex > m.baseIndex {
		m.entries = m.entries[s.snapshotIndex-m.baseIndex:]
		m.baseIndex = s.snapshotIndex
	}
}

func (m *logState) applyBatch(d *decoder) Reason {
	hs, entries := d.batch()
	if !d.isComplete() {
		return ReasonRecord
	}
	m.hardState = hs
	for _, e := range entries {
		if e.Index <= m.snapshotIndex || e.Index > m.lastIndex()+1 {
			return ReasonGap
		}
		m.appendEntry(e)
	}
	return ""
}

// appendEntry removes the entries at and above the index of e and appends e.
func (m *logState) appendEntry(e Entry) {
	if e.Index <= m.baseIndex {
		m.baseIndex = e.Index - 1
		m.entries = nil
	}
	m.entries = append(m.entries[:e.Index-1-m.baseIndex], e)
	current := &m.segments[len(m.segments)-1]
	current.maxIndex = max(current.maxIndex, e.Index)
}

// termRun is a run of consecutive entries with the same term. It starts at
// index first and ends before the next run.
type termRun struct {
	first uint64
	term  uint64
}

// termRuns holds the terms of all entries above the snapshot, run-length
// encoded.
type termRuns []termRun

// add records the term of an entry, after removing the terms at and above its
// index.
func (t *termRuns) add(index, term uint64) {
	runs := *t
	for len(runs) > 0 && runs[len(runs)-1].first >= index {
		runs = runs[:len(runs)-1]
	}
	if len(runs) == 0 || runs[len(runs)-1].term != term {
		runs = append(runs, termRun{first: index, term: term})
	}
	*t = runs
}

// at returns the term of an entry, or zero if it is below the first run.
func (t termRuns) at(index uint64) uint64 {
	for i := len(t) - 1; i >= 0; i-- {
		if t[i].first <= index {
			return t[i].term
		}
	}
	return 0
}

// dropBelow removes the runs that end below an index.
func (t *termRuns) dropBelow(index uint64) {
	runs := *t
	for len(runs) > 1 && runs[1].first <= index {
		runs = runs[1:]
	}
	*t = runs
}
