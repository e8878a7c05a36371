package quarantine_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cranberrydrum.dev/scheduler/quarantine"
)

func TestQuarantine(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "quarantine")
}

var _ = Describe("Keeper", func() {
	var k *quarantine.Tracker
	var run uint64
	fails := func(at time.Duration, worker, job string) { run++; k.RecordFailure(at, worker, job, run, at) }

	BeforeEach(func() {
		k = quarantine.New(quarantine.DefaultConfig())
		k.SetFleetSize(50)
	})

	It("quarantines a worker on which jobs fail that succeed elsewhere", func() {
		for i, job := range []string{"a", "b", "c"} {
			fails(0, "w", job)
			Expect(k.Quarantined("w")).To(BeFalse())
			k.RecordSuccess(time.Second, "other", job, 0)
			Expect(k.Quarantined("w")).To(Equal(i == 2))
		}
	})

	It("does not count failures of faulty jobs against workers", func() {
		for i := range 40 {
			job := fmt.Sprint(i)
			for _, w := range []string{"w", "x", "y", "z"} {
				fails(time.Second, w, job)
			}
			k.RecordJobEnd(time.Second, job, true)
		}
		Expect(k.Statuses()).To(BeEmpty())
	})

	It("releases a worker when its failed jobs prove faulty", func() {
		for i := range 6 {
			fails(0, "w", fmt.Sprint(i))
		}
		Expect(k.Quarantined("w")).To(BeTrue())
		fails(time.Second, "x", "0")
		Expect(k.Quarantined("w")).To(BeFalse())
		Expect(k.Statuses()).To(HaveLen(1), "the release must be reported for replication")
	})

	It("counts only the first failure of a run", func() {
		for i := range 6 {
			k.RecordFailure(0, "first", fmt.Sprint(i), 1, 0)
			k.RecordFailure(0, "second", fmt.Sprint(i), 1, 0)
		}
		Expect(k.Quarantined("first")).To(BeTrue())
		Expect(k.Quarantined("second")).To(BeFalse())
	})

	It("probes with exponential backoff, also after a change of leader, and releases after a success", func() {
		for i := range 6 {
			fails(0, "w", fmt.Sprint(i))
		}
		now := time.Duration(0)
		for _, minutes := range []int{1, 2, 4, 8, 16, 32, 60, 60} {
			wait := time.Duration(minutes) * time.Minute
			k.Tick(now + wait - 1)
			Expect(k.Statuses()[0].ProbeAllowed).To(BeFalse())
			now += wait
			k.Tick(now)
			Expect(k.Statuses()[0].ProbeAllowed).To(BeTrue())
			fails(now, "w", fmt.Sprint("probe", minutes, now))
			next := quarantine.New(quarantine.DefaultConfig())
			next.Restore(k.Statuses()[0])
			k = next
		}
		k.Tick(now + time.Hour)
		k.RecordSuccess(now+time.Hour, "w", "old", now)
		Expect(k.Quarantined("w")).To(BeTrue(), "a run that began before the probe does not count")
		k.RecordSuccess(now+time.Hour, "w", "new", now+time.Hour)
		Expect(k.Quarantined("w")).To(BeFalse())
	})
})

// simulation is one run of the experiment. Jobs with one accelerator each
// arrive at a failure domain of 50 workers with 8 accelerators each. The first
// faultyWorkers workers fail every job.
type simulation struct {
	keeper *quarantine.Tracker
	rng    *rand.Rand
	// arrivals is a separate source of random numbers, so that runs with and
	// without quarantine see the same jobs.
	arrivals      *rand.Rand
	now           time.Duration
	free          [50]int
	faultyWorkers int
	ends          endHeap
	queue         []*simJob
	standings     map[string]quarantine.Status
	probeUsed     map[string]time.Duration
	result        simulationResult
}

type simulationResult struct {
	jobs, failedRuns, failedJobs, falseQuarantines int
	delay                                          time.Duration
}

type simJob struct {
	id        string
	run       uint64
	faulty    bool
	length    time.Duration
	submitted time.Duration
	started   time.Duration
	end       time.Duration
	worker    int
	failedOn  []int
}

type endHeap []*simJob

func (h endHeap) Len() int           { return len(h) }
func (h endHeap) Less(a, b int) bool { return h[a].end < h[b].end }
func (h endHeap) Swap(a, b int)      { h[a], h[b] = h[b], h[a] }
func (h *endHeap) Push(x any)        { *h = append(*h, x.(*simJob)) }
func (h *endHeap) Pop() any {
	j := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return j
}

const (
	simulatedTime  = 30 * time.Minute
	simulationStep = 500 * time.Millisecond
	failureDelay   = 500 * time.Millisecond
	// reportDelay is the time until the leader learns that a run ended.
	reportDelay = time.Second
)

