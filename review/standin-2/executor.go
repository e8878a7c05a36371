package main

import (
	"bytes"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// gpusPerExecutor and the other amounts are the capacity of an executor.
	gpusPerExecutor  = 8
	cpuPerExecutor   = 64000
	memMBPerExecutor = 131072
	// maxListedEnds is the number of ends that an executor lists at a time.
	maxListedEnds = 500
	// drainTime is how long a leaving executor serves on after the confirmation.
	drainTime = 3 * time.Second
)

// executor is a stand-in for one life of an executor. It runs each subtask for the time in
// the field work_ms of its specification.
type executor struct {
	rec     *record
	id      string
	service string
	address string
	labels  []string
	born    time.Time
	// controls lists the addresses that take status reports.
	controls []string
	server   *http.Server
	client   *http.Client
	stopped  chan struct{}
	once     sync.Once

	mu       sync.Mutex
	token    uint64
	running  map[string]*subtaskRun
	highest  map[string]int
	leaseEnd int64
	ends     [][]any
	lastEnd  int
	changed  chan struct{}
	sequence int
	state    string
	drainEnd time.Time
	// checkTicket returns whether a ticket allows a step here; nil if none is needed.
	checkTicket func(step, executor, ticket string) bool
	starts      []startedRun
}

// subtaskRun is a run that is at work.
type subtaskRun struct {
	run     int
	timer   *time.Timer
	started time.Time
	work    time.Duration
	lasts   bool
}

func (r *subtaskRun) stopTimer() {
	if r.timer != nil {
		r.timer.Stop()
	}
}

// startedRun is a run that an executor has begun.
type startedRun struct {
	task     string
	run      int
	at       time.Time
	endedAt  time.Time
	how      string
	executor string
}

// newExecutor starts an executor that listens at an address.
func newExecutor(d *deployment, number int, service string, labels ...string) (*executor, error) {
	id := "i-" + strconv.FormatInt(int64(0xa000+number), 16)
	address := d.address(d.host(20+number), portExecutor)
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	e := &executor{
		rec: d.rec, id: id, service: service, address: address, labels: labels, born: time.Now(), controls: d.controlAddresses(),
		client: &http.Client{Timeout: time.Second}, stopped: make(chan struct{}),
		running: map[string]*subtaskRun{}, highest: map[string]int{}, changed: make(chan struct{}), state: "ready",
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/run-start", e.handler(e.start))
	mux.HandleFunc("POST /api/run-stop", e.handler(e.stopRun))
	mux.HandleFunc("POST /api/hold", e.handler(e.hold))
	e.server = &http.Server{Handler: mux, ReadHeaderTimeout: 2 * time.Second}
	go func() { _ = e.server.Serve(listener) }()
	go e.reportRegularly()
	go e.expireLeases()
	d.onStop(e.end)
	return e, nil
}

// end ends the executor and everything that runs on it.
func (e *executor) end() {
	e.once.Do(func() {
		close(e.stopped)
		_ = e.server.Close()
		e.mu.Lock()
		defer e.mu.Unlock()
		for task, r := range e.running {
			r.stopTimer()
			delete(e.running, task)
		}
	})
}

// clock is the steady clock of the executor in milliseconds.
func (e *executor) clock() int64 { return time.Since(e.born).Milliseconds() + 1 }

// order is the body of any order.
type order struct {
	Task       string `json:"task"`
	Run        int    `json:"run"`
	Spec       string `json:"spec"`
	Deadline   int64  `json:"deadline_ms"`
	Token      uint64 `json:"fencing_token"`
	Checkpoint string `json:"checkpoint"`
	Ticket     string `json:"ticket"`
	Cursor     int    `json:"ack_cursor"`
	WaitMS     int64  `json:"wait_ms"`
}

func (e *executor) handler(f func(order) (int, map[string]any)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var o order
		if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
			e.answer(w, http.StatusBadRequest, map[string]any{})
			return
		}
		if target := r.Header.Get("X-Target-Instance"); target != "" && target != e.id {
			e.answer(w, http.StatusMisdirectedRequest, map[string]any{})
			return
		}
		status, body := e.carryOut(o, f)
		e.answer(w, status, body)
	}
}

func (e *executor) answer(w http.ResponseWriter, status int, body map[string]any) {
	body["clock_ms"], body["born"] = e.clock(), e.born.UnixMilli()
	data, _ := json.Marshal(body)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

// carryOut checks the fencing token of an order, extends the lease and carries it out.
func (e *executor) carryOut(o order, f func(order) (int, map[string]any)) (int, map[string]any) {
	e.mu.Lock()
	if o.Token < e.token {
		e.mu.Unlock()
		return http.StatusConflict, map[string]any{"reason": "fence"}
	}
	e.token = o.Token
	e.leaseEnd = max(e.leaseEnd, min(o.Deadline, e.clock()+holdMax.Milliseconds()))
	e.mu.Unlock()
	return f(o)
}

func (e *executor) start(o order) (int, map[string]any) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if r := e.running[o.Task]; r != nil && r.run == o.Run {
		return http.StatusOK, map[string]any{}
	}
	switch {
	case o.Run <= e.highest[o.Task]:
		return http.StatusConflict, map[string]any{"reason": "old"}
	case o.Deadline <= e.clock():
		return http.StatusConflict, map[string]any{"reason": "late"}
	case e.checkTicket != nil && !e.checkTicket(o.Task[:strings.LastIndex(o.Task, ".")], e.id, o.Ticket):
		return http.StatusConflict, map[string]any{"reason": "ticket"}
	}
	work, lasts := workOf(o.Spec)
	r := &subtaskRun{run: o.Run, started: time.Now(), work: work, lasts: lasts}
	e.running[o.Task] = r
	e.starts = append(e.starts, startedRun{task: o.Task, run: o.Run, at: r.started, executor: e.id})
	e.rec.add("%s (service %s) begins %s run %d", e.id, e.service, o.Task, o.Run)
	if !lasts {
		r.timer = time.AfterFunc(r.work, func() { e.finish(o.Task, r, "done") })
	}
	return http.StatusOK, map[string]any{}
}

