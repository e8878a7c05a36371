package standin

import (
	"net"
	"sync"
	"sync/atomic"
)

// connTable counts the open connections of an executor.
type connTable struct {
	mu   sync.Mutex
	open map[*trackedConn]struct{}
	// max is the highest number of connections open at one time.
	max int
	// accepted counts all connections accepted since the start.
	accepted int
}

// trackedConn is a connection that an executor accepted.
type trackedConn struct {
	net.Conn
	table *connTable
	// silent connections stay open but receive no more responses.
	silent atomic.Bool
}

// Close implements net.Conn.
func (c *trackedConn) Close() error {
	c.table.mu.Lock()
	delete(c.table.open, c)
	c.table.mu.Unlock()
	return c.Conn.Close()
}

func (t *connTable) add(conn net.Conn) *trackedConn {
	t.mu.Lock()
	defer t.mu.Unlock()
	tracked := &trackedConn{Conn: conn, table: t}
	t.open[tracked] = struct{}{}
	t.max = max(t.max, len(t.open))
	t.accepted++
	return tracked
}

func (t *connTable) all() []*trackedConn {
	t.mu.Lock()
	defer t.mu.Unlock()
	conns := make([]*trackedConn, 0, len(t.open))
	for c := range t.open {
		conns = append(conns, c)
	}
	return conns
}

// counts returns the number of open connections, the highest number open at one
// time, and the number accepted since the start.
func (t *connTable) counts() (open, highest, accepted int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.open), t.max, t.accepted
}

// trackedListener adds each accepted connection to a table.
type trackedListener struct {
	net.Listener
	table *connTable
}

// Accept implements net.Listener.
func (l *trackedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.table.add(conn), nil
}
