package placement_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"cranberrydrum.dev/scheduler/placement"
	"cranberrydrum.dev/scheduler/structs"
)

// cluster is a busy failure domain: running jobs hold almost all accelerators, and
// the remaining jobs wait.
type cluster struct {
	s       *placement.Scheduler
	running []placement.Running
	queued  []placement.Queued
}

const benchNow = 10 * time.Hour

func newCluster(workers, perWorker, customers, jobs int) *cluster {
	c := &cluster{s: placement.New(placement.Config{})}
	c.s.SetRules(benchRules(workers, perWorker, customers))
	for i := range workers {
		c.s.SetWorker(structs.Worker{
			ID: fmt.Sprintf("w%04d", i), Rack: fmt.Sprintf("r%03d", i/8), Accelerators: perWorker,
		})
	}
	c.fill(workers, perWorker, customers, jobs)
	c.applyPlans()
	return c
}

// applyPlans runs rounds and applies their plans until nothing changes, so that a
// benchmark measures the effect of one change and not the initial claims of all
// customers.
func (c *cluster) applyPlans() {
	running := map[string]placement.Running{}
	for _, r := range c.running {
		running[r.ID] = r
	}
	waiting := map[string]placement.Queued{}
	for _, q := range c.queued {
		waiting[q.ID] = q
	}
	for i := range 50 {
		plan := c.s.Round(benchNow)
		for _, p := range plan.Preempts {
			r := running[p.Job]
			delete(running, p.Job)
			waiting[p.Job] = placement.Queued{ID: r.ID, Spec: r.Spec, QueuedAt: benchNow, Estimate: r.Estimate}
			c.s.SetQueued(waiting[p.Job])
		}
		for _, start := range plan.Starts {
			q := waiting[start.Job]
			delete(waiting, start.Job)
			running[q.ID] = placement.Running{
				ID: q.ID, Spec: q.Spec, Members: start.Members, ReservedIndex: uint64(20000 + i), Started: benchNow, Estimate: q.Estimate,
			}
			c.s.SetRunning(running[q.ID])
		}
		if len(plan.Preempts)+len(plan.Starts) == 0 {
			break
		}
	}
	c.running = c.running[:0]
	for _, id := range keys(running) {
		c.running = append(c.running, running[id])
	}
}

func benchRules(workers, perWorker, customers int) placement.Rules {
	rules := placement.Rules{Domain: "d", Topology: structs.FailureDomain{
		Name: "d", Racks: workers / 8, WorkersPerRack: 8, AcceleratorsPerWorker: perWorker,
	}}
	for i := range customers {
		name := fmt.Sprintf("c%03d", i)
		rules.Customers = append(rules.Customers, structs.Customer{Name: name, Weight: 1 + i%3})
		shape := structs.Shape{Workers: workers / customers / 4, Accelerators: 5}
		if i < workers/64 {
			shape.Racks = 1
		}
		rules.Guarantees = append(rules.Guarantees, structs.Guarantee{Customer: name, Domain: "d", Shape: shape})
		rules.Quotas = append(rules.Quotas, structs.Quota{Customer: name, Accelerators: workers * perWorker / 2})
	}
	return rules
}

// fill starts jobs of 1, 2 and 4 accelerators on all but two accelerators and
// queues the remaining jobs.
func (c *cluster) fill(workers, perWorker, customers, jobs int) {
	id := 0
	for w := range workers {
		for a := 0; a < perWorker; {
			n := []int{1, 1, 2, 4}[(w+a)%4]
			n = min(n, perWorker-a)
			if n == 4 && a%4 != 0 || n == 2 && a%2 != 0 {
				n = 1
			}
			if id < jobs && (w > 0 || a > 1) {
				c.run(id, w, a, n, customers)
				id++
			}
			a += n
		}
	}
	for ; id < jobs; id++ {
		q := placement.Queued{
			ID: fmt.Sprintf("j%05d", id), Spec: spec(id, []int{1, 2, 4, 8, 16, 64}[id%6], customers),
			QueuedAt: benchNow - time.Duration(id)*time.Second, Estimate: time.Hour,
		}
		c.queued = append(c.queued, q)
		c.s.SetQueued(q)
	}
}

func spec(id, size, customers int) structs.JobSpec {
	return structs.JobSpec{
		Customer: fmt.Sprintf("c%03d", id%customers), Priority: structs.Priority(id % 2), Accelerators: size,
		CheckpointTime: time.Duration(id%4) * time.Second,
	}
}

