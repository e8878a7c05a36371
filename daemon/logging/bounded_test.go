package logging_test

import (
	"bytes"
	"strings"
	"sync"
	"testing"

	"cranberrydrum.dev/daemon/logging"
)

// stuck is an output that takes nothing until it is opened.
type stuck struct {
	open chan struct{}
	mu   sync.Mutex
	data bytes.Buffer
}

func (s *stuck) Write(p []byte) (int, error) {
	<-s.open
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.data.Write(p)
}

// TestBoundedDrops guards against a process that waits for whoever reads its
// log, and against lines that are lost without a word.
func TestBoundedDrops(t *testing.T) {
	out := &stuck{open: make(chan struct{})}
	b := logging.NewBounded(out)
	line := []byte(strings.Repeat("x", 1023) + "\n")
	for range 2000 {
		if n, err := b.Write(line); n != len(line) || err != nil {
			t.Fatalf("Write = %d, %v", n, err)
		}
	}
	close(out.open)
	b.Close()
	if text := out.data.String(); !strings.Contains(text, "log lines dropped") || len(text) > 1<<20 {
		t.Fatalf("%d bytes, dropped lines reported: %v", len(text), strings.Contains(text, "dropped"))
	}
}
