package fleet

import (
	"hash/fnv"
	"math"
	"time"

	"cranberrydrum.dev/scheduler/forecast"
	"cranberrydrum.dev/scheduler/retryafter"
)

const (
	// maxPromises bounds the promises to refused callers, and the refusals whose outcome is
	// awaited. Each takes about 200 bytes.
	maxPromises = 1024
	// returnGrace is how long after its due time the work of a promised return is still
	// counted as ahead of new callers. Callers are told whole seconds.
	returnGrace = time.Second
)

// laneKey identifies the callers whose returns are spread together.
type laneKey struct {
	service, customer string
	priority          int
}

// returnLane spreads the returns of one customer and priority.
type returnLane struct {
	retryafter.Lane
	// usedUntil is the time of the last return.
	usedUntil time.Duration
}

// promisedWork is the work of a refused job whose caller was told when to return.
type promisedWork struct {
	service string
	level   int
	due     time.Duration
	work    forecast.Amount
}

// promisedAhead returns the work of promised returns that comes before a submission: those
// within its wait, unless it is itself the return of a promise.
func (c *Controller) promisedAhead(now time.Duration, s *submission) forecast.Amount {
	var ahead forecast.Amount
	if s.hasPromise && s.promise.Due <= now {
		return ahead
	}
	horizon := now + s.queued
	for id, promised := range c.admission.promised {
		if id != s.job.ID && promised.service == s.job.Service && promised.level <= s.level && promised.due < horizon {
			ahead = ahead.Add(promised.work)
		}
	}
	return ahead
}

// refuse records a refusal and returns the time after which the caller should return.
func (c *Controller) refuse(now time.Duration, s *submission) time.Duration {
	after, inTurn := c.returnTime(now, s)
	if inTurn {
		// Callers are told whole seconds, rounded up.
		due := now + after
		c.admission.promises.Put(s.job.ID, retryafter.Promise{First: s.firstAt(now), Due: due})
		if len(c.admission.promised) < maxPromises {
			c.admission.promised[s.job.ID] = promisedWork{service: s.job.Service, level: s.level, due: due, work: s.work}
		}
	}
	c.awaitRefusal(now, s)
	c.log.Info("submission refused", "job", s.job.ID, "customer", s.job.Customer, "priority", s.job.Priority, "service", s.job.Service,
		"queued_wait_ms", s.queued.Milliseconds(), "wait_ms", s.wait.Milliseconds(), "factor", s.factor, "path_ms", s.path.Milliseconds(), "objective_ms", s.objective.Milliseconds(),
		"completion_ms", s.completion().Milliseconds(), "limit_ms", s.limit.Milliseconds(),
		"accelerator_seconds", s.work.Accelerators, "core_seconds", s.work.Cores,
		"retry_after_ms", after.Milliseconds(), "in_turn", inTurn, "returned", s.hasPromise)
	return after
}

// firstAt returns when the caller first submitted the job.
func (s *submission) firstAt(now time.Duration) time.Duration {
	if s.hasPromise {
		return s.promise.First
	}
	return now
}

// returnTime returns the time after which a refused caller should return, and whether that
// is a promise. A caller that comes before its time keeps it, and one that comes in time
// need not line up again behind callers that were refused later.
func (c *Controller) returnTime(now time.Duration, s *submission) (after time.Duration, inTurn bool) {
	// The job is admitted once the modelled wait has fallen to (limit - path) / factor. It
	// falls by one second in as many seconds as waits typically take longer than modelled.
	pace := c.accuracyOf(s.class).Typical()
	wait := max(0, time.Duration(pace*(float64(s.queued)-float64(s.limit-s.path)/s.factor)))
	service := time.Duration(pace * float64(s.pool.TimeFor(s.work)))
	fraction := fractionOf(s.job.ID)
	switch {
	case s.hasPromise && now < s.promise.Due:
		return s.promise.Due - now, true
	case s.hasPromise:
		return min(wait+time.Duration(fraction*float64(service)), s.limit), true
	}
	key := laneKey{service: s.job.Service, customer: s.job.Customer, priority: s.job.Priority}
	lane := c.admission.lanes[key]
	if lane == nil {
		lane = &returnLane{}
		c.admission.lanes[key] = lane
	}
	after, inTurn = lane.Assign(now, wait, service*time.Duration(c.activeLanes(now, key)), s.limit, fraction)
	lane.usedUntil = max(lane.usedUntil, now+after)
	return after, inTurn
}

// activeLanes returns the number of lanes that share the capacity for a priority, the given
// one included, and forgets those without a return to come.
func (c *Controller) activeLanes(now time.Duration, key laneKey) int {
	active := 1
	for other, lane := range c.admission.lanes {
		switch {
		case other == key:
		case lane.usedUntil < now:
			delete(c.admission.lanes, other)
		case other.service == key.service && other.priority == key.priority:
			active++
		}
	}
	return active
}

// fractionOf returns a number in [0, 1) that is spread evenly over job identifiers.
func fractionOf(id string) float64 {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(id))
	return float64(hash.Sum32()) / (math.MaxUint32 + 1)
}
