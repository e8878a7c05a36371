package serving

import (
	"math"
	"math/rand/v2"
	"time"

	"cranberrydrum.dev/scheduler/structs"
)

// stream is one kind of request of a load shape.
type stream struct {
	class         structs.Class
	service       time.Duration
	deadline      time.Duration
	nonIdempotent bool
	// share is the part of the load in slot time.
	share float64
	// from and to bound the customers that send it; 0 and 0 means all.
	from, to int
}

// bulk reports whether the requests are long.
func (s stream) bulk() bool { return s.service >= time.Second }

// short reports whether the requests must not wait behind long ones.
func (s stream) short() bool { return s.service <= 50*time.Millisecond }

// customer draws the sender of a request.
func (s stream) customer(rng *rand.Rand) string {
	from, to := s.from, s.to
	if to == 0 {
		to = len(customers)
	}
	return customers[from+rng.IntN(to-from)].Name
}

// shapes are the requests of the two deployments. Route checks and
// eligibility checks are short and urgent; ripeness scoring and heat seeding
// are long and bulk; fee pricing charges people and must not run twice. In the
// shape mislabelled two customers send their long work as urgent, so that the
// class does not tell it from the short work of the others.
var shapes = map[string][]stream{
	"korbfrisch": {
		{class: structs.ClassUrgent, service: 20 * time.Millisecond, deadline: time.Second, share: 0.15},
		{class: structs.ClassNormal, service: 200 * time.Millisecond, deadline: 5 * time.Second, share: 0.25},
		{class: structs.ClassBulk, service: 2 * time.Second, deadline: time.Minute, share: 0.60},
	},
	"remada": {
		{class: structs.ClassUrgent, service: 20 * time.Millisecond, deadline: time.Second, share: 0.10},
		{class: structs.ClassNormal, service: 200 * time.Millisecond, deadline: 3 * time.Second, nonIdempotent: true, share: 0.20},
		{class: structs.ClassBulk, service: 2 * time.Second, deadline: time.Minute, share: 0.70},
	},
	"mislabelled": {
		{class: structs.ClassUrgent, service: 20 * time.Millisecond, deadline: time.Second, share: 0.20, from: 0, to: 2},
		{class: structs.ClassUrgent, service: 2 * time.Second, deadline: time.Minute, share: 0.80, from: 2, to: 4},
	},
}

var customers = []structs.Customer{
	{Name: "alba", Weight: 4}, {Name: "brisa", Weight: 2}, {Name: "cerro", Weight: 1}, {Name: "delta", Weight: 1},
}

const (
	// spread is the standard deviation of the logarithm of service times.
	spread = 0.25
	// Stragglers take stragglerFactor times as long. Half of them are slow on
	// every executor, half only in one attempt.
	stragglerShare  = 0.02
	stragglerFactor = 20
	// meanStraggle is what stragglers add to the mean service time.
	meanStraggle = 1 + stragglerShare/2*(stragglerFactor-1)
)

// load returns the load at a time as a multiple of the capacity.
func load(now time.Duration, crest float64) float64 {
	rise := func(from, to time.Duration) float64 { return float64(now-from) / float64(to-from) }
	switch {
	case now < rampStart || now >= rampEnd:
		return baseLoad
	case now < crestStart:
		return baseLoad + (crest-baseLoad)*rise(rampStart, crestStart)
	case now < crestEnd:
		return crest
	}
	return crest + (baseLoad-crest)*rise(crestEnd, rampEnd)
}

// nextArrival draws the time to the next arrival of a stream by thinning a
// Poisson process of the highest rate.
func nextArrival(now time.Duration, s stream, capacity, crest float64, rng *rand.Rand) time.Duration {
	peak := crest * capacity * s.share / (s.service.Seconds() * meanStraggle * meanStraggle)
	for {
		now += time.Duration(rng.ExpFloat64() / peak * float64(time.Second))
		if rng.Float64() < load(now, crest)/crest {
			return now
		}
	}
}

// drawService returns the service time of a request without what a straggling
// attempt adds.
func drawService(s stream, rng *rand.Rand) time.Duration {
	factor := math.Exp(rng.NormFloat64()*spread - spread*spread/2)
	return time.Duration(float64(s.service) * factor * straggle(rng))
}

func straggle(rng *rand.Rand) float64 {
	if rng.Float64() < stragglerShare/2 {
		return stragglerFactor
	}
	return 1
}
