package jobs_test

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"
	"time"

	"cranberrydrum.dev/scheduler/jobs"
	"cranberrydrum.dev/scheduler/placement"
	"cranberrydrum.dev/scheduler/structs"
)

// tasksPerWorker is 16,000 tasks over 910 workers, rounded up.
const tasksPerWorker = 18

// idlePlanner plans nothing, so that only the cost of jobs is measured.
type idlePlanner struct{}

func (idlePlanner) SetRules(placement.Rules)           {}
func (idlePlanner) SetWorker(structs.Worker)           {}
func (idlePlanner) RemoveWorker(string)                {}
func (idlePlanner) SetQueued(placement.Queued)         {}
func (idlePlanner) SetRunning(placement.Running)       {}
func (idlePlanner) Remove(string)                      {}
func (idlePlanner) Round(time.Duration) placement.Plan { return placement.Plan{} }

// loaded is a domain whose workers each run 18 one-accelerator tasks.
type benchDomain struct {
	state *jobs.State
	index uint64
	size  int
	// decode sends commands through their bytes, as a log does; strings are
	// then not shared between jobs.
	encodes bool
}

func (l *benchDomain) apply(b jobs.Body) jobs.Result {
	l.index++
	c := jobs.Command{Body: b}
	if l.encodes {
		data, _ := jobs.EncodeCommand(c)
		c, _ = jobs.DecodeCommand(data)
	}
	return l.state.Apply(l.index, c)
}

func newBenchDomain(workers int) *benchDomain {
	l := &benchDomain{state: jobs.New(), size: workers, encodes: true}
	defer func() { l.encodes = false }()
	l.apply(&jobs.SetConfig{
		Version:  1,
		Rules:    placement.Rules{Domain: simDomain, Customers: []structs.Customer{{Name: "remada0"}, {Name: "remada1"}}},
		Grants:   []structs.Grant{{Customer: "remada0"}, {Customer: "remada1"}},
		Topology: structs.FailureDomain{Racks: workers, WorkersPerRack: 1, AcceleratorsPerWorker: tasksPerWorker},
	})
	for w := range workers {
		l.apply(&jobs.RegisterWorker{Worker: benchWorker(w), Incarnation: 1})
	}
	for i := range workers * tasksPerWorker {
		l.start(i)
	}
	return l
}

func (l *benchDomain) start(i int) {
	id := l.apply(&jobs.Submit{Spec: benchSpec(i)}).Job.ID
	members := []structs.Member{{Worker: benchWorker(i / tasksPerWorker % l.size).ID, Accelerators: []int{i % tasksPerWorker}}}
	l.apply(&jobs.ApplyPlan{Starts: []jobs.PlannedStart{{Job: id, Members: members}}})
	l.apply(&jobs.StartGang{Job: id, Run: 1})
}

func benchWorker(w int) structs.Worker {
	return structs.Worker{ID: fmt.Sprintf("recife-olinda-w%04d", w), Domain: simDomain, Rack: "r1", Accelerators: tasksPerWorker, Cores: 64, MemoryMB: 131072}
}

func benchSpec(i int) structs.JobSpec {
	return structs.JobSpec{
		Name: fmt.Sprintf("heat-seeding-%06d", i), Customer: fmt.Sprint("remada", i%2), Accelerators: 1, DeclaredRuntime: time.Hour,
		CheckpointTime: time.Second, Command: []string{"seed", "--field=12"},
	}
}

func (l *benchDomain) report(w int) structs.WorkerReport {
	r := structs.WorkerReport{Worker: benchWorker(w), Incarnation: 1}
	for i := range tasksPerWorker {
		id := fmt.Sprintf("%s-%d", simDomain, w*tasksPerWorker+i+1)
		r.Tasks = append(r.Tasks, structs.TaskReport{Job: id, Run: 1, Phase: structs.TaskRunning})
	}
	return r
}

func eachSize(b *testing.B, f func(b *testing.B, l *benchDomain)) {
	for _, workers := range []int{50, 200, 910, 1820} {
		l := newBenchDomain(workers)
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) { f(b, l) })
	}
}

// BenchmarkTick measures a Tick in which one job has changed.
func BenchmarkTick(b *testing.B) {
	eachSize(b, func(b *testing.B, l *benchDomain) {
		c := newBenchController(l)
		now := 2 * time.Second
		i := l.size * tasksPerWorker
		for b.Loop() {
			l.apply(&jobs.Cancel{Job: l.apply(&jobs.Submit{Spec: benchSpec(i)}).Job.ID})
			i++
			now += 50 * time.Microsecond
			c.Tick(now)
		}
	})
}

// BenchmarkIdleTick measures a Tick in which nothing has changed.
func BenchmarkIdleTick(b *testing.B) {
	eachSize(b, func(b *testing.B, l *benchDomain) {
		c := newBenchController(l)
		now := 2 * time.Second
		for b.Loop() {
			now += time.Microsecond
			c.Tick(now)
		}
	})
}

// BenchmarkRenew measures the renewal of a worker with 18 running tasks.
func BenchmarkRenew(b *testing.B) {
	eachSize(b, func(b *testing.B, l *benchDomain) {
		c := newBenchController(l)
		reports := make([]structs.WorkerReport, l.size)
		for w := range reports {
			reports[w] = l.report(w)
		}
		i := 0
		for b.Loop() {
			orders, refusal := c.Renew(time.Second, reports[i%l.size], true)
			if refusal != nil || len(orders.Tasks) != tasksPerWorker {
				b.Fatal(refusal, len(orders.Tasks))
			}
			i++
		}
	})
}

