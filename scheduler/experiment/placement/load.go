package placement

import (
	"math"
	"math/rand/v2"
	"strconv"
	"time"

	sched "cranberrydrum.dev/scheduler/placement"
	"cranberrydrum.dev/scheduler/structs"
)

// Size is a deployment size.
type Size string

// Sizes of one failure domain: about half of the workers of the current
// deployments, a quarter of the target, and the whole target in one domain.
const (
	SizeKorbfrisch  Size = "korbfrisch"
	SizeRemada      Size = "remada"
	SizeTarget      Size = "target"
	SizeTargetWhole Size = "target-whole"
)

// shape holds the parameters of a size.
type shape struct {
	racks, customers, guaranteed int
	jobs                         int // per day
	sizes                        []weighted
	urgent, bulk                 float64 // shares of jobs
	policy                       structs.Policy
	// runMedian is the median of the actual run times.
	runMedian time.Duration
	// errorSigma is the log-normal error of declared run times.
	errorSigma float64
}

// weighted is a gang size with its share.
type weighted struct {
	accelerators int
	weight       float64
}

// shapes lists the sizes. The job rates are chosen so that the load comes close
// to the capacity, because the policies do not differ below that.
var shapes = map[Size]shape{
	SizeKorbfrisch: {
		racks: 3, customers: 4, guaranteed: 2, jobs: 2400, urgent: 0.3, bulk: 0.4, runMedian: 20 * time.Minute,
		sizes:  []weighted{{1, 0.35}, {2, 0.2}, {4, 0.2}, {8, 0.15}, {16, 0.07}, {32, 0.03}},
		policy: structs.Policy{Crest: 0.7, Completion: 0.3},
	},
	SizeRemada: {
		racks: 3, customers: 4, guaranteed: 2, jobs: 780, urgent: 0.1, bulk: 0.2, runMedian: 25 * time.Minute,
		sizes:  []weighted{{1, 0.25}, {3, 0.1}, {4, 0.15}, {8, 0.25}, {16, 0.15}, {32, 0.07}, {64, 0.03}},
		policy: structs.Policy{Crest: 0.3, Completion: 0.7},
	},
	SizeTarget: {
		racks: 28, customers: 110, guaranteed: 30, jobs: 7600, urgent: 0.1, bulk: 0.3, runMedian: 25 * time.Minute,
		sizes:  []weighted{{1, 0.3}, {2, 0.1}, {4, 0.15}, {8, 0.2}, {16, 0.12}, {32, 0.08}, {64, 0.05}},
		policy: structs.Policy{Crest: 0.5, Completion: 0.5},
	},
	SizeTargetWhole: {
		racks: 114, customers: 110, guaranteed: 60, jobs: 31000, urgent: 0.1, bulk: 0.3, runMedian: 25 * time.Minute,
		sizes:  []weighted{{1, 0.3}, {2, 0.1}, {4, 0.15}, {8, 0.2}, {16, 0.12}, {32, 0.08}, {64, 0.05}},
		policy: structs.Policy{Crest: 0.5, Completion: 0.5},
	},
}

// Topology of all sizes.
const (
	workersPerRack = 8
	perWorker      = 8
)

// arrival is one submission with what really happens to it.
type arrival struct {
	at   time.Duration
	spec structs.JobSpec
	// run is the actual run time without interruption.
	run time.Duration
	// cancel is when the caller cancels the job, 0 for never.
	cancel time.Duration
}

// fault makes a worker fail every task that it starts, or ends that.
type fault struct {
	at      time.Duration
	worker  string
	failing bool
}

// load is everything that happens from outside.
type load struct {
	rules    sched.Rules
	workers  []structs.Worker
	arrivals []arrival
	faults   []fault
}

// Parameters of the load.
const (
	day            = 24 * time.Hour
	stragglerShare = 0.02 // of jobs, which run many times longer
	stragglerScale = 8.0
	impossible     = 0.01 // share of jobs that can never run
	errorSigma     = 1.0  // default log-normal error of declared run times
	runSigma       = 0.8
	burstEvery     = 4 * time.Hour
	smallBurst     = 40 // jobs of a burst of small ones per rack-triple
	cancelWave     = 0.3
	waveEvery      = 7 * time.Hour
	failingWorkers = 2
)

// shape returns the parameters of the size with the changes of the options.
func (o Options) shape() shape {
	sh := shapes[o.Size]
	sh.errorSigma = errorSigma
	if o.ErrorSigma > 0 {
		sh.errorSigma = o.ErrorSigma
	}
	if o.Setting != (structs.Policy{}) {
		sh.policy = o.Setting
	}
	return sh
}

// generate derives a load from options without zero values.
func generate(o Options) load {
	sh, length := o.shape(), o.Length
	rng := rand.New(rand.NewPCG(o.Seed, uint64(len(o.Size))))
	l := load{rules: rulesOf(o.Size, sh)}
	for r := range sh.racks {
		for w := range workersPerRack {
			l.workers = append(l.workers, structs.Worker{
				ID:   "w" + pad(r) + "-" + strconv.Itoa(w),
				Rack: "r" + pad(r), Accelerators: perWorker,
			})
		}
	}
	rate := float64(sh.jobs) / day.Seconds()
	for at := time.Duration(0); at < length; {
		at += seconds(rng.ExpFloat64() / rate)
		l.arrivals = append(l.arrivals, sh.arrival(rng, at, 0))
	}
	sh.bursts(&l, rng, length)
	waves(&l, rng, length)
	l.faults = faultsOf(rng, l.workers, length)
	return l
}

