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
	// Hosts are the base URLs of the entry hosts that it renews with.
	Hosts []string
	Token string
	// RenewInterval is the time between renewals.
	RenewInterval time.Duration
	// TaskTime is how long a task without a stated time takes. A job states
	// its time as the second word of its command, for example "run 200ms".
	TaskTime time.Duration
	// CheckpointTime is how long a checkpoint takes.
	CheckpointTime time.Duration
	// FailAll makes every task fail shortly after its start.
	FailAll bool
	Log     *TaskLog
}

// Worker runs tasks that do nothing but take time, under a lease.
type Worker struct {
	cfg    WorkerConfig
	client *fasthttp.Client
	agent  *agent.Agent
	start  time.Time
	events chan agent.Event
	// freezes wakes the worker when it is frozen.
	freezes chan struct{}
	stop    chan struct{}
	killed  sync.Once
	done    chan struct{}
	seq     uint64
	sent    []byte
	tasks   map[runID]*workerTask

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
	resumed time.Duration
	timer   *time.Timer
	// due is when the task ends at its present speed.
	due       time.Time
	throttled bool
	ended     atomic.Bool
}

const (
	defaultRenewInterval = time.Second
	failAfter            = 20 * time.Millisecond
	workerEvents         = 256
)

// NewWorker starts a worker.
func NewWorker(cfg WorkerConfig) *Worker {
	if cfg.RenewInterval <= 0 {
		cfg.RenewInterval = defaultRenewInterval
	}
	if cfg.Log == nil {
		cfg.Log = NewTaskLog()
	}
	w := &Worker{
		cfg:     cfg,
		client:  &fasthttp.Client{ReadTimeout: announceTimeout, WriteTimeout: announceTimeout, MaxIdemponentCallAttempts: 1},
		hosts:   agent.NewHostList(cfg.Hosts, 0),
		agent:   agent.New(cfg.Worker, uint64(time.Now().UnixNano())),
		start:   time.Now(),
		events:  make(chan agent.Event, workerEvents),
		freezes: make(chan struct{}, 1),
		stop:    make(chan struct{}),
		done:    make(chan struct{}),
		tasks:   map[runID]*workerTask{},
	}
	go w.run()
	return w
}

// Kill ends the worker and its tasks without a word to the system.
func (w *Worker) Kill() {
	w.killed.Do(func() { close(w.stop) })
	<-w.done
}

