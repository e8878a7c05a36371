package jobs

import (
	"bytes"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"cranberrydrum.dev/coord/codec"
)

// encode returns the concatenated encodings of values.
func encode(what string, values ...any) ([]byte, error) {
	data, err := codec.MarshalCompact(values...)
	if err != nil {
		return nil, &EncodeError{What: what, Err: err}
	}
	return data, nil
}

// decode reads values in order and rejects trailing bytes.
func decode(what string, data []byte, values ...any) error {
	if err := codec.CheckAll(data); err != nil {
		return &DecodeError{What: what, Err: err}
	}
	reader := bytes.NewReader(data)
	dec := msgpack.NewDecoder(reader)
	for _, v := range values {
		if err := dec.Decode(v); err != nil {
			return &DecodeError{What: what, Err: err}
		}
	}
	if reader.Len() > 0 {
		return &DecodeError{What: what, Err: &TrailingBytesError{Bytes: reader.Len()}}
	}
	return nil
}

// EncodeCommand returns a command as a log entry: kind, term, clock and body.
func EncodeCommand(c Command) ([]byte, error) {
	if c.Body == nil {
		return nil, &EncodeError{What: "command", Err: &EmptyCommandError{}}
	}
	return encode("command", c.Body.kind(), c.Term, int64(c.Clock), c.Body)
}

// DecodeCommand decodes a log entry and rejects unknown kinds and trailing bytes.
func DecodeCommand(data []byte) (Command, error) {
	if err := codec.CheckAll(data); err != nil {
		return Command{}, &DecodeError{What: "command", Err: err}
	}
	reader := bytes.NewReader(data)
	dec := msgpack.NewDecoder(reader)
	var kind Kind
	var c Command
	var clock int64
	for _, v := range []any{&kind, &c.Term, &clock} {
		if err := dec.Decode(v); err != nil {
			return Command{}, &DecodeError{What: "command", Err: err}
		}
	}
	c.Clock = time.Duration(clock)
	c.Body = newBody(kind)
	if c.Body == nil {
		return Command{}, &DecodeError{What: "command", Err: &UnknownKindError{Kind: kind}}
	}
	if err := dec.Decode(c.Body); err != nil {
		return Command{}, &DecodeError{What: "command", Err: err}
	}
	if reader.Len() > 0 {
		return Command{}, &DecodeError{What: "command", Err: &TrailingBytesError{Bytes: reader.Len()}}
	}
	return c, nil
}

// EncodeResult encodes a result for the reply to the proposer.
func EncodeResult(r Result) ([]byte, error) {
	return encode("result", &r)
}

// DecodeResult decodes the output of EncodeResult.
func DecodeResult(data []byte) (Result, error) {
	var r Result
	err := decode("result", data, &r)
	return r, err
}
