package upstream

import "time"

// NewPoolWith returns a pool with the given limits on the age and idle time of
// connections.
func NewPoolWith(maxAge, maxIdle time.Duration) *Pool {
	p := NewPool()
	p.maxAge, p.maxIdle = maxAge, maxIdle
	return p
}
