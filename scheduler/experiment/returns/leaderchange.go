package returns

import "time"

// Times of an entry host: calls are held while there is no leader, as long as the
// caller waits, and are sent again every resendInterval.
const (
	callTimeout    = 2850 * time.Millisecond
	resendInterval = 100 * time.Millisecond
	callTime       = 10 * time.Millisecond
	callRate       = 250
	// callObjective is the objective of a call.
	callObjective = 1500 * time.Millisecond
)

// LeaderChange returns the tally of the callers of an entry host that finds no leader
// for a time under full load. A caller that was held to the end of its time is told
// retryAfter, which gets the time since the leader was lost.
func LeaderChange(gap, lateFor time.Duration, retryAfter func(elapsed time.Duration) time.Duration, seed uint64) Tally {
	a := &agenda{}
	var s *source
	try := func(c *caller, deadline time.Duration) {
		lost, found := burstFrom, burstFrom+gap
		switch held := found - a.now; {
		case a.now < lost || held <= 0:
			a.after(callTime, func() { s.answered(c) })
		case held <= deadline:
			// The call is sent again at the first multiple of the interval after its
			// arrival at which there is a leader.
			resends := (held + resendInterval - 1) / resendInterval
			a.after(resends*resendInterval+callTime, func() { s.answered(c) })
		default:
			a.after(deadline, func() { s.refused(c, retryAfter(a.now-lost)) })
		}
	}
	s = newSource(a, Stream{Objective: callObjective, LateFor: lateFor, Deadline: callTimeout, Rates: []Rate{{0, callRate}}}, seed, 40*time.Second, try)
	s.next()
	a.runAll()
	return s.Tally
}
