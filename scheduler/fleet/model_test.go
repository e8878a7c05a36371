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

// The model simulates executors, the network and the replicated log in virtual
// time around the real controller, and checks the calls that executors receive.

const (
	modelTick           = 20 * time.Millisecond
	modelLease          = 6 * time.Second
	modelReportInterval = 1500 * time.Millisecond
	modelStopTime       = 200 * time.Millisecond
	gangWait            = 3 * time.Second
	// settleTime is how long runs can take after the last fault: delayed
	// orders, a lease, and the work of the longest job several times over.
	settleTime = 90 * time.Second
	// drainTime is how long an executor stays after its departure notice.
	// drainStartBound is the time after the acknowledgement from which nothing
	// may start there.
	drainTime       = 6 * time.Second
	drainStartBound = 3 * time.Second
	// maxUnacknowledged is the longest time for which an executor stays after a
	// deregistration that was not acknowledged.
	maxUnacknowledged = 5 * time.Second
	// modelListedEnds is how many ended runs an executor lists at a time.
	modelListedEnds = 2
	// cancelStartBound is the time after a cancel from which nothing may start.
	cancelStartBound = 3 * time.Second
)

type modelRun struct {
	task    workload.TaskKey
	run     int
	started time.Duration
	finish  time.Duration
	fails   bool
	stopAt  time.Duration
	// isRunning is set once the task is running. Members of a gang start running
	// together.
	isRunning  bool
	checkpoint string
}

type modelExecutor struct {
	key       workload.ExecutorKey
	address   string
	service   string
	capacity  workload.Resources
	bornAt    time.Duration
	clockRate float64
	token     uint64
	lease     time.Duration
	running   map[workload.TaskKey]*modelRun
	// closedRuns is the highest run number of each task that can no longer start.
	closedRuns map[workload.TaskKey]int
	ended      []fleet.EndedRun
	// endedAt is when a run ended, by the number of the end, or -1 if a lease has
	// expired since. restartedAfter is set if another run of the task was started
	// after the end.
	endedAt        map[int64]time.Duration
	restartedAfter map[int64]bool
	lastEndNumber  int64
	up             bool
	partitioned    bool
	// leavesAt is when a draining executor ends, or 0.
	leavesAt     time.Duration
	sequence     int64
	nextReportAt time.Duration
	// deregisteredAt is when the executor was told that its deregistration is
	// stored, or 0. Its last report may still arrive after that.
	deregisteredAt time.Duration
	holds          []*pendingCall
}

func (e *modelExecutor) clock(now time.Duration) time.Duration {
	return time.Duration(float64(now-e.bornAt)*e.clockRate) + time.Second
}

type pendingCall struct {
	call     fleet.Call
	leader   *leader
	executor workload.ExecutorKey
	// at is the delivery time of the call.
	at time.Duration
	// lost is set if the leader gets no response from the executor.
	lost bool
	// late is set if the executor carries out the call after several seconds. It receives
	// it at receivedAt, and what it has received is lost when it ends.
	late       bool
	receivedAt time.Duration
	receiver   *modelExecutor
	// until is the end of the wait of a hold.
	until time.Duration
}

type pendingResponse struct {
	call     fleet.Call
	leader   *leader
	response fleet.Response
	at       time.Duration
}

type logEntry struct {
	term uint64
	data []byte
	at   time.Duration
}

type leader struct {
	controller *fleet.Controller
	term       uint64
}

// faults are probabilities: per call for the first three, per second for the
// others unless stated.
type faults struct {
	loseResponse, delayCall, fail      float64
	crash, partition, newLeader, drain float64
	// pause and leave are per second, notSend per call.
	pause, leave, notSend float64
	// refuse is per call that an executor receives, whether or not it has been
	// sent before.
	refuse float64
	// foreign is the number per second of reports that are late or come from another
	// sender, restart the probability that an executor keeps its ID in its next start.
	foreign, restart float64
	// requeue is the number per second of configurations that change the queue.
	requeue float64
	// evacuate is the number per second of evacuation orders.
	evacuate float64
}

