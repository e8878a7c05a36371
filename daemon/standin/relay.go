// Package standin has small stand-ins for what surrounds the system: the
// network between hosts, executors and workers. The demo and the tests use them.
package standin

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Relay forwards TCP connections to one target. It can delay, slow down and
// hold the bytes, so that a network partition or a long link can be tested.
type Relay struct {
	listener net.Listener
	target   string
	link     *Link

	mu    sync.Mutex
	conns map[net.Conn]struct{}
	done  bool
}

// Link is the state that the relays between two places share. Each direction
// has the full bandwidth.
type Link struct {
	there *direction
	back  *direction
}

// direction is one direction of a link.
type direction struct {
	latency        time.Duration
	bytesPerSecond int64

	cut   atomic.Bool
	bytes atomic.Int64

	mu       sync.Mutex
	nextFree time.Time
}

// NewLink returns an open link. A bytesPerSecond of 0 means no limit.
func NewLink(latency time.Duration, bytesPerSecond int64) *Link {
	return &Link{
		there: &direction{latency: latency, bytesPerSecond: bytesPerSecond},
		back:  &direction{latency: latency, bytesPerSecond: bytesPerSecond},
	}
}

// Reversed returns the same link seen from its other end, for a relay whose
// target is at the near end.
func (l *Link) Reversed() *Link { return &Link{there: l.back, back: l.there} }

// SetCut holds all bytes of the link, or lets them through again. Bytes are
// held and not lost, as with a partition that TCP outlives by retransmission.
func (l *Link) SetCut(cut bool) {
	l.there.cut.Store(cut)
	l.back.cut.Store(cut)
}

// SetCutThere holds the bytes towards the target only, as when one direction
// of a route fails.
func (l *Link) SetCutThere(cut bool) { l.there.cut.Store(cut) }

// SetCutBack holds the bytes from the target only: what is asked arrives, and
// the answer does not.
func (l *Link) SetCutBack(cut bool) { l.back.cut.Store(cut) }

// Bytes returns how many bytes have crossed the link in both directions.
func (l *Link) Bytes() int64 { return l.there.bytes.Load() + l.back.bytes.Load() }

// deliveryTime reserves the direction for a chunk and returns when it arrives.
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
		return nil, &SetupError{What: "relay", Cause: err}
	}
	r := &Relay{listener: listener, target: target, link: link, conns: map[net.Conn]struct{}{}}
	go r.acceptLoop()
	return r, nil
}

// Address returns where the relay listens.
func (r *Relay) Address() string { return r.listener.Addr().String() }

// Close ends the relay and its connections.
func (r *Relay) Close() {
	r.mu.Lock()
	r.done = true
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

func (r *Relay) serve(near net.Conn) {
	defer r.drop(near)
	r.waitOpen(r.link.there)
	far, err := net.Dial("tcp", r.target)
	if err != nil {
		return
	}
	if !r.track(far) {
		return
	}
	defer r.drop(far)
	done := make(chan struct{}, 2)
	go func() { r.copy(far, near, r.link.there); done <- struct{}{} }()
	go func() { r.copy(near, far, r.link.back); done <- struct{}{} }()
	<-done
}

func (r *Relay) track(conn net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.done {
		_ = conn.Close()
		return false
	}
	r.conns[conn] = struct{}{}
	return true
}

func (r *Relay) drop(conn net.Conn) {
	_ = conn.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, conn)
}

func (r *Relay) closed() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.done
}

// chunk is data on its way.
type chunk struct {
	data []byte
	due  time.Time
}

const (
	relayChunkBytes  = 16 << 10
	relayChunkWindow = 64
	cutPollInterval  = 5 * time.Millisecond
)

// copy moves bytes one way until either end closes.
func (r *Relay) copy(to io.Writer, from net.Conn, way *direction) {
	chunks := make(chan chunk, relayChunkWindow)
	go r.read(from, chunks, way)
	failed := false
	for c := range chunks {
		if failed {
			continue
		}
		if wait := time.Until(c.due); wait > 0 {
			time.Sleep(wait)
		}
		r.waitOpen(way)
		way.bytes.Add(int64(len(c.data)))
		if _, err := to.Write(c.data); err != nil {
			failed = true
			_ = from.Close()
		}
	}
}

func (r *Relay) read(from net.Conn, chunks chan<- chunk, way *direction) {
	defer close(chunks)
	for {
		buffer := make([]byte, relayChunkBytes)
		n, err := from.Read(buffer)
		if n > 0 {
			chunks <- chunk{data: buffer[:n], due: way.deliveryTime(time.Now(), n)}
		}
		if err != nil {
			return
		}
	}
}

// waitOpen returns when the direction is not cut, or the relay is closed.
func (r *Relay) waitOpen(way *direction) {
	for way.cut.Load() && !r.closed() {
		time.Sleep(cutPollInterval)
	}
}

// SetupError reports a stand-in that could not start.
type SetupError struct {
	What  string
	Cause error
}

// Error implements error.
func (e *SetupError) Error() string { return "cannot start " + e.What + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *SetupError) Unwrap() error { return e.Cause }
