package transport

import (
	"bufio"
	"errors"
	"net"
	"sync"
	"time"
)

// outbound is the link to one peer. It redials until the transport stops.
type outbound struct {
	t    *Transport
	peer Peer

	mu   sync.Mutex
	conn net.Conn
	// control holds raft, membership and configuration messages. They go first,
	// then small calls, so that a link full of forwarded requests does not
	// delay elections or the fetch of a configuration.
	control    frameQueue
	smallCalls frameQueue
	calls      frameQueue
	wake       chan struct{}
	nextID     uint64
	pending    map[uint64]*pendingCall
	err        error
}

// pendingCall waits for its reply. written is set once bytes may have left.
type pendingCall struct {
	done    chan result
	written bool
}

func newOutbound(t *Transport, peer Peer) *outbound {
	return &outbound{
		t:       t,
		peer:    peer,
		wake:    make(chan struct{}, 1),
		pending: map[uint64]*pendingCall{},
	}
}

func (o *outbound) run() {
	defer o.t.wg.Done()
	delay := minRedial
	for !o.t.stopping() {
		if o.connect() {
			delay = minRedial
		}
		o.t.pause(delay)
		delay = min(2*delay, maxRedial)
	}
	o.failQueued("transport stopped")
}

// connect dials the peer and serves the connection until it breaks. It reports
// whether the connection lasted, so that one that the peer closes at once is
// not dialled again without a pause.
func (o *outbound) connect() bool {
	conn, err := o.dial()
	if err != nil {
		o.setError(err)
		o.failQueued("peer unreachable")
		o.countRefused(err)
		return false
	}
	defer o.close(conn)
	opened := time.Now()
	reason := o.serve(conn)
	o.t.cfg.Observer.ConnectionClosed(o.peer.Host, reason)
	return time.Since(opened) >= maxRedial
}

func (o *outbound) countRefused(err error) {
	var handshake *HandshakeError
	var malformed *FrameError
	if errors.As(err, &handshake) || errors.As(err, &malformed) {
		o.t.cfg.Observer.ConnectionClosed(o.peer.Host, "handshake")
	}
}

func (o *outbound) dial() (net.Conn, error) {
	dialer := net.Dialer{Timeout: handshakeTimeout}
	conn, err := dialer.DialContext(o.t.stop, "tcp", o.peer.Address)
	if err != nil {
		return nil, err
	}
	if !o.t.track(conn) {
		_ = conn.Close()
		return nil, &HandshakeError{Peer: o.peer.Host, Reason: "this host is stopping"}
	}
	boundSendBuffer(conn)
	if err := o.t.dialHandshake(conn, o.peer.Host); err != nil {
		o.close(conn)
		return nil, err
	}
	return conn, nil
}

func (o *outbound) close(conn net.Conn) {
	_ = conn.Close()
	o.t.untrack(conn)
}

// serve runs one connection until it breaks and returns the reason.
func (o *outbound) serve(conn net.Conn) string {
	o.attach(conn)
	done := make(chan struct{})
	var writer sync.WaitGroup
	writer.Add(1)
	go func() {
		defer writer.Done()
		o.writeLoop(conn, done)
	}()
	reason := o.readLoop(conn)
	close(done)
	_ = conn.Close()
	writer.Wait()
	o.detach()
	return reason
}

func (o *outbound) attach(conn net.Conn) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.conn = conn
	o.err = nil
	o.signal()
}

// detach ends the calls that were open. Those that may have left have an
// unknown outcome; the others were not sent.
func (o *outbound) detach() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.conn = nil
	for id, call := range o.pending {
		if call.written {
			call.done <- result{err: &LostReplyError{Peer: o.peer.Host, Reason: "connection lost"}}
			delete(o.pending, id)
		}
	}
}

func (o *outbound) readLoop(conn net.Conn) string {
	reader := bufio.NewReader(o.t.stream(conn))
	for {
		f, size, err := readFrame(reader, MaxFrameBytes)
		if err != nil {
			return closeReason(err)
		}
		o.t.cfg.Observer.FrameReceived(o.peer.Host, f.Kind, size)
		if f.Kind == KindReply {
			o.finish(f)
		}
	}
}

// finish delivers a reply. A reply to a call that was given up is dropped.
func (o *outbound) finish(f *frame) {
	o.mu.Lock()
	call := o.pending[f.ID]
	delete(o.pending, f.ID)
	o.mu.Unlock()
	if call == nil {
		o.t.cfg.Observer.FrameDropped(o.peer.Host, KindReply, "late")
		return
	}
	call.done <- resultOf(o.peer.Host, f)
}

func (o *outbound) writeLoop(conn net.Conn, done chan struct{}) {
	ticker := time.NewTicker(o.t.cfg.HeartbeatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-done:
			return
		case <-ticker.C:
			if !o.write(conn, &frame{Kind: KindHeartbeat}) {
				return
			}
		case <-o.wake:
			if !o.drain(conn) {
				return
			}
		}
	}
}

// drain writes what is queued.
func (o *outbound) drain(conn net.Conn) bool {
	for {
		f := o.pop()
		if f == nil {
			return true
		}
		if !o.write(conn, f) {
			return false
		}
	}
}

