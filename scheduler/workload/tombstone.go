package workload

import "time"

// NewTombstone returns the record of a cancel that came before the submission of its job. It
// keeps the identifier from being accepted and has the form of a job that has ended, so that
// earlier versions apply it alike. at is the time of the command that stores it.
func NewTombstone(id string, place Place, customer string, at time.Duration) *Job {
	return &Job{
		ID: id, Host: place.Host, Prefix: place.Prefix, Customer: customer, Phase: Cancelled, EndedAt: at, Tombstone: true,
		// A specification without steps is invalid.
		Spec: Spec{Steps: []Step{{Count: 1}}},
	}
}

// Tombstones returns the number of tombstones that cancels of a customer have left, and that
// of all.
func (s *State) Tombstones(customer string) (own, all int) {
	for _, n := range s.tombstones {
		all += n
	}
	return s.tombstones[customer], all
}

// count adds n times a job to the derived counts. Tombstones have a bound of their own and
// do not count as memory of jobs.
func (s *State) count(j *Job, n int) {
	if !j.Tombstone {
		s.jobBytes += int64(n) * j.Spec.StateBytes()
		return
	}
	s.tombstones[j.Customer] += n
	if s.tombstones[j.Customer] == 0 {
		delete(s.tombstones, j.Customer)
	}
}
