package fleet_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/go-logr/logr"

	"cranberrydrum.dev/scheduler/fleet"
	"cranberrydrum.dev/scheduler/workload"
)

// The model plays executors, the network and the replicated log in virtual
// time around the real controller, and checks what executors may never see.

const (
	modelTick   = 20 * time.Millisecond
	modelLease  = 6 * time.Second
	modelReport = 1500 * time.Millisecond
	modelStop   = 200 * time.Millisecond
	gangWait    = 3 * time.Second
	// tailTime is how long runs can take after the last fault: late orders, a
	// lease, and the work of the longest job several times over.
	tailTime = 90 * time.Second
	// drainTime is how long an executor stays after its farewell, drainBound the
	// time after its acknowledgement from which on nothing may start there.
	drainTime  = 6 * time.Second
	drainBound = 3 * time.Second
	// cancelBound is the time after a cancel from which on nothing may start.
	cancelBound = 3 * time.Second
)

type modelRun struct {
	task    workload.TaskKey
	run     int
	started time.Duration
	finish  time.Duration
	fails   bool
	stopAt  time.Duration
	// whole is set once the task was at work, for a gang together with all others.
	whole      bool
	checkpoint string
}

type modelExecutor struct {
	key      workload.ExecutorKey
	address  string
	capacity workload.Resources
	born     time.Duration
	rate     float64
	token    uint64
	lease    time.Duration
	running  map[workload.TaskKey]*modelRun
	barred   map[workload.TaskKey]int
	ended    []fleet.EndedRun
	// endedAt is when a run ended, or -1 once a lease has lapsed since.
	endedAt   map[int64]time.Duration
	overtaken map[int64]bool
	number    int64
	up        bool
	cut       bool
	// leaves is when a draining executor ends, or 0.
	leaves   time.Duration
	sequence int64
	nextBeat time.Duration
	holds    []*pendingCall
}

func (e *modelExecutor) clock(now time.Duration) time.Duration {
	return time.Duration(float64(now-e.born)*e.rate) + time.Second
}

type pendingCall struct {
	call     fleet.Call
	leader   *leader
	executor workload.ExecutorKey
	at       time.Duration
	lost     bool
	late     bool
	until    time.Duration
}

type pendingAnswer struct {
	call   fleet.Call
	leader *leader
	answer fleet.Answer
	at     time.Duration
}

type entry struct {
	term uint64
	data []byte
	at   time.Duration
}

type leader struct {
	controller *fleet.Controller
	term       uint64
}

// faults are probabilities for each call, and for each second where so named.
type faults struct {
	loseAnswer, late, fail       float64
	crash, cut, newLeader, drain float64
}

type world struct {
	rng       *rand.Rand
	now       time.Duration
	state     *workload.State
	leader    *leader
	executors []*modelExecutor
	log       []entry
	calls     []*pendingCall
	answers   []*pendingAnswer
	faults    faults
	// ends is when a run of a task first ended as done; noted is set once such
	// an end was acknowledged for good.
	ends  map[workload.TaskKey]time.Duration
	noted map[workload.TaskKey]bool
	// failures counts the failed ends of a task, or of a gang by its first member,
	// that were acknowledged.
	failures map[workload.TaskKey]map[int]bool
	// failed counts all failed ends in the same way.
	failed map[workload.TaskKey]map[int]bool
	// cancelled is when the cancel of a job was stored, drained when the farewell
	// of an executor was.
	cancelled map[string]time.Duration
	drained   map[workload.ExecutorKey]time.Duration
	// promised is when jobs have to have begun, begun holds the tasks that have.
	promised map[string]time.Duration
	begun    map[workload.TaskKey]bool
	// poison holds the jobs that can never be done.
	poison map[string]bool
	// calm is set in a world that never has faults.
	calm   bool
	broken string
	lives  int
}

var modelSettings = fleet.Settings{
	Lease: modelLease, StopTime: modelStop, GangWait: gangWait, Reclaim: 2700 * time.Millisecond, ReportInterval: modelReport,
	Retention: time.Hour, SpreadFactor: 3,
}

