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

// Replica is one member of a replicated group.
type Replica struct {
	cfg     Config
	node    *raft.Node
	storage Storage
	machine StateMachine
	// applied and appliedTerm are the index and term of the last applied entry.
	applied, appliedTerm uint64
	// entriesSinceSnapshot and bytesSinceSnapshot are the number and size of
	// the entries applied since the last snapshot.
	entriesSinceSnapshot uint64
	bytesSinceSnapshot   int
	// startWrite starts a write in the background. It is nil if the replica waits for
	// its writes.
	startWrite func(*Write)
	// isStoringSnapshot is set while a snapshot that the replica took is being stored.
	isStoringSnapshot bool
	// fatalErr stops the replica: once it is set, the calls that drive the
	// node return it and do nothing else.
	fatalErr error
}

// Open starts a replica from its storage. With an empty storage, it starts from
// the bootstrap membership. Without a bootstrap membership, it waits for the
// leader of an existing group to send the log.
func Open(cfg Config, s Storage, m StateMachine) (*Replica, error) {
	r := &Replica{cfg: cfg.withDefaults(), storage: s, machine: m}
	r.cfg.Raft.DurableCommit = !r.skipsCommitOnlySaves()
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

// load reads the stored state and restores the state machine from the snapshot.
func (r *Replica) load() (raft.RestoredState, error) {
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

// bootstrap stores a first snapshot of the empty state at index 1 of term 1. It
// is equal on all hosts. Members that join later receive the initial membership
// with it.
func (r *Replica) bootstrap() (raft.RestoredState, error) {
	meta := raft.SnapshotMeta{Index: 1, Term: 1, Membership: r.cfg.Bootstrap.Clone()}
	if !meta.Membership.IsMember(r.cfg.Raft.ID) {
		return raft.RestoredState{}, &BootstrapError{ID: r.cfg.Raft.ID, Reason: "the bootstrap membership does not contain this host"}
	}
	data, err := r.machine.Snapshot()
	if err != nil {
		return raft.RestoredState{}, &FatalError{Operation: OperationSnapshot, Cause: err}
	}
	if err := r.storage.SaveSnapshot(meta, data); err != nil {
		return raft.RestoredState{}, &FatalError{Operation: OperationSaveSnapshot, Cause: err}
	}
	r.setApplied(meta)
	return raft.RestoredState{Snapshot: meta, SnapshotData: data}, nil
}

func (r *Replica) setApplied(meta raft.SnapshotMeta) {
	r.applied, r.appliedTerm = meta.Index, meta.Term
	r.entriesSinceSnapshot, r.bytesSinceSnapshot = 0, 0
}

// Tick advances the time and performs the work that is due.
func (r *Replica) Tick(now time.Duration) (Output, error) {
	if r.fatalErr != nil {
		return Output{}, r.fatalErr
	}
	r.node.Tick(now)
	return r.process()
}

// Receive processes a received message. The caller must read the time after the
// message was received. A *FatalError is permanent; other errors concern only
// this message.
func (r *Replica) Receive(now time.Duration, m raft.Message) (Output, error) {
	if r.fatalErr != nil {
		return Output{}, r.fatalErr
	}
	stepErr := r.node.Step(now, m)
	out, err := r.process()
	if err != nil {
		return out, err
	}
	return out, stepErr
}

// Propose proposes a command and returns the ID that identifies it.
func (r *Replica) Propose(now time.Duration, command []byte) (ProposalID, Output, error) {
	ids, out, err := r.ProposeBatch(now, [][]byte{command})
	if len(ids) == 0 {
		return ProposalID{}, out, err
	}
	return ids[0], out, err
}

// ProposeBatch proposes commands that are stored with a single sync. It stops at
// the first command that is rejected, and returns the reason as error and the
// IDs of the commands before it.
func (r *Replica) ProposeBatch(now time.Duration, commands [][]byte) ([]ProposalID, Output, error) {
	if r.fatalErr != nil {
		return nil, Output{}, r.fatalErr
	}
	ids := make([]ProposalID, 0, len(commands))
	var proposeErr error
	for _, command := range commands {
		index, term, err := r.node.Propose(now, command)
		if err != nil {
			proposeErr = err
			break
		}
		ids = append(ids, ProposalID{Index: index, Term: term})
	}
	out, err := r.process()
	if err != nil {
		return ids, out, err
	}
	return ids, out, proposeErr
}

// ProposeChange proposes a membership change.
func (r *Replica) ProposeChange(now time.Duration, c raft.MemberChange) (ProposalID, Output, error) {
	if r.fatalErr != nil {
		return ProposalID{}, Output{}, r.fatalErr
	}
	index, term, nodeErr := r.node.ProposeChange(now, c)
	out, err := r.processWithNodeError(nodeErr)
	return ProposalID{Index: index, Term: term}, out, err
}

// TransferLeadership starts a transfer of leadership to another voter.
func (r *Replica) TransferLeadership(now time.Duration, to string) (Output, error) {
	if r.fatalErr != nil {
		return Output{}, r.fatalErr
	}
	return r.processWithNodeError(r.node.TransferLeadership(now, to))
}

// TransferToBestVoter starts a transfer of leadership to the most suitable voter
// that replied recently.
func (r *Replica) TransferToBestVoter(now time.Duration) (Output, error) {
	if r.fatalErr != nil {
		return Output{}, r.fatalErr
	}
	return r.processWithNodeError(r.node.TransferToBestVoter(now))
}

// processWithNodeError executes the pending work after a call to the node. It
// returns the node's error from that call unless the replica itself fails.
func (r *Replica) processWithNodeError(nodeErr error) (Output, error) {
	out, err := r.process()
	if err == nil {
		err = nodeErr
	}
	return out, err
}

// HoldsLease reports whether the replica is leader and no other replica can be
// leader at the time now. The caller must read now immediately before the call.
func (r *Replica) HoldsLease(now time.Duration) bool {
	return r.fatalErr == nil && r.node.HoldsLease(now)
}

// LeaseEnd returns the time until which no other replica can be leader, as far as
// the replica knows at the time now, or 0 if it holds no lease.
func (r *Replica) LeaseEnd(now time.Duration) time.Duration {
	if r.fatalErr != nil {
		return 0
	}
	return r.node.LeaseEnd(now)
}

// LeaseReadIndex returns the applied index and true if the replica holds the
// lease and has applied an entry of its own term. The state machine then contains
// every command that was acknowledged before the call, so a read of it is
// linearizable.
func (r *Replica) LeaseReadIndex(now time.Duration) (index uint64, ok bool) {
	// A lease requires a committed entry of the leader's own term, which may still have
	// to be applied. Later commands are acknowledged once they are applied here.
	if !r.HoldsLease(now) || r.applied < r.node.FirstOfTerm() {
		return 0, false
	}
	return r.applied, true
}

// BasicStatus returns the part of Status that is cheap to read.
func (r *Replica) BasicStatus() raft.BasicStatus { return r.node.BasicStatus() }

// Status returns the state of the node.
func (r *Replica) Status() raft.Status { return r.node.Status() }

// Err returns the error that stopped the replica, or nil.
func (r *Replica) Err() error { return r.fatalErr }

// Close closes the storage. Later calls that return an error return ErrClosed,
// or the error that stopped the replica earlier.
func (r *Replica) Close() error {
	if err := r.storage.Close(); err != nil {
		return r.fail(OperationClose, err)
	}
	if r.fatalErr == nil {
		r.fatalErr = ErrClosed
	}
	return nil
}

// fail stops the replica permanently.
func (r *Replica) fail(op Operation, cause error) error {
	r.fatalErr = &FatalError{Operation: op, Cause: cause}
	return r.fatalErr
}
