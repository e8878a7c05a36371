package placement

import (
	"cmp"
	"slices"
	"strings"
)

// compareClaims orders running jobs as guarantee.Compare does: by reservation,
// start and ID.
func compareClaims(a, b *job) int {
	if c := cmp.Compare(a.reservedIndex, b.reservedIndex); c != 0 {
		return c
	}
	if c := cmp.Compare(a.started, b.started); c != 0 {
		return c
	}
	return strings.Compare(a.id, b.id)
}

// addClaim inserts a job into the claims. The claims after it are evaluated
// again; usually there are none, because a job that has just started comes last.
func (s *Scheduler) addClaim(j *job) {
	at, _ := slices.BinarySearchFunc(s.claims, j, compareClaims)
	s.undoClaimsFrom(at)
	s.claims = slices.Insert(s.claims, at, j)
}

// removeClaim removes a job from the claims. The claims after it are evaluated
// again only if the job has bound a block.
func (s *Scheduler) removeClaim(j *job) {
	at, found := slices.BinarySearchFunc(s.claims, j, compareClaims)
	if !found {
		return
	}
	if at < len(s.ledgerMarks) && s.markAfter(at) != s.ledgerMarks[at] {
		s.undoClaimsFrom(at)
	}
	s.claims = slices.Delete(s.claims, at, at+1)
	if at < len(s.ledgerMarks) {
		s.ledgerMarks = slices.Delete(s.ledgerMarks, at, at+1)
	}
	s.setInside(j, false)
}

// markAfter returns the mark of the ledger after an evaluated claim.
func (s *Scheduler) markAfter(at int) int {
	if at+1 < len(s.ledgerMarks) {
		return s.ledgerMarks[at+1]
	}
	return s.ledger.Mark()
}

// undoClaimsFrom rolls the ledger back to before the claim at a position, so
// that this claim and all later ones are evaluated again.
func (s *Scheduler) undoClaimsFrom(at int) {
	if at >= len(s.ledgerMarks) {
		return
	}
	s.ledger.Undo(s.ledgerMarks[at])
	s.ledgerMarks = s.ledgerMarks[:at]
}

// evaluateClaims claims blocks for the jobs that have no evaluated claim yet.
func (s *Scheduler) evaluateClaims() {
	for _, j := range s.claims[len(s.ledgerMarks):] {
		s.ledgerMarks = append(s.ledgerMarks, s.ledger.Mark())
		inside := j.complete && s.ledger.Claim(j.customer.account, j.parts)
		s.setInside(j, inside)
	}
}

// setInside records whether a job is inside its customer's guarantee, in the
// job, in the sums of the customer and on the workers.
func (s *Scheduler) setInside(j *job, inside bool) {
	if j.inside == inside {
		return
	}
	j.inside = inside
	if inside {
		j.customer.inside += j.held
	} else {
		j.customer.inside -= j.held
	}
	for _, p := range j.parts {
		s.workers[p.Worker].updateProtected()
	}
}
