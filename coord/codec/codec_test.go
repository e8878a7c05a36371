package codec_test

import (
	"bytes"
	"encoding/binary"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/vmihailenco/msgpack/v5"

	"cranberrydrum.dev/coord/codec"
)

type message struct {
	Name   string            `msgpack:"n"`
	Body   []byte            `msgpack:"b"`
	Items  []message         `msgpack:"i,omitempty"`
	Labels map[string]string `msgpack:"l,omitempty"`
	Number float64           `msgpack:"f"`
	Time   time.Time         `msgpack:"t"`
	Size   int64             `msgpack:"s"`
	Flag   bool              `msgpack:"g"`
	Next   *message          `msgpack:"x"`
}

func sample() message {
	return message{
		Name: strings.Repeat("n", 300), Body: bytes.Repeat([]byte("b"), 70_000),
		Items:  make([]message, 20),
		Labels: map[string]string{"a": "b"}, Number: 1.5, Time: time.Unix(1, 2), Size: math.MinInt64, Flag: true,
	}
}

// Guards against a check that refuses messages encoded by the library, or that
// accepts truncated ones.
func TestEncodedMessagesPass(t *testing.T) {
	g := gomega.NewWithT(t)
	data, err := msgpack.Marshal(sample())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	var got message
	g.Expect(codec.Unmarshal(data, &got)).To(gomega.Succeed())
	again, err := msgpack.Marshal(got)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(again).To(gomega.Equal(data))
	for end := range data {
		g.Expect(codec.Check(data[:end])).To(gomega.BeAssignableToTypeOf(&codec.MalformedError{}), "message truncated to %d bytes", end)
	}
}

// Guards against short messages that make a process allocate gigabytes or
// recurse without bound. The allocation terminates the process on a host with
// little memory.
func TestLengthsBeyondTheMessage(t *testing.T) {
	hugeLength := binary.BigEndian.AppendUint32(nil, math.MaxInt32)
	for name, data := range map[string][]byte{
		"byte string":  append([]byte{0x81, 0xa1, 'b', 0xc6}, hugeLength...),
		"string":       append([]byte{0x81, 0xa1, 'n', 0xdb}, hugeLength...),
		"array":        append([]byte{0x81, 0xa1, 'i', 0xdd}, hugeLength...),
		"map":          append([]byte{0x81, 0xa1, 'l', 0xdf}, hugeLength...),
		"extension":    append([]byte{0x81, 0xa1, 't', 0xc9}, hugeLength...),
		"nesting":      bytes.Repeat([]byte{0x91}, 1<<20),
		"unknown code": {0xc1},
		"empty":        {},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			var got message
			start := time.Now()
			err := codec.Unmarshal(data, &got)
			g.Expect(err).To(gomega.BeAssignableToTypeOf(&codec.MalformedError{}))
			g.Expect(time.Since(start)).To(gomega.BeNumerically("<", time.Second))
		})
	}
}

// FuzzUnmarshal checks that arbitrary bytes decode to a value that can be encoded
// again, or give an error.
func FuzzUnmarshal(f *testing.F) {
	data, _ := msgpack.Marshal(message{Name: "n", Body: []byte("b"), Labels: map[string]string{"a": "b"}})
	f.Add(data)
	f.Add([]byte{0x81, 0xa1, 'b', 0xc6, 0x7f, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		var got message
		if codec.Unmarshal(data, &got) != nil {
			return
		}
		if _, err := msgpack.Marshal(got); err != nil {
			t.Fatal(err)
		}
	})
}

// Measures the throughput of Check on a message with a long byte string.
func BenchmarkCheck(b *testing.B) {
	data, _ := msgpack.Marshal(sample())
	b.SetBytes(int64(len(data)))
	for b.Loop() {
		if err := codec.Check(data); err != nil {
			b.Fatal(err)
		}
	}
}
