package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	heartbeatInterval = 1500 * time.Millisecond
	maxLease          = 6 * time.Second
	stopTime          = 100 * time.Millisecond
	maxListedEnds     = 500
	// lastingSpec begins the spec of a subtask that lasts. The number of runs that fail follows.
	lastingSpec = "lasts "
	// timeToFailure is how long a run works that fails.
	timeToFailure = 300 * time.Millisecond
)

// executor runs subtasks as the pages describe it. A subtask works for the time that its
// spec names.
type executor struct {
	id, service, address string
	rack                 int
	record               *record
	controls             []string
	runs                 *observations
	// isQuiet is set if orders and runs are not recorded one by one.
	isQuiet atomic.Bool

	mu       sync.Mutex
	born     time.Time
	server   *http.Server
	stop     chan struct{}
	state    string
	sequence int
	token    uint64
	leaseEnd int64
	running  map[string]*running
	// highest is the highest run of a subtask that was stopped or has ended here.
	highest map[string]int
	ended   [][]any
	lastEnd int
	changed chan struct{}
	// next is the address for the next status reports, if a control host named one.
	next string
}

type running struct {
	run    int
	worked time.Duration
	begin  time.Time
	lasts  bool
	timer  *time.Timer
}

// observations holds what the executors have run.
type observations struct {
	mu   sync.Mutex
	done map[string]int
	// starts counts the runs of each subtask.
	starts map[string]int
	active map[string]int
	// idleSince is when the last run of a subtask ended.
	idleSince map[string]time.Time
	// broken lists the rules that were broken.
	broken []string
}

func newObservations() *observations {
	return &observations{done: map[string]int{}, starts: map[string]int{}, active: map[string]int{}, idleSince: map[string]time.Time{}}
}

func (o *observations) violate(r *record, rule, text string) {
	r.add("broken", "rule", rule, "what", strconv.Quote(text))
	o.broken = append(o.broken, rule+": "+text)
}

func (o *observations) started(r *record, task, executor string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.starts[task]++
	if o.active[task] > 0 {
		o.violate(r, "TWICE", task+" runs a second time on "+executor)
	}
	if o.done[task] > 0 {
		o.violate(r, "TWICE", task+" starts on "+executor+" after it was done")
	}
	o.active[task]++
}

func (o *observations) finished(task string, done bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.active[task]--; o.active[task] == 0 {
		o.idleSince[task] = time.Now()
	}
	if done {
		o.done[task]++
	}
}

func (o *observations) startsOf(job string) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	n := 0
	for task, count := range o.starts {
		if strings.HasPrefix(task, job+".") {
			n += count
		}
	}
	return n
}

// idle returns how long a subtask has been without a run, or 0 if it runs or has never run.
func (o *observations) idle(task string) time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	if since, ended := o.idleSince[task]; ended && o.active[task] == 0 {
		return time.Since(since)
	}
	return 0
}

func (o *observations) allStarts() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	n := 0
	for _, count := range o.starts {
		n += count
	}
	return n
}

func (o *observations) allActive() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	n := 0
	for _, count := range o.active {
		n += count
	}
	return n
}

func (e *executor) boot() error {
	listener, err := net.Listen("tcp", e.address)
	if err != nil {
		return err
	}
	e.mu.Lock()
	e.born, e.state, e.stop = time.Now(), "ready", make(chan struct{})
	e.running, e.highest, e.ended, e.lastEnd = map[string]*running{}, map[string]int{}, nil, 0
	e.changed, e.token, e.leaseEnd, e.sequence, e.next = make(chan struct{}), 0, 0, 0, ""
	e.mu.Unlock()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/run-start", e.order(e.start))
	mux.HandleFunc("POST /api/run-stop", e.order(e.halt))
	mux.HandleFunc("POST /api/hold", e.order(e.hold))
	mux.HandleFunc("GET /health", func(http.ResponseWriter, *http.Request) {})
	e.server = &http.Server{Handler: mux}
	e.record.add("executor", "id", e.id, "event", "boot", "born", e.born.UnixMilli())
	go func() { _ = e.server.Serve(listener) }()
	go e.sendReports(e.stop)
	go e.expire(e.stop)
	return nil
}

func (e *executor) clock() int64 { return time.Since(e.born).Milliseconds() + 1 }

// expire ends everything that runs once the lease has expired.
func (e *executor) expire(stop chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
		e.mu.Lock()
		if e.clock() > e.leaseEnd {
			for task, r := range e.running {
				e.end(task, r, "lapsed")
			}
		}
		e.mu.Unlock()
	}
}

// order decodes an order, checks its addressee and its token, and carries it out.
func (e *executor) order(f func(o *order) (int, map[string]any)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var o order
		if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		if r.Header.Get("X-Target-Instance") != e.id {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		status, reply := e.carryOut(&o, f)
		if !e.isQuiet.Load() && (r.URL.Path != "/api/hold" || status != http.StatusOK) {
			e.record.add("order", "executor", e.id, "path", r.URL.Path, "task", o.Task, "run", o.Run, "token", o.Token, "status", status, "reason", reply["reason"])
		}
		reply["clock_ms"], reply["born"] = e.clock(), e.born.UnixMilli()
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(status)
		_ = json.NewEncoder(w).Encode(reply)
	}
}

