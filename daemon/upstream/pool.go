// Package upstream sends attempts to executors over HTTP and classifies failed
// attempts by how far they got.
package upstream

import (
	"errors"
	"io"
	"math"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// Kind classifies a failed attempt by how far it got.
type Kind string

// Kinds of failed attempts. After any kind other than KindNotSent, the request
// may have run.
const (
	// KindNotSent means that nothing was sent, so the request has certainly not
	// run.
	KindNotSent Kind = "not_sent"
	// KindTimeout means that no complete response arrived in time.
	KindTimeout Kind = "timeout"
	// KindBroken means that the connection failed, or that the response is not
	// valid HTTP or is too large.
	KindBroken Kind = "broken"
	// KindIncomplete means that the body of the response is truncated, or that a
	// truncation could not be detected.
	KindIncomplete Kind = "incomplete"
)

// AttemptError reports a failed attempt.
type AttemptError struct {
	Kind   Kind
	Detail string
}

// Error implements error.
func (e *AttemptError) Error() string { return "attempt failed (" + string(e.Kind) + "): " + e.Detail }

// dialError reports a connection that could not be opened, so nothing was sent.
type dialError struct{ cause error }

func (e *dialError) Error() string { return "dial: " + e.cause.Error() }
func (e *dialError) Unwrap() error { return e.cause }

// noConnectionError reports that this host's share of the connections to an
// executor is in use.
type noConnectionError struct{ address string }

func (e *noConnectionError) Error() string { return "all connections to " + e.address + " are in use" }

// withdrawnError reports that the executor must not get requests any more, so nothing was
// sent.
type withdrawnError struct{ address string }

func (e *withdrawnError) Error() string { return e.address + " takes no new requests" }

// Attempt is one request to an executor.
type Attempt struct {
	Address string
	// Connections is the maximum number of connections of this host to the
	// executor.
	Connections int
	// Fresh requires a new connection. A keep-alive connection may have become
	// unresponsive, which would leave the outcome of a non-idempotent request
	// unknown.
	Fresh   bool
	Key     string
	Headers [][2]string
	Body    []byte
	Timeout time.Duration
	// MayStart reports whether the executor still takes new requests; nil stands for true.
	// It is called right before the first byte is written, since the process may be
	// suspended after it has chosen the executor. Attempts that run at the same time for
	// one address must have the same condition.
	MayStart func() bool
}

// Response is the complete response of an executor.
type Response struct {
	Status      int
	ContentType string
	Body        []byte
}

const (
	// maxConnectionAge bounds the age of connections, so that they are replaced
	// before a device on the path drops their state.
	maxConnectionAge  = time.Minute
	maxConnectionIdle = 10 * time.Second
	dialTimeout       = time.Second
	maxResponseBytes  = 16 << 20
)

// Pool holds the connections to executors.
type Pool struct {
	mu      sync.Mutex
	clients map[string]*executorClients
	limits  map[string]*connLimit
	// maxAge and maxIdle bound the age and the idle time of a connection.
	maxAge, maxIdle time.Duration
}

// NewPool returns an empty pool.
func NewPool() *Pool {
	return &Pool{
		clients: map[string]*executorClients{},
		limits:  map[string]*connLimit{},
		maxAge:  maxConnectionAge,
		maxIdle: maxConnectionIdle,
	}
}

// Do sends one attempt and returns the complete response, or an AttemptError.
func (p *Pool) Do(a Attempt) (*Response, error) {
	clients := p.clientsFor(a)
	client := clients.keepAlive
	if a.Fresh {
		client = clients.fresh
	}
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	fillRequest(req, a)
	// readResponse reads the body, because the library treats the end of the
	// connection as the end of a body without Content-Length.
	resp.StreamBody = true
	response, err := exchange(client, req, resp, a.Timeout)
	if clients.removed.Load() {
		clients.closeIdle()
	}
	if err != nil {
		return nil, classify(err)
	}
	return response, nil
}

func exchange(client *fasthttp.HostClient, req *fasthttp.Request, resp *fasthttp.Response, timeout time.Duration) (*Response, error) {
	if err := client.DoTimeout(req, resp, timeout); err != nil {
		return nil, err
	}
	// Closing a partly read stream closes the connection.
	defer func() { _ = resp.CloseBodyStream() }()
	return readResponse(resp)
}

// CloseExecutor closes the connections to an executor that has left. A connection
// in use is closed after its attempt.
func (p *Pool) CloseExecutor(address string) {
	p.mu.Lock()
	clients := p.clients[address]
	delete(p.clients, address)
	p.mu.Unlock()
	if clients != nil {
		clients.removed.Store(true)
		clients.closeIdle()
	}
	p.removeUnusedLimits()
}

// Close closes all idle connections at once, and the others after their attempt.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, clients := range p.clients {
		clients.removed.Store(true)
		clients.closeIdle()
	}
}

