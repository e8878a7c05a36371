package logging

import (
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// maxBufferedBytes bounds the size of the lines that wait to be written.
	maxBufferedBytes = 256 << 10
	// flushInterval is the delay before a write, which combines the lines of
	// this interval.
	flushInterval = 100 * time.Millisecond
)

// AsyncWriter writes lines in the background through a buffer of bounded size. It
// never blocks its caller. Lines that exceed the buffer are dropped, and a
// separate line reports their number.
type AsyncWriter struct {
	out     io.Writer
	mu      sync.Mutex
	buffer  []byte
	dropped int
	wakeup  chan struct{}
	done    chan struct{}
	closed  bool
}

// NewAsyncWriter returns a writer to out and starts its background goroutine.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	b := &AsyncWriter{out: out, wakeup: make(chan struct{}, 1), done: make(chan struct{})}
	go b.run()
	return b
}

// Write implements io.Writer.
func (b *AsyncWriter) Write(line []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed || len(b.buffer)+len(line) > maxBufferedBytes {
		b.dropped++
		return len(line), nil
	}
	if len(b.buffer) == 0 {
		b.wakeWriter()
	}
	b.buffer = append(b.buffer, line...)
	return len(line), nil
}

func (b *AsyncWriter) wakeWriter() {
	select {
	case b.wakeup <- struct{}{}:
	default:
	}
}

// Close writes the buffered lines and stops the writer.
func (b *AsyncWriter) Close() {
	b.mu.Lock()
	b.closed = true
	b.wakeWriter()
	b.mu.Unlock()
	<-b.done
}

func (b *AsyncWriter) run() {
	defer close(b.done)
	for {
		<-b.wakeup
		if !b.isClosed() {
			time.Sleep(flushInterval)
		}
		b.flush()
		if b.isClosed() {
			return
		}
	}
}

func (b *AsyncWriter) isClosed() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.closed
}

func (b *AsyncWriter) flush() {
	b.mu.Lock()
	lines, dropped := b.buffer, b.dropped
	b.buffer, b.dropped = nil, 0
	b.mu.Unlock()
	if dropped > 0 {
		lines = fmt.Appendf(lines, "{\"level\":\"info\",\"msg\":\"log lines dropped\",\"lines\":%d}\n", dropped)
	}
	if len(lines) > 0 {
		// An error is ignored: it could only be reported to the log itself.
		_, _ = b.out.Write(lines)
	}
}
