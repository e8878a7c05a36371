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

// owner is a domain state with the controller of its leader.
type owner struct {
	state      *domain.State
	controller *jobs.Controller
	index      uint64
	now        time.Duration
	workers    []structs.Worker
	running    int
	customers  int
}

func decimal(i int) string { return strconv.Itoa(i) }

// worker returns a worker of the measured domain.
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

// newOwner returns a domain with registered workers and no jobs.
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

// apply logs a command of the job state.
func (o *owner) apply(c jobs.Command) jobs.Result {
	data, err := domain.EncodeJobs(c)
	if err != nil {
		return jobs.Result{Refusal: structs.NotRun(structs.CodeInvalid, err.Error())}
	}
	o.index++
	result, err := jobs.DecodeResult(o.state.Apply(o.index, leaderTerm, data))
	if err != nil {
		return jobs.Result{Refusal: structs.NotRun(structs.CodeInvalid, err.Error())}
	}
	return result
}

// tick lets the controller propose and applies what it does.
func (o *owner) tick() error {
	o.now += 100 * time.Millisecond
	for _, c := range o.controller.Tick(o.now) {
		if r := o.apply(c); r.Refusal != nil {
			return r.Refusal
		}
	}
	return nil
}

// spec returns the submission of a job like those of the example rules.
func (o *owner) spec(size int) structs.JobSpec {
	o.running++
	return structs.JobSpec{
		Name:            "weekly-build-" + strconv.Itoa(o.running),
		Customer:        customerName(o.running % o.customers),
		Domain:          measuredDomain,
		Priority:        structs.PriorityNormal,
		Accelerators:    size,
		DeclaredRuntime: 6 * time.Hour,
		CheckpointTime:  30 * time.Second,
		Command:         []string{"run", "6h"},
	}
}

// fill runs the given number of tasks on each worker, in gangs of gangWorkers.
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

// reports returns the renewal of each worker.
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
