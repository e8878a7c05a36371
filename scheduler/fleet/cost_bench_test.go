package fleet_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"cranberrydrum.dev/scheduler/fleet"
	"cranberrydrum.dev/scheduler/workload"
)

// The benchmarks measure the time that a leader spends in the controller for one event at the
// largest supported fleets. The network, the executors and the log are replaced by the
// benchFleet, whose own time is not counted.

const (
	benchTerm         = 1
	benchRunningTasks = 16_000
	benchTasksPerJob  = 20
	benchRackSize     = 10
	benchLabelShare   = 4
	benchEstimate     = 30 * time.Second
	// benchWarmUp lets waits, reservations and preemptions settle before the measurement.
	benchWarmUp = 15 * time.Second
	benchBurst  = 100
)

var benchCapacity = workload.Resources{CPU: 64_000, MemoryMB: 512_000, GPU: 8}

type benchExecutor struct {
	key      workload.ExecutorKey
	report   fleet.Report
	running  map[workload.TaskKey]int
	ended    []fleet.EndedRun
	hold     *fleet.Call
	holdDue  time.Duration
	lastEnd  int64
	reportAt time.Duration
}

// benchFleet is a fleet without faults around a controller. spent is the time that the
// controller took while measuring is set.
type benchFleet struct {
	b          *testing.B
	now        time.Duration
	state      *workload.State
	controller *fleet.Controller
	executors  []*benchExecutor
	byID       map[string]*benchExecutor
	jobs       int
	measuring  bool
	spent      time.Duration
	// longest is the longest call of the controller.
	longest time.Duration
}

func newBenchFleet(b *testing.B, executors, waiting int) *benchFleet {
	return newBenchFleetOf(b, executors, benchRunningTasks, waiting)
}

// newBenchFleetOf returns a fleet with a number of running tasks.
func newBenchFleetOf(b *testing.B, executors, running, waiting int) *benchFleet {
	f := &benchFleet{b: b, now: time.Hour, state: workload.New(), byID: map[string]*benchExecutor{}}
	f.apply(&workload.Command{Configure: benchConfig()})
	for n := range executors {
		e := &benchExecutor{key: workload.ExecutorKey{ID: fmt.Sprintf("e-%04d", n), Incarnation: 1}, running: map[workload.TaskKey]int{}}
		labels := []string{"rack-" + fmt.Sprint(n/benchRackSize)}
		if n%benchLabelShare == 0 {
			labels = append(labels, "large")
		}
		e.report = fleet.Report{Executor: e.key, Service: "s", Address: fmt.Sprintf("10.0.%d.%d:80", n/250, n%250), Domain: fmt.Sprint("d", n%6), Capacity: benchCapacity, Labels: labels}
		f.executors, f.byID[e.key.ID] = append(f.executors, e), e
	}
	f.fill(running)
	f.controller = fleet.New(f.settings(), f.state, benchTerm, f.now, logr.Discard())
	for range waiting {
		f.submit(f.waitingJob())
	}
	f.run(benchWarmUp)
	return f
}

func benchConfig() *workload.Config {
	return &workload.Config{
		Version: 1, Document: []byte("{}"), Services: []workload.Service{{Name: "s"}},
		Queues:    []workload.Queue{{Name: "q", Host: "q", Prefix: "/q/", Service: "s", Timeout: time.Second}},
		Customers: []workload.Customer{{Name: "c-0", GuaranteedGPU: 64}, {Name: "c-1"}, {Name: "c-2"}},
	}
}

// fill stores jobs whose tasks run on the executors and hold all their accelerators.
func (f *benchFleet) fill(running int) {
	var starts []workload.Start
	used := make([]int64, len(f.executors))
	for task := 0; task < running; {
		demand := workload.Resources{CPU: 1000, MemoryMB: 1000}
		if used[task%len(used)] < benchCapacity.GPU {
			demand.GPU = 1
		}
		id := f.submit(f.job(1+f.jobs%2, workload.Step{Count: benchTasksPerJob, Demand: demand}))
		for i := range benchTasksPerJob {
			n := task % len(f.executors)
			used[n] += demand.GPU
			starts = append(starts, workload.Start{Task: workload.TaskKey{Job: id, Index: i}, Run: 1, Executor: f.executors[n].key})
			task++
		}
	}
	f.apply(&workload.Command{At: f.now, Starts: starts})
}

func (f *benchFleet) job(priority int, steps ...workload.Step) *workload.Job {
	f.jobs++
	for i := range steps {
		steps[i].Estimate = benchEstimate
	}
	return &workload.Job{
		ID: fmt.Sprintf("%016x", f.jobs), Host: "q", Prefix: "/q/", QueueName: "q", Service: "s", Customer: fmt.Sprint("c-", f.jobs%3),
		Priority: priority, MaxAttempts: 3, Stretch: 2, Target: time.Second, Spec: workload.Spec{Steps: steps},
	}
}

