package transport

import (
	"bufio"
	"errors"
	"net"
	"sync"
	"time"
)

// outbound is the connection that this host dials to one peer, with its send
// queues. It reconnects until the transport is closed.
type outbound struct {
	t    *Transport
	peer Peer

	mu   sync.Mutex
	conn net.Conn
	// controlQueue holds the one-way messages: those of the replicated logs, the
	// announcements of backend servers, the host status with the configuration
	// version, and the slot messages. It is sent first, then the small calls, so
	// that a link saturated by forwarded requests does not delay elections or
	// fetching a configuration.
	controlQueue   frameQueue
	smallCallQueue frameQueue
	largeCallQueue frameQueue
	wake           chan struct{}
	// peerIsBack holds a token if the peer has connected to this host since the last
	// dial started.
	peerIsBack chan struct{}
	nextID     uint64
	pending    map[uint64]*pendingCall
	dialErr    error
}

// pendingCall is a call without a reply yet. written is set once some of its
// bytes may have been sent.
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

		peerIsBack: make(chan struct{}, 1),
	}
}

func (o *outbound) run() {
	defer o.t.wg.Done()
	delay := minRedialDelay
	for !o.t.isClosed() {
		select {
		case <-o.peerIsBack:
		default:
		}
		if o.connect() {
			delay = minRedialDelay
		}
		o.awaitRedial(delay)
		delay = min(2*delay, maxRedialDelay)
	}
	o.failQueuedCalls("transport stopped")
}

// awaitRedial waits for the redial delay, or for minRedialDelay if the peer connects to
// this host meanwhile. A restarted peer is thus reached at once: after an absence of
// 0.8 s the delay would end up to 0.8 s later, when a leader that needs the peer for its
// quorum has lost its leadership. The delay still grows, and minRedialDelay keeps two
// hosts whose connections end at once from redialling each other in a tight loop.
func (o *outbound) awaitRedial(delay time.Duration) {
	o.t.sleep(minRedialDelay)
	timer := time.NewTimer(delay - minRedialDelay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-o.peerIsBack:
	case <-o.t.ctx.Done():
	}
}

// reportBack tells that the peer has connected to this host.
func (o *outbound) reportBack() {
	select {
	case o.peerIsBack <- struct{}{}:
	default:
	}
}

// connect dials the peer and serves the connection until it fails. It reports
// whether the connection was open for at least maxRedialDelay. After a shorter
// one the redial delay keeps growing, so that a peer that closes each
// connection at once is not redialled in a tight loop.
func (o *outbound) connect() bool {
	conn, err := o.dial()
	if err != nil {
		o.setDialError(err)
		o.failQueuedCalls("peer unreachable")
		o.countHandshakeFailure(err)
		return false
	}
	defer o.close(conn)
	opened := time.Now()
	reason := o.serve(conn)
	o.t.cfg.Observer.ConnectionClosed(o.peer.Host, reason)
	return time.Since(opened) >= maxRedialDelay
}

func (o *outbound) countHandshakeFailure(err error) {
	var handshake *HandshakeError
	var malformed *FrameError
	if errors.As(err, &handshake) || errors.As(err, &malformed) {
		o.t.cfg.Observer.ConnectionClosed(o.peer.Host, "handshake")
	}
}

func (o *outbound) dial() (net.Conn, error) {
	dialer := net.Dialer{Timeout: handshakeTimeout}
	conn, err := dialer.DialContext(o.t.ctx, "tcp", o.peer.Address)
	if err != nil {
		return nil, err
	}
	if !o.t.track(conn) {
		_ = conn.Close()
		return nil, &HandshakeError{Peer: o.peer.Host, Reason: "the transport is closed"}
	}
	limitSendBuffer(conn)
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

// serve runs the loops of one connection until it fails and returns the reason.
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
	o.dialErr = nil
	o.wakeWriter()
}

// detach ends the calls that may have been sent: their outcome is unknown. Calls
// that were not written stay queued for the next connection.
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
	reader := bufio.NewReader(o.t.withDeadlines(conn))
	for {
		f, size, err := readFrame(reader, MaxFrameBytes)
		if err != nil {
			return closeReason(err)
		}
		o.t.cfg.Observer.FrameReceived(o.peer.Host, f.Kind, size)
		if f.Kind == KindReply {
			o.completeCall(f)
		}
	}
}

