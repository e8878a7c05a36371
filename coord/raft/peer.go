package raft

import "time"

// peer is the leader's replication state of another member.
type peer struct {
	state PeerState
	// match is the index of the last entry that the member is known to store;
	// next is the index of the first entry to send.
	match, next uint64
	// inflight holds the unacknowledged batches; inflightBytes is their size.
	inflight      []sentBatch
	inflightBytes int
	// probePending is set while a probe awaits its reply.
	probePending bool
	// probingSince is the time at which probing last started. Rejections of
	// messages sent before it are ignored as outdated.
	probingSince time.Duration
	// lastReply is the time at which the last reply arrived. lastAckedSend is
	// the send time of the latest acknowledged request; it is valid if hasAck
	// is set.
	lastReply, lastAckedSend time.Duration
	hasAck                   bool
	// voterSince is the time at which this leader promoted the member, or 0.
	voterSince time.Duration
	// lastProgress is the time of the last reply that shows that the member stores what it
	// is sent, and lastUseful that of the last one that came soon enough after it. A
	// member whose disk hangs replies, but adds nothing to what a majority stores.
	lastProgress, lastUseful time.Duration
	// lastSend is the time at which a message that renews the lease was last
	// sent; it is valid if hasSent is set.
	lastSend time.Duration
	hasSent  bool
	// sentCommit is the highest commit index that was sent in an append message.
	sentCommit  uint64
	lowPriority bool
	outgoing    outgoingSnapshot
	round       round
}

// round is the time from an append message to the first acknowledgement of it or of a
// later one.
type round struct {
	// started is set between the two. sentAt is the send time of the message and commit
	// the commit index at that time.
	started bool
	sentAt  time.Duration
	commit  uint64
	// keptUp is set if the last round took no longer than allowed, and the member stored
	// every entry up to commit in it.
	keptUp bool
}

// start starts a round unless one is under way.
func (r *round) start(now time.Duration, commit uint64) {
	if !r.started {
		r.started, r.sentAt, r.commit = true, now, commit
	}
}

// finish ends a round with the acknowledgement of a message that was sent in it.
func (r *round) finish(now, sent time.Duration, match uint64, limit time.Duration) {
	if r.started && sent >= r.sentAt {
		r.started, r.keptUp = false, match >= r.commit && now-r.sentAt <= limit
	}
}

// sentBatch is a batch of entries that is not acknowledged yet.
type sentBatch struct {
	// last is the index of the last entry.
	last uint64
	// size is in bytes.
	size int
}

// newPeer returns the state of a member that is assumed to have every entry
// before next. A rejection corrects a wrong assumption.
func newPeer(next uint64, now time.Duration) *peer {
	return &peer{state: PeerReplicate, next: next, lastReply: now, lastProgress: now, lastUseful: now, probingSince: now}
}

// isCaughtUp reports whether the member stores every committed entry, or kept up in the
// last round. While a group is busy, a member on a link with high latency always lacks the
// entries of the last round trip. It may be promoted, because only a quorum that holds
// those entries commits the promotion.
func (p *peer) isCaughtUp(commit uint64) bool { return p.match >= commit || p.round.keptUp }

// isWorseSuccessorThan reports whether other is preferred as the next leader.
// Priority takes precedence over the length of the log.
func (p *peer) isWorseSuccessorThan(other *peer) bool {
	if p.lowPriority != other.lowPriority {
		return p.lowPriority
	}
	return p.match < other.match
}

// recordReply records the time of a reply and the request that it acknowledges.
func (p *peer) recordReply(now time.Duration, m Message) {
	p.lastReply = now
	p.lowPriority = m.LowPriority
	if !p.hasAck || m.Sent > p.lastAckedSend {
		p.hasAck = true
		p.lastAckedSend = m.Sent
	}
}

// recordProgress records whether a reply shows that the member stores what it is sent: it
// has more than match and acked, which it had before, lacks no committed entry, or helps
// to find where the logs match. Without progress, replies are useful for the time that
// writes may take.
func (p *peer) recordProgress(now time.Duration, m Message, match, acked, commit uint64, writeTime time.Duration) {
	if m.Reject || p.match > match || p.match >= commit || p.outgoing.acked > acked {
		p.lastProgress = now
	}
	if now-p.lastProgress <= writeTime {
		p.lastUseful = now
	}
}

// recordMatch records that the member stores the entries up to index.
func (p *peer) recordMatch(index uint64) {
	p.match = max(p.match, index)
	p.next = max(p.next, p.match+1)
	for len(p.inflight) > 0 && p.inflight[0].last <= p.match {
		p.inflightBytes -= p.inflight[0].size
		p.inflight = p.inflight[1:]
	}
}

// addInflight records that a batch of entries was sent.
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

// startProbing switches to one message at a time, because the logs do not match
// or an earlier message was lost.
func (p *peer) startProbing(next uint64, now time.Duration) {
	p.state = PeerProbe
	p.next = max(next, p.match+1)
	p.clearInflight()
	p.probePending = false
	p.probingSince = now
	p.outgoing = outgoingSnapshot{}
	p.round = round{}
}

// startReplicating switches to sending batches, from the first entry that is not
// acknowledged.
func (p *peer) startReplicating() {
	p.state = PeerReplicate
	p.next = p.match + 1
	p.clearInflight()
	p.outgoing = outgoingSnapshot{}
}
