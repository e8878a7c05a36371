package admission_test

import (
	"errors"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cranberrydrum.dev/scheduler/admission"
	"cranberrydrum.dev/scheduler/structs"
	"cranberrydrum.dev/scheduler/workload"
)

const (
	jobID   = "5c0e7a21d94b36f8"
	otherID = "0abf3081b21bedad"
)

// host decides requests on a state of its own and stores their commands at once.
type host struct {
	state  *workload.State
	policy admission.Policy
	now    time.Duration
}

func newHost(queues ...workload.Queue) *host {
	s := &host{state: workload.New(), now: time.Hour, policy: admission.Policy{MaxTombstones: 100, MaxStateBytes: 64 << 20, Retention: time.Minute}}
	s.configure(1, queues...)
	return s
}

func (s *host) apply(c *workload.Command) workload.Result {
	data, err := c.Encode()
	Expect(err).NotTo(HaveOccurred())
	return workload.DecodeResult(s.state.Apply(0, 1, data))
}

// configure stores a configuration with the services "s1" and "s2" and the customers "a"
// and "b", whose keys are "key-a" and "key-b".
func (s *host) configure(version int64, queues ...workload.Queue) {
	c := &workload.Config{
		Version: version, Document: []byte("{}"), Services: []workload.Service{{Name: "s1"}, {Name: "s2"}}, Queues: queues,
		Customers: []workload.Customer{{Name: "a", Keys: []string{"key-a"}}, {Name: "b", Keys: []string{"key-b"}}},
	}
	Expect(c.Validate()).To(Succeed())
	Expect(s.apply(&workload.Command{Configure: c})).To(Equal(workload.ResultApplied))
}

// restart replaces the state by one read from its snapshot.
func (s *host) restart() {
	data, err := s.state.Snapshot()
	Expect(err).NotTo(HaveOccurred())
	s.state = workload.New()
	Expect(s.state.Restore(data)).To(Succeed())
}

// do serves a request, or returns the code of its refusal.
func (s *host) do(operation admission.Operation, key, path string) (*admission.Reply, structs.Code) {
	r := &admission.Request{Operation: operation, Host: "H.example", Path: path, Key: key}
	if operation == admission.OpSubmit {
		r.Spec = &workload.Spec{Steps: []workload.Step{{Count: 1}}}
	}
	s.now++
	reply, command, err := s.policy.Decide(s.state, r, s.now)
	var refused *structs.Refusal
	if errors.As(err, &refused) {
		return nil, refused.Code
	}
	Expect(err).NotTo(HaveOccurred())
	if command == nil {
		return reply, ""
	}
	Expect(s.apply(command)).To(Equal(workload.ResultApplied))
	return reply, ""
}

func (s *host) submit(path string) {
	GinkgoHelper()
	_, code := s.do(admission.OpSubmit, "key-a", path)
	Expect(code).To(BeEmpty())
}

// expectKnown checks that a job is read and cancelled at a path.
func (s *host) expectKnown(path string) {
	GinkgoHelper()
	reply, code := s.do(admission.OpRead, "key-a", path)
	Expect(code).To(BeEmpty())
	Expect(reply.Unknown).To(BeFalse())
	_, code = s.do(admission.OpCancel, "key-a", path)
	Expect(code).To(BeEmpty())
	Expect(s.state.Job(jobID).Phase).To(Equal(workload.Cancelled))
}

func queue(name, prefix string) workload.Queue {
	return workload.Queue{Name: name, Host: "h.example", Prefix: prefix, Service: "s1", Timeout: time.Second}
}
