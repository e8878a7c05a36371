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
	// probePending is set while a probe awaits its reply.
	probePending bool
	// probingSince is when the state last changed to PeerProbe. Rejections of
	// earlier messages carry no news.
	probingSince time.Duration
	// lastReply is when a reply was last received, and lastAckedSend the send time of the
	// latest request that was answered, if hasAck is set.
	lastReply, lastAckedSend time.Duration
	hasAck                   bool
	// lastSend is when a message that renews the lease was last lastSend, if hasSent
	// is set.
	lastSend    time.Duration
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
	return &peer{state: PeerReplicate, next: next, lastReply: now, probingSince: now}
}

func (p *peer) isWorseSuccessorThan(other *peer) bool {
	if p.lowPriority != other.lowPriority {
		return p.lowPriority
	}
	return p.match < other.match
}

// recordReply records a reply.
func (p *peer) recordReply(now time.Duration, m Message) {
	p.lastReply = now
	p.lowPriority = m.LowPriority
	if !p.hasAck || m.Sent > p.lastAckedSend {
		p.hasAck = true
		p.lastAckedSend = m.Sent
	}
}

// recordMatch records that the member holds the entries up to index.
func (p *peer) recordMatch(index uint64) {
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

// startProbing continues with a single message, because the logs do not match or an
// earlier message was lost.
func (p *peer) startProbing(next uint64, now time.Duration) {
	p.state = PeerProbe
	p.next = max(next, p.match+1)
	p.clearInflight()
	p.probePending = false
	p.probingSince = now
	p.outgoing = outgoingSnapshot{}
}

// startReplicating sends batches again, from the first entry that is not acknowledged.
func (p *peer) startReplicating() {
	p.state = PeerReplicate
	p.next = p.match + 1
	p.clearInflight()
	p.outgoing = outgoingSnapshot{}
}
