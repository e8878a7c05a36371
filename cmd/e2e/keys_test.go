package e2e_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cranberrydrum.dev/daemon/standin"
)

// Rounds of a fault at different offsets from the start of a load.
const (
	keyFaultRounds = 3
	keyCallers     = 12
	keyWork        = 15 * time.Millisecond
	// longWork makes it likely that an executor has requests when it is killed.
	longWork = 120 * time.Millisecond
	// recoveredAnswers shows that requests with keys are served again.
	recoveredAnswers = 60
	// frozenTime is longer than the election timeout of 1 s, so that another
	// host leads when the frozen one wakes.
	frozenTime = 2500 * time.Millisecond
)

// keyedDeployment starts three hosts, executors at the home of the keys and a
// load of non-idempotent requests.
func keyedDeployment(work time.Duration) (*cluster, []*standin.Executor, *keyedLoad) {
	c := newCluster(threeHosts)
	c.begin(baseRules())
	executors := c.executors(2, oerlikon)
	c.awaitServing(c.inDomain(oerlikon)...)
	c.owner(oerlikon)
	load := startKeyedLoad(c, oerlikon, keyCallers, work)
	load.awaitAnswers(recoveredAnswers)
	return c, executors, load
}

// offset moves the fault to another point of the requests in each round.
func offset(round int) { time.Sleep(time.Duration(round*7+1) * time.Millisecond) }

var _ = Describe("Non-idempotent requests under load (P5, P4)", func() {
	// Guards against a key that is lost with its owner, so that a resend runs
	// it again, and against a "not run" for a request that was sent before.
	It("run at most once while the owner of their keys is killed", func() {
		c, executors, load := keyedDeployment(keyWork)
		for round := range keyFaultRounds {
			owner := c.owner(oerlikon)
			offset(round)
			owner.kill()
			load.awaitAnswers(recoveredAnswers)
			owner.start()
			c.awaitReady(owner)
		}
		load.check(executors)
	})

	// Guards against an owner that wakes with a stale view of leadership and
	// sends a request that the next owner has run or will run.
	It("run at most once while the owner of their keys is frozen and woken", func() {
		c, executors, load := keyedDeployment(keyWork)
		for round := range keyFaultRounds {
			owner := c.owner(oerlikon)
			offset(round)
			owner.freeze()
			time.Sleep(frozenTime)
			owner.thaw()
			load.awaitAnswers(recoveredAnswers)
		}
		load.check(executors)
	})

	// Guards against an isolated owner that goes on sending after another host
	// was elected. The one-way cuts leave it one direction of each connection.
	It("run at most once while the owner of their keys is cut off", func() {
		c, executors, load := keyedDeployment(keyWork)
		cuts := []func(bool, ...*process){c.cut, c.cutFrom, c.cutTo}
		for round, cut := range cuts {
			owner := c.owner(oerlikon)
			offset(round)
			cut(true, owner)
			time.Sleep(frozenTime)
			cut(false, owner)
			load.awaitAnswers(recoveredAnswers)
		}
		load.check(executors)
	})

	// Guards against two faults at once: the next owner is lost while the
	// first one wakes, so that the only host left has stale or partial state.
	It("run at most once while one owner is frozen and the next one is killed", func() {
		c, executors, load := keyedDeployment(keyWork)
		for round := range 2 {
			first := c.owner(oerlikon)
			offset(round)
			first.freeze()
			next := c.owner(oerlikon, c.others(first)...)
			Eventually(func() *process {
				next = c.leader("domain/"+oerlikon, c.others(first)...)
				return next
			}, "10s", "50ms").ShouldNot(Or(BeNil(), Equal(first)))
			next.kill()
			first.thaw()
			next.start()
			c.awaitReady(next)
			load.awaitAnswers(recoveredAnswers)
		}
		load.check(executors)
	})

	// Guards against keys that are looked up in another log when the replica
	// outside the failure domain leads: a resend would run them again. The local
	// hosts stop so that only that replica can take over.
	It("run at most once while the replica outside their home owns their keys", func() {
		c := newCluster(threeHosts)
		c.begin(baseRules())
		executors := c.executors(1, oerlikon, altstetten)
		c.awaitServing(c.hosts...)
		owner := c.owner(oerlikon)
		other := c.others(owner, c.host("alt-1"))[0]
		load := startKeyedLoad(c, oerlikon, keyCallers, keyWork)
		load.awaitAnswers(recoveredAnswers)
		other.kill()
		owner.stop()
		other.start()
		load.resendFirst(c.host("alt-1"), 20)
		owner.start()
		c.awaitReady(owner)
		load.awaitAnswers(recoveredAnswers)
		load.check(executors)
	})

	// Guards against a retry on another executor after the first one may have
	// run the request.
	It("run at most once while executors are killed in the middle of a run", func() {
		c, executors, load := keyedDeployment(longWork)
		for round := range keyFaultRounds {
			victim := executors[round]
			executors = append(executors, c.executor(oerlikon, 10+round))
			offset(round)
			c.killExecutor(victim)
			load.awaitAnswers(recoveredAnswers)
		}
		load.check(executors)
	})
})