type cluster struct {
	rng       *rand.Rand
	now       time.Duration
	state     *workload.State
	leader    *leader
	executors []*modelExecutor
	// over holds the incarnations that are over.
	over      []*modelExecutor
	log       []logEntry
	calls     []*pendingCall
	responses []*pendingResponse
	faults    faults
	// doneAt is when a run of a task first ended as done. doneAcknowledged is
	// set once such an end was acknowledged.
	doneAt           map[workload.TaskKey]time.Duration
	doneAcknowledged map[workload.TaskKey]bool
	// acknowledgedFailures holds the failed runs of a task whose ends were
	// acknowledged. Those of a gang are stored under its first member.
	acknowledgedFailures map[workload.TaskKey]map[int]bool
	// allFailures holds all failed runs, by the same key.
	allFailures map[workload.TaskKey]map[int]bool
	// cancelled is when the cancel of a job was stored, drained when the
	// departure notice of an executor was stored.
	cancelled map[string]time.Duration
	drained   map[workload.ExecutorKey]time.Duration
	// startDue is when a job must have started. hasStarted holds the tasks that
	// have.
	startDue   map[string]time.Duration
	hasStarted map[workload.TaskKey]bool
	// alwaysFails holds the jobs whose runs always fail.
	alwaysFails map[string]bool
	// evacuated is when the evacuation of a failure domain was stored.
	evacuated map[string]time.Duration
	// queues records which service the queue at modelPlace has had.
	queues queueHistory
	// faultFree is set if the simulation never has faults.
	faultFree bool
	// listedEnds is how many ended runs an executor lists at a time.
	listedEnds int
	// settings are those of each leader.
	settings fleet.Settings
	// hasAwaitedLabel is set once the executors carry awaitedLabel.
	hasAwaitedLabel bool
	// pausedUntil is the end of the present pause of the leader.
	pausedUntil  time.Duration
	violation    string
	incarnations int
}

var modelSettings = fleet.Settings{
	Lease: modelLease, StopTime: modelStopTime, GangWait: gangWait, ReclaimTime: 2700 * time.Millisecond, ReportInterval: modelReportInterval,
	Retention: time.Hour, SpreadFactor: 3,
}

func newCluster(seed uint64, executors int, f faults) *cluster {
	cl := &cluster{
		rng: rand.New(rand.NewPCG(seed, 1)), state: workload.New(), faults: f, now: time.Minute,
		doneAt: map[workload.TaskKey]time.Duration{}, doneAcknowledged: map[workload.TaskKey]bool{},
		acknowledgedFailures: map[workload.TaskKey]map[int]bool{}, allFailures: map[workload.TaskKey]map[int]bool{}, cancelled: map[string]time.Duration{}, drained: map[workload.ExecutorKey]time.Duration{},
		startDue: map[string]time.Duration{}, hasStarted: map[workload.TaskKey]bool{}, alwaysFails: map[string]bool{}, evacuated: map[string]time.Duration{}, queues: queueHistory{current: "s"},
		settings: modelSettings, listedEnds: modelListedEnds,
	}
	cl.apply(&workload.Command{Configure: modelConfig()}, 1)
	cl.leader = &leader{term: 2}
	cl.leader.controller = fleet.New(cl.settings, cl.state, 2, cl.now, logr.Discard())
	for range executors {
		cl.executors = append(cl.executors, cl.newExecutor(fmt.Sprintf("10.0.0.%d:80", len(cl.executors))))
	}
	return cl
}

func modelConfig() *workload.Config {
	return &workload.Config{
		Version: 1, Document: []byte("{}"), Services: []workload.Service{{Name: "s"}},
		Queues:    []workload.Queue{{Name: "q", Host: modelPlace.Host, Prefix: modelPlace.Prefix, Service: "s", Timeout: time.Second}},
		Customers: []workload.Customer{{Name: "a", GuaranteedGPU: 8}},
	}
}

func (cl *cluster) newExecutor(address string) *modelExecutor {
	cl.incarnations++
	return &modelExecutor{
		key:     workload.ExecutorKey{ID: fmt.Sprintf("i-%d", cl.incarnations), Incarnation: cl.now.Milliseconds()},
		address: address, service: cl.queues.serviceOf(address), capacity: workload.Resources{CPU: 16000, MemoryMB: 64000, GPU: 8}, bornAt: cl.now,
		clockRate: 1 - 0.02*cl.rng.Float64(), running: map[workload.TaskKey]*modelRun{}, closedRuns: map[workload.TaskKey]int{},
		endedAt: map[int64]time.Duration{}, restartedAfter: map[int64]bool{}, up: true,
	}
}

func (cl *cluster) fail(format string, args ...any) {
	if cl.violation == "" {
		cl.violation = fmt.Sprintf("at %v: ", cl.now) + fmt.Sprintf(format, args...)
	}
}

func (cl *cluster) chance(p float64) bool { return cl.rng.Float64() < p }

