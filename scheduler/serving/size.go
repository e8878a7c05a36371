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

// sizes holds the boundaries between the tiers.
type sizes struct {
	bounds [tierCount]time.Duration
	// shorter[t] reports that work shorter than t has arrived recently, so
	// that slots are kept free of t for it.
	shorter  [tierCount]bool
	computed time.Duration
	valid    bool
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
	// keepFree is the share of an executor's slots that work of a tier may
	// not use, for the sake of shorter work.
	keepFree [tierCount]float64
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
		balance:   balance,
		keepFree:  [tierCount]float64{medium: mix(0.10, 0.25), long: mix(0.20, 0.60)},
		ageAfter:  [classCount]time.Duration{urgent: never, normal: seconds(1, 4), bulk: seconds(3, 12)},
		agedShare: mix(0.25, 0.05),
	}
}

// allowance returns how many slots of an executor with the given limit may be
// used by attempts of tier t and longer ones. At least one slot stays free of
// medium and long work, and at least one more of long work if there are three.
func (t tuning) allowance(limit int, size tier) int {
	if size == short || limit <= 1 {
		return limit
	}
	keep := int(math.Ceil(t.keepFree[size] * float64(limit)))
	if size == long && limit > 2 {
		keep = max(keep, 2)
	}
	return max(1, limit-keep)
}
