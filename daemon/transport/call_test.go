package transport

import (
	"errors"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cranberrydrum.dev/daemon/standin"
	"cranberrydrum.dev/scheduler/structs"
)

// callEnd is the end of a call that runs in the background.
type callEnd struct {
	body []byte
	err  error
}

func goCall(h *testHost, body []byte, timeout time.Duration) chan callEnd {
	done := make(chan callEnd, 1)
	go func() {
		reply, err := h.Call("b", "m", body, timeout)
		done <- callEnd{reply, err}
	}()
	return done
}

func errorOf(done chan callEnd) error {
	GinkgoHelper()
	var end callEnd
	Eventually(done, 3*time.Second).Should(Receive(&end))
	return end.err
}

var (
	beNotSent   = BeAssignableToTypeOf(&NotSentError{})
	beLostReply = BeAssignableToTypeOf(&LostReplyError{})
)

// rawPair is host a, connected to a peer that the test serves by hand.
func rawPair(change func(*Config)) (*testHost, *rawHost) {
	raw := startRawHost()
	a := startHost("a", change, Peer{Host: "b", Address: raw.listener.Addr().String()})
	a.waitFor("b")
	return a, raw
}

// queueLengths returns the frames that wait for a peer.
func queueLengths(h *testHost) (control, calls int) {
	o := h.outboundTo("b")
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.control.len(), o.smallCalls.len() + o.calls.len()
}

// stall makes the writer of a host wait for a peer that does not read.
func stall(h *testHost) chan callEnd {
	GinkgoHelper()
	last := make(chan callEnd, 64)
	Eventually(func() int {
		end := goCall(h, make([]byte, 700<<10), 2*time.Second)
		go func() { last <- <-end }()
		time.Sleep(5 * time.Millisecond)
		_, calls := queueLengths(h)
		return calls
	}, 3*time.Second).Should(BeNumerically(">=", 2))
	return last
}

