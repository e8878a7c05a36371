// Package httpapi serves the HTTP API of a host to callers, operators, backend
// servers and workers. It checks who may do what and turns every failure into
// a typed refusal.
package httpapi

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttpadaptor"

	"cranberrydrum.dev/daemon/api"
	"cranberrydrum.dev/daemon/node"
	"cranberrydrum.dev/scheduler/structs"
)

// MaxBodyBytes bounds the body of a request, so that it fits one frame between
// hosts.
const MaxBodyBytes = 768 << 10

// maxConnections bounds the open connections of one host.
const maxConnections = 16384

// Server is the HTTP API of one host.
type Server struct {
	node     *node.Node
	log      logr.Logger
	server   *fasthttp.Server
	listener net.Listener
	auth     *authorizer
	metrics  fasthttp.RequestHandler
	// routes maps "METHOD path" to the handlers of fixed paths.
	routes map[string]handler
	// bodyBytes is the size of the bodies of the requests in progress.
	bodyBytes    atomic.Int64
	maxBodyBytes int64
}

// maxBodiesBytes bounds the bodies of all requests in progress together. The
// queues of the classes bound their number only.
const maxBodiesBytes = 64 << 20

// ListenError reports an address that cannot be listened on.
type ListenError struct {
	Address string
	Cause   error
}

// Error implements error.
func (e *ListenError) Error() string { return "cannot listen on " + e.Address + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error { return e.Cause }

// New listens on the HTTP address of a host.
func New(n *node.Node, log logr.Logger) (*Server, error) {
	cfg := n.Settings()
	listener, err := net.Listen("tcp", cfg.HTTPListen)
	if err != nil {
		return nil, &ListenError{Address: cfg.HTTPListen, Cause: err}
	}
	s := &Server{
		node:     n,
		log:      log,
		listener: listener,
		auth:     newAuthorizer(n),

		maxBodyBytes: maxBodiesBytes,
		metrics:      fasthttpadaptor.NewFastHTTPHandler(promhttp.HandlerFor(n.Metrics().Registry, promhttp.HandlerOpts{})),
	}
	s.routes = s.fixedRoutes()
	s.server = &fasthttp.Server{
		Handler:     s.handle,
		ReadTimeout: cfg.Timeouts.HTTPRead,
		IdleTimeout: cfg.Timeouts.HTTPIdle,
		// A client that does not read its answer would hold its connection
		// and the body for ever.
		WriteTimeout:          cfg.Timeouts.HTTPIdle,
		MaxRequestBodySize:    MaxBodyBytes,
		Concurrency:           maxConnections,
		NoDefaultServerHeader: true,
		CloseOnShutdown:       true,
		// Bodies are opaque: a parsed form would be written anew for executors.
		DisablePreParseMultipartForm: true,
		ErrorHandler:                 s.handleProtocolError,
		Logger:                       &quietLogger{log: log},
	}
	return s, nil
}

// Address returns where the server listens.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Serve answers requests until Shutdown.
func (s *Server) Serve() error { return s.server.Serve(usageListener{s.listener}) }

// Shutdown stops accepting connections and waits for the requests in progress.
func (s *Server) Shutdown(ctx context.Context) {
	if err := s.server.ShutdownWithContext(ctx); err != nil {
		s.log.Info("some HTTP connections were still open at the end of the stop timeout", "error", err.Error())
	}
}

// quietLogger passes messages of the HTTP library on at debug level.
type quietLogger struct{ log logr.Logger }

// Printf implements fasthttp.Logger.
func (l *quietLogger) Printf(format string, _ ...any) { l.log.V(1).Info("http: " + format) }

// handler answers one request with a value to encode, or an error.
type handler func(ctx *fasthttp.RequestCtx) (any, error)

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	switch path {
	case api.PathMetrics:
		s.metrics(ctx)
		return
	case api.PathHealth:
		ctx.SetBodyString("ok\n")
		return
	case api.PathReady:
		s.ready(ctx)
		return
	}
	if service, ok := serviceOf(path); ok && ctx.IsPost() {
		s.runRequest(ctx, service)
		return
	}
	h := s.find(string(ctx.Method()), path)
	if h == nil {
		s.refuse(ctx, structs.NotRun(structs.CodeNotFound, "no endpoint "+string(ctx.Method())+" "+path))
		return
	}
	value, err := h(ctx)
	if err != nil {
		s.fail(ctx, err)
		return
	}
	s.respond(ctx, fasthttp.StatusOK, value)
}

// serviceOf returns the service in the path of a request to it.
func serviceOf(path string) (string, bool) {
	rest, found := strings.CutPrefix(path, api.PathServices)
	if !found {
		return "", false
	}
	return strings.CutSuffix(rest, "/requests")
}

