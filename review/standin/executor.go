package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// behavior says what a run does: it ends by itself after a time, or never if that is 0.
type behavior func(executor, task string, run int) (after time.Duration, how string)

// executor is one life of an executor as the protocol page describes it.
type executor struct {
	d       *deployment
	id      string
	host    int
	rack    string
	born    time.Time
	behave  behavior
	tickets *tickets
	link    *link
	server  *http.Server
	client  *http.Client

	mu        sync.Mutex
	isOver    bool
	token     uint64
	leaseEnd  int64
	running   map[string]*running
	overRuns  map[string]int
	ends      [][]any
	lastEnd   int
	changed   chan struct{}
	draining  bool
	leavesAt  time.Time
	sequence  int
	confirmed int
	// reportTo is the address for later reports.
	reportTo string
	stopped  chan struct{}
}

type running struct {
	run   int
	began time.Time
	lasts time.Duration
}

type order struct {
	Task   string `json:"task"`
	Run    int    `json:"run"`
	Spec   string `json:"spec"`
	Token  uint64 `json:"fencing_token"`
	Lease  int64  `json:"deadline_ms"`
	Cursor int    `json:"ack_cursor"`
	WaitMS int    `json:"wait_ms"`
	Ticket string `json:"ticket"`
}

func newExecutor(d *deployment, index int, behave behavior, t *tickets) (*executor, error) {
	e := &executor{
		d: d, id: fmt.Sprintf("i-%08d", index), host: firstExecutor + index, rack: d.rackOf(index), born: time.Now(), behave: behave, tickets: t, link: &link{},
		running: map[string]*running{}, overRuns: map[string]int{}, changed: make(chan struct{}), stopped: make(chan struct{}),
	}
	e.client = &http.Client{Transport: &http.Transport{DialContext: e.link.dial}}
	listener, err := net.Listen("tcp4", e.address())
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("/api/run-start", e.handler("run-start", e.startRun))
	mux.HandleFunc("/api/run-stop", e.handler("run-stop", e.stopRun))
	mux.HandleFunc("/api/hold", e.handler("hold", e.hold))
	e.server = &http.Server{Handler: mux}
	go func() { _ = e.server.Serve(&linkListener{Listener: listener, link: e.link}) }()
	go e.watchLease()
	go e.reportRegularly()
	return e, nil
}

func (e *executor) address() string { return e.d.address(e.host, portExecutor) }

func (e *executor) clock() int64 { return time.Since(e.born).Milliseconds() + 1 }

func (e *executor) confirmedReports() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.confirmed
}

func (e *executor) handler(name string, f func(*order) (int, map[string]any)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var o order
		if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		status, answer := http.StatusMisdirectedRequest, map[string]any{}
		if r.Header.Get("X-Target-Instance") == e.id {
			status, answer = e.checkFence(&o, f)
		}
		answer["clock_ms"], answer["born"] = e.clock(), e.born.UnixMilli()
		if name != "hold" {
			e.d.rec.line("%s: %s %s run %d token %d -> %d %v", e.id, name, o.Task, o.Run, o.Token, status, answer["reason"])
		}
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(status)
		_ = json.NewEncoder(w).Encode(answer)
	}
}

func (e *executor) checkFence(o *order, f func(*order) (int, map[string]any)) (int, map[string]any) {
	e.mu.Lock()
	if o.Token < e.token {
		e.mu.Unlock()
		return http.StatusConflict, map[string]any{"reason": "fence"}
	}
	e.token = o.Token
	e.leaseEnd = max(e.leaseEnd, min(o.Lease, e.clock()+maxLease.Milliseconds()))
	e.mu.Unlock()
	return f(o)
}

func refuse(reason string) (int, map[string]any) {
	return http.StatusConflict, map[string]any{"reason": reason}
}