func (o *outbound) pop() *frame {
	o.mu.Lock()
	defer o.mu.Unlock()
	if f := o.control.pop(); f != nil {
		return f
	}
	return o.popCall()
}

// popCall returns the next call that has time left. Its remaining time is what
// the wait in the queue left of it. The caller holds the lock.
func (o *outbound) popCall() *frame {
	for {
		f := o.smallCalls.pop()
		if f == nil {
			f = o.calls.pop()
		}
		if f == nil {
			return nil
		}
		remaining := time.Until(f.deadline)
		call := o.pending[f.ID]
		if call == nil || remaining <= 0 {
			continue
		}
		f.RemainingMS = remaining.Milliseconds()
		call.written = true
		return f
	}
}

func (o *outbound) write(conn net.Conn, f *frame) bool {
	data, err := encodeFrame(f)
	if err != nil {
		o.t.cfg.Observer.FrameDropped(o.peer.Host, f.Kind, "encode")
		return true
	}
	if _, err := o.t.stream(conn).Write(data); err != nil {
		_ = conn.Close()
		return false
	}
	o.t.cfg.Observer.FrameSent(o.peer.Host, f.Kind, len(data))
	return true
}

func (o *outbound) send(f *frame) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.enqueue(f)
}

// enqueue adds a frame while the connection is open. The caller holds the lock.
func (o *outbound) enqueue(f *frame) error {
	if o.conn == nil {
		return &NotSentError{Peer: o.peer.Host, Reason: "not connected"}
	}
	if !o.makeRoom(f) {
		o.t.cfg.Observer.FrameDropped(o.peer.Host, f.Kind, "queue full")
		return &NotSentError{Peer: o.peer.Host, Reason: "send queue full"}
	}
	o.queueOf(f).push(f)
	o.signal()
	return nil
}

func (o *outbound) queueOf(f *frame) *frameQueue {
	switch {
	case f.Kind != KindCall:
		return &o.control
	case len(f.Body) <= smallBodyBytes:
		return &o.smallCalls
	}
	return &o.calls
}

// makeRoom reports whether the queue of a frame takes it. The oldest raft
// messages make room: raft resends what is lost, other kinds do not.
func (o *outbound) makeRoom(f *frame) bool {
	frames, bytes := o.t.cfg.QueueFrames, o.t.cfg.QueueBytes
	if f.Kind == KindCall {
		return o.queueOf(f).fits(f, frames, bytes)
	}
	for !o.control.fits(f, frames, bytes) {
		if !o.control.removeFirst(func(f *frame) bool { return f.Kind == KindRaft }) {
			return false
		}
		o.t.cfg.Observer.FrameDropped(o.peer.Host, KindRaft, "queue full")
	}
	return true
}

// signal tells the writer that frames are queued.
func (o *outbound) signal() {
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

func (o *outbound) call(method string, body []byte, timeout time.Duration) ([]byte, error) {
	if len(body) > MaxFrameBytes-callOverheadBytes {
		return nil, &NotSentError{Peer: o.peer.Host, Reason: "body too large"}
	}
	pending := &pendingCall{done: make(chan result, 1)}
	id, err := o.startCall(pending, method, body, timeout)
	if err != nil {
		return nil, err
	}
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case res := <-pending.done:
		return res.body, res.err
	case <-timer.C:
		return o.abandon(id, pending)
	}
}

// callOverheadBytes is room for the fields of a call beside its body.
const callOverheadBytes = 512

func (o *outbound) startCall(pending *pendingCall, method string, body []byte, timeout time.Duration) (uint64, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.nextID++
	id := o.nextID
	f := &frame{Kind: KindCall, ID: id, Method: method, Body: body, deadline: time.Now().Add(timeout)}
	if err := o.enqueue(f); err != nil {
		return 0, err
	}
	o.pending[id] = pending
	return id, nil
}

// abandon gives a call up after its timeout. A call that is still queued is
// taken out of the queue, so that it is certain not to run.
func (o *outbound) abandon(id uint64, pending *pendingCall) ([]byte, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	select {
	case res := <-pending.done:
		return res.body, res.err
	default:
	}
	delete(o.pending, id)
	if pending.written {
		return nil, &LostReplyError{Peer: o.peer.Host, Reason: "timeout"}
	}
	byID := func(f *frame) bool { return f.ID == id }
	if !o.smallCalls.removeFirst(byID) {
		o.calls.removeFirst(byID)
	}
	return nil, &NotSentError{Peer: o.peer.Host, Reason: "timeout in the send queue"}
}

// failQueued ends the calls that wait for a connection. Calls that were written
// have ended with their connection.
func (o *outbound) failQueued(reason string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.control.clear()
	o.smallCalls.clear()
	o.calls.clear()
	for id, call := range o.pending {
		call.done <- result{err: &NotSentError{Peer: o.peer.Host, Reason: reason}}
		delete(o.pending, id)
	}
}

func (o *outbound) connected() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.conn != nil
}

func (o *outbound) lastError() error {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.err
}

func (o *outbound) setError(err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.err = err
}