func (cl *cluster) apply(c *workload.Command, term uint64) {
	data, err := c.Encode()
	if err != nil {
		cl.fail("encode: %v", err)
		return
	}
	cl.state.Apply(0, term, data)
}

func (cl *cluster) propose(commands []*workload.Command) {
	for _, c := range commands {
		data, err := c.Encode()
		if err != nil {
			cl.fail("encode: %v", err)
			return
		}
		cl.log = append(cl.log, logEntry{term: cl.leader.term, data: data, at: cl.now + 40*time.Millisecond})
	}
}

func (cl *cluster) handleOutput(out fleet.Output) {
	cl.propose(out.Commands)
	// The controller iterates over maps. Sorting makes runs with one seed
	// repeatable.
	slices.SortFunc(out.Calls, func(a, b fleet.Call) int {
		return strings.Compare(fmt.Sprint(a.Executor, a.Kind, a.Task), fmt.Sprint(b.Executor, b.Kind, b.Task))
	})
	for _, call := range out.Calls {
		p := &pendingCall{call: call, leader: cl.leader, executor: call.Executor, at: cl.now + cl.delay()}
		if cl.chance(cl.faults.notSend) {
			cl.answer(p, fleet.Response{Verdict: fleet.VerdictNotSent}, cl.now+modelTick)
			continue
		}
		p.lost = cl.chance(cl.faults.loseResponse)
		if cl.chance(cl.faults.delayCall) {
			p.lost, p.late, p.receivedAt = true, true, p.at
			p.at = cl.now + 2*time.Second + time.Duration(cl.rng.Int64N(int64(10*time.Second)))
		}
		cl.calls = append(cl.calls, p)
		if p.lost {
			cl.answer(p, fleet.Response{Verdict: fleet.VerdictNoResponse}, cl.now+call.Timeout)
		}
	}
}

func (cl *cluster) delay() time.Duration {
	return time.Millisecond + time.Duration(cl.rng.Int64N(int64(40*time.Millisecond)))
}

func (cl *cluster) answer(p *pendingCall, a fleet.Response, at time.Duration) {
	cl.responses = append(cl.responses, &pendingResponse{call: p.call, leader: p.leader, response: a, at: at})
}

// run advances the simulation.
func (cl *cluster) run(span time.Duration) {
	for end := cl.now + span; cl.now < end && cl.violation == ""; {
		cl.now += modelTick
		cl.injectFaults()
		cl.commit()
		cl.observeEvacuations()
		cl.deliver()
		cl.runExecutors()
		cl.checkStartsDue()
		if cl.now >= cl.pausedUntil {
			cl.handleOutput(cl.leader.controller.Step(cl.now, cl.now))
		}
	}
}

// injectFaults applies random faults.
func (cl *cluster) injectFaults() {
	second := float64(modelTick) / float64(time.Second)
	cl.injectForeignReports(second)
	if cl.chance(cl.faults.evacuate * second) {
		cl.orderEvacuation()
	}
	if cl.chance(cl.faults.requeue * second) {
		cl.changeQueue()
	}
	for i, e := range cl.executors {
		if e.leavesAt == 0 && cl.chance(cl.faults.drain*second) {
			e.leavesAt, e.nextReportAt = cl.now+drainTime, cl.now
		}
		if e.deregisteredAt == 0 && e.leavesAt == 0 && cl.chance(cl.faults.leave*second) {
			cl.deregister(e)
		}
		if cl.chance(cl.faults.crash*second) || (e.leavesAt > 0 && cl.now >= e.leavesAt) {
			// The new incarnation at this address has no state.
			cl.crash(e)
			cl.executors[i] = cl.successor(e)
			continue
		}
		if e.partitioned {
			e.partitioned = !cl.chance(second / 5)
			continue
		}
		e.partitioned = cl.chance(cl.faults.partition * second)
	}
	if cl.chance(cl.faults.newLeader * second) {
		cl.changeLeader()
	}
	if cl.now >= cl.pausedUntil && cl.chance(cl.faults.pause*second) {
		cl.pausedUntil = cl.now + time.Duration(cl.rng.Int64N(int64(2*modelLease)))
	}
}

