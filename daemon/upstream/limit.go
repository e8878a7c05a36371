package upstream

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
)

// connLimit bounds the open connections to one executor. After CloseExecutor it
// is kept until the last attempts of the old clients have ended.
type connLimit struct {
	mu   sync.Mutex
	max  int
	open int
}

// resize sets the bound and reports whether more connections than that are open.
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

// countedConn releases its share of the limit when it is closed. It starts no request that
// the executor must not get any more.
type countedConn struct {
	net.Conn
	clients *executorClients
	once    sync.Once
	// requestStarted is true from the first write of a request to the first read of its
	// response. One goroutine at a time uses a connection.
	requestStarted bool
}

// Write implements net.Conn. Only the first write of a request can be refused: an executor
// that gets the beginning of a request must get the rest of it.
func (c *countedConn) Write(p []byte) (int, error) {
	if !c.requestStarted && !c.clients.takesRequests() {
		return 0, &withdrawnError{address: c.RemoteAddr().String()}
	}
	c.requestStarted = true
	return c.Conn.Write(p)
}

// Read implements net.Conn.
func (c *countedConn) Read(p []byte) (int, error) {
	c.requestStarted = false
	return c.Conn.Read(p)
}

// Close implements net.Conn.
func (c *countedConn) Close() error {
	err := c.Conn.Close()
	c.once.Do(c.clients.limit.release)
	return err
}

// executorClients holds the connections to one executor: keep-alive connections,
// which are reused, and fresh connections, each of which is opened for a single
// attempt. Together they stay within the share of this host.
type executorClients struct {
	limit     *connLimit
	keepAlive *fasthttp.HostClient
	fresh     *fasthttp.HostClient
	// removed is set by CloseExecutor and Close, so that the connections of the
	// last attempts are closed afterwards.
	removed atomic.Bool
	// mayStart is that of the last attempt.
	mayStart atomic.Pointer[func() bool]
}

func (c *executorClients) takesRequests() bool {
	mayStart := c.mayStart.Load()
	return mayStart == nil || *mayStart == nil || (*mayStart)()
}

func (p *Pool) newClients(address string, limit *connLimit) *executorClients {
	c := &executorClients{limit: limit}
	c.keepAlive = p.newClient(address, c.dialKeepAlive)
	c.fresh = p.newClient(address, c.dialFresh)
	return c
}

func (c *executorClients) closeIdle() {
	c.keepAlive.CloseIdleConnections()
	c.fresh.CloseIdleConnections()
}

func (c *executorClients) dialKeepAlive(address string, timeout time.Duration) (net.Conn, error) {
	return c.dial(address, timeout)
}

// dialFresh opens a connection. If the share is used up, it closes an idle
// keep-alive connection and tries again. Another attempt may use the released
// share first, so it repeats this until it has a connection or none is idle.
func (c *executorClients) dialFresh(address string, timeout time.Duration) (net.Conn, error) {
	for {
		conn, err := c.dial(address, timeout)
		if _, full := err.(*noConnectionError); !full || c.keepAlive.IdleConnsCount() == 0 {
			return conn, err
		}
		idle, err := c.keepAlive.AcquireConn(timeout, false)
		if err != nil {
			return nil, err
		}
		c.keepAlive.CloseConn(idle)
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
	return &countedConn{Conn: conn, clients: c}, nil
}
