package control

import (
	"slices"
	"time"

	"cranberrydrum.dev/daemon/standin"
	"cranberrydrum.dev/scheduler/structs"
)

// Sizes and times of the measurement of urgent gangs.
const (
	urgentHosts    = 2
	urgentWorkers  = 8
	urgentRuns     = 5
	urgentSize     = urgentWorkers * accelerators
	checkpointTime = 100 * time.Millisecond
	submitTimeout  = 5 * time.Second
	jobTimeout     = 20 * time.Second
)

// urgentGangs are the sizes of urgent gangs in accelerators.
var urgentGangs = []int{8, 32, 64}

// urgentBench is a deployment whose simulated workers run urgent jobs.
type urgentBench struct {
	cluster *cluster
	tasks   *standin.TaskLog
	workers []*standin.Worker
	jobs    int
}

// measureUrgent measures the time from the submission of an urgent gang until the last
// of its tasks has started, both on free workers and on workers that bulk jobs occupy
// fully. The workers renew every second.
func measureUrgent(o Options) ([]Row, error) {
	c, err := newCluster(urgentHosts)
	if err != nil {
		return nil, err
	}
	defer c.close()
	if _, _, err := c.applyRules(1, fewCustomers); err != nil {
		return nil, err
	}
	u := &urgentBench{cluster: c, tasks: standin.NewTaskLog()}
	defer u.stop()
	u.startWorkers()
	if !pollUntil(startTimeout, u.ready) {
		return nil, StateError("the workers did not register within the start timeout")
	}
	return u.rows(o)
}

func (u *urgentBench) rows(o Options) ([]Row, error) {
	free, err := u.measureSizes(o, false)
	if err != nil {
		return nil, err
	}
	full, err := u.measureSizes(o, true)
	return append(free, full...), err
}

// measureSizes measures urgent gangs of all sizes.
func (u *urgentBench) measureSizes(o Options, full bool) ([]Row, error) {
	name := "urgent gang on free workers"
	if full {
		name = "urgent gang that preempts bulk jobs with a checkpoint of 100 ms"
	}
	medians := Row{Quantity: name + " (median)", Unit: "ms", Against: "accelerators"}
	slowest := Row{Quantity: name + " (slowest)", Unit: "ms", Against: "accelerators"}
	for _, size := range urgentGangs {
		var times []float64
		for range o.repeats(urgentRuns) {
			elapsed, err := u.timeUrgentGang(size, full)
			if err != nil {
				return nil, err
			}
			times = append(times, float64(elapsed.Microseconds())/1000)
		}
		medians.Points = append(medians.Points, Point{float64(size), median(times)})
		slowest.Points = append(slowest.Points, Point{float64(size), slices.Max(times)})
	}
	return []Row{medians, slowest}, nil
}

func (u *urgentBench) startWorkers() {
	for i := range urgentWorkers {
		u.workers = append(u.workers, standin.NewWorker(standin.WorkerConfig{
			Worker:         worker(i, accelerators),
			Hosts:          u.cluster.hostURLs(measuredDomain),
			Token:          workerToken,
			RenewInterval:  time.Second,
			CheckpointTime: checkpointTime,
			Log:            u.tasks,
		}))
		// The starts are spread over one second, because the workers of a real
		// deployment do not renew at the same time.
		time.Sleep(time.Second / urgentWorkers)
	}
}

// ready reports whether a gang on all workers can start.
func (u *urgentBench) ready() bool {
	_, err := u.timeUrgentGang(urgentSize, false)
	return err == nil
}

// timeUrgentGang submits an urgent gang and returns the time until its last task has
// started. If full is set, bulk jobs occupy all workers before.
func (u *urgentBench) timeUrgentGang(size int, full bool) (time.Duration, error) {
	var bulk []string
	if full {
		for range urgentWorkers {
			id, err := u.submit(accelerators, structs.PriorityBulk)
			if err != nil {
				return 0, err
			}
			bulk = append(bulk, id)
		}
		for _, id := range bulk {
			if !pollUntil(jobTimeout, func() bool { return u.tasks.Running(id) == accelerators }) {
				return 0, StateError("a bulk job did not start within the job timeout")
			}
		}
	}
	start := time.Now()
	id, err := u.submit(size, structs.PriorityUrgent)
	if err != nil {
		return 0, err
	}
	if !pollUntil(jobTimeout, func() bool { return u.tasks.Running(id) == size }) {
		return 0, StateError("the urgent gang did not start within the job timeout")
	}
	elapsed := time.Since(start)
	return elapsed, u.cancel(append(bulk, id))
}

func (u *urgentBench) submit(size int, priority structs.Priority) (string, error) {
	u.jobs++
	spec := submission(u.jobs, size)
	spec.Customer = customerName(0)
	spec.Priority = priority
	spec.CheckpointTime = checkpointTime
	spec.Command = []string{"run", "1h"}
	job, err := u.cluster.hosts[0].node.SubmitJob(spec, submitTimeout)
	return job.ID, err
}

// cancel cancels jobs and waits until their tasks have stopped.
func (u *urgentBench) cancel(ids []string) error {
	for _, id := range ids {
		if _, err := u.cluster.hosts[0].node.CancelJob(id, "", submitTimeout); err != nil {
			return err
		}
	}
	for _, id := range ids {
		if !pollUntil(jobTimeout, func() bool { return u.ended(id) }) {
			return StateError("job " + id + " did not end within the job timeout")
		}
	}
	return nil
}

// ended reports whether a job is terminal and its tasks have stopped.
func (u *urgentBench) ended(id string) bool {
	job, err := u.cluster.hosts[0].node.ShowJob(id, "", submitTimeout)
	return err == nil && job.Status.Terminal() && u.tasks.Running(id) == 0
}

func (u *urgentBench) stop() {
	for _, w := range u.workers {
		w.Kill()
	}
}
