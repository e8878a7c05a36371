package simnet

import "time"

// Clock simulates the monotonic clock of a host, which starts at an arbitrary
// reading and drifts from true time. True time is the time of the simulation.
type Clock struct {
	// Origin is the reading at true time zero.
	Origin time.Duration
	// Rate is the number of seconds the clock advances per true second.
	Rate float64
}

// Read returns the reading at the true time now.
func (c Clock) Read(now time.Duration) time.Duration {
	return c.Origin + time.Duration(float64(now)*c.Rate)
}
