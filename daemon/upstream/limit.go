package upstream

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
)

// connLimit bounds the open connections to one executor. It outlives the
// clients of a forgotten executor while their last attempts run.
type connLimit struct {
	mu   sync.Mutex
	max  int
	open int
}

// resize sets the bound and reports whether more connections are open.
func (l *connLimit) resize(max int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.max = max
	return l.open > max
}

func (l *connLimit) acquire() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.open >= l.max {
		return false
	}
	l.open++
	return true
}

func (l *connLimit) release() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open--
}

func (l *connLimit) inUse() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.open > 0
}

// countedConn gives its place back when it is closed.
type countedConn struct {
	net.Conn
	limit *connLimit
	once  sync.Once
}

// Close implements net.Conn.
func (c *countedConn) Close() error {
	err := c.Conn.Close()
	c.once.Do(c.limit.release)
	return err
}

// executorClients are the connections to one executor: kept ones for reuse and
// fresh ones that are opened for one attempt each. Together they stay within
// the share of this host.
type executorClients struct {
	limit *connLimit
	kept  *fasthttp.HostClient
	fresh *fasthttp.HostClient
	// gone is set when the executor is forgotten, so that the connections of
	// its last attempts are not kept.
	gone atomic.Bool
}

func (p *Pool) newClients(address string, limit *connLimit) *executorClients {
	c := &executorClients{limit: limit}
	c.kept = p.newClient(address, c.dialKept)
	c.fresh = p.newClient(address, c.dialFresh)
	return c
}

func (c *executorClients) closeIdle() {
	c.kept.CloseIdleConnections()
	c.fresh.CloseIdleConnections()
}

func (c *executorClients) dialKept(address string, timeout time.Duration) (net.Conn, error) {
	return c.dial(address, timeout)
}

// dialFresh closes connections that are kept idle while the share is used up.
// Another attempt may take the place of a closed connection before this one
// does, so it goes on until it has a place or no idle connection is left.
func (c *executorClients) dialFresh(address string, timeout time.Duration) (net.Conn, error) {
	for {
		conn, err := c.dial(address, timeout)
		if _, full := err.(*noConnectionError); !full || c.kept.IdleConnsCount() == 0 {
			return conn, err
		}
		idle, err := c.kept.AcquireConn(timeout, false)
		if err != nil {
			return nil, err
		}
		c.kept.CloseConn(idle)
	}
}

func (c *executorClients) dial(address string, timeout time.Duration) (net.Conn, error) {
	if !c.limit.acquire() {
		return nil, &noConnectionError{address: address}
	}
	if timeout <= 0 || timeout > dialTimeout {
		timeout = dialTimeout
	}
	conn, err := net.DialTimeout("tcp", address, timeout)
	if err != nil {
		c.limit.release()
		return nil, &dialError{cause: err}
	}
	return &countedConn{Conn: conn, limit: c.limit}, nil
}
