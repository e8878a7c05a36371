package httpapi

import (
	"net"
	"sync/atomic"
)

// trackedListener wraps accepted connections in trackedConn.
type trackedListener struct{ net.Listener }

// Accept implements net.Listener.
func (l trackedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &trackedConn{Conn: conn}, nil
}

// trackedConn is a client connection that records whether any data was
// received on it.
type trackedConn struct {
	net.Conn
	hasReceived atomic.Bool
}

// Read implements net.Conn.
func (c *trackedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.hasReceived.Store(true)
	}
	return n, err
}
