package node

import (
	"errors"
	"slices"
	"time"

	"cranberrydrum.dev/daemon/transport"
	"cranberrydrum.dev/daemon/upstream"
	"cranberrydrum.dev/scheduler/structs"
)

// replyMargin is the time reserved for the reply of a call to another host that
// is bounded by the deadline of a request.
const replyMargin = 50 * time.Millisecond

// remoteRequest is a request that is sent to another host.
type remoteRequest struct {
	Service       string        `msgpack:"s"`
	Customer      string        `msgpack:"c"`
	Class         structs.Class `msgpack:"k"`
	Key           string        `msgpack:"i,omitempty"`
	NonIdempotent bool          `msgpack:"n,omitempty"`
	Headers       [][2]string   `msgpack:"h,omitempty"`
	Body          []byte        `msgpack:"b"`
}

// remoteResponse is the complete response to a remoteRequest.
type remoteResponse struct {
	Status      int    `msgpack:"s"`
	ContentType string `msgpack:"t,omitempty"`
	Body        []byte `msgpack:"b"`
}

// Run serves a request and returns the complete response of an executor, or a
// structs.Refusal.
func (n *Node) Run(c Call) (*upstream.Response, error) {
	if refusal := n.admit(&c); refusal != nil {
		return nil, refusal
	}
	n.inFlight.begin()
	defer n.inFlight.end()
	start := n.now()
	response, err := n.route(c)
	if err == nil {
		n.metrics.ObserveRequest(c.Request.Service, c.Request.Class, n.now()-start)
	}
	return response, err
}

// admit checks a request against the configuration and sets the default deadline
// if it has none.
func (n *Node) admit(c *Call) *structs.Refusal {
	if n.refusing.Load() {
		return structs.RefuseNotRun(structs.CodeStopping, "this host is stopping")
	}
	cfg := n.config.current().Config
	if cfg == nil {
		return structs.RefuseNotRun(structs.CodeNoConfig, "no configuration is in force on this host")
	}
	r := &c.Request
	if !slices.ContainsFunc(cfg.Services, func(s structs.Service) bool { return s.Name == r.Service }) {
		return structs.RefuseNotRun(structs.CodeNotFound, "no service "+r.Service)
	}
	if !hasGrant(cfg, r.Customer, r.Service, n.cfg.Domain) {
		return structs.RefuseNotRun(structs.CodeForbidden, "customer "+r.Customer+" may not use service "+r.Service)
	}
	if r.NonIdempotent && r.Key == "" {
		return structs.RefuseNotRun(structs.CodeKeyMissing, "a non-idempotent request needs an Idempotency-Key")
	}
	if r.Remaining <= 0 {
		r.Remaining = defaultDeadline(cfg, r.Service, r.Class)
	}
	return nil
}

// hasGrant reports whether a customer may use a service in a failure domain.
func hasGrant(cfg *structs.Config, customer, service, domain string) bool {
	return slices.ContainsFunc(cfg.Grants, func(g structs.Grant) bool {
		return g.Customer == customer && g.Service == service && (g.Domain == "" || g.Domain == domain)
	})
}

// fallbackDeadline applies to classes without a configured default deadline.
const fallbackDeadline = 30 * time.Second

func defaultDeadline(cfg *structs.Config, service string, class structs.Class) time.Duration {
	for _, rule := range cfg.Classes {
		if rule.Service == service && rule.Class == class && rule.DefaultDeadline > 0 {
			return rule.DefaultDeadline
		}
	}
	return fallbackDeadline
}

// route serves an idempotent request on this host, and any other at the owner of
// its key.
func (n *Node) route(c Call) (*upstream.Response, error) {
	if !c.Request.NonIdempotent {
		return n.serveLocally(c)
	}
	home := n.homeOf(c.Request)
	if home == "" {
		return nil, structs.RefuseNotRun(structs.CodeNoConfig, "no failure domain keeps request keys")
	}
	response, err := callLeader[remoteResponse](n, domainGroup(home), methodKeyedRequest, remoteRequestOf(c), c.Request.Remaining, true)
	if err != nil {
		return nil, err
	}
	return response.toResponse(), nil
}

