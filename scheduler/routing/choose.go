package routing

import (
	"time"

	"cranberrydrum.dev/coord/limit"
	"cranberrydrum.dev/scheduler/structs"
)

// Place says where a request is served.
type Place string

// Places, in the order of preference.
const (
	PlaceLocal  Place = "local"
	PlaceDomain Place = "domain"
	PlaceRegion Place = "region"
)

// Reason explains a Decision.
type Reason string

// Reasons of decisions.
const (
	ReasonLocalServes Reason = "local_serves"
	ReasonSpill       Reason = "spill"
	ReasonSecondHop   Reason = "second_hop"
	ReasonNoBetter    Reason = "no_better_domain"
	ReasonNoView      Reason = "no_recent_view"
	ReasonLinkBudget  Reason = "link_budget"
	ReasonPinned      Reason = "pinned"
)

// Request is what routing needs to know of a request.
type Request struct {
	// Remaining is the time to the deadline.
	Remaining time.Duration
	BodyBytes int
	// Forwarded marks a request that another host has forwarded.
	Forwarded bool
	// Pinned keeps a request in the failure domain that owns its key.
	Pinned bool
}

// DomainView is what is known about the service in one failure domain.
type DomainView struct {
	Domain, Region string
	// Age is how long ago the view was taken. It includes the transfer.
	Age time.Duration
	// Executors is the number of executors that are up.
	Executors int
	// Wait and Service are the expected times in the queue and on the executor.
	Wait, Service time.Duration
	// RoundTrip is the time of a message to the domain and back.
	RoundTrip time.Duration
}

// View is what one host knows when it decides.
type View struct {
	Local  DomainView
	Others []DomainView
}

// Decision is the result of Choose. Domain is the local one unless the place
// is another.
type Decision struct {
	Place  Place
	Domain string
	Reason Reason
}

const (
	// MaxViewAge is the age beyond which a view of another domain is not used;
	// it is the time to live of announcements.
	MaxViewAge = 3 * time.Second
	// A spill must be this much faster than the local domain, so that domains
	// with similar load do not exchange requests.
	spillFactor = 0.8
	spillMargin = 20 * time.Millisecond
	// linkBurst is the time over which the spill budget of a link may be saved up,
	// in whole seconds.
	linkBurst = time.Second
	// frameOverhead is what headers and framing add to a body.
	frameOverhead = 512
)

// Purpose is why bytes cross a link.
type Purpose string

// Purposes of bytes.
const (
	PurposeRequest  Purpose = "request"
	PurposeResponse Purpose = "response"
	PurposeRegistry Purpose = "registry"
	PurposeRaft     Purpose = "raft"
	PurposeControl  Purpose = "control"
)

// Config describes a Router.
type Config struct {
	Domain, Region string
	Links          []structs.Link
	// HostsInRegion divides the budget of a link between the hosts that may
	// use it, as they do not tell each other what they spend; at least 1.
	HostsInRegion int
}

// Router chooses the failure domain that serves a request. One per host.
type Router struct {
	cfg     Config
	budgets map[string]*limit.Bucket
	bytes   map[ByteCounter]uint64
}

// ByteCounter names a counter of bytes towards a region.
type ByteCounter struct {
	Region  string
	Purpose Purpose
}

// NewRouter returns a Router with full link budgets.
func NewRouter(now time.Duration, cfg Config) *Router {
	r := &Router{bytes: map[ByteCounter]uint64{}}
	r.SetConfig(now, cfg)
	return r
}

// SetConfig puts changed links in force. The byte counters continue.
func (r *Router) SetConfig(now time.Duration, cfg Config) {
	r.cfg = cfg
	r.budgets = map[string]*limit.Bucket{}
	hosts := int64(max(1, cfg.HostsInRegion))
	for _, link := range cfg.Links {
		region, joins := r.otherEnd(link)
		if !joins {
			continue
		}
		rate := link.SpillBytesPerSecond / hosts
		r.budgets[region] = limit.NewBucket(now, rate, rate*int64(linkBurst/time.Second))
	}
}