// Freeze suspends the whole machine, tasks included, until the returned
// function is called.
func (w *Worker) Freeze() (resume func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	frozen := make(chan struct{})
	w.frozen = frozen
	select {
	case w.freezes <- struct{}{}:
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
	defer w.endAll()
	renew := time.NewTicker(w.cfg.RenewInterval)
	defer renew.Stop()
	w.renew()
	for {
		lease := w.leaseTimer()
		select {
		case <-w.stop:
			return
		case <-w.freezes:
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

func (w *Worker) waitWhileFrozen() {
	w.mu.Lock()
	frozen := w.frozen
	w.mu.Unlock()
	if frozen == nil {
		return
	}
	suspended := w.suspend()
	select {
	case <-frozen:
	case <-w.stop:
		return
	}
	w.step(agent.Timer{})
	w.resume(suspended)
}

// awaitThaw returns when the worker is not frozen.
func (w *Worker) awaitThaw() {
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

// suspend takes the tasks out of the log, because a frozen machine runs nothing.
func (w *Worker) suspend() []TaskStart {
	var suspended []TaskStart
	for id := range w.tasks {
		if s, ok := w.cfg.Log.ended(w.cfg.Worker.ID, id.job, id.run); ok {
			suspended = append(suspended, s)
		}
	}
	return suspended
}

// resume puts back the tasks that the agent did not stop on waking.
func (w *Worker) resume(suspended []TaskStart) {
	for _, s := range suspended {
		if w.tasks[runID{s.Job, s.Run}] != nil {
			w.cfg.Log.started(s)
		}
	}
}

func (w *Worker) leaseTimer() <-chan time.Time {
	deadline, ok := w.agent.Deadline()
	if !ok {
		return nil
	}
	return time.After(max(0, deadline-w.now()))
}

// renew sends the report on a goroutine of its own, so that a host that does
// not answer cannot keep the worker from ending its tasks in time.
func (w *Worker) renew() {
	w.seq++
	seq := w.seq
	w.step(agent.RenewalSent{Seq: seq})
	body, err := json.Marshal(w.agent.Report())
	if err != nil {
		return
	}
	w.sent = body
	headers := [][2]string{{"X-Wait-Ms", strconv.FormatInt(w.holdTime().Milliseconds(), 10)}}
	go func() {
		if orders, ok := w.exchange(headers, body); ok {
			w.post(agent.OrdersReceived{Seq: seq, Orders: orders})
		}
	}()
}

const renewPath = "/v1/workers/renew"

// exchange offers a renewal to the hosts until one gives orders.
func (w *Worker) exchange(headers [][2]string, body []byte) (structs.WorkerOrders, bool) {
	w.mu.Lock()
	order := w.hosts.Order()
	w.mu.Unlock()
	for _, host := range order {
		var orders structs.WorkerOrders
		answer, err := postOK(w.client, host, renewPath, w.cfg.Token, headers, body)
		if err == nil {
			err = decodeAnswer(renewPath, answer, &orders)
		}
		w.noteExchange(host, orders, err)
		if err == nil {
			return orders, true
		}
	}
	return structs.WorkerOrders{}, false
}

func (w *Worker) noteExchange(host string, orders structs.WorkerOrders, failure error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if failure != nil {
		w.hosts.Failed(w.now(), host)
		return
	}
	owner := orders.Owner
	if owner != "" {
		owner = "http://" + owner
	}
	w.hosts.Answered(w.now(), host, owner)
}

// holdTime lets the owner hold an answer until shortly before the next renewal.
func (w *Worker) holdTime() time.Duration { return w.cfg.RenewInterval * 9 / 10 }

// renewIfChanged reports progress at once: a gang starts when its last member
// has reported that it is prepared.
func (w *Worker) renewIfChanged() {
	body, err := json.Marshal(w.agent.Report())
	if err != nil || bytes.Equal(body, w.sent) {
		return
	}
	w.renew()
}

func (w *Worker) post(event agent.Event) {
	select {
	case w.events <- event:
	case <-w.done:
	}
}

func (w *Worker) step(event agent.Event) {
	if exited, ok := event.(agent.TaskExited); ok {
		w.end(runID{exited.Job, exited.Run})
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
	task := &workerTask{started: time.Now(), resumed: w.cfg.Log.resumeFrom(e.Job)}
	w.tasks[id] = task
	w.cfg.Log.started(TaskStart{Worker: w.cfg.Worker.ID, Job: e.Job, Run: e.Run, Accelerators: e.Accelerators, Limits: e.Limits, At: task.started})
	exit := agent.TaskExited{Job: e.Job, Run: e.Run}
	left := w.taskTime(e.Command) - task.resumed
	if w.cfg.FailAll {
		exit.Failed = true
		exit.Error = "the accelerator does not respond"
		left = failAfter
	}
	task.due = task.started.Add(max(left, 0))
	task.timer = time.AfterFunc(max(left, 0), func() { w.post(exit) })
}

// throttleFactor is how much longer a throttled task needs for its rest.
const throttleFactor = 2

// throttleTask slows a task down, or ends that.
func (w *Worker) throttleTask(e agent.ThrottleTask) {
	task := w.tasks[runID{e.Job, e.Run}]
	if task == nil || task.throttled == e.On || !task.timer.Stop() {
		return
	}
	task.throttled = e.On
	left := time.Until(task.due)
	if e.On {
		left *= throttleFactor
	} else {
		left /= throttleFactor
	}
	task.due = time.Now().Add(left)
	task.timer.Reset(max(left, 0))
}

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
	w.end(id)
	// Posted from another goroutine: this one drains the events.
	go w.post(agent.TaskExited{Job: e.Job, Run: e.Run, Failed: true, Error: "stopped"})
}

func (w *Worker) end(id runID) {
	if task := w.tasks[id]; task != nil {
		task.ended.Store(true)
	}
	delete(w.tasks, id)
	w.cfg.Log.ended(w.cfg.Worker.ID, id.job, id.run)
}

func (w *Worker) checkpointTask(e agent.CheckpointTask) {
	task := w.tasks[runID{e.Job, e.Run}]
	if task == nil {
		return
	}
	time.AfterFunc(w.cfg.CheckpointTime, func() {
		if w.awaitThaw(); task.ended.Load() {
			return
		}
		w.cfg.Log.checkpoint(e.Job, task.resumed+time.Since(task.started))
		w.post(agent.CheckpointDone(e))
	})
}

func (w *Worker) endAll() {
	for id, task := range w.tasks {
		task.timer.Stop()
		w.cfg.Log.ended(w.cfg.Worker.ID, id.job, id.run)
	}
}
