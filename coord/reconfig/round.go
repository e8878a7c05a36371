package reconfig

import (
	"slices"
	"time"

	"cranberrydrum.dev/coord/raft"
)

// Reason tells why a change is due.
type Reason string

// Reasons of changes.
const (
	// ReasonTooFewVoters: the log has fewer voters than wanted.
	ReasonTooFewVoters Reason = "too_few_voters"
	// ReasonDiskLost: the host of a member is back under another identity.
	ReasonDiskLost Reason = "disk_lost"
	// ReasonVoterLost: a voter has been silent for too long.
	ReasonVoterLost Reason = "voter_lost"
	// ReasonVoterLeaving: the host of a voter is about to stop.
	ReasonVoterLeaving Reason = "voter_leaving"
	// ReasonExtraVoter: a voter that was to be replaced replies again.
	ReasonExtraVoter Reason = "extra_voter"
	// ReasonSpare: a further member receives the log.
	ReasonSpare Reason = "spare"
	// ReasonSpareLost: a learner has been silent for too long, and another host can
	// take its place.
	ReasonSpareLost Reason = "spare_lost"
)

// Change is a membership change with its reason.
type Change struct {
	raft.MemberChange
	Reason Reason
	// Replaced is the voter in whose place a member is promoted, or empty.
	Replaced string
}

func promote(member string, reason Reason, replaced string) Change {
	return Change{MemberChange: raft.MemberChange{Op: raft.Promote, ID: member}, Reason: reason, Replaced: replaced}
}

func remove(member string, reason Reason) Change {
	return Change{MemberChange: raft.MemberChange{Op: raft.Remove, ID: member}, Reason: reason}
}

func addLearner(member string, reason Reason) Change {
	return Change{MemberChange: raft.MemberChange{Op: raft.AddLearner, ID: member}, Reason: reason}
}

// round plans the next change from one status.
type round struct {
	*Planner
	status    raft.Status
	members   raft.Membership
	lostAfter time.Duration
}

func (r *round) isLost(member string) bool { return r.silence.of(member) > r.lostAfter }

func (r *round) isLeaving(member string) bool {
	_, leaving := r.leaving[member]
	return leaving
}

// isUp reports whether a member replied within the last election timeout.
func (r *round) isUp(member string) bool {
	if member == r.status.ID {
		return true
	}
	peer, found := r.status.Peer(member)
	return found && peer.HasReplied && peer.SinceLastReply < r.silence.heardWithin
}

// isCaughtUp reports whether a learner is up and has nearly the whole log.
func (r *round) isCaughtUp(learner string) bool {
	peer, found := r.status.Peer(learner)
	return found && peer.CaughtUp && r.isUp(learner)
}

// hasQuorum reports whether most of these voters are up, so that the log goes on with
// them.
func (r *round) hasQuorum(voters []string) bool {
	up := 0
	for _, v := range voters {
		if r.isUp(v) {
			up++
		}
	}
	return up > len(voters)/2
}

// isReplacing reports whether a voter was promoted in whose place another one is to be
// removed. An odd number of voters bears more losses than the even number below it.
func (r *round) isReplacing() bool {
	return len(r.members.Voters) > r.cfg.Voters && len(r.members.Voters)%2 == 0
}

// removeVoter removes a voter in whose place another one was promoted.
func (r *round) removeVoter() (Change, bool) {
	voters := r.members.Voters
	for _, v := range voters {
		if r.isSuperseded(v) && r.hasQuorum(without(voters, v)) {
			return remove(v, ReasonDiskLost), true
		}
	}
	if !r.isReplacing() {
		return Change{}, false
	}
	for _, v := range voters {
		if r.isLost(v) && r.hasQuorum(without(voters, v)) {
			return remove(v, ReasonVoterLost), true
		}
	}
	for _, v := range voters {
		if r.isLeaving(v) && r.hasQuorum(without(voters, v)) {
			return remove(v, ReasonVoterLeaving), true
		}
	}
	return Change{}, false
}

