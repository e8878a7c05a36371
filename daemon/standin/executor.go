package standin

import (
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// Request headers that an executor reads.
const (
	// HeaderWorkMS overrides the service time of one request, in milliseconds.
	HeaderWorkMS = "X-Work-Ms"
	// HeaderKey carries the request key of a non-idempotent request.
	HeaderKey = "Idempotency-Key"
)

// ExecutorConfig describes a stand-in executor.
type ExecutorConfig struct {
	ID      string
	Service string
	Domain  string
	// Hosts are the base URLs of the entry hosts to which the executor announces
	// itself.
	Hosts       []string
	Token       string
	Slots       int
	Connections int
	// ServiceTime is the mean of the exponentially distributed service time of
	// requests without HeaderWorkMS.
	ServiceTime time.Duration
	// StragglerShare is the fraction of requests without HeaderWorkMS that take
	// StragglerFactor times as long.
	StragglerShare   float64
	StragglerFactor  float64
	AnnounceInterval time.Duration
	Seed             uint64
}

// ExecutorStats counts the requests and connections of an executor.
type ExecutorStats struct {
	Requests int
	// MaxRunning and MaxConnections are the highest numbers of requests in
	// progress and of open connections at one time.
	MaxRunning      int
	MaxConnections  int
	OpenConnections int
	// Accepted counts all connections accepted since the start.
	Accepted int
	// RunsByKey counts the executions of each request key.
	RunsByKey map[string]int
	// LastRequestAt is the arrival time of the last request.
	LastRequestAt time.Time
}

// Executor is a backend server that announces a bounded number of slots to the
// entry hosts. It responds to POST /run with the body of the request after a
// simulated service time.
type Executor struct {
	cfg         ExecutorConfig
	server      *fasthttp.Server
	listener    net.Listener
	client      *fasthttp.Client
	hosts       *hostList
	conns       *connTable
	stop        chan struct{}
	stopOnce    sync.Once
	wg          sync.WaitGroup
	incarnation uint64

	mu       sync.Mutex
	stats    ExecutorStats
	running  int
	rng      *rand.Rand
	hang     bool
	truncate bool
	draining bool
	// muted executors send no announcements.
	muted    bool
	sequence uint64
}

// NewExecutor starts an executor on a free loopback port and announces it.
func NewExecutor(cfg ExecutorConfig) (*Executor, error) {
	if cfg.AnnounceInterval <= 0 {
		cfg.AnnounceInterval = time.Second
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, &SetupError{Step: "executor", Cause: err}
	}
	e := &Executor{
		cfg:         cfg,
		listener:    listener,
		client:      &fasthttp.Client{ReadTimeout: announceTimeout, WriteTimeout: announceTimeout, MaxIdemponentCallAttempts: 1},
		hosts:       &hostList{urls: cfg.Hosts},
		conns:       &connTable{open: map[*trackedConn]struct{}{}},
		stop:        make(chan struct{}),
		incarnation: uint64(time.Now().UnixNano()),
		rng:         rand.New(rand.NewPCG(cfg.Seed, 1)),
	}
	e.stats.RunsByKey = map[string]int{}
	e.server = &fasthttp.Server{Handler: e.handle, NoDefaultServerHeader: true, DisablePreParseMultipartForm: true, CloseOnShutdown: true, MaxRequestBodySize: 4 << 20}
	e.wg.Add(2)
	go func() { defer e.wg.Done(); _ = e.server.Serve(&trackedListener{listener, e.conns}) }()
	go e.announceLoop()
	return e, nil
}

// announceTimeout bounds each request to an entry host.
const announceTimeout = 2 * time.Second

// Address returns the address on which the executor listens.
func (e *Executor) Address() string { return e.listener.Addr().String() }

// Stats returns a copy of the counters.
func (e *Executor) Stats() ExecutorStats {
	e.mu.Lock()
	defer e.mu.Unlock()
	stats := e.stats
	stats.OpenConnections, stats.MaxConnections, stats.Accepted = e.conns.counts()
	stats.RunsByKey = make(map[string]int, len(e.stats.RunsByKey))
	for key, runs := range e.stats.RunsByKey {
		stats.RunsByKey[key] = runs
	}
	return stats
}

// SilenceOpenConnections stops all responses on the connections that are open
// now, permanently. New connections work.
func (e *Executor) SilenceOpenConnections() {
	for _, conn := range e.conns.all() {
		conn.silent.Store(true)
	}
}

// SetHang makes every request hang without a response.
func (e *Executor) SetHang(on bool) { e.set(&e.hang, on) }

// SetTruncateResponses makes every response end before its Content-Length.
func (e *Executor) SetTruncateResponses(on bool) { e.set(&e.truncate, on) }

// SetMuted stops the announcements, as if the executor had lost its network.
func (e *Executor) SetMuted(on bool) { e.set(&e.muted, on) }

func (e *Executor) set(flag *bool, on bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	*flag = on
}

// Drain stops the announcements and tells a host that the executor takes no new
// requests.
func (e *Executor) Drain() error {
	e.set(&e.draining, true)
	return e.postDeparture("/v1/backends/drain")
}

// Close deregisters the executor from the hosts and stops it.
func (e *Executor) Close() {
	e.set(&e.draining, true)
	_ = e.postDeparture("/v1/backends/leave")
	e.Kill()
}

// Kill stops the executor without notifying the hosts, as in a crash. Requests
// in progress receive no response.
func (e *Executor) Kill() { e.stopOnce.Do(e.kill) }

func (e *Executor) kill() {
	close(e.stop)
	_ = e.listener.Close()
	for _, conn := range e.conns.all() {
		_ = conn.Close()
	}
	done := make(chan struct{})
	go func() { _ = e.server.Shutdown(); close(done) }()
	select {
	case <-done:
	case <-time.After(shutdownTimeout):
	}
}

// shutdownTimeout bounds the wait for the HTTP server to shut down.
const shutdownTimeout = 200 * time.Millisecond

func (e *Executor) handle(ctx *fasthttp.RequestCtx) {
	if string(ctx.Path()) != "/run" {
		ctx.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	work, hang, truncate := e.beginRequest(ctx)
	if hang {
		leaveUnanswered(ctx)
		return
	}
	done := e.simulateWork(work)
	e.endRequest()
	if !done || isSilent(ctx) {
		leaveUnanswered(ctx)
		return
	}
	ctx.Response.Header.Set("X-Executor", e.cfg.ID)
	if truncate {
		e.sendTruncated(ctx)
		return
	}
	ctx.SetBody(append([]byte(nil), ctx.PostBody()...))
}

// simulateWork waits for the service time. It returns false if the executor is
// stopped first.
func (e *Executor) simulateWork(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-e.stop:
		return false
	}
}

// leaveUnanswered sends no response. The connection stays open until the client
// or Kill closes it.
func leaveUnanswered(ctx *fasthttp.RequestCtx) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(conn net.Conn) { _, _ = io.Copy(io.Discard, conn) })
}

