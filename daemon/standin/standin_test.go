package standin_test

import (
	"bytes"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cranberrydrum.dev/daemon/standin"
	"cranberrydrum.dev/scheduler/structs"
)

func TestStandin(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "standin")
}

func newExecutor(hosts ...string) *standin.Executor {
	e, err := standin.NewExecutor(standin.ExecutorConfig{ID: "e", Service: "s", Domain: "d", Hosts: hosts, Slots: 2, Connections: 4,
		ServiceTime: time.Millisecond, AnnounceInterval: 20 * time.Millisecond, Seed: 1})
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(e.Kill)
	return e
}

func newClient() *http.Client {
	transport := &http.Transport{}
	DeferCleanup(transport.CloseIdleConnections)
	return &http.Client{Transport: transport, Timeout: 3 * time.Second}
}

// run posts a request with a service time and returns the response body.
func run(client *http.Client, e *standin.Executor, workMS, body string) (string, error) {
	req, err := http.NewRequest(http.MethodPost, "http://"+e.Address()+"/run", bytes.NewBufferString(body))
	if err != nil {
		return "", err
	}
	req.Header.Set(standin.HeaderWorkMS, workMS)
	req.Header.Set(standin.HeaderKey, body)
	resp, err := client.Do(req)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	got, err := io.ReadAll(resp.Body)
	return string(got), err
}

var _ = Describe("executor", func() {
	// Guards against statistics that miss runs or connections, on which the checks
	// of the end-to-end tests rely.
	It("answers with the body and counts runs, slots and connections", func() {
		e, client := newExecutor(), newClient()
		var group sync.WaitGroup
		for _, body := range []string{"a", "b", "c"} {
			group.Go(func() {
				defer GinkgoRecover()
				Expect(run(client, e, "100", body)).To(Equal(body))
			})
		}
		group.Wait()
		Expect(run(client, e, "0", "a")).To(Equal("a"))
		stats := e.Stats()
		Expect(stats.Requests).To(Equal(4))
		Expect(stats.MaxRunning).To(Equal(3))
		Expect(stats.MaxConnections).To(Equal(3))
		Expect(stats.RunsByKey).To(Equal(map[string]int{"a": 2, "b": 1, "c": 1}))
		client.CloseIdleConnections()
		Eventually(func() int { return e.Stats().OpenConnections }, time.Second).Should(BeZero())
	})

	It("sends nothing on silenced connections, not even for requests in progress, and responds on new ones", func() {
		// Guards against a response on a silenced connection, and against silenced
		// connections that count as open after the client has closed them.
		e, client := newExecutor(), newClient()
		client.Timeout = 300 * time.Millisecond
		inProgress := make(chan error, 1)
		go func() {
			_, err := run(client, e, "150", "slow")
			inProgress <- err
		}()
		Eventually(func() int { return e.Stats().MaxRunning }, time.Second).Should(Equal(1))
		e.SilenceOpenConnections()
		Expect(run(newClient(), e, "0", "new")).To(Equal("new"))
		Eventually(inProgress, time.Second).Should(Receive(HaveOccurred()))
		Eventually(func() int { return e.Stats().OpenConnections }, time.Second).Should(BeNumerically("<=", 1))
	})

	// Guards against an injected fault that has no effect, so that a test would
	// pass without it.
	It("hangs, truncates responses, and drops requests when killed", func() {
		e, client := newExecutor(), newClient()
		e.SetTruncateResponses(true)
		got, err := run(client, e, "0", "body")
		Expect(err).To(MatchError(io.ErrUnexpectedEOF))
		Expect(got).To(Equal("body"))
		e.SetTruncateResponses(false)
		ended := make(chan error, 2)
		e.SetHang(true)
		go func() { _, err := run(client, e, "0", "hung"); ended <- err }()
		Consistently(ended, 100*time.Millisecond).ShouldNot(Receive())
		e.SetHang(false)
		go func() { _, err := run(client, e, "10000", "long"); ended <- err }()
		Eventually(func() int { return e.Stats().Requests }, time.Second).Should(Equal(2))
		e.Kill()
		e.Kill()
		Eventually(ended, time.Second).Should(Receive(HaveOccurred()))
		Eventually(ended, time.Second).Should(Receive(HaveOccurred()))
	})

	It("announces to another host when one is unresponsive, drains and leaves", func() {
		silent, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		defer silent.Close()
		paths := make(chan string, 1000)
		host := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { paths <- r.URL.Path }))
		defer host.Close()
		e := newExecutor("http://"+silent.Addr().String(), host.URL)
		Eventually(paths, 4*time.Second).Should(Receive(Equal("/v1/backends/announce")))
		// Guards against an unresponsive host that delays every announcement by its
		// timeout of 2 s.
		for range 5 {
			Eventually(paths, 500*time.Millisecond).Should(Receive(Equal("/v1/backends/announce")))
		}
		Expect(e.Drain()).To(Succeed())
		Eventually(paths, time.Second).Should(Receive(Equal("/v1/backends/drain")))
		e.Close()
		Eventually(paths, time.Second).Should(Receive(Equal("/v1/backends/leave")))
	})
})

// echoThrough returns a connection through a relay to an echo server.
func echoThrough(link *standin.Link) net.Conn {
	GinkgoHelper()
	server, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	go func() {
		for {
			conn, err := server.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(conn, conn); _ = conn.Close() }()
		}
	}()
	relay, err := standin.NewRelay(server.Addr().String(), link)
	Expect(err).NotTo(HaveOccurred())
	conn, err := net.Dial("tcp", relay.Address())
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() {
		_ = conn.Close()
		relay.Close()
		_ = server.Close()
	})
	return conn
}

