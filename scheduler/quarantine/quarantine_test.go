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
	var k *quarantine.Keeper
	var run uint64
	fails := func(at time.Duration, worker, job string) { run++; k.Failed(at, worker, job, run, at) }

	BeforeEach(func() {
		k = quarantine.New(quarantine.DefaultConfig())
		k.SetFleet(50)
	})

	It("quarantines a worker on which jobs fail that run elsewhere", func() {
		for i, job := range []string{"a", "b", "c"} {
			fails(0, "w", job)
			Expect(k.Quarantined("w")).To(BeFalse())
			k.Succeeded(time.Second, "other", job, 0)
			Expect(k.Quarantined("w")).To(Equal(i == 2))
		}
	})

	It("charges bad jobs to themselves", func() {
		for i := range 40 {
			job := fmt.Sprint(i)
			for _, w := range []string{"w", "x", "y", "z"} {
				fails(time.Second, w, job)
			}
			k.Ended(time.Second, job, true)
		}
		Expect(k.Standings()).To(BeEmpty())
	})

	It("releases a worker when the jobs turn out to be bad", func() {
		for i := range 6 {
			fails(0, "w", fmt.Sprint(i))
		}
		Expect(k.Quarantined("w")).To(BeTrue())
		fails(time.Second, "x", "0")
		Expect(k.Quarantined("w")).To(BeFalse())
		Expect(k.Standings()).To(HaveLen(1), "the release has to reach the state")
	})

	It("counts the first failure of a run only", func() {
		for i := range 6 {
			k.Failed(0, "first", fmt.Sprint(i), 1, 0)
			k.Failed(0, "second", fmt.Sprint(i), 1, 0)
		}
		Expect(k.Quarantined("first")).To(BeTrue())
		Expect(k.Quarantined("second")).To(BeFalse())
	})

	It("probes after exponential waits, also under a new leader, and releases after a success", func() {
		for i := range 6 {
			fails(0, "w", fmt.Sprint(i))
		}
		now := time.Duration(0)
		for _, minutes := range []int{1, 2, 4, 8, 16, 32, 60, 60} {
			wait := time.Duration(minutes) * time.Minute
			k.Tick(now + wait - 1)
			Expect(k.Standings()[0].Probe).To(BeFalse())
			now += wait
			k.Tick(now)
			Expect(k.Standings()[0].Probe).To(BeTrue())
			fails(now, "w", fmt.Sprint("probe", minutes, now))
			next := quarantine.New(quarantine.DefaultConfig())
			next.Restore(k.Standings()[0])
			k = next
		}
		k.Tick(now + time.Hour)
		k.Succeeded(now+time.Hour, "w", "old", now)
		Expect(k.Quarantined("w")).To(BeTrue(), "a run from before the probe proves nothing")
		k.Succeeded(now+time.Hour, "w", "new", now+time.Hour)
		Expect(k.Quarantined("w")).To(BeFalse())
	})
})

// trial is one run of the experiment: jobs on one accelerator each arrive at a
// domain of 50 workers with 8 accelerators.
type trial struct {
	keeper *quarantine.Keeper
	rng    *rand.Rand
	// arrivals is separate, so that both policies see the same jobs.
	arrivals *rand.Rand
	now      time.Duration
	free     [50]int
	bad      int
	ends     endHeap
	queue    []*simJob
	closed   map[string]quarantine.Standing
	probed   map[string]time.Duration
	figures  figures
}

type figures struct {
	jobs, failedRuns, failedJobs, wrong int
	delay                               time.Duration
}

type simJob struct {
	id        string
	run       uint64
	bad       bool
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
	trialLength = 30 * time.Minute
	trialStep   = 500 * time.Millisecond
	failAfter   = 500 * time.Millisecond
	// reportLag is when the leader learns of an end.
	reportLag = time.Second
)

