package fleet_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cranberrydrum.dev/scheduler/fleet"
	"cranberrydrum.dev/scheduler/workload"
)

// Guards against jobs that never start their next step, or start it without a ticket again
// and again, after a version has renamed or removed their queue: the need for advice was
// looked up by the name of the queue.
var _ = DescribeTable("the jobs of a queue that needs advice need tickets under each later configuration",
	func(queues ...workload.Queue) {
		const id = "5c0e7a21d94b36f8"
		advised := workload.Queue{Name: "q", Host: "h", Prefix: "/a/", Service: "s", Timeout: time.Second, Advice: &workload.Advice{TicketTTL: time.Minute}}
		for _, restored := range []bool{false, true} {
			h := newHarnessWithExecutors()
			c := *modelConfig()
			c.Version, c.Queues = 2, []workload.Queue{advised}
			h.apply(&workload.Command{Configure: &c})
			h.apply(&workload.Command{At: h.now, Submit: &workload.Job{
				ID: id, Host: "h", Prefix: "/a/", QueueName: "q", Service: "s", Customer: "a", Priority: 1, MaxAttempts: 3, Stretch: 1.5,
				Spec: workload.Spec{Steps: []workload.Step{{Count: 1, Estimate: 10 * time.Second, Demand: needGPUs(8)}}},
			}})
			c.Version, c.Queues = 3, nil
			for _, q := range queues {
				q.Service, q.Timeout, q.Advice = "s", time.Second, advised.Advice
				c.Queues = append(c.Queues, q)
			}
			h.apply(&workload.Command{Configure: &c})
			if restored {
				data, err := h.state.Snapshot()
				Expect(err).NotTo(HaveOccurred())
				Expect(h.state.Restore(data)).To(Succeed())
			}
			h.advance(200*time.Millisecond, 4)
			Expect(h.executorsOf(id)).To(BeEmpty())
			Expect(h.adviceCalls()).To(HaveLen(1))
			h.answer(h.adviceCalls()[0], fleet.Response{Verdict: fleet.VerdictAccepted, Tickets: []fleet.Ticket{{Executor: "i-1", Value: "t1"}}})
			h.advance(100*time.Millisecond, 4)
			Expect(h.executorsOf(id)).To(ConsistOf("i-1"))
			Expect(h.lastCall(fleet.CallStart, "i-1").Ticket).To(Equal("t1"))
		}
	},
	Entry("with the same queue", workload.Queue{Name: "q", Host: "h", Prefix: "/a/"}),
	Entry("with another name at its place", workload.Queue{Name: "other", Host: "h", Prefix: "/a/"}),
	Entry("with its name at another place", workload.Queue{Name: "q", Host: "h", Prefix: "/b/"}),
	Entry("with no queue at its place"),
)
