package raft

import (
	"hash/fnv"
	"math/rand/v2"
	"time"
)

// Node is a member of a group. It is not safe for concurrent use.
type Node struct {
	cfg  Config
	rand *rand.Rand

	// now is the latest time passed in by the caller; it never decreases.
	now     time.Duration
	started bool

	role   Role
	term   uint64
	vote   string
	leader string

	log         memLog
	commit      uint64
	applied     uint64
	memberships []membershipAt
	snapshot    Snapshot
	incoming    *incomingSnapshot
	// pendingSnapshot is a received snapshot that the caller has not stored yet.
	pendingSnapshot *Snapshot

	// savedState is the hard state that was last given to the caller to be stored.
	savedState HardState
	write      writeState
	messages   []Message

	election   electionState
	leadership leaderState
}

// membershipAt is the membership that applies from an index on.
type membershipAt struct {
	index      uint64
	membership Membership
}

// New returns a node that starts from restored state.
func New(cfg Config, restored RestoredState) (*Node, error) {
	cfg = cfg.withDefaults()
	if err := cfg.validate(); err != nil {
		return nil, err
	}
	if err := restored.validate(); err != nil {
		return nil, err
	}
	n := &Node{cfg: cfg, rand: newRand(cfg)}
	n.restore(restored)
	return n, nil
}

// newRand returns a random source seeded with Seed and ID, so that hosts with
// equal seeds do not campaign at the same time.
func newRand(cfg Config) *rand.Rand {
	h := fnv.New64a()
	h.Write([]byte(cfg.ID))
	return rand.New(rand.NewPCG(cfg.Seed, h.Sum64()))
}

func (n *Node) restore(r RestoredState) {
	n.term = max(r.HardState.Term, r.Snapshot.Term)
	if n.term == r.HardState.Term {
		n.vote = r.HardState.Vote
	}
	base := r.Membership
	if r.Snapshot.Index > 0 {
		base = r.Snapshot.Membership
	}
	n.snapshot = Snapshot{Meta: r.Snapshot, Data: r.SnapshotData}
	n.memberships = []membershipAt{{index: r.Snapshot.Index, membership: base.Clone()}}
	n.log.reset(r.Snapshot)
	for _, e := range r.Entries {
		if e.Index > r.Snapshot.Index {
			n.appendEntry(e)
		}
	}
	n.log.handed, n.log.stable = n.log.lastIndex(), n.log.lastIndex()
	n.write.durableTerm = r.HardState.Term
	n.applied = r.Snapshot.Index
	n.commit = min(max(r.HardState.Commit, r.Snapshot.Index), n.log.lastIndex())
	n.savedState = HardState{Term: r.HardState.Term, Vote: r.HardState.Vote, Commit: n.commit}
	n.write.durableCommit = n.commit
}

// validate checks that restored state is consistent.
func (r RestoredState) validate() error {
	if !r.Membership.valid() || !r.Snapshot.Membership.valid() {
		return &CorruptStateError{Reason: "invalid membership", Index: r.Snapshot.Index}
	}
	if r.Snapshot.Index > 0 && (r.Snapshot.Term == 0 || r.Snapshot.Membership.Empty()) {
		return &CorruptStateError{Reason: "snapshot has no term or no voters", Index: r.Snapshot.Index}
	}
	prev := Entry{Index: r.Snapshot.Index, Term: r.Snapshot.Term}
	for i, e := range r.Entries {
		if i == 0 && e.Index <= r.Snapshot.Index {
			prev = Entry{Index: e.Index - 1}
		}
		if err := validateRestored(prev, e, r); err != nil {
			return err
		}
		prev = e
	}
	return nil
}

func validateRestored(prev, e Entry, r RestoredState) error {
	switch {
	case e.Index != prev.Index+1:
		return &CorruptStateError{Reason: "gap in the log", Index: e.Index}
	case e.Term < prev.Term || e.Term == 0:
		return &CorruptStateError{Reason: "entry term is zero or lower than that of the previous entry", Index: e.Index}
	case e.Index == r.Snapshot.Index && e.Term != r.Snapshot.Term:
		return &CorruptStateError{Reason: "entry term differs from that of the snapshot", Index: e.Index}
	case e.Term > max(r.HardState.Term, r.Snapshot.Term):
		return &CorruptStateError{Reason: "entry term is newer than the hard state", Index: e.Index}
	case !validEntry(e):
		return &CorruptStateError{Reason: "unknown entry kind or undecodable membership change", Index: e.Index}
	}
	return nil
}

