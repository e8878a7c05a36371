package upstream_test

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cranberrydrum.dev/daemon/standin"
	"cranberrydrum.dev/daemon/upstream"
)

func TestUpstream(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "upstream")
}

func newExecutor() *standin.Executor {
	e, err := standin.NewExecutor(standin.ExecutorConfig{ID: "e", Slots: 8, Connections: 64, ServiceTime: time.Millisecond, Seed: 1})
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(e.Kill)
	return e
}

func newPool() *upstream.Pool {
	p := upstream.NewPool()
	DeferCleanup(p.Close)
	return p
}

func attempt(address string, workMS int, change func(*upstream.Attempt)) upstream.Attempt {
	a := upstream.Attempt{
		Address:     address,
		Connections: 4,
		Headers:     [][2]string{{standin.HeaderWorkMS, strconv.Itoa(workMS)}},
		Body:        []byte("body"),
		Timeout:     time.Second,
	}
	if change != nil {
		change(&a)
	}
	return a
}

func kindOf(err error) upstream.Kind {
	GinkgoHelper()
	var failed *upstream.AttemptError
	Expect(errors.As(err, &failed)).To(BeTrue(), "%v", err)
	return failed.Kind
}

// serveRaw responds to the first request on each connection with fixed bytes and
// closes the connection.
func serveRaw(response string) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			if request, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				_, _ = io.Copy(io.Discard, request.Body)
				_, _ = io.WriteString(conn, response)
			}
			_ = conn.Close()
		}
	}()
	return listener.Addr().String()
}