func newWorld(seed uint64, executors int, f faults) *world {
	w := &world{
		rng: rand.New(rand.NewPCG(seed, 1)), state: workload.New(), faults: f, now: time.Minute,
		ends: map[workload.TaskKey]time.Duration{}, noted: map[workload.TaskKey]bool{},
		failures: map[workload.TaskKey]map[int]bool{}, failed: map[workload.TaskKey]map[int]bool{}, cancelled: map[string]time.Duration{}, drained: map[workload.ExecutorKey]time.Duration{},
		promised: map[string]time.Duration{}, begun: map[workload.TaskKey]bool{}, poison: map[string]bool{},
	}
	w.apply(&workload.Command{Configure: modelConfig()}, 1)
	w.leader = &leader{term: 2}
	w.leader.controller = fleet.New(modelSettings, w.state, 2, w.now, logr.Discard())
	for range executors {
		w.executors = append(w.executors, w.newExecutor(fmt.Sprintf("10.0.0.%d:80", len(w.executors))))
	}
	return w
}

func modelConfig() *workload.Config {
	return &workload.Config{
		Version: 1, Document: []byte("{}"), Services: []workload.Service{{Name: "s"}},
		Queues:    []workload.Queue{{Name: "q", Service: "s", Timeout: time.Second}},
		Customers: []workload.Customer{{Name: "a", GuaranteedGPU: 8}},
	}
}

func (w *world) newExecutor(address string) *modelExecutor {
	w.lives++
	return &modelExecutor{
		key:     workload.ExecutorKey{ID: fmt.Sprintf("i-%d", w.lives), Born: w.now.Milliseconds()},
		address: address, capacity: workload.Resources{CPU: 16000, MemoryMB: 64000, GPU: 8}, born: w.now,
		rate: 1 - 0.02*w.rng.Float64(), running: map[workload.TaskKey]*modelRun{}, barred: map[workload.TaskKey]int{},
		endedAt: map[int64]time.Duration{}, overtaken: map[int64]bool{}, up: true,
	}
}

func (w *world) fail(format string, args ...any) {
	if w.broken == "" {
		w.broken = fmt.Sprintf("at %v: ", w.now) + fmt.Sprintf(format, args...)
	}
}

func (w *world) chance(p float64) bool { return w.rng.Float64() < p }

func (w *world) apply(c *workload.Command, term uint64) {
	data, err := c.Encode()
	if err != nil {
		w.fail("encode: %v", err)
		return
	}
	w.state.Apply(0, term, data)
}

func (w *world) propose(commands []*workload.Command) {
	for _, c := range commands {
		data, err := c.Encode()
		if err != nil {
			w.fail("encode: %v", err)
			return
		}
		w.log = append(w.log, entry{term: w.leader.term, data: data, at: w.now + 40*time.Millisecond})
	}
}

func (w *world) take(out fleet.Output) {
	w.propose(out.Commands)
	// The controller goes through maps; the same seed has to play the same.
	slices.SortFunc(out.Calls, func(a, b fleet.Call) int {
		return strings.Compare(fmt.Sprint(a.Executor, a.Kind, a.Task), fmt.Sprint(b.Executor, b.Kind, b.Task))
	})
	for _, call := range out.Calls {
		p := &pendingCall{call: call, leader: w.leader, executor: call.Executor, at: w.now + w.delay()}
		p.lost = w.chance(w.faults.loseAnswer)
		if w.chance(w.faults.late) {
			p.lost, p.late = true, true
			p.at = w.now + 2*time.Second + time.Duration(w.rng.Int64N(int64(10*time.Second)))
		}
		w.calls = append(w.calls, p)
		if p.lost {
			w.answer(p, fleet.Answer{Verdict: fleet.VerdictUnknown}, w.now+call.Timeout)
		}
	}
}

func (w *world) delay() time.Duration {
	return time.Millisecond + time.Duration(w.rng.Int64N(int64(40*time.Millisecond)))
}

func (w *world) answer(p *pendingCall, a fleet.Answer, at time.Duration) {
	w.answers = append(w.answers, &pendingAnswer{call: p.call, leader: p.leader, answer: a, at: at})
}

// run advances the world.
func (w *world) run(span time.Duration) {
	for end := w.now + span; w.now < end && w.broken == ""; {
		w.now += modelTick
		w.cause()
		w.commit()
		w.deliver()
		w.work()
		w.checkPromises()
		w.take(w.leader.controller.Step(w.now, w.now))
	}
}

