package transport

import (
	"bytes"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// framed puts a length in front of a payload.
func framed(length uint32, payload ...byte) []byte {
	return append(binary.BigEndian.AppendUint32(nil, length), payload...)
}

var _ = Describe("bytes that are no frame", func() {
	DescribeTable("close their connection only", func(data []byte, hangUp bool, reason string) {
		a, b := pair(nil, nil)
		bad := rawDial(b, "c")
		_, err := bad.Write(data)
		Expect(err).NotTo(HaveOccurred())
		if hangUp {
			_ = bad.(*net.TCPConn).CloseWrite()
		}
		Expect(closes(bad)).To(BeTrue())
		Eventually(func() int { return b.seen.closedFor(reason) }, time.Second).Should(Equal(1))
		body, err := a.Call("b", "m", []byte("x"), time.Second)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(body)).To(Equal("x"))
	},
		Entry("length of zero", framed(0), false, "malformed"),
		Entry("one byte too long", framed(MaxFrameBytes+1), false, "malformed"),
		Entry("largest length", framed(0xffffffff), false, "malformed"),
		Entry("no msgpack", framed(3, 0xc1, 0xc1, 0xc1), false, "malformed"),
		Entry("msgpack of another type", framed(1, 0x01), false, "malformed"),
		Entry("unknown kind", framed(4, 0x81, 0xa1, 'k', 0x7f), false, "malformed"),
		Entry("body length beyond the payload", framed(9, 0x81, 0xa1, 'b', 0xc6, 0x7f, 0xff, 0xff, 0xff, 0), false, "malformed"),
		Entry("truncated, then closed", framed(100, 0x81, 0xa1), true, "closed"),
		Entry("truncated, then silent", framed(100, 0x81, 0xa1), false, "silent"),
	)

	It("do not harm the dialing host", func() {
		a, raw := rawPair(nil)
		conn := raw.next()
		_, err := conn.Write(framed(0))
		Expect(err).NotTo(HaveOccurred())
		beat(raw.next())
		Expect(a.seen.closedFor("malformed")).To(Equal(1))
	})

	It("of a kind that does not belong here are dropped and counted", func() {
		b := startHost("b", nil)
		conn := rawDial(b, "a")
		for _, kind := range []Kind{KindHello, KindReply, KindVerdict} {
			writeOne(conn, &frame{Kind: kind})
		}
		writeOne(conn, &frame{Kind: KindRegistry, Body: []byte("kept")})
		Eventually(b.handler.messages, time.Second).Should(Receive(Equal("registry:kept")))
		Expect(b.seen.droppedFor("reply/unexpected")).To(Equal(1))
		Expect(b.seen.droppedFor("verdict/unexpected")).To(Equal(1))
	})
})

// FuzzReadFrame checks that any bytes yield a frame or a typed error, without
// memory beyond the stated limit, and that what is read survives a round trip.
func FuzzReadFrame(f *testing.F) {
	call, _ := encodeFrame(&frame{Kind: KindCall, ID: 7, Method: "m", RemainingMS: 5, Body: []byte("body")})
	f.Add(call)
	f.Add(framed(0))
	f.Add(framed(9, 0x81, 0xa1, 'b', 0xc6, 0x7f, 0xff, 0xff, 0xff, 0))
	f.Add(framed(3, 0xdf, 0xff, 0xff))
	f.Fuzz(func(t *testing.T, data []byte) {
		got, size, err := readFrame(bytes.NewReader(data), MaxFrameBytes)
		var malformed *FrameError
		if err != nil {
			if !errors.As(err, &malformed) && !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
				t.Fatalf("error of type %T: %v", err, err)
			}
			return
		}
		if size > len(data) {
			t.Fatalf("read %d of %d bytes", size, len(data))
		}
		again, err := encodeFrame(got)
		if errors.As(err, &malformed) {
			return
		}
		second, _, err := readFrame(bytes.NewReader(again), MaxFrameBytes)
		if err != nil || second.ID != got.ID || second.Kind != got.Kind || !bytes.Equal(second.Body, got.Body) {
			t.Fatalf("round trip of %+v gave %+v, %v", got, second, err)
		}
	})
}
