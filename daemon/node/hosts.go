package node

import (
	"slices"
	"sync"
	"time"

	"cranberrydrum.dev/daemon/settings"
	"cranberrydrum.dev/scheduler/structs"
)

const (
	// hostStatusInterval is the interval of status messages between hosts, which
	// are sent even if nothing changed. Together with one round trip it bounds
	// how late a host learns of a new configuration.
	hostStatusInterval = 500 * time.Millisecond
	// hostStatusAge is the age above which a status is no longer used.
	hostStatusAge = 3 * time.Second
)

// hostStatus is the status of a host, which it sends to all others in status
// messages.
type hostStatus struct {
	ConfigVersion uint64
	ConfigDigest  string
	Stopping      bool
	// Evacuates reports whether the version of the host knows evacuations.
	Evacuates bool
	Groups    []groupView
	Services  []serviceStatus
}

// groupView is the term and leader of a replicated log as known to a member.
type groupView struct {
	Name   string `msgpack:"n"`
	Term   uint64 `msgpack:"t"`
	Leader string `msgpack:"l,omitempty"`
}

// serviceStatus is the load of a service on one host.
type serviceStatus struct {
	Service   string `msgpack:"n"`
	Executors int    `msgpack:"e"`
	FreeSlots int    `msgpack:"f"`
	Queued    int    `msgpack:"q"`
	// WaitEstimates has the expected delays of a new request of each class.
	WaitEstimates []waitEstimate `msgpack:"o,omitempty"`
}

// waitEstimate is the expected time in the queue and on an executor of a new
// request of a class.
type waitEstimate struct {
	Class   structs.Class `msgpack:"c"`
	Wait    time.Duration `msgpack:"w"`
	Service time.Duration `msgpack:"s"`
}

// host is a peer and the last status that it sent.
type host struct {
	settings.Peer
	status hostStatus
	// revision identifies status, and received is the time at which it was last
	// updated or confirmed. Both are valid if seen is set.
	revision uint64
	received time.Duration
	seen     bool
}

// hostTable keeps the last status of each other host.
type hostTable struct {
	mu    sync.Mutex
	hosts map[string]*host
}

func newHostTable(peers []settings.Peer) *hostTable {
	t := &hostTable{hosts: map[string]*host{}}
	for _, p := range peers {
		t.hosts[p.ID] = &host{Peer: p}
	}
	return t
}

// add adds a host of the configuration and reports whether it is new. A host of
// the settings keeps the address given there.
func (t *hostTable) add(p settings.Peer) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.hosts[p.ID] != nil {
		return false
	}
	t.hosts[p.ID] = &host{Peer: p}
	return true
}

// get returns a host by its id.
func (t *hostTable) get(id string) (host, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	h := t.hosts[id]
	if h == nil {
		return host{}, false
	}
	return *h, true
}

// update applies a status message of a host. It reports false if an earlier
// message is missing. Messages of unknown hosts are ignored.
func (t *hostTable) update(now time.Duration, id string, m statusMessage) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	h := t.hosts[id]
	return h == nil || h.apply(now, m)
}

// all returns a copy of the hosts, sorted by id.
func (t *hostTable) all() []host {
	t.mu.Lock()
	defer t.mu.Unlock()
	hosts := make([]host, 0, len(t.hosts))
	for _, h := range t.hosts {
		hosts = append(hosts, *h)
	}
	slices.SortFunc(hosts, func(a, b host) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return hosts
}

// fresh reports whether the status is recent enough to be used.
func (h *host) fresh(now time.Duration) bool { return h.seen && now-h.received <= hostStatusAge }

// leader returns the leader of a log according to the fresh host status with the
// highest term.
func (t *hostTable) leader(now time.Duration, group string) (id string, term uint64) {
	for _, h := range t.all() {
		if !h.fresh(now) {
			continue
		}
		for _, g := range h.status.Groups {
			if g.Name == group && g.Leader != "" && g.Term > term {
				id, term = g.Leader, g.Term
			}
		}
	}
	return id, term
}

// inDomain returns the hosts of a failure domain.
func (t *hostTable) inDomain(domain string) []host {
	hosts := t.all()
	return slices.DeleteFunc(hosts, func(h host) bool { return h.Domain != domain })
}
