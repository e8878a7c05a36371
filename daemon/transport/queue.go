package transport

import (
	"net"
	"slices"
)

// sendBufferBytes is the size of the kernel send buffer of one connection. A
// full buffer takes 70 ms to send at 30 Mbit/s, which bounds the delay of a
// control frame behind data that was already passed to the kernel.
const sendBufferBytes = 256 << 10

// maxSmallBodyBytes bounds the body of the calls and replies that are sent
// ahead of larger ones.
const maxSmallBodyBytes = 16 << 10

func limitSendBuffer(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetWriteBuffer(sendBufferBytes)
	}
}

// frameQueue is a FIFO queue of frames. bytes is the total size of their
// bodies.
type frameQueue struct {
	frames []*frame
	bytes  int
}

func (q *frameQueue) len() int { return len(q.frames) }

// fits reports whether the queue, with the frame added, stays within a number
// of frames and of body bytes.
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

// removeFirst removes the first matching frame and reports whether one was found.
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
