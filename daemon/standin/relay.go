// Package standin provides small simulated versions of the components around the
// hosts: the network between them, executors and workers. The demo and the tests
// use them.
package standin

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Relay forwards TCP connections to one target. It can delay the bytes, limit
// their rate and hold them, to test network partitions and long-distance links.
type Relay struct {
	listener net.Listener
	target   string
	link     *Link

	mu     sync.Mutex
	conns  map[net.Conn]struct{}
	closed bool
}

// Link is the network link between two places. All relays between them share
// it. Each direction has the full bandwidth.
type Link struct {
	forward *direction
	reverse *direction
}

// direction is the state of one direction of a link.
type direction struct {
	latency        time.Duration
	bytesPerSecond int64

	// cut directions hold their bytes.
	cut atomic.Bool
	// bytes counts the bytes delivered.
	bytes atomic.Int64

	mu sync.Mutex
	// nextFree is when the direction has sent all chunks reserved so far.
	nextFree time.Time
}

// NewLink returns an open link. A bytesPerSecond of 0 means no limit.
func NewLink(latency time.Duration, bytesPerSecond int64) *Link {
	return &Link{
		forward: &direction{latency: latency, bytesPerSecond: bytesPerSecond},
		reverse: &direction{latency: latency, bytesPerSecond: bytesPerSecond},
	}
}

// Reversed returns the same link with its directions swapped, for a relay from
// the far end to the near end.
func (l *Link) Reversed() *Link { return &Link{forward: l.reverse, reverse: l.forward} }

// SetCut starts or ends a partition of the link. Bytes are held and delivered
// afterwards, as TCP retransmits them after a short partition.
func (l *Link) SetCut(cut bool) {
	l.forward.cut.Store(cut)
	l.reverse.cut.Store(cut)
}

// SetCutForward holds only the bytes towards the target, as when one direction of
// a route fails.
func (l *Link) SetCutForward(cut bool) { l.forward.cut.Store(cut) }

// SetCutReverse holds only the bytes from the target: requests arrive and responses
// do not.
func (l *Link) SetCutReverse(cut bool) { l.reverse.cut.Store(cut) }

// Bytes returns the number of bytes delivered in both directions.
func (l *Link) Bytes() int64 { return l.forward.bytes.Load() + l.reverse.bytes.Load() }

// deliveryTime reserves bandwidth for a chunk and returns its time of arrival.
// Chunks are sent one after the other and each arrives one latency after it was
// sent. Without a bandwidth limit, sending takes no time.
func (d *direction) deliveryTime(now time.Time, size int) time.Time {
	if d.bytesPerSecond == 0 {
		return now.Add(d.latency)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.nextFree.Before(now) {
		d.nextFree = now
	}
	d.nextFree = d.nextFree.Add(time.Duration(int64(size) * int64(time.Second) / d.bytesPerSecond))
	return d.nextFree.Add(d.latency)
}

// NewRelay listens on a free loopback port and forwards to the target.
func NewRelay(target string, link *Link) (*Relay, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, &SetupError{Step: "relay", Cause: err}
	}
	r := &Relay{listener: listener, target: target, link: link, conns: map[net.Conn]struct{}{}}
	go r.acceptLoop()
	return r, nil
}

// Address returns the address on which the relay listens.
func (r *Relay) Address() string { return r.listener.Addr().String() }

// Close stops the relay and closes its connections.
func (r *Relay) Close() {
	r.mu.Lock()
	r.closed = true
	for conn := range r.conns {
		_ = conn.Close()
	}
	r.mu.Unlock()
	_ = r.listener.Close()
}

func (r *Relay) acceptLoop() {
	for {
		conn, err := r.listener.Accept()
		if err != nil {
			return
		}
		if !r.track(conn) {
			return
		}
		go r.serve(conn)
	}
}

func (r *Relay) serve(client net.Conn) {
	defer r.untrack(client)
	r.waitOpen(r.link.forward)
	server, err := net.Dial("tcp", r.target)
	if err != nil {
		return
	}
	if !r.track(server) {
		return
	}
	defer r.untrack(server)
	done := make(chan struct{}, 2)
	go func() { r.copy(server, client, r.link.forward); done <- struct{}{} }()
	go func() { r.copy(client, server, r.link.reverse); done <- struct{}{} }()
	<-done
}

// track registers a connection, so that Close closes it. It returns false if the
// relay is closed already.
func (r *Relay) track(conn net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		_ = conn.Close()
		return false
	}
	r.conns[conn] = struct{}{}
	return true
}

func (r *Relay) untrack(conn net.Conn) {
	_ = conn.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, conn)
}

func (r *Relay) isClosed() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.closed
}

// chunk is data in transit and its time of delivery.
type chunk struct {
	data      []byte
	deliverAt time.Time
}

const (
	relayChunkBytes = 16 << 10
	// relayChunkWindow is the number of chunks in transit per direction of a
	// connection. Beyond it, the relay stops reading.
	relayChunkWindow = 64
	cutPollInterval  = 5 * time.Millisecond
)

// copy forwards bytes in one direction until either end closes.
func (r *Relay) copy(to io.Writer, from net.Conn, dir *direction) {
	chunks := make(chan chunk, relayChunkWindow)
	go r.read(from, chunks, dir)
	failed := false
	for c := range chunks {
		if failed {
			continue
		}
		if wait := time.Until(c.deliverAt); wait > 0 {
			time.Sleep(wait)
		}
		r.waitOpen(dir)
		dir.bytes.Add(int64(len(c.data)))
		if _, err := to.Write(c.data); err != nil {
			failed = true
			_ = from.Close()
		}
	}
}

// read splits the bytes of a connection into chunks with delivery times.
func (r *Relay) read(from net.Conn, chunks chan<- chunk, dir *direction) {
	defer close(chunks)
	for {
		buffer := make([]byte, relayChunkBytes)
		n, err := from.Read(buffer)
		if n > 0 {
			chunks <- chunk{data: buffer[:n], deliverAt: dir.deliveryTime(time.Now(), n)}
		}
		if err != nil {
			return
		}
	}
}

// waitOpen waits until the direction is not cut or the relay is closed.
func (r *Relay) waitOpen(dir *direction) {
	for dir.cut.Load() && !r.isClosed() {
		time.Sleep(cutPollInterval)
	}
}

// SetupError reports a stand-in that could not start or a request body that
// could not be encoded.
type SetupError struct {
	Step  string
	Cause error
}

// Error implements error.
func (e *SetupError) Error() string { return "stand-in: " + e.Step + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *SetupError) Unwrap() error { return e.Cause }
