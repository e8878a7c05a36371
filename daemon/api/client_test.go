package api_test

import (
	"bufio"
	"errors"
	"net"
	"sync"
	"testing"
	"time"

	"cranberrydrum.dev/daemon/api"
	"cranberrydrum.dev/scheduler/structs"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/valyala/fasthttp"
)

func TestAPI(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "api")
}

// scripted is a server that reads each request completely and writes the next
// bytes of its script, whatever they are, before it closes the connection.
type scripted struct {
	listener net.Listener
	script   []string
	// hold keeps the connection open and silent after the script.
	hold     time.Duration
	mu       sync.Mutex
	requests []string
}

func serve(script ...string) *scripted {
	return (&scripted{script: script}).start()
}

func (s *scripted) start() *scripted {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	s.listener = listener
	DeferCleanup(listener.Close)
	go s.run()
	return s
}

func (s *scripted) run() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.answer(conn)
	}
}

func (s *scripted) answer(conn net.Conn) {
	defer conn.Close()
	var req fasthttp.Request
	if err := req.Read(bufio.NewReader(conn)); err != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requests = append(s.requests, string(req.Body()))
	if i := len(s.requests) - 1; i < len(s.script) {
		_, _ = conn.Write([]byte(s.script[i]))
	}
	if s.hold > 0 {
		time.Sleep(s.hold)
	}
}

func (s *scripted) seen() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.requests...)
}

func (s *scripted) address() string { return s.listener.Addr().String() }

// closedAddress returns an address on which nothing listens.
func closedAddress() string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	defer listener.Close()
	return listener.Addr().String()
}

func client(servers ...string) *api.Client {
	c, err := api.NewClient(api.ClientConfig{Servers: servers, Timeout: 2 * time.Second})
	Expect(err).NotTo(HaveOccurred())
	return c
}

func response(status, headers, body string) string {
	return "HTTP/1.1 " + status + "\r\nContent-Type: application/json\r\n" + headers + "\r\n" + body
}

const (
	noAnswer  = ""
	accepted  = "HTTP/1.1 200 OK\r\nContent-Length: 27\r\n\r\n{\"version\":3,\"digest\":\"ab\"}"
	conflict  = "HTTP/1.1 409 Conflict\r\nContent-Length: 94\r\n\r\n{\"code\":\"version_conflict\",\"outcome\":\"not_run\",\"message\":\"late\",\"winner\":{\"version\":3}}        "
	notLeader = "HTTP/1.1 503 Unavailable\r\nContent-Length: 54\r\n\r\n{\"code\":\"not_leader\",\"outcome\":\"not_run\",\"message\":\"\"} "
	truncated = "HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nhalf"
	endless   = "HTTP/1.1 200 OK\r\n\r\nwithout length"
)

var change = api.RulesApplyRequest{BaseVersion: 2, Text: "region zrh", Author: "mira", RequestID: "r7"}

