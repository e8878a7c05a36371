package descriptors

import (
	"container/list"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"cranberrydrum.dev/daemon/shutdown"
)

// Accepted tracks the accepted connections of the servers of a process. Over the
// limit it closes the connection that has been idle for longest, or the one with the slowest
// request, or refuses the new one if all make progress.
type Accepted struct {
	budget *Budget

	mu   sync.Mutex
	open map[net.Conn]*acceptedConn
	// idle holds the idle *acceptedConn, the longest idle first.
	idle        *list.List
	connections shutdown.Connections
	// dropSlowest closes a connection whose request makes too little progress.
	dropSlowest func() bool
}

type acceptedConn struct {
	net.Conn
	tracker *Accepted
	element *list.Element
}

// NewAccepted returns a tracker without connections.
func NewAccepted(b *Budget) *Accepted {
	return &Accepted{budget: b, open: map[net.Conn]*acceptedConn{}, idle: list.New(), dropSlowest: func() bool { return false }}
}

// SetDropSlowest sets the function that closes the connection whose request makes least
// progress, for a limit at which no connection is idle. It returns false if there is none.
func (a *Accepted) SetDropSlowest(drop func() bool) { a.dropSlowest = drop }

// Close implements net.Conn.
func (c *acceptedConn) Close() error {
	c.tracker.mu.Lock()
	c.tracker.remove(c)
	c.tracker.mu.Unlock()
	return c.Conn.Close()
}

// SetReadDeadline implements net.Conn.
func (c *acceptedConn) SetReadDeadline(t time.Time) error {
	return c.tracker.connections.SetReadDeadline(c.Conn, t)
}

// Connections returns the open connections.
func (a *Accepted) Connections() *shutdown.Connections { return &a.connections }

// Listener returns a listener whose connections are tracked. ConnState must be
// the ConnState of its server.
func (a *Accepted) Listener(l net.Listener) net.Listener { return &acceptedListener{l, a} }

type acceptedListener struct {
	net.Listener
	tracker *Accepted
}

// acceptRetryDelay is the delay after a failed attempt to accept a connection.
const acceptRetryDelay = 50 * time.Millisecond

// AcceptNext accepts the next connection. It fails only if the listener is closed: the
// server would stop at any error, also if the system has no descriptor left for a
// moment. It calls failed with all other errors.
func AcceptNext(l net.Listener, failed func(error)) (net.Conn, error) {
	for {
		conn, err := l.Accept()
		if err == nil || errors.Is(err, net.ErrClosed) {
			return conn, err
		}
		failed(err)
		time.Sleep(acceptRetryDelay)
	}
}

// Accept implements net.Listener.
func (l *acceptedListener) Accept() (net.Conn, error) {
	countFailure := func(error) { l.tracker.budget.observer.CountShed("accepted", EventFailed) }
	for {
		conn, err := AcceptNext(l.Listener, countFailure)
		if err != nil {
			return nil, err
		}
		if tracked := l.tracker.add(conn); tracked != nil {
			return tracked, nil
		}
		_ = conn.Close()
	}
}

// add tracks a connection. It returns nil if there is no descriptor for it.
func (a *Accepted) add(conn net.Conn) *acceptedConn {
	for int(a.budget.accepted.Load()) >= a.budget.AcceptLimit() {
		if !a.closeLongestIdle() {
			if a.dropSlowest() {
				continue
			}
			a.budget.observer.CountShed("accepted", EventRefused)
			return nil
		}
		a.budget.observer.CountShed("accepted", EventClosedIdle)
	}
	c := &acceptedConn{Conn: conn, tracker: a}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.open[c] = c
	a.connections.Add(conn)
	a.budget.accepted.Add(1)
	return c
}

// closeLongestIdle closes the connection that has been idle for longest. It holds the
// lock until the connection is closed: ConnState waits for it before the server reads
// a request, so that no request is read from a connection that is being closed.
func (a *Accepted) closeLongestIdle() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	front := a.idle.Front()
	if front == nil {
		return false
	}
	c := front.Value.(*acceptedConn)
	a.remove(c)
	_ = c.Conn.Close()
	return true
}

// remove ends the tracking of a connection. a.mu is held.
func (a *Accepted) remove(c *acceptedConn) {
	if a.open[c] == nil {
		return
	}
	a.setBusy(c)
	delete(a.open, c)
	a.connections.Remove(c.Conn)
	a.budget.accepted.Add(-1)
}

func (a *Accepted) setBusy(c *acceptedConn) {
	if c.element != nil {
		a.idle.Remove(c.element)
		c.element = nil
	}
}

// ConnState records whether a connection waits for its first or its next request.
func (a *Accepted) ConnState(conn net.Conn, state fasthttp.ConnState) {
	a.mu.Lock()
	defer a.mu.Unlock()
	c := a.open[conn]
	if c == nil {
		return
	}
	a.setBusy(c)
	if state == fasthttp.StateIdle || state == fasthttp.StateNew {
		c.element = a.idle.PushBack(c)
	}
}
