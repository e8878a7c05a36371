package registry

import (
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// Numbers of fields in the encoded arrays.
const (
	entryFields   = 7
	versionFields = 4
)

// WireError reports an encoded entry or version with a wrong number of fields.
type WireError struct {
	Fields int
	Want   int
}

// Error implements error.
func (e *WireError) Error() string {
	return "registry: encoded value has a wrong number of fields"
}

// EncodeMsgpack writes the entry as an array. The age is rounded up to
// milliseconds, so that rounding never makes a copy younger.
func (e Entry) EncodeMsgpack(enc *msgpack.Encoder) error {
	if err := enc.EncodeArrayLen(entryFields); err != nil {
		return err
	}
	if err := encodeVersion(enc, e.Version()); err != nil {
		return err
	}
	if err := enc.EncodeUint(uint64(e.TTL.Milliseconds())); err != nil {
		return err
	}
	age := (e.Age + time.Millisecond - 1).Milliseconds()
	if err := enc.EncodeUint(uint64(age)); err != nil {
		return err
	}
	return enc.EncodeBytes(e.Payload)
}

// DecodeMsgpack reads an entry written by EncodeMsgpack.
func (e *Entry) DecodeMsgpack(dec *msgpack.Decoder) error {
	if err := expectFields(dec, entryFields); err != nil {
		return err
	}
	v, err := decodeVersion(dec)
	if err != nil {
		return err
	}
	ttl, err := decodeMillis(dec)
	if err != nil {
		return err
	}
	age, err := decodeMillis(dec)
	if err != nil {
		return err
	}
	payload, err := dec.DecodeBytes()
	if err != nil {
		return err
	}
	*e = Entry{ID: v.ID, Incarnation: v.Incarnation, Sequence: v.Sequence, State: v.State}
	e.TTL, e.Age, e.Payload = ttl, age, payload
	return nil
}

// EncodeMsgpack writes the version as an array.
func (v Version) EncodeMsgpack(enc *msgpack.Encoder) error {
	if err := enc.EncodeArrayLen(versionFields); err != nil {
		return err
	}
	return encodeVersion(enc, v)
}

// DecodeMsgpack reads a version written by EncodeMsgpack.
func (v *Version) DecodeMsgpack(dec *msgpack.Decoder) error {
	if err := expectFields(dec, versionFields); err != nil {
		return err
	}
	got, err := decodeVersion(dec)
	if err != nil {
		return err
	}
	*v = got
	return nil
}

func expectFields(dec *msgpack.Decoder, want int) error {
	n, err := dec.DecodeArrayLen()
	if err != nil {
		return err
	}
	if n != want {
		return &WireError{Fields: n, Want: want}
	}
	return nil
}

func encodeVersion(enc *msgpack.Encoder, v Version) error {
	if err := enc.EncodeString(v.ID); err != nil {
		return err
	}
	if err := enc.EncodeUint(v.Incarnation); err != nil {
		return err
	}
	if err := enc.EncodeUint(v.Sequence); err != nil {
		return err
	}
	return enc.EncodeUint(uint64(v.State))
}

func decodeVersion(dec *msgpack.Decoder) (v Version, err error) {
	if v.ID, err = dec.DecodeString(); err != nil {
		return v, err
	}
	if v.Incarnation, err = dec.DecodeUint64(); err != nil {
		return v, err
	}
	if v.Sequence, err = dec.DecodeUint64(); err != nil {
		return v, err
	}
	state, err := dec.DecodeUint64()
	// An unknown state is decoded as zero, which Merge rejects.
	if state <= uint64(Left) {
		v.State = State(state)
	}
	return v, err
}

// maxMillis is the longest decoded duration in milliseconds, about 24 days.
// Longer ones are reduced to it, so that sums of durations cannot overflow.
const maxMillis = 1 << 31

func decodeMillis(dec *msgpack.Decoder) (time.Duration, error) {
	n, err := dec.DecodeUint64()
	return time.Duration(min(n, maxMillis)) * time.Millisecond, err
}
