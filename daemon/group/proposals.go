package group

import (
	"cranberrydrum.dev/coord/replica"
	"cranberrydrum.dev/scheduler/structs"
)

// proposal is a command whose proposer waits for the result.
type proposal struct {
	command []byte
	term    uint64
	done    chan outcome
}

type outcome struct {
	result []byte
	err    error
}

// lastOutcome returns the outcome of a proposal when the group is done. A
// result that was delivered before counts.
func lastOutcome(p *proposal, unknown string) outcome {
	select {
	case o := <-p.done:
		return o
	default:
		return outcome{err: structs.Unknown(structs.CodeStopping, unknown)}
	}
}

// wait registers the proposer at an index. An earlier proposer there stays: its
// entry is gone from this log, but another host can still hold it and commit
// it after an election, until the index is applied here.
func (g *Group) wait(ticket replica.Ticket, p *proposal) {
	p.term = ticket.Term
	g.waiting[ticket.Index] = append(g.waiting[ticket.Index], p)
}

// resolve answers the proposers at an applied index. Another term at that index
// means that the proposal was replaced and can never take effect.
func (g *Group) resolve(a replica.Applied) {
	for _, p := range g.waiting[a.Index] {
		if a.Term == p.term {
			p.done <- outcome{result: a.Result}
			continue
		}
		p.done <- replacedOutcome()
	}
	delete(g.waiting, a.Index)
}

func replacedOutcome() outcome {
	return outcome{err: structs.NotRun(structs.CodeNotLeader, "another leader replaced the command")}
}

// replaceUpTo answers proposals whose index was applied without a result: the
// empty entry of a new leader took their place.
func (g *Group) replaceUpTo(applied uint64) { g.answerUpTo(applied, replacedOutcome) }

// abandonUpTo answers proposals that a snapshot has passed: whether they are
// part of it cannot be told.
func (g *Group) abandonUpTo(index uint64) {
	g.answerUpTo(index, func() outcome {
		return outcome{err: structs.Unknown(structs.CodeNotLeader, "a snapshot replaced the state")}
	})
}

func (g *Group) answerUpTo(index uint64, answer func() outcome) {
	for i, waiting := range g.waiting {
		if i > index {
			continue
		}
		delete(g.waiting, i)
		for _, p := range waiting {
			p.done <- answer()
		}
	}
}
