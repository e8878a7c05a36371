package replica

import (
	"time"

	"cranberrydrum.dev/coord/raft"
)

// Defaults of Config.
const (
	defaultSnapshotEntries = 10_000
	defaultSnapshotBytes   = 16 << 20
	defaultKeepEntries     = 1_000
)

// Replica is a member of a replicated group.
type Replica struct {
	cfg     Config
	node    *raft.Node
	storage Storage
	machine StateMachine
	// applied is the position of the last applied entry.
	applied, appliedTerm uint64
	// entriesSince and bytesSince count what was applied since the snapshot.
	entriesSince uint64
	bytesSince   int
	// failed is returned by every call once it is set.
	failed error
}

// Open starts a replica from its storage. A fresh storage starts with the
// bootstrap membership, or without one as an empty member that waits for the
// leader of an existing group.
func Open(cfg Config, s Storage, m StateMachine) (*Replica, error) {
	r := &Replica{cfg: cfg.withDefaults(), storage: s, machine: m}
	restored, err := r.load()
	if err != nil {
		return nil, err
	}
	node, err := raft.New(r.cfg.Raft, restored)
	if err != nil {
		return nil, err
	}
	r.node = node
	return r, nil
}

func (c Config) withDefaults() Config {
	if c.SnapshotEntries == 0 {
		c.SnapshotEntries = defaultSnapshotEntries
	}
	if c.SnapshotBytes == 0 {
		c.SnapshotBytes = defaultSnapshotBytes
	}
	if c.KeepEntries == 0 {
		c.KeepEntries = defaultKeepEntries
	}
	return c
}

// load reads the stored state and brings the state machine to its snapshot.
func (r *Replica) load() (raft.Restored, error) {
	restored, data, err := r.storage.Load()
	if err != nil {
		return restored, &FatalError{Operation: OperationLoad, Cause: err}
	}
	if restored.Empty() && !r.cfg.Bootstrap.Empty() {
		return r.bootstrap()
	}
	restored.SnapshotData = data
	if restored.Snapshot.Index == 0 {
		return restored, nil
	}
	if err := r.machine.Restore(data); err != nil {
		return restored, &FatalError{Operation: OperationRestore, Cause: err}
	}
	r.setApplied(restored.Snapshot)
	return restored, nil
}

// bootstrap stores a first snapshot of the empty state, equal on all hosts, as
// entry 1 of term 1. Members that join later receive the membership with it.
func (r *Replica) bootstrap() (raft.Restored, error) {
	meta := raft.SnapshotMeta{Index: 1, Term: 1, Membership: r.cfg.Bootstrap.Clone()}
	if !meta.Membership.IsMember(r.cfg.Raft.ID) {
		return raft.Restored{}, &BootstrapError{ID: r.cfg.Raft.ID, Reason: "not a member of the bootstrap membership"}
	}
	data, err := r.machine.Snapshot()
	if err != nil {
		return raft.Restored{}, &FatalError{Operation: OperationSnapshot, Cause: err}
	}
	if err := r.storage.SaveSnapshot(meta, data); err != nil {
		return raft.Restored{}, &FatalError{Operation: OperationSaveSnapshot, Cause: err}
	}
	r.setApplied(meta)
	return raft.Restored{Snapshot: meta, SnapshotData: data}, nil
}

func (r *Replica) setApplied(meta raft.SnapshotMeta) {
	r.applied, r.appliedTerm = meta.Index, meta.Term
	r.entriesSince, r.bytesSince = 0, 0
}

// Tick advances the time.
func (r *Replica) Tick(now time.Duration) (Output, error) {
	if r.failed != nil {
		return Output{}, r.failed
	}
	r.node.Tick(now)
	return r.process()
}

// Receive processes a received message. The time must be read after the
// message was received. An error of type *FatalError is final; other errors
// are about the message.
func (r *Replica) Receive(now time.Duration, m raft.Message) (Output, error) {
	if r.failed != nil {
		return Output{}, r.failed
	}
	refused := r.node.Step(now, m)
	out, err := r.process()
	if err != nil {
		return out, err
	}
	return out, refused
}

// Propose proposes a command.
func (r *Replica) Propose(now time.Duration, command []byte) (Ticket, Output, error) {
	tickets, out, err := r.ProposeBatch(now, [][]byte{command})
	if len(tickets) == 0 {
		return Ticket{}, out, err
	}
	return tickets[0], out, err
}

// ProposeBatch proposes commands that are stored with a single sync. If one is
// refused, the error says why, and tickets are returned for those before it.
func (r *Replica) ProposeBatch(now time.Duration, commands [][]byte) ([]Ticket, Output, error) {
	if r.failed != nil {
		return nil, Output{}, r.failed
	}
	tickets := make([]Ticket, 0, len(commands))
	var refused error
	for _, command := range commands {
		index, term, err := r.node.Propose(now, command)
		if err != nil {
			refused = err
			break
		}
		tickets = append(tickets, Ticket{Index: index, Term: term})
	}
	out, err := r.process()
	if err != nil {
		return tickets, out, err
	}
	return tickets, out, refused
}

// Change proposes a membership change.
func (r *Replica) Change(now time.Duration, c raft.MemberChange) (Ticket, Output, error) {
	if r.failed != nil {
		return Ticket{}, Output{}, r.failed
	}
	index, term, refused := r.node.ProposeChange(now, c)
	out, err := r.processRefusable(refused)
	return Ticket{Index: index, Term: term}, out, err
}

// Transfer hands leadership to another voter.
func (r *Replica) Transfer(now time.Duration, to string) (Output, error) {
	if r.failed != nil {
		return Output{}, r.failed
	}
	return r.processRefusable(r.node.TransferLeadership(now, to))
}

// HandOver hands leadership to the voter that can take over soonest.
func (r *Replica) HandOver(now time.Duration) (Output, error) {
	if r.failed != nil {
		return Output{}, r.failed
	}
	return r.processRefusable(r.node.TransferToBestVoter(now))
}

// processRefusable processes what a call of the node left behind and reports
// its refusal, unless the replica itself fails.
func (r *Replica) processRefusable(refused error) (Output, error) {
	out, err := r.process()
	if err == nil {
		err = refused
	}
	return out, err
}

// HoldsLease reports whether the replica leads and no other replica can lead
// at the time now, which must have been read just before the call.
func (r *Replica) HoldsLease(now time.Duration) bool {
	return r.failed == nil && r.node.HoldsLease(now)
}

// Barrier returns the commit index and true if the replica holds the lease and
// has applied an entry of its own term. The state machine then contains every
// command that was acknowledged before the call.
func (r *Replica) Barrier(now time.Duration) (index uint64, ok bool) {
	if !r.HoldsLease(now) {
		return 0, false
	}
	// Every call applies all that is committed before it returns, and a lease
	// requires that an entry of the own term is committed.
	return r.applied, true
}

// Standing returns the part of the status that is cheap to read.
func (r *Replica) Standing() raft.Standing { return r.node.Standing() }

// Status describes the replica.
func (r *Replica) Status() raft.Status { return r.node.Status() }

// Failed returns the error that stopped the replica, or nil.
func (r *Replica) Failed() error { return r.failed }

// Close closes the storage; the replica does nothing more.
func (r *Replica) Close() error {
	if err := r.storage.Close(); err != nil {
		return r.fail(OperationClose, err)
	}
	if r.failed == nil {
		r.failed = ErrClosed
	}
	return nil
}

func (r *Replica) fail(op Operation, cause error) error {
	r.failed = &FatalError{Operation: op, Cause: cause}
	return r.failed
}