var _ = Describe("attempts", func() {
	It("return the complete response on a keep-alive connection", func() {
		e, p := newExecutor(), newPool()
		for range 5 {
			response, err := p.Do(attempt(e.Address(), 0, nil))
			Expect(err).NotTo(HaveOccurred())
			Expect(response.Status).To(Equal(200))
			Expect(string(response.Body)).To(Equal("body"))
		}
		Expect(e.Stats().MaxConnections).To(Equal(1))
	})

	It("do not reuse an unresponsive connection", func() {
		e, p := newExecutor(), newPool()
		_, err := p.Do(attempt(e.Address(), 0, nil))
		Expect(err).NotTo(HaveOccurred())
		e.SilenceOpenConnections()
		started := time.Now()
		_, err = p.Do(attempt(e.Address(), 0, func(a *upstream.Attempt) { a.Timeout = 100 * time.Millisecond }))
		Expect(kindOf(err)).To(Equal(upstream.KindTimeout))
		Expect(time.Since(started)).To(BeNumerically("<", 500*time.Millisecond))
		for range 3 {
			_, err = p.Do(attempt(e.Address(), 0, nil))
			Expect(err).NotTo(HaveOccurred())
		}
		Eventually(func() int { return e.Stats().OpenConnections }, time.Second).Should(Equal(1))
	})

	It("replace connections at their maximum age and close idle ones", func() {
		// Guards against connections whose state a device on the path has
		// dropped.
		e := newExecutor()
		aged := upstream.NewPoolWith(150*time.Millisecond, time.Minute)
		DeferCleanup(aged.Close)
		accepted := 0
		for range 12 {
			_, err := aged.Do(attempt(e.Address(), 50, nil))
			Expect(err).NotTo(HaveOccurred())
			accepted = e.Stats().Accepted
		}
		Expect(accepted).To(And(BeNumerically(">=", 3), BeNumerically("<=", 6)))
		idle := upstream.NewPoolWith(time.Minute, 100*time.Millisecond)
		DeferCleanup(idle.Close)
		aged.Close()
		_, err := idle.Do(attempt(e.Address(), 0, nil))
		Expect(err).NotTo(HaveOccurred())
		Eventually(func() int { return e.Stats().OpenConnections }, time.Second).Should(BeZero())
	})

	It("use a new connection, not an idle one, if Fresh is set", func() {
		e, p := newExecutor(), newPool()
		_, err := p.Do(attempt(e.Address(), 0, nil))
		Expect(err).NotTo(HaveOccurred())
		e.SilenceOpenConnections()
		for range 3 {
			_, err = p.Do(attempt(e.Address(), 0, func(a *upstream.Attempt) { a.Fresh = true }))
			Expect(err).NotTo(HaveOccurred())
		}
	})

	DescribeTable("detect an incomplete or invalid response", func(response string, kind upstream.Kind) {
		_, err := newPool().Do(attempt(serveRaw(response), 0, nil))
		Expect(kindOf(err)).To(Equal(kind))
	},
		Entry("truncated body", "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nbody", upstream.KindIncomplete),
		Entry("without a length", "HTTP/1.1 200 OK\r\n\r\nbody", upstream.KindIncomplete),
		Entry("truncated chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n64\r\nbody", upstream.KindIncomplete),
		Entry("truncated header", "HTTP/1.1 200 OK\r\nContent-", upstream.KindBroken),
		Entry("closed without a byte", "", upstream.KindBroken),
		Entry("not HTTP", "hello\r\n\r\n", upstream.KindBroken),
		Entry("too large", "HTTP/1.1 200 OK\r\nContent-Length: 999999999\r\n\r\n", upstream.KindBroken),
	)

	It("time out on a body that stalls, and close its connection", func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		defer listener.Close()
		ended := make(chan error, 1)
		go func() {
			_, err := newPool().Do(attempt(listener.Addr().String(), 0, func(a *upstream.Attempt) { a.Timeout = 150 * time.Millisecond }))
			ended <- err
		}()
		conn, err := listener.Accept()
		Expect(err).NotTo(HaveOccurred())
		defer conn.Close()
		_, err = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nbody")
		Expect(err).NotTo(HaveOccurred())
		Eventually(ended, time.Second).Should(Receive(&err))
		Expect(kindOf(err)).To(Equal(upstream.KindTimeout))
		_ = conn.SetReadDeadline(time.Now().Add(time.Second))
		_, err = io.Copy(io.Discard, conn)
		Expect(err).NotTo(HaveOccurred())
	})

	It("accept a response without a body and one with chunked encoding", func() {
		response, err := newPool().Do(attempt(serveRaw("HTTP/1.1 204 No Content\r\n\r\n"), 0, nil))
		Expect(err).NotTo(HaveOccurred())
		Expect(response.Status).To(Equal(204))
		response, err = newPool().Do(attempt(serveRaw("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"), 0, nil))
		Expect(err).NotTo(HaveOccurred())
		Expect(string(response.Body)).To(Equal("body"))
	})

	It("return a response with an error status and a body of several packets", func() {
		body := strings.Repeat("x", 1<<20)
		address := serveRaw("HTTP/1.1 503 Busy\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body)
		response, err := newPool().Do(attempt(address, 0, nil))
		Expect(err).NotTo(HaveOccurred())
		Expect(response.Status).To(Equal(503))
		Expect(response.Body).To(HaveLen(len(body)))
	})

	It("are classified as not sent on a refused connection, and as broken on one lost later", func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		address := listener.Addr().String()
		_ = listener.Close()
		_, err = newPool().Do(attempt(address, 0, nil))
		Expect(kindOf(err)).To(Equal(upstream.KindNotSent))

		e, p := newExecutor(), newPool()
		ended := make(chan error, 1)
		go func() { _, err := p.Do(attempt(e.Address(), 5000, nil)); ended <- err }()
		Eventually(func() int { return e.Stats().Requests }, time.Second).Should(Equal(1))
		e.Kill()
		var lost error
		Eventually(ended, 2*time.Second).Should(Receive(&lost))
		Expect(kindOf(lost)).To(Equal(upstream.KindBroken))
	})
})

// serveOnce answers the first request only, and closes a connection after its second. It
// counts the requests.
func serveOnce() (address string, requests *atomic.Int64) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(listener.Close)
	requests = &atomic.Int64{}
	serve := func(conn net.Conn) {
		defer conn.Close()
		reader := bufio.NewReader(conn)
		for range 2 {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, request.Body)
			if requests.Add(1) == 1 {
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
			}
		}
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(conn)
		}
	}()
	return listener.Addr().String(), requests
}

