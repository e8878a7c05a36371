package httpapi

import (
	"net"
	"sync/atomic"
)

// usageListener accepts connections that know whether anything arrived on them.
type usageListener struct{ net.Listener }

// Accept implements net.Listener.
func (l usageListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &usageConn{Conn: conn}, nil
}

// usageConn is a connection of a client.
type usageConn struct {
	net.Conn
	used atomic.Bool
}

// Read implements net.Conn.
func (c *usageConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.used.Store(true)
	}
	return n, err
}
