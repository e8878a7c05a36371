package placement

import (
	"math"
	"math/rand/v2"
	"strconv"
	"time"

	sched "cranberrydrum.dev/scheduler/placement"
	"cranberrydrum.dev/scheduler/structs"
)

// Size names a deployment size.
type Size string

// Sizes of one failure domain. Korbfrisch and Remada have about half of the
// workers of the current deployments, SizeTarget a quarter of the target
// deployment, and SizeTargetWhole the whole target in one failure domain.
const (
	SizeKorbfrisch  Size = "korbfrisch"
	SizeRemada      Size = "remada"
	SizeTarget      Size = "target"
	SizeTargetWhole Size = "target-whole"
)

// sizeParams holds the parameters of a deployment size.
type sizeParams struct {
	racks, customers, guaranteedCustomers int
	jobsPerDay                            int
	gangSizes                             []gangSizeShare
	urgentShare, bulkShare                float64 // shares of jobs
	policy                                structs.Policy
	// medianRuntime is the median of the actual run times.
	medianRuntime time.Duration
	// errorSigma is the standard deviation of the logarithm of the error of
	// declared run times.
	errorSigma float64
}

// gangSizeShare is a gang size with its share of the jobs.
type gangSizeShare struct {
	accelerators int
	share        float64
}

// paramsBySize holds the parameters of all sizes. The job rates bring the load
// close to the capacity, because the policies do not differ at lower loads.
var paramsBySize = map[Size]sizeParams{
	SizeKorbfrisch: {
		racks: 3, customers: 4, guaranteedCustomers: 2, jobsPerDay: 2400, urgentShare: 0.3, bulkShare: 0.4, medianRuntime: 20 * time.Minute,
		gangSizes: []gangSizeShare{{1, 0.35}, {2, 0.2}, {4, 0.2}, {8, 0.15}, {16, 0.07}, {32, 0.03}},
		policy:    structs.Policy{Crest: 0.7, Completion: 0.3},
	},
	SizeRemada: {
		racks: 3, customers: 4, guaranteedCustomers: 2, jobsPerDay: 780, urgentShare: 0.1, bulkShare: 0.2, medianRuntime: 25 * time.Minute,
		gangSizes: []gangSizeShare{{1, 0.25}, {3, 0.1}, {4, 0.15}, {8, 0.25}, {16, 0.15}, {32, 0.07}, {64, 0.03}},
		policy:    structs.Policy{Crest: 0.3, Completion: 0.7},
	},
	SizeTarget: {
		racks: 28, customers: 110, guaranteedCustomers: 30, jobsPerDay: 7600, urgentShare: 0.1, bulkShare: 0.3, medianRuntime: 25 * time.Minute,
		gangSizes: []gangSizeShare{{1, 0.3}, {2, 0.1}, {4, 0.15}, {8, 0.2}, {16, 0.12}, {32, 0.08}, {64, 0.05}},
		policy:    structs.Policy{Crest: 0.5, Completion: 0.5},
	},
	SizeTargetWhole: {
		racks: 114, customers: 110, guaranteedCustomers: 60, jobsPerDay: 31000, urgentShare: 0.1, bulkShare: 0.3, medianRuntime: 25 * time.Minute,
		gangSizes: []gangSizeShare{{1, 0.3}, {2, 0.1}, {4, 0.15}, {8, 0.2}, {16, 0.12}, {32, 0.08}, {64, 0.05}},
		policy:    structs.Policy{Crest: 0.5, Completion: 0.5},
	},
}

// Topology of all sizes.
const (
	workersPerRack        = 8
	acceleratorsPerWorker = 8
)

// arrival is a job submission with its actual run time and cancellation.
type arrival struct {
	at   time.Duration
	spec structs.JobSpec
	// runtime is the actual run time without preemption.
	runtime time.Duration
	// cancelAt is the time at which the caller cancels the job; 0 means never.
	cancelAt time.Duration
}

// fault makes a worker fail every task that it starts, or ends such a fault.
type fault struct {
	at      time.Duration
	worker  string
	failing bool
}

// workload is the input of a simulation.
type workload struct {
	rules    sched.Rules
	workers  []structs.Worker
	arrivals []arrival
	faults   []fault
}

// Parameters of the workload.
const (
	day                = 24 * time.Hour
	stragglerShare     = 0.02 // share of jobs that run stragglerFactor times as long
	stragglerFactor    = 8.0
	neverRunnableShare = 0.01 // share of jobs that can never run
	defaultErrorSigma  = 1.0  // standard deviation of the logarithm of the error of declared run times
	runtimeSigma       = 0.8
	burstInterval      = 4 * time.Hour
	smallJobsPerBurst  = 40 // for every 3 racks
	cancelShare        = 0.3
	cancelInterval     = 7 * time.Hour
	failingWorkers     = 2
)

// resolveParams returns the parameters of the size with the overrides of the
// options.
func (o Options) resolveParams() sizeParams {
	params := paramsBySize[o.Size]
	params.errorSigma = defaultErrorSigma
	if o.ErrorSigma > 0 {
		params.errorSigma = o.ErrorSigma
	}
	if o.Setting != (structs.Policy{}) {
		params.policy = o.Setting
	}
	return params
}

