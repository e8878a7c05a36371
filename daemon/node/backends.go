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
	// backendTombstoneRetention is how long a backend server that expired or left
	// stays as a tombstone, which rejects its old announcements. It must exceed
	// the TTL plus the number of hosts times the longest message delay.
	backendTombstoneRetention = 5 * time.Minute
	maxBackends               = 4096
	maxBackendBytes           = 1024
	maxRegistryMessageBytes   = 64 << 10
)

// backendDirectory holds the backend servers of this host's failure domain.
// The hosts of one failure domain replicate it by anti-entropy. Backend servers
// of other failure domains have no entry: requests reach them through the hosts
// there.
type backendDirectory struct {
	domain string
	// ttl bounds how long a backend server still receives new requests after its
	// announcements stop, or after a drain that did not reach this host.
	ttl time.Duration

	mu       sync.Mutex
	registry *registry.Registry
	// acceptingSince is when the host began to accept announcements, and
	// firstPeerSync when another host first sent entries; 0 until then.
	acceptingSince, firstPeerSync time.Duration
	suspensions                   suspensions
}

func newBackendDirectory(domain string, ttl time.Duration) *backendDirectory {
	return &backendDirectory{
		domain: domain,
		ttl:    ttl,
		registry: registry.New(registry.Config{
			MaxEntries:         maxBackends,
			MaxPayloadBytes:    maxBackendBytes,
			MaxTTL:             ttl,
			TombstoneRetention: backendTombstoneRetention,
		}),
	}
}

// lock locks the directory and returns the function that unlocks it. Callers that pass on a
// message read now after they have read the message: the directory cannot tell otherwise
// whether the message came before or after a suspension of the process.
func (d *backendDirectory) lock(now time.Duration) (unlock func()) {
	d.mu.Lock()
	d.suspensions.observe(now)
	return d.mu.Unlock
}

// announce merges an announcement of a backend server into the registry.
func (d *backendDirectory) announce(now time.Duration, b structs.Backend, sequence uint64) *structs.Refusal {
	if refusal := d.validate(b, sequence); refusal != nil {
		return refusal
	}
	payload, err := msgpack.Marshal(&b)
	if err != nil {
		return structs.RefuseNotRun(structs.CodeInvalid, "the announcement cannot be encoded: "+err.Error())
	}
	entry := registry.Entry{
		ID:          b.ID,
		Incarnation: b.Incarnation,
		Sequence:    sequence,
		State:       registryState(b.State),
		TTL:         d.ttl,
		Payload:     payload,
	}
	defer d.lock(now)()
	entries := withWait([]registry.Entry{entry}, d.suspensions.longestWait(now))
	if len(entries) == 0 {
		refusal := structs.RefuseNotRun(structs.CodeDeadlineExpired, "this host was suspended, and the announcement may have expired meanwhile")
		refusal.RetryAfter = bufferedInputTime
		return refusal
	}
	if d.registry.Merge(now, entries).Rejected > 0 {
		return structs.RefuseNotRun(structs.CodeInvalid, "the announcement is too large or the directory is full")
	}
	return nil
}

func (d *backendDirectory) validate(b structs.Backend, sequence uint64) *structs.Refusal {
	switch {
	case b.ID == "" || b.Service == "" || b.Address == "":
		return structs.RefuseNotRun(structs.CodeInvalid, "id, service and address are required")
	case b.Slots < 1 || b.Connections < b.Slots:
		return structs.RefuseNotRun(structs.CodeInvalid, "slots must be at least 1 and connections at least slots")
	case b.Incarnation == 0 || sequence == 0:
		return structs.RefuseNotRun(structs.CodeInvalid, "incarnation and sequence must be at least 1")
	case b.Domain != d.domain:
		return structs.RefuseNotRun(structs.CodeInvalid, "this host serves failure domain "+d.domain+", not "+b.Domain)
	}
	return nil
}

// live returns the backend servers that are up or draining.
func (d *backendDirectory) live(now time.Duration) []structs.Backend {
	defer d.lock(now)()
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

// isUp reports whether a backend server is known and in state up.
func (d *backendDirectory) isUp(now time.Duration, id string) bool {
	defer d.lock(now)()
	e, ok := d.registry.Get(now, id)
	return ok && e.State == registry.Up
}

// delta returns the entries that a peer with the given digest lacks, as many as
// fit into one message.
func (d *backendDirectory) delta(now time.Duration, digest []registry.Version) []registry.Entry {
	defer d.lock(now)()
	entries, _ := d.registry.Delta(now, digest, maxRegistryMessageBytes)
	return entries
}

func (d *backendDirectory) digest(now time.Duration) []registry.Version {
	defer d.lock(now)()
	return d.registry.Digest()
}

func (d *backendDirectory) merge(now time.Duration, entries []registry.Entry) {
	defer d.lock(now)()
	d.registry.Merge(now, withWait(entries, d.suspensions.longestWait(now)))
	if d.firstPeerSync == 0 && len(entries) > 0 {
		d.firstPeerSync = now
	}
}

// startAccepting records that the host accepts announcements from now on.
func (d *backendDirectory) startAccepting(now time.Duration) {
	defer d.lock(now)()
	d.acceptingSince = now
	d.suspensions.reset(now)
}

// isSynced reports whether the directory is complete after a start of the host:
// another host has sent its entries, or a whole TTL has passed, within which
// each live backend server has announced itself.
func (d *backendDirectory) isSynced(now time.Duration) bool {
	defer d.lock(now)()
	// Dispatchers read the directory once per refresh interval.
	fromPeer := d.firstPeerSync > 0 && now-d.firstPeerSync >= 2*backendRefreshInterval
	return fromPeer || (d.acceptingSince > 0 && now-d.acceptingSince >= d.ttl)
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

// entry returns the registry entry of one backend server, to be sent to other
// hosts.
func (d *backendDirectory) entry(now time.Duration, id string) []registry.Entry {
	defer d.lock(now)()
	changes, _ := d.registry.Changes(now, 0)
	for _, c := range changes {
		if c.ID == id {
			return []registry.Entry{c.Entry}
		}
	}
	return nil
}

// find returns a live backend server of a service and the sequence number for
// its next change.
func (d *backendDirectory) find(now time.Duration, service, id string) (structs.Backend, uint64, bool) {
	defer d.lock(now)()
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
