package logging_test

import (
	"bytes"
	"strings"
	"sync"
	"testing"

	"cranberrydrum.dev/daemon/logging"
)

// blockedWriter is an output whose writes block until unblock is closed.
type blockedWriter struct {
	unblock chan struct{}
	mu      sync.Mutex
	data    bytes.Buffer
}

func (s *blockedWriter) Write(p []byte) (int, error) {
	<-s.unblock
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.data.Write(p)
}

// TestAsyncWriterDropsLines guards against a process that blocks while the reader
// of its log is slow, and against dropped lines that are not reported.
func TestAsyncWriterDropsLines(t *testing.T) {
	out := &blockedWriter{unblock: make(chan struct{})}
	writer := logging.NewAsyncWriter(out)
	line := []byte(strings.Repeat("x", 1023) + "\n")
	for range 2000 {
		if n, err := writer.Write(line); n != len(line) || err != nil {
			t.Fatalf("Write returned %d, %v", n, err)
		}
	}
	close(out.unblock)
	writer.Close()
	if text := out.data.String(); !strings.Contains(text, "log lines dropped") || len(text) > 1<<20 {
		t.Fatalf("wrote %d bytes, dropped lines reported: %v", len(text), strings.Contains(text, "dropped"))
	}
}
