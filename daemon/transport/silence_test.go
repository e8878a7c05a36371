package transport

import (
	"net"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cranberrydrum.dev/daemon/standin"
)

var _ = Describe("silent connections", func() {
	It("are closed and dialled again by the dialing host", func() {
		raw := startRawHost()
		a := startHost("a", nil, Peer{Host: "b", Address: raw.listener.Addr().String()})
		silent := raw.next()
		started := time.Now()
		second := raw.next()
		Expect(time.Since(started)).To(BeNumerically(">=", testSilence-50*time.Millisecond))
		Expect(a.seen.closedFor("silent")).To(Equal(1))
		Expect(closes(silent)).To(BeTrue())
		beat(second)
		Consistently(func() bool { return a.Connected("b") }, 2*testSilence).Should(BeTrue())
	})

	It("are closed by the accepting host", func() {
		b := startHost("b", nil)
		conn := rawDial(b, "a")
		Expect(closes(conn)).To(BeTrue())
		Eventually(func() int { return b.seen.closedFor("silent") }, time.Second).Should(Equal(1))
	})

	It("recover when a link is cut and restored", func() {
		b := startHost("b", nil)
		link := standin.NewLink(0, 0)
		relay, err := standin.NewRelay(b.Address(), link)
		Expect(err).NotTo(HaveOccurred())
		defer relay.Close()
		a := startHost("a", nil, Peer{Host: "b", Address: relay.Address()})
		a.waitFor("b")
		link.SetCut(true)
		Eventually(func() bool { return a.Connected("b") }, 3*testSilence, 5*time.Millisecond).Should(BeFalse())
		link.SetCut(false)
		a.waitFor("b")
		body, err := a.Call("b", "m", []byte("again"), time.Second)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(body)).To(Equal("again"))
	})

	It("do not include those on which a large frame takes long", func() {
		// Guards against a timeout per frame, which closed busy links and sent
		// the same bytes again: 768 KiB take about 600 ms here, twice the
		// silence timeout, in each direction.
		b := startHost("b", nil)
		relay, err := standin.NewRelay(b.Address(), standin.NewLink(0, 1280<<10))
		Expect(err).NotTo(HaveOccurred())
		defer relay.Close()
		a := startHost("a", nil, Peer{Host: "b", Address: relay.Address()})
		a.waitFor("b")
		large := []byte(strings.Repeat("x", 768<<10))
		body, err := a.Call("b", "m", large, 5*time.Second)
		Expect(err).NotTo(HaveOccurred())
		Expect(body).To(HaveLen(len(large)))
		Expect(a.seen.closedFor("silent") + b.seen.closedFor("silent")).To(BeZero())
	})
})

// countAccepts closes each connection at once and counts them.
func countAccepts(listener net.Listener) *atomic.Int64 {
	var accepts atomic.Int64
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			accepts.Add(1)
			_ = conn.Close()
		}
	}()
	return &accepts
}

var _ = Describe("redialling", func() {
	It("pauses longer after each connection that ends at once", func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		defer listener.Close()
		accepts := countAccepts(listener)
		startHost("a", nil, Peer{Host: "b", Address: listener.Addr().String()})
		time.Sleep(500 * time.Millisecond)
		Expect(accepts.Load()).To(And(BeNumerically(">=", 2), BeNumerically("<=", 6)))
	})
})