// find returns the handler of a method and path, or nil.
func (s *Server) find(method, path string) handler {
	if id, found := strings.CutPrefix(path, api.PathJobs+"/"); found && id != "" {
		switch method {
		case fasthttp.MethodGet:
			return func(ctx *fasthttp.RequestCtx) (any, error) { return s.showJob(ctx, id) }
		case fasthttp.MethodDelete:
			return func(ctx *fasthttp.RequestCtx) (any, error) { return s.cancelJob(ctx, id) }
		}
		return nil
	}
	return s.routes[method+" "+path]
}

func (s *Server) fixedRoutes() map[string]handler {
	return map[string]handler{
		"POST " + api.PathJobs:            s.submitJob,
		"GET " + api.PathJobs:             s.listJobs,
		"POST " + api.PathBackendAnnounce: s.announceBackend,
		"POST " + api.PathBackendDrain:    s.drainBackend,
		"POST " + api.PathBackendLeave:    s.leaveBackend,
		"POST " + api.PathWorkerRenew:     s.renewWorker,
		"POST " + api.PathWorkerLeave:     s.leaveWorker,
		"GET " + api.PathRules:            s.showRules,
		"POST " + api.PathRules:           s.applyRules,
		"GET " + api.PathRulesHistory:     s.rulesHistory,
		"GET " + api.PathStatus:           s.status,
		"GET " + api.PathMembers:          s.members,
		"POST " + api.PathMembers:         s.addMember,
		"DELETE " + api.PathMembers:       s.removeMember,
	}
}

func (s *Server) ready(ctx *fasthttp.RequestCtx) {
	if reason := s.node.NotReady(); reason != "" {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		ctx.SetBodyString(reason + "\n")
		return
	}
	ctx.SetBodyString("ready\n")
}

// fail answers with a refusal. An error that is no refusal leaves the outcome
// open, because what it did is not known.
func (s *Server) fail(ctx *fasthttp.RequestCtx, err error) {
	var refused *rulesRefusal
	if errors.As(err, &refused) {
		s.refuseWith(ctx, refused.result.Refusal, refused.body())
		return
	}
	var refusal *structs.Refusal
	if !errors.As(err, &refusal) {
		refusal = structs.Unknown(structs.CodeOutcomeUnknown, err.Error())
	}
	s.refuse(ctx, refusal)
}

func (s *Server) refuse(ctx *fasthttp.RequestCtx, r *structs.Refusal) {
	s.refuseWith(ctx, r, api.BodyOf(r))
}

func (s *Server) refuseWith(ctx *fasthttp.RequestCtx, r *structs.Refusal, body api.RefusalBody) {
	s.node.Refused(r)
	ctx.Response.Header.Set(api.HeaderRefusal, string(r.Code))
	s.respond(ctx, api.HTTPStatus(r.Code), body)
}

func (s *Server) respond(ctx *fasthttp.RequestCtx, status int, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	ctx.SetBody(append(data, '\n'))
}

// handleProtocolError answers bytes that are no valid HTTP request.
func (s *Server) handleProtocolError(ctx *fasthttp.RequestCtx, err error) {
	var small *fasthttp.ErrSmallBuffer
	if errors.Is(err, fasthttp.ErrBodyTooLarge) || errors.As(err, &small) {
		s.refuse(ctx, structs.NotRun(structs.CodeTooLarge, "the request is larger than allowed"))
		return
	}
	var netErr net.Error
	if errors.As(err, &netErr) && netErr.Timeout() {
		s.refuseTimeout(ctx)
		return
	}
	s.refuse(ctx, structs.NotRun(structs.CodeInvalid, "the request is not valid HTTP"))
}

// refuseTimeout answers a request that did not arrive completely. A connection
// on which nothing arrived carries no request to refuse; clients ignore status
// 408 on it.
func (s *Server) refuseTimeout(ctx *fasthttp.RequestCtx) {
	if conn, ok := ctx.Conn().(*usageConn); !ok || conn.used.Load() {
		s.refuse(ctx, structs.NotRun(structs.CodeInvalid, "the request did not arrive completely in time"))
	}
	ctx.SetStatusCode(fasthttp.StatusRequestTimeout)
}

// decode reads a JSON body and refuses unknown fields.
func decode(ctx *fasthttp.RequestCtx, value any) error {
	decoder := json.NewDecoder(strings.NewReader(string(ctx.PostBody())))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(value); err != nil {
		return structs.NotRun(structs.CodeInvalid, "the body is not valid: "+err.Error())
	}
	if _, err := decoder.Token(); err != io.EOF {
		return structs.NotRun(structs.CodeInvalid, "the body goes on after its value")
	}
	return nil
}

const (
	// clientTimeout bounds calls for which the client states no deadline.
	clientTimeout = 5 * time.Second
	// memberTimeout lets a new member of a log catch up.
	memberTimeout = 40 * time.Second
)
