// Package transport carries typed messages and calls between the hosts of a
// deployment over TCP. Each host dials each peer; frames are a length and a
// msgpack payload.
package transport

import (
	"encoding/binary"
	"io"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"cranberrydrum.dev/coord/codec"
)

// MaxFrameBytes bounds the payload of one frame.
const MaxFrameBytes = 1 << 20

const (
	lengthBytes = 4
	// maxHandshakeBytes bounds the frames that a stranger can make a host
	// keep in memory.
	maxHandshakeBytes = 4 << 10
)

// Kind says what a frame carries.
type Kind uint8

// Kinds of frames.
const (
	KindHello Kind = iota + 1
	KindChallenge
	KindProof
	KindHeartbeat
	KindRaft
	KindRegistry
	KindHostStatus
	KindSlots
	KindCall
	KindReply
	KindVerdict
)

var kindNames = map[Kind]string{
	KindHello:      "hello",
	KindChallenge:  "challenge",
	KindProof:      "proof",
	KindHeartbeat:  "heartbeat",
	KindRaft:       "raft",
	KindRegistry:   "registry",
	KindHostStatus: "host_status",
	KindSlots:      "slots",
	KindCall:       "call",
	KindReply:      "reply",
	KindVerdict:    "verdict",
}

// String returns the name that metrics and logs use.
func (k Kind) String() string {
	if name, ok := kindNames[k]; ok {
		return name
	}
	return "unknown"
}

// frame is the unit on the wire. Body is itself msgpack, decoded by the
// receiver of the kind.
type frame struct {
	Kind   Kind   `msgpack:"k"`
	ID     uint64 `msgpack:"i,omitempty"`
	Method string `msgpack:"m,omitempty"`
	// RemainingMS is the time that the caller of a call still has.
	RemainingMS int64  `msgpack:"r,omitempty"`
	Code        string `msgpack:"c,omitempty"`
	Body        []byte `msgpack:"b,omitempty"`
	// deadline of a call or reply that waits in the send queue. RemainingMS is
	// set from it when a call is written.
	deadline time.Time
}

// encodeFrame returns the frame with its length in front.
func encodeFrame(f *frame) ([]byte, error) {
	payload, err := msgpack.Marshal(f)
	if err != nil {
		return nil, &FrameError{Reason: "encode", Detail: err.Error()}
	}
	if len(payload) > MaxFrameBytes {
		return nil, &FrameError{Reason: "too large", Size: len(payload)}
	}
	data := make([]byte, lengthBytes+len(payload))
	binary.BigEndian.PutUint32(data, uint32(len(payload)))
	copy(data[lengthBytes:], payload)
	return data, nil
}

// readFrame reads one frame with a payload up to a limit. It returns the number
// of bytes read, and a FrameError if the bytes are no valid frame.
func readFrame(r io.Reader, limit uint32) (*frame, int, error) {
	var header [lengthBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return nil, 0, err
	}
	size := binary.BigEndian.Uint32(header[:])
	if size == 0 || size > limit {
		return nil, lengthBytes, &FrameError{Reason: "length out of range", Size: int(size)}
	}
	payload := make([]byte, size)
	if _, err := io.ReadFull(r, payload); err != nil {
		return nil, lengthBytes, err
	}
	f, err := decodeFrame(payload)
	return f, lengthBytes + int(size), err
}

// decodeFrame decodes a payload and rejects kinds that do not exist.
func decodeFrame(payload []byte) (*frame, error) {
	var f frame
	if err := codec.Unmarshal(payload, &f); err != nil {
		return nil, &FrameError{Reason: "decode", Detail: err.Error(), Size: len(payload)}
	}
	if _, ok := kindNames[f.Kind]; !ok {
		return nil, &FrameError{Reason: "unknown kind", Size: len(payload)}
	}
	return &f, nil
}
