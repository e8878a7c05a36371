package transport

import (
	"net"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/vmihailenco/msgpack/v5"
)

func TestTransport(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "transport")
}

const (
	testKey     = "a-key-of-twenty-bytes"
	testSilence = 300 * time.Millisecond
)

// recorder is an Observer that counts the events of a transport.
type recorder struct {
	mu      sync.Mutex
	closed  map[string]int
	dropped map[string]int
	sent    map[Kind]int
}

func newRecorder() *recorder {
	return &recorder{closed: map[string]int{}, dropped: map[string]int{}, sent: map[Kind]int{}}
}

func (r *recorder) FrameSent(_ string, kind Kind, _ int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sent[kind]++
}

func (r *recorder) FrameReceived(string, Kind, int) {}

func (r *recorder) FrameDropped(_ string, kind Kind, reason string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dropped[kind.String()+"/"+reason]++
}

func (r *recorder) ConnectionClosed(_, reason string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed[reason]++
}

func (r *recorder) closedCount(reason string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.closed[reason]
}

func (r *recorder) droppedCount(what string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.dropped[what]
}

// testHandler runs calls with the function onCall and records messages.
type testHandler struct {
	onCall   func(method string, body []byte, remaining time.Duration) ([]byte, error)
	messages chan string
}

func newHandler() *testHandler {
	echo := func(_ string, body []byte, _ time.Duration) ([]byte, error) { return body, nil }
	return &testHandler{onCall: echo, messages: make(chan string, 4096)}
}

func (h *testHandler) HandleMessage(_ string, kind Kind, body []byte) {
	h.messages <- kind.String() + ":" + string(body)
}

func (h *testHandler) HandleCall(_, method string, body []byte, remaining time.Duration) ([]byte, error) {
	return h.onCall(method, body, remaining)
}

// testHost is a running transport with its recorder and handler.
type testHost struct {
	*Transport
	events  *recorder
	handler *testHandler
}

func startHost(name string, change func(*Config), peers ...Peer) *testHost {
	h := &testHost{events: newRecorder(), handler: newHandler()}
	cfg := Config{
		Host:              name,
		StoreID:           "store-" + name,
		Listen:            "127.0.0.1:0",
		Peers:             peers,
		Key:               []byte(testKey),
		HeartbeatInterval: testSilence / 5,
		SilenceTimeout:    testSilence,
		Logger:            logr.Discard(),
		Observer:          h.events,
	}
	if change != nil {
		change(&cfg)
	}
	h.Transport = New(cfg, h.handler)
	Expect(h.Start()).To(Succeed())
	DeferCleanup(h.Close)
	return h
}

func (h *testHost) waitConnected(peer string) {
	GinkgoHelper()
	Eventually(func() bool { return h.Connected(peer) }, 3*time.Second, 5*time.Millisecond).Should(BeTrue())
}

// connectedPair starts hosts a and b and waits until a has connected to b.
func connectedPair(changeA, changeB func(*Config)) (a, b *testHost) {
	b = startHost("b", changeB)
	a = startHost("a", changeA, Peer{Host: "b", Address: b.Address()})
	a.waitConnected("b")
	return a, b
}

// rawDial connects to a host and completes the handshake under a peer's name.
func rawDial(h *testHost, as string) net.Conn {
	GinkgoHelper()
	conn, err := net.Dial("tcp", h.Address())
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = conn.Close() })
	Expect(rawTransport(as).dialHandshake(conn, h.cfg.Host)).To(Succeed())
	return conn
}

// rawTransport returns a transport that is never started and only performs
// handshakes.
func rawTransport(as string) *Transport {
	return New(Config{Host: as, StoreID: "store-" + as, Key: []byte(testKey), Logger: logr.Discard()}, newHandler())
}

// rawHost is a listener under the host name b. The test reads and writes the
// frames of its connections itself.
type rawHost struct {
	listener net.Listener
	conns    chan net.Conn
}

// startRawHost accepts connections and completes their handshakes.
func startRawHost() *rawHost {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	r := &rawHost{listener: listener, conns: make(chan net.Conn, 16)}
	own := rawTransport("b")
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			if _, err := own.acceptHandshake(conn); err == nil {
				r.conns <- conn
			}
		}
	}()
	DeferCleanup(func() { _ = listener.Close() })
	return r
}

func (r *rawHost) nextConn() net.Conn {
	GinkgoHelper()
	var conn net.Conn
	Eventually(r.conns, 3*time.Second).Should(Receive(&conn))
	DeferCleanup(func() { _ = conn.Close() })
	return conn
}

// sendHeartbeats sends heartbeats on a raw connection until the test ends or a
// write fails, so that the connection is not closed as silent.
func sendHeartbeats(conn net.Conn) {
	stop := make(chan struct{})
	DeferCleanup(func() { close(stop) })
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(testSilence / 5):
				data, _ := encodeFrame(&frame{Kind: KindHeartbeat})
				if _, err := conn.Write(data); err != nil {
					return
				}
			}
		}
	}()
}

// readCall reads frames until the next call and returns it.
func readCall(conn net.Conn) *frame {
	GinkgoHelper()
	for {
		f, err := readRawFrame(conn)
		Expect(err).NotTo(HaveOccurred())
		if f.Kind == KindCall {
			return f
		}
	}
}

func readRawFrame(conn net.Conn) (*frame, error) {
	_ = conn.SetReadDeadline(time.Now().Add(3 * time.Second))
	f, _, err := readFrame(conn, MaxFrameBytes)
	return f, err
}

func writeRawFrame(conn net.Conn, f *frame) {
	GinkgoHelper()
	data, err := encodeFrame(f)
	Expect(err).NotTo(HaveOccurred())
	_, err = conn.Write(data)
	Expect(err).NotTo(HaveOccurred())
}

// helloFrame returns a hello frame of host a to host b.
func helloFrame(change func(*hello)) *frame {
	h := hello{Version: ProtocolVersion, Host: "a", To: "b", StoreID: "store-a", Nonce: make([]byte, nonceBytes)}
	if change != nil {
		change(&h)
	}
	body, err := msgpack.Marshal(&h)
	Expect(err).NotTo(HaveOccurred())
	return &frame{Kind: KindHello, Body: body}
}

// exchangeHello sends a hello and returns the challenge of the acceptor.
func exchangeHello(conn net.Conn, change func(*hello)) challenge {
	GinkgoHelper()
	writeRawFrame(conn, helloFrame(change))
	f, err := readRawFrame(conn)
	Expect(err).NotTo(HaveOccurred())
	var c challenge
	Expect(msgpack.Unmarshal(f.Body, &c)).To(Succeed())
	return c
}

// isClosedByPeer reports whether the peer closes a connection within 3 s.
func isClosedByPeer(conn net.Conn) bool {
	_ = conn.SetReadDeadline(time.Now().Add(3 * time.Second))
	buffer := make([]byte, 4096)
	for {
		if _, err := conn.Read(buffer); err != nil {
			netErr, ok := err.(net.Error)
			return !ok || !netErr.Timeout()
		}
	}
}
