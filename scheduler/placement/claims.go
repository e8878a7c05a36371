package placement

import (
	"cmp"
	"slices"
	"strings"
)

// compareClaims orders running jobs by their claims, as guarantee.Compare does.
func compareClaims(a, b *job) int {
	if c := cmp.Compare(a.order, b.order); c != 0 {
		return c
	}
	if c := cmp.Compare(a.started, b.started); c != 0 {
		return c
	}
	return strings.Compare(a.id, b.id)
}

// addClaim enters a job. Later claims are evaluated again; a job that has just
// started is the last one, so usually there are none.
func (s *Scheduler) addClaim(j *job) {
	at, _ := slices.BinarySearchFunc(s.claims, j, compareClaims)
	s.truncate(at)
	s.claims = slices.Insert(s.claims, at, j)
}

// removeClaim removes a job. Later claims are evaluated again only if the job
// has bound a block.
func (s *Scheduler) removeClaim(j *job) {
	at, found := slices.BinarySearchFunc(s.claims, j, compareClaims)
	if !found {
		return
	}
	if at < len(s.marks) && s.markAfter(at) != s.marks[at] {
		s.truncate(at)
	}
	s.claims = slices.Delete(s.claims, at, at+1)
	if at < len(s.marks) {
		s.marks = slices.Delete(s.marks, at, at+1)
	}
	s.setInside(j, false)
}

// markAfter returns the position of the ledger after an evaluated claim.
func (s *Scheduler) markAfter(at int) int {
	if at+1 < len(s.marks) {
		return s.marks[at+1]
	}
	return s.ledger.Mark()
}

// truncate takes back the claims from a position on.
func (s *Scheduler) truncate(at int) {
	if at >= len(s.marks) {
		return
	}
	s.ledger.Undo(s.marks[at])
	s.marks = s.marks[:at]
}

// evaluate claims for the jobs that were not evaluated yet.
func (s *Scheduler) evaluate() {
	for _, j := range s.claims[len(s.marks):] {
		s.marks = append(s.marks, s.ledger.Mark())
		inside := j.complete && s.ledger.Claim(j.customer.account, j.parts)
		s.setInside(j, inside)
	}
}

// setInside records whether a job is inside its customer's guarantee.
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
		s.workers[p.Worker].refix()
	}
}
