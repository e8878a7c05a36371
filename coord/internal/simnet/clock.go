package simnet

import "time"

// Clock is the monotonic clock of a host. It starts at an arbitrary reading
// and runs at a rate that differs a little from true time.
type Clock struct {
	// Origin is the reading at the true time zero.
	Origin time.Duration
	// Rate is the number of seconds the clock advances per true second.
	Rate float64
}

// Read returns the reading at a true time.
func (c Clock) Read(now time.Duration) time.Duration {
	return c.Origin + time.Duration(float64(now)*c.Rate)
}
