package routing

import (
	"time"

	"cranberrydrum.dev/coord/limit"
	"cranberrydrum.dev/scheduler/structs"
)

// Place tells where a request is served relative to this host.
type Place string

// Places in order of preference: the own failure domain, another one of the same
// region, and one of another region.
const (
	PlaceLocal  Place = "local"
	PlaceDomain Place = "domain"
	PlaceRegion Place = "region"
)

// Reason explains a Decision.
type Reason string

// Reasons of decisions. ReasonNoView means that no view of another domain is
// recent enough, and ReasonNoBetter that no domain with a recent view is clearly
// faster and meets the deadline.
const (
	ReasonLocalServes Reason = "local_serves"
	ReasonSpill       Reason = "spill"
	ReasonSecondHop   Reason = "second_hop"
	ReasonNoBetter    Reason = "no_better_domain"
	ReasonNoView      Reason = "no_recent_view"
	ReasonLinkBudget  Reason = "link_budget"
	ReasonPinned      Reason = "pinned"
)

// Request holds the properties of a request that affect routing.
type Request struct {
	// Remaining is the time to the deadline.
	Remaining time.Duration
	BodyBytes int
	// Forwarded marks a request that another host has forwarded.
	Forwarded bool
	// Pinned keeps a request in the failure domain that owns its key.
	Pinned bool
}

// DomainView is the known state of the service in one failure domain.
type DomainView struct {
	Domain, Region string
	// Age is the time since the view was taken, including its transfer.
	Age time.Duration
	// Executors is the number of executors that are up.
	Executors int
	// Wait and Service are the expected times in the queue and on the executor.
	Wait, Service time.Duration
	// RoundTrip is the network round-trip time to the domain.
	RoundTrip time.Duration
}

// View is the state of the local and the other domains as known to this host.
type View struct {
	Local  DomainView
	Others []DomainView
}

// Decision is the result of Choose. Domain is the local failure domain if Place is
// PlaceLocal.
type Decision struct {
	Place  Place
	Domain string
	Reason Reason
}

const (
	// MaxViewAge is the age beyond which a view of another domain is not used. It
	// equals the time to live of announcements.
	MaxViewAge = 3 * time.Second
	// spillFactor and spillMargin set how much faster than the local domain
	// another one must be to receive a request, so that domains with similar load
	// do not exchange requests: the total time there plus spillMargin must be at
	// most spillFactor times the local time.
	spillFactor = 0.8
	spillMargin = 20 * time.Millisecond
	// linkBurst is the time for which the unused spill budget of a link
	// accumulates. It must be a whole number of seconds.
	linkBurst = time.Second
	// frameOverhead is the size of headers and framing in bytes, added to that of
	// the body.
	frameOverhead = 512
)

// Purpose is the purpose for which bytes are sent over a link.
type Purpose string

// Purposes of the bytes sent over a link.
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
	// HostsInRegion is the number of hosts between which the budget of a link is
	// divided, because they do not share their usage. Values below 1 count as 1.
	HostsInRegion int
}

// Router chooses the failure domain that serves a request. Each host has one.
type Router struct {
	cfg         Config
	linkBudgets map[string]*limit.Bucket
	bytes       map[ByteCounter]uint64
}

// ByteCounter identifies a counter of the bytes sent to a region for a purpose.
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

// SetConfig applies a changed configuration. All link budgets start full again;
// the byte counters continue.
func (r *Router) SetConfig(now time.Duration, cfg Config) {
	r.cfg = cfg
	r.linkBudgets = map[string]*limit.Bucket{}
	hosts := int64(max(1, cfg.HostsInRegion))
	for _, link := range cfg.Links {
		region, connected := r.remoteRegion(link)
		if !connected {
			continue
		}
		rate := link.SpillBytesPerSecond / hosts
		r.linkBudgets[region] = limit.NewBucket(now, rate, rate*int64(linkBurst/time.Second))
	}
}

