package admission_test

import (
	"errors"
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cranberrydrum.dev/scheduler/admission"
	"cranberrydrum.dev/scheduler/structs"
	"cranberrydrum.dev/scheduler/workload"
)

var _ = Describe("a cancel that comes before the submission of its job", func() {
	var s *host
	path := "/a/" + jobID

	BeforeEach(func() { s = newHost(queue("q", "/a/"), queue("p", "/b/")) })

	cancel := func(path string) {
		GinkgoHelper()
		reply, code := s.do(admission.OpCancel, "key-a", path)
		Expect(code).To(BeEmpty())
		Expect(reply.Unknown).To(BeTrue())
	}

	// Guards against a job that runs although its cancel was confirmed: a suspended host or a
	// cut link held its submission back.
	DescribeTable("keeps the job from being accepted",
		func(meanwhile func()) {
			cancel(path)
			meanwhile()
			_, code := s.do(admission.OpSubmit, "key-a", path)
			Expect(code).To(Equal(structs.CodeCancelled))
			Expect(s.state.Job(jobID).Phase).To(Equal(workload.Cancelled))
		},
		Entry("at once", func() {}),
		Entry("after a restart from a snapshot", func() { s.restart() }),
		Entry("under another name of the queue", func() { s.configure(2, queue("other", "/a/")) }),
		Entry("after the queue was removed and added", func() { s.configure(2); s.configure(3, queue("q", "/a/")) }),
	)

	// Guards against a job that is shown although nobody has submitted it.
	It("leaves the job unknown", func() {
		cancel(path)
		reply, _ := s.do(admission.OpRead, "key-a", path)
		Expect(reply.Unknown).To(BeTrue())
		reply, _ = s.do(admission.OpRead, "key-a", "/a/")
		Expect(reply.Pending).To(BeZero())
	})

	// Guards against a log that grows with each repetition of a cancel.
	It("is recorded once", func() {
		cancel(path)
		before := s.state.Changes()
		cancel(path)
		Expect(s.state.Changes()).To(Equal(before))
	})

	// Guards against a cancel that is confirmed while the job runs: its submission was
	// proposed before, and stored between the decision and the record.
	It("cancels a job that was stored after the decision", func() {
		r := &admission.Request{Operation: admission.OpCancel, Host: "h.example", Path: path, Key: "key-a"}
		_, record, err := s.policy.Decide(s.state, r, s.now)
		Expect(err).NotTo(HaveOccurred())
		s.submit(path)
		Expect(s.apply(record)).To(Equal(workload.ResultUnchanged))
		_, command, err := s.policy.Decide(s.state, r, s.now)
		Expect(err).NotTo(HaveOccurred())
		Expect(s.apply(command)).To(Equal(workload.ResultApplied))
		Expect(s.state.Job(jobID).Phase).To(Equal(workload.Cancelled))
	})

	// Guards against a submission that was decided before the cancel and stored after it.
	It("rejects a submission that was decided before it", func() {
		r := &admission.Request{Operation: admission.OpSubmit, Host: "h.example", Path: path, Key: "key-a", Spec: &workload.Spec{Steps: []workload.Step{{Count: 1}}}}
		_, submission, err := s.policy.Decide(s.state, r, s.now)
		Expect(err).NotTo(HaveOccurred())
		cancel(path)
		Expect(s.apply(submission)).To(Equal(workload.ResultUnchanged))
		_, _, err = s.policy.Decide(s.state, r, s.now)
		var refused *structs.Refusal
		Expect(errors.As(err, &refused)).To(BeTrue())
		Expect(refused.Code).To(Equal(structs.CodeCancelled))
	})

	// Guards against cancels that take the room of jobs.
	It("takes no memory of jobs", func() {
		cancel(path)
		Expect(s.state.StateBytes()).To(BeZero())
		s.restart()
		Expect(s.state.StateBytes()).To(BeZero())
	})

	// Guards against records that anyone can make.
	DescribeTable("leaves no record without a right to cancel",
		func(key, path string, code structs.Code) {
			_, refusal := s.do(admission.OpCancel, key, path)
			Expect(refusal).To(Equal(code))
			_, all := s.state.Tombstones("a")
			Expect(all).To(BeZero())
		},
		Entry("with an unknown key", "key-x", path, structs.CodeUnauthorized),
		Entry("where no queue is", "key-a", "/x/"+jobID, structs.CodeNotFound),
		Entry("with an invalid identifier", "key-a", "/a/5c0e", structs.CodeInvalid),
	)

	// Guards against memory that fills up with records, against one customer that leaves no
	// room for those of others, and against a confirmed cancel that left no record.
	It("is refused once there are too many records, until one has expired", func() {
		s.policy.MaxTombstones, s.policy.Retention = 8, time.Minute
		confirmed := func(key string) int {
			n := 0
			for range 9 {
				id := fmt.Sprintf("%016x", int64(s.now))
				if _, code := s.do(admission.OpCancel, key, "/a/"+id); code == "" {
					n++
					continue
				}
				_, code := s.do(admission.OpSubmit, key, "/a/"+id)
				Expect(code).To(BeEmpty())
			}
			return n
		}
		Expect(confirmed("key-a")).To(Equal(4))
		Expect(confirmed("key-b")).To(Equal(2))
		r := &admission.Request{Operation: admission.OpCancel, Host: "h.example", Path: path, Key: "key-a"}
		_, _, err := s.policy.Decide(s.state, r, s.now)
		var refused *structs.Refusal
		Expect(errors.As(err, &refused)).To(BeTrue())
		Expect(refused.Code).To(Equal(structs.CodeCancelCapacity))
		Expect(refused.Outcome).To(Equal(structs.OutcomeNotRun))
		Expect(refused.RetryAfter).To(BeNumerically("~", time.Minute, time.Second))
		var expired []string
		s.state.Jobs(func(j *workload.Job) {
			if j.Tombstone && j.Customer == "a" {
				expired = append(expired, j.ID)
			}
		})
		s.apply(&workload.Command{Purge: expired})
		cancel(path)
	})
})
