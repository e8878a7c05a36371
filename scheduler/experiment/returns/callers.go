package returns

import (
	"fmt"
	"math/rand/v2"
	"time"

	"cranberrydrum.dev/scheduler/structs"
)

// Stream is a source of callers of one customer.
type Stream struct {
	Request structs.Request
	// Objective is the time from the first try within which a caller should be
	// served, LateFor the time after that in which being served late still helps, and
	// Deadline the deadline of one try.
	Objective, LateFor, Deadline time.Duration
	// Rates are the arrivals per second of new callers, by the time from which they
	// hold.
	Rates []Rate
	// Impatient callers return after 0.5 s whatever they are told.
	Impatient bool
}

// Rate is a number of arrivals per second from a time on.
type Rate struct {
	From      time.Duration
	PerSecond float64
}

func (s *Stream) rateAt(now time.Duration) float64 {
	perSecond := 0.0
	for _, r := range s.Rates {
		if now >= r.From {
			perSecond = r.PerSecond
		}
	}
	return perSecond
}

// Tally counts what became of the callers of a stream.
type Tally struct {
	Callers, InTime, Late, Refused int
	// Wasted counts refused tries.
	Wasted int
	// Returns counts the tries at a time that the caller was told, and Kept those of
	// them that were answered.
	Returns, Kept int
	// Peak is the highest number of repeated tries within 100 ms.
	Peak int
}

func (t *Tally) add(other Tally) {
	t.Callers += other.Callers
	t.InTime += other.InTime
	t.Late += other.Late
	t.Refused += other.Refused
	t.Wasted += other.Wasted
	t.Returns += other.Returns
	t.Kept += other.Kept
	t.Peak = max(t.Peak, other.Peak)
}

// caller is one caller and its present try.
type caller struct {
	stream *source
	key    string
	first  time.Duration
	tries  int
	// told is set while the caller returns at a time that it was told.
	told bool
}

// source generates the callers of a stream and counts their results.
type source struct {
	Stream
	Tally
	agenda *agenda
	// arrivals and backoffs are separate, so that all runs of a seed have the same
	// callers.
	arrivals *rand.Rand
	backoffs *rand.Rand
	end      time.Duration
	perTick  map[time.Duration]int
	// try sends a try with a deadline.
	try func(c *caller, deadline time.Duration)
}

func newSource(a *agenda, s Stream, seed uint64, end time.Duration, try func(*caller, time.Duration)) *source {
	return &source{
		Stream: s, agenda: a, end: end, perTick: map[time.Duration]int{}, try: try,
		arrivals: rand.New(rand.NewPCG(seed, 0)), backoffs: rand.New(rand.NewPCG(seed, 1)),
	}
}

// next schedules the next new caller.
func (s *source) next() {
	if s.agenda.now >= s.end {
		return
	}
	rate := s.rateAt(s.agenda.now)
	if rate == 0 {
		s.agenda.after(10*time.Millisecond, s.next)
		return
	}
	s.agenda.after(time.Duration(s.arrivals.ExpFloat64()/rate*float64(time.Second)), func() {
		s.Callers++
		s.attempt(&caller{stream: s, key: fmt.Sprint(s.Callers), first: s.agenda.now})
		s.next()
	})
}

// attempt sends the next try of a caller that still has time.
func (s *source) attempt(c *caller) {
	left := c.first + s.Objective + s.LateFor - s.agenda.now
	if left <= 0 {
		s.Refused++
		return
	}
	c.tries++
	if c.told {
		s.Returns++
	}
	if c.tries > 1 {
		tick := s.agenda.now / (100 * time.Millisecond)
		s.perTick[tick]++
		s.Peak = max(s.Peak, s.perTick[tick])
	}
	s.try(c, min(left, s.Deadline))
}

func (s *source) answered(c *caller) {
	took := s.agenda.now - c.first
	switch {
	case took <= s.Objective:
		s.InTime++
	case took <= s.Objective+s.LateFor:
		s.Late++
	default:
		s.Refused++
	}
	if c.told {
		s.Kept++
	}
}

func (s *source) refused(c *caller, retryAfter time.Duration) {
	const roundTrip = 2 * time.Millisecond
	s.Wasted++
	c.told = retryAfter > 0
	delay := retryAfter
	switch {
	case s.Impatient:
		c.told = false
		delay = 500 * time.Millisecond
	case !c.told:
		delay = s.backoff(c.tries)
	}
	s.agenda.after(delay+roundTrip, func() { s.attempt(c) })
}

// backoff returns the delay of a caller that was told no time: 0.1 s, doubled with each
// try up to 2 s, of which the upper half is random.
func (s *source) backoff(tries int) time.Duration {
	const maxDoublings = 5
	upper := min(2*time.Second, 100*time.Millisecond<<min(tries-1, maxDoublings))
	return upper/2 + time.Duration(s.backoffs.Int64N(int64(upper/2)))
}