var _ = Describe("calls", func() {
	It("return the reply and keep refusals and failures apart", func() {
		a, b := pair(nil, nil)
		refusal := structs.NotRun(structs.CodeKeyConflict, "taken")
		refusal.RetryAfter = 1500 * time.Millisecond
		b.handler.answer = func(method string, body []byte, remaining time.Duration) ([]byte, error) {
			switch method {
			case "refuse":
				return nil, refusal
			case "unknown":
				return nil, structs.Unknown(structs.CodeOutcomeUnknown, "lost")
			case "fail":
				return nil, &FrameError{Reason: "broken"}
			case "large":
				return make([]byte, MaxFrameBytes), nil
			}
			Expect(remaining).To(And(BeNumerically(">", 900*time.Millisecond), BeNumerically("<=", time.Second)))
			return append([]byte("re:"), body...), nil
		}
		body, err := a.Call("b", "m", []byte("x"), time.Second)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(body)).To(Equal("re:x"))
		_, err = a.Call("b", "refuse", nil, time.Second)
		Expect(err).To(Equal(refusal))
		_, err = a.Call("b", "unknown", nil, time.Second)
		Expect(err).To(Equal(structs.Unknown(structs.CodeOutcomeUnknown, "lost")))
		for _, method := range []string{"fail", "large"} {
			_, err = a.Call("b", method, nil, time.Second)
			Expect(err).To(BeAssignableToTypeOf(&RemoteError{}))
		}
	})

	It("to no host, without time or with too large a body are not sent", func() {
		a, _ := pair(nil, nil)
		_, err := a.Call("x", "m", nil, time.Second)
		Expect(err).To(beNotSent)
		_, err = a.Call("b", "m", nil, 0)
		Expect(err).To(beNotSent)
		_, err = a.Call("b", "m", make([]byte, MaxFrameBytes), time.Second)
		Expect(err).To(beNotSent)
	})

	It("are unknown after a timeout or a lost connection once written, and drop a late reply", func() {
		a, raw := rawPair(nil)
		conn := raw.next()
		beat(conn)
		timedOut := goCall(a, nil, 50*time.Millisecond)
		call := nextCall(conn)
		Expect(errorOf(timedOut)).To(beLostReply)
		writeOne(conn, &frame{Kind: KindReply, ID: call.ID, Body: []byte("late")})
		Eventually(func() int { return a.seen.droppedFor("reply/late") }, time.Second).Should(Equal(1))

		lost := goCall(a, nil, 5*time.Second)
		nextCall(conn)
		_ = conn.Close()
		Expect(errorOf(lost)).To(beLostReply)
	})

	It("match replies that arrive out of order", func() {
		a, raw := rawPair(nil)
		conn := raw.next()
		beat(conn)
		ends := map[string]chan callEnd{}
		var calls []*frame
		for _, body := range []string{"1", "2", "3"} {
			ends[body] = goCall(a, []byte(body), 2*time.Second)
			calls = append(calls, nextCall(conn))
		}
		for i := range calls {
			f := calls[len(calls)-1-i]
			writeOne(conn, &frame{Kind: KindReply, ID: f.ID, Body: f.Body})
		}
		for body, end := range ends {
			Expect(string((<-end).body)).To(Equal(body))
		}
	})

	It("that wait in the queue are not sent after a timeout, a lost connection or Close", func() {
		a, raw := rawPair(func(c *Config) { c.SilenceTimeout = 2 * time.Second })
		conn := raw.next()
		beat(conn)
		stall(a)
		Expect(errorOf(goCall(a, nil, 20*time.Millisecond))).To(beNotSent)
		_, before := queueLengths(a)
		waiting := goCall(a, nil, 2*time.Second)
		Eventually(func() int { _, calls := queueLengths(a); return calls }, time.Second).Should(Equal(before + 1))
		_ = raw.listener.Close()
		_ = conn.Close()
		Expect(errorOf(waiting)).To(beNotSent)
	})

	It("that waited in the queue tell the peer what time is left", func() {
		// Guards against a peer that works on after the caller has given up.
		a, raw := rawPair(func(c *Config) { c.SilenceTimeout = 2 * time.Second })
		conn := raw.next()
		stall(a)
		_ = goCall(a, []byte("marked"), 2*time.Second)
		time.Sleep(300 * time.Millisecond)
		for {
			f := nextCall(conn)
			if string(f.Body) == "marked" {
				Expect(f.RemainingMS).To(And(BeNumerically(">", 1000), BeNumerically("<=", 1720)))
				return
			}
		}
	})

	It("are refused when the bodies that the peer holds reach a bound", func() {
		// Guards against 4096 bodies of 1 MiB for each connection in memory.
		a, b := pair(nil, func(c *Config) { c.CallBytes = 1500 << 10 })
		release := make(chan struct{})
		b.handler.answer = func(string, []byte, time.Duration) ([]byte, error) {
			<-release
			return nil, nil
		}
		first, second := goCall(a, make([]byte, 700<<10), 3*time.Second), goCall(a, make([]byte, 700<<10), 3*time.Second)
		Eventually(b.callBytes.Load, time.Second).Should(Equal(int64(1400 << 10)))
		Expect(errorOf(goCall(a, make([]byte, 700<<10), time.Second))).To(beNotSent)
		close(release)
		Expect(errorOf(first)).To(Succeed())
		Expect(errorOf(second)).To(Succeed())
		Expect(errorOf(goCall(a, make([]byte, 700<<10), time.Second))).To(Succeed())
		Eventually(b.callBytes.Load, time.Second).Should(BeZero())
	})

	It("are refused when the peer runs too many, as not sent", func() {
		a, raw := rawPair(nil)
		conn := raw.next()
		beat(conn)
		end := goCall(a, nil, time.Second)
		writeOne(conn, &frame{Kind: KindReply, ID: nextCall(conn).ID, Code: codeBusy})
		Expect(errorOf(end)).To(beNotSent)
	})
})