// remoteRegion returns the region that a link connects to the own region, and
// whether the link connects the own region at all.
func (r *Router) remoteRegion(link structs.Link) (string, bool) {
	switch r.cfg.Region {
	case link.From:
		return link.To, true
	case link.To:
		return link.From, true
	}
	return "", false
}

// Choose decides where a request is served. If that is another region, it takes
// the size of the request from the budget of the link. Requests stay local unless
// the local domain has no executor or cannot meet the deadline. Another domain is
// chosen only if it is clearly faster and meets the deadline itself.
func (r *Router) Choose(now time.Duration, request Request, view View) Decision {
	local := Decision{Place: PlaceLocal, Domain: r.cfg.Domain}
	if reason, stays := staysLocal(request, view.Local); stays {
		local.Reason = reason
		return local
	}
	local.Reason = ReasonNoView
	for _, place := range []Place{PlaceDomain, PlaceRegion} {
		fastest, found, recent := r.fastest(request, view, place)
		if recent {
			local.Reason = ReasonNoBetter
		}
		if !found {
			continue
		}
		if place == PlaceRegion && !r.takeBudget(now, fastest.Region, request.BodyBytes) {
			local.Reason = ReasonLinkBudget
			return local
		}
		return Decision{Place: place, Domain: fastest.Domain, Reason: ReasonSpill}
	}
	return local
}

// staysLocal reports whether a request is served locally regardless of the state
// of the other domains, and the reason.
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

// fastest returns the fastest domain at the given place that is clearly faster
// than the local one and meets the deadline, and whether any view of a domain at
// that place is recent.
func (r *Router) fastest(request Request, view View, place Place) (fastest DomainView, found, recent bool) {
	for _, other := range view.Others {
		if other.Domain == r.cfg.Domain || r.placeOf(other) != place || other.Age > MaxViewAge {
			continue
		}
		recent = true
		if !betterThanLocal(request, view.Local, other) {
			continue
		}
		if !found || other.totalTime() < fastest.totalTime() || (other.totalTime() == fastest.totalTime() && other.Domain < fastest.Domain) {
			fastest, found = other, true
		}
	}
	return fastest, found, recent
}

func (r *Router) placeOf(v DomainView) Place {
	if v.Region == r.cfg.Region {
		return PlaceDomain
	}
	return PlaceRegion
}

func (v DomainView) totalTime() time.Duration { return v.RoundTrip + v.Wait + v.Service }

// betterThanLocal reports whether another domain meets the deadline and is clearly
// faster than the local one, or the local one has no executor.
func betterThanLocal(request Request, local, other DomainView) bool {
	if other.Executors == 0 || other.totalTime() > request.Remaining {
		return false
	}
	if local.Executors == 0 {
		return true
	}
	localTime := local.Wait + local.Service
	return other.totalTime()+spillMargin <= time.Duration(spillFactor*float64(localTime))
}

// takeBudget takes the size of a request from the budget of the link to a region
// and reports whether the budget was sufficient. A region without a link rule has
// no budget.
func (r *Router) takeBudget(now time.Duration, region string, bodyBytes int) bool {
	budget := r.linkBudgets[region]
	if budget == nil || !budget.Take(now, int64(bodyBytes+frameOverhead)) {
		return false
	}
	r.bytes[ByteCounter{region, PurposeRequest}] += uint64(bodyBytes + frameOverhead)
	return true
}

// Count counts bytes that were sent to another region for a purpose. Responses
// are also deducted from the spill budget, because nothing else accounts for
// them. Requests are counted by Choose.
func (r *Router) Count(now time.Duration, region string, purpose Purpose, bytes int) {
	if region == r.cfg.Region {
		return
	}
	r.bytes[ByteCounter{region, purpose}] += uint64(bytes)
	if budget := r.linkBudgets[region]; budget != nil && purpose == PurposeResponse {
		budget.Debit(now, int64(bytes))
	}
}

// Bytes returns the bytes sent to other regions, by region and purpose.
func (r *Router) Bytes() map[ByteCounter]uint64 {
	counts := make(map[ByteCounter]uint64, len(r.bytes))
	for counter, bytes := range r.bytes {
		counts[counter] = bytes
	}
	return counts
}
