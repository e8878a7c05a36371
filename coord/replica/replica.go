package replica

import (
	"time"

	"cranberrydrum.dev/coord/raft"
)

// Replica is a member of a replicated group.
type Replica struct {
	node *raft.Node
}

// Open starts a replica from its storage.
func Open(cfg Config, s Storage, m StateMachine) (*Replica, error) {
	node, err := raft.New(cfg.Raft, raft.Restored{})
	return &Replica{node: node}, err
}

// Tick advances the time.
func (r *Replica) Tick(now time.Duration) (Output, error) { return Output{}, nil }

// Receive processes a received message.
func (r *Replica) Receive(now time.Duration, m raft.Message) (Output, error) { return Output{}, nil }

// Propose proposes a command.
func (r *Replica) Propose(now time.Duration, command []byte) (Ticket, Output, error) {
	return Ticket{}, Output{}, nil
}

// ProposeBatch proposes commands that are stored with a single sync.
func (r *Replica) ProposeBatch(now time.Duration, commands [][]byte) ([]Ticket, Output, error) {
	return nil, Output{}, nil
}

// Change proposes a membership change.
func (r *Replica) Change(now time.Duration, c raft.MemberChange) (Ticket, Output, error) {
	return Ticket{}, Output{}, nil
}

// Transfer hands leadership to another voter.
func (r *Replica) Transfer(now time.Duration, to string) (Output, error) { return Output{}, nil }

// HoldsLease reports whether the replica leads and no other replica can lead.
func (r *Replica) HoldsLease(now time.Duration) bool { return false }

// Barrier returns the commit index and true if the replica holds the lease and
// has applied an entry of its own term.
func (r *Replica) Barrier(now time.Duration) (index uint64, ok bool) { return 0, false }

// Status describes the replica.
func (r *Replica) Status() raft.Status { return r.node.Status() }

// Close closes the storage.
func (r *Replica) Close() error { return nil }
