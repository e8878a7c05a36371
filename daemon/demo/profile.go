package demo

import (
	"time"

	"cranberrydrum.dev/examples"
	"cranberrydrum.dev/scheduler/structs"
)

// profile holds the parameters of a demo deployment.
type profile struct {
	name    string
	service string
	// rules is the text of the example rules file.
	rules string
	// partitionedDomain is the failure domain that is partitioned from the others.
	partitionedDomain    string
	domainLatency        time.Duration
	regionLatency        time.Duration
	regionBytesPerSecond int64
	executors            int
	workers              int
	workerMemoryMB       int
	requests             []requestKind
	jobs                 []jobKind
	// chargeCustomer is the customer that sends non-idempotent requests.
	chargeCustomer string
}

// requestKind is a stream of similar requests.
type requestKind struct {
	name     string
	customer string
	class    structs.Class
	work     time.Duration
	interval time.Duration
	deadline time.Duration
	// reportsLatency marks the requests whose latency the report shows.
	reportsLatency bool
}

// jobKind is a set of similar jobs.
type jobKind struct {
	customer     string
	domain       string
	priority     string
	accelerators int
	count        int
	runtime      time.Duration
}

// bytesPerSecondPerMbit is the number of bytes per second in 1 Mbit/s.
const bytesPerSecondPerMbit = 1_000_000 / 8

// token returns the example token of a role or customer.
func (p profile) token(name string) string { return "example-" + p.name + "-" + name }

// findProfile returns the profile of a deployment.
func findProfile(name string) (profile, bool) {
	switch name {
	case "korbfrisch":
		return korbfrisch(), true
	case "remada":
		return remada(), true
	}
	return profile{}, false
}

func korbfrisch() profile {
	return profile{
		name:                 "korbfrisch",
		service:              "basket-planner",
		rules:                examples.Korbfrisch,
		partitionedDomain:    "zrh-altstetten",
		domainLatency:        1500 * time.Microsecond,
		regionLatency:        30 * time.Millisecond,
		regionBytesPerSecond: 30 * bytesPerSecondPerMbit,
		executors:            50,
		workers:              50,
		workerMemoryMB:       256_000,
		chargeCustomer:       "menuplan",
		requests: []requestKind{
			{name: "route check", customer: "tourwerk", class: structs.ClassUrgent, work: 15 * time.Millisecond, interval: 4 * time.Millisecond, deadline: 800 * time.Millisecond, reportsLatency: true},
			{name: "basket proposal", customer: "menuplan", class: structs.ClassNormal, work: 80 * time.Millisecond, interval: 15 * time.Millisecond, deadline: 10 * time.Second},
			{name: "ripeness scoring", customer: "reifegrad", class: structs.ClassBulk, work: time.Second, interval: 20 * time.Millisecond, deadline: 30 * time.Second},
		},
		jobs: []jobKind{
			{customer: "menuplan", domain: "zrh-oerlikon", priority: "normal", accelerators: 32, count: 2, runtime: 2 * time.Second},
			{customer: "tourwerk", domain: "zrh-altstetten", priority: "urgent", accelerators: 16, count: 2, runtime: time.Second},
			{customer: "reifegrad", domain: "zrh-oerlikon", priority: "bulk", accelerators: 4, count: 8, runtime: time.Second},
			{customer: "reifegrad", domain: "lsn-renens", priority: "bulk", accelerators: 8, count: 4, runtime: time.Second},
		},
	}
}

func remada() profile {
	return profile{
		name:                 "remada",
		service:              "entry-desk",
		rules:                examples.Remada,
		partitionedDomain:    "recife-olinda",
		domainLatency:        time.Millisecond,
		regionLatency:        30 * time.Millisecond,
		regionBytesPerSecond: 30 * bytesPerSecondPerMbit,
		executors:            50,
		workers:              50,
		workerMemoryMB:       128_000,
		chargeCustomer:       "river-masters",
		requests: []requestKind{
			{name: "fee pricing", customer: "regatta-league", class: structs.ClassUrgent, work: 20 * time.Millisecond, interval: 5 * time.Millisecond, deadline: 1500 * time.Millisecond, reportsLatency: true},
			{name: "entry", customer: "river-masters", class: structs.ClassNormal, work: 100 * time.Millisecond, interval: 20 * time.Millisecond, deadline: 15 * time.Second},
			{name: "eligibility list", customer: "harbour-schools", class: structs.ClassBulk, work: time.Second, interval: 40 * time.Millisecond, deadline: 30 * time.Second},
		},
		jobs: []jobKind{
			{customer: "regatta-league", domain: "recife-boa-viagem", priority: "urgent", accelerators: 64, count: 1, runtime: 2 * time.Second},
			{customer: "regatta-league", domain: "fortaleza-meireles", priority: "normal", accelerators: 32, count: 2, runtime: 2 * time.Second},
			{customer: "river-masters", domain: "recife-olinda", priority: "normal", accelerators: 16, count: 2, runtime: time.Second},
			{customer: "harbour-schools", domain: "recife-boa-viagem", priority: "bulk", accelerators: 8, count: 4, runtime: time.Second},
		},
	}
}