func isSilent(ctx *fasthttp.RequestCtx) bool {
	conn, ok := ctx.Conn().(*trackedConn)
	return ok && conn.silent.Load()
}

// beginRequest counts a request and returns its service time and the fault to
// inject, if any.
func (e *Executor) beginRequest(ctx *fasthttp.RequestCtx) (work time.Duration, hang, truncate bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.hang || isSilent(ctx) {
		return 0, true, false
	}
	e.stats.Requests++
	e.stats.LastRequestAt = time.Now()
	if key := string(ctx.Request.Header.Peek(HeaderKey)); key != "" {
		e.stats.RunsByKey[key]++
	}
	e.running++
	e.stats.MaxRunning = max(e.stats.MaxRunning, e.running)
	return e.serviceTime(string(ctx.Request.Header.Peek(HeaderWorkMS))), false, e.truncate
}

func (e *Executor) serviceTime(header string) time.Duration {
	if ms, err := strconv.ParseFloat(header, 64); err == nil {
		return time.Duration(ms * float64(time.Millisecond))
	}
	work := time.Duration(e.rng.ExpFloat64() * float64(e.cfg.ServiceTime))
	if e.rng.Float64() < e.cfg.StragglerShare {
		work = time.Duration(float64(work) * e.cfg.StragglerFactor)
	}
	return work
}

func (e *Executor) endRequest() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running--
}

// sendTruncated sends a Content-Length larger than the body and closes the
// connection.
func (e *Executor) sendTruncated(ctx *fasthttp.RequestCtx) {
	body := append([]byte(nil), ctx.PostBody()...)
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(conn net.Conn) {
		head := "HTTP/1.1 200 OK\r\nContent-Length: " + strconv.Itoa(len(body)+100) + "\r\n\r\n"
		_, _ = conn.Write(append([]byte(head), body...))
	})
}

// announcement is the request body of an announcement.
type announcement struct {
	ID          string `json:"id"`
	Service     string `json:"service"`
	Domain      string `json:"failure_domain"`
	Address     string `json:"address"`
	Slots       int    `json:"slots"`
	Connections int    `json:"connections"`
	Incarnation uint64 `json:"incarnation"`
	Sequence    uint64 `json:"sequence"`
}

// departure is the request body of the drain and leave calls.
type departure struct {
	ID      string `json:"id"`
	Service string `json:"service"`
}

func (e *Executor) announceLoop() {
	defer e.wg.Done()
	ticker := time.NewTicker(e.cfg.AnnounceInterval)
	defer ticker.Stop()
	for {
		if !e.announcesPaused() {
			_ = e.announce()
		}
		select {
		case <-ticker.C:
		case <-e.stop:
			return
		}
	}
}

// announcesPaused reports whether the executor is muted or draining.
func (e *Executor) announcesPaused() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.muted || e.draining
}

// announce posts the announcement to the first host that accepts it.
func (e *Executor) announce() error {
	e.mu.Lock()
	e.sequence++
	sequence := e.sequence
	e.mu.Unlock()
	body, err := json.Marshal(announcement{
		ID:          e.cfg.ID,
		Service:     e.cfg.Service,
		Domain:      e.cfg.Domain,
		Address:     e.Address(),
		Slots:       e.cfg.Slots,
		Connections: e.cfg.Connections,
		Incarnation: e.incarnation,
		Sequence:    sequence,
	})
	if err != nil {
		return &SetupError{Step: "announcement", Cause: err}
	}
	return e.hosts.post(e.client, "/v1/backends/announce", e.cfg.Token, nil, body, nil)
}

// postDeparture posts a drain or leave call to the first host that accepts it.
func (e *Executor) postDeparture(path string) error {
	body, err := json.Marshal(departure{ID: e.cfg.ID, Service: e.cfg.Service})
	if err != nil {
		return &SetupError{Step: "departure", Cause: err}
	}
	return e.hosts.post(e.client, path, e.cfg.Token, nil, body, nil)
}
