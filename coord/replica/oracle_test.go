package replica_test

import (
	"math"
	"slices"

	"github.com/anishathalye/porcupine"

	"cranberrydrum.dev/coord/raft"
)

// checkHost checks one leader per term, log matching and monotonic commits.
func (c *cluster) checkHost(h *host) {
	s := h.replica.Status()
	if s.Role == raft.RoleLeader {
		if other, ok := c.leaders[s.Term]; ok && other != h.id {
			c.fail("hosts %s and %s both lead in term %d", other, h.id, s.Term)
		}
		c.leaders[s.Term] = h.id
	}
	if s.Commit < h.commit {
		c.fail("commit of host %s went back from %d to %d", h.id, h.commit, s.Commit)
	}
	h.commit = s.Commit
	for _, r := range slices.Backward(h.machine.records) {
		known, ok := c.committed[r.Index]
		if ok && known != r {
			c.fail("host %s applied %v, another host %v", h.id, r, known)
		}
		if ok {
			break
		}
		c.committed[r.Index] = r
	}
}

// checkLease checks that at most one host holds a lease at this true time.
func (c *cluster) checkLease() {
	holder := ""
	for _, id := range c.ids {
		h := c.hosts[id]
		if h.replica == nil || !h.replica.HoldsLease(h.clock.Read(c.now)) {
			continue
		}
		if holder != "" {
			c.fail("hosts %s and %s both hold the lease", holder, id)
		}
		holder = id
	}
}

// converged reports whether all members have applied the whole log of a leader
// that has committed it.
func (c *cluster) converged() bool {
	l := c.leader()
	if l == nil || l.replica.Status().Commit < l.replica.Status().LastIndex {
		return false
	}
	for _, id := range l.replica.Status().Membership.Members() {
		h := c.hosts[id]
		if h.replica == nil || !slices.Equal(h.machine.records, l.machine.records) {
			return false
		}
	}
	return true
}

// lostWrite returns an acknowledged write that the leader does not have.
func (c *cluster) lostWrite() string {
	l := c.leader()
	for _, w := range c.writes {
		want := record{w.ticket.Index, w.ticket.Term, w.value}
		if w.done > 0 && !slices.Contains(l.machine.records, want) {
			return w.value
		}
	}
	return ""
}

type registerInput struct {
	write bool
	// rank is the position of the written value in the log.
	rank int
}

// registerModel is a register whose writes take effect in the order of the
// log. This is stricter than linearizability, and keeps the search short.
var registerModel = porcupine.Model{
	Init: func() any { return 0 },
	Step: func(state, input, output any) (bool, any) {
		in := input.(registerInput)
		if in.write {
			return in.rank == state.(int)+1, in.rank
		}
		return output == state, state
	},
}

// history returns the operations that took effect. The outcome of every write
// is known at the end, because a later entry is committed.
func (c *cluster) history() []porcupine.Operation {
	ranks := map[string]int{"": 0}
	for i, r := range c.leader().machine.records {
		ranks[r.Command] = i + 1
	}
	var ops []porcupine.Operation
	for i, w := range c.writes {
		rank, ok := ranks[w.value]
		if !ok {
			continue
		}
		op := porcupine.Operation{ClientId: i, Input: registerInput{true, rank}, Call: w.call, Return: w.done}
		if w.done == 0 {
			op.Return = math.MaxInt64
		}
		ops = append(ops, op)
	}
	for i, r := range c.reads {
		id := len(c.writes) + i
		rank, ok := ranks[r.value]
		if !ok {
			rank = -1
		}
		ops = append(ops, porcupine.Operation{ClientId: id, Input: registerInput{}, Output: rank, Call: r.call, Return: r.done})
	}
	return ops
}
