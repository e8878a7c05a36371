package serving

import (
	"time"

	"cranberrydrum.dev/scheduler/retryafter"
	"cranberrydrum.dev/scheduler/structs"
)

// phase is the phase of the life cycle of a request.
type phase int

const (
	phaseQueued phase = iota
	// phaseBackoff waits for the end of the delay before a retry.
	phaseBackoff
	// phaseRunning has at least one attempt whose result is awaited.
	phaseRunning
	phaseForwarded
	// phaseFinished has emitted the final effect; attempts may still hold slots.
	phaseFinished
)

// never is a time later than any time that a caller passes.
const never = time.Duration(1<<63 - 1)

// request is the state of a request from its arrival until its last attempt has
// released its slot.
type request struct {
	id            string
	class         classIndex
	flow          *flow
	nonIdempotent bool
	affinity      bool
	reportsStart  bool
	forwarded     bool
	bytes         int
	arrived       time.Duration
	deadline      time.Duration
	// key is the key that the request carries each time it is sent, or empty.
	// firstArrived is when it arrived first, before it was refused and returned.
	key          string
	firstArrived time.Duration
	// returned is set if the request was refused before and returned when it was told
	// to, promise if it returned earlier.
	returned bool
	promise  retryafter.Promise
	// estimatedWait is the wait that was estimated at arrival, without correction.
	estimatedWait time.Duration
	// cost is the mean service time of the flow in seconds, fixed at arrival.
	cost  float64
	phase phase
	// attempts are the attempts that still hold a slot.
	attempts []attempt
	// sends counts all attempts; counted excludes those that were withdrawn.
	sends, counted int
	// mayHaveBeenSent is set once an attempt has ended that may have reached an
	// executor.
	mayHaveBeenSent bool
	// avoid lists executors on which an attempt failed.
	avoid   []*executor
	retryAt time.Duration
	// retryCause is the result of the failed attempt that caused the retry.
	retryCause Result
	// reason is the refusal code that applies if forwarding fails.
	reason structs.Code

	wake     time.Duration
	position int
}

// attempt is one attempt on an executor, as long as it holds a slot there.
type attempt struct {
	number   int
	executor *executor
	// lease is the ID of the lease of a borrowed slot; empty for an own slot.
	lease string
	tier  tier
	// first marks the first attempt, which adds to the retry budget; all others
	// take a token from it.
	first bool
	hedge bool
	probe bool
	// aged marks an attempt whose request was selected by aging.
	aged bool
	sent time.Duration
	// started is set when the request leaves this host, at startedAt, and responded
	// when the executor has finished with it.
	started, responded bool
	startedAt          time.Duration
	// timeoutAt is the end of the attempt's timeout, at the latest the deadline of
	// the request or the end of the lease.
	timeoutAt time.Duration
	// held marks an abandoned attempt. Its slot stays counted as used until
	// heldUntil, because the executor may still be working on it.
	held      bool
	heldUntil time.Duration
	// tierEndsAt is when the attempt moves to the next longer tier.
	tierEndsAt time.Duration
	hedgeAt    time.Duration
}

// isAtExecutor reports whether the executor has the attempt and has not finished it.
func (a *attempt) isAtExecutor() bool { return a.started && !a.responded }

// mayHaveRun reports whether any attempt may have reached an executor.
func (r *request) mayHaveRun() bool {
	if r.mayHaveBeenSent || r.phase == phaseForwarded {
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

func (r *request) findAttempt(number int) int {
	for i := range r.attempts {
		if r.attempts[i].number == number {
			return i
		}
	}
	return -1
}

// nextWake returns the time of the next action of the request.
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
		wake = min(wake, a.timeoutAt, a.tierEndsAt)
		if r.phase == phaseRunning {
			wake = min(wake, a.hedgeAt)
		}
	}
	return wake
}

func (r *request) setPosition(position int) { r.position = position }

// wakesBefore orders requests by the time of their next action.
func (r *request) wakesBefore(other *request) bool {
	if r.wake != other.wake {
		return r.wake < other.wake
	}
	return r.id < other.id
}
