package node

import "sync"

// inFlight counts the requests in progress.
type inFlight struct {
	mu    sync.Mutex
	count int
	// idle is closed when the count reaches zero. It is nil if nobody waits.
	idle chan struct{}
}

func newInFlight() *inFlight { return &inFlight{} }

func (f *inFlight) begin() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.count++
}

func (f *inFlight) end() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.count--
	if f.count == 0 && f.idle != nil {
		close(f.idle)
		f.idle = nil
	}
}

// waitIdle waits until no request is in progress. It reports false if cancel was
// closed first.
func (f *inFlight) waitIdle(cancel <-chan struct{}) bool {
	f.mu.Lock()
	if f.count == 0 {
		f.mu.Unlock()
		return true
	}
	if f.idle == nil {
		f.idle = make(chan struct{})
	}
	idle := f.idle
	f.mu.Unlock()
	select {
	case <-idle:
		return true
	case <-cancel:
		return false
	}
}
