package node

import (
	"time"

	"cranberrydrum.dev/coord/registry"
	"cranberrydrum.dev/daemon/transport"
	"cranberrydrum.dev/scheduler/structs"
)

// registryMessage carries announcements of backend servers between the hosts of
// one failure domain. With RequestDelta set, it requests the entries that are
// missing from or newer than its digest.
type registryMessage struct {
	Digest       []registry.Version `msgpack:"d,omitempty"`
	RequestDelta bool               `msgpack:"a,omitempty"`
	Entries      []registry.Entry   `msgpack:"e,omitempty"`
}

// broadcastStatus sends the changes in the status of this host to all others: the
// configuration in force, the leaders of logs and the load of services.
func (n *Node) broadcastStatus() {
	n.statuses.mu.Lock()
	defer n.statuses.mu.Unlock()
	message := n.statuses.next(n.now(), *n.ownStatus())
	for _, h := range n.hosts.all() {
		n.sendStatus(h.ID, message)
	}
}

// sendFullStatus sends the full status to a host that has missed a message.
func (n *Node) sendFullStatus(to string) {
	n.statuses.mu.Lock()
	defer n.statuses.mu.Unlock()
	n.sendStatus(to, n.statuses.full())
}

func (n *Node) sendStatus(to string, message statusMessage) {
	body, err := encodeMessage(&message)
	if err != nil {
		n.log.Error(err, "encoding the host status failed")
		return
	}
	_ = n.transport.Send(to, transport.KindHostStatus, body)
}

func (n *Node) ownStatus() *hostStatus {
	current := n.config.current()
	status := &hostStatus{ConfigVersion: current.Version, ConfigDigest: current.Digest, Stopping: n.stopping.Load(), Evacuates: true}
	for _, g := range n.allGroups() {
		s := g.Status()
		status.Groups = append(status.Groups, groupView{Name: g.Name(), Term: s.Term, Leader: s.Leader})
	}
	for _, s := range n.allServices() {
		status.Services = append(status.Services, s.publishedLoad())
	}
	return status
}

func (n *Node) receiveStatus(from string, body []byte) {
	var message statusMessage
	if err := decodeMessage("host status", body, &message); err != nil {
		n.metrics.FrameDropped(transport.KindHostStatus.String(), "malformed")
		return
	}
	if message.RequestFull {
		n.sendFullStatus(from)
		return
	}
	if !n.hosts.update(n.now(), from, message) {
		n.sendStatus(from, statusMessage{RequestFull: true})
	}
	n.fetchNewerConfig(from, message.Version)
}

// syncBackends requests the announcements that this host lacks from the hosts of
// its failure domain.
func (n *Node) syncBackends() {
	message := &registryMessage{RequestDelta: true, Digest: n.backends.digest(n.now())}
	n.sendToDomain(message)
}

func (n *Node) sendToDomain(message *registryMessage) {
	body, err := encodeMessage(message)
	if err != nil {
		n.log.Error(err, "encoding announcements of backend servers failed")
		return
	}
	for _, h := range n.hosts.inDomain(n.cfg.Domain) {
		_ = n.transport.Send(h.ID, transport.KindRegistry, body)
	}
}

func (n *Node) receiveRegistry(from string, body []byte) {
	var message registryMessage
	if err := decodeMessage("announcements", body, &message); err != nil {
		n.metrics.FrameDropped(transport.KindRegistry.String(), "malformed")
		return
	}
	n.backends.merge(n.now(), message.Entries)
	if !message.RequestDelta {
		return
	}
	entries := n.backends.delta(n.now(), message.Digest)
	if len(entries) == 0 {
		return
	}
	reply, err := encodeMessage(&registryMessage{Entries: entries})
	if err == nil {
		_ = n.transport.Send(from, transport.KindRegistry, reply)
	}
}

// HandleAnnouncement processes the announcement of a backend server. If the
// backend server is draining or has left, the announcement is sent to the other
// hosts of the failure domain at once, so that they stop sending it requests too.
func (n *Node) HandleAnnouncement(b structs.Backend, sequence uint64) error {
	if refusal := n.backends.announce(n.now(), b, sequence); refusal != nil {
		return refusal
	}
	if b.State == structs.BackendUp {
		return nil
	}
	n.sendToDomain(&registryMessage{Entries: n.backends.entry(n.now(), b.ID)})
	return nil
}

// isBackendUp reports whether a backend server is known and in state up.
func (n *Node) isBackendUp(id string) bool {
	began := time.Now()
	up := n.backends.isUp(n.now(), id)
	// The process may have been suspended since it read the time, for example while it waited
	// for the lock of the directory, and the announcement may have expired meanwhile. The
	// clock of the runtime takes no system call, after which this goroutine could wait again.
	return up && time.Since(began) <= suspensionBound
}

// SetBackendState changes the state of an announced backend server.
func (n *Node) SetBackendState(service, id string, incarnation uint64, state structs.BackendState) error {
	b, sequence, found := n.backends.find(n.now(), service, id)
	if !found || (incarnation != 0 && incarnation != b.Incarnation) {
		return structs.RefuseNotRun(structs.CodeNotFound, "no backend server "+id+" of service "+service)
	}
	b.State = state
	return n.HandleAnnouncement(b, sequence)
}

// publishMetrics sets the metrics of the replicated logs and the dispatchers.
func (n *Node) publishMetrics() {
	for _, g := range n.allGroups() {
		n.metrics.SetGroup(g.Name(), g.IsReadyLeader(), g.Status().Term)
	}
	for _, s := range n.allServices() {
		counters := s.publishedSnapshot().Counters
		n.metrics.SetRetryTotals(s.name, counters.Retries)
		n.metrics.SetReturnTotals(s.name, counters)
		for class, queued := range s.publishedSnapshot().Queued {
			n.metrics.SetQueued(s.name, class, queued)
		}
	}
}

// observer counts frames, closed connections and the bytes sent over the links
// between regions.
type observer struct{ node *Node }

// FrameSent implements transport.Observer.
func (o *observer) FrameSent(peer string, kind transport.Kind, bytes int) {
	o.node.metrics.FrameSent(peer, kind.String(), bytes)
	if o.node.isOtherRegion(peer) {
		o.node.metrics.RegionLinkBytes(kind.String(), bytes)
	}
}

// FrameReceived implements transport.Observer.
func (o *observer) FrameReceived(peer string, kind transport.Kind, bytes int) {
	o.node.metrics.FrameReceived(peer, kind.String(), bytes)
}

// FrameDropped implements transport.Observer.
func (o *observer) FrameDropped(_ string, kind transport.Kind, reason string) {
	o.node.metrics.FrameDropped(kind.String(), reason)
}

// ConnectionClosed implements transport.Observer.
func (o *observer) ConnectionClosed(_, reason string) { o.node.metrics.ConnectionClosed(reason) }

func (n *Node) isOtherRegion(peer string) bool {
	h, known := n.hosts.get(peer)
	return known && h.Region != n.cfg.Region
}

// age returns the time since the last status of a host, or -1 if there was none.
func (n *Node) age(h host) time.Duration {
	if !h.seen {
		return -1
	}
	return n.now() - h.received
}