// cause lets faults happen.
func (w *world) cause() {
	second := float64(modelTick) / float64(time.Second)
	for i, e := range w.executors {
		if e.leaves == 0 && w.chance(w.faults.drain*second) {
			e.leaves, e.nextBeat = w.now+drainTime, w.now
		}
		if w.chance(w.faults.crash*second) || (e.leaves > 0 && w.now >= e.leaves) {
			// A new life at the same address, which knows nothing.
			w.crash(e)
			w.executors[i] = w.newExecutor(e.address)
			continue
		}
		if e.cut {
			e.cut = !w.chance(second / 5)
			continue
		}
		e.cut = w.chance(w.faults.cut * second)
	}
	if w.chance(w.faults.newLeader * second) {
		w.changeLeader()
	}
}

func (w *world) crash(e *modelExecutor) {
	e.up = false
	e.running = map[workload.TaskKey]*modelRun{}
}

// changeLeader drops some of what the old leader proposed last.
func (w *world) changeLeader() {
	keep := 0
	if len(w.log) > 0 {
		keep = w.rng.IntN(len(w.log) + 1)
	}
	for _, e := range w.log[:keep] {
		w.state.Apply(0, e.term, e.data)
	}
	w.log = nil
	w.leader = &leader{term: w.leader.term + 1}
	w.leader.controller = fleet.New(modelSettings, w.state, w.leader.term, w.now, logr.Discard())
}

func (w *world) commit() {
	for len(w.log) > 0 && w.log[0].at <= w.now {
		w.state.Apply(0, w.log[0].term, w.log[0].data)
		w.log = w.log[1:]
	}
}

func (w *world) executor(key workload.ExecutorKey) *modelExecutor {
	for _, e := range w.executors {
		if e.key == key {
			return e
		}
	}
	return nil
}

func (w *world) deliver() {
	var later []*pendingCall
	for _, p := range w.calls {
		if p.at > w.now {
			later = append(later, p)
			continue
		}
		w.carryOut(p)
	}
	w.calls = later
	var waiting []*pendingAnswer
	for _, a := range w.answers {
		if a.at > w.now {
			waiting = append(waiting, a)
			continue
		}
		if a.leader == w.leader {
			w.take(w.leader.controller.Answered(w.now, w.now, a.call, a.answer))
		}
	}
	w.answers = append(w.answers[:0:0], append(waiting, w.answers[len(w.answers):]...)...)
}

func (w *world) carryOut(p *pendingCall) {
	e := w.executor(p.executor)
	if e == nil || !e.up || e.cut {
		if !p.lost {
			p.lost = true
			w.answer(p, fleet.Answer{Verdict: fleet.VerdictUnknown}, p.call.IssuedAt+p.call.Timeout)
		}
		return
	}
	if p.call.Token < e.token {
		w.reply(e, p, fleet.Answer{Verdict: fleet.VerdictFenced, Reason: "fence"})
		return
	}
	e.token = p.call.Token
	if p.call.Deadline > 0 {
		e.lease = max(e.lease, min(p.call.Deadline, e.clock(w.now)+modelLease))
	}
	switch p.call.Kind {
	case fleet.CallStart:
		w.reply(e, p, w.start(e, p))
	case fleet.CallStop:
		w.stop(e, &p.call)
		w.reply(e, p, fleet.Answer{Verdict: fleet.VerdictAccepted})
	case fleet.CallHold:
		w.acknowledge(e, p.call.Cursor)
		p.until = w.now + p.call.Wait
		e.holds = append(e.holds, p)
	}
}

func (w *world) reply(e *modelExecutor, p *pendingCall, a fleet.Answer) {
	if p.lost {
		return
	}
	a.Clock, a.Born = e.clock(w.now), e.key.Born
	w.answer(p, a, w.now+w.delay())
}

