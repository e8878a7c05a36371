package target

import (
	"bytes"
	"encoding/json"
	"sync"
	"time"

	"cranberrydrum.dev/scheduler/agent"
	"cranberrydrum.dev/scheduler/structs"
)

// worker simulates a worker: an agent, and the end times of its tasks. The timer of
// the fleet calls tick.
type worker struct {
	fleet *fleet
	self  structs.Worker

	mu    sync.Mutex
	hosts *agent.HostList
	agent *agent.Agent
	// generation counts the restarts. Responses to renewals of an earlier generation
	// are discarded.
	generation  int
	seq         uint64
	lastReport  []byte
	nextRenewal time.Time
	tasks       map[memberID]*task
}

// task is one running task. A zero time means that no checkpoint is in progress, or
// that the task has no end.
type task struct {
	command      []string
	checkpointAt time.Time
	endAt        time.Time
}

// neverCompletes as the third word of a command is a checkpoint that does not
// complete. A duration there is the duration of the checkpoint. The second word of a
// command is the run time.
const neverCompletes = "never"

func (w *worker) now() time.Duration { return time.Since(w.fleet.start) }

// restart starts a new generation of the worker. Its tasks end without a report to
// the owner.
func (w *worker) restart() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for id := range w.tasks {
		w.fleet.tracker.recordEnd(w.self.Domain, id, true, false)
	}
	w.generation++
	w.agent = agent.New(w.self, uint64(time.Now().UnixNano()))
	w.tasks = map[memberID]*task{}
	w.seq, w.lastReport = 0, nil
	w.nextRenewal = time.Now()
}

// tick handles expired deadlines, ends tasks and renews the lease when due.
func (w *worker) tick(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.agent == nil {
		return
	}
	if deadline, ok := w.agent.Deadline(); ok && w.now() >= deadline {
		w.step(agent.Timer{})
	}
	changed := w.finishDueTasks(now)
	switch {
	case !now.Before(w.nextRenewal):
		w.renew()
	case changed:
		w.renewIfChanged()
	}
}

// finishDueTasks ends the tasks and checkpoints whose end time has passed and reports
// whether there were any.
func (w *worker) finishDueTasks(now time.Time) bool {
	changed := false
	for id, t := range w.tasks {
		if !t.checkpointAt.IsZero() && !now.Before(t.checkpointAt) {
			t.checkpointAt = time.Time{}
			w.step(agent.CheckpointDone{Job: id.job, Run: id.run})
			changed = true
		}
		if !t.endAt.IsZero() && !now.Before(t.endAt) {
			w.endTask(id, false, false)
			w.step(agent.TaskExited{Job: id.job, Run: id.run})
			changed = true
		}
	}
	return changed
}

func (w *worker) endTask(id memberID, stopped, forced bool) {
	delete(w.tasks, id)
	w.fleet.tracker.recordEnd(w.self.Domain, id, stopped, forced)
}

// step passes an event to the agent and carries out the resulting effects.
func (w *worker) step(event agent.Event) {
	for _, effect := range w.agent.Step(w.now(), event) {
		switch e := effect.(type) {
		case agent.StartTask:
			w.startTask(e)
		case agent.StopTask:
			w.endTask(memberID{e.Job, e.Run, w.self.ID}, true, e.Force)
			w.step(agent.TaskExited{Job: e.Job, Run: e.Run, Failed: true, Error: "stopped"})
		case agent.CheckpointTask:
			w.startCheckpoint(memberID{e.Job, e.Run, w.self.ID})
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
	w.fleet.tracker.recordStart(w.self.Domain, id, len(e.Accelerators))
}

// startCheckpoint schedules the end of a checkpoint.
func (w *worker) startCheckpoint(id memberID) {
	t := w.tasks[id]
	if t == nil || len(t.command) < 3 || t.command[2] == neverCompletes {
		return
	}
	length, err := time.ParseDuration(t.command[2])
	if err == nil {
		t.checkpointAt = time.Now().Add(length)
	}
}

// renew sends a report in another goroutine. The owner may hold the response until
// shortly before the next renewal.
func (w *worker) renew() {
	w.seq++
	w.step(agent.RenewalSent{Seq: w.seq})
	body, err := json.Marshal(w.agent.Report())
	if err != nil {
		return
	}
	w.lastReport = body
	interval := w.agent.RenewalInterval(w.now())
	w.nextRenewal = time.Now().Add(interval)
	go w.sendRenewal(w.generation, w.seq, body, interval*9/10)
}

// renewIfChanged renews immediately if the report has changed.
func (w *worker) renewIfChanged() {
	body, err := json.Marshal(w.agent.Report())
	if err == nil && !bytes.Equal(body, w.lastReport) {
		w.renew()
	}
}

// sendRenewal sends a renewal to the hosts in turn until one returns orders.
func (w *worker) sendRenewal(generation int, seq uint64, body []byte, hold time.Duration) {
	w.mu.Lock()
	order := w.hosts.Order()
	w.mu.Unlock()
	for _, host := range order {
		orders, ok := w.fleet.postRenewal(host, body, hold)
		if ok {
			w.handleOrders(generation, seq, host, orders)
			return
		}
		w.recordFailure(host)
	}
}

func (w *worker) recordFailure(host string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.hosts.RecordFailure(w.now(), host)
}

// handleOrders passes orders to the agent unless the worker has restarted since the
// renewal was sent.
func (w *worker) handleOrders(generation int, seq uint64, host string, orders structs.WorkerOrders) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.hosts.RecordResponse(w.now(), host, orders.Owner)
	if generation != w.generation {
		return
	}
	if orders.Lease > 0 {
		w.fleet.tracker.recordTerm(w.self.Domain, orders.Term)
	}
	w.step(agent.OrdersReceived{Seq: seq, Orders: orders})
	w.renewIfChanged()
}
