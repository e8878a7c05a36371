package intake

import (
	"errors"
	"net"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	// maxHeaderBytes is the size of the largest header that conforming clients send.
	maxHeaderBytes = 16 << 10
	// ReadBufferBytes is the size of a read buffer for such a header and its first line, a
	// size class of the Go allocator.
	ReadBufferBytes = maxHeaderBytes + 2<<10
	// chunkedFactor is the memory that a body in chunks may take while it is read, as a
	// multiple of the largest body: its size is not known, and the buffer grows by copying.
	chunkedFactor = 2
	// writeTimeout is the time in which a client must read a response.
	writeTimeout = 30 * time.Second
	// markerHeader marks requests to which the server has added an Expect header; its value
	// is their protocol.
	markerHeader   = "X-Cranberrydrum-Expect"
	expectContinue = "100-continue"
	protocol11     = "HTTP/1.1"
)

// Refusal is the answer to a request whose body is not read. It has not run.
type Refusal struct {
	Status int
	Reason Reason
}

// Gate admits the requests of one server.
type Gate struct {
	Budget *Budget
	// Check decides from the header whether a body is read. It returns nil to admit it.
	Check func(header *fasthttp.RequestHeader) *Refusal
	// Respond writes the response to a refused request, with its status.
	Respond func(ctx *fasthttp.RequestCtx, r *Refusal)
	// Factor is the memory that a request takes while it is handled, as a multiple of the
	// size of its body.
	Factor int
}

// Install adds the gate to a server, whose other fields are set before. Its listener must be
// that of the budget.
//
// The body of a request is admitted by the handling of "Expect: 100-continue", which is the
// only place between header and body at which fasthttp gives access to the connection without
// a buffer for each idle one. Requests of clients that have not asked for the interim response
// are marked; Conn does not send it to them.
func (g *Gate) Install(server *fasthttp.Server) {
	g.Budget.admitBody(max(g.bodyCharge(server.MaxRequestBodySize), chunkedFactor*int64(server.MaxRequestBodySize)))
	server.DisablePreParseMultipartForm = true
	if server.WriteTimeout == 0 {
		server.WriteTimeout = writeTimeout
	}
	server.HeaderReceived = g.markBody
	maxBody := server.MaxRequestBodySize
	server.ExpectHandler = func(ctx *fasthttp.RequestCtx) int { return g.admitBody(ctx, maxBody) }
	handler := server.Handler
	server.Handler = func(ctx *fasthttp.RequestCtx) {
		if g.admitHandling(ctx) {
			handler(ctx)
		}
	}
	state := server.ConnState
	server.ConnState = func(conn net.Conn, s fasthttp.ConnState) {
		if state != nil {
			state(unwrap(conn), s)
		}
		recordState(conn, s)
	}
	if server.ErrorHandler == nil {
		server.ErrorHandler = g.respondProtocolError
	}
}

func (g *Gate) bodyCharge(size int) int64 { return int64(size) * int64(max(1, g.Factor)) }

func bodyClass(size int) class {
	if size <= smallBodyBytes {
		return classSmallBody
	}
	return classLargeBody
}

func unwrap(conn net.Conn) net.Conn {
	if c, ok := conn.(*Conn); ok {
		return c.Conn
	}
	return conn
}

// recordState charges a request when it begins and ends its charge when its response is
// written.
func recordState(conn net.Conn, state fasthttp.ConnState) {
	c, ok := conn.(*Conn)
	if !ok {
		return
	}
	switch state {
	case fasthttp.StateActive:
		c.beginBuffered()
	case fasthttp.StateIdle:
		c.budget.release(c)
	}
}

// markBody makes the server ask before it reads a body.
func (g *Gate) markBody(header *fasthttp.RequestHeader) fasthttp.RequestConfig {
	header.Del(markerHeader)
	if length := header.ContentLength(); length == 0 || length == -2 {
		return fasthttp.RequestConfig{}
	}
	protocol := string(header.Protocol())
	if protocol == protocol11 && string(header.Peek(fasthttp.HeaderExpect)) == expectContinue {
		return fasthttp.RequestConfig{}
	}
	header.Set(markerHeader, protocol)
	header.Set(fasthttp.HeaderExpect, expectContinue)
	header.SetProtocol(protocol11)
	return fasthttp.RequestConfig{}
}