func runTrial(bad int, keeper *quarantine.Keeper) figures {
	t := &trial{keeper: keeper, rng: rand.New(rand.NewPCG(11, 1)), arrivals: rand.New(rand.NewPCG(11, 2)), bad: bad, closed: map[string]quarantine.Standing{}, probed: map[string]time.Duration{}}
	for i := range t.free {
		t.free[i] = 8
	}
	for ; t.now < trialLength; t.now += trialStep {
		for len(t.ends) > 0 && t.ends[0].end+reportLag <= t.now {
			t.end(heap.Pop(&t.ends).(*simJob))
		}
		for range 3 + t.arrivals.IntN(3) {
			t.figures.jobs++
			t.queue = append(t.queue, &simJob{
				id: fmt.Sprint(t.figures.jobs), bad: t.arrivals.IntN(50) == 0,
				length: 10*time.Second + time.Duration(t.arrivals.Int64N(int64(40*time.Second))), submitted: t.now,
			})
		}
		t.consult()
		t.place()
	}
	t.figures.delay /= time.Duration(t.figures.jobs)
	return t.figures
}

// consult lets the keeper see runs that last, and takes its standings.
func (t *trial) consult() {
	if t.keeper == nil {
		return
	}
	for _, j := range t.ends {
		if len(j.failedOn) > 0 && j.end > t.now && t.now-j.started > 5*time.Second {
			t.keeper.Succeeded(t.now, name(j.worker), j.id, j.started)
		}
	}
	t.keeper.Tick(t.now)
	for _, s := range t.keeper.Standings() {
		var worker int
		fmt.Sscanf(s.Worker, "w%d", &worker)
		if s.Quarantined && !t.closed[s.Worker].Quarantined && worker >= t.bad {
			t.figures.wrong++
		}
		t.closed[s.Worker] = s
	}
}

func name(worker int) string { return fmt.Sprintf("w%d", worker) }

func (t *trial) open(worker int) bool {
	s := t.closed[name(worker)]
	return t.free[worker] > 0 && (!s.Quarantined || (s.Probe && t.probed[s.Worker] != s.Until))
}

func (t *trial) place() {
	var waiting []*simJob
	for _, j := range t.queue {
		order := t.rng.Perm(len(t.free))
		i := slices.IndexFunc(order, func(w int) bool { return t.open(w) && !slices.Contains(j.failedOn, w) })
		if i < 0 {
			waiting = append(waiting, j)
			continue
		}
		j.worker = order[i]
		t.probed[name(j.worker)] = t.closed[name(j.worker)].Until
		t.free[j.worker]--
		j.run++
		j.started = t.now
		j.end = t.now + j.length
		if j.bad || j.worker < t.bad {
			j.end = t.now + failAfter
		}
		heap.Push(&t.ends, j)
	}
	t.queue = waiting
}

func (t *trial) end(j *simJob) {
	t.free[j.worker]++
	if !j.bad && j.worker >= t.bad {
		t.figures.delay += t.now - j.submitted - j.length
		if t.keeper != nil {
			t.keeper.Succeeded(t.now, name(j.worker), j.id, j.started)
			t.keeper.Ended(t.now, j.id, false)
		}
		return
	}
	j.failedOn = append(j.failedOn, j.worker)
	if t.keeper != nil {
		t.keeper.Failed(t.now, name(j.worker), j.id, j.run, j.started)
	}
	if !j.bad {
		t.figures.failedRuns++
	}
	if len(j.failedOn) < 4 {
		t.queue = append(t.queue, j)
		return
	}
	if !j.bad {
		t.figures.failedJobs++
	}
	if t.keeper != nil {
		t.keeper.Ended(t.now, j.id, true)
	}
}

// TestExperiment compares quarantine with none. A worker that fails every task
// may destroy at most one run less than the threshold of jobs not yet judged,
// one per accelerator that is then in use, and one per probe.
func TestExperiment(t *testing.T) {
	g := NewWithT(t)
	for _, bad := range []int{1, 3} {
		without := runTrial(bad, nil)
		keeper := quarantine.New(quarantine.DefaultConfig())
		keeper.SetFleet(50)
		with := runTrial(bad, keeper)
		t.Logf("%d bad of 50: without quarantine %+v", bad, without)
		t.Logf("%d bad of 50: with quarantine    %+v", bad, with)
		const inUse, probes = 8, 5
		g.Expect(with.failedRuns).To(BeNumerically("<=", bad*(quarantine.DefaultConfig().Threshold-1+inUse+probes)))
		g.Expect(with.failedJobs).To(BeZero())
		g.Expect(with.wrong).To(BeZero())
	}
}
