package intake

import (
	"runtime"
	"sync"
	"time"

	"github.com/go-logr/logr"
)

const (
	// requestBytes covers the read buffer, the parsed header, the write buffer and the stack
	// of a request, handlingBytes what is left of them once its handler runs.
	requestBytes  = 32 << 10
	handlingBytes = 8 << 10
	// softLimitShare is the share of the memory of the machine that the Go heap may take
	// before the garbage collector works harder; see heapFraction of cranberrydrumd.
	softLimitShare = 0.6
	// collectorFactor is the memory that a live byte takes between two garbage collections.
	collectorFactor = 2
	// requestShareDivisor is the inverse of the share of the budget for buffers of requests;
	// the rest is for bodies.
	requestShareDivisor = 2
	// smallShareDivisor is the inverse of the share of the bytes for bodies that only small
	// bodies may take, so that large ones cannot lock them out.
	smallShareDivisor = 8
	// smallBodyBytes is the size of a small body.
	smallBodyBytes = 16 << 10
	// maxWait bounds the time for which a request waits for bytes of the budget.
	maxWait = time.Second
	// waitPollInterval is the interval at which the first request of a queue looks for bytes.
	waitPollInterval = 10 * time.Millisecond
	// A request may be dropped for another one once it is in progress for longer than
	// dropGrace plus the time that its size takes at dropBytesPerSecond.
	dropGrace          = 250 * time.Millisecond
	dropBytesPerSecond = 1 << 20
)

// class selects the part of the budget and the queue of a charge.
type class int

const (
	classRequest class = iota
	classSmallBody
	classLargeBody
	classCount
)

// Budget is the number of bytes that the requests of a process may hold.
type Budget struct {
	requestLimit, bodyLimit int64
	events                  *events

	mu sync.Mutex
	// requestUsed and bodyUsed are what is charged, requestFreeing and bodyFreeing the part
	// of it that belongs to dropped connections.
	requestUsed, bodyUsed       int64
	requestFreeing, bodyFreeing int64
	// active holds the connections with a charge.
	active map[*Conn]struct{}
	queues [classCount][]*waiter
}

type waiter struct{ first chan struct{} }

// BudgetConfig describes the memory of a process.
type BudgetConfig struct {
	// MemoryBytes is the memory of the machine.
	MemoryBytes int64
	// StateBytes is the memory that the process may take for what is no request, beyond its
	// use at the time at which the budget is made.
	StateBytes int64
	Observer   Observer
	Logger     logr.Logger
}

// NewBudget returns a budget of what the memory of the machine leaves to requests beside the
// present use of the process.
func NewBudget(cfg BudgetConfig) *Budget {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	atRest := int64(m.Sys - m.HeapReleased)
	total := (int64(softLimitShare*float64(cfg.MemoryBytes)) - atRest - cfg.StateBytes) / collectorFactor
	buffers := total / requestShareDivisor
	b := NewFixedBudget(buffers, total-buffers, cfg.Observer, cfg.Logger)
	cfg.Logger.Info("memory budget of requests", "memory_mb", cfg.MemoryBytes>>20, "at_rest_kb", atRest>>10,
		"buffers_kb", b.requestLimit>>10, "bodies_kb", b.bodyLimit>>10)
	return b
}

// NewFixedBudget returns a budget of a number of bytes for buffers and one for bodies. A single
// request always fits.
func NewFixedBudget(buffers, bodies int64, observer Observer, log logr.Logger) *Budget {
	return &Budget{requestLimit: max(buffers, requestBytes), bodyLimit: max(bodies, 0), events: newEvents(observer, log), active: map[*Conn]struct{}{}}
}

// admitBody makes sure that a single body with a given charge fits.
func (b *Budget) admitBody(charge int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	// The largest body must fit beside the share of small ones.
	b.bodyLimit = max(b.bodyLimit, charge+charge/(smallShareDivisor-1)+1)
}

// limit returns the bytes that charges of a class and those which share a part with it may
// take. b.mu is held.
func (b *Budget) limit(c class) int64 {
	switch c {
	case classRequest:
		return b.requestLimit
	case classLargeBody:
		return b.bodyLimit - b.bodyLimit/smallShareDivisor
	default:
		return b.bodyLimit
	}
}

func (b *Budget) used(c class) (used, freeing int64) {
	if c == classRequest {
		return b.requestUsed, b.requestFreeing
	}
	return b.bodyUsed, b.bodyFreeing
}

