// Package codec decodes msgpack from other processes or from disk.
//
// The msgpack library allocates memory for a byte string or an array by the
// length stated in the message, before it reads the contents. A message of nine
// bytes can thus allocate 2 GiB. Unmarshal first checks all lengths against the
// size of the message. The cost of the check depends on the number of values,
// not on the length of byte strings.
package codec

import (
	"bytes"
	"strconv"

	"github.com/vmihailenco/msgpack/v5"
	"github.com/vmihailenco/msgpack/v5/msgpcode"
)

// MaxDepth is the maximum nesting depth of arrays and maps. It bounds the
// recursion of the library, which skips unknown values recursively.
const MaxDepth = 64

// Reasons of a MalformedError.
const (
	reasonTruncated = "a length exceeds the message"
	reasonDepth     = "nested too deep"
	reasonCode      = "unknown type code"
)

// MalformedError reports a message that is truncated, nested too deep or has an
// unknown type code. Decoding it could take far more memory than its size.
type MalformedError struct {
	Reason string
	// Offset is the position in the message, in bytes.
	Offset int
}

// Error implements error.
func (e *MalformedError) Error() string {
	return "msgpack: " + e.Reason + " at byte " + strconv.Itoa(e.Offset)
}

// Unmarshal decodes a message of one value. It first checks the message with
// Check.
func Unmarshal(data []byte, value any) error {
	if err := Check(data); err != nil {
		return err
	}
	return msgpack.Unmarshal(data, value)
}

// MarshalCompact encodes a sequence of values. Structs are encoded as arrays,
// because field names can be most of the bytes of a message. New fields may
// therefore only be added at the end of a struct.
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
	for offset := 0; offset < len(data); {
		size, err := check(data[offset:])
		if err != nil {
			err.Offset += offset
			return err
		}
		offset += size
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

// check verifies the first value and returns its size in bytes.
func check(data []byte) (int, *MalformedError) {
	c := checker{data: data, depth: 1}
	c.pending[0] = 1
	for c.depth > 0 {
		if c.pending[c.depth-1] == 0 {
			c.depth--
			continue
		}
		c.pending[c.depth-1]--
		if err := c.scanValue(); err != nil {
			return 0, err
		}
	}
	return c.offset, nil
}

// checker scans the values of a message without recursion.
type checker struct {
	data   []byte
	offset int
	// pending is the number of values still to be scanned at each depth.
	pending [MaxDepth]int
	depth   int
}

func (c *checker) newError(reason string) *MalformedError {
	return &MalformedError{Reason: reason, Offset: c.offset}
}

func (c *checker) scanValue() *MalformedError {
	if c.offset >= len(c.data) {
		return c.newError(reasonTruncated)
	}
	code := c.data[c.offset]
	c.offset++
	switch {
	case msgpcode.IsFixedNum(code):
		return nil
	case msgpcode.IsFixedString(code):
		return c.skip(int(code & msgpcode.FixedStrMask))
	case msgpcode.IsFixedArray(code):
		return c.enterContainer(int(code & msgpcode.FixedArrayMask))
	case msgpcode.IsFixedMap(code):
		return c.enterContainer(2 * int(code&msgpcode.FixedMapMask))
	}
	return c.scanFixedSize(code)
}

// scanFixedSize scans a value whose size is determined by its type code. It
// passes other values to scanLengthPrefixed.
func (c *checker) scanFixedSize(code byte) *MalformedError {
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
		return c.skip(extensionTypeBytes + 1<<(code-msgpcode.FixExt1))
	}
	return c.scanLengthPrefixed(code)
}

// extensionTypeBytes is the size of the type field of an extension.
const extensionTypeBytes = 1

// scanLengthPrefixed scans a value whose type code is followed by a length.
func (c *checker) scanLengthPrefixed(code byte) *MalformedError {
	var size, typeBytes int
	switch code {
	case msgpcode.Str8, msgpcode.Bin8:
		size = 1
	case msgpcode.Str16, msgpcode.Bin16, msgpcode.Array16, msgpcode.Map16:
		size = 2
	case msgpcode.Str32, msgpcode.Bin32, msgpcode.Array32, msgpcode.Map32:
		size = 4
	case msgpcode.Ext8, msgpcode.Ext16, msgpcode.Ext32:
		size, typeBytes = 1<<(code-msgpcode.Ext8), extensionTypeBytes
	default:
		return c.newError(reasonCode)
	}
	length, err := c.readLength(size)
	if err != nil {
		return err
	}
	switch code {
	case msgpcode.Array16, msgpcode.Array32:
		return c.enterContainer(length)
	case msgpcode.Map16, msgpcode.Map32:
		return c.enterContainer(2 * length)
	}
	return c.skip(length + typeBytes)
}

// readLength reads a big-endian length field of the given size in bytes.
func (c *checker) readLength(size int) (int, *MalformedError) {
	if len(c.data)-c.offset < size {
		return 0, c.newError(reasonTruncated)
	}
	length := 0
	for range size {
		length = length<<8 | int(c.data[c.offset])
		c.offset++
	}
	// A 32-bit length can be negative on platforms where int has 32 bits.
	if length < 0 || length > len(c.data) {
		return 0, c.newError(reasonTruncated)
	}
	return length, nil
}

func (c *checker) skip(size int) *MalformedError {
	if size > len(c.data)-c.offset {
		return c.newError(reasonTruncated)
	}
	c.offset += size
	return nil
}

// enterContainer enters an array or map with the given number of values. Each
// value takes at least one byte.
func (c *checker) enterContainer(values int) *MalformedError {
	if values > len(c.data)-c.offset {
		return c.newError(reasonTruncated)
	}
	if values == 0 {
		return nil
	}
	if c.depth == MaxDepth {
		return c.newError(reasonDepth)
	}
	c.pending[c.depth] = values
	c.depth++
	return nil
}