// admitBody decides whether the body of a request is read, and returns the status 100 or that
// of the refusal.
func (g *Gate) admitBody(ctx *fasthttp.RequestCtx, maxBody int) int {
	header := &ctx.Request.Header
	conn, ok := ctx.Conn().(*Conn)
	hide := restoreHeader(header)
	length := header.ContentLength()
	if r := g.Check(header); r != nil {
		return g.refuse(ctx, r)
	}
	if length > maxBody {
		return g.refuse(ctx, &Refusal{Status: fasthttp.StatusRequestEntityTooLarge, Reason: ReasonTooLarge})
	}
	if !ok {
		return fasthttp.StatusContinue
	}
	size, charge := length, g.bodyCharge(length)
	if length < 0 {
		size, charge = maxBody, chunkedFactor*int64(maxBody)
	}
	// A request that waits for the server is not slow.
	conn.enter(phaseHandling, 0)
	if !g.Budget.charge(conn, bodyClass(size), charge) {
		return g.refuse(ctx, &Refusal{Status: fasthttp.StatusServiceUnavailable, Reason: ReasonBudget})
	}
	conn.enter(phaseReading, int64(size))
	conn.limitRead(bodyTimeout + time.Duration(size)*time.Second/minBodyBytesPerSecond)
	if hide {
		conn.interim = &interimFilter{}
	}
	return fasthttp.StatusContinue
}

// restoreHeader undoes markBody and reports whether the client has not asked for the interim
// response.
func restoreHeader(header *fasthttp.RequestHeader) bool {
	protocol := header.Peek(markerHeader)
	if len(protocol) == 0 {
		return false
	}
	header.SetProtocolBytes(protocol)
	header.Del(markerHeader)
	header.Del(fasthttp.HeaderExpect)
	return true
}

func (g *Gate) refuse(ctx *fasthttp.RequestCtx, r *Refusal) int {
	g.Budget.events.count(r.Reason)
	if conn, ok := ctx.Conn().(*Conn); ok {
		conn.refused = true
	}
	g.Respond(ctx, r)
	return ctx.Response.StatusCode()
}

// Path returns the normalized path of a request, as ctx.Path does for its handler.
func Path(header *fasthttp.RequestHeader) string {
	var uri fasthttp.URI
	if uri.Parse(nil, header.RequestURI()) != nil {
		return ""
	}
	return string(uri.Path())
}

// admitHandling charges what is not charged yet and reports whether the request is handled.
func (g *Gate) admitHandling(ctx *fasthttp.RequestCtx) bool {
	conn, ok := ctx.Conn().(*Conn)
	if !ok {
		return true
	}
	conn.startHandling()
	size := len(ctx.Request.Body())
	if rest := g.bodyCharge(size) - conn.bodyCharged(); rest > 0 && !g.Budget.charge(conn, bodyClass(size), rest) {
		ctx.SetStatusCode(g.refuse(ctx, &Refusal{Status: fasthttp.StatusServiceUnavailable, Reason: ReasonBudget}))
		ctx.SetConnectionClose()
		return false
	}
	return true
}

func (c *Conn) bodyCharged() int64 {
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	return c.bodyBytes
}

// CountProtocolError counts a request that could not be read, if a limit is the reason, and
// returns the status of the response.
func (b *Budget) CountProtocolError(err error) int {
	var small *fasthttp.ErrSmallBuffer
	var network net.Error
	switch {
	case errors.As(err, &small):
		b.events.count(ReasonTooLarge)
		return fasthttp.StatusRequestHeaderFieldsTooLarge
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		b.events.count(ReasonTooLarge)
		return fasthttp.StatusRequestEntityTooLarge
	case errors.As(err, &network) && network.Timeout():
		b.events.count(ReasonTimeout)
		return fasthttp.StatusRequestTimeout
	}
	return fasthttp.StatusBadRequest
}

func (g *Gate) respondProtocolError(ctx *fasthttp.RequestCtx, err error) {
	status := g.Budget.CountProtocolError(err)
	ctx.Error(fasthttp.StatusMessage(status), status)
}
