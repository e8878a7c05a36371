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

// scriptedServer reads each request completely, writes the next entry of its
// script as raw bytes, and closes the connection.
type scriptedServer struct {
	listener net.Listener
	script   []string
	// holdOpen is how long the connection stays open and silent after the write.
	holdOpen time.Duration
	mu       sync.Mutex
	requests []string
}

func startScripted(script ...string) *scriptedServer {
	return (&scriptedServer{script: script}).start()
}

func (s *scriptedServer) start() *scriptedServer {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	s.listener = listener
	DeferCleanup(listener.Close)
	go s.run()
	return s
}

func (s *scriptedServer) run() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.respond(conn)
	}
}

func (s *scriptedServer) respond(conn net.Conn) {
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
	if s.holdOpen > 0 {
		time.Sleep(s.holdOpen)
	}
}

func (s *scriptedServer) received() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.requests...)
}

func (s *scriptedServer) address() string { return s.listener.Addr().String() }

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
	noResponse      = ""
	accepted        = "HTTP/1.1 200 OK\r\nContent-Length: 27\r\n\r\n{\"version\":3,\"digest\":\"ab\"}"
	conflict        = "HTTP/1.1 409 Conflict\r\nContent-Length: 94\r\n\r\n{\"code\":\"version_conflict\",\"outcome\":\"not_run\",\"message\":\"late\",\"winner\":{\"version\":3}}        "
	notLeader       = "HTTP/1.1 503 Unavailable\r\nContent-Length: 54\r\n\r\n{\"code\":\"not_leader\",\"outcome\":\"not_run\",\"message\":\"\"} "
	truncated       = "HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nhalf"
	noContentLength = "HTTP/1.1 200 OK\r\n\r\nwithout length"
)

var rulesChange = api.RulesApplyRequest{BaseVersion: 2, Text: "region zrh", Author: "mira", RequestID: "r7"}