func (e *executor) carryOut(o *order, f func(o *order) (int, map[string]any)) (int, map[string]any) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if o.Token < e.token {
		return http.StatusConflict, map[string]any{"reason": "fence"}
	}
	e.token = o.Token
	e.leaseEnd = max(e.leaseEnd, min(o.Deadline, e.clock()+maxLease.Milliseconds()))
	return f(o)
}

type order struct {
	Task       string `json:"task"`
	Run        int    `json:"run"`
	Spec       string `json:"spec"`
	Checkpoint string `json:"checkpoint"`
	Token      uint64 `json:"fencing_token"`
	Deadline   int64  `json:"deadline_ms"`
	Cursor     int    `json:"ack_cursor"`
	Wait       int    `json:"wait_ms"`
}

func (e *executor) start(o *order) (int, map[string]any) {
	if r := e.running[o.Task]; r != nil && r.run == o.Run {
		return http.StatusOK, map[string]any{}
	}
	if o.Run <= e.highest[o.Task] {
		return http.StatusConflict, map[string]any{"reason": "old"}
	}
	if o.Deadline <= e.clock() {
		return http.StatusConflict, map[string]any{"reason": "late"}
	}
	work, err := time.ParseDuration(strings.TrimSpace(o.Spec))
	if err != nil {
		work = time.Second
	}
	how := "done"
	if strings.HasPrefix(o.Spec, lastingSpec) {
		// The first runs of such a subtask may fail, the others last.
		failures, _ := strconv.Atoi(strings.TrimPrefix(o.Spec, lastingSpec))
		work, how = time.Hour, "failed"
		if o.Run <= failures {
			work = timeToFailure
		}
	}
	r := &running{run: o.Run, worked: work, begin: time.Now(), lasts: how == "failed"}
	e.running[o.Task] = r
	e.addRun(o.Task, o.Run, "started")
	e.runs.started(e.record, o.Task, e.id)
	r.timer = time.AfterFunc(work, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.end(o.Task, r, how)
	})
	return http.StatusOK, map[string]any{}
}

func (e *executor) addRun(task string, run int, event string) {
	if !e.isQuiet.Load() {
		e.record.add("run", "executor", e.id, "task", task, "run", run, "event", event)
	}
}

func (e *executor) halt(o *order) (int, map[string]any) {
	e.highest[o.Task] = max(e.highest[o.Task], o.Run)
	r := e.running[o.Task]
	if r != nil && r.run <= o.Run {
		time.AfterFunc(stopTime, func() {
			e.mu.Lock()
			defer e.mu.Unlock()
			e.end(o.Task, r, "stopped")
		})
	}
	return http.StatusOK, map[string]any{}
}

// end lists the end of a run. e.mu is held.
func (e *executor) end(task string, r *running, how string) {
	if e.running[task] != r {
		return
	}
	r.timer.Stop()
	delete(e.running, task)
	e.highest[task] = max(e.highest[task], r.run)
	e.runs.finished(task, how == "done")
	e.addRun(task, r.run, how)
	e.lastEnd++
	e.ended = append(e.ended, []any{e.lastEnd, task, r.run, how, ""})
	close(e.changed)
	e.changed = make(chan struct{})
}

func (e *executor) hold(o *order) (int, map[string]any) {
	for len(e.ended) > 0 && e.ended[0][0].(int) <= o.Cursor {
		e.ended = e.ended[1:]
	}
	if changed := e.changed; len(e.ended) == 0 && o.Wait > 0 {
		e.mu.Unlock()
		select {
		case <-changed:
		case <-e.stop:
		case <-time.After(time.Duration(o.Wait) * time.Millisecond):
		}
		e.mu.Lock()
	}
	rows, ends := [][]any{}, [][]any{}
	for task, r := range e.running {
		percent := min(99, int(100*time.Since(r.begin)/max(r.worked, 1)))
		if r.lasts {
			percent = 100
		}
		rows = append(rows, []any{task, r.run, "", percent})
	}
	ends = append(ends, e.ended[:min(len(e.ended), maxListedEnds)]...)
	return http.StatusOK, map[string]any{"running": rows, "ended_runs": ends}
}

// sendReports sends status reports until one control host has acknowledged each.
func (e *executor) sendReports(stop chan struct{}) {
	client := &http.Client{Timeout: time.Second}
	for {
		e.mu.Lock()
		e.sequence++
		body, _ := json.Marshal(map[string]any{
			"service": e.service, "address": e.address, "zone": "z1", "version": "v1", "slots": 8, "state": e.state, "cold_remaining_ms": 0,
			"capacity": map[string]int{"cpu": 64000, "mem_mb": 131072, "gpu": 8}, "labels": []string{"a", fmt.Sprintf("r1-%d", e.rack)},
			"clock_ms": e.clock(), "sequence": e.sequence, "born": e.born.UnixMilli(),
		})
		hosts := append([]string{}, e.controls...)
		if e.next != "" {
			hosts = append([]string{e.next}, hosts...)
		}
		e.mu.Unlock()
		for _, host := range hosts {
			response, err := client.Post("http://"+host+"/api/Instances.Heartbeat/"+e.id, "application/json", bytes.NewReader(body))
			e.mu.Lock()
			e.next = ""
			e.mu.Unlock()
			if err != nil {
				continue
			}
			var reply struct {
				URL string `json:"heartbeat_url"`
			}
			_ = json.NewDecoder(response.Body).Decode(&reply)
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				e.mu.Lock()
				e.next = reply.URL
				e.mu.Unlock()
				break
			}
		}
		select {
		case <-stop:
			return
		case <-time.After(heartbeatInterval):
		}
	}
}
