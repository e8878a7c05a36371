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
	// Round trips used for routing: twice the stated latency between failure
	// domains and between regions, plus the time on the two hosts.
	domainRoundTrip = 5 * time.Millisecond
	regionRoundTrip = 65 * time.Millisecond
)

// router chooses failure domains for requests that cannot be served here.
type router struct {
	mu     sync.Mutex
	choose *routing.Router
}

func newRouter(now time.Duration, cfg routing.Config) *router {
	return &router{choose: routing.NewRouter(now, cfg)}
}

func (r *router) setConfig(now time.Duration, cfg routing.Config) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.choose.SetConfig(now, cfg)
}

func (r *router) decide(now time.Duration, request routing.Request, view routing.View) routing.Decision {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.choose.Choose(now, request, view)
}

func (r *router) countResponse(now time.Duration, region string, bytes int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.choose.Count(now, region, routing.PurposeResponse, bytes)
}

// routingConfig divides the spill budget of a link among the hosts of the region.
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
	go func() {
		finished := s.forwardTo(target, p.call, e)
		s.post(func() { s.finishForward(p, finished) })
	}()
}

// finishedForward is the end of a forward with what it brought.
type finishedForward struct {
	event    serving.ForwardFinished
	response *upstream.Response
	// recorded is set when an earlier run of the same key was answered.
	recorded *upstream.Response
}

// forwardTo runs a request on a host of another failure domain.
func (s *service) forwardTo(target host, c Call, e serving.Forward) finishedForward {
	if c.Request.NonIdempotent {
		return s.forwardKeyed(target, c, e)
	}
	answer, err := call[remoteAnswer](s.node, target.ID, methodRequest, remoteCallOf(c), e.Remaining)
	return s.forwarded(target, e.RequestID, answer, err)
}

// forwarded sorts the end of a call to another host by what is certain.
func (s *service) forwarded(target host, id string, answer *remoteAnswer, err error) finishedForward {
	f := finishedForward{event: serving.ForwardFinished{RequestID: id, Result: serving.ResultOK}}
	var refusal *structs.Refusal
	var notSent *transport.NotSentError
	switch {
	case err == nil:
		f.response = answer.response()
		if target.Region != s.node.cfg.Region {
			s.node.router.countResponse(s.node.now(), target.Region, len(answer.Body))
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

// forwardTarget returns the host that should serve a request, if any.
func (n *Node) forwardTarget(s *service, e serving.Forward, c Call) (host, bool) {
	now := n.now()
	request := routing.Request{
		Remaining: e.Remaining,
		BodyBytes: e.BodyBytes,
		Forwarded: c.Forwarded,
	}
	decision := n.router.decide(now, request, s.view(c.Request))
	if decision.Place == routing.PlaceLocal {
		return host{}, false
	}
	return n.hostIn(decision.Domain, s.name)
}

// view describes the load of the service in all failure domains, as a request
// would meet it. It runs on the goroutine of the service.
func (s *service) view(r structs.Request) routing.View {
	n := s.node
	wait, service, executors := s.dispatcher.Outlook(r.Class, r.Customer)
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
		if ok && (!seen || candidate.Wait < known.Wait) {
			byDomain[h.Domain] = candidate
		}
	}
	for _, domain := range slices.Sorted(maps.Keys(byDomain)) {
		view.Others = append(view.Others, byDomain[domain])
	}
	return view
}

// domainView is what the status of a host says about a service.
func (n *Node) domainView(h host, service string, class structs.Class) (routing.DomainView, bool) {
	for _, load := range h.status.Services {
		if load.Service != service {
			continue
		}
		expected := load.outlookOf(class)
		return routing.DomainView{
			Domain:    h.Domain,
			Region:    h.Region,
			Age:       n.now() - h.received,
			Executors: load.Executors,
			Wait:      expected.Wait,
			Service:   expected.Service,
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

func (n *Node) usable(h host) bool {
	return h.fresh(n.now()) && !h.status.Stopping && n.transport.Connected(h.ID)
}

// hostIn returns the host of a failure domain with the most free slots.
func (n *Node) hostIn(domain, service string) (host, bool) {
	var best host
	most := -1
	for _, h := range n.hosts.inDomain(domain) {
		if !n.usable(h) {
			continue
		}
		for _, load := range h.status.Services {
			if load.Service == service && load.FreeSlots > most {
				best, most = h, load.FreeSlots
			}
		}
	}
	return best, most >= 0
}

// loadOf summarises a dispatcher for the hosts of other failure domains.
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

// classes are all request classes.
var classes = []structs.Class{structs.ClassUrgent, structs.ClassNormal, structs.ClassBulk}

// load summarises the dispatcher for other hosts. It runs on the goroutine of
// the service.
func (s *service) load(snapshot serving.Snapshot) serviceStatus {
	load := loadOf(snapshot)
	for _, class := range classes {
		wait, service, _ := s.dispatcher.Outlook(class, "")
		load.Outlooks = append(load.Outlooks, outlook{Class: class, Wait: wait, Service: service})
	}
	return load
}

// outlookOf returns what a request of a class would meet on another host.
func (l serviceStatus) outlookOf(class structs.Class) outlook {
	for _, o := range l.Outlooks {
		if o.Class == class {
			return o
		}
	}
	return outlook{Class: class}
}

func (s *service) finishForward(p *pendingRequest, f finishedForward) {
	p.forwarded = f.response
	p.recorded = f.recorded
	s.step(f.event)
}
