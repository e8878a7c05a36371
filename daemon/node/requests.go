package node

import (
	"errors"
	"slices"
	"time"

	"cranberrydrum.dev/daemon/transport"
	"cranberrydrum.dev/daemon/upstream"
	"cranberrydrum.dev/scheduler/structs"
)

// replyMargin is left for the reply when a call to another host is bounded
// by the deadline of a request.
const replyMargin = 50 * time.Millisecond

// remoteCall is a request on its way to another host.
type remoteCall struct {
	Service       string        `msgpack:"s"`
	Customer      string        `msgpack:"c"`
	Class         structs.Class `msgpack:"k"`
	Key           string        `msgpack:"i,omitempty"`
	NonIdempotent bool          `msgpack:"n,omitempty"`
	Headers       [][2]string   `msgpack:"h,omitempty"`
	Body          []byte        `msgpack:"b"`
}

// remoteAnswer is the whole answer to a remote call.
type remoteAnswer struct {
	Status      int    `msgpack:"s"`
	ContentType string `msgpack:"t,omitempty"`
	Body        []byte `msgpack:"b"`
}

// Run serves a request and returns the whole answer of an executor, or a
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
		n.metrics.Answered(c.Request.Service, c.Request.Class, n.now()-start)
	}
	return response, err
}

// admit checks a request against the configuration and fills in its deadline.
func (n *Node) admit(c *Call) *structs.Refusal {
	if n.refusing.Load() {
		return structs.NotRun(structs.CodeStopping, "this host is stopping")
	}
	cfg := n.config.current().Config
	if cfg == nil {
		return structs.NotRun(structs.CodeNoConfig, "no configuration is in force on this host")
	}
	r := &c.Request
	if !slices.ContainsFunc(cfg.Services, func(s structs.Service) bool { return s.Name == r.Service }) {
		return structs.NotRun(structs.CodeNotFound, "no service "+r.Service)
	}
	if !granted(cfg, r.Customer, r.Service, n.cfg.Domain) {
		return structs.NotRun(structs.CodeForbidden, "customer "+r.Customer+" may not use service "+r.Service)
	}
	if r.NonIdempotent && r.Key == "" {
		return structs.NotRun(structs.CodeKeyMissing, "a non-idempotent request needs an Idempotency-Key")
	}
	if r.Remaining <= 0 {
		r.Remaining = defaultDeadline(cfg, r.Service, r.Class)
	}
	return nil
}

func granted(cfg *structs.Config, customer, service, domain string) bool {
	return slices.ContainsFunc(cfg.Grants, func(g structs.Grant) bool {
		return g.Customer == customer && g.Service == service && (g.Domain == "" || g.Domain == domain)
	})
}

// fallbackDeadline applies to classes without a rule.
const fallbackDeadline = 30 * time.Second

func defaultDeadline(cfg *structs.Config, service string, class structs.Class) time.Duration {
	for _, rule := range cfg.Classes {
		if rule.Service == service && rule.Class == class && rule.DefaultDeadline > 0 {
			return rule.DefaultDeadline
		}
	}
	return fallbackDeadline
}

// route serves a request here, or at the owner of its key.
func (n *Node) route(c Call) (*upstream.Response, error) {
	if !c.Request.NonIdempotent {
		return n.serveLocally(c)
	}
	home := n.homeOf(c.Request)
	if home == "" {
		return nil, structs.NotRun(structs.CodeNoConfig, "no failure domain keeps request keys")
	}
	answer, err := callLeader[remoteAnswer](n, domainGroup(home), methodKeyedRequest, remoteCallOf(c), c.Request.Remaining, true)
	if err != nil {
		return nil, err
	}
	return answer.response(), nil
}

func (n *Node) serveLocally(c Call) (*upstream.Response, error) {
	s := n.service(c.Request.Service)
	if s == nil {
		return nil, structs.NotRun(structs.CodeNotFound, "no service "+c.Request.Service)
	}
	return s.call(c)
}

func remoteCallOf(c Call) *remoteCall {
	return &remoteCall{
		Service:       c.Request.Service,
		Customer:      c.Request.Customer,
		Class:         c.Request.Class,
		Key:           c.Request.Key,
		NonIdempotent: c.Request.NonIdempotent,
		Headers:       c.Headers,
		Body:          c.Body,
	}
}

