package e2e_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cranberrydrum.dev/daemon/standin"
)

// Parameters of the specs that inject a fault several times, at different
// offsets from the start of the load.
const (
	keyFaultRounds = 3
	keyCallers     = 12
	keyWork        = 15 * time.Millisecond
	// longKeyWork makes it likely that an executor is running requests when it
	// is killed.
	longKeyWork = 120 * time.Millisecond
	// recoveredKeys is the number of newly answered keys that shows that
	// requests with keys are served again.
	recoveredKeys = 60
	// freezeTime is longer than the election timeout of 1 s, so that another
	// host leads when the frozen one is woken.
	freezeTime = 2500 * time.Millisecond
)

// startKeyedDeployment starts three hosts, executors in the home failure domain
// of the keys and a load of non-idempotent requests.
func startKeyedDeployment(work time.Duration) (*cluster, []*standin.Executor, *keyedLoad) {
	c := newCluster(threeHosts)
	c.applyInitialRules(baseRules())
	executors := c.startExecutors(2, oerlikon)
	c.awaitServing(c.inDomain(oerlikon)...)
	c.awaitOwner(oerlikon)
	load := startKeyedLoad(c, oerlikon, keyCallers, work)
	load.awaitAnsweredKeys(recoveredKeys)
	return c, executors, load
}

// delayFault waits for a time that differs in each round, so that the fault hits
// requests at different points.
func delayFault(round int) { time.Sleep(time.Duration(round*7+1) * time.Millisecond) }

var _ = Describe("Non-idempotent requests under load (P5, P4)", func() {
	// Guards against a key that is lost with its owner, so that a resend runs
	// the request again, and against a refusal as not run of a request that was
	// sent before.
	It("run at most once while the owner of their keys is killed", func() {
		c, executors, load := startKeyedDeployment(keyWork)
		for round := range keyFaultRounds {
			owner := c.awaitOwner(oerlikon)
			delayFault(round)
			owner.kill()
			load.awaitAnsweredKeys(recoveredKeys)
			owner.start()
			c.awaitReady(owner)
		}
		load.check(executors)
	})

	// Guards against an owner that wakes with a stale view of leadership and
	// sends a request that the next owner has run or will run.
	It("run at most once while the owner of their keys is frozen and woken", func() {
		c, executors, load := startKeyedDeployment(keyWork)
		for round := range keyFaultRounds {
			owner := c.awaitOwner(oerlikon)
			delayFault(round)
			owner.freeze()
			time.Sleep(freezeTime)
			owner.unfreeze()
			load.awaitAnsweredKeys(recoveredKeys)
		}
		load.check(executors)
	})

	// Guards against an isolated owner that continues to send requests after
	// another host was elected. The one-way cuts leave one direction of its
	// connections working.
	It("run at most once while the owner of their keys is cut off", func() {
		c, executors, load := startKeyedDeployment(keyWork)
		cuts := []func(bool, ...*process){c.setCut, c.setCutOutbound, c.setCutInbound}
		for round, cut := range cuts {
			owner := c.awaitOwner(oerlikon)
			delayFault(round)
			cut(true, owner)
			time.Sleep(freezeTime)
			cut(false, owner)
			load.awaitAnsweredKeys(recoveredKeys)
		}
		load.check(executors)
	})

	// Guards against two simultaneous faults: the next owner is lost while the
	// first one wakes, so that the only remaining host has stale or partial
	// state.
	It("run at most once while one owner is frozen and the next one is killed", func() {
		c, executors, load := startKeyedDeployment(keyWork)
		for round := range 2 {
			first := c.awaitOwner(oerlikon)
			delayFault(round)
			first.freeze()
			next := c.awaitOwner(oerlikon, c.others(first)...)
			Eventually(func() *process {
				next = c.leader("domain/"+oerlikon, c.others(first)...)
				return next
			}, "10s", "50ms").ShouldNot(Or(BeNil(), Equal(first)))
			next.kill()
			first.unfreeze()
			next.start()
			c.awaitReady(next)
			load.awaitAnsweredKeys(recoveredKeys)
		}
		load.check(executors)
	})

	// Guards against keys that are looked up in the wrong log when the replica
	// outside the failure domain leads: a resend would run them again. The local
	// hosts are stopped so that only that replica can take over.
	It("run at most once while the replica outside their home owns their keys", func() {
		c := newCluster(threeHosts)
		c.applyInitialRules(baseRules())
		executors := c.startExecutors(1, oerlikon, altstetten)
		c.awaitServing(c.hosts...)
		owner := c.awaitOwner(oerlikon)
		other := c.others(owner, c.host("alt-1"))[0]
		load := startKeyedLoad(c, oerlikon, keyCallers, keyWork)
		load.awaitAnsweredKeys(recoveredKeys)
		other.kill()
		owner.stop()
		other.start()
		load.resendFirst(c.host("alt-1"), 20)
		owner.start()
		c.awaitReady(owner)
		load.awaitAnsweredKeys(recoveredKeys)
		load.check(executors)
	})

	// Guards against a retry on another executor although the first one may have
	// run the request.
	It("run at most once while executors are killed in the middle of a run", func() {
		c, executors, load := startKeyedDeployment(longKeyWork)
		for round := range keyFaultRounds {
			killed := executors[round]
			executors = append(executors, c.startExecutor(oerlikon, 10+round))
			delayFault(round)
			c.killExecutor(killed)
			load.awaitAnsweredKeys(recoveredKeys)
		}
		load.check(executors)
	})
})