// generateWorkload derives a workload from options whose defaults are filled in.
func generateWorkload(o Options) workload {
	params, length := o.resolveParams(), o.Length
	rng := rand.New(rand.NewPCG(o.Seed, uint64(len(o.Size))))
	input := workload{rules: buildRules(o.Size, params)}
	for r := range params.racks {
		for w := range workersPerRack {
			input.workers = append(input.workers, structs.Worker{
				ID:   "w" + pad(r) + "-" + strconv.Itoa(w),
				Rack: "r" + pad(r), Accelerators: acceleratorsPerWorker,
			})
		}
	}
	rate := float64(params.jobsPerDay) / day.Seconds()
	for at := time.Duration(0); at < length; {
		at += seconds(rng.ExpFloat64() / rate)
		input.arrivals = append(input.arrivals, params.drawArrival(rng, at, 0))
	}
	params.addBursts(&input, rng, length)
	addCancellations(&input, rng, length)
	input.faults = drawFaults(rng, input.workers, length)
	return input
}

// buildRules returns rules with customers, quotas of three quarters of the domain
// and guarantees of about half of it.
func buildRules(size Size, params sizeParams) sched.Rules {
	rules := sched.Rules{Domain: string(size), Policy: params.policy, Topology: structs.FailureDomain{
		Name: string(size), Racks: params.racks, WorkersPerRack: workersPerRack, AcceleratorsPerWorker: acceleratorsPerWorker,
	}}
	workers := params.racks * workersPerRack
	for c := range params.customers {
		name := customerName(c)
		rules.Customers = append(rules.Customers, structs.Customer{Name: name, Weight: 1 + c%2})
		quota := structs.Quota{Customer: name, Accelerators: workers * acceleratorsPerWorker * 3 / 4}
		rules.Quotas = append(rules.Quotas, quota)
		if c >= params.guaranteedCustomers {
			continue
		}
		g := structs.Guarantee{Customer: name, Domain: string(size), Shape: structs.Shape{Workers: 2, Accelerators: 5}}
		if c < max(params.racks/8, 1) {
			g.Shape.Racks = 1
		}
		rules.Guarantees = append(rules.Guarantees, g)
	}
	return rules
}

// drawArrival draws a job of the given gang size. A size of 0 draws the gang size
// as well.
func (params sizeParams) drawArrival(rng *rand.Rand, at time.Duration, size int) arrival {
	spec := structs.JobSpec{Customer: customerName(params.drawCustomer(rng)), Priority: structs.PriorityNormal}
	switch p := rng.Float64(); {
	case p < params.urgentShare:
		spec.Priority = structs.PriorityUrgent
	case p < params.urgentShare+params.bulkShare:
		spec.Priority = structs.PriorityBulk
	}
	spec.Accelerators = size
	if size == 0 {
		spec.Accelerators = params.drawSize(rng)
	}
	runtime := seconds(params.medianRuntime.Seconds() * math.Exp(runtimeSigma*rng.NormFloat64()))
	declared := seconds(runtime.Seconds() * math.Exp(params.errorSigma*rng.NormFloat64()))
	if rng.Float64() < stragglerShare {
		runtime = seconds(runtime.Seconds() * stragglerFactor)
	}
	if spec.Priority == structs.PriorityUrgent {
		runtime, declared = runtime/10, declared/10
		spec.Accelerators = min(spec.Accelerators, acceleratorsPerWorker)
	}
	spec.DeclaredRuntime = declared
	if rng.Float64() < 0.6 {
		spec.CheckpointTime = time.Duration(500+rng.IntN(10000)) * time.Millisecond
	}
	if rng.Float64() < neverRunnableShare {
		spec.Accelerators = params.racks*workersPerRack*acceleratorsPerWorker + 1
	}
	return arrival{at: at, spec: spec, runtime: runtime}
}

// drawCustomer draws a customer. The distribution is skewed: a few customers
// submit most jobs.
func (params sizeParams) drawCustomer(rng *rand.Rand) int {
	return int(float64(params.customers) * math.Pow(rng.Float64(), 1.7))
}

// drawSize draws a gang size by the shares of the sizes.
func (params sizeParams) drawSize(rng *rand.Rand) int {
	p := rng.Float64()
	for _, candidate := range params.gangSizes {
		if p < candidate.share {
			return candidate.accelerators
		}
		p -= candidate.share
	}
	return 1
}

// addBursts adds bursts that alternate between many small jobs and a few of the
// largest gangs.
func (params sizeParams) addBursts(input *workload, rng *rand.Rand, length time.Duration) {
	large := params.gangSizes[len(params.gangSizes)-1].accelerators
	for i, at := 0, burstInterval; at < length; i, at = i+1, at+burstInterval {
		n, size := smallJobsPerBurst*max(params.racks/3, 1), 1
		if i%2 == 1 {
			n, size = max(params.racks/3, 1), large
		}
		for range n {
			input.arrivals = append(input.arrivals, params.drawArrival(rng, at, size))
		}
	}
}

// addCancellations cancels, every cancelInterval, a share of the jobs submitted in
// the preceding hour.
func addCancellations(input *workload, rng *rand.Rand, length time.Duration) {
	for at := cancelInterval; at < length; at += cancelInterval {
		for i := range input.arrivals {
			a := &input.arrivals[i]
			if a.at < at && a.at > at-time.Hour && rng.Float64() < cancelShare {
				a.cancelAt = at
			}
		}
	}
}

// drawFaults makes failingWorkers random workers fail all tasks for two hours.
func drawFaults(rng *rand.Rand, workers []structs.Worker, length time.Duration) []fault {
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

func customerName(i int) string { return "c" + pad(i) }

// pad formats a number with three digits, so that names sort in numeric order.
func pad(i int) string {
	text := strconv.Itoa(1000 + i)
	return text[1:]
}

// seconds converts seconds to a duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
