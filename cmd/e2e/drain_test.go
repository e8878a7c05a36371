package e2e_test

import (
	"strconv"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cranberrydrum.dev/daemon/api"
	"cranberrydrum.dev/daemon/standin"
)

const (
	// drainBound is the time after the drain announcement during which a backend
	// server may still receive new requests (P6).
	drainBound = 3 * time.Second
	// drainObservationTime is how long the backend server is observed after the
	// announcement.
	drainObservationTime = 5 * time.Second
)

// startConstantLoad sends idempotent requests through each host until the
// returned function is called. Failed requests are ignored.
func (c *cluster) startConstantLoad(callersPerHost int, hosts ...*process) (stop func()) {
	done := make(chan struct{})
	var wg sync.WaitGroup
	for _, p := range hosts {
		for range callersPerHost {
			wg.Add(1)
			go func() {
				defer wg.Done()
				c.sendUntil(done, p)
			}()
		}
	}
	return sync.OnceFunc(func() {
		close(done)
		wg.Wait()
	})
}

func (c *cluster) sendUntil(done chan struct{}, p *process) {
	headers := map[string]string{api.HeaderCustomer: customer, standin.HeaderWorkMS: "5"}
	for n := 0; ; n++ {
		select {
		case <-done:
			return
		case <-time.After(5 * time.Millisecond):
		}
		_, _ = c.doWithTimeout(time.Second, p, "POST", api.RequestsPath(service), "", headers, []byte(strconv.Itoa(n)))
	}
}

// setCutOneWay holds or releases all bytes that one host sends to another, on
// the connections that it opened and on those that the other host opened.
func (c *cluster) setCutOneWay(on bool, from, to string) {
	c.links[from+">"+to].SetCutForward(on)
	c.links[to+">"+from].Reversed().SetCutForward(on)
}

// drainUnderLoad drains one of two executors under load while a fault is active.
// It returns the time from the announcement to the last new request that the
// executor received.
func drainUnderLoad(fault func(c *cluster), faultDuration time.Duration, heal func(c *cluster)) time.Duration {
	c := newCluster(threeHosts)
	c.applyInitialRules(baseRules())
	executors := c.startExecutors(2, oerlikon)
	hosts := c.inDomain(oerlikon)
	c.awaitServing(hosts...)
	stop := c.startConstantLoad(8, hosts...)
	defer stop()
	time.Sleep(500 * time.Millisecond)
	leaving := executors[0]
	Expect(leaving.Stats().Requests).To(BeNumerically(">", 10), "the executor is in use")
	fault(c)
	if err := leaving.Drain(); err != nil {
		// The other host may already have removed the executor, if earlier
		// announcements were lost with the frozen host for longer than their
		// time to live.
		Expect(err).To(MatchError(ContainSubstring("no backend server")))
	}
	announced := time.Now()
	time.Sleep(faultDuration)
	heal(c)
	time.Sleep(time.Until(announced.Add(drainObservationTime)))
	stop()
	c.awaitServing(hosts...)
	return leaving.Stats().LastRequestAt.Sub(announced)
}

var _ = Describe("A leaving backend server (P6)", func() {
	// Guards against a host that learns of the drain late or not at all, or that
	// uses its stale view after it is woken or reconnected.
	DescribeTable("gets no new work later than 3 s after the announcement",
		func(fault func(c *cluster), faultDuration time.Duration, heal func(c *cluster)) {
			last := drainUnderLoad(fault, faultDuration, heal)
			AddReportEntry("last new request", last.String(), ReportEntryVisibilityAlways)
			Expect(last).To(BeNumerically("<", drainBound))
		},
		Entry("while the other host is frozen and woken after the bound",
			func(c *cluster) { c.host("oer-2").freeze() }, 4*time.Second, func(c *cluster) { c.host("oer-2").unfreeze() }),
		Entry("while the host that it announces to is frozen",
			func(c *cluster) { c.host("oer-1").freeze() }, 4*time.Second, func(c *cluster) { c.host("oer-1").unfreeze() }),
		Entry("while the other host is killed and restarted",
			func(c *cluster) { c.host("oer-2").kill() }, 100*time.Millisecond, func(c *cluster) { c.host("oer-2").start() }),
		Entry("while the two hosts are cut off from each other",
			func(c *cluster) { c.setCut(true, c.host("oer-2")) }, 4*time.Second, func(c *cluster) { c.setCut(false, c.host("oer-2")) }),
		Entry("while what the other host sends does not arrive",
			func(c *cluster) { c.setCutOneWay(true, "oer-2", "oer-1") }, 4*time.Second, func(c *cluster) { c.setCutOneWay(false, "oer-2", "oer-1") }),
		Entry("while nothing arrives at the other host",
			func(c *cluster) { c.setCutOneWay(true, "oer-1", "oer-2") }, 4*time.Second, func(c *cluster) { c.setCutOneWay(false, "oer-1", "oer-2") }),
		// The host that received the announcement loses it in the restart, and
		// the other host still has the backend server as up when it is woken.
		Entry("while the other host is frozen and the one that it announced to is killed and restarted",
			func(c *cluster) { c.host("oer-2").freeze() }, 0*time.Second, func(c *cluster) {
				c.host("oer-1").kill()
				c.host("oer-1").start()
				time.Sleep(time.Second)
				c.host("oer-2").unfreeze()
			}),
	)
})
