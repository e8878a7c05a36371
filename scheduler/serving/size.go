package serving

import (
	"math"
	"time"

	"cranberrydrum.dev/scheduler/structs"
)

// tier is the size of a request relative to the shortest current work of the
// service: short up to 4 times, medium up to 32 times, long above.
type tier int

const (
	short tier = iota
	medium
	long
	tierCount
)

const (
	mediumFactor = 4
	longFactor   = 32
	// shortestFloor keeps very short requests from making all others long.
	shortestFloor = 10 * time.Millisecond
	// sizeMemory is how long work that no longer arrives still counts as current.
	sizeMemory = 10 * time.Second
	// sizeInterval bounds how often the boundaries are computed again.
	sizeInterval = 250 * time.Millisecond
)

// byClass holds a value per class and size.
type byClass [classCount][tierCount]float64

// sizes holds the boundaries between the tiers, and what work of a class and
// size leaves free for shorter work of its own and more important classes.
type sizes struct {
	bounds [tierCount]time.Duration
	// current[c][t] reports that such work has arrived recently.
	current [classCount][tierCount]bool
	valid   bool
	// shortest is the lowest median of current work, and mean the highest mean
	// of the current work of a tier.
	shortest time.Duration
	mean     [tierCount]time.Duration
	// arrived is the expected service time, in seconds, of the requests that
	// arrived since the demand was last computed.
	arrived byClass
	// demand is the number of slots that arriving work needs. usual is the same
	// over a longer time.
	demand, usual byClass
	// keep is the share of the slots that is left free, usualKeep what it is
	// expected to be over a longer time.
	keep, usualKeep byClass
}

// demandMemory is the time constant of the demand. The load may rise several
// times over within two seconds. usualMemory is that of the demand on which
// the wait of long work is estimated, which outlasts a crest.
const (
	demandMemory = 300 * time.Millisecond
	usualMemory  = 30 * time.Second
)

// updateDemand takes the work that arrived in the elapsed time into account.
func (s *sizes) updateDemand(elapsed time.Duration) {
	if elapsed <= 0 {
		return
	}
	weight := 1 - math.Exp(-elapsed.Seconds()/demandMemory.Seconds())
	usualWeight := 1 - math.Exp(-elapsed.Seconds()/usualMemory.Seconds())
	for c := range s.demand {
		for t := range s.demand[c] {
			rate := s.arrived[c][t] / elapsed.Seconds()
			s.demand[c][t] += weight * (rate - s.demand[c][t])
			s.usual[c][t] += usualWeight * (rate - s.usual[c][t])
			s.arrived[c][t] = 0
		}
	}
}

// updateKeep computes what medium and long work leaves free. Nothing is kept
// free of a size whose slots become free so often that shorter work hardly
// waits for one.
func (s *sizes) updateKeep(t tuning, capacity int) {
	slots := max(1, float64(capacity))
	s.keep, s.usualKeep = byClass{}, byClass{}
	for size := medium; size <= long; size++ {
		if s.mean[size].Seconds()/slots < t.tolerated*s.shortest.Seconds() {
			continue
		}
		for c := range classCount {
			s.keep[c][size] = s.keepFor(c, size, &s.demand, t, slots)
			s.usualKeep[c][size] = min(s.keep[c][size], s.keepFor(c, size, &s.usual, t, slots))
		}
	}
}

// keepFor returns the share of the slots that a class and size leaves free:
// the demand of shorter work that is not less important, plus a multiple of
// its standard deviation, taken as that of independent arrivals. At least a
// small share is kept for each shorter size with current work, and not more
// than a bound in all.
func (s *sizes) keepFor(class classIndex, size tier, demands *byClass, t tuning, slots float64) float64 {
	demand, floor := 0.0, 0.0
	for shorter := short; shorter < size; shorter++ {
		current := false
		for c := urgent; c <= class; c++ {
			demand += demands[c][shorter]
			current = current || s.current[c][shorter]
		}
		if current {
			floor += t.minKeep * slots
		}
	}
	if floor == 0 {
		return 0
	}
	kept := max(floor, demand+t.margin(class)*math.Sqrt(demand))
	return min(kept/slots, t.bound(class, size))
}

// What longer urgent work leaves free for shorter urgent work, at least. The
// policy weighs less important work against more important work. Within the
// urgent class its values for completion time, no margin and at most half of
// the slots, made the short requests of a crest wait for slots of long ones.
const (
	urgentDeviations = 2
	urgentMaxKeep    = 0.9
)

// margin returns the standard deviations that a class leaves free.
func (t *tuning) margin(class classIndex) float64 {
	if class == urgent {
		return max(urgentDeviations, t.deviations)
	}
	return t.deviations
}

// bound returns the largest share of the slots that a class and size leaves free.
func (t *tuning) bound(class classIndex, size tier) float64 {
	if class == urgent {
		return max(urgentMaxKeep, t.maxKeep[size])
	}
	return t.maxKeep[size]
}

func (s *sizes) tierOf(d time.Duration) tier {
	for t := short; t < long; t++ {
		if d <= s.bounds[t] {
			return t
		}
	}
	return long
}

// tuning is what structs.Policy sets. Each value lies between one for
// completion time (balance 0) and one for service at the crest (balance 1).
type tuning struct {
	balance float64
	// Slots are kept free of longer work for the demand of shorter work plus
	// this many standard deviations, at least minKeep per size and at most
	// maxKeep in all.
	deviations, minKeep float64
	// tolerated is the wait for a slot, as a share of the shortest service
	// time, for which no slots are kept free.
	tolerated float64
	maxKeep   [tierCount]float64
	// ageAfter is the wait after which a request is taken out of turn.
	ageAfter [classCount]time.Duration
	// agedShare is the share of all slots that such requests may use at once.
	agedShare float64
}

func newTuning(policy structs.Policy) tuning {
	balance := 0.5
	if sum := policy.Crest + policy.Completion; sum > 0 {
		balance = policy.Crest / sum
	}
	mix := func(completion, crest float64) float64 { return completion + (crest-completion)*balance }
	seconds := func(completion, crest float64) time.Duration {
		return time.Duration(mix(completion, crest) * float64(time.Second))
	}
	return tuning{
		balance:    balance,
		deviations: mix(0, 2),
		tolerated:  mix(0.5, 0.25),
		minKeep:    mix(0.01, 0.20),
		maxKeep:    [tierCount]float64{medium: mix(0.3, 0.7), long: mix(0.5, 0.9)},
		ageAfter:   [classCount]time.Duration{urgent: never, normal: seconds(1, 4), bulk: seconds(3, 12)},
		agedShare:  mix(0.25, 0.05),
	}
}

// pool returns up to how many slots of all executors may be used by attempts of
// tier t and longer ones together, for one more attempt of the class.
func (s *sizes) pool(capacity int, c classIndex, t tier) int {
	return max(1, capacity-int(math.Ceil(s.keep[c][t]*float64(capacity))))
}

// longAllowance returns how many slots of one executor long attempts may use:
// as long as shorter work arrives, one slot of each executor is not for them.
func (s *sizes) longAllowance(limit int, c classIndex) int {
	if s.keep[c][long] == 0 {
		return limit
	}
	return max(1, limit-1)
}