// deregister ends an executor once its deregistration is stored, or some seconds later if it
// gets no acknowledgement. One of its reports arrives after that, and its address is used
// again a second later, or at once.
func (cl *cluster) deregister(e *modelExecutor) {
	if cl.now < cl.pausedUntil {
		return
	}
	departure := cl.leader.controller.Leave(cl.now, e.key.ID, e.key.Incarnation)
	if departure == nil {
		return
	}
	cl.apply(&workload.Command{At: cl.now, Deregister: []workload.ExecutorKey{*departure}, Left: true}, cl.leader.term)
	e.deregisteredAt, e.leavesAt = cl.now, cl.now+time.Second
	e.nextReportAt = cl.now + 500*time.Millisecond
	if cl.chance(0.5) {
		e.leavesAt = cl.now + time.Duration(cl.rng.Int64N(int64(maxUnacknowledged)))
		return
	}
	cl.crash(e)
}

func (cl *cluster) crash(e *modelExecutor) {
	e.up = false
	e.running = map[workload.TaskKey]*modelRun{}
}

// changeLeader drops a random part of the old leader's latest proposals.
func (cl *cluster) changeLeader() {
	keep := 0
	if len(cl.log) > 0 {
		keep = cl.rng.IntN(len(cl.log) + 1)
	}
	for _, e := range cl.log[:keep] {
		cl.state.Apply(0, e.term, e.data)
	}
	cl.log = nil
	cl.restoreFromSnapshot()
	cl.observeEvacuations()
	cl.pausedUntil = 0
	cl.leader = &leader{term: cl.leader.term + 1}
	cl.leader.controller = fleet.New(cl.settings, cl.state, cl.leader.term, cl.now, logr.Discard())
}

// restoreFromSnapshot replaces the state by one that was written and read again.
func (cl *cluster) restoreFromSnapshot() {
	data, err := cl.state.Snapshot()
	if err != nil {
		cl.fail("snapshot: %v", err)
		return
	}
	cl.state = workload.New()
	if err := cl.state.Restore(data); err != nil {
		cl.fail("restore: %v", err)
	}
}

func (cl *cluster) commit() {
	for len(cl.log) > 0 && cl.log[0].at <= cl.now {
		cl.state.Apply(0, cl.log[0].term, cl.log[0].data)
		cl.log = cl.log[1:]
	}
}

func (cl *cluster) executor(key workload.ExecutorKey) *modelExecutor {
	for _, e := range cl.executors {
		if e.key == key {
			return e
		}
	}
	return nil
}

func (cl *cluster) deliver() {
	var later []*pendingCall
	for _, p := range cl.calls {
		if p.late && p.receiver == nil && cl.now >= p.receivedAt && cl.now < p.call.IssuedAt+p.call.Timeout {
			p.receiver = cl.addressee(p)
		}
		if p.at > cl.now {
			later = append(later, p)
			continue
		}
		cl.execute(p)
	}
	cl.calls = later
	var waiting []*pendingResponse
	for _, a := range cl.responses {
		if a.at > cl.now || cl.now < cl.pausedUntil {
			waiting = append(waiting, a)
			continue
		}
		if a.leader == cl.leader {
			cl.handleOutput(cl.leader.controller.HandleResponse(cl.now, cl.now, a.call, a.response))
		}
	}
	cl.responses = append(cl.responses[:0:0], append(waiting, cl.responses[len(cl.responses):]...)...)
}

func (cl *cluster) execute(p *pendingCall) {
	e := cl.addressee(p)
	if p.late && (e == nil || e != p.receiver) {
		return
	}
	// A call for an earlier executor at the address is refused.
	if e != nil && e.key.ID == p.executor.ID && p.call.Kind == fleet.CallStart && e.deregisteredAt > 0 && p.call.IssuedAt > e.deregisteredAt {
		cl.fail("DRAIN: %v is sent to %s after its deregistration was stored", p.call.Task, e.key.ID)
	}
	if e == nil || !e.up || e.partitioned {
		if !p.lost {
			p.lost = true
			cl.answer(p, fleet.Response{Verdict: fleet.VerdictNoResponse}, p.call.IssuedAt+p.call.Timeout)
		}
		return
	}
	if e.key.ID != p.executor.ID {
		cl.reply(e, p, fleet.Response{Verdict: fleet.VerdictOtherIncarnation})
		return
	}
	if cl.chance(cl.faults.refuse) {
		cl.reply(e, p, fleet.Response{Verdict: cl.refusalOf(p.call.Kind)})
		return
	}
	if p.call.Token < e.token {
		cl.reply(e, p, fleet.Response{Verdict: fleet.VerdictFenced, Reason: "fence"})
		return
	}
	e.token = p.call.Token
	if p.call.Deadline > 0 {
		e.lease = max(e.lease, min(p.call.Deadline, e.clock(cl.now)+modelLease))
	}
	switch p.call.Kind {
	case fleet.CallStart:
		cl.reply(e, p, cl.start(e, p))
	case fleet.CallStop:
		cl.stop(e, &p.call)
		cl.reply(e, p, fleet.Response{Verdict: fleet.VerdictAccepted})
	case fleet.CallHold:
		cl.acknowledge(e, p.call.Cursor)
		p.until = cl.now + p.call.Wait
		e.holds = append(e.holds, p)
	}
}

