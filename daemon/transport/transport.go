package transport

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
)

// Peer is another host of the deployment.
type Peer struct {
	Host    string
	Address string
}

// Handler receives what peers send. Both functions are called on goroutines
// of the transport and must not keep the payload after they return.
type Handler interface {
	// HandleMessage takes a one-way message.
	HandleMessage(from string, kind Kind, body []byte)
	// HandleCall answers a call. It may take as long as the remaining time.
	HandleCall(from, method string, body []byte, remaining time.Duration) ([]byte, error)
}

// Observer counts what the transport does.
type Observer interface {
	FrameSent(peer string, kind Kind, bytes int)
	FrameReceived(peer string, kind Kind, bytes int)
	FrameDropped(peer string, kind Kind, reason string)
	ConnectionClosed(peer, reason string)
}

// Config describes this host and its peers.
type Config struct {
	Host    string
	StoreID string
	Listen  string
	Peers   []Peer
	// Key authenticates the hosts to each other.
	Key []byte
	// CheckPeer returns why a host with this store must be refused, or nothing.
	CheckPeer         func(host, storeID string) string
	HeartbeatInterval time.Duration
	// SilenceTimeout closes a connection on which nothing was received.
	SilenceTimeout time.Duration
	// QueueFrames bounds the frames that wait for one peer.
	QueueFrames int
	// QueueBytes bounds the bodies of the calls, and apart from them those of
	// the other messages, that wait for one peer.
	QueueBytes int
	// CallBytes bounds the bodies of the calls that all peers run here.
	CallBytes int
	// Bulk names the methods whose replies may be large and many. Such a call
	// is refused as not run while replies of more than QueueBytes wait for its
	// peer; nil stands for none.
	Bulk     func(method string) bool
	Logger   logr.Logger
	Observer Observer
}

// Defaults of the link between two hosts.
const (
	DefaultHeartbeatInterval = 500 * time.Millisecond
	DefaultSilenceTimeout    = 2 * time.Second
	DefaultQueueFrames       = 1024
	// DefaultQueueBytes takes 1.1 s at 30 Mbit/s, so that a call that fetches a
	// configuration is answered within the 3 s in which it has to be in force.
	DefaultQueueBytes = 4 << 20
	DefaultCallBytes  = 64 << 20
)

const (
	minRedial = 50 * time.Millisecond
	maxRedial = time.Second
)

// Transport connects this host with its peers.
type Transport struct {
	cfg      Config
	handler  Handler
	listener net.Listener

	// stop is done when the transport closes.
	stop   context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
	// calls counts the calls of peers that a handler still answers.
	calls sync.WaitGroup
	// callBytes is the size of the bodies of those calls.
	callBytes atomic.Int64

	mu    sync.Mutex
	peers map[string]*outbound
	// open holds all connections, those in their handshake included.
	open   map[net.Conn]struct{}
	closed bool
}

// New returns a transport that is not yet started.
func New(cfg Config, handler Handler) *Transport {
	cfg = withDefaults(cfg)
	stop, cancel := context.WithCancel(context.Background())
	return &Transport{
		cfg:     cfg,
		handler: handler,
		stop:    stop,
		cancel:  cancel,
		peers:   map[string]*outbound{},
		open:    map[net.Conn]struct{}{},
	}
}

func withDefaults(cfg Config) Config {
	if cfg.HeartbeatInterval <= 0 {
		cfg.HeartbeatInterval = DefaultHeartbeatInterval
	}
	if cfg.SilenceTimeout <= 0 {
		cfg.SilenceTimeout = DefaultSilenceTimeout
	}
	if cfg.QueueFrames <= 0 {
		cfg.QueueFrames = DefaultQueueFrames
	}
	if cfg.QueueBytes <= 0 {
		cfg.QueueBytes = DefaultQueueBytes
	}
	if cfg.CallBytes <= 0 {
		cfg.CallBytes = DefaultCallBytes
	}
	if cfg.Bulk == nil {
		cfg.Bulk = func(string) bool { return false }
	}
	if cfg.CheckPeer == nil {
		cfg.CheckPeer = func(string, string) string { return "" }
	}
	if cfg.Observer == nil {
		cfg.Observer = nopObserver{}
	}
	return cfg
}

// Start listens and begins to dial the peers.
func (t *Transport) Start() error {
	listener, err := net.Listen("tcp", t.cfg.Listen)
	if err != nil {
		return &ListenError{Address: t.cfg.Listen, Cause: err}
	}
	t.listener = listener
	t.wg.Add(1)
	go t.acceptLoop()
	for _, peer := range t.cfg.Peers {
		t.AddPeer(peer)
	}
	return nil
}

// Address returns the address that the transport listens on.
func (t *Transport) Address() string { return t.listener.Addr().String() }

// AddPeer begins to dial a peer. A known peer is left as it is.
func (t *Transport) AddPeer(peer Peer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed || peer.Host == t.cfg.Host || t.peers[peer.Host] != nil {
		return
	}
	out := newOutbound(t, peer)
	t.peers[peer.Host] = out
	t.wg.Add(1)
	go out.run()
}

// Connected reports whether the connection to a peer is open.
func (t *Transport) Connected(host string) bool {
	out := t.outboundTo(host)
	return out != nil && out.connected()
}

// LastError returns why the last connection attempt to a peer failed.
func (t *Transport) LastError(host string) error {
	out := t.outboundTo(host)
	if out == nil {
		return nil
	}
	return out.lastError()
}

// Close ends all connections and waits for the goroutines of the transport,
// but not for calls that the handler still answers: it may need more than the
// transport to be stopped. Wait waits for those.
func (t *Transport) Close() {
	t.mu.Lock()
	if t.closed {
		t.mu.Unlock()
		return
	}
	t.closed = true
	t.cancel()
	for conn := range t.open {
		_ = conn.Close()
	}
	t.mu.Unlock()
	if t.listener != nil {
		_ = t.listener.Close()
	}
	t.wg.Wait()
}

// Wait returns when no handler answers a call any more. It is called after
// Close, and after what the handler waits for has been stopped.
func (t *Transport) Wait() { t.calls.Wait() }

func (t *Transport) outboundTo(host string) *outbound {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.peers[host]
}

func (t *Transport) acceptLoop() {
	defer t.wg.Done()
	for {
		conn, err := t.listener.Accept()
		if err != nil {
			if t.stopping() {
				return
			}
			// Accept fails for a while when file descriptors run out.
			t.pause(minRedial)
			continue
		}
		if !t.track(conn) {
			_ = conn.Close()
			return
		}
		boundSendBuffer(conn)
		t.wg.Add(1)
		go t.serve(conn)
	}
}

func (t *Transport) track(conn net.Conn) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return false
	}
	t.open[conn] = struct{}{}
	return true
}

func (t *Transport) untrack(conn net.Conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.open, conn)
}

func (t *Transport) stream(conn net.Conn) *stream {
	return &stream{conn: conn, silence: t.cfg.SilenceTimeout}
}

func (t *Transport) stopping() bool {
	return t.stop.Err() != nil
}

// pause waits unless the transport stops first.
func (t *Transport) pause(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-t.stop.Done():
	}
}

type nopObserver struct{}

func (nopObserver) FrameSent(string, Kind, int)       {}
func (nopObserver) FrameReceived(string, Kind, int)   {}
func (nopObserver) FrameDropped(string, Kind, string) {}
func (nopObserver) ConnectionClosed(string, string)   {}
