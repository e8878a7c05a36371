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

// idlePlanner returns empty plans, so that only the cost of package jobs is
// measured.
type idlePlanner struct{}

func (idlePlanner) SetRules(placement.Rules)           {}
func (idlePlanner) SetWorker(structs.Worker)           {}
func (idlePlanner) RemoveWorker(string)                {}
func (idlePlanner) SetQueued(placement.Queued)         {}
func (idlePlanner) SetRunning(placement.Running)       {}
func (idlePlanner) Remove(string)                      {}
func (idlePlanner) Round(time.Duration) placement.Plan { return placement.Plan{} }

// benchDomain is a domain whose workers each run 18 one-accelerator tasks.
type benchDomain struct {
	state       *jobs.State
	index       uint64
	workerCount int
	// encodes makes apply encode and decode each command, as a log does, so
	// that jobs do not share strings.
	encodes bool
}

func (d *benchDomain) apply(b jobs.Body) jobs.Result {
	d.index++
	c := jobs.Command{Body: b}
	if d.encodes {
		data, _ := jobs.EncodeCommand(c)
		c, _ = jobs.DecodeCommand(data)
	}
	return d.state.Apply(d.index, c)
}

func newBenchDomain(workers int) *benchDomain {
	d := &benchDomain{state: jobs.New(), workerCount: workers, encodes: true}
	defer func() { d.encodes = false }()
	d.apply(&jobs.SetConfig{
		Version:  1,
		Rules:    placement.Rules{Domain: simDomain, Customers: []structs.Customer{{Name: "remada0"}, {Name: "remada1"}}},
		Grants:   []structs.Grant{{Customer: "remada0"}, {Customer: "remada1"}},
		Topology: structs.FailureDomain{Racks: workers, WorkersPerRack: 1, AcceleratorsPerWorker: tasksPerWorker},
	})
	for w := range workers {
		d.apply(&jobs.RegisterWorker{Worker: benchWorker(w), Incarnation: 1})
	}
	for i := range workers * tasksPerWorker {
		d.start(i)
	}
	return d
}

func (d *benchDomain) start(i int) {
	id := d.apply(&jobs.Submit{Spec: benchSpec(i)}).Job.ID
	members := []structs.Member{{Worker: benchWorker(i / tasksPerWorker % d.workerCount).ID, Accelerators: []int{i % tasksPerWorker}}}
	d.apply(&jobs.ApplyPlan{Starts: []jobs.PlannedStart{{Job: id, Members: members}}})
	d.apply(&jobs.StartGang{Job: id, Run: 1})
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

func (d *benchDomain) report(w int) structs.WorkerReport {
	r := structs.WorkerReport{Worker: benchWorker(w), Incarnation: 1}
	for i := range tasksPerWorker {
		id := fmt.Sprintf("%s-%d", simDomain, w*tasksPerWorker+i+1)
		r.Tasks = append(r.Tasks, structs.TaskReport{Job: id, Run: 1, Phase: structs.TaskRunning})
	}
	return r
}

func eachSize(b *testing.B, f func(b *testing.B, d *benchDomain)) {
	for _, workers := range []int{50, 200, 910, 1820} {
		d := newBenchDomain(workers)
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) { f(b, d) })
	}
}

// BenchmarkTick measures a Tick after one job has changed.
func BenchmarkTick(b *testing.B) {
	eachSize(b, func(b *testing.B, d *benchDomain) {
		c := newBenchController(d)
		now := 2 * time.Second
		i := d.workerCount * tasksPerWorker
		for b.Loop() {
			d.apply(&jobs.Cancel{Job: d.apply(&jobs.Submit{Spec: benchSpec(i)}).Job.ID})
			i++
			now += 50 * time.Microsecond
			c.Tick(now)
		}
	})
}

// BenchmarkIdleTick measures a Tick without changes.
func BenchmarkIdleTick(b *testing.B) {
	eachSize(b, func(b *testing.B, d *benchDomain) {
		c := newBenchController(d)
		now := 2 * time.Second
		for b.Loop() {
			now += time.Microsecond
			c.Tick(now)
		}
	})
}

// BenchmarkRenew measures the renewal of a worker with 18 running tasks.
func BenchmarkRenew(b *testing.B) {
	eachSize(b, func(b *testing.B, d *benchDomain) {
		c := newBenchController(d)
		reports := make([]structs.WorkerReport, d.workerCount)
		for w := range reports {
			reports[w] = d.report(w)
		}
		i := 0
		for b.Loop() {
			orders, refusal := c.Renew(time.Second, reports[i%d.workerCount], true)
			if refusal != nil || len(orders.Tasks) != tasksPerWorker {
				b.Fatal(refusal, len(orders.Tasks))
			}
			i++
		}
	})
}

func newBenchController(d *benchDomain) *jobs.Controller {
	c := jobs.NewController(jobs.DefaultControllerConfig(idlePlanner{}), d.state, 0, d.state.Term()+1)
	for _, command := range c.Tick(0) {
		d.index++
		d.state.Apply(d.index, command)
	}
	c.Tick(time.Second)
	return c
}

// BenchmarkApply measures the five commands from submission to cancellation of a
// job, including encoding and decoding.
func BenchmarkApply(b *testing.B) {
	eachSize(b, func(b *testing.B, d *benchDomain) {
		d.apply(&jobs.RegisterWorker{Worker: structs.Worker{ID: "spare", Accelerators: 8}, Incarnation: 1})
		i := d.workerCount * tasksPerWorker
		for b.Loop() {
			submit := &jobs.Submit{Spec: benchSpec(i)}
			id := d.applyEncoded(b, submit).Job.ID
			d.applyEncoded(b, &jobs.ApplyPlan{Starts: []jobs.PlannedStart{{Job: id, Members: []structs.Member{{Worker: "spare", Accelerators: []int{3}}}}}})
			d.applyEncoded(b, &jobs.StartGang{Job: id, Run: 1})
			d.applyEncoded(b, &jobs.ReportTasks{Reports: []jobs.MemberReport{{Worker: "spare", Job: id, Run: 1, Phase: structs.TaskSucceeded}}})
			d.applyEncoded(b, &jobs.Cancel{Job: id})
			i++
		}
	})
}

func (d *benchDomain) applyEncoded(b *testing.B, body jobs.Body) jobs.Result {
	data, _ := jobs.EncodeCommand(jobs.Command{Term: 1, Clock: time.Hour, Body: body})
	c, err := jobs.DecodeCommand(data)
	if err != nil {
		b.Fatal(err)
	}
	d.index++
	return d.state.Apply(d.index, c)
}

// BenchmarkSnapshot measures the time and size of a snapshot.
func BenchmarkSnapshot(b *testing.B) {
	eachSize(b, func(b *testing.B, d *benchDomain) {
		var image []byte
		for b.Loop() {
			image, _ = d.state.Snapshot()
		}
		b.ReportMetric(float64(len(image)), "bytes")
	})
}

// TestSizes logs the encoded size of messages and commands, and the memory per
// worker and job. It checks nothing.
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
	d := newBenchDomain(200)
	state := heap()
	c := newBenchController(d)
	report := d.report(7)
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
	runtime.KeepAlive(d)
	runtime.KeepAlive(c)
	runtime.KeepAlive(idleWorkers)
}