// refusalOf returns a refusal that says nothing about other calls.
func (cl *cluster) refusalOf(kind fleet.CallKind) fleet.Verdict {
	verdicts := []fleet.Verdict{fleet.VerdictRefused}
	if kind == fleet.CallStart {
		verdicts = append(verdicts, fleet.VerdictNoCapacity, fleet.VerdictNoTicket)
	}
	return verdicts[cl.rng.IntN(len(verdicts))]
}

func (cl *cluster) reply(e *modelExecutor, p *pendingCall, a fleet.Response) {
	if p.lost {
		return
	}
	a.Clock = e.clock(cl.now)
	if p.call.Kind == fleet.CallHold {
		// The responses to orders do not name the incarnation.
		a.Incarnation = e.key.Incarnation
	}
	cl.answer(p, a, cl.now+cl.delay())
}

func (cl *cluster) start(e *modelExecutor, p *pendingCall) fleet.Response {
	call := &p.call
	if r := e.running[call.Task]; r != nil && r.run == call.Run {
		return fleet.Response{Verdict: fleet.VerdictAccepted}
	}
	if call.Run <= e.closedRuns[call.Task] {
		return fleet.Response{Verdict: fleet.VerdictRunOver, Reason: "old"}
	}
	if call.Deadline <= e.clock(cl.now) {
		return fleet.Response{Verdict: fleet.VerdictRefused, Reason: "late"}
	}
	cl.checkStart(e, call)
	cl.checkDue(call.Task)
	if !p.late {
		cl.checkTimes(e, call)
	}
	cl.checkService(e, p)
	_, task := cl.state.TaskOf(call.Task)
	step := cl.step(call.Task)
	r := &modelRun{task: call.Task, run: call.Run, started: cl.now, fails: cl.chance(cl.faults.fail) || cl.alwaysFails[call.Task.Job]}
	r.finish = cl.now + step.Estimate/2 + time.Duration(cl.rng.Int64N(int64(step.Estimate)+1))
	if task != nil && task.Checkpoint != "" {
		r.checkpoint = task.Checkpoint
	}
	e.running[call.Task] = r
	cl.hasStarted[call.Task] = true
	return fleet.Response{Verdict: fleet.VerdictAccepted}
}

func (cl *cluster) step(key workload.TaskKey) *workload.Step {
	return &cl.state.Job(key.Job).Spec.Steps[key.Step]
}

// checkStart checks the rules that hold for every start.
func (cl *cluster) checkStart(e *modelExecutor, call *fleet.Call) {
	used := cl.step(call.Task).Allocation()
	for key := range e.running {
		used = used.Add(cl.step(key).Allocation())
	}
	if !used.Fits(e.capacity) {
		cl.fail("LIMIT: %v on %s needs %v of %v", call.Task, e.key.ID, used, e.capacity)
	}
	for _, other := range cl.executors {
		if r := other.running[call.Task]; r != nil {
			cl.fail("TWICE: %v run %d starts on %s while run %d is on %s", call.Task, call.Run, e.key.ID, r.run, other.key.ID)
		}
	}
	if cl.doneAcknowledged[call.Task] {
		cl.fail("TWICE: %v run %d starts after an acknowledged end", call.Task, call.Run)
	}
	for _, other := range cl.executors {
		for _, end := range other.ended {
			if end.Ending == workload.EndDone && end.Task == call.Task {
				// The rule is violated if that end is acknowledged from now on.
				other.restartedAfter[end.Number] = true
			}
		}
	}
	job := cl.state.Job(call.Task.Job)
	for _, d := range cl.step(call.Task).DependsOn {
		for n := range job.Spec.Steps[d].Count {
			key := workload.TaskKey{Job: job.ID, Occurrence: call.Task.Occurrence, Step: d, Index: n}
			if _, done := cl.doneAt[key]; !done {
				cl.fail("ORDER: %v starts before its dependency %v is done", call.Task, key)
			}
		}
	}
}