func newBenchController(l *benchDomain) *jobs.Controller {
	c := jobs.NewController(jobs.DefaultControllerConfig(idlePlanner{}), l.state, 0, l.state.Term()+1)
	for _, command := range c.Tick(0) {
		l.index++
		l.state.Apply(l.index, command)
	}
	c.Tick(time.Second)
	return c
}

// BenchmarkApply measures the five commands in the life of a job, with decoding.
func BenchmarkApply(b *testing.B) {
	eachSize(b, func(b *testing.B, l *benchDomain) {
		l.apply(&jobs.RegisterWorker{Worker: structs.Worker{ID: "spare", Accelerators: 8}, Incarnation: 1})
		i := l.size * tasksPerWorker
		for b.Loop() {
			submit := &jobs.Submit{Spec: benchSpec(i)}
			id := l.applyEncoded(b, submit).Job.ID
			l.applyEncoded(b, &jobs.ApplyPlan{Starts: []jobs.PlannedStart{{Job: id, Members: []structs.Member{{Worker: "spare", Accelerators: []int{3}}}}}})
			l.applyEncoded(b, &jobs.StartGang{Job: id, Run: 1})
			l.applyEncoded(b, &jobs.ReportTasks{Reports: []jobs.MemberReport{{Worker: "spare", Job: id, Run: 1, Phase: structs.TaskSucceeded}}})
			l.applyEncoded(b, &jobs.Cancel{Job: id})
			i++
		}
	})
}

func (l *benchDomain) applyEncoded(b *testing.B, body jobs.Body) jobs.Result {
	data, _ := jobs.EncodeCommand(jobs.Command{Term: 1, Clock: time.Hour, Body: body})
	c, err := jobs.DecodeCommand(data)
	if err != nil {
		b.Fatal(err)
	}
	l.index++
	return l.state.Apply(l.index, c)
}

// BenchmarkSnapshot measures a snapshot and its size.
func BenchmarkSnapshot(b *testing.B) {
	eachSize(b, func(b *testing.B, l *benchDomain) {
		var image []byte
		for b.Loop() {
			image, _ = l.state.Snapshot()
		}
		b.ReportMetric(float64(len(image)), "bytes")
	})
}

// TestSizes prints bytes per message and command, and memory per worker and job.
func TestSizes(t *testing.T) {
	if testing.Short() {
		t.Skip("only prints figures")
	}
	heap := func() float64 {
		var m runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&m)
		return float64(m.HeapAlloc)
	}
	before := heap()
	l := newBenchDomain(200)
	state := heap()
	c := newBenchController(l)
	report := l.report(7)
	orders, _ := c.Renew(time.Second, report, true)
	full := heap()
	t.Logf("state: %.0f B per one-member job with its share of a worker; controller: %.0f B per worker", (state-before)/float64(200*tasksPerWorker), (full-state)/200)
	idle := heap()
	idleWorkers := &benchDomain{state: jobs.New(), encodes: true}
	for w := range 1000 {
		idleWorkers.apply(&jobs.RegisterWorker{Worker: benchWorker(w), Incarnation: 1})
	}
	t.Logf("state: %.0f B per idle worker", (heap()-idle)/1000)
	up, _ := json.Marshal(report)
	down, _ := json.Marshal(orders)
	t.Logf("renewal with %d tasks: %d B report, %d B orders", tasksPerWorker, len(up), len(down))
	gang := jobs.PlannedStart{Job: simDomain + "-12345"}
	for w := range 8 {
		gang.Members = append(gang.Members, structs.Member{Worker: benchWorker(w).ID, Accelerators: []int{0, 1, 2, 3, 4, 5, 6, 7}})
	}
	job := simDomain + "-12345"
	for _, b := range []jobs.Body{
		&jobs.Submit{Spec: benchSpec(1)}, &jobs.Cancel{Job: job}, &jobs.RegisterWorker{Worker: benchWorker(1), Incarnation: 3},
		&jobs.RemoveWorker{Worker: benchWorker(1).ID, Grace: time.Minute}, &jobs.ApplyPlan{Round: 9, Starts: []jobs.PlannedStart{gang}},
		&jobs.ApplyPlan{Round: 9, Preempts: []jobs.PlannedPreempt{{Job: job, For: job, Run: 3, Checkpoint: true, Grace: time.Minute}}},
		&jobs.StartGang{Job: job, Run: 3}, &jobs.StopGang{Job: job, Run: 3}, &jobs.WorkerLost{Worker: benchWorker(1).ID, Epoch: 12345},
		&jobs.ReportTasks{Reports: []jobs.MemberReport{{Worker: benchWorker(1).ID, Job: job, Run: 3, Phase: structs.TaskSucceeded}}},
		&jobs.SetQuarantine{Worker: benchWorker(1).ID, Quarantined: true, Strikes: 1, Until: time.Hour}, &jobs.Forget{KeepJobs: 10000, KeepWorkers: 256}, &jobs.Lead{},
	} {
		data, _ := jobs.EncodeCommand(jobs.Command{Term: 12, Clock: time.Hour, Body: b})
		t.Logf("%T: %d B", b, len(data))
	}
	runtime.KeepAlive(l)
	runtime.KeepAlive(c)
	runtime.KeepAlive(idleWorkers)
}
