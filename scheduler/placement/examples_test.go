package placement_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cranberrydrum.dev/scheduler/placement"
	"cranberrydrum.dev/scheduler/structs"
)

// newTwoWorkerScheduler returns a scheduler with one rack of two workers of four
// accelerators.
func newTwoWorkerScheduler(guarantees ...structs.Guarantee) *placement.Scheduler {
	s := placement.New(placement.Config{})
	s.SetRules(placement.Rules{
		Domain:     "d",
		Topology:   structs.FailureDomain{Name: "d", Racks: 1, WorkersPerRack: 2, AcceleratorsPerWorker: 4},
		Customers:  []structs.Customer{{Name: "heavy", Weight: 3}},
		Guarantees: guarantees,
	})
	for _, id := range []string{"w0", "w1"} {
		s.SetWorker(structs.Worker{ID: id, Rack: "r", Accelerators: 4})
	}
	return s
}

func running(id, customer, worker string, started, estimate time.Duration, accelerators ...int) placement.Running {
	return placement.Running{
		ID: id, Started: started, Estimate: estimate, ReservedIndex: uint64(started),
		Spec:    structs.JobSpec{Customer: customer, Priority: structs.PriorityNormal, Accelerators: len(accelerators)},
		Members: []structs.Member{{Worker: worker, Accelerators: accelerators}},
	}
}

func queued(id, customer string, p structs.Priority, n int, since, estimate time.Duration) placement.Queued {
	return placement.Queued{
		ID: id, QueuedAt: since, Estimate: estimate,
		Spec: structs.JobSpec{Customer: customer, Priority: p, Accelerators: n},
	}
}

func started(plan placement.Plan) []string {
	var ids []string
	for _, s := range plan.Starts {
		ids = append(ids, s.Job)
	}
	return ids
}

