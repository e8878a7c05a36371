package standin

import (
	"bytes"
	"encoding/json"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"cranberrydrum.dev/scheduler/agent"
	"cranberrydrum.dev/scheduler/structs"
)

// WorkerConfig describes a stand-in worker.
type WorkerConfig struct {
	Worker structs.Worker
	// Hosts are the base URLs of the entry hosts to which the worker sends its
	// renewals.
	Hosts []string
	Token string
	// RenewInterval is the time between renewals.
	RenewInterval time.Duration
	// TaskTime is the run time of a task whose command gives none. A job gives
	// its run time as the second word of its command, for example "run 200ms".
	TaskTime time.Duration
	// CheckpointTime is the duration of a checkpoint.
	CheckpointTime time.Duration
	// FailAll makes every task fail shortly after its start.
	FailAll bool
	Log     *TaskLog
}

// Worker simulates a worker with a lease. Its tasks only wait for their run
// time.
type Worker struct {
	cfg    WorkerConfig
	client *fasthttp.Client
	agent  *agent.Agent
	start  time.Time
	events chan agent.Event
	// frozenSignal wakes the event loop when Freeze is called.
	frozenSignal chan struct{}
	stop         chan struct{}
	stopOnce     sync.Once
	done         chan struct{}
	seq          uint64
	lastReport   []byte
	tasks        map[runID]*workerTask

	mu     sync.Mutex
	frozen chan struct{}
	hosts  *agent.HostList
}

// runID identifies the task of one run of a job.
type runID struct {
	job string
	run uint64
}

type workerTask struct {
	started time.Time
	// resumedFrom is the run time completed at the checkpoint from which the task
	// resumed.
	resumedFrom time.Duration
	timer       *time.Timer
	// endAt is when the task ends if it is neither throttled nor unthrottled
	// before.
	endAt     time.Time
	throttled bool
	ended     atomic.Bool
}

const (
	defaultRenewInterval = time.Second
	// failureDelay is the run time of a task with FailAll.
	failureDelay      = 20 * time.Millisecond
	workerEventBuffer = 256
)

// NewWorker starts a worker, which renews its lease until Kill.
func NewWorker(cfg WorkerConfig) *Worker {
	if cfg.RenewInterval <= 0 {
		cfg.RenewInterval = defaultRenewInterval
	}
	if cfg.Log == nil {
		cfg.Log = NewTaskLog()
	}
	w := &Worker{
		cfg:          cfg,
		client:       &fasthttp.Client{ReadTimeout: announceTimeout, WriteTimeout: announceTimeout, MaxIdemponentCallAttempts: 1},
		hosts:        agent.NewHostList(cfg.Hosts, 0),
		agent:        agent.New(cfg.Worker, uint64(time.Now().UnixNano())),
		start:        time.Now(),
		events:       make(chan agent.Event, workerEventBuffer),
		frozenSignal: make(chan struct{}, 1),
		stop:         make(chan struct{}),
		done:         make(chan struct{}),
		tasks:        map[runID]*workerTask{},
	}
	go w.run()
	return w
}

// Kill stops the worker and its tasks without notifying the hosts, as in a
// crash.
func (w *Worker) Kill() {
	w.stopOnce.Do(func() { close(w.stop) })
	<-w.done
}

// Freeze suspends the worker and its tasks until resume is called, as when a
// whole machine is suspended.
func (w *Worker) Freeze() (resume func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	frozen := make(chan struct{})
	w.frozen = frozen
	select {
	case w.frozenSignal <- struct{}{}:
	default:
	}
	return func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.frozen == frozen {
			w.frozen = nil
			close(frozen)
		}
	}
}

func (w *Worker) now() time.Duration { return time.Since(w.start) }

func (w *Worker) run() {
	defer close(w.done)
	defer w.endAllTasks()
	renew := time.NewTicker(w.cfg.RenewInterval)
	defer renew.Stop()
	w.renew()
	for {
		lease := w.leaseTimer()
		select {
		case <-w.stop:
			return
		case <-w.frozenSignal:
			w.waitWhileFrozen()
		case <-renew.C:
			w.waitWhileFrozen()
			w.renew()
		case event := <-w.events:
			w.waitWhileFrozen()
			w.step(event)
			w.renewIfChanged()
		case <-lease:
			w.waitWhileFrozen()
			w.step(agent.Timer{})
		}
	}
}

