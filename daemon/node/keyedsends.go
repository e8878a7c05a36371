package node

import "sync"

// keyedSends counts, for each stored key, the requests and attempts in progress on this
// host. A request that still waits in a queue has no record of its key yet, so that a
// refusal of a resend as not run would not hold for the request that waits.
type keyedSends struct {
	mu         sync.Mutex
	inProgress map[string]int
}

// tryBegin registers a request unless the key is in use.
func (k *keyedSends) tryBegin(key string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.inProgress[key] > 0 {
		return false
	}
	k.add(key)
	return true
}

// hold registers an attempt, which may go on after its request has been refused.
func (k *keyedSends) hold(key string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.add(key)
}

func (k *keyedSends) add(key string) {
	if k.inProgress == nil {
		k.inProgress = map[string]int{}
	}
	k.inProgress[key]++
}

// release ends a tryBegin that returned true, or a hold.
func (k *keyedSends) release(key string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.inProgress[key]--
	if k.inProgress[key] == 0 {
		delete(k.inProgress, key)
	}
}

// holdKey keeps resends of a request waiting until an attempt or a forward of it has
// ended, if this host records its key. It returns the function that ends the hold.
func (s *service) holdKey(c Call) (release func()) {
	if !c.Request.NonIdempotent || c.Begun {
		return func() {}
	}
	key := storedKey(c.Request)
	s.node.keyedSends.hold(key)
	return func() { s.node.keyedSends.release(key) }
}