var _ = Describe("Round", func() {
	const now = 100 * time.Hour

	// Guards against preempting a job that has run for a long time although
	// preempting a younger job, or one with a short checkpoint, loses less.
	It("preempts the jobs that lose the fewest accelerator-hours", func() {
		s := newTwoWorkerScheduler()
		s.SetRunning(running("old", "x", "w0", now-9*time.Hour, 0, 0, 1, 2, 3))
		s.SetRunning(running("young", "x", "w1", now-time.Hour, 0, 0, 1, 2, 3))
		s.SetQueued(queued("u", "y", structs.PriorityUrgent, 2, now, 0))
		Expect(s.Round(now).Preempts).To(Equal([]placement.Preempt{{Job: "young", Requester: "u"}}))
		quick := running("old", "x", "w0", now-9*time.Hour, 0, 0, 1, 2, 3)
		quick.Spec.CheckpointTime = time.Second
		s.SetRunning(quick)
		Expect(s.Round(now).Preempts).To(Equal([]placement.Preempt{
			{Job: "old", Requester: "u", Checkpoint: true, Grace: 2 * time.Second},
		}))
	})

	// Guards against a small job that uses up the worker slot of its customer, so
	// that no slot is left for a job of a whole worker.
	It("keeps large slots for large jobs", func() {
		s := newTwoWorkerScheduler(
			structs.Guarantee{Customer: "a", Domain: "d", Shape: structs.Shape{Workers: 1, Accelerators: 2}},
			structs.Guarantee{Customer: "b", Domain: "d", Shape: structs.Shape{Accelerators: 2}},
		)
		s.SetRunning(running("b1", "b", "w0", time.Hour, 0, 2, 3))
		s.SetRunning(running("x1", "x", "w0", time.Hour, 0, 0, 1))
		s.SetQueued(queued("small", "a", structs.PriorityNormal, 2, now-2, 0))
		s.SetQueued(queued("large", "a", structs.PriorityNormal, 4, now-1, 0))
		plan := s.Round(now)
		Expect(started(plan)).To(Equal([]string{"large"}))
		Expect(plan.Preempts).To(Equal([]placement.Preempt{{Job: "x1", Requester: "small"}}))
	})

	// Guards against a large gang that starves because small jobs take each
	// accelerator that becomes free, and against reserved accelerators that stay
	// idle although a short job could use them.
	It("reserves for a starving gang and backfills only jobs that end in time", func() {
		s := newTwoWorkerScheduler()
		s.SetRunning(running("r", "x", "w0", now-time.Hour, 2*time.Hour, 0, 1, 2, 3))
		s.SetQueued(queued("gang", "a", structs.PriorityNormal, 8, now-time.Hour, time.Hour))
		s.SetQueued(queued("long", "b", structs.PriorityNormal, 2, now-time.Minute, 2*time.Hour))
		s.SetQueued(queued("short", "c", structs.PriorityNormal, 2, now-time.Minute, 30*time.Minute))
		s.SetQueued(queued("unknown", "d", structs.PriorityNormal, 2, now-time.Minute, 0))
		plan := s.Round(now)
		Expect(started(plan)).To(Equal([]string{"short"}))
		Expect(plan.Waiting).To(ContainElement(And(
			HaveField("Job", "gang"),
			HaveField("Code", placement.WaitReserved),
			HaveField("ExpectedStart", now+time.Hour),
		)))
	})

	// Guards against a gang that cannot start again after one of its workers has
	// restarted: small jobs of customers with a smaller share were placed first
	// and took a part of its rack.
	It("restarts a gang whose run was lost with a worker before other jobs", func() {
		s := newTwoWorkerScheduler()
		s.SetRunning(running("gang", "a", "w0", now-time.Hour, 2*time.Hour, 0, 1, 2, 3))
		again := queued("gang", "a", structs.PriorityNormal, 8, now-time.Minute, 2*time.Hour)
		again.Interrupted = true
		s.SetQueued(again)
		s.SetQueued(queued("older", "b", structs.PriorityNormal, 8, now-time.Hour, time.Hour))
		s.SetQueued(queued("small", "c", structs.PriorityNormal, 2, now-2*time.Minute, 2*time.Hour))
		Expect(started(s.Round(now))).To(Equal([]string{"gang"}))
	})

	// Guards against bulk jobs that never run while normal jobs arrive, and against
	// ageing that puts them before urgent jobs.
	It("raises bulk jobs to normal priority with age", func() {
		s := newTwoWorkerScheduler()
		s.SetRunning(running("r", "x", "w0", now-time.Hour, 0, 0, 1, 2, 3))
		s.SetQueued(queued("bulk", "a", structs.PriorityBulk, 4, now-time.Hour, 0))
		s.SetQueued(queued("normal", "a", structs.PriorityNormal, 4, now-time.Minute, 0))
		Expect(started(s.Round(now))).To(Equal([]string{"normal"}))
		Expect(started(s.Round(now + 2*time.Hour))).To(Equal([]string{"bulk"}))
		s.SetQueued(queued("urgent", "a", structs.PriorityUrgent, 4, now, 0))
		Expect(started(s.Round(now + 2*time.Hour))[0]).To(Equal("urgent"))
	})

	// Guards against shares that are not in proportion to the customers' weights.
	It("shares accelerators by weight", func() {
		s := newTwoWorkerScheduler()
		for i := range 8 {
			id := string(rune('0' + i))
			s.SetQueued(queued("h"+id, "heavy", structs.PriorityNormal, 1, now, 0))
			s.SetQueued(queued("l"+id, "light", structs.PriorityNormal, 1, now, 0))
		}
		light := 0
		for _, id := range started(s.Round(now)) {
			if id[0] == 'l' {
				light++
			}
		}
		Expect(light).To(Equal(2))
	})

	// Guards against a gang that waits for ever for the only rack that is large
	// enough, in which it avoids a worker, although other workers are free.
	It("spreads a gang that avoids a worker of the only whole rack", func() {
		s := newTwoWorkerScheduler()
		s.SetWorker(structs.Worker{ID: "w2", Rack: "q", Accelerators: 4})
		avoiding := queued("g", "x", structs.PriorityNormal, 8, now, 0)
		avoiding.Avoid = []string{"w0"}
		s.SetQueued(avoiding)
		Expect(started(s.Round(now))).To(Equal([]string{"g"}))
	})

	// Guards against jobs that wait for ever without a reported reason.
	It("reports jobs that can never run", func() {
		s := newTwoWorkerScheduler()
		s.SetQueued(queued("big", "a", structs.PriorityNormal, 9, now, 0))
		plan := s.Round(now)
		Expect(plan.Waiting).To(ConsistOf(And(HaveField("Job", "big"), HaveField("Code", placement.WaitNeverRunnable))))
		rules := placement.Rules{Domain: "d", Quotas: []structs.Quota{{Customer: "a", Accelerators: 4}}}
		err := placement.NeverRunnable(rules, structs.JobSpec{Customer: "a", Accelerators: 5})
		Expect(err).To(Equal(&placement.NeverRunnableError{Reason: placement.NeverOverQuota, Wanted: 5, Limit: 4}))
	})
})

var _ = Describe("Estimator", func() {
	// Guards against estimates that a few very long runs distort, as they do with a
	// mean.
	It("uses the median of the customer's ratios", func() {
		e := placement.NewEstimator()
		spec := structs.JobSpec{Customer: "a", DeclaredRuntime: 2 * time.Hour}
		for i := range 500 {
			measured := time.Hour
			if i%10 == 0 {
				measured = 50 * time.Hour
			}
			e.Observe(spec, measured)
		}
		Expect(e.Estimate(spec)).To(BeNumerically("~", time.Hour, 20*time.Minute))
		spec.Customer = "b"
		Expect(e.Estimate(spec)).To(Equal(2 * time.Hour))
	})
})