func (n *Node) serveLocally(c Call) (*upstream.Response, error) {
	s := n.service(c.Request.Service)
	if s == nil {
		return nil, structs.RefuseNotRun(structs.CodeNotFound, "no service "+c.Request.Service)
	}
	return s.call(c)
}

func remoteRequestOf(c Call) *remoteRequest {
	return &remoteRequest{
		Service:       c.Request.Service,
		Customer:      c.Request.Customer,
		Class:         c.Request.Class,
		Key:           c.Request.Key,
		NonIdempotent: c.Request.NonIdempotent,
		Headers:       c.Headers,
		Body:          c.Body,
	}
}

func (r *remoteRequest) toCall(remaining time.Duration) Call {
	return Call{
		Request: structs.Request{
			Service:       r.Service,
			Customer:      r.Customer,
			Class:         r.Class,
			Key:           r.Key,
			NonIdempotent: r.NonIdempotent,
			Remaining:     max(remaining-replyMargin, time.Millisecond),
		},
		Headers:   r.Headers,
		Body:      r.Body,
		Forwarded: true,
	}
}

func (r *remoteResponse) toResponse() *upstream.Response {
	return &upstream.Response{Status: r.Status, ContentType: r.ContentType, Body: r.Body}
}

// maxRemoteResponseBytes bounds the body of a response so that it fits into one
// frame between hosts, with 4096 bytes for the rest of the message.
const maxRemoteResponseBytes = transport.MaxFrameBytes - 4096

// remoteResponseOf converts a response for another host. A response that is too
// large is refused with an unknown outcome, because its request has run; it is
// never truncated.
func remoteResponseOf(r *upstream.Response) (any, error) {
	if len(r.Body) > maxRemoteResponseBytes {
		return nil, structs.RefuseUnknown(structs.CodeTooLarge, "the request ran; its answer is too large to be passed between hosts")
	}
	return &remoteResponse{Status: r.Status, ContentType: r.ContentType, Body: r.Body}, nil
}

// handleRequest serves an idempotent request that another host has forwarded.
func (n *Node) handleRequest(_ string, r *remoteRequest, remaining time.Duration) (any, error) {
	if n.refusing.Load() {
		return nil, structs.RefuseNotRun(structs.CodeStopping, "this host is stopping")
	}
	n.inFlight.begin()
	defer n.inFlight.end()
	c := r.toCall(remaining)
	response, err := n.serveAfterStart(c, n.now()+c.Request.Remaining)
	if err != nil {
		return nil, err
	}
	return remoteResponseOf(response)
}

// handleBegunRequest serves a non-idempotent request that the owner of its key
// has recorded and forwarded.
func (n *Node) handleBegunRequest(_ string, r *remoteRequest, remaining time.Duration) (any, error) {
	if n.refusing.Load() {
		return nil, structs.RefuseNotRun(structs.CodeStopping, "this host is stopping")
	}
	n.inFlight.begin()
	defer n.inFlight.end()
	c := r.toCall(remaining)
	c.Begun = true
	response, err := n.serveAfterStart(c, n.now()+c.Request.Remaining)
	if err != nil {
		return nil, err
	}
	return remoteResponseOf(response)
}

// handleKeyedRequest serves a non-idempotent request as the owner of its key.
// A stopping host still serves such requests until it has transferred leadership.
func (n *Node) handleKeyedRequest(_ string, r *remoteRequest, remaining time.Duration) (any, error) {
	n.inFlight.begin()
	defer n.inFlight.end()
	c := r.toCall(remaining)
	// The request may be forwarded once more, because the owner of its key was
	// chosen without regard to load.
	c.Forwarded = false
	response, err := n.serveKeyed(c)
	if err != nil {
		return nil, err
	}
	return remoteResponseOf(response)
}

