package transport

import (
	"bufio"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"cranberrydrum.dev/daemon/panics"
	"cranberrydrum.dev/scheduler/structs"
)

// maxCallsPerConnection bounds the concurrent calls of one peer.
const maxCallsPerConnection = 4096

// serve handles an accepted connection until it ends.
func (t *Transport) serve(conn net.Conn) {
	defer t.wg.Done()
	defer t.untrack(conn)
	defer conn.Close()
	peer, err := t.acceptHandshake(conn)
	if err != nil {
		t.cfg.Logger.V(1).Info("peer handshake failed", "remote", conn.RemoteAddr().String(), "error", err.Error())
		t.cfg.Observer.ConnectionClosed(peer, "handshake")
		return
	}
	if out := t.outboundTo(peer); out != nil {
		out.reportBack()
	}
	in := &inbound{
		t:            t,
		peer:         peer,
		conn:         conn,
		smallReplies: make(chan *frame, t.cfg.MaxQueueFrames),
		largeReplies: make(chan *frame, t.cfg.MaxQueueFrames),
		done:         make(chan struct{}),
		callSlots:    make(chan struct{}, maxCallsPerConnection),
	}
	in.wg.Add(1)
	go in.writeLoop()
	reason := in.readLoop()
	in.close()
	in.wg.Wait()
	t.cfg.Observer.ConnectionClosed(peer, reason)
}

// inbound is an accepted connection. The peer sends messages and calls on it;
// this host sends replies and heartbeats.
type inbound struct {
	t    *Transport
	peer string
	conn net.Conn
	// smallReplies holds the replies that are sent ahead of largeReplies.
	smallReplies chan *frame
	largeReplies chan *frame
	// queuedReplyBytes is the size of the replies that are not written yet.
	queuedReplyBytes atomic.Int64
	done             chan struct{}
	closeOnce        sync.Once
	callSlots        chan struct{}
	wg               sync.WaitGroup
}

// close ends the read and write loops. The write loop calls it too: the read
// loop may be blocked on a full reply queue, which is no longer drained after a
// failed write.
func (in *inbound) close() {
	in.closeOnce.Do(func() {
		close(in.done)
		_ = in.conn.Close()
	})
}

func (in *inbound) readLoop() string {
	reader := bufio.NewReader(in.t.withDeadlines(in.conn))
	for {
		size, err := readLength(reader, MaxFrameBytes)
		if err != nil {
			return closeReason(err)
		}
		release, ok := in.t.admitFrame(size)
		if !ok {
			return "read limit"
		}
		err = in.readAndDispatch(reader, size)
		release()
		if err != nil {
			return closeReason(err)
		}
	}
}

func (in *inbound) readAndDispatch(r io.Reader, size int) error {
	f, read, err := readPayload(r, size)
	if err != nil {
		return err
	}
	in.t.cfg.Observer.FrameReceived(in.peer, f.Kind, read)
	in.dispatch(f)
	return nil
}

func (in *inbound) dispatch(f *frame) {
	switch f.Kind {
	case KindHeartbeat:
	case KindCall:
		in.startCall(f)
	case KindHello, KindChallenge, KindProof, KindReply, KindVerdict:
		in.t.cfg.Observer.FrameDropped(in.peer, f.Kind, "unexpected")
	default:
		err := panics.Catch("peer_message", func() { in.t.handler.HandleMessage(in.peer, f.Kind, f.Body) })
		if err != nil {
			in.logPanic(err, f)
			in.t.cfg.Observer.FrameDropped(in.peer, f.Kind, "panic")
		}
	}
}

func (in *inbound) logPanic(err error, f *frame) {
	panics.Log(in.t.cfg.Logger, in.t.cfg.Panics, err, "peer", in.peer, "kind", f.Kind.String(), "method", f.Method, "id", f.ID, "bytes", len(f.Body))
}

func (in *inbound) startCall(f *frame) {
	if !in.admitCall(f) {
		in.reply(&frame{Kind: KindReply, ID: f.ID, Code: codeBusy})
		return
	}
	in.t.runningCalls.Add(1)
	remaining := time.Duration(f.RemainingMS) * time.Millisecond
	received := time.Now()
	go func() {
		defer in.t.runningCalls.Done()
		defer in.releaseCall(f)
		var body []byte
		var err error
		caught := panics.Catch("peer_call", func() { body, err = in.t.handler.HandleCall(in.peer, f.Method, f.Body, remaining) })
		if caught != nil {
			// The call may have taken effect, which the caller learns from codeFailed.
			in.logPanic(caught, f)
			err = caught
		}
		reply := replyFrame(f.ID, body, err)
		if remaining > 0 {
			reply.deadline = received.Add(remaining)
		}
		in.reply(reply)
	}()
}

