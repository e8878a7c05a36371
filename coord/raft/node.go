package raft

import "time"

// Node is a member of a group.
type Node struct {
	cfg Config
}

// New returns a node that starts from restored state.
func New(cfg Config, restored Restored) (*Node, error) { return &Node{cfg: cfg}, nil }

// Tick advances the time.
func (n *Node) Tick(now time.Duration) {}

// Step processes a received message.
func (n *Node) Step(now time.Duration, m Message) error { return nil }

// Propose appends a command if the node leads.
func (n *Node) Propose(now time.Duration, data []byte) (index, term uint64, err error) {
	return 0, 0, &NotLeaderError{}
}

// ProposeChange appends a membership change if the node leads.
func (n *Node) ProposeChange(now time.Duration, c MemberChange) (index, term uint64, err error) {
	return 0, 0, &NotLeaderError{}
}

// TransferLeadership hands leadership to another voter.
func (n *Node) TransferLeadership(now time.Duration, to string) error { return &NotLeaderError{} }

// HoldsLease reports whether the node leads and no other node can lead.
func (n *Node) HoldsLease(now time.Duration) bool { return false }

// Ready returns what is to be done, and whether there is anything.
func (n *Node) Ready() (Ready, bool) { return Ready{}, false }

// Advance reports that a Ready was carried out.
func (n *Node) Advance(Ready) {}

// Compact stores a snapshot and drops entries, keeping some behind it.
func (n *Node) Compact(meta SnapshotMeta, data []byte, keep uint64) {}

// MembershipAt returns the membership as of an index.
func (n *Node) MembershipAt(index uint64) Membership { return Membership{} }

// Status describes the node.
func (n *Node) Status() Status { return Status{} }
