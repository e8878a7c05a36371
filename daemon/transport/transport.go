package transport

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"cranberrydrum.dev/daemon/panics"
)

// Peer is the name and address of another host of the deployment.
type Peer struct {
	Host    string
	Address string
}

// Handler receives the messages and calls of peers. Both methods are called on
// goroutines of the transport and must not retain the body after they return.
type Handler interface {
	// HandleMessage processes a one-way message.
	HandleMessage(from string, kind Kind, body []byte)
	// HandleCall runs a call and returns its result. It may take up to the
	// remaining time.
	HandleCall(from, method string, body []byte, remaining time.Duration) ([]byte, error)
}

// Observer is notified of frames and closed connections, for metrics.
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
	// CheckPeer returns the reason to refuse a host with this store, or an
	// empty string.
	CheckPeer         func(host, storeID string) string
	HeartbeatInterval time.Duration
	// SilenceTimeout is the time without progress of a read or write after
	// which a connection is closed.
	SilenceTimeout time.Duration
	// MaxQueueFrames bounds the frames in each send queue of one peer.
	MaxQueueFrames int
	// MaxQueueBytes bounds the total size of the bodies in each send queue of
	// one peer.
	MaxQueueBytes int
	// MaxCallBytes bounds the total size of the bodies of the calls of all peers
	// that run on this host, and that of the large frames that are being read.
	MaxCallBytes int
	// IsBulkMethod reports whether a method may have many large replies. A call
	// of such a method is refused as not run while more than MaxQueueBytes of
	// replies are queued for its peer. If IsBulkMethod is nil, no method is a
	// bulk method.
	IsBulkMethod func(method string) bool
	Logger       logr.Logger
	Observer     Observer
	// Panics counts panics in the handling of calls and messages; it may be nil.
	Panics panics.Observer
}

// Defaults of Config.
const (
	DefaultHeartbeatInterval = 500 * time.Millisecond
	DefaultSilenceTimeout    = 2 * time.Second
	DefaultMaxQueueFrames    = 1024
	// DefaultMaxQueueBytes takes 1.1 s to send at 30 Mbit/s, so that a call that
	// fetches a configuration is answered within the 3 s in which the
	// configuration must take effect.
	DefaultMaxQueueBytes = 4 << 20
	DefaultMaxCallBytes  = 64 << 20
)

const (
	minRedialDelay = 50 * time.Millisecond
	maxRedialDelay = time.Second
)

// Transport connects this host with its peers.
type Transport struct {
	cfg      Config
	handler  Handler
	listener net.Listener

	// ctx is cancelled when the transport closes.
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
	// runningCalls counts the calls of peers that are running in the handler.
	runningCalls sync.WaitGroup
	// runningCallBytes is the size of the bodies of those calls.
	runningCallBytes atomic.Int64
	// reads bounds the frames that are being read.
	reads frameReads

	mu    sync.Mutex
	peers map[string]*outbound
	// conns holds all open connections, including those in the handshake.
	conns  map[net.Conn]struct{}
	closed bool
}

// New returns a transport. Start starts it.
func New(cfg Config, handler Handler) *Transport {
	cfg = withDefaults(cfg)
	ctx, cancel := context.WithCancel(context.Background())
	return &Transport{
		cfg:     cfg,
		handler: handler,
		ctx:     ctx,
		cancel:  cancel,
		peers:   map[string]*outbound{},
		conns:   map[net.Conn]struct{}{},
		reads:   frameReads{limit: int64(cfg.MaxCallBytes)},
	}
}

func withDefaults(cfg Config) Config {
	if cfg.HeartbeatInterval <= 0 {
		cfg.HeartbeatInterval = DefaultHeartbeatInterval
	}
	if cfg.SilenceTimeout <= 0 {
		cfg.SilenceTimeout = DefaultSilenceTimeout
	}
	if cfg.MaxQueueFrames <= 0 {
		cfg.MaxQueueFrames = DefaultMaxQueueFrames
	}
	if cfg.MaxQueueBytes <= 0 {
		cfg.MaxQueueBytes = DefaultMaxQueueBytes
	}
	if cfg.MaxCallBytes <= 0 {
		cfg.MaxCallBytes = DefaultMaxCallBytes
	}
	if cfg.IsBulkMethod == nil {
		cfg.IsBulkMethod = func(string) bool { return false }
	}
	if cfg.CheckPeer == nil {
		cfg.CheckPeer = func(string, string) string { return "" }
	}
	if cfg.Observer == nil {
		cfg.Observer = nopObserver{}
	}
	return cfg
}

// Start listens for connections and starts to dial the peers.
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

// Address returns the listen address of the transport.
func (t *Transport) Address() string { return t.listener.Addr().String() }

// AddPeer starts to dial a peer. A peer that is already known is not changed.
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

// OpenConnections returns the number of connections with peers, including those
// in the handshake.
func (t *Transport) OpenConnections() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.conns)
}

// LastError returns the error of the last connection attempt to a peer, or nil
// if that attempt succeeded.
func (t *Transport) LastError(host string) error {
	out := t.outboundTo(host)
	if out == nil {
		return nil
	}
	return out.lastError()
}

// Close closes all connections and waits for the goroutines of the transport,
// but not for calls that are still running in the handler: those may end only
// after other components have been stopped. WaitCalls waits for them.
func (t *Transport) Close() {
	t.mu.Lock()
	if t.closed {
		t.mu.Unlock()
		return
	}
	t.closed = true
	t.cancel()
	for conn := range t.conns {
		_ = conn.Close()
	}
	t.mu.Unlock()
	if t.listener != nil {
		_ = t.listener.Close()
	}
	t.wg.Wait()
}

// WaitCalls waits until no call is running in the handler. Call it after Close,
// and after the components that the handler waits for have been stopped.
func (t *Transport) WaitCalls() { t.runningCalls.Wait() }

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
			if t.isClosed() {
				return
			}
			// Accept may fail temporarily, for example when the process has
			// run out of file descriptors.
			t.sleep(minRedialDelay)
			continue
		}
		if !t.track(conn) {
			_ = conn.Close()
			return
		}
		limitSendBuffer(conn)
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
	t.conns[conn] = struct{}{}
	return true
}

func (t *Transport) untrack(conn net.Conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.conns, conn)
}

func (t *Transport) withDeadlines(conn net.Conn) *deadlineConn {
	return &deadlineConn{conn: conn, timeout: t.cfg.SilenceTimeout}
}

func (t *Transport) isClosed() bool {
	return t.ctx.Err() != nil
}

// sleep waits for a duration or until the transport is closed.
func (t *Transport) sleep(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-t.ctx.Done():
	}
}

type nopObserver struct{}

func (nopObserver) FrameSent(string, Kind, int)       {}
func (nopObserver) FrameReceived(string, Kind, int)   {}
func (nopObserver) FrameDropped(string, Kind, string) {}
func (nopObserver) ConnectionClosed(string, string)   {}