// waitingJob returns a job that mostly finds no capacity. The kinds take turns.
func (f *benchFleet) waitingJob() *workload.Job {
	n := f.jobs
	step := workload.Step{Count: 1 + n*37%230, Demand: workload.Resources{CPU: 4000, MemoryMB: 4000, GPU: int64(1) << (n % 4)}}
	switch n % 5 {
	case 0:
		step.Gang, step.Count = true, 2+n%63
	case 1:
		step.Gang, step.SameRack, step.Count = true, true, 2+n%8
	case 2:
		step.Requires = "large"
	case 3:
		step.DataRack = "rack-1"
	}
	priority := n % 8 % 3
	if priority == 0 {
		// Urgent jobs are narrow. Their search for victims tries each of their tasks everywhere.
		step.Count = 1 + n%12
	}
	return f.job(priority, step)
}

func (f *benchFleet) submit(j *workload.Job) string {
	f.apply(&workload.Command{At: f.now, Submit: j})
	return j.ID
}

func (f *benchFleet) apply(c *workload.Command) {
	data, err := c.Encode()
	if err != nil {
		f.b.Fatal(err)
	}
	f.state.Apply(0, benchTerm, data)
}

// measure counts the time of a call of the controller.
func (f *benchFleet) measure(call func()) {
	begin := time.Now()
	call()
	if f.measuring {
		took := time.Since(begin)
		f.spent += took
		f.longest = max(f.longest, took)
	}
}

// step takes a step of the controller and stores what it proposes. It returns the calls.
func (f *benchFleet) step() []fleet.Call {
	var out fleet.Output
	before := f.spent
	f.measure(func() { out = f.controller.Step(f.now, f.now) })
	if out.Round != nil && f.measuring {
		f.controller.RecordRound(f.now, f.spent-before)
	}
	return f.commit(out)
}

// settings bound the rounds like those of a control host.
func (f *benchFleet) settings() fleet.Settings {
	settings := modelSettings
	settings.RoundTime = 30 * time.Millisecond
	return settings
}

func (f *benchFleet) commit(out fleet.Output) []fleet.Call {
	for _, c := range out.Commands {
		f.apply(c)
	}
	return out.Calls
}

func (f *benchFleet) respond(call fleet.Call, r fleet.Response) {
	var out fleet.Output
	f.measure(func() { out = f.controller.HandleResponse(f.now, f.now, call, r) })
	f.deliver(f.commit(out))
}

// deliver carries out calls at once. A hold waits for an end or for its time.
func (f *benchFleet) deliver(calls []fleet.Call) {
	for _, call := range calls {
		e := f.byID[call.Executor.ID]
		switch call.Kind {
		case fleet.CallHold:
			e.ended = slices.DeleteFunc(e.ended, func(r fleet.EndedRun) bool { return r.Number <= call.Cursor })
			e.hold, e.holdDue = &call, f.now+call.Wait
			continue
		case fleet.CallStart:
			e.running[call.Task] = call.Run
		case fleet.CallStop:
			f.end(e, call.Task, workload.EndStopped)
		}
		f.respond(call, fleet.Response{Verdict: fleet.VerdictAccepted, Clock: f.now})
	}
}

func (f *benchFleet) end(e *benchExecutor, task workload.TaskKey, ending workload.Ending) {
	run, found := e.running[task]
	if !found {
		return
	}
	delete(e.running, task)
	e.lastEnd++
	e.ended = append(e.ended, fleet.EndedRun{Number: e.lastEnd, Task: task, Run: run, Ending: ending})
}

func (f *benchFleet) answerHold(e *benchExecutor) {
	call := *e.hold
	e.hold = nil
	// The progress changes with each list, so that no run counts as stalled.
	percent := 10 + int(f.now/time.Second)%80
	r := fleet.Response{Verdict: fleet.VerdictAccepted, Complete: true, Incarnation: e.key.Incarnation, Clock: f.now, Ended: slices.Clone(e.ended)}
	for task, run := range e.running {
		r.Running = append(r.Running, fleet.RunningTask{Task: task, Run: run, Percent: percent})
	}
	f.respond(call, r)
}

