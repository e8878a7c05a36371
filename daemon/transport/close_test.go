package transport

import (
	"errors"
	"net"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/goleak"
)

var _ = Describe("Close", func() {
	It("ends all goroutines under load", func() {
		before := goleak.IgnoreCurrent()
		b := startHost("b", nil)
		b.handler.onCall = func(_ string, body []byte, _ time.Duration) ([]byte, error) {
			time.Sleep(time.Millisecond)
			return body, nil
		}
		a := startHost("a", nil, Peer{Host: "b", Address: b.Address()})
		a.waitConnected("b")
		var callers sync.WaitGroup
		for range 50 {
			callers.Go(func() {
				for {
					_, err := a.Call("b", "m", make([]byte, 2000), time.Second)
					_ = a.Send("b", KindRegistry, []byte("message"))
					var notSent *NotSentError
					if errors.As(err, &notSent) {
						return
					}
				}
			})
		}
		time.Sleep(100 * time.Millisecond)
		a.Close()
		b.Close()
		a.WaitCalls()
		b.WaitCalls()
		callers.Wait()
		Expect(goleak.Find(before)).To(Succeed())
	})

	It("does not wait for a peer that does not answer the handshake", func() {
		// Guards against a Close that takes the handshake timeout of 2 s.
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		defer listener.Close()
		a := startHost("a", nil, Peer{Host: "b", Address: listener.Addr().String()})
		conn, err := listener.Accept()
		Expect(err).NotTo(HaveOccurred())
		defer conn.Close()
		started := time.Now()
		a.Close()
		Expect(time.Since(started)).To(BeNumerically("<", time.Second))
	})

	It("does not wait for running handlers, but WaitCalls does", func() {
		// Guards against a Close that hangs on a handler which waits for a
		// component that is stopped only after the transport.
		a, b := connectedPair(nil, nil)
		release := make(chan struct{})
		entered := make(chan struct{})
		b.handler.onCall = func(string, []byte, time.Duration) ([]byte, error) {
			close(entered)
			<-release
			return nil, nil
		}
		go func() { _, _ = a.Call("b", "m", nil, 5*time.Second) }()
		Eventually(entered, time.Second).Should(BeClosed())
		b.Close()
		waited := make(chan struct{})
		go func() { b.WaitCalls(); close(waited) }()
		Consistently(waited, 100*time.Millisecond).ShouldNot(BeClosed())
		close(release)
		Eventually(waited, time.Second).Should(BeClosed())
	})
})
