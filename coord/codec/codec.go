// Package codec decodes msgpack that comes from other processes or from disk.
//
// The msgpack library allocates what a message states as the length of a byte
// string or an array before it reads it, so that nine bytes can ask for 2 GiB.
// Unmarshal checks all lengths against the bytes that are there first. The
// check costs time for each value, not for each byte of a byte string.
package codec

import (
	"bytes"
	"strconv"

	"github.com/vmihailenco/msgpack/v5"
	"github.com/vmihailenco/msgpack/v5/msgpcode"
)

// MaxDepth bounds how deep arrays and maps are nested, because the library
// skips unknown values recursively.
const MaxDepth = 64

// Errors of the check.
const (
	reasonTruncated = "a length exceeds the message"
	reasonDepth     = "nested too deep"
	reasonCode      = "unknown type code"
)

// LengthError reports a message whose structure cannot be decoded within the
// memory of its own size.
type LengthError struct {
	Reason string
	// Offset is the position in the message, in bytes.
	Offset int
}

// Error implements error.
func (e *LengthError) Error() string {
	return "msgpack: " + e.Reason + " at byte " + strconv.Itoa(e.Offset)
}

// Unmarshal decodes a message of one value after a check of all lengths.
func Unmarshal(data []byte, value any) error {
	if err := Check(data); err != nil {
		return err
	}
	return msgpack.Unmarshal(data, value)
}

// MarshalCompact encodes values one after the other. Structs become arrays,
// because names of fields can be most of the bytes. Fields may therefore only
// be added at the end of a struct.
func MarshalCompact(values ...any) ([]byte, error) {
	var out bytes.Buffer
	encoder := msgpack.NewEncoder(&out)
	encoder.UseArrayEncodedStructs(true)
	encoder.UseCompactInts(true)
	for _, value := range values {
		if err := encoder.Encode(value); err != nil {
			return nil, err
		}
	}
	return out.Bytes(), nil
}

// CheckAll verifies that a message is a sequence of complete values.
func CheckAll(data []byte) error {
	for at := 0; at < len(data); {
		size, err := check(data[at:])
		if err != nil {
			err.Offset += at
			return err
		}
		at += size
	}
	return nil
}

// Check verifies that the first value of a message is complete.
func Check(data []byte) error {
	if _, err := check(data); err != nil {
		return err
	}
	return nil
}

// check returns the size of the first value.
func check(data []byte) (int, *LengthError) {
	c := checker{data: data, depth: 1}
	c.pending[0] = 1
	for c.depth > 0 {
		if c.pending[c.depth-1] == 0 {
			c.depth--
			continue
		}
		c.pending[c.depth-1]--
		if err := c.value(); err != nil {
			return 0, err
		}
	}
	return c.at, nil
}

// checker walks over the values of a message.
type checker struct {
	data []byte
	at   int
	// pending counts the values that are left at each depth.
	pending [MaxDepth]int
	depth   int
}

func (c *checker) fail(reason string) *LengthError { return &LengthError{Reason: reason, Offset: c.at} }

func (c *checker) value() *LengthError {
	if c.at >= len(c.data) {
		return c.fail(reasonTruncated)
	}
	code := c.data[c.at]
	c.at++
	switch {
	case msgpcode.IsFixedNum(code):
		return nil
	case msgpcode.IsFixedString(code):
		return c.skip(int(code & msgpcode.FixedStrMask))
	case msgpcode.IsFixedArray(code):
		return c.enter(int(code & msgpcode.FixedArrayMask))
	case msgpcode.IsFixedMap(code):
		return c.enter(2 * int(code&msgpcode.FixedMapMask))
	}
	return c.sized(code)
}

// sized checks a value whose code is followed by a number of bytes, by a
// length, or by nothing.
func (c *checker) sized(code byte) *LengthError {
	switch code {
	case msgpcode.Nil, msgpcode.False, msgpcode.True:
		return nil
	case msgpcode.Uint8, msgpcode.Int8:
		return c.skip(1)
	case msgpcode.Uint16, msgpcode.Int16:
		return c.skip(2)
	case msgpcode.Uint32, msgpcode.Int32, msgpcode.Float:
		return c.skip(4)
	case msgpcode.Uint64, msgpcode.Int64, msgpcode.Double:
		return c.skip(8)
	case msgpcode.FixExt1, msgpcode.FixExt2, msgpcode.FixExt4, msgpcode.FixExt8, msgpcode.FixExt16:
		return c.skip(extensionType + 1<<(code-msgpcode.FixExt1))
	}
	return c.prefixed(code)
}

// extensionType is the size of the type of an extension, in bytes.
const extensionType = 1

func (c *checker) prefixed(code byte) *LengthError {
	var size, extra int
	switch code {
	case msgpcode.Str8, msgpcode.Bin8:
		size = 1
	case msgpcode.Str16, msgpcode.Bin16, msgpcode.Array16, msgpcode.Map16:
		size = 2
	case msgpcode.Str32, msgpcode.Bin32, msgpcode.Array32, msgpcode.Map32:
		size = 4
	case msgpcode.Ext8, msgpcode.Ext16, msgpcode.Ext32:
		size, extra = 1<<(code-msgpcode.Ext8), extensionType
	default:
		return c.fail(reasonCode)
	}
	length, err := c.length(size)
	if err != nil {
		return err
	}
	switch code {
	case msgpcode.Array16, msgpcode.Array32:
		return c.enter(length)
	case msgpcode.Map16, msgpcode.Map32:
		return c.enter(2 * length)
	}
	return c.skip(length + extra)
}

// length reads a big-endian number of the given size in bytes.
func (c *checker) length(size int) (int, *LengthError) {
	if len(c.data)-c.at < size {
		return 0, c.fail(reasonTruncated)
	}
	length := 0
	for range size {
		length = length<<8 | int(c.data[c.at])
		c.at++
	}
	// A length of 32 bits is negative where an int has no more.
	if length < 0 || length > len(c.data) {
		return 0, c.fail(reasonTruncated)
	}
	return length, nil
}

func (c *checker) skip(size int) *LengthError {
	if size > len(c.data)-c.at {
		return c.fail(reasonTruncated)
	}
	c.at += size
	return nil
}

// enter begins an array or map. Each of its values takes a byte at least.
func (c *checker) enter(values int) *LengthError {
	if values > len(c.data)-c.at {
		return c.fail(reasonTruncated)
	}
	if values == 0 {
		return nil
	}
	if c.depth == MaxDepth {
		return c.fail(reasonDepth)
	}
	c.pending[c.depth] = values
	c.depth++
	return nil
}