// charge charges a connection with n bytes of a class. It waits while the budget is short,
// and drops requests that are slow for their size. It returns false if the connection was
// dropped or the wait took too long.
func (b *Budget) charge(conn *Conn, c class, n int64) bool {
	b.mu.Lock()
	if len(b.queues[c]) == 0 && b.take(conn, c, n) {
		b.mu.Unlock()
		return true
	}
	w := &waiter{first: make(chan struct{}, 1)}
	b.queues[c] = append(b.queues[c], w)
	if len(b.queues[c]) == 1 {
		w.first <- struct{}{}
	}
	b.mu.Unlock()
	defer b.leave(c, w)
	timeout := time.NewTimer(maxWait)
	defer timeout.Stop()
	select {
	case <-w.first:
	case <-timeout.C:
		return false
	}
	ticker := time.NewTicker(waitPollInterval)
	defer ticker.Stop()
	for {
		if b.takeOrDrop(conn, c, n) {
			return true
		}
		select {
		case <-ticker.C:
		case <-timeout.C:
			return false
		}
	}
}

// leave removes a waiter from its queue.
func (b *Budget) leave(c class, w *waiter) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for i, other := range b.queues[c] {
		if other != w {
			continue
		}
		b.queues[c] = append(b.queues[c][:i], b.queues[c][i+1:]...)
		if i == 0 && len(b.queues[c]) > 0 {
			b.queues[c][0].first <- struct{}{}
		}
		return
	}
}

// take charges a connection if the bytes are free. b.mu is held.
func (b *Budget) take(conn *Conn, c class, n int64) bool {
	if used, _ := b.used(c); used+n > b.limit(c) || conn.dropped {
		return false
	}
	b.add(conn, c, n)
	return true
}

// add changes the charge of a connection. b.mu is held.
func (b *Budget) add(conn *Conn, c class, n int64) {
	if c == classRequest {
		conn.requestBytes += n
		b.requestUsed += n
	} else {
		conn.bodyBytes += n
		b.bodyUsed += n
	}
	b.active[conn] = struct{}{}
}

// takeOrDrop charges a connection. If the bytes are not free, it drops requests until they
// will be.
func (b *Budget) takeOrDrop(conn *Conn, c class, n int64) bool {
	b.mu.Lock()
	if b.take(conn, c, n) {
		b.mu.Unlock()
		return true
	}
	var victims []*Conn
	now := time.Now()
	for {
		used, freeing := b.used(c)
		if used-freeing+n <= b.limit(c) {
			break
		}
		victim := b.slowest(now, func(other *Conn) bool { return c == classRequest || other.bodyBytes > 0 })
		if victim == nil {
			break
		}
		b.markDropped(victim)
		victims = append(victims, victim)
	}
	b.mu.Unlock()
	for _, victim := range victims {
		b.events.count(ReasonSlow)
		_ = victim.Conn.Close()
	}
	return false
}

// markDropped records that a connection is being closed. b.mu is held.
func (b *Budget) markDropped(conn *Conn) {
	conn.dropped = true
	b.requestFreeing += conn.requestBytes
	b.bodyFreeing += conn.bodyBytes
}

// slowest returns the request in progress that is slowest for its size among those for which
// the function returns true, or nil if each may take longer. A request that is being handled
// does not wait for its client. b.mu is held.
func (b *Budget) slowest(now time.Time, matches func(*Conn) bool) *Conn {
	var slowest *Conn
	most := 1.0
	for conn := range b.active {
		if conn.dropped || conn.phase == phaseHandling || !matches(conn) {
			continue
		}
		allowed := dropGrace + time.Duration(conn.size)*time.Second/dropBytesPerSecond
		if ratio := float64(now.Sub(conn.since)) / float64(allowed); ratio > most {
			slowest, most = conn, ratio
		}
	}
	return slowest
}

// DropSlowest closes the connection whose request is slowest for its size, and reports
// whether there was one. It frees a descriptor for a new connection.
func (b *Budget) DropSlowest() bool {
	b.mu.Lock()
	victim := b.slowest(time.Now(), func(*Conn) bool { return true })
	if victim != nil {
		b.markDropped(victim)
	}
	b.mu.Unlock()
	if victim == nil {
		return false
	}
	b.events.count(ReasonDescriptors)
	_ = victim.Conn.Close()
	return true
}

// release ends all charges of a connection.
func (b *Budget) release(conn *Conn) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if conn.dropped {
		b.requestFreeing -= conn.requestBytes
		b.bodyFreeing -= conn.bodyBytes
	}
	b.requestUsed -= conn.requestBytes
	b.bodyUsed -= conn.bodyBytes
	conn.requestBytes, conn.bodyBytes, conn.size, conn.phase = 0, 0, 0, phaseIdle
	delete(b.active, conn)
}
