package node

import (
	"time"

	"cranberrydrum.dev/coord/registry"
	"cranberrydrum.dev/daemon/transport"
	"cranberrydrum.dev/scheduler/structs"
)

// registryMessage carries announcements of backend servers between the hosts
// of one failure domain: a digest asks for what its sender lacks.
type registryMessage struct {
	Digest  []registry.Version `msgpack:"d,omitempty"`
	Ask     bool               `msgpack:"a,omitempty"`
	Entries []registry.Entry   `msgpack:"e,omitempty"`
}

// broadcastStatus tells all hosts what changed in the configuration in force,
// the leaders of logs and the load of services.
func (n *Node) broadcastStatus() {
	n.statuses.mu.Lock()
	defer n.statuses.mu.Unlock()
	message := n.statuses.next(n.now(), *n.ownStatus())
	for _, h := range n.hosts.all() {
		n.sendStatus(h.ID, message)
	}
}

// answerStatus sends the whole status to a host that has missed a message.
func (n *Node) answerStatus(to string) {
	n.statuses.mu.Lock()
	defer n.statuses.mu.Unlock()
	n.sendStatus(to, n.statuses.full())
}

func (n *Node) sendStatus(to string, message statusMessage) {
	body, err := encodeMessage(&message)
	if err != nil {
		n.log.Error(err, "the host status cannot be encoded")
		return
	}
	_ = n.transport.Send(to, transport.KindHostStatus, body)
}

func (n *Node) ownStatus() *hostStatus {
	current := n.config.current()
	status := &hostStatus{ConfigVersion: current.Version, ConfigDigest: current.Digest, Stopping: n.stopping.Load()}
	for _, g := range n.allGroups() {
		s := g.Status()
		status.Groups = append(status.Groups, groupView{Name: g.Name(), Term: s.Term, Leader: s.Leader})
	}
	for _, s := range n.allServices() {
		status.Services = append(status.Services, s.currentLoad())
	}
	return status
}

func (n *Node) receiveStatus(from string, body []byte) {
	var message statusMessage
	if err := decodeMessage("host status", body, &message); err != nil {
		n.metrics.FrameDropped(transport.KindHostStatus.String(), "malformed")
		return
	}
	if message.Ask {
		n.answerStatus(from)
		return
	}
	if !n.hosts.update(n.now(), from, message) {
		n.sendStatus(from, statusMessage{Ask: true})
	}
	n.followConfig(from, message.Version)
}

// syncBackends asks the hosts of the own failure domain for announcements that
// this host lacks.
func (n *Node) syncBackends() {
	message := &registryMessage{Ask: true, Digest: n.backends.digest()}
	n.sendToDomain(message)
}

func (n *Node) sendToDomain(message *registryMessage) {
	body, err := encodeMessage(message)
	if err != nil {
		n.log.Error(err, "announcements cannot be encoded")
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
	if !message.Ask {
		return
	}
	entries := n.backends.delta(n.now(), message.Digest)
	if len(entries) == 0 {
		return
	}
	answer, err := encodeMessage(&registryMessage{Entries: entries})
	if err == nil {
		_ = n.transport.Send(from, transport.KindRegistry, answer)
	}
}

// Announce takes the announcement of a backend server. A change of state goes
// to the other hosts of the failure domain at once, so that a leaving backend
// server gets nothing new there either.
func (n *Node) Announce(b structs.Backend, sequence uint64) error {
	if refusal := n.backends.announce(n.now(), b, sequence); refusal != nil {
		return refusal
	}
	if b.State == structs.BackendUp {
		return nil
	}
	n.sendToDomain(&registryMessage{Entries: n.backends.entry(n.now(), b.ID)})
	return nil
}

// Drain changes the state of an announced backend server.
func (n *Node) Drain(service, id string, incarnation uint64, state structs.BackendState) error {
	b, sequence, found := n.backends.find(n.now(), service, id)
	if !found || (incarnation != 0 && incarnation != b.Incarnation) {
		return structs.NotRun(structs.CodeNotFound, "no backend server "+id+" of service "+service)
	}
	b.State = state
	return n.Announce(b, sequence)
}

// publishGroups sets the metrics of the replicated logs.
func (n *Node) publishGroups() {
	for _, g := range n.allGroups() {
		n.metrics.SetGroup(g.Name(), g.Leads(), g.Status().Term)
	}
	for _, s := range n.allServices() {
		s.node.metrics.Retries(s.name, s.status().Counters.Retries)
		for class, queued := range s.status().Queued {
			n.metrics.SetQueued(s.name, class, queued)
		}
	}
}

// observer counts frames and the bytes that cross the link between regions.
type observer struct{ node *Node }

// FrameSent implements transport.Observer.
func (o *observer) FrameSent(peer string, kind transport.Kind, bytes int) {
	o.node.metrics.FrameSent(peer, kind.String(), bytes)
	if o.node.otherRegion(peer) {
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

func (n *Node) otherRegion(peer string) bool {
	h, known := n.hosts.get(peer)
	return known && h.Region != n.cfg.Region
}

// age returns how long ago a host was heard of, or -1.
func (n *Node) age(h host) time.Duration {
	if !h.seen {
		return -1
	}
	return n.now() - h.received
}
