package node

import (
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"cranberrydrum.dev/coord/codec"
	"cranberrydrum.dev/coord/registry"
	"cranberrydrum.dev/scheduler/structs"
)

const (
	backendTombstone     = 5 * time.Minute
	maxBackends          = 4096
	maxBackendBytes      = 1024
	registryMessageBytes = 64 << 10
)

// backendDirectory holds the backend servers of this host's failure domain.
// Hosts of one failure domain exchange what they know; other failure domains
// are reached through their hosts and need no entry here.
type backendDirectory struct {
	domain string
	// ttl bounds how long a backend server that fell silent, or whose drain
	// did not reach this host, still receives new work.
	ttl time.Duration

	mu       sync.Mutex
	registry *registry.Registry
	// opened is when the host began to take announcements, and told when another
	// host first sent what it knows; 0 until then.
	opened, told time.Duration
}

func newBackendDirectory(domain string, ttl time.Duration) *backendDirectory {
	return &backendDirectory{
		domain: domain,
		ttl:    ttl,
		registry: registry.New(registry.Config{
			MaxEntries:         maxBackends,
			MaxPayloadBytes:    maxBackendBytes,
			MaxTTL:             ttl,
			TombstoneRetention: backendTombstone,
		}),
	}
}

// announce takes an announcement from a backend server.
func (d *backendDirectory) announce(now time.Duration, b structs.Backend, sequence uint64) *structs.Refusal {
	if refusal := d.check(b, sequence); refusal != nil {
		return refusal
	}
	payload, err := msgpack.Marshal(&b)
	if err != nil {
		return structs.NotRun(structs.CodeInvalid, "the announcement cannot be encoded: "+err.Error())
	}
	entry := registry.Entry{
		ID:          b.ID,
		Incarnation: b.Incarnation,
		Sequence:    sequence,
		State:       registryState(b.State),
		TTL:         d.ttl,
		Payload:     payload,
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.registry.Merge(now, []registry.Entry{entry}).Rejected > 0 {
		return structs.NotRun(structs.CodeInvalid, "the announcement is too large or the directory is full")
	}
	return nil
}

func (d *backendDirectory) check(b structs.Backend, sequence uint64) *structs.Refusal {
	switch {
	case b.ID == "" || b.Service == "" || b.Address == "":
		return structs.NotRun(structs.CodeInvalid, "id, service and address are required")
	case b.Slots < 1 || b.Connections < b.Slots:
		return structs.NotRun(structs.CodeInvalid, "slots must be at least 1 and connections at least slots")
	case b.Incarnation == 0 || sequence == 0:
		return structs.NotRun(structs.CodeInvalid, "incarnation and sequence must be at least 1")
	case b.Domain != d.domain:
		return structs.NotRun(structs.CodeInvalid, "this host serves failure domain "+d.domain+", not "+b.Domain)
	}
	return nil
}

// live returns the backend servers that are up or draining.
func (d *backendDirectory) live(now time.Duration) []structs.Backend {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.registry.Expire(now)
	entries := d.registry.Live(now)
	backends := make([]structs.Backend, 0, len(entries))
	for _, e := range entries {
		if b, ok := decodeBackend(e); ok {
			backends = append(backends, b)
		}
	}
	return backends
}

// takesWork reports whether a backend server is up.
func (d *backendDirectory) takesWork(now time.Duration, id string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	e, ok := d.registry.Get(now, id)
	return ok && e.State == registry.Up
}

// delta returns what a peer with the given digest lacks.
func (d *backendDirectory) delta(now time.Duration, digest []registry.Version) []registry.Entry {
	d.mu.Lock()
	defer d.mu.Unlock()
	entries, _ := d.registry.Delta(now, digest, registryMessageBytes)
	return entries
}

func (d *backendDirectory) digest() []registry.Version {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.registry.Digest()
}

func (d *backendDirectory) merge(now time.Duration, entries []registry.Entry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.registry.Merge(now, entries)
	if d.told == 0 && len(entries) > 0 {
		d.told = now
	}
}

// open notes that the host takes announcements from now on.
func (d *backendDirectory) open(now time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.opened = now
}

// settled reports whether a host knows the backend servers after its start:
// another host has told it, or each of them has announced itself since.
func (d *backendDirectory) settled(now time.Duration) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	// Dispatchers take up what the directory knows at each refresh.
	known := d.told > 0 && now-d.told >= 2*backendRefresh
	return known || (d.opened > 0 && now-d.opened >= d.ttl)
}

func decodeBackend(e registry.Entry) (structs.Backend, bool) {
	var b structs.Backend
	if err := codec.Unmarshal(e.Payload, &b); err != nil {
		return b, false
	}
	b.State = backendState(e.State)
	return b, true
}

func registryState(s structs.BackendState) registry.State {
	switch s {
	case structs.BackendDraining:
		return registry.Draining
	case structs.BackendLeft:
		return registry.Left
	}
	return registry.Up
}

func backendState(s registry.State) structs.BackendState {
	switch s {
	case registry.Draining:
		return structs.BackendDraining
	case registry.Left:
		return structs.BackendLeft
	}
	return structs.BackendUp
}

// entry returns the announcement of one backend server, for other hosts.
func (d *backendDirectory) entry(now time.Duration, id string) []registry.Entry {
	d.mu.Lock()
	defer d.mu.Unlock()
	changes, _ := d.registry.Changes(now, 0)
	for _, c := range changes {
		if c.ID == id {
			return []registry.Entry{c.Entry}
		}
	}
	return nil
}

// find returns a live backend server and the sequence for its next change.
func (d *backendDirectory) find(now time.Duration, service, id string) (structs.Backend, uint64, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	e, ok := d.registry.Get(now, id)
	if !ok {
		return structs.Backend{}, 0, false
	}
	b, ok := decodeBackend(e)
	if !ok || b.Service != service {
		return structs.Backend{}, 0, false
	}
	return b, e.Sequence + 1, true
}
