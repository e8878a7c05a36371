package upstream

import "time"

// NewPoolWith returns a pool that keeps connections for less long.
func NewPoolWith(maxAge, maxIdle time.Duration) *Pool {
	p := NewPool()
	p.maxAge, p.maxIdle = maxAge, maxIdle
	return p
}