// waitWhileFrozen suspends the tasks while the worker is frozen. On resumption
// the agent first stops the tasks whose lease has ended.
func (w *Worker) waitWhileFrozen() {
	w.mu.Lock()
	frozen := w.frozen
	w.mu.Unlock()
	if frozen == nil {
		return
	}
	suspended := w.suspendTasks()
	select {
	case <-frozen:
	case <-w.stop:
		return
	}
	w.step(agent.Timer{})
	w.resumeTasks(suspended)
}

// waitUntilResumed waits until the worker is not frozen or has stopped.
func (w *Worker) waitUntilResumed() {
	w.mu.Lock()
	frozen := w.frozen
	w.mu.Unlock()
	if frozen == nil {
		return
	}
	select {
	case <-frozen:
	case <-w.done:
	}
}

// suspendTasks records the end of all tasks, because a frozen machine runs
// nothing.
func (w *Worker) suspendTasks() []TaskStart {
	var suspended []TaskStart
	for id := range w.tasks {
		if s, ok := w.cfg.Log.recordEnd(w.cfg.Worker.ID, id.job, id.run); ok {
			suspended = append(suspended, s)
		}
	}
	return suspended
}

// resumeTasks records a start of each suspended task that the agent did not stop
// on resumption.
func (w *Worker) resumeTasks(suspended []TaskStart) {
	for _, s := range suspended {
		if w.tasks[runID{s.Job, s.Run}] != nil {
			w.cfg.Log.recordStart(s)
		}
	}
}

// leaseTimer fires at the next deadline of the agent. It is nil without a
// deadline.
func (w *Worker) leaseTimer() <-chan time.Time {
	deadline, ok := w.agent.Deadline()
	if !ok {
		return nil
	}
	return time.After(max(0, deadline-w.now()))
}

// renew sends the report in its own goroutine, so that an unresponsive host does
// not delay the end of tasks when the lease ends.
func (w *Worker) renew() {
	w.seq++
	seq := w.seq
	w.step(agent.RenewalSent{Seq: seq})
	body, err := json.Marshal(w.agent.Report())
	if err != nil {
		return
	}
	w.lastReport = body
	headers := [][2]string{{"X-Wait-Ms", strconv.FormatInt(w.holdDuration().Milliseconds(), 10)}}
	go func() {
		if orders, ok := w.sendRenewal(headers, body); ok {
			w.postEvent(agent.OrdersReceived{Seq: seq, Orders: orders})
		}
	}()
}

const renewPath = "/v1/workers/renew"

// sendRenewal sends a renewal to the hosts in turn until one returns orders.
func (w *Worker) sendRenewal(headers [][2]string, body []byte) (structs.WorkerOrders, bool) {
	w.mu.Lock()
	order := w.hosts.Order()
	w.mu.Unlock()
	for _, host := range order {
		var orders structs.WorkerOrders
		response, err := postOK(w.client, host, renewPath, w.cfg.Token, headers, body)
		if err == nil {
			err = decodeResponse(renewPath, response, &orders)
		}
		w.recordRenewal(host, orders, err)
		if err == nil {
			return orders, true
		}
	}
	return structs.WorkerOrders{}, false
}

// recordRenewal updates the order in which hosts are tried: after a failure, or
// with the owner that the orders name.
func (w *Worker) recordRenewal(host string, orders structs.WorkerOrders, failure error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if failure != nil {
		w.hosts.RecordFailure(w.now(), host)
		return
	}
	owner := orders.Owner
	if owner != "" {
		owner = "http://" + owner
	}
	w.hosts.RecordResponse(w.now(), host, owner)
}

// holdDuration is how long the owner may hold the response, as in long polling:
// until shortly before the next renewal.
func (w *Worker) holdDuration() time.Duration { return w.cfg.RenewInterval * 9 / 10 }