// echo sends bytes and returns the time until all of them have come back.
func echo(conn net.Conn, size int) (time.Duration, error) {
	started := time.Now()
	go func() { _, _ = conn.Write(make([]byte, size)) }()
	_ = conn.SetReadDeadline(time.Now().Add(2 * time.Second))
	_, err := io.CopyN(io.Discard, conn, int64(size))
	return time.Since(started), err
}

var _ = Describe("relay", func() {
	// Guards against a link that is faster or slower than configured.
	It("delays by the latency and the bandwidth of each direction", func() {
		conn := echoThrough(standin.NewLink(40*time.Millisecond, 1_000_000))
		Expect(echo(conn, 1)).To(And(BeNumerically(">=", 80*time.Millisecond), BeNumerically("<", 200*time.Millisecond)))
		// At 1 MB/s, 400 kB take 400 ms in one direction. The other direction
		// overlaps.
		Expect(echo(conn, 400_000)).To(And(BeNumerically(">=", 450*time.Millisecond), BeNumerically("<", 750*time.Millisecond)))
	})

	// Guards against a cut that lets bytes pass, loses them, or affects the wrong
	// direction.
	It("holds bytes while cut, in both directions or in one", func() {
		link := standin.NewLink(0, 0)
		conn := echoThrough(link)
		Expect(echo(conn, 10)).To(BeNumerically("<", time.Second))
		before := link.Bytes()
		link.SetCut(true)
		got := make(chan error, 1)
		go func() { _, err := echo(conn, 10); got <- err }()
		Consistently(got, 100*time.Millisecond).ShouldNot(Receive())
		Expect(link.Bytes()).To(Equal(before))
		link.SetCut(false)
		Eventually(got, time.Second).Should(Receive(BeNil()))

		link.Reversed().SetCutForward(true)
		before = link.Bytes()
		go func() { _, err := echo(conn, 10); got <- err }()
		Eventually(link.Bytes, time.Second).Should(Equal(before + 10))
		Consistently(got, 100*time.Millisecond).ShouldNot(Receive())
		link.Reversed().SetCutForward(false)
		Eventually(got, time.Second).Should(Receive(BeNil()))
	})
})

// workerHost responds to renewals with orders for one task. After startRefusing,
// it refuses them with status 503.
type workerHost struct {
	mu       sync.Mutex
	refusing bool
}

func (h *workerHost) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var report structs.WorkerReport
	_ = json.NewDecoder(r.Body).Decode(&report)
	h.mu.Lock()
	refusing := h.refusing
	h.mu.Unlock()
	if refusing {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	order := structs.TaskOrder{Job: "d-1", Run: 1, Action: structs.ActionPrepare, Accelerators: []int{0, 1}, Command: []string{"run", "1m"}}
	if len(report.Tasks) > 0 {
		order.Action = structs.ActionStart
	}
	_ = json.NewEncoder(w).Encode(structs.WorkerOrders{Term: 1, Lease: 300 * time.Millisecond, Tasks: []structs.TaskOrder{order}})
}

func (h *workerHost) startRefusing() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.refusing = true
}

var _ = Describe("worker", func() {
	var host *workerHost
	var log *standin.TaskLog
	var worker *standin.Worker

	BeforeEach(func() {
		host, log = &workerHost{}, standin.NewTaskLog()
		server := httptest.NewServer(host)
		DeferCleanup(server.Close)
		worker = standin.NewWorker(standin.WorkerConfig{Worker: structs.Worker{ID: "w", Domain: "d", Accelerators: 4},
			Hosts: []string{server.URL}, RenewInterval: 50 * time.Millisecond, Log: log})
		DeferCleanup(worker.Kill)
		Eventually(func() int { return log.Running("d-1") }, 2*time.Second, 5*time.Millisecond).Should(Equal(2))
	})

	// Guards against tasks that continue after the end of the lease or stop long
	// before it.
	It("stops its tasks when the lease ends", func() {
		host.startRefusing()
		started := time.Now()
		Eventually(func() int { return log.Running("d-1") }, 2*time.Second, 5*time.Millisecond).Should(BeZero())
		Expect(time.Since(started)).To(And(BeNumerically(">", 150*time.Millisecond), BeNumerically("<", 450*time.Millisecond)))
	})

	// Guards against tasks that count as running on a frozen worker, or that resume
	// without a lease.
	It("runs nothing while frozen, and stops its tasks on resumption after the end of the lease", func() {
		resume := worker.Freeze()
		// Tasks stop immediately: 40 ms are less than the renewal interval of 50 ms.
		Eventually(func() int { return log.Running("d-1") }, 40*time.Millisecond, time.Millisecond).Should(BeZero())
		host.startRefusing()
		time.Sleep(400 * time.Millisecond)
		resume()
		Consistently(func() int { return log.Running("d-1") }, 200*time.Millisecond, time.Millisecond).Should(BeZero())
	})

	// Guards against tasks that are lost, or recorded twice, by a short freeze.
	It("continues its tasks after a freeze shorter than the lease", func() {
		resume := worker.Freeze()
		time.Sleep(50 * time.Millisecond)
		resume()
		Eventually(func() int { return log.Running("d-1") }, 100*time.Millisecond, time.Millisecond).Should(Equal(2))
		Expect(log.Violations()).To(BeEmpty())
	})

	// Guards against tasks of a killed worker that count as running, and against a
	// second Kill that blocks or panics.
	It("ends its tasks when killed", func() {
		worker.Kill()
		worker.Kill()
		Expect(log.Running("d-1")).To(BeZero())
	})
})
