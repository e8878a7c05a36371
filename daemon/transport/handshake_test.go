package transport

import (
	"net"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/vmihailenco/msgpack/v5"
)

var _ = Describe("handshake", func() {
	// expectRefused checks that host a cannot connect to b, that LastError of a
	// contains the reason, that both hosts count the failed handshake, and that
	// calls are reported as not sent.
	expectRefused := func(a, b *testHost, reason string) {
		GinkgoHelper()
		Eventually(func() string {
			if err := a.LastError("b"); err != nil {
				return err.Error()
			}
			return ""
		}, 2*time.Second, 5*time.Millisecond).Should(ContainSubstring(reason))
		Consistently(func() bool { return a.Connected("b") }, 100*time.Millisecond).Should(BeFalse())
		_, err := a.Call("b", "m", nil, time.Second)
		Expect(err).To(BeAssignableToTypeOf(&NotSentError{}))
		Expect(a.events.closedCount("handshake")).To(BeNumerically(">", 0))
		Eventually(func() int { return b.events.closedCount("handshake") }, time.Second).Should(BeNumerically(">", 0))
	}
	dialing := func(name string, b *testHost, change func(*Config)) *testHost {
		return startHost(name, change, Peer{Host: "b", Address: b.Address()})
	}

	It("refuses a peer with a different key", func() {
		b := startHost("b", nil)
		expectRefused(dialing("a", b, func(c *Config) { c.Key = []byte("another-key-of-24-bytes!") }), b, "wrong peer key")
	})

	It("refuses a connection that is meant for a host of another name", func() {
		b := startHost("c", nil)
		expectRefused(dialing("a", b, nil), b, "this is host c")
	})

	It("refuses a dialer with a different store ID, before it sends a call", func() {
		// Guards against a dialer that considers the connection open before the
		// acceptor has accepted it: its calls then count as possibly run, and it
		// redials the peer without a delay.
		b := startHost("b", func(c *Config) {
			c.CheckPeer = func(string, string) string { return "store id differs" }
		})
		a := dialing("a", b, nil)
		expectRefused(a, b, "store id differs")
		time.Sleep(300 * time.Millisecond)
		Expect(b.events.closedCount("handshake")).To(BeNumerically("<", 8))
		Expect(a.events.closedCount("closed")).To(BeZero())
	})

	It("refuses an acceptor with a different store ID", func() {
		b := startHost("b", nil)
		expectRefused(dialing("a", b, func(c *Config) {
			c.CheckPeer = func(string, string) string { return "store id differs" }
		}), b, "store id differs")
	})

	DescribeTable("refuses a hello that", func(change func(*hello), reason string) {
		b := startHost("b", nil)
		conn, err := net.Dial("tcp", b.Address())
		Expect(err).NotTo(HaveOccurred())
		defer conn.Close()
		Expect(exchangeHello(conn, change).Refused).To(ContainSubstring(reason))
		Expect(isClosedByPeer(conn)).To(BeTrue())
		Eventually(func() int { return b.events.closedCount("handshake") }, time.Second).Should(Equal(1))
	},
		Entry("has another protocol version", func(h *hello) { h.Version = ProtocolVersion + 1 }, "protocol version"),
		Entry("is meant for another host", func(h *hello) { h.To = "c" }, "this is host b"),
		Entry("has a short nonce", func(h *hello) { h.Nonce = []byte{1} }, "nonce"),
		Entry("has no host name", func(h *hello) { h.Host = "" }, "host name"),
		Entry("has the name of the acceptor", func(h *hello) { h.Host = "b" }, "host name"),
	)

	It("refuses a peer of another version on the dialing side", func() {
		raw, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		defer raw.Close()
		a := startHost("a", nil, Peer{Host: "b", Address: raw.Addr().String()})
		conn, err := raw.Accept()
		Expect(err).NotTo(HaveOccurred())
		defer conn.Close()
		body, _ := msgpack.Marshal(&challenge{Version: ProtocolVersion + 1, Host: "b"})
		writeRawFrame(conn, &frame{Kind: KindChallenge, Body: body})
		Eventually(func() error { return a.LastError("b") }, time.Second).Should(MatchError(ContainSubstring("protocol version")))
	})

	// Proofs that a peer without the key can send.
	DescribeTable("refuses a proof that is", func(forge func(b *testHost, c challenge) []byte) {
		b := startHost("b", nil)
		conn, err := net.Dial("tcp", b.Address())
		Expect(err).NotTo(HaveOccurred())
		defer conn.Close()
		body, _ := msgpack.Marshal(&proof{Proof: forge(b, exchangeHello(conn, nil))})
		writeRawFrame(conn, &frame{Kind: KindProof, Body: body})
		Expect(isClosedByPeer(conn)).To(BeTrue())
		Eventually(func() int { return b.events.closedCount("handshake") }, time.Second).Should(Equal(1))
	},
		Entry("reflected", func(_ *testHost, c challenge) []byte { return c.Proof }),
		Entry("replayed from an earlier connection", func(_ *testHost, _ challenge) []byte {
			return rawTransport("a").sign("dial", "a", "store-a", make([]byte, nonceBytes), make([]byte, nonceBytes))
		}),
		Entry("made for another store", func(_ *testHost, c challenge) []byte {
			return rawTransport("a").sign("dial", "a", "store-x", make([]byte, nonceBytes), c.Nonce)
		}),
		Entry("empty", func(*testHost, challenge) []byte { return nil }),
	)

	It("closes a connection that opens with a large frame", func() {
		b := startHost("b", nil)
		conn, err := net.Dial("tcp", b.Address())
		Expect(err).NotTo(HaveOccurred())
		defer conn.Close()
		_, err = conn.Write([]byte{0, 0, 0x20, 0})
		Expect(err).NotTo(HaveOccurred())
		Expect(isClosedByPeer(conn)).To(BeTrue())
	})
})
