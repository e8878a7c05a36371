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

// serveRaw answers each request on a connection with fixed bytes and closes it.
func serveRaw(answer string) string {
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
				_, _ = io.WriteString(conn, answer)
			}
			_ = conn.Close()
		}
	}()
	return listener.Addr().String()
}

var _ = Describe("attempts", func() {
	It("return the whole answer on a kept connection", func() {
		e, p := newExecutor(), newPool()
		for range 5 {
			response, err := p.Do(attempt(e.Address(), 0, nil))
			Expect(err).NotTo(HaveOccurred())
			Expect(response.Status).To(Equal(200))
			Expect(string(response.Body)).To(Equal("body"))
		}
		Expect(e.Stats().MaxConnections).To(Equal(1))
	})

	It("never reuse a connection that went silent", func() {
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

	It("replace connections after their age and close idle ones", func() {
		// Guards against connections that something between the two ends has
		// forgotten.
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

	It("use a new connection when asked for, and none that is idle", func() {
		e, p := newExecutor(), newPool()
		_, err := p.Do(attempt(e.Address(), 0, nil))
		Expect(err).NotTo(HaveOccurred())
		e.SilenceOpenConnections()
		for range 3 {
			_, err = p.Do(attempt(e.Address(), 0, func(a *upstream.Attempt) { a.Fresh = true }))
			Expect(err).NotTo(HaveOccurred())
		}
	})

	DescribeTable("tell an answer that is not whole", func(answer string, kind upstream.Kind) {
		_, err := newPool().Do(attempt(serveRaw(answer), 0, nil))
		Expect(kindOf(err)).To(Equal(kind))
	},
		Entry("cut off", "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nbody", upstream.KindIncomplete),
		Entry("without a length", "HTTP/1.1 200 OK\r\n\r\nbody", upstream.KindIncomplete),
		Entry("cut off in a chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n64\r\nbody", upstream.KindIncomplete),
		Entry("cut off in the header", "HTTP/1.1 200 OK\r\nContent-", upstream.KindBroken),
		Entry("closed without a byte", "", upstream.KindBroken),
		Entry("that is not HTTP", "hello\r\n\r\n", upstream.KindBroken),
		Entry("too large", "HTTP/1.1 200 OK\r\nContent-Length: 999999999\r\n\r\n", upstream.KindBroken),
	)

	It("give up on a body that stops half-way, and do not reuse its connection", func() {
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

	It("accept an answer without a body and one in chunks", func() {
		response, err := newPool().Do(attempt(serveRaw("HTTP/1.1 204 No Content\r\n\r\n"), 0, nil))
		Expect(err).NotTo(HaveOccurred())
		Expect(response.Status).To(Equal(204))
		response, err = newPool().Do(attempt(serveRaw("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"), 0, nil))
		Expect(err).NotTo(HaveOccurred())
		Expect(string(response.Body)).To(Equal("body"))
	})

	It("keep an answer with a status and a body of several packets", func() {
		body := strings.Repeat("x", 1<<20)
		address := serveRaw("HTTP/1.1 503 Busy\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body)
		response, err := newPool().Do(attempt(address, 0, nil))
		Expect(err).NotTo(HaveOccurred())
		Expect(response.Status).To(Equal(503))
		Expect(response.Body).To(HaveLen(len(body)))
	})

	It("are not sent when the connection is refused, and broken when it is lost later", func() {
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

var _ = Describe("the bound of connections", func() {
	// occupy starts attempts that take a while and returns their errors.
	occupy := func(p *upstream.Pool, count int, a upstream.Attempt) []error {
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

	DescribeTable("holds and can be used up", func(share int, fresh bool) {
		// Guards against a share that is split in fixed halves: a share of one
		// opened two connections, a larger one left half of them unused.
		e, p := newExecutor(), newPool()
		errs := occupy(p, share+2, attempt(e.Address(), 150, func(a *upstream.Attempt) { a.Connections, a.Fresh = share, fresh }))
		Expect(notSent(errs)).To(Equal(2))
		Expect(e.Stats().MaxConnections).To(Equal(share))
	},
		Entry("one, kept", 1, false), Entry("one, fresh", 1, true),
		Entry("five, kept", 5, false), Entry("five, fresh", 5, true),
	)

	It("holds for kept and fresh connections together, which make room for each other", func() {
		e, p := newExecutor(), newPool()
		kept := attempt(e.Address(), 30, nil)
		fresh := attempt(e.Address(), 30, func(a *upstream.Attempt) { a.Fresh = true })
		Expect(notSent(occupy(p, 4, kept))).To(BeZero())
		Expect(notSent(occupy(p, 4, fresh))).To(BeZero())
		Expect(notSent(occupy(p, 4, kept))).To(BeZero())
		Expect(notSent(occupy(p, 1, fresh))).To(BeZero())
		Eventually(func() int { return e.Stats().OpenConnections }, time.Second).Should(BeNumerically("<=", 4))
	})

	It("follows a share that changes, and outlives Forget", func() {
		// Guards against a bound that is read once: shares change when slots
		// are lent and when hosts come and go.
		e, p := newExecutor(), newPool()
		share := func(n int) upstream.Attempt {
			return attempt(e.Address(), 100, func(a *upstream.Attempt) { a.Connections = n })
		}
		Expect(notSent(occupy(p, 6, share(6)))).To(BeZero())
		Expect(notSent(occupy(p, 6, share(2)))).To(Equal(4))
		Eventually(func() int { return e.Stats().OpenConnections }, time.Second).Should(BeNumerically("<=", 2))
		Expect(notSent(occupy(p, 6, share(6)))).To(BeZero())

		running := make(chan []error, 1)
		go func() { running <- occupy(p, 6, share(6)) }()
		time.Sleep(30 * time.Millisecond)
		p.Forget(e.Address())
		Expect(notSent(occupy(p, 1, share(6)))).To(Equal(1))
		Expect(notSent(<-running)).To(BeZero())
		Eventually(func() int { return e.Stats().OpenConnections }, time.Second).Should(BeZero())
	})
})
