// Package httpapi serves the HTTP API of a host to callers, operators, backend
// servers and workers. It authorizes each request and converts every failure
// into a typed refusal.
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
	"cranberrydrum.dev/daemon/intake"
	"cranberrydrum.dev/daemon/node"
	"cranberrydrum.dev/daemon/panics"
	"cranberrydrum.dev/daemon/shutdown"
	"cranberrydrum.dev/scheduler/structs"
)

// MaxBodyBytes bounds the body of a request, so that a host can forward it to
// another host in one frame.
const MaxBodyBytes = 768 << 10

// maxConnections bounds the concurrent connections of one host.
const maxConnections = 16384

// Server is the HTTP API of one host.
type Server struct {
	node        *node.Node
	log         logr.Logger
	server      *fasthttp.Server
	listener    net.Listener
	connections shutdown.Connections
	requests    *intake.Budget
	auth        *authorizer
	metrics     fasthttp.RequestHandler
	// routes maps "METHOD path" to the handler, for paths without parameters.
	routes map[string]handler
	// inFlightBodyBytes is the total size of the bodies of the requests in
	// progress.
	inFlightBodyBytes    atomic.Int64
	maxInFlightBodyBytes int64
}

// defaultMaxInFlightBodyBytes bounds the total size of the bodies of all
// requests in progress. The class queues bound only the number of requests.
const defaultMaxInFlightBodyBytes = 64 << 20

const (
	// maxBufferBytes bounds the buffers of the requests in progress; that of 2,000 whose
	// headers are read and of 8,000 that are handled.
	maxBufferBytes = 64 << 20
	// bodyFactor is the memory of a request as a multiple of its body: the body and its
	// encoded form for another host.
	bodyFactor = 2
	// maxBodiesBytes bounds the bodies of the requests that are read or handled.
	maxBodiesBytes = bodyFactor * defaultMaxInFlightBodyBytes
)

// ListenError reports that listening on an address failed.
type ListenError struct {
	Address string
	Cause   error
}

// Error implements error.
func (e *ListenError) Error() string { return "cannot listen on " + e.Address + ": " + e.Cause.Error() }

// Unwrap returns the underlying error.
func (e *ListenError) Unwrap() error { return e.Cause }

// New returns a server that listens on the HTTP address of a host. Serve starts
// it.
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
		requests: intake.NewFixedBudget(maxBufferBytes, maxBodiesBytes, n.Metrics(), log),

		maxInFlightBodyBytes: defaultMaxInFlightBodyBytes,
		metrics:              fasthttpadaptor.NewFastHTTPHandler(promhttp.HandlerFor(n.Metrics().Registry, promhttp.HandlerOpts{})),
	}
	s.routes = s.fixedRoutes()
	s.server = &fasthttp.Server{
		Handler:     s.recoverPanics(s.handle),
		ReadTimeout: cfg.Timeouts.HTTPRead,
		IdleTimeout: cfg.Timeouts.HTTPIdle,
		// Without a write timeout, a client that does not read its response would
		// hold its connection and the body indefinitely.
		WriteTimeout:          cfg.Timeouts.HTTPIdle,
		MaxRequestBodySize:    MaxBodyBytes,
		Concurrency:           maxConnections,
		NoDefaultServerHeader: true,
		CloseOnShutdown:       true,
		// Bodies are opaque: fasthttp would re-encode a parsed form, so that
		// executors would receive different bytes.
		DisablePreParseMultipartForm: true,
		ErrorHandler:                 s.handleProtocolError,
		Logger:                       &debugLogger{log: log},
	}
	gate := &intake.Gate{Budget: s.requests, Check: s.checkBody, Respond: s.respondUnread, Factor: bodyFactor}
	gate.Install(s.server)
	return s, nil
}

// Address returns the listen address of the server.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Serve serves requests until Stop.
func (s *Server) Serve() error {
	listener := trackedListener{Listener: s.listener, connections: &s.connections, log: s.log}
	return s.server.Serve(s.requests.Listener(listener, true))
}

// Run serves requests until stop is closed or the host fails, and then shuts the host
// down gracefully: a host that fails goes on answering the requests in progress.
func (s *Server) Run(stop <-chan struct{}) (err error) {
	served := make(chan error, 1)
	go func() { served <- s.Serve() }()
	select {
	case err = <-served:
	case err = <-s.node.Failure():
	case <-stop:
	}
	if err != nil {
		s.log.Error(err, "the host fails; stopping it")
	}
	s.Stop()
	return err
}

// Stop shuts the host down gracefully and returns when all responses are written.
func (s *Server) Stop() {
	schedule := s.node.NewStopSchedule()
	s.node.Stop(schedule, func() { shutdown.FinishRequests(s.server, &s.connections, schedule.AnswerBy, s.log) })
	shutdown.WaitClosed(&s.connections, schedule.CloseBy, s.log)
}

// Shutdown stops accepting connections and waits for the requests in progress
// until the context is done. The host itself goes on.
func (s *Server) Shutdown(ctx context.Context) {
	if err := s.server.ShutdownWithContext(ctx); err != nil {
		s.log.Info("HTTP connections still open at the end of the stop timeout", "error", err.Error())
	}
}

// debugLogger logs the messages of fasthttp at debug level, without their
// arguments.
type debugLogger struct{ log logr.Logger }

// Printf implements fasthttp.Logger.
func (l *debugLogger) Printf(format string, _ ...any) { l.log.V(1).Info("http: " + format) }

// handler processes one request and returns the value to encode as JSON, or an
// error.
type handler func(ctx *fasthttp.RequestCtx) (any, error)