func (r *Router) otherEnd(link structs.Link) (string, bool) {
	switch r.cfg.Region {
	case link.From:
		return link.To, true
	case link.To:
		return link.From, true
	}
	return "", false
}

// Choose decides where a request is served, and pays for it from the budget of
// the link if that is another region. Requests stay local unless the local
// domain has no executor or cannot meet the deadline; then the place must be
// clearly faster and meet the deadline itself.
func (r *Router) Choose(now time.Duration, request Request, view View) Decision {
	local := Decision{Place: PlaceLocal, Domain: r.cfg.Domain}
	if reason, stays := staysLocal(request, view.Local); stays {
		local.Reason = reason
		return local
	}
	local.Reason = ReasonNoView
	for _, place := range []Place{PlaceDomain, PlaceRegion} {
		best, found, recent := r.best(request, view, place)
		if recent {
			local.Reason = ReasonNoBetter
		}
		if !found {
			continue
		}
		if place == PlaceRegion && !r.pay(now, best.Region, request.BodyBytes) {
			local.Reason = ReasonLinkBudget
			return local
		}
		return Decision{Place: place, Domain: best.Domain, Reason: ReasonSpill}
	}
	return local
}

// staysLocal reports whether a request is served here whatever others offer.
func staysLocal(request Request, local DomainView) (Reason, bool) {
	if request.Forwarded {
		return ReasonSecondHop, true
	}
	if request.Pinned {
		return ReasonPinned, true
	}
	if local.Executors > 0 && local.Wait+local.Service <= request.Remaining {
		return ReasonLocalServes, true
	}
	return "", false
}

// best returns the fastest domain of the kind that meets the deadline, and
// whether any view of the kind was recent.
func (r *Router) best(request Request, view View, place Place) (best DomainView, found, recent bool) {
	for _, other := range view.Others {
		if other.Domain == r.cfg.Domain || r.placeOf(other) != place || other.Age > MaxViewAge {
			continue
		}
		recent = true
		if !betterThanLocal(request, view.Local, other) {
			continue
		}
		if !found || other.total() < best.total() || (other.total() == best.total() && other.Domain < best.Domain) {
			best, found = other, true
		}
	}
	return best, found, recent
}

func (r *Router) placeOf(v DomainView) Place {
	if v.Region == r.cfg.Region {
		return PlaceDomain
	}
	return PlaceRegion
}

func (v DomainView) total() time.Duration { return v.RoundTrip + v.Wait + v.Service }

func betterThanLocal(request Request, local, other DomainView) bool {
	if other.Executors == 0 || other.total() > request.Remaining {
		return false
	}
	if local.Executors == 0 {
		return true
	}
	here := local.Wait + local.Service
	return other.total()+spillMargin <= time.Duration(spillFactor*float64(here))
}

// pay takes the bytes of a request from the budget of a link. A region without
// a link rule has no budget.
func (r *Router) pay(now time.Duration, region string, bodyBytes int) bool {
	budget := r.budgets[region]
	if budget == nil || !budget.Take(now, int64(bodyBytes+frameOverhead)) {
		return false
	}
	r.bytes[ByteCounter{region, PurposeRequest}] += uint64(bodyBytes + frameOverhead)
	return true
}

// Count adds bytes that were sent towards another region for a purpose.
// Responses also use the spill budget, as they were paid for by nobody else;
// requests were counted by Choose.
func (r *Router) Count(now time.Duration, region string, purpose Purpose, bytes int) {
	if region == r.cfg.Region {
		return
	}
	r.bytes[ByteCounter{region, purpose}] += uint64(bytes)
	if budget := r.budgets[region]; budget != nil && purpose == PurposeResponse {
		budget.Debit(now, int64(bytes))
	}
}

// Bytes returns the bytes sent towards other regions by purpose.
func (r *Router) Bytes() map[ByteCounter]uint64 {
	copied := make(map[ByteCounter]uint64, len(r.bytes))
	for counter, bytes := range r.bytes {
		copied[counter] = bytes
	}
	return copied
}
