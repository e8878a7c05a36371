// Package retryafter computes when a refused caller should return, and recognises its
// request when it does. It reads no clock and no random source; the caller passes the
// time, from the origin of its own clock, and random numbers.
package retryafter

import "time"

// Lane spreads the returns of one kind of refused requests, such as those of one
// customer and class. Who is refused first returns first.
type Lane struct {
	// next is the time from which no return is assigned.
	next time.Duration
}

// Assign returns the time after which a request that is refused now should return:
// not before wait, and in an interval of its own of length spacing, so that returns
// come at the rate at which they can be served. The parameter fraction, in [0, 1),
// selects the time in that interval.
//
// If that is later than limit, the request gets no interval, so that the lane does not
// grow beyond the time for which the load can be foreseen. The result is then a time in
// the later half of limit, and inTurn is false.
func (l *Lane) Assign(now, wait, spacing, limit time.Duration, fraction float64) (after time.Duration, inTurn bool) {
	start := max(now+wait, l.next)
	after = start - now + scale(spacing, fraction)
	if after > limit {
		return limit - scale(limit/2, fraction), false
	}
	l.next = start + spacing
	return after, true
}

func scale(d time.Duration, factor float64) time.Duration {
	return time.Duration(factor * float64(d))
}
