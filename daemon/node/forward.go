package node

import (
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"cranberrydrum.dev/daemon/transport"
	"cranberrydrum.dev/daemon/upstream"
	"cranberrydrum.dev/scheduler/routing"
	"cranberrydrum.dev/scheduler/serving"
	"cranberrydrum.dev/scheduler/structs"
)

const (
	// Round-trip times for routing: twice the specified latency between failure
	// domains and between regions, plus the processing time on the two hosts.
	domainRoundTrip = 5 * time.Millisecond
	regionRoundTrip = 65 * time.Millisecond
)

// router is a routing.Router that is safe for concurrent use. It chooses failure
// domains for requests that cannot be served here.
type router struct {
	mu    sync.Mutex
	inner *routing.Router
}

func newRouter(now time.Duration, cfg routing.Config) *router {
	return &router{inner: routing.NewRouter(now, cfg)}
}

func (r *router) setConfig(now time.Duration, cfg routing.Config) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.inner.SetConfig(now, cfg)
}

func (r *router) decide(now time.Duration, request routing.Request, view routing.View) routing.Decision {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.inner.Choose(now, request, view)
}

func (r *router) countResponse(now time.Duration, region string, bytes int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.inner.Count(now, region, routing.PurposeResponse, bytes)
}

// routingConfig returns the configuration of the router. It counts the hosts of
// the region, because they share the spill budget of a link.
func (n *Node) routingConfig() routing.Config {
	cfg := routing.Config{Domain: n.cfg.Domain, Region: n.cfg.Region, HostsInRegion: 1}
	for _, h := range n.hosts.all() {
		if h.Region == n.cfg.Region {
			cfg.HostsInRegion++
		}
	}
	if current := n.config.current().Config; current != nil {
		cfg.Links = current.Links
	}
	return cfg
}

// forward offers a request that cannot be served here to another failure domain.
func (s *service) forward(e serving.Forward) {
	p := s.pending[e.RequestID]
	if p == nil {
		return
	}
	target, ok := s.node.forwardTarget(s, e, p.call)
	if !ok {
		s.step(serving.ForwardFinished{RequestID: e.RequestID, Result: serving.ResultNotSent})
		return
	}
	p.forwarding = true
	release := s.holdKey(p.call)
	go func() {
		defer release()
		result := forwardResult{event: serving.ForwardFinished{RequestID: e.RequestID, Result: serving.ResultBroken}}
		s.node.guard("forward", func() { result = s.forwardTo(target, p.call, e) }, "service", s.name)
		s.post(func() { s.finishForward(p, result) })
	}()
}

// forwardResult is the result of a forwarded request.
type forwardResult struct {
	event    serving.ForwardFinished
	response *upstream.Response
	// recorded is the response to an earlier run of the same key, if there is one.
	recorded *upstream.Response
}

// forwardTo runs a request on a host of another failure domain.
func (s *service) forwardTo(target host, c Call, e serving.Forward) forwardResult {
	if c.Request.NonIdempotent {
		return s.forwardKeyed(target, c, e)
	}
	response, err := call[remoteResponse](s.node, target.ID, methodRequest, remoteRequestOf(c), e.Remaining)
	return s.forwardResultOf(target, e.RequestID, response, err)
}

// forwardResultOf classifies the result of a call to another host by whether the
// request has certainly not run, may have run, or has run.
func (s *service) forwardResultOf(target host, id string, response *remoteResponse, err error) forwardResult {
	f := forwardResult{event: serving.ForwardFinished{RequestID: id, Result: serving.ResultOK}}
	var refusal *structs.Refusal
	var notSent *transport.NotSentError
	switch {
	case err == nil:
		f.response = response.toResponse()
		if target.Region != s.node.cfg.Region {
			s.node.router.countResponse(s.node.now(), target.Region, len(response.Body))
		}
	case errors.As(err, &refusal):
		f.event.Refusal = refusal
		f.event.Result = serving.ResultBackendError
		if refusal.Outcome == structs.OutcomeNotRun {
			f.event.Result = serving.ResultNotSent
		}
	case errors.As(err, &notSent):
		f.event.Result = serving.ResultNotSent
	default:
		f.event.Result = serving.ResultBroken
	}
	return f
}

// forwardTarget returns the host in another failure domain that should serve a
// request, if routing chooses one.
func (n *Node) forwardTarget(s *service, e serving.Forward, c Call) (host, bool) {
	now := n.now()
	request := routing.Request{
		Remaining: e.Remaining,
		BodyBytes: e.BodyBytes,
		Forwarded: c.Forwarded,
	}
	decision := n.router.decide(now, request, s.routingView(c.Request))
	if decision.Place == routing.PlaceLocal {
		return host{}, false
	}
	return n.leastLoadedHost(decision.Domain, s.name)
}

