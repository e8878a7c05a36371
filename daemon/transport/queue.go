package transport

import (
	"net"
	"slices"
)

// sendBufferBytes bounds what the kernel holds for one connection. At
// 30 Mbit/s this is 70 ms, which a control frame waits at most behind data
// that was already handed over.
const sendBufferBytes = 256 << 10

// smallBodyBytes bounds the calls and replies that overtake larger ones.
const smallBodyBytes = 16 << 10

func boundSendBuffer(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetWriteBuffer(sendBufferBytes)
	}
}

// frameQueue is a first-in first-out queue of frames.
type frameQueue struct {
	frames []*frame
	bytes  int
}

func (q *frameQueue) len() int { return len(q.frames) }

// fits reports whether a frame can be added within the bounds.
func (q *frameQueue) fits(f *frame, frames, bytes int) bool {
	return len(q.frames) < frames && q.bytes+len(f.Body) <= bytes
}

func (q *frameQueue) push(f *frame) {
	q.frames = append(q.frames, f)
	q.bytes += len(f.Body)
}

func (q *frameQueue) pop() *frame {
	if len(q.frames) == 0 {
		return nil
	}
	f := q.frames[0]
	q.frames[0] = nil
	q.frames = q.frames[1:]
	q.bytes -= len(f.Body)
	return f
}

// removeFirst removes the first frame that matches and reports whether there was one.
func (q *frameQueue) removeFirst(match func(*frame) bool) bool {
	for i, f := range q.frames {
		if match(f) {
			q.frames = slices.Delete(q.frames, i, i+1)
			q.bytes -= len(f.Body)
			return true
		}
	}
	return false
}

func (q *frameQueue) clear() { q.frames, q.bytes = nil, 0 }