// removeUnusedLimits removes the limits of executors that have neither clients
// nor open connections.
func (p *Pool) removeUnusedLimits() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, limit := range p.limits {
		if p.clients[address] == nil && !limit.inUse() {
			delete(p.limits, address)
		}
	}
}

// clientsFor returns the clients of an executor and sets its limit to the current
// share of this host. If more connections are open, it closes the idle ones.
func (p *Pool) clientsFor(a Attempt) *executorClients {
	p.mu.Lock()
	defer p.mu.Unlock()
	limit := p.limits[a.Address]
	if limit == nil {
		limit = &connLimit{}
		p.limits[a.Address] = limit
	}
	clients := p.clients[a.Address]
	if clients == nil {
		clients = p.newClients(a.Address, limit)
		p.clients[a.Address] = clients
	}
	clients.mayStart.Store(&a.MayStart)
	if limit.resize(max(1, a.Connections)) {
		clients.closeIdle()
	}
	return clients
}

func (p *Pool) newClient(address string, dial fasthttp.DialFuncWithTimeout) *fasthttp.HostClient {
	return &fasthttp.HostClient{
		Addr: address,
		// The dial function enforces the limit.
		MaxConns:                      math.MaxInt32,
		MaxConnDuration:               p.maxAge,
		MaxIdleConnDuration:           p.maxIdle,
		NoDefaultUserAgentHeader:      true,
		DisableHeaderNamesNormalizing: false,
		DialTimeout:                   dial,
		// Only the dispatcher decides about retries.
		MaxIdemponentCallAttempts: 1,
		RetryIfErr: func(*fasthttp.Request, int, error) (resetTimeout, retry bool) {
			return false, false
		},
	}
}

func fillRequest(req *fasthttp.Request, a Attempt) {
	req.SetRequestURI("http://" + a.Address + "/run")
	req.Header.SetMethod(fasthttp.MethodPost)
	for _, header := range a.Headers {
		req.Header.Set(header[0], header[1])
	}
	if a.Key != "" {
		req.Header.Set("Idempotency-Key", a.Key)
	}
	if a.Fresh {
		req.SetConnectionClose()
	}
	req.SetBody(a.Body)
}

// readResponse reads the complete response. A body without Content-Length or
// chunked encoding is an error, because a truncated one cannot be detected.
func readResponse(resp *fasthttp.Response) (*Response, error) {
	const identityBody = -2
	response := &Response{Status: resp.StatusCode(), ContentType: string(resp.Header.ContentType())}
	stream := resp.BodyStream()
	if stream == nil {
		return response, nil
	}
	switch length := resp.Header.ContentLength(); {
	case length == identityBody:
		return nil, &AttemptError{Kind: KindIncomplete, Detail: "response without Content-Length"}
	case length > maxResponseBytes:
		return nil, &AttemptError{Kind: KindBroken, Detail: "response too large"}
	}
	body, err := io.ReadAll(io.LimitReader(stream, maxResponseBytes+1))
	if err != nil {
		return nil, err
	}
	if len(body) > maxResponseBytes {
		return nil, &AttemptError{Kind: KindBroken, Detail: "response too large"}
	}
	response.Body = body
	return response, nil
}

// classify converts the error of an attempt into an AttemptError.
func classify(err error) *AttemptError {
	var known *AttemptError
	if errors.As(err, &known) {
		return known
	}
	var dialErr *dialError
	var noConnection *noConnectionError
	var withdrawn *withdrawnError
	if errors.As(err, &dialErr) || errors.As(err, &noConnection) || errors.As(err, &withdrawn) {
		return &AttemptError{Kind: KindNotSent, Detail: err.Error()}
	}
	if errors.Is(err, fasthttp.ErrTimeout) {
		return &AttemptError{Kind: KindTimeout, Detail: "no response within the attempt timeout"}
	}
	var netErr net.Error
	if errors.As(err, &netErr) && netErr.Timeout() {
		return &AttemptError{Kind: KindTimeout, Detail: err.Error()}
	}
	if errors.Is(err, io.ErrUnexpectedEOF) {
		return &AttemptError{Kind: KindIncomplete, Detail: err.Error()}
	}
	return &AttemptError{Kind: KindBroken, Detail: err.Error()}
}