// advance lets time pass: reports arrive and the holds that are due are answered.
func (f *benchFleet) advance(by time.Duration) {
	f.now += by
	for _, e := range f.executors {
		if f.now >= e.reportAt {
			e.reportAt = f.now + modelReportInterval
			e.report.Sequence++
			e.report.Clock = f.now
			var entry *workload.Executor
			f.measure(func() { _, entry = f.controller.Report(f.now, e.report) })
			if entry != nil {
				f.apply(&workload.Command{At: f.now, Register: entry})
			}
		}
		if e.hold != nil && (f.now >= e.holdDue || len(e.ended) > 0) {
			f.answerHold(e)
		}
	}
}

func (f *benchFleet) run(span time.Duration) {
	for end := f.now + span; f.now < end; {
		f.advance(100 * time.Millisecond)
		f.deliver(f.step())
	}
}

// settle lets pending ends, stops and starts take effect without measuring them.
func (f *benchFleet) settle() {
	f.measuring = false
	f.run(500 * time.Millisecond)
	f.advance(25 * time.Millisecond)
	f.deliver(f.step())
	f.advance(25 * time.Millisecond)
	f.measuring = true
}

// endOne ends one run of the fill and has the controller handle it until the next start is
// sent.
func (f *benchFleet) endOne(n int) {
	for ; ; n++ {
		e := f.executors[n%len(f.executors)]
		if len(e.running) == 0 || e.hold == nil {
			continue
		}
		for task := range e.running {
			f.end(e, task, workload.EndDone)
			break
		}
		f.answerHold(e)
		f.deliver(f.step())
		f.deliver(f.step())
		f.measuring = false
		f.submit(f.job(1, workload.Step{Count: 1, Demand: workload.Resources{CPU: 1000, MemoryMB: 1000, GPU: int64(n % 2)}}))
		return
	}
}

func (f *benchFleet) submitAndCancel(jobs int) {
	var ids []string
	for range jobs {
		ids = append(ids, f.submit(f.job(f.jobs%3, workload.Step{Count: 1 + f.jobs%13, Demand: workload.Resources{CPU: 2000, MemoryMB: 1000, GPU: int64(f.jobs % 3)}})))
	}
	f.deliver(f.step())
	f.measuring = false
	for _, id := range ids {
		f.apply(&workload.Command{At: f.now, Cancel: id})
	}
}

// second has a second pass with 50 ends and a new job of one task for each, in steps of 20 ms, so
// that the time per operation is a share of a core. Searches, holds and reports are included.
func (f *benchFleet) second(n int) {
	for i := range 50 {
		f.advance(20 * time.Millisecond)
		e := f.executors[(50*n+i)%len(f.executors)]
		for task := range e.running {
			f.end(e, task, workload.EndDone)
			break
		}
		f.submit(f.job(1+i%2, workload.Step{Count: 1, Demand: workload.Resources{CPU: 1000, MemoryMB: 1000, GPU: int64(i % 2)}}))
		f.deliver(f.step())
	}
	f.measuring = false
}

// loseTenth makes a tenth of the executors leave their holds unanswered.
func (f *benchFleet) loseTenth() {
	for _, e := range f.executors[:len(f.executors)/10] {
		if e.hold == nil {
			continue
		}
		call := *e.hold
		e.hold = nil
		f.respond(call, fleet.Response{Verdict: fleet.VerdictNoResponse})
	}
	f.deliver(f.step())
}

// BenchmarkController reports the time per event, of which a benchFleet's part is taken out. A
// profile has that part under benchFleet.
func BenchmarkController(b *testing.B) {
	fleet.StopAudits()
	defer fleet.StartAudits()
	events := []struct {
		name   string
		handle func(f *benchFleet, n int)
	}{
		{"nothing", func(f *benchFleet, _ int) { f.deliver(f.step()) }},
		{"end", (*benchFleet).endOne},
		{"submit", func(f *benchFleet, _ int) { f.submitAndCancel(1) }},
		{"burst", func(f *benchFleet, _ int) { f.submitAndCancel(benchBurst) }},
		{"second", (*benchFleet).second},
		{"tenth-lost", func(f *benchFleet, _ int) { f.loseTenth() }},
	}
	for _, executors := range []int{350, 910} {
		for _, waiting := range []int{0, 50, 500} {
			for _, event := range events {
				b.Run(fmt.Sprintf("%s/executors=%d/waiting=%d", event.name, executors, waiting), func(b *testing.B) {
					benchmarkEvent(b, newBenchFleet(b, executors, waiting), event.handle)
				})
			}
		}
	}
}

func benchmarkEvent(b *testing.B, f *benchFleet, handle func(f *benchFleet, n int)) {
	for n := 0; b.Loop(); n++ {
		f.settle()
		handle(f, n)
	}
	b.ReportMetric(float64(f.spent.Nanoseconds())/float64(b.N), "ns/op")
	b.ReportMetric(float64(f.longest.Nanoseconds()), "longest-ns")
}