func runSimulation(faultyWorkers int, keeper *quarantine.Tracker) simulationResult {
	t := &simulation{keeper: keeper, rng: rand.New(rand.NewPCG(11, 1)), arrivals: rand.New(rand.NewPCG(11, 2)), faultyWorkers: faultyWorkers, standings: map[string]quarantine.Status{}, probeUsed: map[string]time.Duration{}}
	for i := range t.free {
		t.free[i] = 8
	}
	for ; t.now < simulatedTime; t.now += simulationStep {
		for len(t.ends) > 0 && t.ends[0].end+reportDelay <= t.now {
			t.end(heap.Pop(&t.ends).(*simJob))
		}
		for range 3 + t.arrivals.IntN(3) {
			t.result.jobs++
			t.queue = append(t.queue, &simJob{
				id: fmt.Sprint(t.result.jobs), faulty: t.arrivals.IntN(50) == 0,
				length: 10*time.Second + time.Duration(t.arrivals.Int64N(int64(40*time.Second))), submitted: t.now,
			})
		}
		t.updateStandings()
		t.place()
	}
	t.result.delay /= time.Duration(t.result.jobs)
	return t.result
}

// updateStandings reports runs that last longer than a failure to the keeper,
// and copies its standings.
func (t *simulation) updateStandings() {
	if t.keeper == nil {
		return
	}
	for _, j := range t.ends {
		if len(j.failedOn) > 0 && j.end > t.now && t.now-j.started > 5*time.Second {
			t.keeper.RecordSuccess(t.now, name(j.worker), j.id, j.started)
		}
	}
	t.keeper.Tick(t.now)
	for _, s := range t.keeper.Statuses() {
		var worker int
		fmt.Sscanf(s.Worker, "w%d", &worker)
		if s.Quarantined && !t.standings[s.Worker].Quarantined && worker >= t.faultyWorkers {
			t.result.falseQuarantines++
		}
		t.standings[s.Worker] = s
	}
}

func name(worker int) string { return fmt.Sprintf("w%d", worker) }

// accepts reports whether a worker may receive a job now.
func (t *simulation) accepts(worker int) bool {
	s := t.standings[name(worker)]
	return t.free[worker] > 0 && (!s.Quarantined || (s.ProbeAllowed && t.probeUsed[s.Worker] != s.NextProbe))
}

func (t *simulation) place() {
	var waiting []*simJob
	for _, j := range t.queue {
		order := t.rng.Perm(len(t.free))
		i := slices.IndexFunc(order, func(w int) bool { return t.accepts(w) && !slices.Contains(j.failedOn, w) })
		if i < 0 {
			waiting = append(waiting, j)
			continue
		}
		j.worker = order[i]
		t.probeUsed[name(j.worker)] = t.standings[name(j.worker)].NextProbe
		t.free[j.worker]--
		j.run++
		j.started = t.now
		j.end = t.now + j.length
		if j.faulty || j.worker < t.faultyWorkers {
			j.end = t.now + failureDelay
		}
		heap.Push(&t.ends, j)
	}
	t.queue = waiting
}

func (t *simulation) end(j *simJob) {
	t.free[j.worker]++
	if !j.faulty && j.worker >= t.faultyWorkers {
		t.result.delay += t.now - j.submitted - j.length
		if t.keeper != nil {
			t.keeper.RecordSuccess(t.now, name(j.worker), j.id, j.started)
			t.keeper.RecordJobEnd(t.now, j.id, false)
		}
		return
	}
	j.failedOn = append(j.failedOn, j.worker)
	if t.keeper != nil {
		t.keeper.RecordFailure(t.now, name(j.worker), j.id, j.run, j.started)
	}
	if !j.faulty {
		t.result.failedRuns++
	}
	if len(j.failedOn) < 4 {
		t.queue = append(t.queue, j)
		return
	}
	if !j.faulty {
		t.result.failedJobs++
	}
	if t.keeper != nil {
		t.keeper.RecordJobEnd(t.now, j.id, true)
	}
}

// TestExperiment compares runs with and without quarantine. For each worker that
// fails every job, the number of failed runs is bounded by the sum of: the
// threshold minus one, for failures whose cause is still open; one per
// accelerator in use when the worker is quarantined; and one per probe.
func TestExperiment(t *testing.T) {
	g := NewWithT(t)
	for _, faulty := range []int{1, 3} {
		without := runSimulation(faulty, nil)
		keeper := quarantine.New(quarantine.DefaultConfig())
		keeper.SetFleetSize(50)
		with := runSimulation(faulty, keeper)
		t.Logf("%d faulty workers of 50: without quarantine %+v", faulty, without)
		t.Logf("%d faulty workers of 50: with quarantine    %+v", faulty, with)
		const inUse, probes = 8, 5
		g.Expect(with.failedRuns).To(BeNumerically("<=", faulty*(quarantine.DefaultConfig().Threshold-1+inUse+probes)))
		g.Expect(with.failedJobs).To(BeZero())
		g.Expect(with.falseQuarantines).To(BeZero())
	}
}