// workOf returns the time in the field work_ms of a specification, and whether the subtask
// runs until it is stopped.
func workOf(spec string) (work time.Duration, lasts bool) {
	var s struct {
		WorkMS int64 `json:"work_ms"`
		Lasts  bool  `json:"lasts"`
	}
	_ = json.Unmarshal([]byte(spec), &s)
	return time.Duration(s.WorkMS) * time.Millisecond, s.Lasts
}

// finish ends a run and lists its end.
func (e *executor) finish(task string, r *subtaskRun, how string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.running[task] != r {
		return
	}
	r.stopTimer()
	delete(e.running, task)
	e.highest[task] = max(e.highest[task], r.run)
	for i := range e.starts {
		if e.starts[i].task == task && e.starts[i].run == r.run {
			e.starts[i].endedAt, e.starts[i].how = time.Now(), how
		}
	}
	e.rec.add("%s ends %s run %d: %s", e.id, task, r.run, how)
	e.lastEnd++
	e.ends = append(e.ends, []any{e.lastEnd, task, r.run, how, ""})
	close(e.changed)
	e.changed = make(chan struct{})
}

func (e *executor) stopRun(o order) (int, map[string]any) {
	e.mu.Lock()
	e.highest[o.Task] = max(e.highest[o.Task], o.Run)
	r := e.running[o.Task]
	e.mu.Unlock()
	if r != nil && r.run <= o.Run {
		e.finish(o.Task, r, "stopped")
	}
	return http.StatusOK, map[string]any{}
}

func (e *executor) hold(o order) (int, map[string]any) {
	e.mu.Lock()
	for len(e.ends) > 0 && e.ends[0][0].(int) <= o.Cursor {
		e.ends = e.ends[1:]
	}
	changed, waits := e.changed, len(e.ends) == 0
	e.mu.Unlock()
	if waits && o.WaitMS > 0 {
		select {
		case <-changed:
		case <-e.stopped:
		case <-time.After(time.Duration(min(o.WaitMS, 2000)) * time.Millisecond):
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	running := [][]any{}
	for task, r := range e.running {
		percent := 100
		if !r.lasts && r.work > 0 {
			percent = int(min(99, 100*time.Since(r.started)/r.work))
		}
		running = append(running, []any{task, r.run, "", percent, 1000})
	}
	ends := append([][]any{}, e.ends[:min(len(e.ends), maxListedEnds)]...)
	return http.StatusOK, map[string]any{"running": running, "ended_runs": ends}
}

// expireLeases ends everything that runs when the lease has expired.
func (e *executor) expireLeases() {
	const interval = 20 * time.Millisecond
	for {
		select {
		case <-e.stopped:
			return
		case <-time.After(interval):
		}
		e.mu.Lock()
		expired := map[string]*subtaskRun{}
		if e.clock() > e.leaseEnd {
			for task, r := range e.running {
				expired[task] = r
			}
		}
		e.mu.Unlock()
		for task, r := range expired {
			e.finish(task, r, "lapsed")
		}
	}
}

func (e *executor) reportRegularly() {
	for {
		e.report()
		select {
		case <-e.stopped:
			return
		case <-time.After(heartbeatInterval):
		}
	}
}

// report sends a status report to one control host after another until one accepts it, and
// returns whether one did.
func (e *executor) report() bool {
	e.mu.Lock()
	e.sequence++
	body := map[string]any{
		"service": e.service, "address": e.address, "zone": "z1", "version": "v1", "slots": 8, "state": e.state, "cold_remaining_ms": 0,
		"capacity": map[string]int{"cpu": cpuPerExecutor, "mem_mb": memMBPerExecutor, "gpu": gpusPerExecutor}, "labels": e.labels,
		"clock_ms": e.clock(), "born": e.born.UnixMilli(), "sequence": e.sequence,
	}
	if e.state == "draining" {
		body["drain_remaining_ms"] = max(0, time.Until(e.drainEnd).Milliseconds())
	}
	e.mu.Unlock()
	return e.post("/api/Instances.Heartbeat/"+e.id, body)
}

func (e *executor) post(path string, body map[string]any) bool {
	data, _ := json.Marshal(body)
	for _, address := range e.controls {
		response, err := e.client.Post("http://"+address+path, "application/json", bytes.NewReader(data))
		if err != nil {
			continue
		}
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		if response.StatusCode/100 == 2 {
			return true
		}
	}
	return false
}

// leave drains the executor, deregisters it and ends it.
func (e *executor) leave() {
	e.mu.Lock()
	e.state, e.drainEnd = "draining", time.Now().Add(drainTime)
	e.mu.Unlock()
	acked := e.report()
	e.rec.add("%s drains, confirmed: %t", e.id, acked)
	time.Sleep(drainTime)
	acked = e.post("/api/Instances.Deregister/"+e.id, map[string]any{"born": e.born.UnixMilli()})
	e.rec.add("%s leaves, confirmed: %t", e.id, acked)
	e.end()
}

// startedRuns returns the runs that the executor has begun.
func (e *executor) startedRuns() []startedRun {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]startedRun{}, e.starts...)
}

// busy returns whether anything runs on the executor.
func (e *executor) busy() bool { return e.runCount() > 0 }

// runCount returns the number of subtasks that run on the executor.
func (e *executor) runCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.running)
}
