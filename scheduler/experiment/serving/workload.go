package serving

import (
	"math"
	"math/rand/v2"
	"time"

	"cranberrydrum.dev/scheduler/structs"
)

// stream is one kind of request in a load profile.
type stream struct {
	class         structs.Class
	meanService   time.Duration
	deadline      time.Duration
	nonIdempotent bool
	// loadShare is the stream's share of the load, in slot time.
	loadShare float64
	// Customers with indexes from firstCustomer up to, not including,
	// endCustomer send the requests. If endCustomer is 0, all customers from
	// firstCustomer on send them.
	firstCustomer, endCustomer int
}

// isBulk reports whether the requests are long: at least 1 s of mean service time.
func (s stream) isBulk() bool { return s.meanService >= time.Second }

// isShort reports whether the requests must not wait behind long ones: at most
// 50 ms of mean service time.
func (s stream) isShort() bool { return s.meanService <= 50*time.Millisecond }

// drawCustomer draws the customer that sends a request.
func (s stream) drawCustomer(rng *rand.Rand) string {
	first, end := s.firstCustomer, s.endCustomer
	if end == 0 {
		end = len(customers)
	}
	return customers[first+rng.IntN(end-first)].Name
}

// loadProfiles holds the request streams by load profile. The profiles korbfrisch
// and remada model the two deployments. Route checks and eligibility checks are
// short and urgent. Ripeness scoring and heat seeding are long and bulk. Fee
// pricing charges people and must not run twice. In the profile mislabelled, two
// customers send their long work as urgent, so that the class does not distinguish
// it from the short work of the others.
var loadProfiles = map[string][]stream{
	"korbfrisch": {
		{class: structs.ClassUrgent, meanService: 20 * time.Millisecond, deadline: time.Second, loadShare: 0.15},
		{class: structs.ClassNormal, meanService: 200 * time.Millisecond, deadline: 5 * time.Second, loadShare: 0.25},
		{class: structs.ClassBulk, meanService: 2 * time.Second, deadline: time.Minute, loadShare: 0.60},
	},
	"remada": {
		{class: structs.ClassUrgent, meanService: 20 * time.Millisecond, deadline: time.Second, loadShare: 0.10},
		{class: structs.ClassNormal, meanService: 200 * time.Millisecond, deadline: 3 * time.Second, nonIdempotent: true, loadShare: 0.20},
		{class: structs.ClassBulk, meanService: 2 * time.Second, deadline: time.Minute, loadShare: 0.70},
	},
	"mislabelled": {
		{class: structs.ClassUrgent, meanService: 20 * time.Millisecond, deadline: time.Second, loadShare: 0.20, firstCustomer: 0, endCustomer: 2},
		{class: structs.ClassUrgent, meanService: 2 * time.Second, deadline: time.Minute, loadShare: 0.80, firstCustomer: 2, endCustomer: 4},
	},
}

var customers = []structs.Customer{
	{Name: "alba", Weight: 4}, {Name: "brisa", Weight: 2}, {Name: "cerro", Weight: 1}, {Name: "delta", Weight: 1},
}

const (
	// serviceTimeSigma is the standard deviation of the logarithm of service times.
	serviceTimeSigma = 0.25
	// Stragglers take stragglerFactor times as long. Half of them are slow on
	// every executor, half only in one attempt.
	stragglerShare  = 0.02
	stragglerFactor = 20
	// meanStragglerFactor is the factor by which either kind of straggler raises
	// the mean service time.
	meanStragglerFactor = 1 + stragglerShare/2*(stragglerFactor-1)
)

// loadAt returns the load at a time as a multiple of the capacity. The argument
// peak is the highest load.
func loadAt(now time.Duration, peak float64) float64 {
	rampShare := func(from, to time.Duration) float64 { return float64(now-from) / float64(to-from) }
	switch {
	case now < rampStart || now >= rampEnd:
		return baseLoad
	case now < peakStart:
		return baseLoad + (peak-baseLoad)*rampShare(rampStart, peakStart)
	case now < peakEnd:
		return peak
	}
	return peak + (baseLoad-peak)*rampShare(peakEnd, rampEnd)
}

// nextArrival draws the time of the next arrival of a stream. It thins a Poisson
// process whose rate is that of the peak load.
func nextArrival(now time.Duration, s stream, capacity, peak float64, rng *rand.Rand) time.Duration {
	peakRate := peak * capacity * s.loadShare / (s.meanService.Seconds() * meanStragglerFactor * meanStragglerFactor)
	for {
		now += time.Duration(rng.ExpFloat64() / peakRate * float64(time.Second))
		if rng.Float64() < loadAt(now, peak)/peak {
			return now
		}
	}
}

// drawServiceTime draws the service time of a request. It includes stragglers that
// are slow on every executor, but not those that are slow in one attempt.
func drawServiceTime(s stream, rng *rand.Rand) time.Duration {
	factor := math.Exp(rng.NormFloat64()*serviceTimeSigma - serviceTimeSigma*serviceTimeSigma/2)
	return time.Duration(float64(s.meanService) * factor * drawStragglerFactor(rng))
}

func drawStragglerFactor(rng *rand.Rand) float64 {
	if rng.Float64() < stragglerShare/2 {
		return stragglerFactor
	}
	return 1
}
