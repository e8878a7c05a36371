package transport

import (
	"sync"
	"time"
)

// admissionPollInterval is the interval at which a connection that waits to read a large frame
// looks for room.
const admissionPollInterval = 5 * time.Millisecond

// frameReads bounds the payloads of large frames that are being read from all peers. A payload
// is allocated before it arrives, and many peers may send at the same time.
type frameReads struct {
	limit int64

	mu   sync.Mutex
	used int64
}

// take reserves room for a payload and reports whether there was enough. A single payload
// always fits.
func (r *frameReads) take(size int64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.used > 0 && r.used+size > r.limit {
		return false
	}
	r.used += size
	return true
}

func (r *frameReads) release(size int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.used -= size
}

// admitFrame waits until there is room for a payload, at most for SilenceTimeout. It returns
// the function that frees the room, or false. Small frames, with which hosts show that they
// live, do not wait.
func (t *Transport) admitFrame(size int) (release func(), ok bool) {
	if size <= maxSmallBodyBytes {
		return func() {}, true
	}
	for waited := time.Duration(0); ; waited += admissionPollInterval {
		if t.reads.take(int64(size)) {
			return func() { t.reads.release(int64(size)) }, true
		}
		if waited >= t.cfg.SilenceTimeout || t.isClosed() {
			return nil, false
		}
		t.sleep(admissionPollInterval)
	}
}