func (w *world) start(e *modelExecutor, p *pendingCall) fleet.Answer {
	call := &p.call
	if r := e.running[call.Task]; r != nil && r.run == call.Run {
		return fleet.Answer{Verdict: fleet.VerdictAccepted}
	}
	if call.Run <= e.barred[call.Task] {
		return fleet.Answer{Verdict: fleet.VerdictRefused, Reason: "old"}
	}
	if call.Deadline <= e.clock(w.now) {
		return fleet.Answer{Verdict: fleet.VerdictRefused, Reason: "late"}
	}
	w.checkStart(e, call)
	if !p.late {
		w.checkTimes(e, call)
	}
	_, task := w.state.TaskOf(call.Task)
	step := w.step(call.Task)
	r := &modelRun{task: call.Task, run: call.Run, started: w.now, fails: w.chance(w.faults.fail) || w.poison[call.Task.Job]}
	r.finish = w.now + step.Estimate/2 + time.Duration(w.rng.Int64N(int64(step.Estimate)+1))
	if task != nil && task.Checkpoint != "" {
		r.checkpoint = task.Checkpoint
	}
	e.running[call.Task] = r
	w.begun[call.Task] = true
	return fleet.Answer{Verdict: fleet.VerdictAccepted}
}

func (w *world) step(key workload.TaskKey) *workload.Step {
	return &w.state.Job(key.Job).Spec.Steps[key.Step]
}

// checkStart is where the rules on starts are checked.
func (w *world) checkStart(e *modelExecutor, call *fleet.Call) {
	used := w.step(call.Task).Room()
	for key := range e.running {
		used = used.Add(w.step(key).Room())
	}
	if !used.Fits(e.capacity) {
		w.fail("LIMIT: %v on %s needs %v of %v", call.Task, e.key.ID, used, e.capacity)
	}
	for _, other := range w.executors {
		if r := other.running[call.Task]; r != nil {
			w.fail("TWICE: %v run %d starts on %s while run %d is on %s", call.Task, call.Run, e.key.ID, r.run, other.key.ID)
		}
	}
	if w.noted[call.Task] {
		w.fail("TWICE: %v run %d starts after an acknowledged end", call.Task, call.Run)
	}
	for _, other := range w.executors {
		for _, end := range other.ended {
			if end.Ending == workload.EndDone && end.Task == call.Task {
				// An acknowledgement of that end from now on breaks the rule.
				other.overtaken[end.Number] = true
			}
		}
	}
	job := w.state.Job(call.Task.Job)
	for _, d := range w.step(call.Task).DependsOn {
		for n := range job.Spec.Steps[d].Count {
			key := workload.TaskKey{Job: job.ID, Occurrence: call.Task.Occurrence, Step: d, Index: n}
			if _, done := w.ends[key]; !done {
				w.fail("ORDER: %v starts before %v is done", call.Task, key)
			}
		}
	}
}

// checkTimes checks the rules with a time bound, which do not hold for orders
// that are carried out late.
func (w *world) checkTimes(e *modelExecutor, call *fleet.Call) {
	job := w.state.Job(call.Task.Job)
	if at, cancelled := w.cancelled[job.ID]; cancelled && w.now > at+cancelBound {
		w.fail("UNASKED: %v starts %v after the cancel of its job", call.Task, w.now-at)
	}
	if at, drained := w.drained[e.key]; drained && w.now > at+drainBound {
		w.fail("DRAIN: %v starts on %s %v after its farewell was acknowledged", call.Task, e.key.ID, w.now-at)
	}
	if failed := len(w.failures[w.counted(call.Task)]); failed >= job.MaxAttempts {
		w.fail("BUDGET: %v starts after %d failed runs of %d", call.Task, failed, job.MaxAttempts)
	}
}

// counted is the task by whose name failures are counted: a gang fails as one.
func (w *world) counted(key workload.TaskKey) workload.TaskKey {
	if w.step(key).Gang {
		key.Index = 0
	}
	return key
}

// cancel cancels a job.
func (w *world) cancel(id string) {
	w.apply(&workload.Command{At: w.now, Cancel: id}, w.leader.term)
	w.cancelled[id] = w.now
}

func (w *world) stop(e *modelExecutor, call *fleet.Call) {
	e.barred[call.Task] = max(e.barred[call.Task], call.Run)
	if r := e.running[call.Task]; r != nil && r.run <= call.Run && r.stopAt == 0 {
		r.stopAt = w.now + time.Duration(w.rng.Int64N(int64(modelStop)))
	}
}