func (c *cluster) run(id, w, a, n, customers int) {
	member := structs.Member{Worker: fmt.Sprintf("w%04d", w)}
	for i := range n {
		member.Accelerators = append(member.Accelerators, a+i)
	}
	r := placement.Running{
		ID: fmt.Sprintf("j%05d", id), Spec: spec(id, n, customers), Members: []structs.Member{member},
		ReservedIndex: uint64(id + 1), Started: time.Duration(id) * time.Second, Estimate: 12 * time.Hour,
	}
	c.running = append(c.running, r)
	c.s.SetRunning(r)
}

// BenchmarkRound measures a round after one job has finished, and the start of
// another job on its accelerators.
func BenchmarkRound(b *testing.B) {
	for _, workers := range []int{50, 200, 910, 1820} {
		customers := max(4, 110*min(workers, 910)/910)
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			benchRound(b, newCluster(workers, 8, customers, workers*16000/910))
		})
	}
	b.Run("workers=910/perWorker=32/running=16000", func(b *testing.B) {
		benchRound(b, newCluster(910, 32, 110, 16000))
	})
}

func benchRound(b *testing.B, c *cluster) {
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		r := c.running[(i*7919)%len(c.running)]
		c.s.Remove(r.ID)
		c.s.Round(benchNow + time.Duration(i))
		r.ReservedIndex = uint64(30000 + i)
		c.s.SetRunning(r)
	}
}

// BenchmarkRoundAfterWorkerChange measures a round after a worker was quarantined
// or released.
func BenchmarkRoundAfterWorkerChange(b *testing.B) {
	c := newCluster(910, 8, 110, 16000)
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		c.s.SetWorker(structs.Worker{ID: "w0000", Rack: "r000", Accelerators: 8, Quarantined: i%2 == 0})
		c.s.Round(benchNow + time.Duration(i))
	}
}

// BenchmarkRoundAfterWorkerLoss measures a round with the rebuild after a worker
// was lost or registered again.
func BenchmarkRoundAfterWorkerLoss(b *testing.B) {
	c := newCluster(910, 8, 110, 16000)
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		if i%2 == 0 {
			c.s.RemoveWorker("w0000")
		} else {
			c.s.SetWorker(structs.Worker{ID: "w0000", Rack: "r000", Accelerators: 8})
		}
		c.s.Round(benchNow + time.Duration(i))
	}
}

// BenchmarkRoundBurst measures a round that places 500 single-accelerator jobs in
// an idle failure domain. Their customers have unused guarantees.
func BenchmarkRoundBurst(b *testing.B) {
	c := newCluster(910, 8, 110, 0)
	for id := range 500 {
		c.s.SetQueued(placement.Queued{ID: fmt.Sprintf("b%05d", id), Spec: spec(id, 1, 110), QueuedAt: benchNow})
	}
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		if plan := c.s.Round(benchNow); len(plan.Starts) != 500 {
			b.Fatalf("%d jobs started, want 500", len(plan.Starts))
		}
	}
}

// BenchmarkMemory reports the live heap bytes per worker, running job, waiting job
// and customer.
func BenchmarkMemory(b *testing.B) {
	live := func(build func() any) (any, float64) {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		retained := build()
		runtime.GC()
		runtime.ReadMemStats(&after)
		return retained, float64(after.HeapAlloc) - float64(before.HeapAlloc)
	}
	measure := func(unit string, n int, build func() any) {
		retained, bytes := live(build)
		b.ReportMetric(bytes/float64(n), "B/"+unit)
		runtime.KeepAlive(retained)
	}
	for range b.N {
		measure("worker", 1820, func() any { return newCluster(1820, 8, 1, 0).s })
		measure("customer", 1100, func() any { return newCluster(8, 8, 1100, 1100).s })
		c := newCluster(910, 32, 110, 0)
		full := newCluster(910, 32, 110, 16000)
		measure("running", 16000, func() any {
			for _, r := range full.running {
				c.s.SetRunning(r)
			}
			c.s.Inside()
			return c.s
		})
		measure("waiting", 16000, func() any {
			for i, r := range full.running {
				c.s.SetQueued(placement.Queued{ID: fmt.Sprintf("q%05d", i), Spec: r.Spec})
			}
			return c.s
		})
		runtime.KeepAlive(full)
	}
}
