package wal

// segmentInfo describes a segment on disk.
type segmentInfo struct {
	number uint64
	size   int64
	// maxIndex is the highest index of an entry in the segment.
	maxIndex uint64
}

// image is the state that replaying the log yields.
type image struct {
	hard         HardState
	snapIndex    uint64
	snapTerm     uint64
	firstSegment uint64
	// entries follow the entry with index base.
	base     uint64
	entries  []Entry
	segments []segmentInfo
	nextSeq  uint64
}

func (m *image) last() uint64 { return m.base + uint64(len(m.entries)) }

// termAt returns the term of an entry held in the image.
func (m *image) termAt(index uint64) (uint64, bool) {
	if index <= m.base || index > m.last() {
		return 0, false
	}
	return m.entries[index-m.base-1].Term, true
}

// replay applies the records of the next segment.
func (m *image) replay(s *segmentScan) error {
	if len(m.segments) > 0 && s.firstSeq != m.nextSeq {
		return &DamageError{File: s.file, Offset: 0, Reason: ReasonSequence}
	}
	starting := len(m.segments) == 0
	m.segments = append(m.segments, segmentInfo{number: s.number, size: s.end})
	m.nextSeq = s.firstSeq
	for i := range s.frames {
		f := &s.frames[i]
		if reason := m.apply(f.payload, i == 0, starting); reason != "" {
			return &DamageError{File: s.file, Offset: f.offset, Reason: reason}
		}
		m.nextSeq = f.seq + 1
	}
	return nil
}

// apply applies one record. It returns the reason if the record is invalid.
func (m *image) apply(payload []byte, first, starting bool) Reason {
	d := decoder{buf: payload}
	kind := d.byte()
	switch {
	case kind == recordState && first:
		return m.applyStart(&d, starting)
	case kind == recordState:
		return m.applyMarker(&d)
	case kind == recordBatch && !first:
		return m.applyBatch(&d)
	case kind == recordSeal && !first && d.done():
		return ""
	}
	return ReasonRecord
}

// applyStart applies the first record of a segment. In the first segment it
// sets the state; in later ones it must repeat it.
func (m *image) applyStart(d *decoder, starting bool) Reason {
	s := d.state()
	if !d.done() || s.reset {
		return ReasonRecord
	}
	if starting {
		m.hard = s.hard
		m.snapIndex = s.snapIndex
		m.snapTerm = s.snapTerm
		m.firstSegment = s.firstSegment
		m.base = s.last
		return ""
	}
	same := s.hard == m.hard && s.snapIndex == m.snapIndex && s.snapTerm == m.snapTerm
	if !same || s.last != m.last() || s.firstSegment != m.firstSegment {
		return ReasonRecord
	}
	return ""
}

// applyMarker applies the record that follows a snapshot.
func (m *image) applyMarker(d *decoder) Reason {
	s := d.state()
	if !d.done() || s.snapIndex <= m.snapIndex || s.hard != m.hard {
		return ReasonRecord
	}
	if !s.reset && s.snapIndex > m.last() {
		return ReasonRecord
	}
	m.snapshot(s)
	if s.last != m.last() {
		return ReasonRecord
	}
	return ""
}

// snapshot makes the log start after a snapshot.
func (m *image) snapshot(s stateRecord) {
	m.snapIndex = s.snapIndex
	m.snapTerm = s.snapTerm
	m.firstSegment = s.firstSegment
	if s.reset {
		m.base = s.snapIndex
		m.entries = nil
		for i := range m.segments {
			m.segments[i].maxIndex = 0
		}
		return
	}
	if s.snapIndex > m.base {
		m.entries = m.entries[s.snapIndex-m.base:]
		m.base = s.snapIndex
	}
}

func (m *image) applyBatch(d *decoder) Reason {
	hs, entries := d.batch()
	if !d.done() {
		return ReasonRecord
	}
	m.hard = hs
	for _, e := range entries {
		if e.Index <= m.snapIndex || e.Index > m.last()+1 {
			return ReasonGap
		}
		m.add(e)
	}
	return ""
}

// add appends an entry after truncating the log below its index.
func (m *image) add(e Entry) {
	if e.Index <= m.base {
		m.base = e.Index - 1
		m.entries = nil
	}
	m.entries = append(m.entries[:e.Index-1-m.base], e)
	current := &m.segments[len(m.segments)-1]
	current.maxIndex = max(current.maxIndex, e.Index)
}

// termRun says that entries from index first on have a term.
type termRun struct {
	first uint64
	term  uint64
}

// termRuns holds the terms of all entries above the snapshot in a few words.
type termRuns []termRun

// add notes an entry that may truncate the log.
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

// dropBelow forgets runs that end below an index.
func (t *termRuns) dropBelow(index uint64) {
	runs := *t
	for len(runs) > 1 && runs[1].first <= index {
		runs = runs[1:]
	}
	*t = runs
}