// Tick advances the time and performs the work that is due. The caller must
// call it at least a few times per heartbeat interval.
func (n *Node) Tick(now time.Duration) {
	n.advanceClock(now)
	if n.role == RoleLeader {
		n.transferIfUnfit()
		return
	}
	n.tickElection()
}

// advanceClock advances the time. It also runs the time-outs of a leader, so
// that a leader that was paused steps down before it does anything else.
func (n *Node) advanceClock(now time.Duration) {
	n.now = max(n.now, now)
	if !n.started {
		n.now = now
		n.start()
	}
	if n.role == RoleLeader {
		n.checkQuorum()
	}
	if n.role == RoleLeader {
		n.checkTransfer()
	}
}

// start handles the first call with a time. It counts as contact with a leader,
// because the node may have acknowledged a heartbeat before a restart, and a
// lease may still rely on that.
func (n *Node) start() {
	n.started = true
	n.election.lastLeaderContact = n.now
	n.election.transferDelay = n.cfg.ElectionTimeout
	n.resetElectionDeadline()
}

// Propose appends a command if the node is leader. The command has succeeded
// when Ready returns a committed entry with the returned index and term. It has
// failed when the committed entry with that index has another term. The caller
// must not change data afterwards.
func (n *Node) Propose(now time.Duration, data []byte) (index, term uint64, err error) {
	n.advanceClock(now)
	if err := n.checkAcceptsProposals(); err != nil {
		return 0, 0, err
	}
	entry := n.nextEntry(EntryCommand, data)
	if entry.Size() > n.cfg.MaxBatchBytes {
		return 0, 0, &TooLargeError{Size: entry.Size(), Limit: n.cfg.MaxBatchBytes}
	}
	total := n.leadership.uncommitted + entry.Size()
	if n.leadership.uncommitted > 0 && total > n.cfg.MaxUncommittedBytes {
		return 0, 0, &OverloadedError{Uncommitted: n.leadership.uncommitted, Limit: n.cfg.MaxUncommittedBytes}
	}
	n.appendAsLeader(entry)
	return entry.Index, entry.Term, nil
}

// checkAcceptsProposals returns an error if the node is not leader or is
// transferring leadership.
func (n *Node) checkAcceptsProposals() error {
	if n.role != RoleLeader {
		return &NotLeaderError{Leader: n.leader}
	}
	if n.leadership.transfer.to != "" {
		return &TransferInProgressError{To: n.leadership.transfer.to}
	}
	return nil
}

func (n *Node) nextEntry(kind EntryKind, data []byte) Entry {
	return Entry{Index: n.log.lastIndex() + 1, Term: n.term, Kind: kind, Data: data}
}

// appendAsLeader appends a new entry and counts its bytes as uncommitted.
func (n *Node) appendAsLeader(e Entry) {
	n.leadership.uncommitted += e.Size()
	n.appendEntry(e)
}

// appendEntry appends an entry; a membership change takes effect at once.
func (n *Node) appendEntry(e Entry) {
	n.log.append(e)
	if e.Kind != EntryChange {
		return
	}
	change, _ := DecodeChange(e.Data)
	next, _ := n.membership().apply(change)
	n.memberships = append(n.memberships, membershipAt{index: e.Index, membership: next})
}

// truncate drops the entries from index on, which a new leader replaces, and the
// membership changes among them.
func (n *Node) truncate(index uint64) {
	n.log.truncate(index)
	for len(n.memberships) > 1 && n.memberships[len(n.memberships)-1].index >= index {
		n.memberships = n.memberships[:len(n.memberships)-1]
	}
}

// membership returns the latest membership, even if it is not committed.
func (n *Node) membership() Membership { return n.memberships[len(n.memberships)-1].membership }

// changeIndex returns the index of the latest membership change.
func (n *Node) changeIndex() uint64 { return n.memberships[len(n.memberships)-1].index }

// MembershipAt returns the membership as of index, which must not be lower than
// the index of the snapshot.
func (n *Node) MembershipAt(index uint64) Membership {
	found := n.memberships[0].membership
	for _, c := range n.memberships {
		if c.index <= index {
			found = c.membership
		}
	}
	return found.Clone()
}
