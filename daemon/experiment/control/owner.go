package control

import (
	"strconv"
	"time"

	"cranberrydrum.dev/scheduler/domain"
	"cranberrydrum.dev/scheduler/jobs"
	"cranberrydrum.dev/scheduler/placement"
	"cranberrydrum.dev/scheduler/structs"
)

const (
	measuredDomain = "d1"
	// gangWorkers is the number of workers of a gang in the measured states.
	gangWorkers = 8
	// leaderTerm is the term of the measured leader.
	leaderTerm = 1
)

// owner is the state of a failure domain and the controller of its leader.
type owner struct {
	state      *domain.State
	controller *jobs.Controller
	index      uint64
	now        time.Duration
	workers    []structs.Worker
	submitted  int
	customers  int
}

func decimal(i int) string { return strconv.Itoa(i) }

// worker returns the i-th worker of the measured domain, with count accelerators.
func worker(i, count int) structs.Worker {
	return structs.Worker{
		ID:           measuredDomain + "-worker-" + strconv.Itoa(i),
		Domain:       measuredDomain,
		Rack:         "rack-" + strconv.Itoa(i/workersInRack),
		Accelerators: count,
		Cores:        64,
		MemoryMB:     256 << 10,
	}
}

// newOwner returns an owner with registered workers and no jobs.
func newOwner(workers, perWorker, customers int) (*owner, error) {
	racks := (workers + workersInRack - 1) / workersInRack
	cfg, err := parsedRules([]string{measuredDomain}, racks, perWorker, customers)
	if err != nil {
		return nil, err
	}
	o := &owner{state: domain.New(), customers: customers}
	scheduler := placement.New(placement.Config{})
	set := jobs.ConfigFor(measuredDomain, 1, cfg)
	o.apply(jobs.Command{Body: &set})
	for i := range workers {
		o.workers = append(o.workers, worker(i, perWorker))
		o.apply(jobs.Command{Body: &jobs.RegisterWorker{Worker: o.workers[i], Incarnation: 1}})
	}
	o.controller = jobs.NewController(jobs.DefaultControllerConfig(scheduler), o.state.Jobs(), o.now, leaderTerm)
	return o, o.tick()
}

// apply applies a command of the job state in its logged encoding.
func (o *owner) apply(c jobs.Command) jobs.Result {
	data, err := domain.EncodeJobs(c)
	if err != nil {
		return jobs.Result{Refusal: structs.RefuseNotRun(structs.CodeInvalid, err.Error())}
	}
	o.index++
	result, err := jobs.DecodeResult(o.state.Apply(o.index, leaderTerm, data))
	if err != nil {
		return jobs.Result{Refusal: structs.RefuseNotRun(structs.CodeInvalid, err.Error())}
	}
	return result
}

// tick advances the time of the controller and applies the commands that it proposes.
func (o *owner) tick() error {
	o.now += 100 * time.Millisecond
	for _, c := range o.controller.Tick(o.now) {
		if r := o.apply(c); r.Refusal != nil {
			return r.Refusal
		}
	}
	return nil
}

// spec returns the specification of the next job, which resembles those of the
// example rules. The customers take turns.
func (o *owner) spec(size int) structs.JobSpec {
	o.submitted++
	return structs.JobSpec{
		Name:            "weekly-build-" + strconv.Itoa(o.submitted),
		Customer:        customerName(o.submitted % o.customers),
		Domain:          measuredDomain,
		Priority:        structs.PriorityNormal,
		Accelerators:    size,
		DeclaredRuntime: 6 * time.Hour,
		CheckpointTime:  30 * time.Second,
		Command:         []string{"run", "6h"},
	}
}

// fill starts the given number of tasks on each worker, in gangs of up to
// gangWorkers tasks.
func (o *owner) fill(tasks int) error {
	for first := 0; first < len(o.workers); first += gangWorkers {
		gang := o.workers[first:min(first+gangWorkers, len(o.workers))]
		for slot := range tasks {
			if err := o.startGang(gang, slot); err != nil {
				return err
			}
		}
	}
	return o.tick()
}

// submit queues a job.
func (o *owner) submit(spec structs.JobSpec) error {
	if r := o.apply(jobs.Command{Body: &jobs.Submit{Spec: spec}}); r.Refusal != nil {
		return r.Refusal
	}
	return nil
}

// startGang submits a job and starts it on one accelerator of each worker.
func (o *owner) startGang(gang []structs.Worker, slot int) error {
	submitted := o.apply(jobs.Command{Body: &jobs.Submit{Spec: o.spec(len(gang))}})
	if submitted.Refusal != nil {
		return submitted.Refusal
	}
	start := jobs.PlannedStart{Job: submitted.Job.ID, Run: submitted.Job.Run}
	for _, w := range gang {
		start.Members = append(start.Members, structs.Member{Worker: w.ID, Accelerators: []int{slot}})
	}
	o.apply(jobs.Command{Term: leaderTerm, Body: &jobs.ApplyPlan{Starts: []jobs.PlannedStart{start}}})
	job, _ := o.state.Jobs().Job(submitted.Job.ID)
	if job.Status != structs.JobReserved {
		return StateError("the gang of " + job.ID + " was not reserved")
	}
	if r := o.apply(jobs.Command{Term: leaderTerm, Body: &jobs.StartGang{Job: job.ID, Run: job.Run}}); r.Refusal != nil {
		return r.Refusal
	}
	return nil
}

// reports returns the report that each worker sends with its renewal.
func (o *owner) reports() []structs.WorkerReport {
	tasks := map[string][]structs.TaskReport{}
	for _, j := range o.state.Jobs().Jobs("") {
		for _, m := range j.Members {
			tasks[m.Worker] = append(tasks[m.Worker], structs.TaskReport{Job: j.ID, Run: j.Run, Phase: structs.TaskRunning})
		}
	}
	list := make([]structs.WorkerReport, len(o.workers))
	for i, w := range o.workers {
		list[i] = structs.WorkerReport{Worker: w, Incarnation: 1, Tasks: tasks[w.ID]}
	}
	return list
}
