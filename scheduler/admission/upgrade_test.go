package admission_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/vmihailenco/msgpack/v5"

	"cranberrydrum.dev/scheduler/admission"
	"cranberrydrum.dev/scheduler/workload"
)

// addedFields are the encoded fields of a job that versions before places, tombstones and the
// binding to a service do not know.
var addedFields = []string{"H", "P", "A", "T", "C"}

// restartFromOlderVersion replaces the state by one that an older version has restored and
// written again: it drops the fields that it does not know.
func (s *host) restartFromOlderVersion() {
	GinkgoHelper()
	data, err := s.state.Snapshot()
	Expect(err).NotTo(HaveOccurred())
	var fields map[string]any
	Expect(msgpack.Unmarshal(data, &fields)).To(Succeed())
	for _, job := range fields["j"].(map[string]any) {
		for _, name := range addedFields {
			delete(job.(map[string]any), name)
		}
	}
	data, err = msgpack.Marshal(fields)
	Expect(err).NotTo(HaveOccurred())
	s.state = workload.New()
	Expect(s.state.Restore(data)).To(Succeed())
}

// Guards against an upgrade that loses accepted jobs or confirmed cancels: during a rolling
// restart, hosts of an older version apply the same log, and a newer one may start from their
// snapshots.
var _ = Describe("a state that an older version has stored", func() {
	var s *host
	path := "/a/" + jobID

	BeforeEach(func() { s = newHost(queue("q", "/a/"), queue("p", "/b/")) })

	It("keeps accepted jobs at the queue of their name", func() {
		s.submit(path)
		s.restartFromOlderVersion()
		reply, code := s.do(admission.OpRead, "key-a", "/b/"+jobID)
		Expect(code).To(BeEmpty())
		Expect(reply.Unknown).To(BeTrue())
		s.expectKnown(path)
	})

	It("keeps accepted jobs that are found by their identifier once their queue has another name", func() {
		s.submit(path)
		s.restartFromOlderVersion()
		s.configure(2, queue("other", "/a/"))
		s.expectKnown(path)
	})

	It("binds accepted jobs to the service of the version in it", func() {
		s.submit(path)
		moved := queue("q", "/a/")
		moved.Service = "s2"
		s.configure(2, moved)
		s.restartFromOlderVersion()
		Expect(s.state.Job(jobID).Service).To(Equal("s2"))
	})

	It("keeps cancelled jobs from being accepted", func() {
		_, code := s.do(admission.OpCancel, "key-a", path)
		Expect(code).To(BeEmpty())
		s.restartFromOlderVersion()
		_, _ = s.do(admission.OpSubmit, "key-a", path)
		Expect(s.state.Job(jobID).Phase).To(Equal(workload.Cancelled))
	})

	It("reacts to the next commands like that of a newer version", func() {
		older := newHost(queue("q", "/a/"), queue("p", "/b/"))
		for _, each := range []*host{s, older} {
			each.submit(path)
			_, _ = each.do(admission.OpCancel, "key-a", "/a/"+otherID)
		}
		older.restartFromOlderVersion()
		renamed := queue("other", "/a/")
		renamed.Service = "s2"
		task := workload.TaskKey{Job: jobID}
		executor := workload.ExecutorKey{ID: "i-1", Incarnation: 7}
		for _, c := range []*workload.Command{
			{At: s.now, Starts: []workload.Start{{Task: task, Run: 1, Executor: executor}}},
			{At: s.now, Configure: &workload.Config{Version: 2, Document: []byte("{}"), Services: []workload.Service{{Name: "s2"}}, Queues: []workload.Queue{renamed}}},
			{At: s.now, Submit: &workload.Job{ID: otherID, Host: "h.example", Prefix: "/a/", QueueName: "other", Spec: workload.Spec{Steps: []workload.Step{{Count: 1}}}}},
			{At: s.now, Cancel: otherID},
			{At: s.now, Ends: []workload.End{{Task: task, Run: 1, Executor: executor, Ending: workload.EndFailed}}},
			{At: s.now, Starts: []workload.Start{{Task: task, Run: 2, Executor: executor}}},
			{At: s.now, Cancel: jobID},
			{At: s.now, Purge: []string{otherID, jobID}},
		} {
			Expect(older.apply(c)).To(Equal(s.apply(c)))
			for _, id := range []string{jobID, otherID} {
				a, b := s.state.Job(id), older.state.Job(id)
				Expect(a == nil).To(Equal(b == nil))
				if a != nil {
					Expect(b.Phase).To(Equal(a.Phase))
					Expect(b.Occurrences).To(Equal(a.Occurrences))
				}
			}
		}
	})
})
