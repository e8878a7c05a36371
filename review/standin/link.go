package main

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"time"
)

// link is the network between one executor and all machines of the system. While it is
// cut one way, nothing that the system sends reaches the executor: neither orders, nor
// answers, nor the packets that open a channel. What the executor sends on open channels
// arrives.
type link struct{ cut atomic.Bool }

var errReset = errors.New("channel reset after a cut")

// linkConn is a connection over a link. Bytes that arrive during a cut are lost, and the
// connection is reset once the cut is over.
type linkConn struct {
	net.Conn
	link *link
	lost atomic.Bool
}

func (c *linkConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil {
			return n, err
		}
		if c.link.cut.Load() {
			c.lost.Store(true)
			continue
		}
		if c.lost.Load() {
			_ = c.Conn.Close()
			return 0, errReset
		}
		return n, nil
	}
}

func (l *link) dial(ctx context.Context, network, address string) (net.Conn, error) {
	for l.cut.Load() {
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(10 * time.Millisecond):
		}
	}
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &linkConn{Conn: conn, link: l}, nil
}

// linkListener wraps the connections that it accepts.
type linkListener struct {
	net.Listener
	link *link
}

func (l *linkListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &linkConn{Conn: conn, link: l.link}, nil
}
