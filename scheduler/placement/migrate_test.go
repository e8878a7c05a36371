package placement_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cranberrydrum.dev/scheduler/placement"
	"cranberrydrum.dev/scheduler/structs"
)

var _ = Describe("migration", func() {
	const now = 100 * time.Hour
	var s *placement.Scheduler
	var mover placement.Running

	// The gang needs both workers of a rack. In the first rack only the job "mover"
	// runs. In the second, two jobs that cannot checkpoint leave enough accelerators
	// for "mover".
	BeforeEach(func() {
		s = newTwoWorkerScheduler(structs.Guarantee{Customer: "g", Domain: "d", Shape: structs.Shape{Accelerators: 2}})
		for _, id := range []string{"w2", "w3"} {
			s.SetWorker(structs.Worker{ID: id, Rack: "r2", Accelerators: 4})
		}
		mover = running("mover", "x", "w0", now-time.Hour, 5*time.Hour, 0, 1)
		mover.Spec.CheckpointTime = time.Second
		s.SetRunning(running("fixed1", "x", "w2", now-2*time.Hour, 9*time.Hour, 0, 1))
		s.SetRunning(running("fixed2", "x", "w3", now-2*time.Hour, 9*time.Hour, 0, 1, 2, 3))
		s.SetQueued(queued("gang", "a", structs.PriorityNormal, 8, now-30*time.Minute, time.Hour))
	})
	stopped := func() []placement.Preempt {
		s.SetRunning(mover)
		return s.Round(now).Preempts
	}

	// Guards against a gang that waits for hours for a small job that could
	// continue on other accelerators.
	It("migrates a job that delays a gang", func() {
		Expect(stopped()).To(Equal([]placement.Preempt{
			{Job: "mover", Requester: "gang", Checkpoint: true, Grace: placement.DefaultReclaimGrace},
		}))
	})

	// Guards against migrations that lose more than they gain, and against broken
	// guarantees.
	It("does not migrate jobs that lose more, have just started, are urgent or inside their guarantee", func() {
		mover.Spec.CheckpointTime = 0
		Expect(stopped()).To(BeEmpty())
		mover.Spec.CheckpointTime = placement.DefaultReclaimGrace + time.Second
		Expect(stopped()).To(BeEmpty())
		mover.Spec.CheckpointTime = time.Second
		mover.Spec.Priority = structs.PriorityUrgent
		Expect(stopped()).To(BeEmpty())
		mover.Spec.Priority = structs.PriorityNormal
		mover.Spec.Customer = "g"
		Expect(stopped()).To(BeEmpty())
		mover.Spec.Customer = "x"
		mover.Started = now - placement.DefaultMigrateAfter + time.Second
		Expect(stopped()).To(BeEmpty())
		mover.Started, mover.Estimate = now-time.Hour, time.Hour+70*time.Second
		Expect(stopped()).To(BeEmpty())
	})

	// Guards against a job that has to wait for a gang that was queued after the job
	// started.
	It("migrates a job without accelerators elsewhere only if the gang was queued first", func() {
		s.SetRunning(running("fixed3", "x", "w2", now-2*time.Hour, 9*time.Hour, 2, 3))
		Expect(stopped()).To(BeEmpty())
		mover.Started = now - 20*time.Minute
		Expect(stopped()).To(HaveLen(1))
	})
})