// completeCall delivers a reply to its caller. A reply to a call that has timed
// out is dropped.
func (o *outbound) completeCall(f *frame) {
	o.mu.Lock()
	call := o.pending[f.ID]
	delete(o.pending, f.ID)
	o.mu.Unlock()
	if call == nil {
		o.t.cfg.Observer.FrameDropped(o.peer.Host, KindReply, "late")
		return
	}
	call.done <- replyResult(o.peer.Host, f)
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
			if !o.writeQueued(conn) {
				return
			}
		}
	}
}

// writeQueued writes all queued frames. It returns false if a write failed.
func (o *outbound) writeQueued(conn net.Conn) bool {
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
	if f := o.controlQueue.pop(); f != nil {
		return f
	}
	return o.popCall()
}

// popCall returns the next call that has not expired, with RemainingMS reduced
// by the time it spent in the queue. The caller holds the lock.
func (o *outbound) popCall() *frame {
	for {
		f := o.smallCallQueue.pop()
		if f == nil {
			f = o.largeCallQueue.pop()
		}
		if f == nil {
			return nil
		}
		remaining := time.Until(f.deadline)
		call := o.pending[f.ID]
		// The time left is sent in milliseconds; 0 would stand for no bound.
		if call == nil || remaining < time.Millisecond {
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
	if _, err := o.t.withDeadlines(conn).Write(data); err != nil {
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

// enqueue queues a frame if the connection is open. The caller holds the lock.
func (o *outbound) enqueue(f *frame) error {
	if o.conn == nil {
		return &NotSentError{Peer: o.peer.Host, Reason: "not connected"}
	}
	if !o.makeRoom(f) {
		o.t.cfg.Observer.FrameDropped(o.peer.Host, f.Kind, "queue full")
		return &NotSentError{Peer: o.peer.Host, Reason: "send queue full"}
	}
	o.queueFor(f).push(f)
	o.wakeWriter()
	return nil
}

func (o *outbound) queueFor(f *frame) *frameQueue {
	switch {
	case f.Kind != KindCall:
		return &o.controlQueue
	case len(f.Body) <= maxSmallBodyBytes:
		return &o.smallCallQueue
	}
	return &o.largeCallQueue
}

// makeRoom reports whether a frame fits its queue. For a one-way message it
// first drops the oldest raft messages as needed: raft retransmits lost
// messages, other senders do not.
func (o *outbound) makeRoom(f *frame) bool {
	frames, bytes := o.t.cfg.MaxQueueFrames, o.t.cfg.MaxQueueBytes
	if f.Kind == KindCall {
		return o.queueFor(f).fits(f, frames, bytes)
	}
	for !o.controlQueue.fits(f, frames, bytes) {
		if !o.controlQueue.removeFirst(func(f *frame) bool { return f.Kind == KindRaft }) {
			return false
		}
		o.t.cfg.Observer.FrameDropped(o.peer.Host, KindRaft, "queue full")
	}
	return true
}

// wakeWriter notifies the write loop that frames are queued.
func (o *outbound) wakeWriter() {
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
		return o.cancelCall(id, pending)
	}
}

// callOverheadBytes is reserved in a frame for the fields of a call other than
// its body.
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

// cancelCall ends a call after its timeout. A call that is still queued is
// removed from the queue, so that it certainly does not run.
func (o *outbound) cancelCall(id uint64, pending *pendingCall) ([]byte, error) {
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
	if !o.smallCallQueue.removeFirst(byID) {
		o.largeCallQueue.removeFirst(byID)
	}
	return nil, &NotSentError{Peer: o.peer.Host, Reason: "timeout in the send queue"}
}

// failQueuedCalls clears the send queues and ends the calls that wait for a
// connection. Calls that were written have already ended with their connection.
func (o *outbound) failQueuedCalls(reason string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.controlQueue.clear()
	o.smallCallQueue.clear()
	o.largeCallQueue.clear()
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
	return o.dialErr
}

func (o *outbound) setDialError(err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.dialErr = err
}
