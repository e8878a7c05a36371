package group

import (
	"cranberrydrum.dev/coord/replica"
	"cranberrydrum.dev/scheduler/structs"
)

// proposal is a command whose proposer waits for the outcome on done. term is
// the term of its log entry.
type proposal struct {
	command []byte
	term    uint64
	done    chan outcome
}

type outcome struct {
	result []byte
	err    error
}

// outcomeAtStop returns the outcome of a proposal after the group has stopped:
// the outcome that was delivered before, or else an unknown one.
func outcomeAtStop(p *proposal, unknown string) outcome {
	select {
	case o := <-p.done:
		return o
	default:
		return outcome{err: structs.RefuseUnknown(structs.CodeStopping, unknown)}
	}
}

// addWaiter registers a proposal as waiting for an index to be applied. Earlier
// proposals at the same index keep waiting: their entries were removed from
// this log, but another host may still have them and commit them after an
// election, until the index is applied on this host.
func (g *Group) addWaiter(id replica.ProposalID, p *proposal) {
	p.term = id.Term
	g.waiters[id.Index] = append(g.waiters[id.Index], p)
}

// completeApplied delivers the outcomes of the proposals at an applied index. A
// proposal of a term other than the applied one was replaced and can never take
// effect.
func (g *Group) completeApplied(a replica.Applied) {
	for _, p := range g.waiters[a.Index] {
		if a.Term == p.term {
			p.done <- outcome{result: a.Result}
			continue
		}
		p.done <- replacedOutcome()
	}
	delete(g.waiters, a.Index)
}

func replacedOutcome() outcome {
	return outcome{err: structs.RefuseNotRun(structs.CodeNotLeader, "another leader replaced the command")}
}

// refuseReplacedUpTo refuses the proposals that still wait for an applied index.
// They were replaced by the no-op entry of a new leader, which has no result.
func (g *Group) refuseReplacedUpTo(applied uint64) { g.completeUpTo(applied, replacedOutcome) }

// failUnknownUpTo reports an unknown outcome for the proposals up to the index
// of a restored snapshot, because it cannot be determined whether the snapshot
// includes them.
func (g *Group) failUnknownUpTo(index uint64) {
	g.completeUpTo(index, func() outcome {
		return outcome{err: structs.RefuseUnknown(structs.CodeNotLeader, "a snapshot replaced the state")}
	})
}

// completeUpTo delivers an outcome to each proposal that waits for an index up
// to the given one.
func (g *Group) completeUpTo(index uint64, newOutcome func() outcome) {
	for i, waiters := range g.waiters {
		if i > index {
			continue
		}
		delete(g.waiters, i)
		for _, p := range waiters {
			p.done <- newOutcome()
		}
	}
}
