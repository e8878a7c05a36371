package admission_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cranberrydrum.dev/scheduler/admission"
	"cranberrydrum.dev/scheduler/structs"
	"cranberrydrum.dev/scheduler/workload"
)

var _ = Describe("an accepted job", func() {
	// Guards against a job that is unknown to its customer, who knows host and path only, and
	// against a cancel that is confirmed with "no such job" while the job runs on.
	DescribeTable("is found at its place under each later configuration",
		func(versions ...[]workload.Queue) {
			for _, restart := range []bool{false, true} {
				s := newHost(queue("q", "/a/"))
				s.submit("/a/" + jobID)
				for n, queues := range versions {
					s.configure(int64(n+2), queues...)
				}
				if restart {
					s.restart()
				}
				s.expectKnown("/a/" + jobID)
			}
		},
		Entry("with another name", []workload.Queue{queue("other", "/a/")}),
		Entry("removed and added under another name", []workload.Queue{queue("x", "/x/")}, []workload.Queue{queue("x", "/x/"), queue("other", "/a/")}),
		Entry("with its name at another place", []workload.Queue{queue("q", "/b/"), queue("other", "/a/")}),
		Entry("with a longer prefix that matches its path", []workload.Queue{queue("q", "/a/"), queue("other", "/a/5c")}),
		Entry("with a shorter prefix only", []workload.Queue{queue("other", "/")}),
	)

	// Guards against a job that is shown at another place, or cancelled there.
	It("is not found at another place that gets the name of its queue", func() {
		s := newHost(queue("q", "/a/"))
		s.submit("/a/" + jobID)
		s.configure(2, queue("q", "/b/"))
		reply, _ := s.do(admission.OpRead, "key-a", "/b/"+jobID)
		Expect(reply.Unknown).To(BeTrue())
		reply, _ = s.do(admission.OpCancel, "key-a", "/b/"+jobID)
		Expect(reply.Unknown).To(BeTrue())
		Expect(s.state.Job(jobID).Phase).To(Equal(workload.Queued))
	})

	// Guards against a dropped queue that still serves, and against "no such job" for a job
	// that runs.
	It("is refused while its place has no queue, and is known again after that", func() {
		s := newHost(queue("q", "/a/"))
		s.submit("/a/" + jobID)
		s.configure(2, queue("x", "/x/"))
		for _, operation := range []admission.Operation{admission.OpRead, admission.OpCancel, admission.OpSubmit} {
			_, code := s.do(operation, "key-a", "/a/"+jobID)
			Expect(code).To(Equal(structs.CodeNotFound))
		}
		s.configure(3, queue("other", "/a/"))
		s.expectKnown("/a/" + jobID)
	})

	// Guards against work that is accepted and never stored: executors cannot tell the tasks
	// of two jobs with one identifier apart.
	It("keeps its identifier from being accepted at another place", func() {
		s := newHost(queue("q", "/a/"), queue("p", "/b/"))
		s.submit("/a/" + jobID)
		_, code := s.do(admission.OpSubmit, "key-a", "/b/"+jobID)
		Expect(code).To(Equal(structs.CodeJobConflict))
		_, code = s.do(admission.OpSubmit, "key-a", "/a/"+jobID)
		Expect(code).To(BeEmpty())
	})

	// Guards against a repetition that is refused because its queue has been exchanged.
	It("remains one job if its submission is repeated under another queue", func() {
		s := newHost(queue("q", "/a/"))
		s.submit("/a/" + jobID)
		s.configure(2, queue("other", "/a/5c"))
		s.submit("/a/" + jobID)
		Expect(s.state.Job(jobID).QueueName).To(Equal("q"))
	})

	// Guards against a count of pending jobs that lacks those accepted under another name.
	It("is pending at the queue at its place", func() {
		s := newHost(queue("q", "/a/"))
		s.submit("/a/" + jobID)
		s.submit("/a/" + otherID)
		s.configure(2, queue("other", "/a/"), queue("q", "/b/"), queue("long", "/a/5c"))
		for prefix, pending := range map[string]int{"/a/": 2, "/b/": 0, "/a/5c": 0} {
			reply, _ := s.do(admission.OpRead, "key-a", prefix)
			Expect(reply.Pending).To(Equal(pending), prefix)
		}
		s.configure(3, queue("short", "/"))
		reply, _ := s.do(admission.OpRead, "key-a", "/")
		Expect(reply.Pending).To(Equal(2))
	})
})

var _ = Describe("a job of one customer", func() {
	// Guards against a customer that reads and cancels the jobs of another one.
	It("is neither read nor cancelled nor submitted with the key of another", func() {
		s := newHost(queue("q", "/a/"))
		s.submit("/a/" + jobID)
		for operation, refusal := range map[admission.Operation]structs.Code{
			admission.OpRead: structs.CodeForbidden, admission.OpCancel: structs.CodeForbidden, admission.OpSubmit: structs.CodeJobConflict,
		} {
			_, code := s.do(operation, "key-b", "/a/"+jobID)
			Expect(code).To(Equal(refusal))
		}
		Expect(s.state.Job(jobID).Phase).To(Equal(workload.Queued))
	})

	// Guards against callers without a key who are refused although their queue needs none.
	It("is open to every caller of a public queue", func() {
		public := queue("q", "/a/")
		public.Public = true
		s := newHost(public)
		s.submit("/a/" + jobID)
		_, code := s.do(admission.OpCancel, "", "/a/"+jobID)
		Expect(code).To(BeEmpty())
	})

	// Guards against jobs that nobody can cancel any more, because their customer has got
	// another name.
	It("is open to a customer with a known key once its own is not configured", func() {
		s := newHost(queue("q", "/a/"))
		s.submit("/a/" + jobID)
		c := *s.state.Config()
		c.Version, c.Customers = 2, []workload.Customer{{Name: "c", Keys: []string{"key-a"}}}
		Expect(s.apply(&workload.Command{Configure: &c})).To(Equal(workload.ResultApplied))
		s.expectKnown("/a/" + jobID)
	})
})

var _ = Describe("a job that an earlier version accepted", func() {
	// Guards against jobs that are lost with the upgrade: they store the name of their
	// queue and no place.
	It("is found at the queue of its name, and by its identifier once no queue has it", func() {
		s := newHost(queue("q", "/a/"), queue("p", "/b/"))
		Expect(s.apply(&workload.Command{Submit: &workload.Job{
			ID: jobID, QueueName: "q", Service: "s1", Customer: "a", Spec: workload.Spec{Steps: []workload.Step{{Count: 1}}},
		}})).To(Equal(workload.ResultApplied))
		reply, _ := s.do(admission.OpRead, "key-a", "/b/"+jobID)
		Expect(reply.Unknown).To(BeTrue())
		reply, _ = s.do(admission.OpRead, "key-a", "/a/")
		Expect(reply.Pending).To(Equal(1))
		s.configure(2, queue("other", "/a/"))
		s.expectKnown("/a/" + jobID)
	})
})
