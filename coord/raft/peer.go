package raft

import "time"

// peer is what a leader knows about another member.
type peer struct {
	state PeerState
	// match is the last entry known to be stored there; next is the first
	// entry to send.
	match, next uint64
	// inflight holds the unacknowledged batches, and inflightBytes their size.
	inflight      []sentBatch
	inflightBytes int
	// probed is set while a probe awaits its reply.
	probed bool
	// since is when the state last changed to PeerProbe. Rejections of
	// earlier messages carry no news.
	since time.Duration
	// heard is when a reply was last received, and acked the send time of the
	// latest request that was answered, if hasAck is set.
	heard, acked time.Duration
	hasAck       bool
	// sent is when a message that renews the lease was last sent, if hasSent
	// is set.
	sent        time.Duration
	hasSent     bool
	lowPriority bool
	outgoing    outgoingSnapshot
}

// sentBatch is a batch of entries that awaits its acknowledgement.
type sentBatch struct {
	last uint64
	size int
}

// newPeer assumes that the member has everything; a rejection corrects this.
func newPeer(next uint64, now time.Duration) *peer {
	return &peer{state: PeerReplicate, next: next, heard: now, since: now}
}

func (p *peer) worseThan(other *peer) bool {
	if p.lowPriority != other.lowPriority {
		return p.lowPriority
	}
	return p.match < other.match
}

// observe records a reply.
func (p *peer) observe(now time.Duration, m Message) {
	p.heard = now
	p.lowPriority = m.LowPriority
	if !p.hasAck || m.Sent > p.acked {
		p.hasAck = true
		p.acked = m.Sent
	}
}

// accept records that the member holds the entries up to index.
func (p *peer) accept(index uint64) {
	p.match = max(p.match, index)
	p.next = max(p.next, p.match+1)
	for len(p.inflight) > 0 && p.inflight[0].last <= p.match {
		p.inflightBytes -= p.inflight[0].size
		p.inflight = p.inflight[1:]
	}
}

// addInflight records that entries were sent.
func (p *peer) addInflight(entries []Entry) {
	batch := sentBatch{last: entries[len(entries)-1].Index}
	for i := range entries {
		batch.size += entries[i].Size()
	}
	p.inflight = append(p.inflight, batch)
	p.inflightBytes += batch.size
	p.next = batch.last + 1
}

func (p *peer) clearInflight() {
	p.inflight = nil
	p.inflightBytes = 0
}

// probe continues with a single message, because the logs do not match or an
// earlier message was lost.
func (p *peer) probe(next uint64, now time.Duration) {
	p.state = PeerProbe
	p.next = max(next, p.match+1)
	p.clearInflight()
	p.probed = false
	p.since = now
	p.outgoing = outgoingSnapshot{}
}

// resume sends batches again, from the first entry that is not acknowledged.
func (p *peer) resume() {
	p.state = PeerReplicate
	p.next = p.match + 1
	p.clearInflight()
	p.outgoing = outgoingSnapshot{}
}