func (r *remoteCall) call(remaining time.Duration) Call {
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

func (a *remoteAnswer) response() *upstream.Response {
	return &upstream.Response{Status: a.Status, ContentType: a.ContentType, Body: a.Body}
}

// maxRemoteAnswerBytes lets an answer fit one frame between hosts.
const maxRemoteAnswerBytes = transport.MaxFrameBytes - 4096

// remoteAnswerOf returns an answer for another host. A larger one cannot be
// passed on; it is never cut, and its request has run.
func remoteAnswerOf(r *upstream.Response) (any, error) {
	if len(r.Body) > maxRemoteAnswerBytes {
		return nil, structs.Unknown(structs.CodeTooLarge, "the request ran; its answer is too large to be passed between hosts")
	}
	return &remoteAnswer{Status: r.Status, ContentType: r.ContentType, Body: r.Body}, nil
}

// handleRequest serves an idempotent request that another host has forwarded.
func (n *Node) handleRequest(_ string, r *remoteCall, remaining time.Duration) (any, error) {
	if n.refusing.Load() {
		return nil, structs.NotRun(structs.CodeStopping, "this host is stopping")
	}
	n.inFlight.begin()
	defer n.inFlight.end()
	response, err := n.serveLocally(r.call(remaining))
	if err != nil {
		return nil, err
	}
	return remoteAnswerOf(response)
}

// handleBegunRequest serves a non-idempotent request for the owner of its key.
func (n *Node) handleBegunRequest(_ string, r *remoteCall, remaining time.Duration) (any, error) {
	if n.refusing.Load() {
		return nil, structs.NotRun(structs.CodeStopping, "this host is stopping")
	}
	n.inFlight.begin()
	defer n.inFlight.end()
	c := r.call(remaining)
	c.Begun = true
	response, err := n.serveLocally(c)
	if err != nil {
		return nil, err
	}
	return remoteAnswerOf(response)
}

// handleKeyedRequest serves a non-idempotent request as the owner of its key.
// A host that is stopping still serves, until it has handed over leadership.
func (n *Node) handleKeyedRequest(_ string, r *remoteCall, remaining time.Duration) (any, error) {
	n.inFlight.begin()
	defer n.inFlight.end()
	c := r.call(remaining)
	// The owner of a key may forward, because it was not chosen for its load.
	c.Forwarded = false
	response, err := n.serveKeyed(c)
	if err != nil {
		return nil, err
	}
	return remoteAnswerOf(response)
}

// keyPoll is how often a resend looks for the outcome of the run in progress.
const keyPoll = 10 * time.Millisecond

// serveKeyed answers from the record of the key, or runs the request. A resend
// that meets the run in progress waits for its outcome, so that its caller gets
// the answer and not a refusal.
func (n *Node) serveKeyed(c Call) (*upstream.Response, error) {
	deadline := n.now() + c.Request.Remaining
	for {
		response, err := n.recordedAnswer(c)
		if response == nil && err == nil {
			c.Request.Remaining = max(deadline-n.now(), time.Millisecond)
			response, err = n.serveLocally(c)
		}
		if !inProgress(err) || n.now()+keyPoll >= deadline || !n.wait(keyPoll) {
			return response, err
		}
	}
}

func inProgress(err error) bool {
	var refusal *structs.Refusal
	return errors.As(err, &refusal) && refusal.Code == structs.CodeKeyInProgress
}

// recordedAnswer returns the answer of a key that was used before, so that a
// resend needs no slot and is not refused as "not run" when queues are full.
func (n *Node) recordedAnswer(c Call) (*upstream.Response, error) {
	var response *upstream.Response
	err := n.asOwner(n.homeOf(c.Request), func(_ time.Duration, o *domainOwner) error {
		decision, known := o.state.Keys().Lookup(storedKey(c.Request), digestOf(c))
		if !known {
			return nil
		}
		var refusal *structs.Refusal
		response, refusal = answerOfDecision(decision)
		if refusal != nil {
			return refusal
		}
		return nil
	})
	return response, err
}