// renewIfChanged renews immediately if the report has changed. A gang starts only
// when its last member has reported that it is prepared, so waiting for the next
// renewal would delay the start.
func (w *Worker) renewIfChanged() {
	body, err := json.Marshal(w.agent.Report())
	if err != nil || bytes.Equal(body, w.lastReport) {
		return
	}
	w.renew()
}

func (w *Worker) postEvent(event agent.Event) {
	select {
	case w.events <- event:
	case <-w.done:
	}
}

// step passes an event to the agent and carries out the resulting effects.
func (w *Worker) step(event agent.Event) {
	if exited, ok := event.(agent.TaskExited); ok {
		w.endTask(runID{exited.Job, exited.Run})
	}
	for _, effect := range w.agent.Step(w.now(), event) {
		switch e := effect.(type) {
		case agent.StartTask:
			w.startTask(e)
		case agent.StopTask:
			w.stopTask(e)
		case agent.CheckpointTask:
			w.checkpointTask(e)
		case agent.ThrottleTask:
			w.throttleTask(e)
		}
	}
}

func (w *Worker) startTask(e agent.StartTask) {
	id := runID{e.Job, e.Run}
	task := &workerTask{started: time.Now(), resumedFrom: w.cfg.Log.checkpointOf(e.Job)}
	w.tasks[id] = task
	w.cfg.Log.recordStart(TaskStart{Worker: w.cfg.Worker.ID, Job: e.Job, Run: e.Run, Accelerators: e.Accelerators, Limits: e.Limits, At: task.started})
	exit := agent.TaskExited{Job: e.Job, Run: e.Run}
	remaining := w.taskTime(e.Command) - task.resumedFrom
	if w.cfg.FailAll {
		exit.Failed = true
		exit.Error = "the accelerator does not respond"
		remaining = failureDelay
	}
	task.endAt = task.started.Add(max(remaining, 0))
	task.timer = time.AfterFunc(max(remaining, 0), func() { w.postEvent(exit) })
}

// throttleFactor is the slowdown of a throttled task.
const throttleFactor = 2

// throttleTask starts or ends the throttling of a task by rescheduling its end.
func (w *Worker) throttleTask(e agent.ThrottleTask) {
	task := w.tasks[runID{e.Job, e.Run}]
	if task == nil || task.throttled == e.Enabled || !task.timer.Stop() {
		return
	}
	task.throttled = e.Enabled
	remaining := time.Until(task.endAt)
	if e.Enabled {
		remaining *= throttleFactor
	} else {
		remaining /= throttleFactor
	}
	task.endAt = time.Now().Add(remaining)
	task.timer.Reset(max(remaining, 0))
}

// taskTime returns the run time that a command gives, or the default.
func (w *Worker) taskTime(command []string) time.Duration {
	if len(command) > 1 {
		if d, err := time.ParseDuration(command[1]); err == nil {
			return d
		}
	}
	return w.cfg.TaskTime
}

func (w *Worker) stopTask(e agent.StopTask) {
	id := runID{e.Job, e.Run}
	task := w.tasks[id]
	if task == nil {
		return
	}
	task.timer.Stop()
	w.endTask(id)
	// This goroutine drains the events, so posting from it could block forever.
	go w.postEvent(agent.TaskExited{Job: e.Job, Run: e.Run, Failed: true, Error: "stopped"})
}

func (w *Worker) endTask(id runID) {
	if task := w.tasks[id]; task != nil {
		task.ended.Store(true)
	}
	delete(w.tasks, id)
	w.cfg.Log.recordEnd(w.cfg.Worker.ID, id.job, id.run)
}

func (w *Worker) checkpointTask(e agent.CheckpointTask) {
	task := w.tasks[runID{e.Job, e.Run}]
	if task == nil {
		return
	}
	time.AfterFunc(w.cfg.CheckpointTime, func() {
		if w.waitUntilResumed(); task.ended.Load() {
			return
		}
		w.cfg.Log.recordCheckpoint(e.Job, task.resumedFrom+time.Since(task.started))
		w.postEvent(agent.CheckpointDone(e))
	})
}

func (w *Worker) endAllTasks() {
	for id, task := range w.tasks {
		task.timer.Stop()
		w.cfg.Log.recordEnd(w.cfg.Worker.ID, id.job, id.run)
	}
}