// checkTimes checks the rules with a time bound. They do not apply to delayed
// orders.
func (cl *cluster) checkTimes(e *modelExecutor, call *fleet.Call) {
	job := cl.state.Job(call.Task.Job)
	if at, cancelled := cl.cancelled[job.ID]; cancelled && cl.now > at+cancelStartBound {
		cl.fail("UNASKED: %v starts %v after the cancel of its job", call.Task, cl.now-at)
	}
	if at, drained := cl.drained[e.key]; drained && cl.now > at+drainStartBound {
		cl.fail("DRAIN: %v starts on %s %v after its departure notice was acknowledged", call.Task, e.key.ID, cl.now-at)
	}
	cl.checkEvacuation(e, call)
	if failed := len(cl.acknowledgedFailures[cl.failureKey(call.Task)]); failed >= job.MaxAttempts {
		cl.fail("BUDGET: %v starts after %d failed runs of %d", call.Task, failed, job.MaxAttempts)
	}
}

// failureKey returns the task under which failures are counted. A gang fails as
// a whole, so its first member is used.
func (cl *cluster) failureKey(key workload.TaskKey) workload.TaskKey {
	if cl.step(key).Gang {
		key.Index = 0
	}
	return key
}

func (cl *cluster) cancel(id string) {
	cl.apply(&workload.Command{At: cl.now, Cancel: id}, cl.leader.term)
	cl.cancelled[id] = cl.now
}

func (cl *cluster) stop(e *modelExecutor, call *fleet.Call) {
	e.closedRuns[call.Task] = max(e.closedRuns[call.Task], call.Run)
	if r := e.running[call.Task]; r != nil && r.run <= call.Run && r.stopAt == 0 {
		r.stopAt = cl.now + time.Duration(cl.rng.Int64N(int64(modelStopTime)))
	}
}

func (cl *cluster) acknowledge(e *modelExecutor, cursor int64) {
	e.ended = slices.DeleteFunc(e.ended, func(end fleet.EndedRun) bool {
		if end.Number > cursor {
			return false
		}
		if end.Ending == workload.EndDone && e.endedAt[end.Number] >= 0 {
			if e.restartedAfter[end.Number] {
				cl.fail("TWICE: the end of %v is acknowledged after another run was started", end.Task)
			}
			cl.doneAcknowledged[end.Task] = true
		}
		if end.Ending == workload.EndFailed {
			cl.countFailure(cl.acknowledgedFailures, end.Task, end.Run)
		}
		return true
	})
}

func (cl *cluster) countFailure(failures map[workload.TaskKey]map[int]bool, task workload.TaskKey, run int) {
	key := cl.failureKey(task)
	if failures[key] == nil {
		failures[key] = map[int]bool{}
	}
	failures[key][run] = true
}

func (cl *cluster) end(e *modelExecutor, r *modelRun, ending workload.Ending) {
	delete(e.running, r.task)
	e.closedRuns[r.task] = max(e.closedRuns[r.task], r.run)
	e.lastEndNumber++
	e.ended = append(e.ended, fleet.EndedRun{Number: e.lastEndNumber, Task: r.task, Run: r.run, Ending: ending, Checkpoint: r.checkpoint})
	e.endedAt[e.lastEndNumber] = cl.now
	if ending == workload.EndFailed {
		cl.countFailure(cl.allFailures, r.task, r.run)
	}
	if ending != workload.EndDone {
		return
	}
	if cl.doneAt[r.task] == 0 {
		cl.doneAt[r.task] = cl.now
	}
	cl.markGangDone(r)
}

// markGangDone marks the other members of a gang as done when one of them is.
func (cl *cluster) markGangDone(r *modelRun) {
	if !cl.step(r.task).Gang {
		return
	}
	for n := range cl.step(r.task).Count {
		key := r.task
		key.Index = n
		if cl.doneAt[key] == 0 {
			cl.doneAt[key] = cl.now
		}
	}
}

func (cl *cluster) runExecutors() {
	for _, e := range cl.executors {
		if !e.up {
			if e.deregisteredAt > 0 {
				cl.sendReport(e)
			}
			continue
		}
		if e.clock(cl.now) >= e.lease {
			for _, r := range e.running {
				cl.end(e, r, workload.EndLeaseExpired)
			}
			for n := range e.endedAt {
				// The rule does not apply if a lease expires between an end and
				// its acknowledgement.
				e.endedAt[n] = -1
			}
		}
		for _, r := range e.running {
			cl.progress(e, r)
		}
		cl.answerHolds(e)
		cl.sendReport(e)
	}
}