var _ = Describe("Client", func() {
	// Guards against a request that runs on two servers.
	It("tries the next server only if nothing was sent", func() {
		good := startScripted(accepted)
		_, err := client(closedAddress(), good.address()).Rules()
		Expect(err).NotTo(HaveOccurred())
		silent, unused := startScripted(noResponse), startScripted(accepted)
		_, err = client(silent.address(), unused.address()).SubmitJob(api.JobSubmitRequest{Name: "n"})
		Expect(err).To(BeAssignableToTypeOf(&api.LostResponseError{}))
		Expect(api.OutcomeUnknown(err)).To(BeTrue())
		Expect(silent.received()).To(HaveLen(1), "fasthttp must not resend on its own")
		Expect(unused.received()).To(BeEmpty())
		_, err = client(closedAddress()).Rules()
		Expect(err).To(BeAssignableToTypeOf(&api.UnreachableError{}))
		Expect(api.OutcomeUnknown(err)).To(BeFalse())
	})

	// Guards against a truncated response that is taken for a complete one, and
	// against a request that may have run but is reported as not run.
	DescribeTable("reports an incomplete response as an unknown outcome", func(bytes string) {
		_, err := client(startScripted(bytes).address()).Send(api.ServiceRequest{Service: "s"})
		Expect(err).To(HaveOccurred())
		Expect(api.OutcomeUnknown(err)).To(BeTrue())
	},
		Entry("truncated body", truncated),
		Entry("body without a length", noContentLength),
		Entry("no response", noResponse),
		Entry("truncated header", truncated[:20]),
	)

	// Guards against a client that waits for a silent server without a limit.
	DescribeTable("times out on a connection without further data", func(bytes string) {
		s := (&scriptedServer{script: []string{bytes}, holdOpen: time.Second}).start()
		c, err := api.NewClient(api.ClientConfig{Servers: []string{s.address()}, Timeout: 100 * time.Millisecond})
		Expect(err).NotTo(HaveOccurred())
		start := time.Now()
		_, err = c.Rules()
		Expect(time.Since(start)).To(BeNumerically("<", 900*time.Millisecond))
		Expect(err).To(BeAssignableToTypeOf(&api.LostResponseError{}))
	},
		Entry("before the response", noResponse),
		Entry("within the header", truncated[:20]),
		Entry("within the body", truncated),
	)

	// Guards against an error response of an executor that is taken for a
	// refusal, although the request has run.
	It("distinguishes an error response of an executor from a refusal", func() {
		failed := response("500 Failed", "Content-Length: 4\r\n", "oops")
		got, err := client(startScripted(failed).address()).Send(api.ServiceRequest{Service: "s"})
		Expect(err).NotTo(HaveOccurred())
		Expect(got).To(Equal(api.ServiceResponse{Status: 500, Body: []byte("oops")}))
		shed := response("429 Busy", "X-Refusal: shed\r\nContent-Length: 49\r\n", `{"code":"shed","outcome":"not_run","message":"m"} `)
		_, err = client(startScripted(shed).address()).Send(api.ServiceRequest{Service: "s"})
		var refusal *structs.Refusal
		Expect(errors.As(err, &refusal)).To(BeTrue())
		Expect(refusal.Code).To(Equal(structs.CodeShed))
	})

	// Each case gives the script of one server and the result that the caller
	// must get. It guards against a lost response that is reported as a known
	// outcome, and against resends with other content.
	DescribeTable("resends a change of the rules after a lost response", func(sends int, unknown bool, match any, script ...string) {
		s := startScripted(script...)
		c := client(s.address())
		c.SetSleep(func(time.Duration) {})
		got, err := c.ApplyRules(rulesChange)
		if match == nil {
			Expect(err).NotTo(HaveOccurred())
			Expect(got.Version).To(BeEquivalentTo(3))
		} else {
			Expect(err).To(BeAssignableToTypeOf(match))
		}
		Expect(api.OutcomeUnknown(err)).To(Equal(unknown))
		Expect(s.received()).To(HaveLen(sends))
		for _, body := range s.received() {
			Expect(body).To(MatchJSON(`{"base_version":2,"text":"region zrh","author":"mira","request_id":"r7"}`))
		}
	},
		Entry("accepted at once", 1, false, nil, accepted),
		Entry("lost twice, then accepted", 3, false, nil, noResponse, truncated, accepted),
		Entry("lost, then refused conclusively", 2, false, &api.RefusedError{}, noResponse, conflict),
		Entry("refused at once", 1, false, &api.RefusedError{}, notLeader),
		Entry("lost, then refused inconclusively until the last attempt", 6, true, &api.LostResponseError{}, noResponse, notLeader, notLeader, notLeader, notLeader, notLeader),
	)

	// Guards against a configuration error that appears only with the first
	// call.
	It("rejects a server that is not an IP address with a port", func() {
		_, err := api.NewClient(api.ClientConfig{Servers: []string{"localhost:1"}})
		Expect(err).To(BeAssignableToTypeOf(&api.ConfigError{}))
	})
})

var _ = Describe("JobSubmitRequest", func() {
	// Guards against invalid jobs in the replicated log, and against an
	// overflow of durations.
	DescribeTable("refuses invalid fields", func(r api.JobSubmitRequest) {
		_, refusal := r.Spec()
		Expect(refusal).To(And(HaveField("Code", structs.CodeInvalid), HaveField("Outcome", structs.OutcomeNotRun)))
	},
		Entry("no name", api.JobSubmitRequest{Accelerators: 1}),
		Entry("no accelerators", api.JobSubmitRequest{Name: "n"}),
		Entry("unknown priority", api.JobSubmitRequest{Name: "n", Accelerators: 1, Priority: "high"}),
		Entry("duration overflow", api.JobSubmitRequest{Name: "n", Accelerators: 1, DeclaredRuntimeMS: 1 << 62}),
	)

	// Guards against fields that are lost between the request and the status of
	// a job.
	It("keeps its fields when converted to a job and back", func() {
		r := api.JobSubmitRequest{Name: "n", Customer: "c", FailureDomain: "d", Priority: "urgent", Accelerators: 8, DeclaredRuntimeMS: 1500, CheckpointTimeMS: 20}
		spec, refusal := r.Spec()
		Expect(refusal).To(BeNil())
		job := api.NewJob(structs.Job{ID: "1", Spec: spec, Status: structs.JobQueued})
		Expect(job).To(And(HaveField("Priority", "urgent"), HaveField("DeclaredRuntimeMS", int64(1500)), HaveField("FailureDomain", "d")))
	})
})
