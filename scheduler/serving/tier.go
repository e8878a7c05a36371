package serving

import (
	"math"
	"time"

	"cranberrydrum.dev/scheduler/structs"
)

// tier is a range of service times relative to the shortest median service time
// of current work: short up to 4 times, medium up to 32 times, long above.
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
	// minShortest is the lower bound of the shortest median, so that very short
	// requests do not make all others long.
	minShortest = 10 * time.Millisecond
	// currentFlowWindow is how long a flow counts as current after its last
	// request arrived.
	currentFlowWindow = 10 * time.Second
	// refreshInterval is the time between two computations of the tier bounds
	// without a change of executors.
	refreshInterval = 250 * time.Millisecond
)

// perClassTier holds a value per class and tier.
type perClassTier [classCount][tierCount]float64

// tierState holds the bounds of the tiers and the headroom: the share of the slots
// that work of a class and tier leaves free for shorter work of the same and more
// important classes.
type tierState struct {
	bounds [tierCount]time.Duration
	// current[c][t] reports whether work of class c and tier t is current.
	current [classCount][tierCount]bool
	valid   bool
	// shortest is the lowest median of current work, and mean the highest mean
	// of the current work of a tier.
	shortest time.Duration
	mean     [tierCount]time.Duration
	// arrivedWork is the expected service time, in seconds, of the requests that
	// arrived since the demand was last computed.
	arrivedWork perClassTier
	// demand is the number of slots that arriving work needs. longTermDemand is
	// the same, averaged over a longer time.
	demand, longTermDemand perClassTier
	// headroom is the share of the slots that is left free. longTermHeadroom is
	// the share expected over a longer time.
	headroom, longTermHeadroom perClassTier
}

// demandTimeConstant is the time constant of the average demand. It is short
// because the load may rise several times over within two seconds.
// longTermTimeConstant is that of the long-term demand, from which the wait of
// longer work is estimated; it is longer than a peak, because that wait outlasts
// one.
const (
	demandTimeConstant   = 300 * time.Millisecond
	longTermTimeConstant = 30 * time.Second
)

// updateDemand updates the demand with the work that arrived in the elapsed time.
func (s *tierState) updateDemand(elapsed time.Duration) {
	if elapsed <= 0 {
		return
	}
	weight := 1 - math.Exp(-elapsed.Seconds()/demandTimeConstant.Seconds())
	longTermWeight := 1 - math.Exp(-elapsed.Seconds()/longTermTimeConstant.Seconds())
	for c := range s.demand {
		for t := range s.demand[c] {
			rate := s.arrivedWork[c][t] / elapsed.Seconds()
			s.demand[c][t] += weight * (rate - s.demand[c][t])
			s.longTermDemand[c][t] += longTermWeight * (rate - s.longTermDemand[c][t])
			s.arrivedWork[c][t] = 0
		}
	}
}

// updateHeadroom computes the headroom that medium and long work leaves. A tier
// whose slots become free so often that shorter work hardly waits for one leaves
// no headroom.
func (s *tierState) updateHeadroom(t tuning, capacity int) {
	slots := max(1, float64(capacity))
	s.headroom, s.longTermHeadroom = perClassTier{}, perClassTier{}
	for requestTier := medium; requestTier <= long; requestTier++ {
		if s.mean[requestTier].Seconds()/slots < t.toleratedWait*s.shortest.Seconds() {
			continue
		}
		for c := range classCount {
			s.headroom[c][requestTier] = s.headroomFor(c, requestTier, &s.demand, t, slots)
			s.longTermHeadroom[c][requestTier] = min(s.headroom[c][requestTier], s.headroomFor(c, requestTier, &s.longTermDemand, t, slots))
		}
	}
}

