// Package upstream sends attempts to executors over HTTP and tells what is
// known about each attempt that failed.
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

// Kind says how far a failed attempt got.
type Kind string

// Kinds of failed attempts. Only KindNotSent is certain not to have run.
const (
	KindNotSent    Kind = "not_sent"
	KindTimeout    Kind = "timeout"
	KindBroken     Kind = "broken"
	KindIncomplete Kind = "incomplete"
)

// AttemptError reports a failed attempt.
type AttemptError struct {
	Kind   Kind
	Detail string
}

// Error implements error.
func (e *AttemptError) Error() string { return "attempt failed (" + string(e.Kind) + "): " + e.Detail }

// dialError marks a connection that could not be opened, so that nothing was sent.
type dialError struct{ cause error }

func (e *dialError) Error() string { return "dial: " + e.cause.Error() }
func (e *dialError) Unwrap() error { return e.cause }

// noConnectionError reports that the share of connections is in use.
type noConnectionError struct{ address string }

func (e *noConnectionError) Error() string { return "all connections to " + e.address + " are in use" }

// Attempt is one request to an executor.
type Attempt struct {
	Address string
	// Connections bounds the connections of this host to the executor.
	Connections int
	// Fresh asks for a new connection. A kept connection may have gone silent,
	// which would leave the outcome of a non-idempotent request unknown.
	Fresh   bool
	Key     string
	Headers [][2]string
	Body    []byte
	Timeout time.Duration
}

// Response is the whole answer of an executor.
type Response struct {
	Status      int
	ContentType string
	Body        []byte
}

const (
	// maxConnectionAge replaces connections before something between the two
	// ends loses track of them.
	maxConnectionAge  = time.Minute
	maxConnectionIdle = 10 * time.Second
	dialTimeout       = time.Second
	maxResponseBytes  = 16 << 20
)

// Pool keeps connections to executors.
type Pool struct {
	mu      sync.Mutex
	clients map[string]*executorClients
	limits  map[string]*connLimit
	// maxAge and maxIdle bound how long a connection is kept.
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

// Do sends one attempt and returns the whole answer, or an AttemptError.
func (p *Pool) Do(a Attempt) (*Response, error) {
	clients := p.clientsFor(a)
	client := clients.kept
	if a.Fresh {
		client = clients.fresh
	}
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	fillRequest(req, a)
	// The body is read here, because the library takes the end of the
	// connection for the end of a body without a stated length.
	resp.StreamBody = true
	response, err := exchange(client, req, resp, a.Timeout)
	if clients.gone.Load() {
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
	// Closing a stream that was not read to its end closes the connection.
	defer func() { _ = resp.CloseBodyStream() }()
	return readResponse(resp)
}

// Forget closes the connections to an executor that is gone.
func (p *Pool) Forget(address string) {
	p.mu.Lock()
	clients := p.clients[address]
	delete(p.clients, address)
	p.mu.Unlock()
	if clients != nil {
		clients.gone.Store(true)
		clients.closeIdle()
	}
	p.dropLimits()
}

// Close closes all idle connections, and the others after their attempt.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, clients := range p.clients {
		clients.gone.Store(true)
		clients.closeIdle()
	}
}

// dropLimits forgets the limits of executors without clients and connections.
func (p *Pool) dropLimits() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, limit := range p.limits {
		if p.clients[address] == nil && !limit.inUse() {
			delete(p.limits, address)
		}
	}
}

// clientsFor returns the clients of an executor, within the share of
// connections that this host has now.
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
	if limit.resize(max(1, a.Connections)) {
		clients.closeIdle()
	}
	return clients
}

func (p *Pool) newClient(address string, dial fasthttp.DialFuncWithTimeout) *fasthttp.HostClient {
	return &fasthttp.HostClient{
		Addr: address,
		// The dial function keeps the bound.
		MaxConns:                      math.MaxInt32,
		MaxConnDuration:               p.maxAge,
		MaxIdleConnDuration:           p.maxIdle,
		NoDefaultUserAgentHeader:      true,
		DisableHeaderNamesNormalizing: false,
		DialTimeout:                   dial,
		// The dispatcher alone decides about retries.
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

// readResponse reads the whole answer. A body without a stated end cannot be
// told from one that was cut off, so it is a failure.
func readResponse(resp *fasthttp.Response) (*Response, error) {
	const identityBody = -2
	response := &Response{Status: resp.StatusCode(), ContentType: string(resp.Header.ContentType())}
	stream := resp.BodyStream()
	if stream == nil {
		return response, nil
	}
	switch length := resp.Header.ContentLength(); {
	case length == identityBody:
		return nil, &AttemptError{Kind: KindIncomplete, Detail: "answer without Content-Length"}
	case length > maxResponseBytes:
		return nil, &AttemptError{Kind: KindBroken, Detail: "answer too large"}
	}
	body, err := io.ReadAll(io.LimitReader(stream, maxResponseBytes+1))
	if err != nil {
		return nil, err
	}
	if len(body) > maxResponseBytes {
		return nil, &AttemptError{Kind: KindBroken, Detail: "answer too large"}
	}
	response.Body = body
	return response, nil
}

// classify tells how far a failed attempt got.
func classify(err error) *AttemptError {
	var known *AttemptError
	if errors.As(err, &known) {
		return known
	}
	var dialErr *dialError
	var noConnection *noConnectionError
	if errors.As(err, &dialErr) || errors.As(err, &noConnection) {
		return &AttemptError{Kind: KindNotSent, Detail: err.Error()}
	}
	if errors.Is(err, fasthttp.ErrTimeout) {
		return &AttemptError{Kind: KindTimeout, Detail: "no answer in time"}
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