func without(members []string, member string) []string {
	return slices.DeleteFunc(slices.Clone(members), func(m string) bool { return m == member })
}

// isSuperseded reports whether the host of a voter is a voter under another identity,
// which it uses now. The numbers of identities do not tell, because they come from the
// clock of the host, which may have been set back.
func (r *round) isSuperseded(voter string) bool {
	return !r.isUp(voter) && slices.ContainsFunc(r.members.Voters, func(v string) bool { return isOtherIdentity(v, voter) && r.isUp(v) })
}

// promote promotes a learner that has the log, if a voter is missing, lost or about to
// stop.
func (r *round) promote() (Change, bool) {
	for _, l := range r.members.Learners {
		if !r.isCaughtUp(l) || r.isLeaving(l) || !r.hasQuorum(append(slices.Clone(r.members.Voters), l)) {
			continue
		}
		if reason, replaced := r.voteFor(l); reason != "" {
			return promote(l, reason, replaced), true
		}
	}
	return Change{}, false
}

// voteFor returns the reason for which a member should become a voter and the voter
// that it replaces, or an empty reason.
func (r *round) voteFor(member string) (reason Reason, replaced string) {
	voters := r.members.Voters
	if v, found := r.formerIdentity(member); found {
		return ReasonDiskLost, v
	}
	switch {
	case len(voters) < r.cfg.Voters:
		return ReasonTooFewVoters, ""
	case r.isReplacing():
		return "", ""
	}
	if at := slices.IndexFunc(voters, r.isLost); at >= 0 {
		return ReasonVoterLost, voters[at]
	}
	if at := slices.IndexFunc(voters, r.isLeaving); at >= 0 {
		return ReasonVoterLeaving, voters[at]
	}
	return "", ""
}

// formerIdentity returns the voter that is another identity of the host of a member.
func (r *round) formerIdentity(member string) (voter string, found bool) {
	at := slices.IndexFunc(r.members.Voters, func(v string) bool { return isOtherIdentity(v, member) })
	if at < 0 {
		return "", false
	}
	return r.members.Voters[at], true
}

// removeExtra removes the voter that lags most, if a replacement was not completed
// because the replaced voter replies again. Right after an election a voter that has not
// replied yet may be the lost one. A log that bears no loss keeps its founders.
func (r *round) removeExtra() (Change, bool) {
	isSilent := func(voter string) bool { return !r.isUp(voter) }
	if !r.isReplacing() || r.cfg.Voters == 1 || slices.ContainsFunc(r.members.Voters, isSilent) {
		return Change{}, false
	}
	last := raft.PeerStatus{}
	for _, p := range r.status.Peers {
		if p.Voter && (last.ID == "" || p.Match < last.Match) {
			last = p
		}
	}
	return remove(last.ID, ReasonExtraVoter), last.ID != ""
}

// removeLearner removes a learner whose host asks to join under another identity, and
// a lost one whose place another host can take.
func (r *round) removeLearner() (Change, bool) {
	candidates := r.candidates(r.members)
	for _, l := range r.members.Learners {
		if slices.ContainsFunc(candidates, func(c string) bool { return isOtherIdentity(c, l) }) {
			return remove(l, ReasonDiskLost), true
		}
	}
	if len(candidates) == 0 {
		return Change{}, false
	}
	if at := slices.IndexFunc(r.members.Learners, r.isLost); at >= 0 {
		return remove(r.members.Learners[at], ReasonSpareLost), true
	}
	return Change{}, false
}

// add adds a host as a learner, if it lost its disk or a spare is missing.
func (r *round) add() (Change, bool) {
	spares := 0
	for _, l := range r.members.Learners {
		if _, former := r.formerIdentity(l); !former {
			spares++
		}
	}
	for _, c := range r.candidates(r.members) {
		if _, former := r.formerIdentity(c); former {
			return addLearner(c, ReasonDiskLost), true
		}
		if spares < r.cfg.Spares {
			return addLearner(c, ReasonSpare), true
		}
	}
	return Change{}, false
}
