package transport

import (
	"bufio"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"cranberrydrum.dev/scheduler/structs"
)

// maxCallsPerConnection bounds the calls that one peer runs here at a time.
const maxCallsPerConnection = 4096

// serve handles a connection that a peer opened.
func (t *Transport) serve(conn net.Conn) {
	defer t.wg.Done()
	defer t.untrack(conn)
	defer conn.Close()
	peer, err := t.acceptHandshake(conn)
	if err != nil {
		t.cfg.Logger.V(1).Info("refused a peer connection", "remote", conn.RemoteAddr().String(), "error", err.Error())
		t.cfg.Observer.ConnectionClosed(peer, "handshake")
		return
	}
	in := &inbound{
		t:     t,
		peer:  peer,
		conn:  conn,
		small: make(chan *frame, t.cfg.QueueFrames),
		out:   make(chan *frame, t.cfg.QueueFrames),
		done:  make(chan struct{}),
		calls: make(chan struct{}, maxCallsPerConnection),
	}
	in.wg.Add(1)
	go in.writeLoop()
	reason := in.readLoop()
	in.close()
	in.wg.Wait()
	t.cfg.Observer.ConnectionClosed(peer, reason)
}

// inbound is a connection that a peer opened. The peer sends messages and
// calls on it; replies and heartbeats go back.
type inbound struct {
	t    *Transport
	peer string
	conn net.Conn
	// small holds the replies that overtake those in out.
	small chan *frame
	out   chan *frame
	// waiting is the size of the replies that are not written yet.
	waiting atomic.Int64
	done    chan struct{}
	once    sync.Once
	calls   chan struct{}
	wg      sync.WaitGroup
}

// close ends both loops. The writer calls it too: the reader may wait for
// room in the queue of replies, which nobody empties after a failed write.
func (in *inbound) close() {
	in.once.Do(func() {
		close(in.done)
		_ = in.conn.Close()
	})
}

func (in *inbound) readLoop() string {
	reader := bufio.NewReader(in.t.stream(in.conn))
	for {
		f, size, err := readFrame(reader, MaxFrameBytes)
		if err != nil {
			return closeReason(err)
		}
		in.t.cfg.Observer.FrameReceived(in.peer, f.Kind, size)
		in.dispatch(f)
	}
}

func (in *inbound) dispatch(f *frame) {
	switch f.Kind {
	case KindHeartbeat:
	case KindCall:
		in.startCall(f)
	case KindHello, KindChallenge, KindProof, KindReply, KindVerdict:
		in.t.cfg.Observer.FrameDropped(in.peer, f.Kind, "unexpected")
	default:
		in.t.handler.HandleMessage(in.peer, f.Kind, f.Body)
	}
}

func (in *inbound) startCall(f *frame) {
	if !in.admitCall(f) {
		in.reply(&frame{Kind: KindReply, ID: f.ID, Code: codeBusy})
		return
	}
	in.t.calls.Add(1)
	remaining := time.Duration(f.RemainingMS) * time.Millisecond
	received := time.Now()
	go func() {
		defer in.t.calls.Done()
		defer in.endCall(f)
		body, err := in.t.handler.HandleCall(in.peer, f.Method, f.Body, remaining)
		reply := replyFrame(f.ID, body, err)
		if remaining > 0 {
			reply.deadline = received.Add(remaining)
		}
		in.reply(reply)
	}()
}

// admitCall reserves room for a call in the bounds of this connection and of
// this host.
//
// A peer that reads slower than replies are made would otherwise let 1024 of
// them pile up, which is 64 MB at 64 KB each, for each such peer. Calls that run
// already may exceed the bound by their replies.
func (in *inbound) admitCall(f *frame) bool {
	if in.t.cfg.Bulk(f.Method) && in.waiting.Load() > int64(in.t.cfg.QueueBytes) {
		return false
	}
	if in.t.callBytes.Add(int64(len(f.Body))) > int64(in.t.cfg.CallBytes) {
		in.t.callBytes.Add(-int64(len(f.Body)))
		return false
	}
	select {
	case in.calls <- struct{}{}:
		return true
	default:
		in.t.callBytes.Add(-int64(len(f.Body)))
		return false
	}
}

func (in *inbound) endCall(f *frame) {
	<-in.calls
	in.t.callBytes.Add(-int64(len(f.Body)))
}

// replyFrame turns the result of a call into a reply. A refusal keeps its code
// and outcome, so that the caller's host can report it unchanged.
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
	out := in.out
	if len(f.Body) <= smallBodyBytes {
		out = in.small
	}
	in.waiting.Add(int64(len(f.Body)))
	select {
	case out <- f:
	case <-in.done:
		in.waiting.Add(-int64(len(f.Body)))
		in.t.cfg.Observer.FrameDropped(in.peer, f.Kind, "connection closed")
	}
}

func (in *inbound) writeLoop() {
	defer in.wg.Done()
	defer in.close()
	ticker := time.NewTicker(in.t.cfg.HeartbeatInterval)
	defer ticker.Stop()
	for {
		f := in.next(ticker.C)
		if f == nil || !in.write(f) {
			return
		}
	}
}

// next waits for the frame to write next, small replies first, or returns nil
// when the connection has ended.
func (in *inbound) next(heartbeat <-chan time.Time) *frame {
	select {
	case f := <-in.small:
		return f
	default:
	}
	select {
	case <-in.done:
		return nil
	case <-heartbeat:
		return &frame{Kind: KindHeartbeat}
	case f := <-in.small:
		return f
	case f := <-in.out:
		return f
	}
}

// write sends one frame; a failed write closes the connection, which ends the
// read loop too. A reply whose caller has given up is dropped.
func (in *inbound) write(f *frame) bool {
	in.waiting.Add(-int64(len(f.Body)))
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
	if _, err := in.t.stream(in.conn).Write(data); err != nil {
		return false
	}
	in.t.cfg.Observer.FrameSent(in.peer, f.Kind, len(data))
	return true
}

// closeReason names why a connection ended, for metrics.
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