var _ = Describe("an attempt on a keep-alive connection that breaks", func() {
	// Guards against a repetition by the HTTP library, whose refused connection would
	// make an attempt that may have run count as not sent.
	It("is sent once and is not classified as not sent", func() {
		address, requests := serveOnce()
		p := newPool()
		_, err := p.Do(attempt(address, 0, nil))
		Expect(err).NotTo(HaveOccurred())
		_, err = p.Do(attempt(address, 0, nil))
		Expect(kindOf(err)).To(Equal(upstream.KindBroken))
		Consistently(requests.Load, 100*time.Millisecond).Should(Equal(int64(2)))
	})
})

var _ = Describe("the connection limit", func() {
	// runConcurrently runs attempts concurrently and returns their errors.
	runConcurrently := func(p *upstream.Pool, count int, a upstream.Attempt) []error {
		errs := make([]error, count)
		var group sync.WaitGroup
		for i := range count {
			group.Go(func() { _, errs[i] = p.Do(a) })
		}
		group.Wait()
		return errs
	}
	notSent := func(errs []error) int {
		count := 0
		for _, err := range errs {
			if err != nil && kindOf(err) == upstream.KindNotSent {
				count++
			}
		}
		return count
	}

	DescribeTable("is enforced and can be fully used", func(share int, fresh bool) {
		// Guards against a share that is split into fixed halves for keep-alive and
		// fresh connections: a share of one then allowed two connections, and of a
		// larger share one half stayed unused.
		e, p := newExecutor(), newPool()
		errs := runConcurrently(p, share+2, attempt(e.Address(), 150, func(a *upstream.Attempt) { a.Connections, a.Fresh = share, fresh }))
		Expect(notSent(errs)).To(Equal(2))
		Expect(e.Stats().MaxConnections).To(Equal(share))
	},
		Entry("one, keep-alive", 1, false), Entry("one, fresh", 1, true),
		Entry("five, keep-alive", 5, false), Entry("five, fresh", 5, true),
	)

	It("covers keep-alive and fresh connections together, and either kind can use all of it", func() {
		e, p := newExecutor(), newPool()
		keepAlive := attempt(e.Address(), 30, nil)
		fresh := attempt(e.Address(), 30, func(a *upstream.Attempt) { a.Fresh = true })
		Expect(notSent(runConcurrently(p, 4, keepAlive))).To(BeZero())
		Expect(notSent(runConcurrently(p, 4, fresh))).To(BeZero())
		Expect(notSent(runConcurrently(p, 4, keepAlive))).To(BeZero())
		Expect(notSent(runConcurrently(p, 1, fresh))).To(BeZero())
		Eventually(func() int { return e.Stats().OpenConnections }, time.Second).Should(BeNumerically("<=", 4))
	})

	It("follows changes of the share, and stays in force after CloseExecutor", func() {
		// Guards against a limit that is read only once: shares change when slots
		// are lent and when hosts join or leave.
		e, p := newExecutor(), newPool()
		share := func(n int) upstream.Attempt {
			return attempt(e.Address(), 100, func(a *upstream.Attempt) { a.Connections = n })
		}
		Expect(notSent(runConcurrently(p, 6, share(6)))).To(BeZero())
		Expect(notSent(runConcurrently(p, 6, share(2)))).To(Equal(4))
		Eventually(func() int { return e.Stats().OpenConnections }, time.Second).Should(BeNumerically("<=", 2))
		Expect(notSent(runConcurrently(p, 6, share(6)))).To(BeZero())

		running := make(chan []error, 1)
		go func() { running <- runConcurrently(p, 6, share(6)) }()
		time.Sleep(30 * time.Millisecond)
		p.CloseExecutor(e.Address())
		Expect(notSent(runConcurrently(p, 1, share(6)))).To(Equal(1))
		Expect(notSent(<-running)).To(BeZero())
		Eventually(func() int { return e.Stats().OpenConnections }, time.Second).Should(BeZero())
	})
})
