package agent_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cranberrydrum.dev/scheduler/agent"
	"cranberrydrum.dev/scheduler/structs"
)

func TestAgent(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "agent")
}

const lease = 6 * time.Second

// harness drives one agent with a manual clock.
type harness struct {
	*agent.Agent
	now time.Duration
	seq uint64
}

func newHarness() *harness {
	return &harness{Agent: agent.New(structs.Worker{ID: "w", Accelerators: 4}, 1)}
}

func (b *harness) renew() uint64 {
	b.seq++
	b.Step(b.now, agent.RenewalSent{Seq: b.seq})
	return b.seq
}

func (b *harness) answer(seq, term uint64, granted time.Duration, tasks ...structs.TaskOrder) []agent.Effect {
	return b.Step(b.now, agent.OrdersReceived{Seq: seq, Orders: structs.WorkerOrders{Term: term, Lease: granted, Tasks: tasks}})
}

func (b *harness) order(tasks ...structs.TaskOrder) []agent.Effect {
	return b.answer(b.renew(), 1, lease, tasks...)
}

func (b *harness) phases() map[string]structs.TaskPhase {
	found := map[string]structs.TaskPhase{}
	for _, t := range b.Report().Tasks {
		found[t.Job] = t.Phase
	}
	return found
}

func task(job string, action structs.TaskAction, accelerators ...int) structs.TaskOrder {
	return structs.TaskOrder{Job: job, Run: 1, Action: action, Accelerators: accelerators}
}

var _ = Describe("Agent", func() {
	var b *harness
	prepare, start := task("j", structs.ActionPrepare, 0, 1), task("j", structs.ActionStart)
	stopped := []agent.Effect{agent.StopTask{Job: "j", Run: 1}}
	killed := []agent.Effect{agent.StopTask{Job: "j", Run: 1, Force: true}}

	BeforeEach(func() {
		b = newHarness()
		Expect(b.order(prepare)).To(BeEmpty())
		Expect(b.phases()).To(HaveKeyWithValue("j", structs.TaskPrepared))
		Expect(b.order(start)).To(Equal([]agent.Effect{agent.StartTask{Job: "j", Run: 1, Accelerators: []int{0, 1}}}))
	})

	// Guards against a task that outlives the lease that the leader granted, because the
	// worker counts the lease from the arrival of the orders.
	It("counts the lease from when the renewal was sent", func() {
		seq := b.renew()
		b.now = 5 * time.Second
		Expect(b.answer(seq, 1, lease, start)).To(BeEmpty())
		deadline, _ := b.Deadline()
		Expect(deadline).To(Equal(lease))
		b.now = lease - 1
		Expect(b.Step(b.now, agent.Timer{})).To(BeEmpty())
		b.now = lease
		Expect(b.Step(b.now, agent.Timer{})).To(Equal(killed))
		Expect(b.phases()).To(HaveKeyWithValue("j", structs.TaskRunning), "the task may still use its accelerators")
		b.Step(b.now, agent.TaskExited{Job: "j", Run: 1, Failed: true})
		Expect(b.phases()).To(HaveKeyWithValue("j", structs.TaskStopped))
	})

	// Guards against orders that are carried out although newer ones replaced them or
	// their lease has expired.
	It("ignores orders that are late, out of order or of a lower term", func() {
		first, second := b.renew(), b.renew()
		Expect(b.answer(second, 5, lease, start)).To(BeEmpty())
		Expect(b.answer(first, 5, lease)).To(BeEmpty(), "an earlier renewal")
		Expect(b.answer(b.renew(), 4, lease)).To(BeEmpty(), "a lower term")
		Expect(b.answer(99, 5, lease)).To(BeEmpty(), "no such renewal")
		late := b.renew()
		b.now = lease
		Expect(b.answer(late, 5, lease, start)).To(Equal(killed), "the lease expires before the answer is used")
		Expect(b.answer(b.renew(), 5, lease)).To(BeEmpty())
	})

	// Guards against a task that keeps running although the orders no longer list it,
	// and against repeated stops.
	It("stops tasks that are not listed, with or without a lease", func() {
		Expect(b.answer(b.renew(), 1, 0)).To(Equal(stopped))
		Expect(b.answer(b.renew(), 1, 0)).To(BeEmpty())
		Expect(b.Step(lease, agent.Timer{})).To(Equal(killed), "the lease expires before the task has stopped")
		Expect(b.Step(lease, agent.Timer{})).To(BeEmpty())
	})

	// Guards against a run that is executed twice because a delayed response still lists
	// it.
	It("keeps an ended run from starting again until no orders can list it", func() {
		b.Step(b.now, agent.TaskExited{Job: "j", Run: 1})
		Expect(b.phases()).To(HaveKeyWithValue("j", structs.TaskSucceeded))
		b.order()
		Expect(b.phases()).To(BeEmpty())
		b.now = lease - 1
		Expect(b.order(prepare)).To(BeEmpty())
		Expect(b.order(start)).To(BeEmpty())
		Expect(b.phases()).To(HaveKeyWithValue("j", structs.TaskSucceeded), "listed again, so reported again")
		Expect(b.order(task("x", structs.ActionStart))).To(BeEmpty())
		Expect(b.phases()).To(HaveKeyWithValue("x", structs.TaskStopped), "a run that this process does not know")
	})

	// Guards against two tasks that use the same accelerators.
	It("prepares a task only when its accelerators are free", func() {
		next := task("k", structs.ActionPrepare, 1, 2)
		Expect(b.order(next)).To(Equal(stopped))
		Expect(b.phases()).NotTo(HaveKey("k"))
		b.Step(b.now, agent.TaskExited{Job: "j", Run: 1})
		Expect(b.phases()).To(HaveKeyWithValue("k", structs.TaskPrepared))
	})

	// Guards against repeated requests to a task while its order stays the same.
	It("checkpoints once, and starts and ends throttling", func() {
		checkpoint := task("j", structs.ActionCheckpoint)
		Expect(b.order(task("j", structs.ActionThrottle))).To(Equal([]agent.Effect{agent.ThrottleTask{Job: "j", Run: 1, Enabled: true}}))
		Expect(b.order(start)).To(Equal([]agent.Effect{agent.ThrottleTask{Job: "j", Run: 1}}))
		Expect(b.order(checkpoint)).To(Equal([]agent.Effect{agent.CheckpointTask{Job: "j", Run: 1}}))
		Expect(b.order(checkpoint)).To(BeEmpty())
		b.Step(b.now, agent.CheckpointDone{Job: "j", Run: 1})
		Expect(b.phases()).To(HaveKeyWithValue("j", structs.TaskCheckpointed))
		Expect(b.order(task("j", structs.ActionStop))).To(Equal(stopped))
	})
})
