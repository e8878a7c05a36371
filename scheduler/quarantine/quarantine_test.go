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

var _ = Describe("Tracker", func() {
	var tracker *quarantine.Tracker
	var run uint64
	fails := func(at time.Duration, worker, job string) { run++; tracker.RecordFailure(at, worker, job, run, at) }

	BeforeEach(func() {
		tracker = quarantine.New(quarantine.DefaultConfig())
		tracker.SetFleetSize(50)
	})

	// Guards against a faulty worker that is not quarantined although its jobs succeed
	// elsewhere, and against a quarantine before the threshold.
	It("quarantines a worker on which jobs fail that succeed elsewhere", func() {
		for i, job := range []string{"a", "b", "c"} {
			fails(0, "w", job)
			Expect(tracker.Quarantined("w")).To(BeFalse())
			tracker.RecordSuccess(time.Second, "other", job, 0)
			Expect(tracker.Quarantined("w")).To(Equal(i == 2))
		}
	})

	// Guards against healthy workers that are quarantined because of faulty jobs.
	It("does not count failures of faulty jobs against workers", func() {
		for i := range 40 {
			job := fmt.Sprint(i)
			for _, w := range []string{"w", "x", "y", "z"} {
				fails(time.Second, w, job)
			}
			tracker.RecordJobEnd(time.Second, job, true)
		}
		Expect(tracker.Statuses()).To(BeEmpty())
	})

	// Guards against a healthy worker that stays quarantined after a job that failed on
	// it has also failed on another worker.
	It("releases a worker when its failed jobs prove faulty", func() {
		for i := range 6 {
			fails(0, "w", fmt.Sprint(i))
		}
		Expect(tracker.Quarantined("w")).To(BeTrue())
		fails(time.Second, "x", "0")
		Expect(tracker.Quarantined("w")).To(BeFalse())
		Expect(tracker.Statuses()).To(HaveLen(1), "the release must be reported for replication")
	})

	// Guards against a quarantine of healthy workers on which the other members of
	// failed gangs ran.
	It("counts only the first failure of a run", func() {
		for i := range 6 {
			tracker.RecordFailure(0, "first", fmt.Sprint(i), 1, 0)
			tracker.RecordFailure(0, "second", fmt.Sprint(i), 1, 0)
		}
		Expect(tracker.Quarantined("first")).To(BeTrue())
		Expect(tracker.Quarantined("second")).To(BeFalse())
	})

	// Guards against probes that come too often after a change of leader, and against a
	// release by a run that began before the probe.
	It("probes with exponential backoff, also after a change of leader, and releases after a success", func() {
		for i := range 6 {
			fails(0, "w", fmt.Sprint(i))
		}
		now := time.Duration(0)
		for _, minutes := range []int{1, 2, 4, 8, 16, 32, 60, 60} {
			wait := time.Duration(minutes) * time.Minute
			tracker.Tick(now + wait - 1)
			Expect(tracker.Statuses()[0].ProbeAllowed).To(BeFalse())
			now += wait
			tracker.Tick(now)
			Expect(tracker.Statuses()[0].ProbeAllowed).To(BeTrue())
			fails(now, "w", fmt.Sprint("probe", minutes, now))
			next := quarantine.New(quarantine.DefaultConfig())
			next.Restore(tracker.Statuses()[0])
			tracker = next
		}
		tracker.Tick(now + time.Hour)
		tracker.RecordSuccess(now+time.Hour, "w", "old", now)
		Expect(tracker.Quarantined("w")).To(BeTrue(), "a run that began before the probe does not count")
		tracker.RecordSuccess(now+time.Hour, "w", "new", now+time.Hour)
		Expect(tracker.Quarantined("w")).To(BeFalse())
	})
})

