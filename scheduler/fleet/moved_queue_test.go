package fleet_test

import (
	"strconv"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cranberrydrum.dev/scheduler/fleet"
	"cranberrydrum.dev/scheduler/workload"
)

// Guards against accepted jobs that wait for ever, or go on at a service that has been
// dropped, after a version has given their queue to another service.
var _ = Describe("the jobs of a queue whose service changes", func() {
	const id = "5c0e7a21d94b36f8"
	oldExecutors, newExecutors := []string{"i-0", "i-1"}, []string{"i-2", "i-3"}
	var h *harness

	queueAtPrefix := func(prefix, service string) workload.Queue {
		return workload.Queue{Name: "q", Host: "h", Prefix: prefix, Service: service, Timeout: time.Second}
	}
	queueOf := func(name, service string) workload.Queue {
		q := queueAtPrefix("/a/", service)
		q.Name = name
		return q
	}
	configure := func(services []string, queues ...workload.Queue) {
		GinkgoHelper()
		c := *modelConfig()
		c.Version, c.Services, c.Queues = h.state.Config().Version+1, nil, queues
		for _, name := range services {
			c.Services = append(c.Services, workload.Service{Name: name})
		}
		Expect(c.Validate()).To(Succeed())
		h.apply(&workload.Command{Configure: &c})
	}
	// move gives the queue to the service "t" under another name, and drops "s".
	move := func() { configure([]string{"t"}, queueOf("other", "t")) }
	submit := func(steps ...workload.Step) {
		for i := range steps {
			steps[i].Estimate = 10 * time.Second
		}
		h.apply(&workload.Command{At: h.now, Submit: &workload.Job{
			ID: id, Host: "h", Prefix: "/a/", QueueName: "q", Service: "s", Customer: "a", Priority: 1, MaxAttempts: 3, Stretch: 1.5,
			Spec: workload.Spec{Steps: steps},
		}})
	}
	task := func(step, index int) *workload.Task { return &h.state.Job(id).Occurrences[0].Steps[step].Tasks[index] }
	// executorOf returns the executor that runs the first task of a step, or "".
	executorOf := func(step int) string {
		if run := task(step, 0).Run; run != nil {
			return run.Executor.ID
		}
		return ""
	}
	// endRun ends the run of a task on its executor.
	endRun := func(step int, ending workload.Ending, checkpoint string) {
		GinkgoHelper()
		run := task(step, 0).Run
		Expect(run).NotTo(BeNil())
		h.answerHold(int(run.Executor.ID[2]-'0'), nil, fleet.EndedRun{
			Number: 1, Task: workload.TaskKey{Job: id, Step: step}, Run: run.Number, Ending: ending, Checkpoint: checkpoint,
		})
	}

	BeforeEach(func() {
		h = newHarness()
		h.services = map[int]string{2: "t", 3: "t"}
		configure([]string{"s", "t"}, queueOf("q", "s"))
		for n := range 4 {
			h.report(n, nil)
		}
	})

	It("start at the new service if they have not begun", func() {
		submit(workload.Step{Count: 5, Demand: needGPUs(8)})
		h.advance(100*time.Millisecond, 4)
		Expect(h.executorsOf(id)).To(ConsistOf(oldExecutors))
		move()
		h.advance(100*time.Millisecond, 4)
		Expect(h.executorsOf(id)).To(ConsistOf(append(oldExecutors, newExecutors...)))
		Expect(h.stopCount()).To(BeZero())
	})

	It("start there under the next leader too", func() {
		submit(workload.Step{Count: 1, Demand: needGPUs(8)}, workload.Step{Count: 1, Demand: needGPUs(8), DependsOn: []int{0}})
		h.advance(100*time.Millisecond, 4)
		endRun(0, workload.EndDone, "")
		move()
		data, err := h.state.Snapshot()
		Expect(err).NotTo(HaveOccurred())
		Expect(h.state.Restore(data)).To(Succeed())
		h.changeLeader(3)
		for n := range 4 {
			h.answerHold(n, nil)
		}
		h.advance(100*time.Millisecond, 4)
		Expect(newExecutors).To(ContainElement(executorOf(1)))
	})

	It("end what runs at the old service and start their next step at the new one", func() {
		submit(workload.Step{Count: 1, Demand: needGPUs(8)}, workload.Step{Count: 1, Demand: needGPUs(8), DependsOn: []int{0}})
		h.advance(100*time.Millisecond, 4)
		move()
		h.advance(100*time.Millisecond, 4)
		endRun(0, workload.EndDone, "")
		h.advance(100*time.Millisecond, 4)
		Expect(task(0, 0).Done).To(BeTrue())
		Expect(newExecutors).To(ContainElement(executorOf(1)))
	})

	It("resume from their checkpoint at the new service", func() {
		submit(workload.Step{Count: 1, Demand: needGPUs(8), Checkpoints: true})
		h.advance(100*time.Millisecond, 4)
		move()
		endRun(0, workload.EndStopped, "c1")
		h.advance(100*time.Millisecond, 4)
		Expect(newExecutors).To(ContainElement(executorOf(0)))
		Expect(h.lastCall(fleet.CallStart, executorOf(0)).Checkpoint).To(Equal("c1"))
	})

	It("wait until a start in doubt at the old service is over", func() {
		h.dropOrders = true
		submit(workload.Step{Count: 1, Demand: needGPUs(8)})
		h.advance(100*time.Millisecond, 4)
		first := executorOf(0)
		Expect(oldExecutors).To(ContainElement(first))
		h.answer(h.lastCall(fleet.CallStart, first), fleet.Response{})
		move()
		h.advance(time.Second, 4)
		Expect(executorOf(0)).To(Equal(first))
		Expect(task(0, 0).LastRun).To(Equal(1))
	})

	It("start as a whole gang at the new service, although executors of the old one were reserved", func() {
		submit(workload.Step{Count: 2, Demand: needGPUs(8), Gang: true})
		h.submit("lasts", 0, workload.Step{Count: 2, Demand: needGPUs(8), LongRunning: true})
		// The gang is placed after the urgent job, which fills the old service.
		h.advance(3*time.Second, 4)
		Expect(h.executorsOf(id)).To(BeEmpty())
		move()
		h.advance(200*time.Millisecond, 4)
		Expect(h.executorsOf(id)).To(ConsistOf(newExecutors))
	})

	It("reclaim their guarantee at the new service although runs of the old one are stopping for it", func() {
		configure([]string{"s", "t"}, queueOf("q", "s"), workload.Queue{Name: "p", Host: "h", Prefix: "/b/", Service: "t", Timeout: time.Second})
		for n, prefix := range []string{"/a/", "/b/"} {
			h.apply(&workload.Command{At: h.now, Submit: &workload.Job{
				ID: strings.Repeat(strconv.Itoa(n), workload.JobIDLength), Host: "h", Prefix: prefix, Customer: "b", Priority: 2, MaxAttempts: 3, Stretch: 1.5,
				Spec: workload.Spec{Steps: []workload.Step{{Count: 2, Estimate: time.Minute, Demand: needGPUs(8)}}},
			}})
		}
		h.advance(100*time.Millisecond, 4)
		h.apply(&workload.Command{At: h.now, Submit: &workload.Job{
			ID: id, Host: "h", Prefix: "/a/", Customer: "a", MaxAttempts: 3, Stretch: 1.5,
			Spec: workload.Spec{Steps: []workload.Step{{Count: 1, Estimate: 10 * time.Second, Demand: needGPUs(8)}}},
		}})
		stoppedOn := func() []string {
			var ids []string
			for _, c := range h.calls {
				if c.Kind == fleet.CallStop {
					ids = append(ids, c.Executor.ID)
				}
			}
			return ids
		}
		for len(stoppedOn()) == 0 {
			h.advance(20*time.Millisecond, 4)
		}
		configure([]string{"s", "t"}, queueOf("q", "t"), workload.Queue{Name: "p", Host: "h", Prefix: "/b/", Service: "t", Timeout: time.Second})
		h.advance(100*time.Millisecond, 4)
		Expect(stoppedOn()).To(ContainElement(BeElementOf(newExecutors)))
	})

	It("restart lasting tasks at the new service", func() {
		submit(workload.Step{Count: 1, Demand: needGPUs(8), LongRunning: true})
		h.advance(100*time.Millisecond, 4)
		move()
		h.advance(time.Second, 4)
		Expect(oldExecutors).To(ContainElement(h.executorsOf(id)[0]))
		Expect(h.stopCount()).To(BeZero())
		endRun(0, workload.EndFailed, "")
		h.advance(100*time.Millisecond, 4)
		Expect(newExecutors).To(ContainElement(h.executorsOf(id)[0]))
	})

	It("leave a rack that only the old service has", func() {
		submit(workload.Step{Count: 1, Demand: needGPUs(8), DataRack: "r1-0"}, workload.Step{Count: 1, Demand: needGPUs(8), DataRack: "r1-0"},
			workload.Step{Count: 1, Demand: needGPUs(8), DataRack: "r1-0"})
		h.advance(100*time.Millisecond, 4)
		move()
		h.advance(100*time.Millisecond, 4)
		Expect(newExecutors).To(ContainElement(executorOf(2)))
	})

	It("go on at the last service of their queue once its place has none", func() {
		submit(workload.Step{Count: 1, Demand: needGPUs(8)}, workload.Step{Count: 1, Demand: needGPUs(8), DependsOn: []int{0}})
		h.advance(100*time.Millisecond, 4)
		move()
		configure([]string{"t"})
		endRun(0, workload.EndDone, "")
		h.advance(100*time.Millisecond, 4)
		Expect(newExecutors).To(ContainElement(executorOf(1)))
	})

	// Guards against starts at a service that no version has named for the queue.
	DescribeTable("stay at their service while their path leads to another queue",
		func(services []string, queues []workload.Queue, on []string) {
			submit(workload.Step{Count: 1, Demand: needGPUs(8)}, workload.Step{Count: 1, Demand: needGPUs(8), DependsOn: []int{0}})
			h.advance(100*time.Millisecond, 4)
			configure(services, queues...)
			endRun(0, workload.EndDone, "")
			h.advance(100*time.Millisecond, 4)
			Expect(on).To(ContainElement(executorOf(1)))
		},
		Entry("with a shorter prefix", []string{"s", "t"}, []workload.Queue{queueAtPrefix("/", "t")}, oldExecutors),
		Entry("with a longer prefix", []string{"s", "t"}, []workload.Queue{queueAtPrefix("/a/", "s"), queueAtPrefix("/a/5c", "t")}, oldExecutors),
		Entry("unless their service is dropped, which leaves them nowhere else to run", []string{"t"}, []workload.Queue{queueAtPrefix("/", "t")}, newExecutors),
	)

	It("start at the new service if they were accepted under the version before", func() {
		move()
		submit(workload.Step{Count: 1, Demand: needGPUs(8)})
		h.advance(100*time.Millisecond, 4)
		Expect(newExecutors).To(ContainElement(h.executorsOf(id)[0]))
	})
})