func (w *world) acknowledge(e *modelExecutor, cursor int64) {
	e.ended = slices.DeleteFunc(e.ended, func(end fleet.EndedRun) bool {
		if end.Number > cursor {
			return false
		}
		if end.Ending == workload.EndDone && e.endedAt[end.Number] >= 0 {
			if e.overtaken[end.Number] {
				w.fail("TWICE: the end of %v is acknowledged after another start", end.Task)
			}
			w.noted[end.Task] = true
		}
		if end.Ending == workload.EndFailed {
			w.count(w.failures, end.Task, end.Run)
		}
		return true
	})
}

func (w *world) count(failures map[workload.TaskKey]map[int]bool, task workload.TaskKey, run int) {
	key := w.counted(task)
	if failures[key] == nil {
		failures[key] = map[int]bool{}
	}
	failures[key][run] = true
}

func (w *world) end(e *modelExecutor, r *modelRun, how workload.Ending) {
	delete(e.running, r.task)
	e.barred[r.task] = max(e.barred[r.task], r.run)
	e.number++
	e.ended = append(e.ended, fleet.EndedRun{Number: e.number, Task: r.task, Run: r.run, Ending: how, Checkpoint: r.checkpoint})
	e.endedAt[e.number] = w.now
	if how == workload.EndFailed {
		w.count(w.failed, r.task, r.run)
	}
	if how != workload.EndDone {
		return
	}
	if w.ends[r.task] == 0 {
		w.ends[r.task] = w.now
	}
	w.gangDone(r)
}

// gangDone ends the other members of a gang together with one of them.
func (w *world) gangDone(r *modelRun) {
	if !w.step(r.task).Gang {
		return
	}
	for n := range w.step(r.task).Count {
		key := r.task
		key.Index = n
		if w.ends[key] == 0 {
			w.ends[key] = w.now
		}
	}
}

func (w *world) work() {
	for _, e := range w.executors {
		if !e.up {
			continue
		}
		if e.clock(w.now) >= e.lease {
			for _, r := range e.running {
				w.end(e, r, workload.EndLapsed)
			}
			for n := range e.endedAt {
				// A lapse between an end and its acknowledgement lifts the rule.
				e.endedAt[n] = -1
			}
		}
		for _, r := range e.running {
			w.progress(e, r)
		}
		w.answerHolds(e)
		w.beat(e)
	}
}

func (w *world) progress(e *modelExecutor, r *modelRun) {
	switch {
	case r.stopAt > 0 && w.now >= r.stopAt:
		w.end(e, r, workload.EndStopped)
	case w.step(r.task).Gang && !w.gangPresent(r) && r.whole:
		w.end(e, r, workload.EndBroken)
	case w.step(r.task).Gang && !r.whole && !w.gangPresent(r):
		if w.now > r.started+gangWait {
			if w.faults == (faults{}) && w.calm {
				w.fail("GANG: %v run %d waited for the others in vain", r.task, r.run)
			}
			w.end(e, r, workload.EndAlone)
		}
		r.finish = max(r.finish, w.now+modelTick)
	case !r.whole:
		r.whole = true
	case w.now >= r.finish && r.fails:
		w.end(e, r, workload.EndFailed)
	case w.now >= r.finish:
		w.end(e, r, workload.EndDone)
	}
}

func (w *world) gangPresent(r *modelRun) bool {
	present := 0
	for _, e := range w.executors {
		for _, other := range e.running {
			if other.task.Job == r.task.Job && other.task.Step == r.task.Step && other.run == r.run {
				present++
			}
		}
	}
	done := 0
	for n := range w.step(r.task).Count {
		key := r.task
		key.Index = n
		if w.ends[key] != 0 {
			done++
		}
	}
	return present == w.step(r.task).Count || done > 0
}

func (w *world) answerHolds(e *modelExecutor) {
	e.holds = slices.DeleteFunc(e.holds, func(p *pendingCall) bool {
		if len(e.ended) == 0 && w.now < p.until {
			return false
		}
		a := fleet.Answer{Verdict: fleet.VerdictAccepted, Complete: true, Ended: slices.Clone(e.ended)}
		for _, r := range e.running {
			a.Running = append(a.Running, fleet.RunningTask{Task: r.task, Run: r.run, Checkpoint: r.checkpoint, Percent: w.percent(r)})
		}
		if e.cut && !p.lost {
			p.lost = true
			w.answer(p, fleet.Answer{Verdict: fleet.VerdictUnknown}, p.call.IssuedAt+p.call.Timeout)
			return true
		}
		w.reply(e, p, a)
		return true
	})
}

