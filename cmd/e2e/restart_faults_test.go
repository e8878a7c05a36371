package e2e_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cranberrydrum.dev/daemon/api"
	"cranberrydrum.dev/daemon/standin"
	"cranberrydrum.dev/scheduler/structs"
)

// restartHeaders returns the headers of a new non-idempotent request whose key
// has its home in oerlikon. Every eighth request runs longer than a stop that
// does not wait for its requests.
func restartHeaders(keys *keyedLoad, n int) map[string]string {
	work := "30"
	if n%8 == 0 {
		work = "500"
	}
	return map[string]string{api.HeaderNonIdempotent: "true", api.HeaderKey: keys.newKey().key, standin.HeaderWorkMS: work}
}

// restartLoad sends idempotent and non-idempotent requests through the hosts
// that are not faulty.
type restartLoad struct {
	idempotent, keyed *steadyLoad
	executors         []*standin.Executor
}

func startRestartLoad(c *cluster, b *balancer, executors []*standin.Executor, isAllowedRefusal func(*process, structs.Outcome) bool) *restartLoad {
	l := &restartLoad{executors: executors}
	l.idempotent = startSteadyLoad(b, 8, func(int) map[string]string {
		return map[string]string{standin.HeaderWorkMS: "20"}
	})
	keys := &keyedLoad{c: c, home: oerlikon}
	l.keyed = &steadyLoad{
		balancer:         b,
		headers:          func(n int) map[string]string { return restartHeaders(keys, n) },
		isAllowedRefusal: isAllowedRefusal,
		stop:             make(chan struct{}),
	}
	l.keyed.start(16)
	time.Sleep(300 * time.Millisecond)
	return l
}

// check ends the load and compares the responses to the callers with the runs on
// the executors.
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

// Guards against a stop that waits for an unresponsive host, transfers
// leadership to it, or cuts requests because no other host took over. Both local
// replicas of the request keys are unavailable for a while, so the remaining
// hosts may refuse new non-idempotent requests, but only as not run and only if
// that is true. The stopping host must answer every request that it receives.
var _ = DescribeTable("A planned restart while another host is in trouble (P7)",
	func(fault func(c *cluster, p *process)) {
		c := newClusterWith(threeHosts, balancerWait)
		c.applyInitialRules(baseRules())
		executors := c.startExecutors(2, oerlikon, altstetten)
		c.awaitServing(c.hosts...)
		stopping, faulty := c.host("oer-1"), c.host("oer-2")
		fault(c, faulty)
		Eventually(func() *process { return c.leader("domain/"+oerlikon, c.others(faulty)...) }, "10s", "50ms").
			ShouldNot(Or(BeNil(), Equal(faulty)))
		b := newBalancer(c, c.others(faulty)...)
		defer b.close()
		load := startRestartLoad(c, b, executors, func(p *process, outcome structs.Outcome) bool {
			return p != stopping && outcome == structs.OutcomeNotRun
		})
		c.rollingRestart(stopping)
		load.check()
	},
	Entry("that is frozen", func(_ *cluster, p *process) { p.freeze() }),
	Entry("that was killed", func(_ *cluster, p *process) { p.kill() }),
)

// stopBound is the stop timeout of the specs. A stop that takes this long cuts
// the requests that are still in progress. A shorter stop is correct: it waits
// for requests until their deadline, which is 10 s here.
const stopBound = 20 * time.Second

var _ = Describe("A planned restart in the moment in which another host is cut off (P7)", func() {
	// Guards against a stopping host that is elected while it waits for its
	// requests. As the owner of request keys it would receive new requests
	// without end, until the stop timeout cuts those in progress. The outcome of
	// requests already sent to the partitioned owner may be unknown; a broken
	// connection is a violation.
	It("ends in time and cuts no request", func() {
		c := newClusterWith(threeHosts, balancerWait)
		c.applyInitialRules(baseRules())
		executors := c.startExecutors(2, oerlikon, altstetten)
		c.awaitServing(c.hosts...)
		stopping, faulty := c.host("oer-1"), c.host("oer-2")
		b := newBalancer(c, c.others(faulty)...)
		defer b.close()
		load := startRestartLoad(c, b, executors, func(*process, structs.Outcome) bool { return true })
		c.setCut(true, faulty)
		stopStart := time.Now()
		stopping.stop()
		took := time.Since(stopStart)
		stopping.start()
		c.awaitReady(stopping)
		load.check()
		AddReportEntry("stop", took.String(), ReportEntryVisibilityAlways)
		Expect(took).To(BeNumerically("<", stopBound))
	})
})
