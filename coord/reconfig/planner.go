package reconfig

import (
	"maps"
	"slices"
	"time"

	"cranberrydrum.dev/coord/raft"
)

const (
	// electionsPerLoss is the number of election timeouts until another host leads
	// after the leader was lost.
	electionsPerLoss = 2
	// changesPerReplacement are the promotion of a spare and the removal of a lost
	// voter. As many voters may be lost at the same time as there are spares.
	changesPerReplacement = 2
	// joinIntervals and leaveIntervals are the numbers of rounds for which a request
	// is valid. Hosts repeat their requests until they have what they ask for.
	joinIntervals  = 8
	leaveIntervals = 2
)

// Config describes the members that a log should have.
type Config struct {
	// Voters is the number of voters. Spares is the number of further members that
	// receive the log, so that they can replace a voter at once.
	Voters, Spares int
	// ReplaceWithin is the time after its start in which a new host must have
	// replaced a voter that is gone, an election included.
	ReplaceWithin time.Duration
	// ElectionTimeout is that of the log, and Interval the time between two rounds of
	// planning.
	ElectionTimeout, Interval time.Duration
}

// Planner decides the membership changes of one log. It is used on the leader; on
// another host it only keeps the requests. It reads no clock and is not safe for
// concurrent use.
type Planner struct {
	cfg     Config
	silence silenceTracker
	// joining and leaving hold the time of the last request of each member.
	joining, leaving map[string]time.Duration
	// changeTime estimates how long a change takes to be committed.
	changeTime time.Duration
}

// NewPlanner returns a planner without requests.
func NewPlanner(cfg Config) *Planner {
	return &Planner{
		cfg:     cfg,
		silence: newSilenceTracker(cfg.ElectionTimeout, 2*cfg.Interval),
		joining: map[string]time.Duration{}, leaving: map[string]time.Duration{},
	}
}

// Join records that a host asks to become a member. It replaces a request of the host
// under another identity, which the host no longer uses.
func (p *Planner) Join(now time.Duration, member string) {
	maps.DeleteFunc(p.joining, func(other string, _ time.Duration) bool { return isOtherIdentity(other, member) })
	p.joining[member] = now
}

// Leave records that the host of a member is about to stop, so that its vote should
// pass to a spare while it is still there.
func (p *Planner) Leave(now time.Duration, member string) { p.leaving[member] = now }

// Follow observes the status of a host that does not lead. If this host leads next, the
// silence of a lost voter counts from before the election.
func (p *Planner) Follow(now time.Duration, status raft.Status) { p.silence.follow(now, status) }

// Contact records that a host sent this one a message at a time.
func (p *Planner) Contact(host string, at time.Duration) { p.silence.contact(host, at) }

// RecordChange records how long a change took, during which nothing was observed. One that
// was refused takes no time, which tells nothing; one that was not committed in time is slow.
func (p *Planner) RecordChange(took time.Duration, committed bool) {
	if committed || took > p.changeTime {
		p.changeTime = max(took, (p.changeTime+took)/2)
	}
	p.silence.last += took
}

// LostAfter returns the silence after which a voter counts as lost. It leaves time for
// an election and for the changes of a replacement, as long as these took last, and is
// never shorter than an election, so that a host that restarts within that time keeps its
// vote.
func (p *Planner) LostAfter() time.Duration {
	election := electionsPerLoss * p.cfg.ElectionTimeout
	changes := time.Duration(changesPerReplacement*p.cfg.Spares) * p.changeTime
	spent := election + p.cfg.Interval + changes
	return max(p.cfg.ReplaceWithin-spent, election)
}

// Plan observes the status of the leader and returns the next change, if one is due.
// The previous change must be committed first.
func (p *Planner) Plan(now time.Duration, status raft.Status) (Change, bool) {
	p.silence.observe(now, status)
	p.expire(now)
	if status.ChangeIndex > status.Commit {
		return Change{}, false
	}
	r := round{Planner: p, status: status, members: status.Membership, lostAfter: p.LostAfter()}
	if r.isReplacing() {
		// The log bears a loss less until the replacement is complete.
		r.lostAfter = electionsPerLoss * p.cfg.ElectionTimeout
	}
	for _, next := range []func() (Change, bool){r.removeVoter, r.promote, r.removeLearner, r.add, r.removeExtra} {
		if change, due := next(); due {
			return change, true
		}
	}
	return Change{}, false
}

// expire deletes the requests that were not repeated.
func (p *Planner) expire(now time.Duration) {
	deleteOlder(p.joining, now-joinIntervals*p.cfg.Interval)
	deleteOlder(p.leaving, now-leaveIntervals*p.cfg.Interval)
}

func deleteOlder(requests map[string]time.Duration, oldest time.Duration) {
	maps.DeleteFunc(requests, func(_ string, at time.Duration) bool { return at < oldest })
}

// candidates returns the members that ask to join and may be added, sorted.
func (p *Planner) candidates(m raft.Membership) []string {
	var list []string
	for member := range p.joining {
		if _, leaving := p.leaving[member]; !leaving && !m.IsMember(member) && !m.IsRemoved(member) {
			list = append(list, member)
		}
	}
	slices.Sort(list)
	return list
}

// CanReplace reports whether the vote of a member that leaves may still pass to another
// one: there is a spare that is neither lost nor leaving, or the replacement is not
// complete or its removal not committed yet. Whether a spare has the log is not known
// right after an election, so the member has to wait for it.
func (p *Planner) CanReplace(status raft.Status, leaving string) bool {
	r := round{Planner: p, status: status, members: status.Membership, lostAfter: p.LostAfter()}
	if !r.members.IsVoter(leaving) {
		return r.members.IsRemoved(leaving) && !IsRemovalCommitted(status, leaving)
	}
	return r.isReplacing() || slices.ContainsFunc(r.members.Learners, func(l string) bool { return !r.isLost(l) && !r.isLeaving(l) })
}

// IsRemovalCommitted reports whether a member has been removed for good. A removal that
// is only in the leader's log may be lost with it; the member is a voter then, and its
// log is needed.
func IsRemovalCommitted(status raft.Status, member string) bool {
	return status.Membership.IsRemoved(member) && status.ChangeIndex <= status.Commit
}

// Joining returns the members that ask to join, sorted.
func (p *Planner) Joining() []string { return slices.Sorted(maps.Keys(p.joining)) }
