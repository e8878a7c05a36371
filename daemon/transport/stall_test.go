package transport

import (
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("a peer that does not read its replies", func() {
	It("loses its connection and keeps no goroutine", func() {
		// Guards against a reader that waits for room among the replies after
		// the writer has given up: Close then never returned.
		b := startHost("b", func(c *Config) { c.QueueFrames = 4 })
		large := []byte(strings.Repeat("x", 256<<10))
		b.handler.answer = func(string, []byte, time.Duration) ([]byte, error) { return large, nil }
		conn := rawDial(b, "a")
		go func() {
			for id := uint64(1); id < 3*maxCallsPerConnection; id++ {
				data, _ := encodeFrame(&frame{Kind: KindCall, ID: id, Method: "m", RemainingMS: 1000})
				if _, err := conn.Write(data); err != nil {
					return
				}
			}
		}()
		closed := func() int { return b.seen.closedFor("closed") + b.seen.closedFor("silent") }
		Eventually(closed, 3*time.Second, 10*time.Millisecond).Should(Equal(1))
		done := make(chan struct{})
		go func() { b.Close(); close(done) }()
		Eventually(done, 2*time.Second).Should(BeClosed())
	})
})
