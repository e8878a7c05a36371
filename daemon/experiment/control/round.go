package control

import (
	"time"

	"cranberrydrum.dev/scheduler/jobs"
	"cranberrydrum.dev/scheduler/placement"
	"cranberrydrum.dev/scheduler/structs"
)

// roundWorkers are the numbers of workers of the measured domain.
var roundWorkers = []int{50, 200, 910, 1820}

const (
	roundRepeats   = 40
	queuedGangs    = 200
	usedPerWorker  = 7 // accelerators in use on each worker
	roundCustomers = 4
	roundStarts    = 16
)

// queuedSizes are the sizes in accelerators of the gangs that are queued in each
// round. Few of them fit the one free accelerator of each worker.
var queuedSizes = []int{8, 16, 24, 32, 48, 64}

// roundLoad is the load of a round in addition to the queued gangs.
type roundLoad struct {
	name string
	// starts is the number of jobs of one accelerator that start. urgent is the size
	// of an urgent gang that preempts other jobs.
	starts, urgent int
	// changed is set if a worker changes before each round.
	changed bool
}

var roundLoads = []roundLoad{
	{name: "of 200 waiting gangs"},
	{name: "that also starts 16 jobs", starts: roundStarts},
	{name: "that also preempts for an urgent gang of 64", urgent: 64},
	{name: "after a worker changed", changed: true},
}

func measureRounds(o Options) ([]Row, error) {
	var rows []Row
	for _, load := range roundLoads {
		cpu := Row{Quantity: "CPU of a round " + load.name, Unit: "us", Against: "workers"}
		elapsed := Row{Quantity: "time of a round " + load.name, Unit: "us", Against: "workers"}
		for _, workers := range roundWorkers {
			c, t, err := rounds(o, workers, load)
			if err != nil {
				return nil, err
			}
			cpu.Points = append(cpu.Points, Point{float64(workers), c})
			elapsed.Points = append(elapsed.Points, Point{float64(workers), t})
		}
		rows = append(rows, cpu, elapsed)
	}
	return rows, nil
}

// rounds measures the rounds of a domain with few free accelerators. A round does not
// change the scheduler, so all rounds make the same decisions.
func rounds(o Options, workers int, load roundLoad) (cpu, elapsed float64, err error) {
	s, err := busyScheduler(workers, load)
	if err != nil {
		return 0, 0, err
	}
	now := time.Minute
	plan := s.Round(now)
	if len(plan.Starts) < load.starts || (load.urgent > 0 && len(plan.Preempts) == 0) {
		return 0, 0, StateError("the round " + load.name + " planned too few starts or no preemption")
	}
	memoryOffset := 0
	return cpuAndTime(o.repeats(roundRepeats), func() error {
		if load.changed {
			w := worker(0, accelerators)
			memoryOffset = 1 - memoryOffset
			w.MemoryMB += memoryOffset
			s.SetWorker(w)
		}
		now += time.Second
		s.Round(now)
		return nil
	})
}

// cpuAndTime returns the median CPU time and the median elapsed time of an operation
// in microseconds.
func cpuAndTime(repeats int, operation func() error) (cpu, elapsed float64, err error) {
	var times []float64
	cpu, err = cpuMicros(repeats, func() error {
		start := time.Now()
		defer func() { times = append(times, float64(time.Since(start).Nanoseconds())/1000) }()
		return operation()
	})
	return cpu, median(times), err
}

// busyScheduler returns a scheduler with a running job on each worker and the queued
// jobs of a load.
func busyScheduler(workers int, load roundLoad) (*placement.Scheduler, error) {
	cfg, err := parsedRules([]string{measuredDomain}, (workers+workersInRack-1)/workersInRack, accelerators, roundCustomers)
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
	for i := range queuedGangs {
		queue(s, "waiting", i, queuedSizes[i%len(queuedSizes)], structs.PriorityNormal)
	}
	for i := range load.starts {
		queue(s, "starting", i, 1, structs.PriorityNormal)
	}
	if load.urgent > 0 {
		queue(s, "urgent", 1, load.urgent, structs.PriorityUrgent)
	}
	return s, nil
}

// queue adds a queued job.
func queue(s *placement.Scheduler, name string, i, size int, priority structs.Priority) {
	spec := submission(i, size)
	spec.Name = name + "-" + decimal(i)
	spec.Customer = customerName(i % roundCustomers)
	spec.Priority = priority
	s.SetQueued(placement.Queued{ID: spec.Name, Spec: spec})
}

// runningJob returns a job that uses usedPerWorker accelerators of the i-th worker.
func runningJob(i int) placement.Running {
	spec := submission(i, usedPerWorker)
	spec.Customer = customerName(i % roundCustomers)
	member := structs.Member{Worker: worker(i, accelerators).ID, Accelerators: []int{0, 1, 2, 3, 4, 5, 6}}
	return placement.Running{ID: "running-" + decimal(i), Spec: spec, Members: []structs.Member{member}, ReservedIndex: uint64(i + 1), Started: time.Second}
}
