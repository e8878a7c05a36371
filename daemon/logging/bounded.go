package logging

import (
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// maxWaiting bounds the lines that wait to be written.
	maxWaiting = 256 << 10
	// flushInterval joins lines into one write.
	flushInterval = 100 * time.Millisecond
)

// Bounded writes lines in the background. It never blocks its caller: lines
// that do not fit are dropped, and counted in a line of their own.
type Bounded struct {
	out     io.Writer
	mu      sync.Mutex
	waiting []byte
	dropped int
	wake    chan struct{}
	done    chan struct{}
	closed  bool
}

// NewBounded returns a writer to out.
func NewBounded(out io.Writer) *Bounded {
	b := &Bounded{out: out, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go b.run()
	return b
}

// Write implements io.Writer.
func (b *Bounded) Write(line []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed || len(b.waiting)+len(line) > maxWaiting {
		b.dropped++
		return len(line), nil
	}
	if len(b.waiting) == 0 {
		b.signal()
	}
	b.waiting = append(b.waiting, line...)
	return len(line), nil
}

func (b *Bounded) signal() {
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

// Close writes what waits and ends the writer.
func (b *Bounded) Close() {
	b.mu.Lock()
	b.closed = true
	b.signal()
	b.mu.Unlock()
	<-b.done
}

func (b *Bounded) run() {
	defer close(b.done)
	for {
		<-b.wake
		if !b.ended() {
			time.Sleep(flushInterval)
		}
		b.flush()
		if b.ended() {
			return
		}
	}
}

func (b *Bounded) ended() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.closed
}

func (b *Bounded) flush() {
	b.mu.Lock()
	lines, dropped := b.waiting, b.dropped
	b.waiting, b.dropped = nil, 0
	b.mu.Unlock()
	if dropped > 0 {
		lines = fmt.Appendf(lines, "{\"level\":\"info\",\"msg\":\"log lines dropped\",\"lines\":%d}\n", dropped)
	}
	if len(lines) > 0 {
		// There is nowhere else to report that the log cannot be written.
		_, _ = b.out.Write(lines)
	}
}
