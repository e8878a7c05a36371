// Package upstream sends attempts to executors over HTTP and tells what is
// known about each attempt that failed.
package upstream

import (
	"errors"
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
}

// executorClients are the connections to one executor. Half of the connections
// are kept for reuse and half are opened for one attempt each, so that together
// they stay within the share of this host.
type executorClients struct {
	kept  *fasthttp.HostClient
	fresh *fasthttp.HostClient
}

// NewPool returns an empty pool.
func NewPool() *Pool { return &Pool{clients: map[string]*executorClients{}} }

// Do sends one attempt and returns the whole answer, or an AttemptError.
func (p *Pool) Do(a Attempt) (*Response, error) {
	client := p.client(a)
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	fillRequest(req, a)
	if err := client.DoTimeout(req, resp, a.Timeout); err != nil {
		return nil, classify(err)
	}
	return copyResponse(resp)
}

// Forget closes the connections to an executor that is gone.
func (p *Pool) Forget(address string) {
	p.mu.Lock()
	clients := p.clients[address]
	delete(p.clients, address)
	p.mu.Unlock()
	if clients != nil {
		clients.kept.CloseIdleConnections()
		clients.fresh.CloseIdleConnections()
	}
}

// Close closes all idle connections.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, clients := range p.clients {
		clients.kept.CloseIdleConnections()
		clients.fresh.CloseIdleConnections()
	}
}

func (p *Pool) client(a Attempt) *fasthttp.HostClient {
	p.mu.Lock()
	defer p.mu.Unlock()
	clients := p.clients[a.Address]
	if clients == nil {
		share := max(1, a.Connections/2)
		clients = &executorClients{kept: newClient(a.Address, share), fresh: newClient(a.Address, share)}
		p.clients[a.Address] = clients
	}
	if a.Fresh {
		return clients.fresh
	}
	return clients.kept
}

func newClient(address string, connections int) *fasthttp.HostClient {
	return &fasthttp.HostClient{
		Addr:                          address,
		MaxConns:                      connections,
		MaxConnDuration:               maxConnectionAge,
		MaxIdleConnDuration:           maxConnectionIdle,
		MaxResponseBodySize:           maxResponseBytes,
		NoDefaultUserAgentHeader:      true,
		DisableHeaderNamesNormalizing: false,
		Dial:                          dial,
		// The dispatcher alone decides about retries.
		MaxIdemponentCallAttempts: 1,
		RetryIfErr: func(*fasthttp.Request, int, error) (resetTimeout, retry bool) {
			return false, false
		},
	}
}

func dial(address string) (net.Conn, error) {
	conn, err := net.DialTimeout("tcp", address, dialTimeout)
	if err != nil {
		return nil, &dialError{cause: err}
	}
	return conn, nil
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

// copyResponse copies what outlives the pooled response. A body without a
// stated end cannot be told from one that was cut off, so it is a failure.
func copyResponse(resp *fasthttp.Response) (*Response, error) {
	const identityBody = -2
	if resp.Header.ContentLength() == identityBody {
		return nil, &AttemptError{Kind: KindIncomplete, Detail: "answer without Content-Length"}
	}
	return &Response{
		Status:      resp.StatusCode(),
		ContentType: string(resp.Header.ContentType()),
		Body:        append([]byte(nil), resp.Body()...),
	}, nil
}

// classify tells how far a failed attempt got.
func classify(err error) *AttemptError {
	var dialErr *dialError
	if errors.As(err, &dialErr) || errors.Is(err, fasthttp.ErrNoFreeConns) {
		return &AttemptError{Kind: KindNotSent, Detail: err.Error()}
	}
	if errors.Is(err, fasthttp.ErrTimeout) {
		return &AttemptError{Kind: KindTimeout, Detail: "no answer in time"}
	}
	var netErr net.Error
	if errors.As(err, &netErr) && netErr.Timeout() {
		return &AttemptError{Kind: KindTimeout, Detail: err.Error()}
	}
	return &AttemptError{Kind: KindBroken, Detail: err.Error()}
}