// admitCall reserves capacity for a call within the limits of this connection
// and of this host, and reports whether there was enough.
//
// The limit on queued reply bytes guards against peers that read slower than
// replies are produced: without it, 1024 replies could be queued for each such
// peer, which is 64 MB at 64 KB each. The replies of calls that are already
// running may exceed the limit.
func (in *inbound) admitCall(f *frame) bool {
	if in.t.cfg.IsBulkMethod(f.Method) && in.queuedReplyBytes.Load() > int64(in.t.cfg.MaxQueueBytes) {
		return false
	}
	if in.t.runningCallBytes.Add(int64(len(f.Body))) > int64(in.t.cfg.MaxCallBytes) {
		in.t.runningCallBytes.Add(-int64(len(f.Body)))
		return false
	}
	select {
	case in.callSlots <- struct{}{}:
		return true
	default:
		in.t.runningCallBytes.Add(-int64(len(f.Body)))
		return false
	}
}

func (in *inbound) releaseCall(f *frame) {
	<-in.callSlots
	in.t.runningCallBytes.Add(-int64(len(f.Body)))
}

// replyFrame converts the result of a call into a reply frame. A refusal keeps
// its code and outcome, so that the calling host can report it unchanged.
func replyFrame(id uint64, body []byte, err error) *frame {
	if err == nil {
		return &frame{Kind: KindReply, ID: id, Body: body}
	}
	var refusal *structs.Refusal
	if errors.As(err, &refusal) {
		return &frame{Kind: KindReply, ID: id, Code: codeRefused, Body: encodeRefusal(refusal)}
	}
	return &frame{Kind: KindReply, ID: id, Code: codeFailed, Body: []byte(err.Error())}
}

func (in *inbound) reply(f *frame) {
	out := in.largeReplies
	if len(f.Body) <= maxSmallBodyBytes {
		out = in.smallReplies
	}
	in.queuedReplyBytes.Add(int64(len(f.Body)))
	select {
	case out <- f:
	case <-in.done:
		in.queuedReplyBytes.Add(-int64(len(f.Body)))
		in.t.cfg.Observer.FrameDropped(in.peer, f.Kind, "connection closed")
	}
}

func (in *inbound) writeLoop() {
	defer in.wg.Done()
	defer in.close()
	ticker := time.NewTicker(in.t.cfg.HeartbeatInterval)
	defer ticker.Stop()
	for {
		f := in.nextFrame(ticker.C)
		if f == nil || !in.write(f) {
			return
		}
	}
}

// nextFrame waits for the next frame to write and returns nil once the
// connection is closed. It prefers small replies over large ones and heartbeats.
func (in *inbound) nextFrame(heartbeat <-chan time.Time) *frame {
	select {
	case f := <-in.smallReplies:
		return f
	default:
	}
	select {
	case <-in.done:
		return nil
	case <-heartbeat:
		return &frame{Kind: KindHeartbeat}
	case f := <-in.smallReplies:
		return f
	case f := <-in.largeReplies:
		return f
	}
}

// write sends one frame and reports whether the connection is still usable.
// After a failed write, the write loop closes the connection, which ends the
// read loop. A reply whose caller has timed out is dropped.
func (in *inbound) write(f *frame) bool {
	in.queuedReplyBytes.Add(-int64(len(f.Body)))
	if !f.deadline.IsZero() && time.Now().After(f.deadline) {
		in.t.cfg.Observer.FrameDropped(in.peer, f.Kind, "late")
		return true
	}
	data, err := encodeFrame(f)
	if err != nil {
		in.t.cfg.Observer.FrameDropped(in.peer, f.Kind, "encode")
		if f.Kind != KindReply {
			return true
		}
		data, _ = encodeFrame(&frame{Kind: KindReply, ID: f.ID, Code: codeFailed, Body: []byte(err.Error())})
	}
	if _, err := in.t.withDeadlines(in.conn).Write(data); err != nil {
		return false
	}
	in.t.cfg.Observer.FrameSent(in.peer, f.Kind, len(data))
	return true
}

// closeReason returns the metric label for the reason why a connection ended.
func closeReason(err error) string {
	var frameErr *FrameError
	if errors.As(err, &frameErr) {
		return "malformed"
	}
	var netErr net.Error
	if errors.As(err, &netErr) && netErr.Timeout() {
		return "silent"
	}
	return "closed"
}
