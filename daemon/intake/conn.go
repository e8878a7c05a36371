package intake

import (
	"net"
	"sync/atomic"
	"time"
)

const (
	// headerTimeout bounds the time from the first byte of a request to the end of its
	// header. Conforming clients take at most 3 s.
	headerTimeout = 10 * time.Second
	// A body must arrive within bodyTimeout plus the time that its size takes at
	// minBodyBytesPerSecond. Conforming clients are idle for at most 15 s.
	bodyTimeout           = 30 * time.Second
	minBodyBytesPerSecond = 64 << 10
	// firstByteTimeout is the time after which a connection that never sent a byte is closed.
	firstByteTimeout = 60 * time.Second
	// lingerTimeout and lingerBytes bound what is read after a refusal, so that the client
	// receives the response instead of a reset connection.
	lingerTimeout = 300 * time.Millisecond
	lingerBytes   = 1 << 20
)

// phase is the progress of the request of a connection.
type phase int

const (
	phaseIdle phase = iota
	phaseReading
	phaseHandling
	phaseWriting
)

// Conn is an accepted connection whose requests are charged. Its server reads and writes it
// from one goroutine.
type Conn struct {
	net.Conn
	budget *Budget
	// serverTimeouts is set if the server limits the time for a request itself.
	serverTimeouts bool
	// interim removes an interim response for which the client has not asked, or is nil.
	interim *interimFilter
	// refused is set if the server has refused a request without reading its body.
	refused     bool
	hasReceived atomic.Bool

	// The fields below are guarded by budget.mu.
	requestBytes, bodyBytes int64
	// size is the number of bytes that are read or written in the present phase.
	size    int64
	since   time.Time
	phase   phase
	dropped bool
}

// listener wraps accepted connections in Conn.
type listener struct {
	net.Listener
	budget         *Budget
	serverTimeouts bool
}

// Listener returns a listener whose connections are charged against the budget. Unless
// serverTimeouts is set, which means that the server has a ReadTimeout, they limit the time
// for a request.
func (b *Budget) Listener(l net.Listener, serverTimeouts bool) net.Listener {
	return &listener{l, b, serverTimeouts}
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &Conn{Conn: conn, budget: l.budget, serverTimeouts: l.serverTimeouts}
	c.limitRead(firstByteTimeout)
	return c, nil
}

// limitRead limits the time for what is read next.
func (c *Conn) limitRead(d time.Duration) {
	if !c.serverTimeouts {
		_ = c.Conn.SetReadDeadline(time.Now().Add(d))
	}
}

// HasReceived reports whether any byte was received.
func (c *Conn) HasReceived() bool { return c.hasReceived.Load() }

// Read implements net.Conn. The first byte of a request is passed on once the request is
// charged.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	c.hasReceived.Store(true)
	if c.currentPhase() == phaseIdle && !c.begin() {
		return 0, net.ErrClosed
	}
	return n, err
}

func (c *Conn) currentPhase() phase {
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	return c.phase
}

func (c *Conn) enter(p phase, size int64) {
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	c.phase, c.size, c.since = p, size, time.Now()
}

// begin charges the buffers of a request and starts the time for its header. It returns false
// if the request is refused; the connection is then closed.
func (c *Conn) begin() bool {
	if !c.budget.charge(c, classRequest, requestBytes) {
		c.budget.events.count(ReasonBudget)
		_ = c.Conn.Close()
		return false
	}
	c.enter(phaseReading, 0)
	c.limitRead(headerTimeout)
	return true
}

// beginBuffered charges a request that was received together with the one before it. Its
// buffers exist already, so it is charged also if the budget is short.
func (c *Conn) beginBuffered() {
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	if c.phase != phaseIdle {
		return
	}
	c.budget.add(c, classRequest, requestBytes)
	c.phase, c.size, c.since = phaseReading, 0, time.Now()
}

// SetReadDeadline implements net.Conn. While a header is read, no deadline means
// headerTimeout.
func (c *Conn) SetReadDeadline(t time.Time) error {
	if t.IsZero() && !c.serverTimeouts && c.currentPhase() == phaseReading {
		t = time.Now().Add(headerTimeout)
	}
	return c.Conn.SetReadDeadline(t)
}

// Write implements net.Conn. It drops an interim response for which the client has not asked.
func (c *Conn) Write(p []byte) (int, error) {
	n := len(p)
	if c.interim != nil {
		p = c.interim.filter(p)
		if c.interim.done {
			c.interim = nil
		}
		if len(p) == 0 {
			return n, nil
		}
	}
	before := c.currentPhase()
	c.enter(phaseWriting, int64(len(p)))
	written, err := c.Conn.Write(p)
	c.enter(before, 0)
	if err != nil {
		return min(written, n), err
	}
	return n, nil
}

// startHandling records that the request was received. Its read buffers are free.
func (c *Conn) startHandling() {
	c.enter(phaseHandling, 0)
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	if c.requestBytes > handlingBytes && !c.dropped {
		c.budget.add(c, classRequest, handlingBytes-c.requestBytes)
	}
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.budget.release(c)
	if c.refused {
		c.linger()
	}
	return c.Conn.Close()
}

// linger reads what the client still sends after a refusal.
func (c *Conn) linger() {
	_ = c.Conn.SetReadDeadline(time.Now().Add(lingerTimeout))
	buffer := make([]byte, handlingBytes/2)
	for left := lingerBytes; left > 0; {
		n, err := c.Conn.Read(buffer)
		if err != nil {
			return
		}
		left -= n
	}
}
