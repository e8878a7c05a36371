package wal

import "encoding/binary"

// Kinds of log records.
const (
	// recordBatch holds one Save: hard state and entries.
	recordBatch byte = 1
	// recordState is the first record of each segment and follows each
	// snapshot. It repeats what earlier segments established, so that they
	// can be dropped.
	recordState byte = 2
	// recordSeal is the last record of a segment that has a successor.
	recordSeal byte = 3
)

// stateRecord is the content of a recordState.
type stateRecord struct {
	hard         HardState
	snapIndex    uint64
	snapTerm     uint64
	last         uint64
	firstSegment uint64
	// reset is true if the snapshot replaced all earlier entries.
	reset bool
}

func appendHardState(b []byte, hs HardState) []byte {
	b = binary.AppendUvarint(b, hs.Term)
	b = appendBytes(b, []byte(hs.Vote))
	return binary.AppendUvarint(b, hs.Commit)
}

func appendBytes(b, data []byte) []byte {
	b = binary.AppendUvarint(b, uint64(len(data)))
	return append(b, data...)
}

func appendBatch(b []byte, hs HardState, entries []Entry) []byte {
	b = append(b, recordBatch)
	b = appendHardState(b, hs)
	b = binary.AppendUvarint(b, uint64(len(entries)))
	for i := range entries {
		b = binary.AppendUvarint(b, entries[i].Index)
		b = binary.AppendUvarint(b, entries[i].Term)
		b = append(b, entries[i].Kind)
		b = appendBytes(b, entries[i].Data)
	}
	return b
}

func appendState(b []byte, s stateRecord) []byte {
	b = append(b, recordState)
	b = appendHardState(b, s.hard)
	b = binary.AppendUvarint(b, s.snapIndex)
	b = binary.AppendUvarint(b, s.snapTerm)
	b = binary.AppendUvarint(b, s.last)
	b = binary.AppendUvarint(b, s.firstSegment)
	if s.reset {
		return append(b, 1)
	}
	return append(b, 0)
}

// decoder reads a payload. After the first invalid field bad is true and all
// further fields are zero.
type decoder struct {
	buf []byte
	bad bool
}

func (d *decoder) uvarint() uint64 {
	v, n := binary.Uvarint(d.buf)
	if n <= 0 {
		d.fail()
		return 0
	}
	d.buf = d.buf[n:]
	return v
}

func (d *decoder) byte() byte {
	if len(d.buf) == 0 {
		d.fail()
		return 0
	}
	v := d.buf[0]
	d.buf = d.buf[1:]
	return v
}

func (d *decoder) bytes() []byte {
	n := d.uvarint()
	if n > uint64(len(d.buf)) {
		d.fail()
		return nil
	}
	v := d.buf[:n:n]
	d.buf = d.buf[n:]
	return v
}

func (d *decoder) fail() {
	d.bad = true
	d.buf = nil
}

// done reports whether the payload was valid and completely read.
func (d *decoder) done() bool { return !d.bad && len(d.buf) == 0 }

func (d *decoder) hardState() HardState {
	term := d.uvarint()
	vote := string(d.bytes())
	commit := d.uvarint()
	return HardState{Term: term, Vote: vote, Commit: commit}
}

// batch reads the rest of a recordBatch. Entry data is copied, because the
// buffer is a whole segment that must not be kept alive by one entry.
func (d *decoder) batch() (HardState, []Entry) {
	hs := d.hardState()
	count := d.uvarint()
	var entries []Entry
	for range count {
		if d.bad {
			return hs, nil
		}
		var e Entry
		e.Index = d.uvarint()
		e.Term = d.uvarint()
		e.Kind = d.byte()
		e.Data = append([]byte(nil), d.bytes()...)
		entries = append(entries, e)
	}
	return hs, entries
}

// state reads the rest of a recordState.
func (d *decoder) state() stateRecord {
	var s stateRecord
	s.hard = d.hardState()
	s.snapIndex = d.uvarint()
	s.snapTerm = d.uvarint()
	s.last = d.uvarint()
	s.firstSegment = d.uvarint()
	s.reset = d.byte() == 1
	return s
}
