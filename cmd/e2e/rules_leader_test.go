package e2e_test

import (
	"fmt"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// faultInjector injects a fault into the leader of the configuration log and
// returns a function that undoes it.
type faultInjector func(c *cluster, leader *process) (undo func())

// Guards against a leader that continues to accept changes after another one was
// elected, and against a host that follows the wrong one of the two.
var _ = DescribeTable("Configuration while its leader is in trouble (P8)",
	func(inject faultInjector) {
		c := newCluster(sixHosts)
		c.applyInitialRules(baseRules())
		w := watchVersions(c)
		o := startOperators(c, 3)
		time.Sleep(time.Second)
		var leader *process
		Eventually(func() *process {
			leader = c.leader("config", c.hosts...)
			return leader
		}, "5s", "50ms").ShouldNot(BeNil())
		from := time.Now()
		undo := inject(c, leader)
		time.Sleep(4 * time.Second)
		undo()
		healed := time.Now()
		time.Sleep(3 * time.Second)
		o.finish()
		time.Sleep(inForceBound)
		o.check(w, from, healed, map[string]bool{leader.id: true})
	},
	Entry("is frozen and woken", faultInjector(func(_ *cluster, leader *process) func() {
		leader.freeze()
		return leader.unfreeze
	})),
	Entry("is heard by nobody but hears the others", faultInjector(func(c *cluster, leader *process) func() {
		c.setCutOutbound(true, leader)
		return func() { c.setCutOutbound(false, leader) }
	})),
	Entry("hears nobody but is heard by the others", faultInjector(func(c *cluster, leader *process) func() {
		c.setCutInbound(true, leader)
		return func() { c.setCutInbound(false, leader) }
	})),
)

// killLeader kills the leader of the configuration log as soon as it is one of
// the given hosts, and returns it.
func (c *cluster) killLeader(among ...*process) *process {
	var leader *process
	Eventually(func() bool {
		leader = c.leader("config", among...)
		return leader != nil && slices.Contains(among, leader)
	}, "10s", "5ms").Should(BeTrue())
	leader.kill()
	return leader
}

var _ = Describe("Configuration while its leader is lost twice (P8)", func() {
	// Guards against an accepted change that only the two lost leaders had, and
	// against a second accepted change for its version. The successor is killed
	// while changes are in progress and before it has committed many entries of
	// its own.
	It("keeps what was accepted when the successor is killed as soon as it leads", func() {
		c := newCluster(sixHosts)
		c.applyInitialRules(baseRules())
		w := watchVersions(c)
		o := startOperators(c, 3)
		time.Sleep(500 * time.Millisecond)
		from := time.Now()
		first := c.killLeader(c.hosts...)
		next := c.killLeader(c.others(first)...)
		between := time.Since(from)
		Eventually(func() bool {
			return slices.Contains(c.others(first, next), c.leader("config", c.others(first, next)...))
		}, "10s", "20ms").Should(BeTrue())
		first.start()
		next.start()
		started := time.Now()
		time.Sleep(500 * time.Millisecond)
		o.finish()
		time.Sleep(inForceBound)
		AddReportEntry("second loss", fmt.Sprint(next.id, " ", between, " after ", first.id), ReportEntryVisibilityAlways)
		o.check(w, from, started, map[string]bool{first.id: true, next.id: true})
	})
})