// simulation is one run of TestExperiment. Jobs with one accelerator each
// arrive at a failure domain of 50 workers with 8 accelerators each. The first
// faultyWorkers workers fail every job.
type simulation struct {
	tracker *quarantine.Tracker
	rng     *rand.Rand
	// arrivals is a separate source of random numbers, so that runs with and
	// without quarantine see the same jobs.
	arrivals      *rand.Rand
	now           time.Duration
	free          [50]int
	faultyWorkers int
	ends          endHeap
	queue         []*simJob
	statuses      map[string]quarantine.Status
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

func runSimulation(faultyWorkers int, tracker *quarantine.Tracker) simulationResult {
	sim := &simulation{tracker: tracker, rng: rand.New(rand.NewPCG(11, 1)), arrivals: rand.New(rand.NewPCG(11, 2)), faultyWorkers: faultyWorkers, statuses: map[string]quarantine.Status{}, probeUsed: map[string]time.Duration{}}
	for i := range sim.free {
		sim.free[i] = 8
	}
	for ; sim.now < simulatedTime; sim.now += simulationStep {
		for len(sim.ends) > 0 && sim.ends[0].end+reportDelay <= sim.now {
			sim.end(heap.Pop(&sim.ends).(*simJob))
		}
		for range 3 + sim.arrivals.IntN(3) {
			sim.result.jobs++
			sim.queue = append(sim.queue, &simJob{
				id: fmt.Sprint(sim.result.jobs), faulty: sim.arrivals.IntN(50) == 0,
				length: 10*time.Second + time.Duration(sim.arrivals.Int64N(int64(40*time.Second))), submitted: sim.now,
			})
		}
		sim.updateStatuses()
		sim.place()
	}
	sim.result.delay /= time.Duration(sim.result.jobs)
	return sim.result
}

// updateStatuses reports runs that have lasted longer than any failed run to the
// tracker as successes, and copies the tracker's statuses.
func (sim *simulation) updateStatuses() {
	if sim.tracker == nil {
		return
	}
	for _, j := range sim.ends {
		if len(j.failedOn) > 0 && j.end > sim.now && sim.now-j.started > 5*time.Second {
			sim.tracker.RecordSuccess(sim.now, name(j.worker), j.id, j.started)
		}
	}
	sim.tracker.Tick(sim.now)
	for _, s := range sim.tracker.Statuses() {
		var worker int
		fmt.Sscanf(s.Worker, "w%d", &worker)
		if s.Quarantined && !sim.statuses[s.Worker].Quarantined && worker >= sim.faultyWorkers {
			sim.result.falseQuarantines++
		}
		sim.statuses[s.Worker] = s
	}
}

func name(worker int) string { return fmt.Sprintf("w%d", worker) }

// accepts reports whether a worker may receive a job now.
func (sim *simulation) accepts(worker int) bool {
	s := sim.statuses[name(worker)]
	return sim.free[worker] > 0 && (!s.Quarantined || (s.ProbeAllowed && sim.probeUsed[s.Worker] != s.NextProbe))
}

func (sim *simulation) place() {
	var waiting []*simJob
	for _, j := range sim.queue {
		order := sim.rng.Perm(len(sim.free))
		i := slices.IndexFunc(order, func(w int) bool { return sim.accepts(w) && !slices.Contains(j.failedOn, w) })
		if i < 0 {
			waiting = append(waiting, j)
			continue
		}
		j.worker = order[i]
		sim.probeUsed[name(j.worker)] = sim.statuses[name(j.worker)].NextProbe
		sim.free[j.worker]--
		j.run++
		j.started = sim.now
		j.end = sim.now + j.length
		if j.faulty || j.worker < sim.faultyWorkers {
			j.end = sim.now + failureDelay
		}
		heap.Push(&sim.ends, j)
	}
	sim.queue = waiting
}

func (sim *simulation) end(j *simJob) {
	sim.free[j.worker]++
	if !j.faulty && j.worker >= sim.faultyWorkers {
		sim.result.delay += sim.now - j.submitted - j.length
		if sim.tracker != nil {
			sim.tracker.RecordSuccess(sim.now, name(j.worker), j.id, j.started)
			sim.tracker.RecordJobEnd(sim.now, j.id, false)
		}
		return
	}
	j.failedOn = append(j.failedOn, j.worker)
	if sim.tracker != nil {
		sim.tracker.RecordFailure(sim.now, name(j.worker), j.id, j.run, j.started)
	}
	if !j.faulty {
		sim.result.failedRuns++
	}
	if len(j.failedOn) < 4 {
		sim.queue = append(sim.queue, j)
		return
	}
	if !j.faulty {
		sim.result.failedJobs++
	}
	if sim.tracker != nil {
		sim.tracker.RecordJobEnd(sim.now, j.id, true)
	}
}

// TestExperiment compares runs with and without quarantine. It guards against a
// quarantine that comes too late or affects healthy workers. For each worker that
// fails every job, the number of failed runs is bounded by the sum of: the
// threshold minus one, for failures whose cause is still open; one per
// accelerator in use when the worker is quarantined; and one per probe.
func TestExperiment(t *testing.T) {
	g := NewWithT(t)
	for _, faulty := range []int{1, 3} {
		without := runSimulation(faulty, nil)
		tracker := quarantine.New(quarantine.DefaultConfig())
		tracker.SetFleetSize(50)
		with := runSimulation(faulty, tracker)
		t.Logf("%d faulty workers of 50: without quarantine %+v", faulty, without)
		t.Logf("%d faulty workers of 50: with quarantine    %+v", faulty, with)
		const inUse, probes = 8, 5
		g.Expect(with.failedRuns).To(BeNumerically("<=", faulty*(quarantine.DefaultConfig().Threshold-1+inUse+probes)))
		g.Expect(with.failedJobs).To(BeZero())
		g.Expect(with.falseQuarantines).To(BeZero())
	}
}
