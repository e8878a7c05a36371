package reconfig

import (
	"time"

	"cranberrydrum.dev/coord/raft"
)

// silenceTracker measures how long the other members have been silent, as seen by one
// leader. What a host knows from before its election counts, so that a change of the
// leader does not give a lost voter more time. Time in which the host itself was
// suspended does not count: after a pause everybody appears to have been silent.
type silenceTracker struct {
	// heardWithin is the time within which a member that is up replies.
	heardWithin time.Duration
	// maxStep bounds the silence that passes between two observations.
	maxStep time.Duration
	// last is the time of the last observation; it is valid if observed is set.
	last     time.Duration
	observed bool
	// term is the term in which this host leads, or 0.
	term uint64
	// heard holds the time of the last reply of each member, and of the last message of
	// each leader, or the time since which the member is known as a voter. contacts holds
	// the time of the last message of each host to this one.
	heard, contacts map[string]time.Duration
	silent          map[string]time.Duration
}

func newSilenceTracker(heardWithin, maxStep time.Duration) silenceTracker {
	return silenceTracker{heardWithin: heardWithin, maxStep: maxStep, heard: map[string]time.Duration{}, contacts: map[string]time.Duration{}}
}

// advance leaves out the time in which this host was suspended.
func (t *silenceTracker) advance(now time.Duration) {
	if pause := now - t.last - t.maxStep; t.observed && pause > 0 {
		for _, times := range []map[string]time.Duration{t.heard, t.contacts} {
			for id, at := range times {
				times[id] = min(now, at+pause)
			}
		}
	}
	t.last, t.observed = now, true
}

// contact records a message of a host.
func (t *silenceTracker) contact(host string, at time.Duration) {
	t.contacts[host] = max(t.contacts[host], at)
}

// follow observes the status of a host that does not lead. A voter counts as heard when it
// becomes known, as after a restart of this host.
func (t *silenceTracker) follow(now time.Duration, status raft.Status) {
	t.advance(now)
	t.term = 0
	for _, v := range status.Membership.Voters {
		if _, known := t.heard[v]; !known {
			t.heard[v] = now
		}
	}
	if status.Leader != "" && status.Leader != status.ID {
		t.heard[status.Leader] = max(t.heard[status.Leader], status.LastLeaderContact)
	}
}

// observe updates the silence of all members from the status of the leader. A member that
// has not replied to this leader yet may have been silent for long before the election.
func (t *silenceTracker) observe(now time.Duration, status raft.Status) {
	t.advance(now)
	heard := make(map[string]time.Duration, len(status.Peers))
	silent := make(map[string]time.Duration, len(status.Peers))
	for _, p := range status.Peers {
		heard[p.ID] = t.lastHeard(now, p, t.term != status.Term)
		if !p.HasReplied || p.SinceLastReply >= t.heardWithin {
			silent[p.ID] = now - heard[p.ID]
		}
	}
	t.term, t.heard, t.silent = status.Term, heard, silent
}

// lastHeard returns when a member was heard last. At an election, its host may have sent
// something else since its last reply; a member of which nothing is known counts as
// heard.
func (t *silenceTracker) lastHeard(now time.Duration, p raft.PeerStatus, elected bool) time.Duration {
	at, known := t.heard[p.ID]
	if contact, found := t.contacts[HostOf(p.ID)]; elected && found {
		at, known = max(at, contact), true
	}
	switch {
	case p.HasReplied:
		return max(at, now-p.SinceLastReply)
	case known:
		return at
	}
	return now
}

// of returns how long a member has been silent, or 0 if it replied recently.
func (t *silenceTracker) of(member string) time.Duration { return t.silent[member] }