// keyPollInterval is how often a resend checks for the outcome of the run in
// progress.
const keyPollInterval = 10 * time.Millisecond

// serveKeyed returns the recorded response of the key, or runs the request. A
// resend that finds a run in progress waits for its outcome, so that the caller
// gets the response instead of a refusal.
func (n *Node) serveKeyed(c Call) (*upstream.Response, error) {
	deadline := n.now() + c.Request.Remaining
	for {
		response, err := n.serveKeyedOnce(c, deadline)
		if !isKeyInProgress(err) || n.now()+keyPollInterval >= deadline || !n.wait(keyPollInterval) {
			return response, err
		}
	}
}

// serveKeyedOnce is serveKeyed without the wait. A resend is not served beside the
// request that it repeats.
func (n *Node) serveKeyedOnce(c Call, deadline time.Duration) (*upstream.Response, error) {
	key := storedKey(c.Request)
	if !n.keyedSends.tryBegin(key) {
		return n.responseToResend(c)
	}
	defer n.keyedSends.release(key)
	response, err := n.recordedResponse(c)
	if response == nil && err == nil {
		response, err = n.serveAfterStart(c, deadline)
	}
	return response, err
}

// responseToResend answers a resend of a request that is in progress on this host: with
// the recorded response, or with a refusal that leaves the outcome open. A host that
// does not own the key any more refuses at once, since the new owner may answer.
func (n *Node) responseToResend(c Call) (*upstream.Response, error) {
	response, err := n.recordedResponse(c)
	var refusal *structs.Refusal
	switch {
	case response != nil:
		return response, nil
	case !errors.As(err, &refusal):
		return nil, structs.RefuseUnknown(structs.CodeKeyInProgress, "an earlier send with this key is in progress on this host")
	case refusal.Outcome == structs.OutcomeNotRun && refusal.Code != structs.CodeKeyConflict:
		return nil, structs.RefuseUnknown(structs.CodeOutcomeUnknown, "an earlier send with this key is in progress on this host: "+refusal.Message)
	}
	return nil, refusal
}

// serveAfterStart serves a request here or forwards it. A host that does not yet know
// all backend servers after its start tries again instead of refusing it, because
// a restarted host owns request keys as soon as it is back.
func (n *Node) serveAfterStart(c Call, deadline time.Duration) (*upstream.Response, error) {
	for {
		c.Request.Remaining = max(deadline-n.now(), time.Millisecond)
		response, err := n.serveLocally(c)
		if !n.mayLearnBackends(err) || n.now()+keyPollInterval >= deadline || !n.wait(keyPollInterval) {
			return response, err
		}
	}
}

// mayLearnBackends reports whether a request was refused as not run for want of
// backend servers that this host may still learn of after its start.
func (n *Node) mayLearnBackends(err error) bool {
	var refusal *structs.Refusal
	isRefused := errors.As(err, &refusal) && refusal.Code == structs.CodeNoBackend && refusal.Outcome == structs.OutcomeNotRun
	return isRefused && !n.backends.isSynced(n.now())
}

func isKeyInProgress(err error) bool {
	var refusal *structs.Refusal
	return errors.As(err, &refusal) && refusal.Code == structs.CodeKeyInProgress
}

// recordedResponse returns the response or refusal for a key that was used
// before, and nil for a new key. A resend thus needs no slot and is not refused
// with the outcome "not run" when queues are full.
func (n *Node) recordedResponse(c Call) (*upstream.Response, error) {
	var response *upstream.Response
	err := n.readAsOwner(n.homeOf(c.Request), func(_ time.Duration, o *domainOwner) error {
		decision, known := o.state.Keys().Lookup(storedKey(c.Request), digestOf(c))
		if !known {
			return nil
		}
		var refusal *structs.Refusal
		response, refusal = responseOfDecision(decision)
		if refusal != nil {
			return refusal
		}
		return nil
	})
	return response, err
}
