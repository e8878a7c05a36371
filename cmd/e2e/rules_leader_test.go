package e2e_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// disturbance harms the leader of the configuration and returns how to undo it.
type disturbance func(c *cluster, leader *process) (undo func())

// Guards against a leader that goes on accepting changes after another one was
// elected, and against a host that follows the wrong one of the two.
var _ = DescribeTable("Configuration while its leader is in trouble (P8)",
	func(disturb disturbance) {
		c := newCluster(sixHosts)
		c.begin(baseRules())
		w := watchVersions(c)
		o := startOperators(c, 3)
		time.Sleep(time.Second)
		var leader *process
		Eventually(func() *process {
			leader = c.leader("config", c.hosts...)
			return leader
		}, "5s", "50ms").ShouldNot(BeNil())
		from := time.Now()
		undo := disturb(c, leader)
		time.Sleep(4 * time.Second)
		undo()
		healed := time.Now()
		time.Sleep(3 * time.Second)
		o.done()
		time.Sleep(inForceBound)
		o.check(w, from, healed, map[string]bool{leader.id: true})
	},
	Entry("is frozen and woken", disturbance(func(_ *cluster, leader *process) func() {
		leader.freeze()
		return leader.thaw
	})),
	Entry("is heard by nobody but hears the others", disturbance(func(c *cluster, leader *process) func() {
		c.cutFrom(true, leader)
		return func() { c.cutFrom(false, leader) }
	})),
	Entry("hears nobody but is heard by the others", disturbance(func(c *cluster, leader *process) func() {
		c.cutTo(true, leader)
		return func() { c.cutTo(false, leader) }
	})),
)