var _ = Describe("Client", func() {
	It("goes on to the next server only while nothing was sent", func() {
		good := serve(accepted)
		_, err := client(closedAddress(), good.address()).Rules()
		Expect(err).NotTo(HaveOccurred())
		silent, unused := serve(noAnswer), serve(accepted)
		_, err = client(silent.address(), unused.address()).SubmitJob(api.JobSubmitRequest{Name: "n"})
		Expect(err).To(BeAssignableToTypeOf(&api.LostError{}))
		Expect(api.OutcomeUnknown(err)).To(BeTrue())
		Expect(silent.seen()).To(HaveLen(1), "the library must not resend by itself")
		Expect(unused.seen()).To(BeEmpty())
		_, err = client(closedAddress()).Rules()
		Expect(err).To(BeAssignableToTypeOf(&api.UnreachableError{}))
		Expect(api.OutcomeUnknown(err)).To(BeFalse())
	})

	DescribeTable("never takes a part of an answer for the whole", func(bytes string) {
		_, err := client(serve(bytes).address()).Send(api.ServiceRequest{Service: "s"})
		Expect(err).To(HaveOccurred())
		Expect(api.OutcomeUnknown(err)).To(BeTrue())
	},
		Entry("truncated body", truncated),
		Entry("body without a length", endless),
		Entry("no answer", noAnswer),
		Entry("truncated header", truncated[:20]),
	)

	DescribeTable("gives up on a connection that goes silent", func(bytes string) {
		s := (&scripted{script: []string{bytes}, hold: time.Second}).start()
		c, err := api.NewClient(api.ClientConfig{Servers: []string{s.address()}, Timeout: 100 * time.Millisecond})
		Expect(err).NotTo(HaveOccurred())
		start := time.Now()
		_, err = c.Rules()
		Expect(time.Since(start)).To(BeNumerically("<", 900*time.Millisecond))
		Expect(err).To(BeAssignableToTypeOf(&api.LostError{}))
	},
		Entry("before the answer", noAnswer),
		Entry("within the header", truncated[:20]),
		Entry("within the body", truncated),
	)

	It("tells the answer of an executor from a refusal", func() {
		failed := response("500 Failed", "Content-Length: 4\r\n", "oops")
		got, err := client(serve(failed).address()).Send(api.ServiceRequest{Service: "s"})
		Expect(err).NotTo(HaveOccurred())
		Expect(got).To(Equal(api.ServiceResponse{Status: 500, Body: []byte("oops")}))
		shed := response("429 Busy", "X-Refusal: shed\r\nContent-Length: 49\r\n", `{"code":"shed","outcome":"not_run","message":"m"} `)
		_, err = client(serve(shed).address()).Send(api.ServiceRequest{Service: "s"})
		var refusal *structs.Refusal
		Expect(errors.As(err, &refusal)).To(BeTrue())
		Expect(refusal.Code).To(Equal(structs.CodeShed))
	})

	// Each case is the script of one server and what the caller must learn.
	DescribeTable("resends a change of the rules after a lost answer", func(sends int, unknown bool, match any, script ...string) {
		s := serve(script...)
		c := client(s.address())
		c.SetPause(func(time.Duration) {})
		got, err := c.ApplyRules(change)
		if match == nil {
			Expect(err).NotTo(HaveOccurred())
			Expect(got.Version).To(BeEquivalentTo(3))
		} else {
			Expect(err).To(BeAssignableToTypeOf(match))
		}
		Expect(api.OutcomeUnknown(err)).To(Equal(unknown))
		Expect(s.seen()).To(HaveLen(sends))
		for _, body := range s.seen() {
			Expect(body).To(MatchJSON(`{"base_version":2,"text":"region zrh","author":"mira","request_id":"r7"}`))
		}
	},
		Entry("answered", 1, false, nil, accepted),
		Entry("lost, then answered", 3, false, nil, noAnswer, truncated, accepted),
		Entry("lost, then decided", 2, false, &api.RefusedError{}, noAnswer, conflict),
		Entry("refused at once", 1, false, &api.RefusedError{}, notLeader),
		Entry("lost, and no later refusal can tell", 6, true, &api.LostError{}, noAnswer, notLeader, notLeader, notLeader, notLeader, notLeader),
	)

	It("refuses servers that are not addresses", func() {
		_, err := api.NewClient(api.ClientConfig{Servers: []string{"localhost:1"}})
		Expect(err).To(BeAssignableToTypeOf(&api.ConfigError{}))
	})
})

var _ = Describe("JobSubmitRequest", func() {
	DescribeTable("refuses what no job can have", func(r api.JobSubmitRequest) {
		_, refusal := r.Spec()
		Expect(refusal).To(And(HaveField("Code", structs.CodeInvalid), HaveField("Outcome", structs.OutcomeNotRun)))
	},
		Entry("no name", api.JobSubmitRequest{Accelerators: 1}),
		Entry("no accelerators", api.JobSubmitRequest{Name: "n"}),
		Entry("priority", api.JobSubmitRequest{Name: "n", Accelerators: 1, Priority: "high"}),
		Entry("overflow", api.JobSubmitRequest{Name: "n", Accelerators: 1, DeclaredRuntimeMS: 1 << 62}),
	)

	It("keeps its content on the way to a job and back", func() {
		r := api.JobSubmitRequest{Name: "n", Customer: "c", FailureDomain: "d", Priority: "urgent", Accelerators: 8, DeclaredRuntimeMS: 1500, CheckpointTimeMS: 20}
		spec, refusal := r.Spec()
		Expect(refusal).To(BeNil())
		job := api.JobOf(structs.Job{ID: "1", Spec: spec, Status: structs.JobQueued})
		Expect(job).To(And(HaveField("Priority", "urgent"), HaveField("DeclaredRuntimeMS", int64(1500)), HaveField("FailureDomain", "d")))
	})
})
