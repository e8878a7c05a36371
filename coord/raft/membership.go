package raft

import "slices"

// maxIDBytes limits the length of member identifiers, so that messages stay
// small.
const maxIDBytes = 128

// Membership lists the members of a group. All lists are sorted.
type Membership struct {
	Voters   []string `msgpack:"v"`
	Learners []string `msgpack:"l,omitempty"`
	// Removed lists the identifiers of removed members. They are never added
	// again, because such a host may have lost the record of a vote.
	Removed []string `msgpack:"r,omitempty"`
}

// IsVoter reports whether id is a voter.
func (m Membership) IsVoter(id string) bool { return contains(m.Voters, id) }

// IsLearner reports whether id is a learner.
func (m Membership) IsLearner(id string) bool { return contains(m.Learners, id) }

// IsRemoved reports whether id was a member and has been removed.
func (m Membership) IsRemoved(id string) bool { return contains(m.Removed, id) }

// IsMember reports whether id is a voter or a learner.
func (m Membership) IsMember(id string) bool { return m.IsVoter(id) || m.IsLearner(id) }

// Empty reports whether the membership has no voters.
func (m Membership) Empty() bool { return len(m.Voters) == 0 }

// Members returns voters and learners, sorted.
func (m Membership) Members() []string {
	all := slices.Concat(m.Voters, m.Learners)
	slices.Sort(all)
	return all
}

// Clone returns a deep copy of m with sorted lists.
func (m Membership) Clone() Membership {
	c := Membership{
		Voters:   slices.Clone(m.Voters),
		Learners: slices.Clone(m.Learners),
		Removed:  slices.Clone(m.Removed),
	}
	slices.Sort(c.Voters)
	slices.Sort(c.Learners)
	slices.Sort(c.Removed)
	return c
}

func (m Membership) quorum() int { return len(m.Voters)/2 + 1 }

func (m Membership) size() int {
	size := 0
	for _, id := range slices.Concat(m.Voters, m.Learners, m.Removed) {
		size += len(id) + 1
	}
	return size
}

// valid reports whether every identifier has an allowed length and is listed
// once.
func (m Membership) valid() bool {
	all := slices.Concat(m.Voters, m.Learners, m.Removed)
	slices.Sort(all)
	for i, id := range all {
		if id == "" || len(id) > maxIDBytes {
			return false
		}
		if i > 0 && all[i-1] == id {
			return false
		}
	}
	return true
}

// ChangeOp is the operation of a MemberChange.
type ChangeOp uint8

// Operations of membership changes.
const (
	// AddLearner adds a non-voting member that receives the log.
	AddLearner ChangeOp = iota + 1
	// Promote turns a caught-up learner into a voter.
	Promote
	// Remove removes a voter or learner permanently.
	Remove
)

// String returns the name of the operation.
func (o ChangeOp) String() string {
	switch o {
	case AddLearner:
		return "add learner"
	case Promote:
		return "promote"
	case Remove:
		return "remove"
	}
	return "invalid operation"
}

// MemberChange is a membership change that affects a single member.
type MemberChange struct {
	Op ChangeOp `msgpack:"o"`
	ID string   `msgpack:"i"`
}

func (c MemberChange) encode() []byte {
	return append([]byte{byte(c.Op)}, c.ID...)
}

// DecodeChange returns the change that an entry of kind EntryChange carries.
func DecodeChange(data []byte) (MemberChange, bool) {
	if len(data) < 2 {
		return MemberChange{}, false
	}
	op := ChangeOp(data[0])
	if op < AddLearner || op > Remove {
		return MemberChange{}, false
	}
	return MemberChange{Op: op, ID: string(data[1:])}, true
}

// apply returns the membership after the change, or the reason why the change
// is not allowed.
func (m Membership) apply(c MemberChange) (Membership, ChangeReason) {
	switch {
	case c.ID == "":
		return m, ReasonEmptyID
	case len(c.ID) > maxIDBytes:
		return m, ReasonIDTooLong
	}
	switch c.Op {
	case AddLearner:
		return m.addLearner(c.ID)
	case Promote:
		return m.promote(c.ID)
	case Remove:
		return m.remove(c.ID)
	}
	return m, ReasonUnknownOperation
}

func (m Membership) addLearner(id string) (Membership, ChangeReason) {
	switch {
	case m.IsRemoved(id):
		return m, ReasonRemoved
	case m.IsMember(id):
		return m, ReasonMember
	}
	next := m.Clone()
	next.Learners = insert(next.Learners, id)
	return next, ""
}

func (m Membership) promote(id string) (Membership, ChangeReason) {
	switch {
	case m.IsRemoved(id):
		return m, ReasonRemoved
	case !m.IsLearner(id):
		return m, ReasonNotLearner
	}
	next := m.Clone()
	next.Learners = without(next.Learners, id)
	next.Voters = insert(next.Voters, id)
	return next, ""
}

func (m Membership) remove(id string) (Membership, ChangeReason) {
	switch {
	case !m.IsMember(id):
		return m, ReasonNotMember
	case m.IsVoter(id) && len(m.Voters) == 1:
		return m, ReasonLastVoter
	}
	next := m.Clone()
	next.Learners = without(next.Learners, id)
	next.Voters = without(next.Voters, id)
	next.Removed = insert(next.Removed, id)
	return next, ""
}

func contains(sorted []string, id string) bool {
	_, found := slices.BinarySearch(sorted, id)
	return found
}

func insert(sorted []string, id string) []string {
	at, _ := slices.BinarySearch(sorted, id)
	return slices.Insert(sorted, at, id)
}

func without(sorted []string, id string) []string {
	at, found := slices.BinarySearch(sorted, id)
	if !found {
		return sorted
	}
	return slices.Delete(sorted, at, at+1)
}
