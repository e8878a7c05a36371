package descriptors

import (
	"container/list"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// Pool dials connections to many servers and keeps them open between requests,
// within the budget of the process. The more servers are in use, the fewer
// connections each of them may have. At the limit the pool closes the idle
// connections of the server that was used last: servers are mostly polled in
// turn, so its connections would be needed last. Those of servers that are no
// longer in use close after MaxIdleTime.
type Pool struct {
	budget *Budget
	cfg    PoolConfig

	mu      sync.Mutex
	servers map[string]*server
	// idle holds the *server without requests in progress, the one used last at the
	// back.
	idle      *list.List
	nextPurge time.Time
}

// PoolConfig holds the bounds of a Pool.
type PoolConfig struct {
	DialTimeout time.Duration
	// MaxIdleTime is the time after which an unused connection is closed.
	MaxIdleTime time.Duration
	// MinPerServer and MaxPerServer bound the connections to one server. Further
	// requests wait for one of them.
	MinPerServer, MaxPerServer int
	// MaxResponseBytes bounds the body of a response; a request with a longer one fails.
	MaxResponseBytes int
}

type server struct {
	client   *fasthttp.HostClient
	requests int
	element  *list.Element
}

// NewPool returns a pool without connections.
func NewPool(b *Budget, cfg PoolConfig) *Pool {
	return &Pool{budget: b, cfg: cfg, servers: map[string]*server{}, idle: list.New()}
}

// Do sends a request to a server and waits for the response until the timeout. It
// returns a *LimitError if nothing was sent because of the budget.
func (p *Pool) Do(address string, request *fasthttp.Request, response *fasthttp.Response, timeout time.Duration) error {
	s := p.begin(address)
	defer p.end(s)
	return s.client.DoTimeout(request, response, timeout)
}

func (p *Pool) begin(address string) *server {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.purge()
	s := p.servers[address]
	if s == nil {
		s = &server{client: p.newClient(address)}
		p.servers[address] = s
	}
	s.client.SetMaxConns(p.perServer())
	s.requests++
	if s.element != nil {
		p.idle.Remove(s.element)
		s.element = nil
	}
	return s
}

// perServer returns the number of connections that each server may have.
func (p *Pool) perServer() int {
	share := p.budget.dialLimit() / len(p.servers)
	return min(max(share, p.cfg.MinPerServer), p.cfg.MaxPerServer)
}

func (p *Pool) end(s *server) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s.requests--
	if s.requests == 0 {
		s.element = p.idle.PushBack(s)
	}
}

// purge forgets servers without connections.
func (p *Pool) purge() {
	now := time.Now()
	if now.Before(p.nextPurge) {
		return
	}
	p.nextPurge = now.Add(p.cfg.MaxIdleTime)
	for address, s := range p.servers {
		if s.element != nil && s.client.ConnsCount() == 0 {
			p.idle.Remove(s.element)
			delete(p.servers, address)
		}
	}
}

func (p *Pool) newClient(address string) *fasthttp.HostClient {
	return &fasthttp.HostClient{
		Addr: address, Dial: p.dial, MaxIdleConnDuration: p.cfg.MaxIdleTime,
		MaxResponseBodySize: p.cfg.MaxResponseBytes, MaxConnWaitTimeout: time.Hour, MaxIdemponentCallAttempts: 1, NoDefaultUserAgentHeader: true,
	}
}

func (p *Pool) dial(address string) (net.Conn, error) {
	if err := p.reserve(); err != nil {
		return nil, err
	}
	conn, err := net.DialTimeout("tcp4", address, p.cfg.DialTimeout)
	if err != nil {
		p.budget.dialled.Add(-1)
		return nil, err
	}
	return &dialledConn{Conn: conn, budget: p.budget}, nil
}

// reserve takes a descriptor and closes idle connections if there is none left.
func (p *Pool) reserve() error {
	for {
		limit := p.budget.dialLimit()
		if int(p.budget.dialled.Add(1)) <= limit {
			return nil
		}
		p.budget.dialled.Add(-1)
		if !p.closeIdle() {
			p.budget.observer.CountShed("dialled", EventRefused)
			return &LimitError{Limit: limit}
		}
		p.budget.observer.CountShed("dialled", EventClosedIdle)
	}
}

// closeIdle closes the idle connections of the server that was used last, and
// reports whether there was one.
func (p *Pool) closeIdle() bool {
	p.mu.Lock()
	last := p.idle.Back()
	if last == nil {
		p.mu.Unlock()
		return false
	}
	s := p.idle.Remove(last).(*server)
	s.element = nil
	delete(p.servers, s.client.Addr)
	p.mu.Unlock()
	s.client.CloseIdleConnections()
	return true
}

type dialledConn struct {
	net.Conn
	budget *Budget
	once   sync.Once
}

// Close implements net.Conn.
func (c *dialledConn) Close() error {
	c.once.Do(func() { c.budget.dialled.Add(-1) })
	return c.Conn.Close()
}
