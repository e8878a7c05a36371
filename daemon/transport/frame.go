// Package transport exchanges one-way messages and calls between the hosts of a
// deployment over TCP. Each host dials each peer and sends its messages and
// calls on that connection; only replies and heartbeats return on it. A frame
// is a 4-byte big-endian payload length followed by a msgpack payload.
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
	// maxHandshakeBytes bounds the payload of a handshake frame, which is the
	// memory that an unauthenticated peer can make a host allocate.
	maxHandshakeBytes = 4 << 10
)

// Kind identifies the content of a frame.
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

// String returns the name used in metrics and logs.
func (k Kind) String() string {
	if name, ok := kindNames[k]; ok {
		return name
	}
	return "unknown"
}

// frame is one unit on the wire. Body is usually msgpack of its own; its
// encoding depends on Kind, and the handler of that kind decodes it.
type frame struct {
	Kind   Kind   `msgpack:"k"`
	ID     uint64 `msgpack:"i,omitempty"`
	Method string `msgpack:"m,omitempty"`
	// RemainingMS is the time left until the caller of a call times out.
	RemainingMS int64 `msgpack:"r,omitempty"`
	// Code is set in a reply without a result: codeBusy, codeRefused or
	// codeFailed.
	Code string `msgpack:"c,omitempty"`
	Body []byte `msgpack:"b,omitempty"`
	// deadline is the time at which a call or reply in a send queue expires.
	// It is local to the host; RemainingMS of a call is computed from it when
	// the call is written.
	deadline time.Time
}

// encodeFrame returns the encoded frame, prefixed with its payload length.
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

// readFrame reads one frame whose payload has at most limit bytes. It returns
// the number of bytes read, and a FrameError if they are not a valid frame.
func readFrame(r io.Reader, limit uint32) (*frame, int, error) {
	size, err := readLength(r, limit)
	if err != nil {
		return nil, 0, err
	}
	return readPayload(r, size)
}

// readLength reads the length of the payload of a frame.
func readLength(r io.Reader, limit uint32) (int, error) {
	var header [lengthBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return 0, err
	}
	size := binary.BigEndian.Uint32(header[:])
	if size == 0 || size > limit {
		return 0, &FrameError{Reason: "payload length out of range", Size: int(size)}
	}
	return int(size), nil
}

// readPayload reads the rest of a frame.
func readPayload(r io.Reader, size int) (*frame, int, error) {
	payload := make([]byte, size)
	if _, err := io.ReadFull(r, payload); err != nil {
		return nil, lengthBytes, err
	}
	f, err := decodeFrame(payload)
	return f, lengthBytes + size, err
}

// decodeFrame decodes a payload and rejects unknown kinds.
func decodeFrame(payload []byte) (*frame, error) {
	var f frame
	if err := codec.Unmarshal(payload, &f); err != nil {
		return nil, &FrameError{Reason: "cannot decode payload", Detail: err.Error(), Size: len(payload)}
	}
	if _, ok := kindNames[f.Kind]; !ok {
		return nil, &FrameError{Reason: "unknown frame kind", Size: len(payload)}
	}
	return &f, nil
}