// routingView returns the load of the service in all failure domains as it
// applies to a request. It runs on the goroutine of the service.
func (s *service) routingView(r structs.Request) routing.View {
	n := s.node
	wait, service, executors := s.dispatcher.EstimateWait(r.Class, r.Customer)
	view := routing.View{Local: routing.DomainView{
		Domain:    n.cfg.Domain,
		Region:    n.cfg.Region,
		Executors: executors,
		Wait:      wait,
		Service:   service,
	}}
	byDomain := map[string]routing.DomainView{}
	for _, h := range n.hosts.all() {
		if h.Domain == n.cfg.Domain || !n.usable(h) {
			continue
		}
		candidate, ok := n.domainView(h, s.name, r.Class)
		known, seen := byDomain[h.Domain]
		if ok && (!seen || isPreferred(candidate, known)) {
			byDomain[h.Domain] = candidate
		}
	}
	for _, domain := range slices.Sorted(maps.Keys(byDomain)) {
		view.Others = append(view.Others, byDomain[domain])
	}
	return view
}

// isPreferred reports whether requests for a failure domain should go to the host of
// the first view. A host that has just started knows no executors yet, so that its
// short wait says nothing about the failure domain.
func isPreferred(a, b routing.DomainView) bool {
	if (a.Executors > 0) != (b.Executors > 0) {
		return a.Executors > 0
	}
	return a.Wait < b.Wait
}

// domainView returns the load of a service according to the last status of a
// host.
func (n *Node) domainView(h host, service string, class structs.Class) (routing.DomainView, bool) {
	for _, load := range h.status.Services {
		if load.Service != service {
			continue
		}
		estimate := load.waitEstimateFor(class)
		return routing.DomainView{
			Domain:    h.Domain,
			Region:    h.Region,
			Age:       n.now() - h.received,
			Executors: load.Executors,
			Wait:      estimate.Wait,
			Service:   estimate.Service,
			RoundTrip: n.roundTrip(h.Region),
		}, true
	}
	return routing.DomainView{}, false
}

func (n *Node) roundTrip(region string) time.Duration {
	if region == n.cfg.Region {
		return domainRoundTrip
	}
	return regionRoundTrip
}

// usable reports whether requests can be forwarded to a host.
func (n *Node) usable(h host) bool {
	return h.fresh(n.now()) && !h.status.Stopping && n.transport.Connected(h.ID)
}

// leastLoadedHost returns the host of a failure domain with the most free slots.
func (n *Node) leastLoadedHost(domain, service string) (host, bool) {
	hosts := n.hosts.inDomain(domain)
	return leastLoaded(slices.DeleteFunc(hosts, func(h host) bool { return !n.usable(h) }), service)
}

// leastLoaded returns the host with the most free slots among those that know
// executors of a service.
func leastLoaded(hosts []host, service string) (host, bool) {
	var best host
	most := -1
	for _, h := range hosts {
		for _, load := range h.status.Services {
			if load.Service == service && load.Executors > 0 && load.FreeSlots > most {
				best, most = h, load.FreeSlots
			}
		}
	}
	return best, most >= 0
}

// loadOf returns the load of a dispatcher that other hosts use for routing,
// without the wait estimates.
func loadOf(s serving.Snapshot) serviceStatus {
	load := serviceStatus{Service: s.Service}
	for _, e := range s.Executors {
		if e.State != structs.BackendUp {
			continue
		}
		load.Executors++
		load.FreeSlots += max(0, e.Limit+e.Borrowed-e.Running)
	}
	for _, queued := range s.Queued {
		load.Queued += queued
	}
	return load
}

// classes lists all request classes.
var classes = []structs.Class{structs.ClassUrgent, structs.ClassNormal, structs.ClassBulk}

// loadWithEstimates returns the load of the dispatcher for other hosts, with
// the wait estimates of all classes. It runs on the goroutine of the service.
func (s *service) loadWithEstimates(snapshot serving.Snapshot) serviceStatus {
	load := loadOf(snapshot)
	for _, class := range classes {
		wait, service, _ := s.dispatcher.EstimateWait(class, "")
		load.WaitEstimates = append(load.WaitEstimates, waitEstimate{Class: class, Wait: wait, Service: service})
	}
	return load
}

// waitEstimateFor returns the estimate for a new request of a class, or a zero
// estimate if the host sent none.
func (s serviceStatus) waitEstimateFor(class structs.Class) waitEstimate {
	for _, e := range s.WaitEstimates {
		if e.Class == class {
			return e
		}
	}
	return waitEstimate{Class: class}
}

// finishForward passes the result of a forwarded request to the dispatcher.
func (s *service) finishForward(p *pendingRequest, f forwardResult) {
	p.forwarded = f.response
	p.recorded = f.recorded
	s.step(f.event)
}