// headroomFor returns the share of the slots that a class and tier leaves free:
// the demand of shorter work of the same or a more important class, plus a
// multiple of its standard deviation. For independent arrivals, the standard
// deviation is the square root of the demand. The result is at least a small
// share for each shorter tier with current work, and at most headroomLimit. It is
// 0 if there is no such work.
func (s *tierState) headroomFor(class classIndex, requestTier tier, demands *perClassTier, t tuning, slots float64) float64 {
	demand, floor := 0.0, 0.0
	for shorter := short; shorter < requestTier; shorter++ {
		current := false
		for c := urgent; c <= class; c++ {
			demand += demands[c][shorter]
			current = current || s.current[c][shorter]
		}
		if current {
			floor += t.minHeadroom * slots
		}
	}
	if floor == 0 {
		return 0
	}
	kept := max(floor, demand+t.headroomDeviations(class)*math.Sqrt(demand))
	return min(kept/slots, t.headroomLimit(class, requestTier))
}

// Lower bounds, for the urgent class, of the deviations and the maximum headroom
// that the policy sets. The policy weighs less important against more important
// work. Within the urgent class, its values for completion time (no margin and a
// headroom of at most half of the slots) made short requests wait for slots of
// long ones during a peak.
const (
	urgentHeadroomDeviations = 2
	urgentMaxHeadroom        = 0.9
)

// headroomDeviations returns the number of standard deviations of the demand that
// a class leaves free in addition to the demand.
func (t *tuning) headroomDeviations(class classIndex) float64 {
	if class == urgent {
		return max(urgentHeadroomDeviations, t.deviations)
	}
	return t.deviations
}

// headroomLimit returns the largest share of the slots that a class and tier
// leaves free.
func (t *tuning) headroomLimit(class classIndex, requestTier tier) float64 {
	if class == urgent {
		return max(urgentMaxHeadroom, t.maxHeadroom[requestTier])
	}
	return t.maxHeadroom[requestTier]
}

func (s *tierState) tierOf(d time.Duration) tier {
	for t := short; t < long; t++ {
		if d <= s.bounds[t] {
			return t
		}
	}
	return long
}

// tuning holds the parameters that structs.Policy sets. Each value is interpolated
// between one for completion time (balance 0) and one for service at peak demand
// (balance 1).
type tuning struct {
	balance float64
	// deviations is the number of standard deviations of the demand of shorter
	// work that longer work leaves free in addition to that demand. minHeadroom
	// is the smallest share of the slots left free per shorter tier, maxHeadroom
	// the largest share in total.
	deviations, minHeadroom float64
	// toleratedWait is the average time until a slot becomes free, as a share of
	// the shortest service time, below which no headroom is left.
	toleratedWait float64
	maxHeadroom   [tierCount]float64
	// agingThreshold is the wait after which a request of a class is served
	// before more important ones.
	agingThreshold [classCount]time.Duration
	// agedShare is the share of all slots that aged requests may use at once.
	agedShare float64
}

func newTuning(policy structs.Policy) tuning {
	balance := 0.5
	if sum := policy.Crest + policy.Completion; sum > 0 {
		balance = policy.Crest / sum
	}
	interpolate := func(completion, peak float64) float64 { return completion + (peak-completion)*balance }
	seconds := func(completion, peak float64) time.Duration {
		return time.Duration(interpolate(completion, peak) * float64(time.Second))
	}
	return tuning{
		balance:        balance,
		deviations:     interpolate(0, 2),
		toleratedWait:  interpolate(0.5, 0.25),
		minHeadroom:    interpolate(0.01, 0.20),
		maxHeadroom:    [tierCount]float64{medium: interpolate(0.3, 0.7), long: interpolate(0.5, 0.9)},
		agingThreshold: [classCount]time.Duration{urgent: never, normal: seconds(1, 4), bulk: seconds(3, 12)},
		agedShare:      interpolate(0.25, 0.05),
	}
}

// tierLimit returns how many slots of all executors together may be used by
// attempts of tier t and longer ones when another attempt of class c starts.
func (s *tierState) tierLimit(capacity int, c classIndex, t tier) int {
	return max(1, capacity-int(math.Ceil(s.headroom[c][t]*float64(capacity))))
}

// longTierLimit returns how many slots of one executor long attempts may use.
// While shorter work arrives, they leave one slot of each executor free.
func (s *tierState) longTierLimit(limit int, c classIndex) int {
	if s.headroom[c][long] == 0 {
		return limit
	}
	return max(1, limit-1)
}