// rulesOf builds customers, guarantees of about half the domain, and quotas.
func rulesOf(size Size, sh shape) sched.Rules {
	rules := sched.Rules{Domain: string(size), Policy: sh.policy, Topology: structs.FailureDomain{
		Name: string(size), Racks: sh.racks, WorkersPerRack: workersPerRack, AcceleratorsPerWorker: perWorker,
	}}
	workers := sh.racks * workersPerRack
	for c := range sh.customers {
		name := customerName(c)
		rules.Customers = append(rules.Customers, structs.Customer{Name: name, Weight: 1 + c%2})
		quota := structs.Quota{Customer: name, Accelerators: workers * perWorker * 3 / 4}
		rules.Quotas = append(rules.Quotas, quota)
		if c >= sh.guaranteed {
			continue
		}
		g := structs.Guarantee{Customer: name, Domain: string(size), Shape: structs.Shape{Workers: 2, Accelerators: 5}}
		if c < max(sh.racks/8, 1) {
			g.Shape.Racks = 1
		}
		rules.Guarantees = append(rules.Guarantees, g)
	}
	return rules
}

// arrival draws one job. A size of 0 is drawn, too.
func (sh shape) arrival(rng *rand.Rand, at time.Duration, size int) arrival {
	spec := structs.JobSpec{Customer: customerName(sh.customer(rng)), Priority: structs.PriorityNormal}
	switch p := rng.Float64(); {
	case p < sh.urgent:
		spec.Priority = structs.PriorityUrgent
	case p < sh.urgent+sh.bulk:
		spec.Priority = structs.PriorityBulk
	}
	spec.Accelerators = size
	if size == 0 {
		spec.Accelerators = sh.drawSize(rng)
	}
	run := seconds(sh.runMedian.Seconds() * math.Exp(runSigma*rng.NormFloat64()))
	declared := seconds(run.Seconds() * math.Exp(sh.errorSigma*rng.NormFloat64()))
	if rng.Float64() < stragglerShare {
		run = seconds(run.Seconds() * stragglerScale)
	}
	if spec.Priority == structs.PriorityUrgent {
		run, declared = run/10, declared/10
		spec.Accelerators = min(spec.Accelerators, perWorker)
	}
	spec.DeclaredRuntime = declared
	if rng.Float64() < 0.6 {
		spec.CheckpointTime = time.Duration(500+rng.IntN(10000)) * time.Millisecond
	}
	if rng.Float64() < impossible {
		spec.Accelerators = sh.racks*workersPerRack*perWorker + 1
	}
	return arrival{at: at, spec: spec, run: run}
}

// customer draws a customer; a few large ones submit most jobs.
func (sh shape) customer(rng *rand.Rand) int {
	return int(float64(sh.customers) * math.Pow(rng.Float64(), 1.7))
}

// drawSize draws a gang size.
func (sh shape) drawSize(rng *rand.Rand) int {
	p := rng.Float64()
	for _, w := range sh.sizes {
		if p < w.weight {
			return w.accelerators
		}
		p -= w.weight
	}
	return 1
}

// bursts adds bursts of many small and of a few large jobs in turn.
func (sh shape) bursts(l *load, rng *rand.Rand, length time.Duration) {
	large := sh.sizes[len(sh.sizes)-1].accelerators
	for i, at := 0, burstEvery; at < length; i, at = i+1, at+burstEvery {
		n, size := smallBurst*max(sh.racks/3, 1), 1
		if i%2 == 1 {
			n, size = max(sh.racks/3, 1), large
		}
		for range n {
			l.arrivals = append(l.arrivals, sh.arrival(rng, at, size))
		}
	}
}

// waves cancels a share of the jobs that were submitted in the hour before.
func waves(l *load, rng *rand.Rand, length time.Duration) {
	for at := waveEvery; at < length; at += waveEvery {
		for i := range l.arrivals {
			a := &l.arrivals[i]
			if a.at < at && a.at > at-time.Hour && rng.Float64() < cancelWave {
				a.cancel = at
			}
		}
	}
}

// faultsOf lets some workers fail all tasks for two hours each.
func faultsOf(rng *rand.Rand, workers []structs.Worker, length time.Duration) []fault {
	var faults []fault
	for range failingWorkers {
		w := workers[rng.IntN(len(workers))].ID
		at := time.Duration(rng.Int64N(int64(length)))
		faults = append(faults,
			fault{at: at, worker: w, failing: true},
			fault{at: at + 2*time.Hour, worker: w})
	}
	return faults
}

// customerName returns the name of a customer.
func customerName(i int) string { return "c" + pad(i) }

// pad prints a number with three digits, so that names sort.
func pad(i int) string {
	text := strconv.Itoa(1000 + i)
	return text[1:]
}

// seconds converts a number of seconds.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
