package httpapi

import (
	"net"
	"time"

	"github.com/go-logr/logr"

	"cranberrydrum.dev/daemon/descriptors"
	"cranberrydrum.dev/daemon/shutdown"
)

// trackedListener wraps accepted connections in trackedConn.
type trackedListener struct {
	net.Listener
	connections *shutdown.Connections
	log         logr.Logger
}

// Accept implements net.Listener. It fails only if the listener is closed.
func (l trackedListener) Accept() (net.Conn, error) {
	conn, err := descriptors.AcceptNext(l.Listener, func(err error) { l.log.Error(err, "cannot accept a connection") })
	if err != nil {
		return nil, err
	}
	l.connections.Add(conn)
	return &trackedConn{Conn: conn, connections: l.connections}, nil
}

// trackedConn is a client connection whose reads a stopping host can end.
type trackedConn struct {
	net.Conn
	connections *shutdown.Connections
}

// SetReadDeadline implements net.Conn.
func (c *trackedConn) SetReadDeadline(t time.Time) error {
	return c.connections.SetReadDeadline(c.Conn, t)
}

// Close implements net.Conn.
func (c *trackedConn) Close() error {
	c.connections.Remove(c.Conn)
	return c.Conn.Close()
}
