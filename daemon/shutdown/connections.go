package shutdown

import (
	"net"
	"sync"
	"time"
)

// longAgo is a deadline in the past.
var longAgo = time.Unix(1, 0)

// Connections tracks the open connections of a server so that reads from them can be
// ended. The zero value tracks none.
type Connections struct {
	mu             sync.Mutex
	open           map[net.Conn]struct{}
	readingStopped bool
}

// Add tracks a connection.
func (c *Connections) Add(conn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.open == nil {
		c.open = map[net.Conn]struct{}{}
	}
	c.open[conn] = struct{}{}
	if c.readingStopped {
		_ = conn.SetReadDeadline(longAgo)
	}
}

// Remove ends the tracking of a connection.
func (c *Connections) Remove(conn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.open, conn)
}

// Open returns the number of open connections.
func (c *Connections) Open() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.open)
}

// SetReadDeadline sets the read deadline of a connection. After StopReading the
// deadline stays in the past.
func (c *Connections) SetReadDeadline(conn net.Conn, t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.readingStopped {
		t = longAgo
	}
	return conn.SetReadDeadline(t)
}

// StopReading ends all reads with a timeout. Responses can still be written.
func (c *Connections) StopReading() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readingStopped = true
	for conn := range c.open {
		_ = conn.SetReadDeadline(longAgo)
	}
}