var _ = Describe("full queues", func() {
	It("drop the oldest raft message and refuse everything else", func() {
		a, raw := rawPair(func(c *Config) { c.SilenceTimeout, c.QueueFrames = 2*time.Second, 8 })
		conn := raw.next()
		beat(conn)
		stall(a)
		for i := range 9 {
			Expect(a.Send("b", KindRaft, []byte{byte(i)})).To(Succeed())
		}
		Expect(a.seen.droppedFor("raft/queue full")).To(Equal(1))
		for range 8 {
			Expect(a.Send("b", KindRegistry, nil)).To(Succeed())
		}
		Expect(a.seen.droppedFor("raft/queue full")).To(Equal(9))
		Expect(a.Send("b", KindRegistry, nil)).To(beNotSent)
		Expect(a.Send("b", KindRaft, nil)).To(beNotSent)
		Eventually(func() error { return errorOf(goCall(a, nil, 20*time.Millisecond)) }).Should(beNotSent)
	})

	It("bound the bytes that wait as well as the frames", func() {
		// Guards against 1024 bodies of 1 MiB in memory for each peer.
		a, raw := rawPair(func(c *Config) { c.SilenceTimeout, c.QueueBytes = 2*time.Second, 1600<<10 })
		conn := raw.next()
		beat(conn)
		stall(a)
		Expect(errorOf(goCall(a, make([]byte, 700<<10), time.Second))).To(MatchError(ContainSubstring("queue full")))
		for range 4 {
			Expect(a.Send("b", KindRaft, make([]byte, 700<<10))).To(Succeed())
		}
		Expect(a.seen.droppedFor("raft/queue full")).To(Equal(2))
	})

	It("let control frames and small calls overtake the calls that wait", func() {
		a, raw := rawPair(func(c *Config) { c.SilenceTimeout = 2 * time.Second })
		conn := raw.next()
		stall(a)
		waiting, _ := queueLengths(a)
		Expect(waiting).To(BeZero())
		_, before := queueLengths(a)
		small := goCall(a, []byte("small"), 2*time.Second)
		Eventually(func() int { _, calls := queueLengths(a); return calls }, time.Second).Should(Equal(before + 1))
		Expect(a.Send("b", KindRaft, []byte("vote"))).To(Succeed())
		var order []string
		for len(order) < 2 {
			f, err := readOne(conn)
			Expect(err).NotTo(HaveOccurred())
			if len(f.Body) < 10 && f.Kind != KindHeartbeat {
				order = append(order, string(f.Body))
			}
		}
		Expect(order).To(Equal([]string{"vote", "small"}))
		Expect(small).NotTo(Receive())
		_, after := queueLengths(a)
		Expect(before).To(BeNumerically(">=", 2))
		Expect(after).To(BeNumerically(">=", before-2))
	})
})

var _ = Describe("a link of 30 Mbit/s filled with calls", func() {
	It("delays a control frame by less than 3 s", func() {
		b := startHost("b", func(c *Config) { c.SilenceTimeout = 2 * time.Second })
		b.handler.answer = func(string, []byte, time.Duration) ([]byte, error) { return nil, nil }
		relay, err := standin.NewRelay(b.Address(), standin.NewLink(30*time.Millisecond, 30_000_000/8))
		Expect(err).NotTo(HaveOccurred())
		defer relay.Close()
		a := startHost("a", func(c *Config) { c.SilenceTimeout = 2 * time.Second }, Peer{Host: "b", Address: relay.Address()})
		a.waitFor("b")
		body := []byte(strings.Repeat("x", 700<<10))
		stop := make(chan struct{})
		defer close(stop)
		for range 40 {
			go keepCalling(a, body, stop)
		}
		time.Sleep(500 * time.Millisecond)
		started := time.Now()
		Expect(a.Send("b", KindHostStatus, []byte("v2"))).To(Succeed())
		Eventually(b.handler.messages, 3*time.Second).Should(Receive(Equal("host_status:v2")))
		took := time.Since(started)
		// A follower fetches a new configuration with a small call.
		_, err = a.Call("b", "m", nil, 3*time.Second-time.Since(started))
		Expect(err).NotTo(HaveOccurred())
		AddReportEntry("with a call after it", time.Since(started).String())
		AddReportEntry("control frame", took.String())
		Expect(took).To(BeNumerically("<", 3*time.Second))
	})
})

// keepCalling offers more calls than the link takes.
func keepCalling(a *testHost, body []byte, stop chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(10 * time.Millisecond):
			_, _ = a.Call("b", "m", body, 4*time.Second)
		}
	}
}

var _ = Describe("closeReason", func() {
	It("names malformed, silent and closed connections", func() {
		Expect(closeReason(&FrameError{})).To(Equal("malformed"))
		Expect(closeReason(errors.New("reset"))).To(Equal("closed"))
	})
})