func (cl *cluster) progress(e *modelExecutor, r *modelRun) {
	switch {
	case r.stopAt > 0 && cl.now >= r.stopAt:
		cl.end(e, r, workload.EndStopped)
	case cl.step(r.task).Gang && !cl.isGangComplete(r) && r.isRunning:
		cl.end(e, r, workload.EndGangBroken)
	case cl.step(r.task).Gang && !r.isRunning && !cl.isGangComplete(r):
		if cl.now > r.started+gangWait {
			if cl.faults == (faults{}) && cl.faultFree {
				cl.fail("GANG: %v run %d timed out waiting for the other members", r.task, r.run)
			}
			cl.end(e, r, workload.EndGangTimeout)
		}
		r.finish = max(r.finish, cl.now+modelTick)
	case !r.isRunning:
		r.isRunning = true
	case cl.now >= r.finish && r.fails:
		cl.end(e, r, workload.EndFailed)
	case cl.now >= r.finish:
		cl.end(e, r, workload.EndDone)
	}
}

func (cl *cluster) isGangComplete(r *modelRun) bool {
	present := 0
	for _, e := range cl.executors {
		for _, other := range e.running {
			if other.task.Job == r.task.Job && other.task.Occurrence == r.task.Occurrence && other.task.Step == r.task.Step && other.run == r.run {
				present++
			}
		}
	}
	done := 0
	for n := range cl.step(r.task).Count {
		key := r.task
		key.Index = n
		if cl.doneAt[key] != 0 {
			done++
		}
	}
	return present == cl.step(r.task).Count || done > 0
}

func (cl *cluster) answerHolds(e *modelExecutor) {
	e.holds = slices.DeleteFunc(e.holds, func(p *pendingCall) bool {
		if len(e.ended) == 0 && cl.now < p.until {
			return false
		}
		a := fleet.Response{Verdict: fleet.VerdictAccepted, Complete: true, Ended: slices.Clone(e.ended[:min(len(e.ended), cl.listedEnds)])}
		a.EndsTruncated = len(a.Ended) == cl.listedEnds
		for _, r := range e.running {
			a.Running = append(a.Running, fleet.RunningTask{Task: r.task, Run: r.run, Checkpoint: r.checkpoint, Percent: cl.percent(r)})
		}
		if e.partitioned && !p.lost {
			p.lost = true
			cl.answer(p, fleet.Response{Verdict: fleet.VerdictNoResponse}, p.call.IssuedAt+p.call.Timeout)
			return true
		}
		cl.reply(e, p, a)
		return true
	})
}

func (cl *cluster) sendReport(e *modelExecutor) {
	if cl.now < e.nextReportAt || e.partitioned || cl.now < cl.pausedUntil {
		return
	}
	e.nextReportAt = cl.now + modelReportInterval
	e.sequence++
	r := fleet.Report{
		Executor: e.key, Sequence: e.sequence, Service: e.service, Address: e.address, Domain: cl.domainOf(e), Capacity: e.capacity,
		Labels: cl.labelsOf(e), Clock: e.clock(cl.now), Draining: e.leavesAt > 0, DrainRemaining: max(0, e.leavesAt-cl.now),
	}
	if !cl.state.UsesService(e.service) && !cl.leader.controller.IsMember(&r) {
		return
	}
	_, registration := cl.leader.controller.Report(cl.now, r)
	if entry := cl.state.Executor(e.key.ID); entry != nil && entry.Key == e.key && entry.Draining && cl.drained[e.key] == 0 {
		cl.drained[e.key] = cl.now
	}
	if registration != nil {
		cl.propose([]*workload.Command{{At: cl.now, Register: registration}})
	}
}

// rackOf assigns each pair of neighbouring executors to one rack.
func (cl *cluster) rackOf(e *modelExecutor) string {
	for i, other := range cl.executors {
		if other == e {
			return fmt.Sprintf("r1-%d", i/2)
		}
	}
	return "r1-0"
}