func (e *executor) startRun(o *order) (int, map[string]any) {
	e.mu.Lock()
	defer e.mu.Unlock()
	present := e.running[o.Task]
	switch {
	case present != nil && present.run == o.Run:
		return http.StatusOK, map[string]any{}
	case o.Run <= e.overRuns[o.Task], present != nil && o.Run < present.run:
		return refuse("old")
	case o.Lease <= e.clock():
		return refuse("late")
	case e.tickets != nil && !e.tickets.isValid(e.id, o.Task, o.Ticket):
		return refuse("ticket")
	}
	after, how := e.behave(e.id, o.Task, o.Run)
	r := &running{run: o.Run, began: time.Now(), lasts: after}
	e.running[o.Task] = r
	e.d.runs.began(e.id, o.Task, o.Run)
	if after > 0 {
		time.AfterFunc(after, func() { e.endRun(o.Task, r, how) })
	}
	return http.StatusOK, map[string]any{}
}

// endRun ends a run if it is still there.
func (e *executor) endRun(task string, r *running, how string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.running[task] != r {
		return
	}
	delete(e.running, task)
	e.overRuns[task] = max(e.overRuns[task], r.run)
	e.d.runs.ended(e.id, task, r.run, how)
	if e.isOver {
		return
	}
	e.lastEnd++
	e.ends = append(e.ends, []any{e.lastEnd, task, r.run, how, ""})
	close(e.changed)
	e.changed = make(chan struct{})
}

func (e *executor) stopRun(o *order) (int, map[string]any) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if r := e.running[o.Task]; r != nil && r.run <= o.Run {
		time.AfterFunc(stopTime/4, func() { e.endRun(o.Task, r, "stopped") })
	}
	e.overRuns[o.Task] = max(e.overRuns[o.Task], o.Run)
	return http.StatusOK, map[string]any{}
}