// recoverPanics returns a handler that refuses a request whose handling panics, with
// an unknown outcome, and goes on with the others.
func (s *Server) recoverPanics(handler fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		err := panics.Catch("http_request", func() { handler(ctx) })
		if err == nil {
			return
		}
		panics.Log(s.log, s.node.Metrics(), err, "method", string(ctx.Method()), "path", string(ctx.Path()))
		s.respondRefusal(ctx, structs.RefuseUnknown(structs.CodeInternal, "this host failed to handle the request"))
	}
}

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
		s.handleReady(ctx)
		return
	}
	if service, ok := serviceOf(path); ok && ctx.IsPost() {
		s.runRequest(ctx, service)
		return
	}
	h := s.findHandler(string(ctx.Method()), path)
	if h == nil {
		s.respondRefusal(ctx, structs.RefuseNotRun(structs.CodeNotFound, "no endpoint "+string(ctx.Method())+" "+path))
		return
	}
	value, err := h(ctx)
	if err != nil {
		s.respondError(ctx, err)
		return
	}
	s.respondJSON(ctx, fasthttp.StatusOK, value)
}

// serviceOf extracts the service name from the path of a service request.
func serviceOf(path string) (string, bool) {
	rest, found := strings.CutPrefix(path, api.PathServices)
	if !found {
		return "", false
	}
	return strings.CutSuffix(rest, "/requests")
}

// findHandler returns the handler of a method and path, or nil.
func (s *Server) findHandler(method, path string) handler {
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
		"GET " + api.PathRulesHistory:     s.showRulesHistory,
		"GET " + api.PathStatus:           s.showStatus,
		"GET " + api.PathMembers:          s.listMembers,
		"POST " + api.PathMembers:         s.addMember,
		"DELETE " + api.PathMembers:       s.removeMember,
		"POST " + api.PathEvacuations:     s.evacuate,
		"DELETE " + api.PathEvacuations:   s.restoreDomain,
	}
}

func (s *Server) handleReady(ctx *fasthttp.RequestCtx) {
	if reason := s.node.NotReadyReason(); reason != "" {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		ctx.SetBodyString(reason + "\n")
		return
	}
	ctx.SetBodyString("ready\n")
}

// respondError responds with a refusal. The outcome of an error that is not a
// refusal is reported as unknown, because the request may have taken effect.
func (s *Server) respondError(ctx *fasthttp.RequestCtx, err error) {
	var refused *rulesRefusalError
	if errors.As(err, &refused) {
		s.respondRefusalBody(ctx, refused.result.Refusal, refused.body())
		return
	}
	var refusal *structs.Refusal
	if !errors.As(err, &refusal) {
		refusal = structs.RefuseUnknown(structs.CodeOutcomeUnknown, err.Error())
	}
	s.respondRefusal(ctx, refusal)
}

func (s *Server) respondRefusal(ctx *fasthttp.RequestCtx, r *structs.Refusal) {
	s.respondRefusalBody(ctx, r, api.NewRefusalBody(r))
}

func (s *Server) respondRefusalBody(ctx *fasthttp.RequestCtx, r *structs.Refusal, body api.RefusalBody) {
	s.node.CountRefusal(r)
	ctx.Response.Header.Set(api.HeaderRefusal, string(r.Code))
	s.respondJSON(ctx, api.HTTPStatus(r.Code), body)
}

func (s *Server) respondJSON(ctx *fasthttp.RequestCtx, status int, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	ctx.SetBody(append(data, '\n'))
}

// handleProtocolError responds to data that is not a valid HTTP request.
func (s *Server) handleProtocolError(ctx *fasthttp.RequestCtx, err error) {
	s.requests.CountProtocolError(err)
	var small *fasthttp.ErrSmallBuffer
	if errors.Is(err, fasthttp.ErrBodyTooLarge) || errors.As(err, &small) {
		s.respondRefusal(ctx, structs.RefuseNotRun(structs.CodeTooLarge, "the request is larger than allowed"))
		return
	}
	var netErr net.Error
	if errors.As(err, &netErr) && netErr.Timeout() {
		s.respondTimeout(ctx)
		return
	}
	s.respondRefusal(ctx, structs.RefuseNotRun(structs.CodeInvalid, "the request is not valid HTTP"))
}

// respondTimeout responds to a request that was not received completely in
// time. On a connection without any received data there is no request, so that
// none is counted as refused; clients ignore the status 408 there.
func (s *Server) respondTimeout(ctx *fasthttp.RequestCtx) {
	if conn, ok := ctx.Conn().(*intake.Conn); !ok || conn.HasReceived() {
		s.respondRefusal(ctx, structs.RefuseNotRun(structs.CodeInvalid, "the request did not arrive completely in time"))
	}
	ctx.SetStatusCode(fasthttp.StatusRequestTimeout)
}

// decode decodes a JSON body. It refuses unknown fields and trailing data.
func decode(ctx *fasthttp.RequestCtx, value any) error {
	decoder := json.NewDecoder(strings.NewReader(string(ctx.PostBody())))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(value); err != nil {
		return structs.RefuseNotRun(structs.CodeInvalid, "the body is not valid: "+err.Error())
	}
	if _, err := decoder.Token(); err != io.EOF {
		return structs.RefuseNotRun(structs.CodeInvalid, "the body goes on after its value")
	}
	return nil
}

const (
	// defaultCallTimeout bounds calls to the node for which the client gives no
	// deadline.
	defaultCallTimeout = 5 * time.Second
	// membershipTimeout bounds a membership change. It leaves time for a new
	// member to catch up with the log.
	membershipTimeout = 40 * time.Second
)
