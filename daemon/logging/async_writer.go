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
	// flushInterval is the delay before a write, so that one write combines the
	// lines of the interval.
	flushInterval = 100 * time.Millisecond
)

// AsyncWriter writes lines in the background through a buffer of bounded size. It
// never blocks its caller. Lines that do not fit into the buffer are dropped, and
// a separate line reports their number. Lines written after Close are dropped.
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
	w := &AsyncWriter{out: out, wakeup: make(chan struct{}, 1), done: make(chan struct{})}
	go w.run()
	return w
}

// Write implements io.Writer.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed || len(w.buffer)+len(line) > maxBufferedBytes {
		w.dropped++
		return len(line), nil
	}
	if len(w.buffer) == 0 {
		w.wakeWriter()
	}
	w.buffer = append(w.buffer, line...)
	return len(line), nil
}

func (w *AsyncWriter) wakeWriter() {
	select {
	case w.wakeup <- struct{}{}:
	default:
	}
}

// Close writes the buffered lines and stops the writer.
func (w *AsyncWriter) Close() {
	w.mu.Lock()
	w.closed = true
	w.wakeWriter()
	w.mu.Unlock()
	<-w.done
}

func (w *AsyncWriter) run() {
	defer close(w.done)
	for {
		<-w.wakeup
		if !w.isClosed() {
			time.Sleep(flushInterval)
		}
		w.flush()
		if w.isClosed() {
			return
		}
	}
}

func (w *AsyncWriter) isClosed() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.closed
}

func (w *AsyncWriter) flush() {
	w.mu.Lock()
	lines, dropped := w.buffer, w.dropped
	w.buffer, w.dropped = nil, 0
	w.mu.Unlock()
	if dropped > 0 {
		lines = fmt.Appendf(lines, "{\"level\":\"info\",\"msg\":\"log lines dropped\",\"lines\":%d}\n", dropped)
	}
	if len(lines) > 0 {
		// An error is ignored: it could only be reported to the log itself.
		_, _ = w.out.Write(lines)
	}
}
