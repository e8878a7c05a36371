package node

import (
	"time"

	"cranberrydrum.dev/coord/registry"
)

const (
	// suspensionBound is the time without a call of the directory after which this process
	// counts as suspended. The directory is read at each hostStatusInterval.
	suspensionBound = 2 * hostStatusInterval
	// bufferedInputTime is the time after a suspension within which messages that arrived
	// during it may still be handled.
	bufferedInputTime = 2 * backendRefreshInterval
)

// suspensions notices that the process was suspended, for example by SIGSTOP or a pause of
// its machine. Messages that arrived meanwhile are read afterwards, and nothing in them
// tells for how long they have waited.
type suspensions struct {
	// lastCall is the time of the last call of observe, 0 before the first one.
	lastCall time.Duration
	// began and ended are the times of the last suspension, 0 if there was none.
	began, ended time.Duration
}

// observe records that the process runs.
func (s *suspensions) observe(now time.Duration) {
	if s.lastCall > 0 && now-s.lastCall > suspensionBound {
		s.began, s.ended = s.lastCall, now
	}
	s.lastCall = max(s.lastCall, now)
}

// reset ignores the time that has passed since the last call.
func (s *suspensions) reset(now time.Duration) { s.lastCall = now }

// longestWait returns the longest time for which a message that was read by now may have
// waited before.
func (s *suspensions) longestWait(now time.Duration) time.Duration {
	// A caller that was suspended between reading the message and locking the directory has
	// a time before the suspension.
	if s.ended == 0 || now <= s.began || now-s.ended > bufferedInputTime {
		return 0
	}
	return now - s.began
}

// withWait adds the longest wait of a message to the age of its entries, and omits those
// that may have expired meanwhile. Otherwise an announcement that was read late would
// start a whole TTL, in which a backend server that has left receives new requests. An
// entry in another state than up never does that, so it stays as it is.
func withWait(entries []registry.Entry, wait time.Duration) []registry.Entry {
	if wait == 0 {
		return entries
	}
	valid := make([]registry.Entry, 0, len(entries))
	for _, e := range entries {
		if e.State == registry.Up {
			e.Age += wait
		}
		if e.State != registry.Up || e.Age < e.TTL {
			valid = append(valid, e)
		}
	}
	return valid
}
