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

// withLength prefixes a payload with a frame length, which may be wrong.
func withLength(length uint32, payload ...byte) []byte {
	return append(binary.BigEndian.AppendUint32(nil, length), payload...)
}

var _ = Describe("invalid frames", func() {
	DescribeTable("close only their own connection", func(data []byte, hangUp bool, reason string) {
		a, b := connectedPair(nil, nil)
		bad := rawDial(b, "c")
		_, err := bad.Write(data)
		Expect(err).NotTo(HaveOccurred())
		if hangUp {
			_ = bad.(*net.TCPConn).CloseWrite()
		}
		Expect(isClosedByPeer(bad)).To(BeTrue())
		Eventually(func() int { return b.events.closedCount(reason) }, time.Second).Should(Equal(1))
		body, err := a.Call("b", "m", []byte("x"), time.Second)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(body)).To(Equal("x"))
	},
		Entry("length of zero", withLength(0), false, "malformed"),
		Entry("length one byte over the limit", withLength(MaxFrameBytes+1), false, "malformed"),
		Entry("largest possible length", withLength(0xffffffff), false, "malformed"),
		Entry("payload that is not msgpack", withLength(3, 0xc1, 0xc1, 0xc1), false, "malformed"),
		Entry("msgpack of another type", withLength(1, 0x01), false, "malformed"),
		Entry("unknown kind", withLength(4, 0x81, 0xa1, 'k', 0x7f), false, "malformed"),
		Entry("body length beyond the payload", withLength(9, 0x81, 0xa1, 'b', 0xc6, 0x7f, 0xff, 0xff, 0xff, 0), false, "malformed"),
		Entry("truncated, then closed", withLength(100, 0x81, 0xa1), true, "closed"),
		Entry("truncated, then silent", withLength(100, 0x81, 0xa1), false, "silent"),
	)

	It("make the dialing host reconnect", func() {
		a, raw := connectRawHost(nil)
		conn := raw.nextConn()
		_, err := conn.Write(withLength(0))
		Expect(err).NotTo(HaveOccurred())
		sendHeartbeats(raw.nextConn())
		Expect(a.events.closedCount("malformed")).To(Equal(1))
	})

	It("of a kind that is not expected after the handshake are dropped and counted", func() {
		b := startHost("b", nil)
		conn := rawDial(b, "a")
		for _, kind := range []Kind{KindHello, KindReply, KindVerdict} {
			writeRawFrame(conn, &frame{Kind: kind})
		}
		writeRawFrame(conn, &frame{Kind: KindRegistry, Body: []byte("kept")})
		Eventually(b.handler.messages, time.Second).Should(Receive(Equal("registry:kept")))
		Expect(b.events.droppedCount("reply/unexpected")).To(Equal(1))
		Expect(b.events.droppedCount("verdict/unexpected")).To(Equal(1))
	})
})

// FuzzReadFrame checks that any input yields a frame or a typed error, without
// allocating memory beyond the given limit, and that a decoded frame survives a
// round trip.
func FuzzReadFrame(f *testing.F) {
	call, _ := encodeFrame(&frame{Kind: KindCall, ID: 7, Method: "m", RemainingMS: 5, Body: []byte("body")})
	f.Add(call)
	f.Add(withLength(0))
	f.Add(withLength(9, 0x81, 0xa1, 'b', 0xc6, 0x7f, 0xff, 0xff, 0xff, 0))
	f.Add(withLength(3, 0xdf, 0xff, 0xff))
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
