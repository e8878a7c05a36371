package serving

import (
	"time"

	"cranberrydrum.dev/scheduler/structs"
)

// phase is where a request is.
type phase int

const (
	phaseQueued phase = iota
	// phaseBackoff waits for the delay before a retry.
	phaseBackoff
	// phaseRunning has at least one attempt whose result is awaited.
	phaseRunning
	phaseForwarded
	// phaseFinished has had its final effect and only holds slots.
	phaseFinished
)

// never is later than any time that is passed in.
const never = time.Duration(1<<63 - 1)

// request is a request from its arrival until its last attempt has ended.
type request struct {
	id            string
	class         classIndex
	flow          *flow
	nonIdempotent bool
	affinity      bool
	forwarded     bool
	bytes         int
	arrived       time.Duration
	deadline      time.Duration
	// predicted is the wait that was estimated at arrival, without correction.
	predicted time.Duration
	// cost is the expected service time in seconds, fixed at arrival.
	cost  float64
	phase phase
	// attempts are those that still hold a slot.
	attempts []attempt
	// sends counts all attempts; counted leaves out those that were withdrawn.
	sends, counted int
	// maySent is true once an attempt ended that may have reached an executor.
	maySent bool
	// avoid lists executors on which an attempt failed.
	avoid   []*executor
	retryAt time.Duration
	// retryCause is the result that made the coming attempt a retry.
	retryCause Result
	// reason is the refusal if forwarding fails.
	reason structs.Code

	wake     time.Duration
	position int
}

// attempt is one try on an executor, as long as it holds a slot there.
type attempt struct {
	number   int
	executor *executor
	// lease is the borrowed slot; empty for an own one.
	lease string
	tier  tier
	// first marks an attempt that was credited to the retry budget; all others
	// were paid from it.
	first bool
	hedge bool
	probe bool
	// aged marks an attempt that was dispatched because of the wait.
	aged  bool
	sent  time.Duration
	until time.Duration
	// held marks an attempt that was given up; its slot stays counted until
	// heldUntil, as the executor may still be working on it.
	held      bool
	heldUntil time.Duration
	// tierAt is when the attempt counts as one size longer.
	tierAt  time.Duration
	hedgeAt time.Duration
}

// mayHaveRun reports whether any attempt may have reached an executor.
func (r *request) mayHaveRun() bool {
	if r.maySent || r.phase == phaseForwarded {
		return true
	}
	return r.liveAttempts() > 0
}

// liveAttempts counts the attempts whose result is awaited.
func (r *request) liveAttempts() int {
	live := 0
	for i := range r.attempts {
		if !r.attempts[i].held {
			live++
		}
	}
	return live
}

func (r *request) find(number int) int {
	for i := range r.attempts {
		if r.attempts[i].number == number {
			return i
		}
	}
	return -1
}

// nextWake returns the earliest time at which something has to be done.
func (r *request) nextWake() time.Duration {
	wake := never
	if r.phase != phaseFinished {
		wake = r.deadline
	}
	if r.phase == phaseBackoff {
		wake = min(wake, r.retryAt)
	}
	for i := range r.attempts {
		a := &r.attempts[i]
		if a.held {
			wake = min(wake, a.heldUntil)
			continue
		}
		wake = min(wake, a.until, a.tierAt)
		if r.phase == phaseRunning {
			wake = min(wake, a.hedgeAt)
		}
	}
	return wake
}

func (r *request) setPosition(position int) { r.position = position }

// actsBefore orders requests by the time of their next action.
func (r *request) actsBefore(other *request) bool {
	if r.wake != other.wake {
		return r.wake < other.wake
	}
	return r.id < other.id
}