// submit submits a random job.
func (cl *cluster) submit(n int) string {
	id := fmt.Sprintf("%016x", n)
	steps := 1 + cl.rng.IntN(2)
	j := &workload.Job{
		ID: id, Host: modelPlace.Host, Prefix: modelPlace.Prefix, QueueName: "q", Service: cl.queues.current, Customer: "a",
		Priority: cl.rng.IntN(3), MaxAttempts: 12, Stretch: 2, Target: time.Second,
	}
	for i := range steps {
		s := workload.Step{
			Count: 1 + cl.rng.IntN(4), Estimate: time.Duration(500+cl.rng.IntN(4000)) * time.Millisecond,
			Demand: workload.Resources{CPU: 2000, MemoryMB: 1000, GPU: int64(1) << cl.rng.IntN(4)}, Gang: cl.chance(0.4), SameRack: cl.chance(0.3),
		}
		if i > 0 {
			s.DependsOn = []int{i - 1}
		}
		j.Spec.Steps = append(j.Spec.Steps, s)
	}
	if cl.chance(cl.faults.fail) {
		cl.alwaysFails[id] = true
		j.MaxAttempts = 3
	}
	cl.apply(&workload.Command{At: cl.now, Submit: j}, cl.leader.term)
	return id
}

// submitFiller submits a job of low priority that occupies one executor for the
// whole simulation.
func (cl *cluster) submitFiller(n int) {
	cl.apply(&workload.Command{At: cl.now, Submit: &workload.Job{
		ID: fmt.Sprintf("%016x", n), QueueName: "q", Service: "s", Customer: "b", Priority: 2, MaxAttempts: 3, Stretch: 2, Target: time.Second,
		Spec: workload.Spec{Steps: []workload.Step{{Count: 8, Estimate: 10 * time.Minute, Demand: workload.Resources{CPU: 1000, MemoryMB: 1000, GPU: 1}}}},
	}}, cl.leader.term)
}

// submitGuaranteed submits an urgent job whose tasks need all accelerators of the
// guarantee together, each a given number of them.
func (cl *cluster) submitGuaranteed(n int, gpus int64, gang bool) *workload.Job {
	id := fmt.Sprintf("%016x", n)
	step := workload.Step{Count: int(cl.state.Guaranteed("a") / gpus), Estimate: time.Minute, Gang: gang,
		Demand: workload.Resources{CPU: 1000, MemoryMB: 1000, GPU: gpus}}
	cl.apply(&workload.Command{At: cl.now, Submit: &workload.Job{
		ID: id, QueueName: "q", Service: "s", Customer: "a", MaxAttempts: 3, Stretch: 2, Target: time.Second, Spec: workload.Spec{Steps: []workload.Step{step}},
	}}, cl.leader.term)
	return cl.state.Job(id)
}

// expectStart records that a job must start in time, provided that its
// customer's guarantee covers all urgent jobs that have not ended.
func (cl *cluster) expectStart(j *workload.Job) {
	need := int64(0)
	cl.state.Jobs(func(other *workload.Job) {
		if other.Priority == 0 && !other.Phase.Ended() {
			need += gpuNeed(other)
		}
	})
	if need <= cl.state.Guaranteed(j.Customer) {
		cl.startDue[j.ID] = cl.now + modelSettings.ReclaimTime
	}
}

// gpuNeed is the number of accelerators that the widest step of a job needs.
func gpuNeed(j *workload.Job) int64 {
	widest := int64(0)
	for _, s := range j.Spec.Steps {
		widest = max(widest, int64(s.Count)*s.Demand.GPU)
	}
	return widest
}

// checkStartsDue checks the jobs that must have started by now.
func (cl *cluster) checkStartsDue() {
	for id, due := range cl.startDue {
		if cl.now < due {
			continue
		}
		delete(cl.startDue, id)
		j := cl.state.Job(id)
		for n := range j.Occurrences[0].Steps[0].Tasks {
			key := workload.TaskKey{Job: id, Index: n}
			if !cl.hasStarted[key] {
				cl.fail("RECLAIM: %v of %+v has not started in time", key, j.Spec.Steps[0])
			}
		}
	}
}

// endedCorrectly reports whether a job has ended in a permitted way.
func (cl *cluster) endedCorrectly(j *workload.Job) bool {
	switch j.Phase {
	case workload.Completed:
		return true
	case workload.Cancelled:
		_, cancelled := cl.cancelled[j.ID]
		return cancelled
	case workload.Failed:
		for key, runs := range cl.allFailures {
			if key.Job == j.ID && len(runs) >= j.MaxAttempts {
				return true
			}
		}
	}
	return false
}

// percent is the progress of a run. It is computed from time alone.
func (cl *cluster) percent(r *modelRun) int {
	span := r.finish - r.started
	return int(100 * (cl.now - r.started) / max(span, 1))
}
