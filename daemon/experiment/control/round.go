package control

import (
	"time"

	"cranberrydrum.dev/scheduler/jobs"
	"cranberrydrum.dev/scheduler/placement"
	"cranberrydrum.dev/scheduler/structs"
)

// roundWorkers are the sizes of the domain whose rounds are measured.
var roundWorkers = []int{50, 200, 910, 1820}

const (
	roundRepeats  = 40
	roundWaiting  = 200
	roundHeld     = 7 // accelerators in use of each worker
	waitingGang   = 64
	roundCustomer = 4
)

// roundCost is what the rounds of one size cost, in microseconds.
type roundCost struct{ cpu, time, rebuildCPU, rebuildTime float64 }

func measureRounds(o Options) ([]Row, error) {
	var costs []roundCost
	for _, workers := range roundWorkers {
		cost, err := rounds(o, workers)
		if err != nil {
			return nil, err
		}
		costs = append(costs, cost)
	}
	row := func(quantity string, value func(roundCost) float64) Row {
		r := Row{Quantity: quantity, Unit: "us", Against: "workers"}
		for i, c := range costs {
			r.Points = append(r.Points, Point{float64(roundWorkers[i]), value(c)})
		}
		return r
	}
	return []Row{
		row("CPU of a round, 200 waiting gangs of 64", func(c roundCost) float64 { return c.cpu }),
		row("time of a round, 200 waiting gangs of 64", func(c roundCost) float64 { return c.time }),
		row("CPU of a round after a worker changed", func(c roundCost) float64 { return c.rebuildCPU }),
		row("time of a round after a worker changed", func(c roundCost) float64 { return c.rebuildTime }),
	}, nil
}

// rounds measures a domain with few free accelerators and waiting gangs, which
// each round examines without being able to start them.
func rounds(o Options, workers int) (roundCost, error) {
	s, err := busyScheduler(workers)
	if err != nil {
		return roundCost{}, err
	}
	var c roundCost
	now := time.Minute
	plain := func() error {
		now += time.Second
		s.Round(now)
		return nil
	}
	flip := 0
	changed := func() error {
		w := worker(0, accelerators)
		flip = 1 - flip
		w.MemoryMB += flip
		s.SetWorker(w)
		return plain()
	}
	_ = plain()
	if c.cpu, c.time, err = cpuAndTime(o.repeats(roundRepeats), plain); err != nil {
		return c, err
	}
	c.rebuildCPU, c.rebuildTime, err = cpuAndTime(o.repeats(roundRepeats), changed)
	return c, err
}

// cpuAndTime returns the median CPU time and the median time of an operation.
func cpuAndTime(repeats int, operation func() error) (cpu, elapsed float64, err error) {
	var times []float64
	cpu, err = cpuMicros(repeats, func() error {
		start := time.Now()
		defer func() { times = append(times, float64(time.Since(start).Nanoseconds())/1000) }()
		return operation()
	})
	return cpu, median(times), err
}

func busyScheduler(workers int) (*placement.Scheduler, error) {
	cfg, err := parsedRules([]string{measuredDomain}, (workers+workersInRack-1)/workersInRack, accelerators, roundCustomer)
	if err != nil {
		return nil, err
	}
	s := placement.New(placement.Config{})
	set := jobs.ConfigFor(measuredDomain, 1, cfg)
	rules := set.Rules
	rules.Topology = set.Topology
	s.SetRules(rules)
	for i := range workers {
		s.SetWorker(worker(i, accelerators))
	}
	for i := range workers {
		s.SetRunning(runningJob(i))
	}
	for i := range roundWaiting {
		spec := submission(i, waitingGang)
		spec.Customer = customerName(i % roundCustomer)
		s.SetQueued(placement.Queued{ID: "waiting-" + decimal(i), Spec: spec})
	}
	return s, nil
}

// runningJob returns a job that holds most of one worker.
func runningJob(i int) placement.Running {
	spec := submission(i, roundHeld)
	spec.Customer = customerName(i % roundCustomer)
	member := structs.Member{Worker: worker(i, accelerators).ID, Accelerators: []int{0, 1, 2, 3, 4, 5, 6}}
	return placement.Running{ID: "running-" + decimal(i), Spec: spec, Members: []structs.Member{member}, Order: uint64(i + 1), Started: time.Second}
}
