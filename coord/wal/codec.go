package wal

import "encoding/binary"

// Types of log records. The first byte of a record payload is its type.
const (
	// recordBatch holds the hard state and the entries of one Save.
	recordBatch byte = 1
	// recordState is the first record of each segment. One is also appended
	// for each snapshot. It repeats the state from earlier segments, so that
	// they can be removed.
	recordState byte = 2
	// recordSeal is the last record of every segment except the last one.
	recordSeal byte = 3
)

// stateRecord is the content of a record of type recordState.
type stateRecord struct {
	hardState     HardState
	snapshotIndex uint64
	snapshotTerm  uint64
	lastIndex     uint64
	firstSegment  uint64
	// reset is true if the snapshot replaced all entries before the record.
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
	b = appendHardState(b, s.hardState)
	b = binary.AppendUvarint(b, s.snapshotIndex)
	b = binary.AppendUvarint(b, s.snapshotTerm)
	b = binary.AppendUvarint(b, s.lastIndex)
	b = binary.AppendUvarint(b, s.firstSegment)
	if s.reset {
		return append(b, 1)
	}
	return append(b, 0)
}

// decoder reads the fields of a record payload. After the first invalid field
// isInvalid is true and all further fields are zero.
type decoder struct {
	buf       []byte
	isInvalid bool
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
	d.isInvalid = true
	d.buf = nil
}

// isComplete reports whether the payload was valid and has been read to its
// end.
func (d *decoder) isComplete() bool { return !d.isInvalid && len(d.buf) == 0 }

func (d *decoder) readHardState() HardState {
	term := d.uvarint()
	vote := string(d.bytes())
	commit := d.uvarint()
	return HardState{Term: term, Vote: vote, Commit: commit}
}

// batch reads a recordBatch after its type. Entry data is copied, because the
// buffer holds a whole segment, which one entry would otherwise keep in memory.
func (d *decoder) batch() (HardState, []Entry) {
	hs := d.readHardState()
	count := d.uvarint()
	var entries []Entry
	for range count {
		if d.isInvalid {
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

// state reads a recordState after its type.
func (d *decoder) state() stateRecord {
	var s stateRecord
	s.hardState = d.readHardState()
	s.snapshotIndex = d.uvarint()
	s.snapshotTerm = d.uvarint()
	s.lastIndex = d.uvarint()
	s.firstSegment = d.uvarint()
	s.reset = d.byte() == 1
	return s
}
