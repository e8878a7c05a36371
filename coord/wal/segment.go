package wal

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"path/filepath"
	"strconv"
	"strings"
)

const (
	segmentMagic  = "CDWAL001"
	segmentSuffix = ".wal"
	// segmentHeaderBytes is the size of magic, segment number, first sequence
	// number and CRC32C.
	segmentHeaderBytes = 8 + 8 + 8 + 4
	// frameHeaderBytes is the size of payload length, sequence number and
	// CRC32C.
	frameHeaderBytes = 4 + 8 + 4
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

func segmentName(dir string, number uint64) string {
	return filepath.Join(dir, fmt.Sprintf("%016x%s", number, segmentSuffix))
}

// parseSegmentName returns the number of a segment file.
func parseSegmentName(name string) (uint64, bool) {
	hex, ok := strings.CutSuffix(name, segmentSuffix)
	if !ok || len(hex) != 16 {
		return 0, false
	}
	number, err := strconv.ParseUint(hex, 16, 64)
	return number, err == nil
}

// segmentSeed returns the initial value of all checksums in a segment. It
// depends on the store and the segment, so that a file of another store, or a
// copy of a record inside the data of an entry, is not accepted as a record.
func segmentSeed(storeID string, number uint64) uint32 {
	seed := crc32.Update(0, castagnoli, []byte(storeID))
	return crc32.Update(seed, castagnoli, binary.BigEndian.AppendUint64(nil, number))
}

func appendSegmentHeader(b []byte, seed uint32, number, firstSeq uint64) []byte {
	start := len(b)
	b = append(b, segmentMagic...)
	b = binary.BigEndian.AppendUint64(b, number)
	b = binary.BigEndian.AppendUint64(b, firstSeq)
	crc := crc32.Update(seed, castagnoli, b[start:])
	return binary.BigEndian.AppendUint32(b, crc)
}

// appendFrame appends a record with its length, sequence number and checksum.
func appendFrame(b []byte, seed uint32, seq uint64, payload []byte) []byte {
	start := len(b)
	b = binary.BigEndian.AppendUint32(b, uint32(len(payload)))
	b = binary.BigEndian.AppendUint64(b, seq)
	crc := crc32.Update(seed, castagnoli, b[start:])
	crc = crc32.Update(crc, castagnoli, payload)
	b = binary.BigEndian.AppendUint32(b, crc)
	return append(b, payload...)
}

// frameAt returns the payload and sequence number of the frame at an offset. ok
// is false if the length or the checksum is invalid.
func frameAt(data []byte, offset int, seed uint32) (payload []byte, seq uint64, ok bool) {
	rest := data[offset:]
	if len(rest) < frameHeaderBytes {
		return nil, 0, false
	}
	length := int64(binary.BigEndian.Uint32(rest))
	if length > MaxRecordBytes || length > int64(len(rest)-frameHeaderBytes) {
		return nil, 0, false
	}
	payload = rest[frameHeaderBytes : frameHeaderBytes+length]
	crc := crc32.Update(seed, castagnoli, rest[:12])
	crc = crc32.Update(crc, castagnoli, payload)
	if crc != binary.BigEndian.Uint32(rest[12:]) {
		return nil, 0, false
	}
	return payload, binary.BigEndian.Uint64(rest[4:]), true
}

// nextSeq returns the sequence number expected after the last valid record.
func (s *segmentScan) nextSeq() uint64 { return s.firstSeq + uint64(len(s.frames)) }

// frame is one valid record of a segment, framed by length, sequence number and
// checksum.
type frame struct {
	offset  int64
	seq     uint64
	payload []byte
}

// segmentScan is the result of reading one segment file.
type segmentScan struct {
	number      uint64
	file        string
	size        int64
	headerValid bool
	firstSeq    uint64
	frames      []frame
	// end is the offset of the first byte after the last valid record.
	end int64
	// damage is the reason why reading stopped before the end of the file, or
	// empty. validRecordFollows is true if a valid record follows, in which
	// case the damage is not a torn tail.
	damage             Reason
	validRecordFollows bool
	sealed             bool
}

func scanSegment(data []byte, file, storeID string, number uint64) segmentScan {
	s := segmentScan{number: number, file: file, size: int64(len(data))}
	seed := segmentSeed(storeID, number)
	if !s.readHeader(data, seed) {
		s.damage = ReasonHeader
		return s
	}
	s.readFrames(data, seed)
	return s
}

func (s *segmentScan) readHeader(data []byte, seed uint32) bool {
	if len(data) < segmentHeaderBytes {
		return false
	}
	number := binary.BigEndian.Uint64(data[8:])
	firstSeq := binary.BigEndian.Uint64(data[16:])
	want := appendSegmentHeader(nil, seed, s.number, firstSeq)
	if number != s.number || string(want) != string(data[:segmentHeaderBytes]) {
		return false
	}
	s.headerValid = true
	s.firstSeq = firstSeq
	s.end = segmentHeaderBytes
	return true
}

func (s *segmentScan) readFrames(data []byte, seed uint32) {
	want := s.firstSeq
	for s.end < s.size {
		payload, seq, ok := frameAt(data, int(s.end), seed)
		if !ok {
			s.damage = ReasonChecksum
			s.validRecordFollows = hasFrameFrom(data, int(s.end)+1, seed, want)
			return
		}
		if seq != want || s.sealed {
			s.damage = ReasonSequence
			s.validRecordFollows = true
			return
		}
		s.frames = append(s.frames, frame{offset: s.end, seq: seq, payload: payload})
		s.sealed = len(payload) == 1 && payload[0] == recordSeal
		s.end += int64(frameHeaderBytes + len(payload))
		want++
	}
}

// hasFrameFrom reports whether a valid record with a sequence number of at
// least minSeq starts at or after an offset. A sequence number above the number
// of records that fit into the file is skipped without computing a checksum.
func hasFrameFrom(data []byte, offset int, seed uint32, minSeq uint64) bool {
	for p := offset; p+frameHeaderBytes <= len(data); p++ {
		seq := binary.BigEndian.Uint64(data[p+4:])
		maxFrames := uint64(len(data)) / frameHeaderBytes
		if seq < minSeq || seq-minSeq > maxFrames {
			continue
		}
		if _, _, ok := frameAt(data, p, seed); ok {
			return true
		}
	}
	return false
}
