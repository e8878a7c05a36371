package transport

import (
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("a peer that does not read its replies", func() {
	It("loses its connection and does not block Close", func() {
		// Guards against a read loop that stays blocked on the full reply queue
		// after the write loop has ended: Close then never returned.
		b := startHost("b", func(c *Config) { c.MaxQueueFrames = 4 })
		large := []byte(strings.Repeat("x", 256<<10))
		b.handler.onCall = func(string, []byte, time.Duration) ([]byte, error) { return large, nil }
		conn := rawDial(b, "a")
		go func() {
			for id := uint64(1); id < 3*maxCallsPerConnection; id++ {
				data, _ := encodeFrame(&frame{Kind: KindCall, ID: id, Method: "m", RemainingMS: 1000})
				if _, err := conn.Write(data); err != nil {
					return
				}
			}
		}()
		closed := func() int { return b.events.closedCount("closed") + b.events.closedCount("silent") }
		Eventually(closed, 3*time.Second, 10*time.Millisecond).Should(Equal(1))
		done := make(chan struct{})
		go func() { b.Close(); close(done) }()
		Eventually(done, 2*time.Second).Should(BeClosed())
	})

	It("has its bulk calls refused when too many bytes of replies are queued", func() {
		// Guards against reply queues without a limit in bytes: a host held up to
		// 1024 replies of any size for each peer on a saturated link. The kernel
		// buffers some replies; without the limit, all calls run.
		const calls, replyBytes, bound = 256, 256 << 10, 64
		b := startHost("b", func(c *Config) {
			c.MaxQueueBytes, c.SilenceTimeout = 1<<20, 10*time.Second
			c.IsBulkMethod = func(method string) bool { return method == "bulk" }
		})
		var ran atomic.Int64
		large := make([]byte, replyBytes)
		b.handler.onCall = func(string, []byte, time.Duration) ([]byte, error) {
			ran.Add(1)
			return large, nil
		}
		conn := rawDial(b, "a")
		call := func(id uint64, method string) {
			before := ran.Load()
			writeRawFrame(conn, &frame{Kind: KindCall, ID: id, Method: method, RemainingMS: 60_000})
			for end := time.Now().Add(4 * time.Millisecond); ran.Load() == before && time.Now().Before(end); {
				time.Sleep(100 * time.Microsecond)
			}
		}
		for id := uint64(1); id <= calls; id++ {
			call(id, "bulk")
		}
		Expect(ran.Load()).To(And(BeNumerically(">", 0), BeNumerically("<", bound)))
		before := ran.Load()
		call(calls+1, "control")
		Eventually(ran.Load).Should(Equal(before+1), "other calls are not refused")
	})

	It("gets no replies to calls that have timed out", func() {
		// Guards against a link that stays saturated with replies whose callers
		// have timed out.
		b := startHost("b", nil)
		b.handler.onCall = func(string, []byte, time.Duration) ([]byte, error) {
			time.Sleep(50 * time.Millisecond)
			return []byte("late"), nil
		}
		conn := rawDial(b, "a")
		writeRawFrame(conn, &frame{Kind: KindCall, ID: 1, Method: "m", RemainingMS: 10})
		Eventually(func() int { return b.events.droppedCount("reply/late") }, time.Second, 5*time.Millisecond).Should(Equal(1))
	})
})
