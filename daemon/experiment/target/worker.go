package target

import (
	"bytes"
	"encoding/json"
	"sync"
	"time"

	"cranberrydrum.dev/scheduler/agent"
	"cranberrydrum.dev/scheduler/structs"
)

// worker is a light stand-in: an agent and the times of its tasks. The fleet
// drives it.
type worker struct {
	fleet *fleet
	self  structs.Worker

	mu    sync.Mutex
	hosts *agent.HostList
	agent *agent.Agent
	// life counts the restarts; answers to an earlier life are dropped.
	life  int
	seq   uint64
	sent  []byte
	next  time.Time
	tasks map[memberID]*task
}

// task is one running task. Zero times are not due.
type task struct {
	command      []string
	checkpointAt time.Time
	endAt        time.Time
}

// neverDone as the third word of a command is a checkpoint without an end. A
// duration there is the time of the checkpoint; the second word is the run time.
const neverDone = "never"

func (w *worker) now() time.Duration { return time.Since(w.fleet.start) }

// restart begins a new life of the worker; its tasks end without a word.
func (w *worker) restart() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for id := range w.tasks {
		w.fleet.tracker.ended(w.self.Domain, id, true, false)
	}
	w.life++
	w.agent = agent.New(w.self, uint64(time.Now().UnixNano()))
	w.tasks = map[memberID]*task{}
	w.seq, w.sent = 0, nil
	w.next = time.Now()
}

// tick does what is due.
func (w *worker) tick(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.agent == nil {
		return
	}
	if deadline, ok := w.agent.Deadline(); ok && w.now() >= deadline {
		w.step(agent.Timer{})
	}
	changed := w.finishDue(now)
	switch {
	case !now.Before(w.next):
		w.renew()
	case changed:
		w.renewIfChanged()
	}
}

// finishDue ends tasks and checkpoints whose time has come.
func (w *worker) finishDue(now time.Time) bool {
	changed := false
	for id, t := range w.tasks {
		if !t.checkpointAt.IsZero() && !now.Before(t.checkpointAt) {
			t.checkpointAt = time.Time{}
			w.step(agent.CheckpointDone{Job: id.job, Run: id.run})
			changed = true
		}
		if !t.endAt.IsZero() && !now.Before(t.endAt) {
			w.end(id, false, false)
			w.step(agent.TaskExited{Job: id.job, Run: id.run})
			changed = true
		}
	}
	return changed
}

func (w *worker) end(id memberID, stopped, forced bool) {
	delete(w.tasks, id)
	w.fleet.tracker.ended(w.self.Domain, id, stopped, forced)
}

func (w *worker) step(event agent.Event) {
	for _, effect := range w.agent.Step(w.now(), event) {
		switch e := effect.(type) {
		case agent.StartTask:
			w.startTask(e)
		case agent.StopTask:
			w.end(memberID{e.Job, e.Run, w.self.ID}, true, e.Force)
			w.step(agent.TaskExited{Job: e.Job, Run: e.Run, Failed: true, Error: "stopped"})
		case agent.CheckpointTask:
			w.checkpoint(memberID{e.Job, e.Run, w.self.ID})
		}
	}
}

func (w *worker) startTask(e agent.StartTask) {
	t := &task{command: e.Command}
	if len(e.Command) > 1 {
		if length, err := time.ParseDuration(e.Command[1]); err == nil {
			t.endAt = time.Now().Add(length)
		}
	}
	id := memberID{e.Job, e.Run, w.self.ID}
	w.tasks[id] = t
	w.fleet.tracker.started(w.self.Domain, id, len(e.Accelerators))
}

func (w *worker) checkpoint(id memberID) {
	t := w.tasks[id]
	if t == nil || len(t.command) < 3 || t.command[2] == neverDone {
		return
	}
	length, err := time.ParseDuration(t.command[2])
	if err == nil {
		t.checkpointAt = time.Now().Add(length)
	}
}

// renew sends a report. The answer may take as long as the owner holds it.
func (w *worker) renew() {
	w.seq++
	w.step(agent.RenewalSent{Seq: w.seq})
	body, err := json.Marshal(w.agent.Report())
	if err != nil {
		return
	}
	w.sent = body
	interval := w.agent.RenewalInterval(w.now())
	w.next = time.Now().Add(interval)
	go w.exchange(w.life, w.seq, body, interval*9/10)
}

// renewIfChanged reports progress at once.
func (w *worker) renewIfChanged() {
	body, err := json.Marshal(w.agent.Report())
	if err == nil && !bytes.Equal(body, w.sent) {
		w.renew()
	}
}

// exchange sends one renewal to the hosts until one answers.
func (w *worker) exchange(life int, seq uint64, body []byte, hold time.Duration) {
	w.mu.Lock()
	order := w.hosts.Order()
	w.mu.Unlock()
	for _, host := range order {
		orders, ok := w.fleet.post(host, body, hold)
		if ok {
			w.answered(life, seq, host, orders)
			return
		}
		w.failed(host)
	}
}

func (w *worker) failed(host string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.hosts.Failed(w.now(), host)
}

func (w *worker) answered(life int, seq uint64, host string, orders structs.WorkerOrders) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.hosts.Answered(w.now(), host, orders.Owner)
	if life != w.life {
		return
	}
	if orders.Lease > 0 {
		w.fleet.tracker.ordered(w.self.Domain, orders.Term)
	}
	w.step(agent.OrdersReceived{Seq: seq, Orders: orders})
	w.renewIfChanged()
}