func (w *world) beat(e *modelExecutor) {
	if w.now < e.nextBeat || e.cut {
		return
	}
	e.nextBeat = w.now + modelReport
	e.sequence++
	_, enroll := w.leader.controller.Report(w.now, fleet.Report{
		Executor: e.key, Sequence: e.sequence, Service: "s", Address: e.address, Zone: "z", Capacity: e.capacity,
		Labels: []string{"a", w.rackOf(e)}, Clock: e.clock(w.now), Draining: e.leaves > 0, DrainRemaining: max(0, e.leaves-w.now),
	})
	if entry := w.state.Executor(e.key.ID); entry != nil && entry.Key == e.key && entry.Draining && w.drained[e.key] == 0 {
		w.drained[e.key] = w.now
	}
	if enroll != nil {
		w.propose([]*workload.Command{{At: w.now, Enroll: enroll}})
	}
}

// rackOf puts two neighbouring addresses on one rack.
func (w *world) rackOf(e *modelExecutor) string {
	for i, other := range w.executors {
		if other == e {
			return fmt.Sprintf("r1-%d", i/2)
		}
	}
	return "r1-0"
}

// submit hands in a job of random shape.
func (w *world) submit(n int) string {
	id := fmt.Sprintf("%016x", n)
	steps := 1 + w.rng.IntN(2)
	j := &workload.Job{ID: id, Queue: "q", Service: "s", Customer: "a", Priority: w.rng.IntN(3), MaxAttempts: 12, Stretch: 2, Target: time.Second}
	for i := range steps {
		s := workload.Step{
			Count: 1 + w.rng.IntN(4), Estimate: time.Duration(500+w.rng.IntN(4000)) * time.Millisecond,
			Need: workload.Resources{CPU: 2000, MemoryMB: 1000, GPU: int64(1) << w.rng.IntN(4)}, Gang: w.chance(0.4), SameRack: w.chance(0.3),
		}
		if i > 0 {
			s.DependsOn = []int{i - 1}
		}
		j.Spec.Steps = append(j.Spec.Steps, s)
	}
	if w.chance(w.faults.fail) {
		w.poison[id] = true
		j.MaxAttempts = 3
	}
	w.apply(&workload.Command{At: w.now, Submit: j}, w.leader.term)
	return id
}

// promise remembers a job that has to begin in time if all urgent jobs of its
// customer that have not ended need no more than its guarantee.
func (w *world) promise(j *workload.Job) {
	need := int64(0)
	w.state.Jobs(func(other *workload.Job) {
		if other.Priority == 0 && !other.Phase.Ended() {
			need += gpuNeed(other)
		}
	})
	if need <= w.state.Guaranteed(j.Customer) {
		w.promised[j.ID] = w.now + modelSettings.Reclaim
	}
}

// gpuNeed is the number of accelerators that the widest step of a job needs.
func gpuNeed(j *workload.Job) int64 {
	widest := int64(0)
	for _, s := range j.Spec.Steps {
		widest = max(widest, int64(s.Count)*s.Need.GPU)
	}
	return widest
}

// checkPromises checks the jobs whose time to begin is up.
func (w *world) checkPromises() {
	for id, due := range w.promised {
		if w.now < due {
			continue
		}
		delete(w.promised, id)
		j := w.state.Job(id)
		for n := range j.Occurrences[0].Steps[0].Tasks {
			key := workload.TaskKey{Job: id, Index: n}
			if !w.begun[key] {
				w.fail("RECLAIM: %v of %+v has not begun", key, j.Spec.Steps[0])
			}
		}
	}
}

// explained reports whether a job has ended as it may.
func (w *world) explained(j *workload.Job) bool {
	switch j.Phase {
	case workload.Completed:
		return true
	case workload.Cancelled:
		_, cancelled := w.cancelled[j.ID]
		return cancelled
	case workload.Failed:
		for key, runs := range w.failed {
			if key.Job == j.ID && len(runs) >= j.MaxAttempts {
				return true
			}
		}
	}
	return false
}

// percent is the progress of a run; a gang that is not whole makes none.
func (w *world) percent(r *modelRun) int {
	span := r.finish - r.started
	return int(100 * (w.now - r.started) / max(span, 1))
}
