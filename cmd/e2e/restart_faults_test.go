package e2e_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cranberrydrum.dev/daemon/api"
	"cranberrydrum.dev/daemon/standin"
	"cranberrydrum.dev/scheduler/structs"
)

// restartHeaders are those of a new non-idempotent request with home oerlikon.
// Some run longer than a stop takes without waiting for them.
func restartHeaders(keys *keyedLoad, n int) map[string]string {
	work := "30"
	if n%8 == 0 {
		work = "500"
	}
	return map[string]string{api.HeaderNonIdempotent: "true", api.HeaderKey: keys.newKey().key, standin.HeaderWorkMS: work}
}

// restartLoad sends idempotent and non-idempotent requests through the hosts
// that are not in trouble.
type restartLoad struct {
	idempotent, keyed *steadyLoad
	executors         []*standin.Executor
}

func startRestartLoad(c *cluster, b *balancer, executors []*standin.Executor, mayRefuse func(*process, structs.Outcome) bool) *restartLoad {
	l := &restartLoad{executors: executors}
	l.idempotent = startSteadyLoad(b, 8, func(int) map[string]string {
		return map[string]string{standin.HeaderWorkMS: "20"}
	})
	keys := &keyedLoad{c: c, home: oerlikon}
	l.keyed = &steadyLoad{
		balancer:  b,
		headers:   func(n int) map[string]string { return restartHeaders(keys, n) },
		mayRefuse: mayRefuse,
		stop:      make(chan struct{}),
	}
	l.keyed.start(16)
	time.Sleep(300 * time.Millisecond)
	return l
}

// check ends the load and compares what callers were told with what has run.
func (l *restartLoad) check() {
	l.idempotent.check("idempotent")
	l.keyed.check("non-idempotent")
	runs := map[string]int{}
	for _, e := range l.executors {
		for key, n := range e.Stats().RunsByKey {
			runs[key] += n
			Expect(runs[key]).To(Equal(1), key)
		}
	}
	for _, key := range l.keyed.refused {
		Expect(runs).NotTo(HaveKey(key), "a request that was refused as not run")
	}
}

// Guards against a stop that waits for a host that does not answer, hands
// leadership to it, or cuts requests because no other host took over. Both local
// replicas of the request keys are then away for a while, so that hosts that
// stay up may refuse new non-idempotent requests, as not run and truthfully; the
// stopping host must answer all that it is sent.
var _ = DescribeTable("A planned restart while another host is in trouble (P7)",
	func(fault func(c *cluster, p *process)) {
		c := newClusterWith(threeHosts, balancerWait)
		c.begin(baseRules())
		executors := c.executors(2, oerlikon, altstetten)
		c.awaitServing(c.hosts...)
		stopping, troubled := c.host("oer-1"), c.host("oer-2")
		fault(c, troubled)
		Eventually(func() *process { return c.leader("domain/"+oerlikon, c.others(troubled)...) }, "10s", "50ms").
			ShouldNot(Or(BeNil(), Equal(troubled)))
		b := newBalancer(c, c.others(troubled)...)
		defer b.close()
		load := startRestartLoad(c, b, executors, func(p *process, outcome structs.Outcome) bool {
			return p != stopping && outcome == structs.OutcomeNotRun
		})
		c.restartInTurn(stopping)
		load.check()
	},
	Entry("that is frozen", func(_ *cluster, p *process) { p.freeze() }),
	Entry("that was killed", func(_ *cluster, p *process) { p.kill() }),
)

// stopBound is the stop timeout of the specs. A stop that takes as long cuts the
// requests that are still in progress. Shorter ones are no fault: a stop waits
// for requests until their deadline, 10 s here.
const stopBound = 20 * time.Second

var _ = Describe("A planned restart in the moment in which another host is cut off (P7)", func() {
	// Guards against a stopping host that is elected while it waits for its
	// requests. As the owner of request keys it would get new ones without end,
	// until the stop timeout cuts those in progress. What had left for the owner
	// that is cut off may be unknown; a broken connection is a fault.
	It("ends in time and cuts no request", func() {
		c := newClusterWith(threeHosts, balancerWait)
		c.begin(baseRules())
		executors := c.executors(2, oerlikon, altstetten)
		c.awaitServing(c.hosts...)
		stopping, troubled := c.host("oer-1"), c.host("oer-2")
		b := newBalancer(c, c.others(troubled)...)
		defer b.close()
		load := startRestartLoad(c, b, executors, func(*process, structs.Outcome) bool { return true })
		c.cut(true, troubled)
		begun := time.Now()
		stopping.stop()
		took := time.Since(begun)
		stopping.start()
		c.awaitReady(stopping)
		load.check()
		AddReportEntry("stop", took.String(), ReportEntryVisibilityAlways)
		Expect(took).To(BeNumerically("<", stopBound))
	})
})