func (e *executor) hold(o *order) (int, map[string]any) {
	e.mu.Lock()
	for len(e.ends) > 0 && e.ends[0][0].(int) <= o.Cursor {
		e.ends = e.ends[1:]
	}
	changed, waits := e.changed, len(e.ends) == 0
	e.mu.Unlock()
	if waits {
		select {
		case <-changed:
		case <-e.stopped:
		case <-time.After(time.Duration(o.WaitMS) * time.Millisecond):
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	list := [][]any{}
	for task, r := range e.running {
		// A subtask that lasts is at work after a short startup.
		percent := 100
		if r.lasts > 0 {
			percent = int(min(99, 100*time.Since(r.began)/r.lasts))
		}
		list = append(list, []any{task, r.run, "", percent, 1000})
	}
	return http.StatusOK, map[string]any{"running": list, "ended_runs": append([][]any{}, e.ends...)}
}

func (e *executor) watchLease() {
	for {
		select {
		case <-e.stopped:
			return
		case <-time.After(20 * time.Millisecond):
		}
		e.mu.Lock()
		var lapsed []string
		if e.clock() > e.leaseEnd {
			for task := range e.running {
				lapsed = append(lapsed, task)
			}
		}
		runs := map[string]*running{}
		for _, task := range lapsed {
			runs[task] = e.running[task]
		}
		e.mu.Unlock()
		for task, r := range runs {
			e.endRun(task, r, "lapsed")
		}
	}
}

// reportBody returns the next status report.
func (e *executor) reportBody() []byte {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sequence++
	body := map[string]any{
		"service": serviceName, "address": e.address(), "zone": "z1", "version": "v1", "slots": 8, "state": "ready", "cold_remaining_ms": 0,
		"capacity": map[string]int{"cpu": 64000, "mem_mb": 262144, "gpu": 8}, "labels": []string{"a", e.rack},
		"clock_ms": e.clock(), "sequence": e.sequence, "born": e.born.UnixMilli(),
	}
	if e.draining {
		body["state"] = "draining"
		body["drain_remaining_ms"] = max(0, time.Until(e.leavesAt).Milliseconds())
	}
	data, _ := json.Marshal(body)
	return data
}

// post calls one node after another, the one for reports first, each for a second, until
// one confirms or the context ends.
func (e *executor) post(ctx context.Context, path string, body []byte) bool {
	e.mu.Lock()
	nodes := e.d.controls()
	if e.reportTo != "" {
		nodes = append([]string{e.reportTo}, nodes...)
	}
	e.mu.Unlock()
	for _, node := range nodes {
		attempt, cancel := context.WithTimeout(ctx, time.Second)
		confirmed, reply := e.postTo(attempt, node, path, body)
		cancel()
		if confirmed {
			e.mu.Lock()
			e.reportTo = reply
			e.mu.Unlock()
			return true
		}
		if ctx.Err() != nil {
			return false
		}
	}
	return false
}

func (e *executor) postTo(ctx context.Context, node, path string, body []byte) (confirmed bool, reportTo string) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+node+path, bytes.NewReader(body))
	if err != nil {
		return false, ""
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := e.client.Do(request)
	if err != nil {
		return false, ""
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil || response.StatusCode/100 != 2 {
		return false, ""
	}
	var reply struct {
		URL string `json:"heartbeat_url"`
	}
	_ = json.Unmarshal(data, &reply)
	return true, reply.URL
}

func (e *executor) report() bool {
	confirmed := e.post(context.Background(), "/api/Instances.Heartbeat/"+e.id, e.reportBody())
	if confirmed {
		e.mu.Lock()
		e.confirmed++
		e.mu.Unlock()
	}
	return confirmed
}

func (e *executor) reportRegularly() {
	for {
		e.mu.Lock()
		mayReport := !e.draining
		e.mu.Unlock()
		if mayReport {
			e.report()
		}
		select {
		case <-e.stopped:
			return
		case <-time.After(heartbeatInterval):
		}
	}
}

// leave plays a planned end: the executor reports that it drains, serves for the drain
// time after the confirmation and a little longer, deregisters and ends. Without a
// confirmation it ends all the same, some seconds later. beforeDeregistration is called
// once the last report is confirmed.
func (e *executor) leave(beforeDeregistration func()) error {
	e.mu.Lock()
	e.draining, e.leavesAt = true, time.Now().Add(drainTime)
	e.mu.Unlock()
	if err := waitFor(3*time.Second, "the drain is confirmed", e.report); err != nil {
		return err
	}
	e.d.rec.line("%s: draining, confirmed", e.id)
	confirmedAt := time.Now()
	time.Sleep(heartbeatInterval)
	e.report()
	time.Sleep(time.Until(confirmedAt.Add(2 * heartbeatInterval)))
	e.report()
	beforeDeregistration()
	time.Sleep(leaveMargin)
	body, _ := json.Marshal(map[string]any{"born": e.born.UnixMilli()})
	e.d.rec.line("%s: Deregister %s is sent", e.id, body)
	ctx, cancel := context.WithTimeout(context.Background(), unconfirmedLeave)
	defer cancel()
	sentAt := time.Now()
	confirmed := e.post(ctx, "/api/Instances.Deregister/"+e.id, body)
	if !confirmed {
		time.Sleep(time.Until(sentAt.Add(unconfirmedLeave)))
	}
	e.d.rec.line("%s: ends, deregistration confirmed: %v", e.id, confirmed)
	e.end()
	return nil
}

const (
	// leaveMargin is how much longer than the drain time the executor serves.
	leaveMargin = 100 * time.Millisecond
	// unconfirmedLeave is the time after which an executor ends without a confirmation.
	unconfirmedLeave = 3 * time.Second
)

// end ends this life of the executor, and everything that runs on it.
func (e *executor) end() {
	e.mu.Lock()
	if e.isOver {
		e.mu.Unlock()
		return
	}
	e.isOver = true
	close(e.stopped)
	runs := map[string]*running{}
	for task, r := range e.running {
		runs[task] = r
	}
	e.mu.Unlock()
	_ = e.server.Close()
	for task, r := range runs {
		e.endRun(task, r, "executor ended")
	}
}
